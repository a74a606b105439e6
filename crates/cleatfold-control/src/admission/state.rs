//! Demand of each group and capacity of the region, as measured by one controller.

use crate::store::cache::CachedJob;
use cleatfold_admission::long_work_limit::{LongWorkLimit, TeamDemand};
use cleatfold_admission::{size_classes, Group, Meter, OverloadTimers, QuotaEntry};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::{JobId, Ms, TeamId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two measurements, in milliseconds.
pub(crate) const MEASUREMENT_INTERVAL_MS: u64 = 1000;
/// Capacity counts as settled when it has not grown for this time, in milliseconds.
pub(crate) const SETTLED_MS: u64 = 20_000;

/// The measurements from which the overload quota is decided.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    pub meter: Meter,
    pub overload_timers: OverloadTimers,
    /// Jobs that the meter has counted.
    counted_jobs: BTreeSet<JobId>,
    pub last_checked: Ms,
    /// When this controller last sent a write of the overload quota.
    pub last_written: Ms,
    /// Whether that write has no reply yet.
    pub write_in_flight: bool,
    /// Processors of the region over the last `SETTLED_MS`, oldest first.
    pub capacity_history: VecDeque<(Ms, f64)>,
    /// The urgency of the last job that arrived in each group.
    group_urgencies: BTreeMap<Group, Urgency>,
    /// Demand of each team, one entry for each of its groups.
    pub team_demands: BTreeMap<TeamId, Vec<TeamDemand<Urgency>>>,
}

impl AdmissionState {
    /// Adds the jobs that have arrived since the last measurement to the meter. `wall_s` is the
    /// time of day in seconds.
    pub(crate) fn count_arrivals(&mut self, jobs: &BTreeMap<JobId, CachedJob>, wall_s: f64) {
        self.counted_jobs.retain(|id| jobs.contains_key(id));
        for (id, cached) in jobs {
            if self.counted_jobs.contains(id) {
                continue;
            }
            self.counted_jobs.insert(id.clone());
            let spec = &cached.record.spec;
            let group = Group { team: spec.team.clone(), class: spec.class.clone() };
            let at_s = (cached.record.accepted_ms as f64 / 1000.0).min(wall_s);
            // A service has no size, and would count as the smallest of all jobs.
            if spec.kind != Kind::Service {
                let work = estimated_cpu_s(spec, spec.tasks);
                self.meter.record_arrival(&group, at_s, work, spec.tasks, spec.estimate_s);
            }
            self.group_urgencies.insert(group, spec.urgency);
        }
    }

    /// Records the number of processors available now.
    pub(crate) fn record_capacity(&mut self, now: Ms, processors: f64) {
        let history = &mut self.capacity_history;
        history.push_back((now, processors));
        while history.front().is_some_and(|h| now.since(h.0) > SETTLED_MS + MEASUREMENT_INTERVAL_MS)
        {
            history.pop_front();
        }
    }

    /// Derives the demand of each team from the meter.
    pub(crate) fn update_team_demands(&mut self, wall_s: f64) {
        self.team_demands.clear();
        for (group, urgency) in &self.group_urgencies {
            let rate = self.meter.rate(group, wall_s);
            let run_s = self.meter.mean_run_s(group);
            let demand = TeamDemand { urgency: *urgency, rate, run_s };
            self.team_demands.entry(group.team.clone()).or_default().push(demand);
        }
    }
}

/// Limits on tasks that run much longer than those of other teams.
#[derive(Debug, Default)]
pub(crate) struct LongWork {
    /// The limit on each team's long work.
    pub limits: BTreeMap<TeamId, LongWorkLimit>,
    /// Jobs with long work that wait for earlier ones of their team.
    pub deferred: BTreeSet<JobId>,
}

impl LongWork {
    /// Whether a job's tasks count as long work of its team.
    pub(crate) fn is_long(&self, spec: &JobSpec) -> bool {
        self.limits.get(&spec.team).is_some_and(|limit| limit.is_long(spec.estimate_s))
    }
}

/// Whether the job's estimate says how much work it is. The overload quota orders and limits jobs by
/// their work; it leaves out services, which have no end, and elastic jobs, whose width changes.
pub(crate) fn has_estimated_work(cached: &CachedJob) -> bool {
    cached.record.spec.kind != Kind::Service && cached.width().is_none()
}

/// Processor-seconds that `tasks` tasks of a job take by its estimate; 0 for a service, which has
/// no end to estimate.
pub(crate) fn estimated_cpu_s(spec: &JobSpec, tasks: u32) -> f64 {
    let run_s = if spec.kind == Kind::Service { 0.0 } else { spec.estimate_s };
    f64::from(tasks) * spec.cpus * run_s
}

/// The properties of a job in an upper size class that decide how many of its tasks are promoted.
pub(crate) fn size_class_demand(
    entry: &QuotaEntry,
    id: &JobId,
    cached: &CachedJob,
    begin_ms: u64,
) -> size_classes::LargerJobDemand {
    let spec = &cached.record.spec;
    let cpus_per_task = cached.task_resources.cpus;
    let within_s = entry.patience_ms.max(begin_ms) as f64 / 1000.0;
    size_classes::LargerJobDemand {
        accepted_ms: cached.record.accepted_ms,
        id_hash: xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()),
        started: cached.claimed + cached.done > 0,
        allocated: cached.task_resources.times(cached.claimed).cpus,
        claimable: cached.task_resources.times(cached.unclaimed()).cpus,
        per_task: cpus_per_task,
        work: estimated_cpu_s(spec, spec.tasks) as u64,
        // A gang runs as a whole.
        target_width: match spec.kind {
            Kind::Gang => cached.task_resources.times(spec.tasks).cpus,
            _ => size_classes::target_width(spec.tasks, cpus_per_task, spec.estimate_s, within_s),
        },
    }
}

#[cfg(test)]
mod tests;
