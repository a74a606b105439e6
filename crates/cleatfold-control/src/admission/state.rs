//! What each group asks for and what there was to give, as one controller has measured it.

use crate::store::cache::CachedJob;
use cleatfold_admission::long_work_limit::{LongWorkLimit, TeamDemand};
use cleatfold_admission::{size_classes, Group, Meter, OverloadTimers, QuotaEntry};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::{JobId, Ms, TeamId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Between two measurements, in milliseconds.
pub(crate) const MEASUREMENT_INTERVAL_MS: u64 = 1000;
/// The number of machines counts as settled when it has not grown for so long.
pub(crate) const SETTLED_MS: u64 = 20_000;

/// The measurements from which the shares under overload are decided.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pub meter: Meter,
    pub judge: OverloadTimers,
    /// Jobs that are in the meter.
    seen: BTreeSet<JobId>,
    pub last_checked: Ms,
    pub written: Ms,
    pub inflight: bool,
    /// Processors there were, over the last moments.
    pub capacity: VecDeque<(Ms, f64)>,
    /// How urgent each group's jobs are, as the last one was.
    urgencies: BTreeMap<Group, Urgency>,
    /// What each team asks for, by urgency.
    pub asks: BTreeMap<TeamId, Vec<TeamDemand<Urgency>>>,
}

impl Admission {
    /// Measures the jobs that have come since, at `wall_s` by the time of day.
    pub(crate) fn note_arrivals(&mut self, jobs: &BTreeMap<JobId, CachedJob>, wall_s: f64) {
        self.seen.retain(|id| jobs.contains_key(id));
        for (id, cached) in jobs {
            if self.seen.contains(id) {
                continue;
            }
            self.seen.insert(id.clone());
            let spec = &cached.record.spec;
            let group = Group { team: spec.team.clone(), class: spec.class.clone() };
            let at_s = (cached.record.accepted_ms as f64 / 1000.0).min(wall_s);
            let work = work(spec, spec.tasks);
            self.meter.record_arrival(&group, at_s, work, spec.tasks, spec.estimate_s);
            self.urgencies.insert(group, spec.urgency);
        }
    }

    /// So many processors are there now.
    pub(crate) fn note_capacity(&mut self, now: Ms, processors: f64) {
        let history = &mut self.capacity;
        history.push_back((now, processors));
        while history.front().is_some_and(|h| now.since(h.0) > SETTLED_MS + MEASUREMENT_INTERVAL_MS)
        {
            history.pop_front();
        }
    }

    /// Works out what each team asks for by what was measured.
    pub(crate) fn note_asks(&mut self, wall_s: f64) {
        self.asks.clear();
        for (group, urgency) in &self.urgencies {
            let rate = self.meter.rate(group, wall_s);
            let run_s = self.meter.mean_run_s(group);
            let asks = TeamDemand { urgency: *urgency, rate, run_s };
            self.asks.entry(group.team.clone()).or_default().push(asks);
        }
    }
}

/// Work that runs long beside what others ask for.
#[derive(Debug, Default)]
pub(crate) struct LongWork {
    /// What each team's may hold.
    pub limits: BTreeMap<TeamId, LongWorkLimit>,
    /// Jobs that wait for earlier ones of their team.
    pub later: BTreeSet<JobId>,
}

impl LongWork {
    /// Whether a job is long beside what others of its team ask for.
    pub(crate) fn is_long(&self, spec: &JobSpec) -> bool {
        self.limits.get(&spec.team).is_some_and(|r| r.is_long(spec.estimate_s))
    }
}

/// Processor seconds that so many tasks of a job take by its estimate; a service has no end to be estimated.
pub(crate) fn work(spec: &JobSpec, tasks: u32) -> f64 {
    let run = if spec.kind == Kind::Service { 0.0 } else { spec.estimate_s };
    f64::from(tasks) * spec.cpus * run
}

/// What of a job of an upper size class decides how much of it goes before everybody else's.
pub(crate) fn size_class_demand(
    entry: &QuotaEntry,
    id: &JobId,
    cached: &CachedJob,
    begin_ms: u64,
) -> size_classes::LargerJobDemand {
    let spec = &cached.record.spec;
    let each = cached.each.cpus;
    let within_s = entry.patience_ms.max(begin_ms) as f64 / 1000.0;
    size_classes::LargerJobDemand {
        accepted_ms: cached.record.accepted_ms,
        id_hash: xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()),
        started: cached.claimed + cached.done > 0,
        allocated: cached.each.times(cached.claimed).cpus,
        claimable: cached.each.times(cached.unclaimed()).cpus,
        per_task: each,
        work: work(spec, spec.tasks) as u64,
        // A gang is whole or nothing.
        target_width: match spec.kind {
            Kind::Gang => cached.each.times(spec.tasks).cpus,
            _ => size_classes::target_width(spec.tasks, each, spec.estimate_s, within_s),
        },
    }
}
