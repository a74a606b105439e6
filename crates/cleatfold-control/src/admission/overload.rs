//! The overload quota: every controller measures the demand of each group, the holder of a role
//! decides the quota and writes it, and all controllers order their queues by it.
//!
//! Only the queue's order and the refusal of new jobs depend on it, so a controller that has not
//! read the newest quota is safe: claims are guarded as always. The write is guarded by the key of
//! the writer's role, so a former holder of the role cannot overwrite the quota of the current one.

use crate::admission::state::{
    estimated_cpu_s, has_estimated_work, LongWork, MEASUREMENT_INTERVAL_MS, SETTLED_MS,
};
use crate::config::ObjectiveKind;
use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreRequest};
use crate::machines::inventory::Machine;
use crate::store::cache::{CachedJob, Versioned};
use crate::store::records::OVERLOAD_QUOTA_KEY;
use cleatfold_admission::long_work_limit::LongWorkLimit;
use cleatfold_admission::meter::{LargestJobs, SizeDistribution};
use cleatfold_admission::size_classes;
use cleatfold_admission::{
    decide, AdmissionRules, Demand, DemandSnapshot, Group, OverloadQuota, QuotaEntry, SizeBounds,
    SizeClass, SizeDemand,
};
use cleatfold_roles::Role;
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::store::Txn;
use cleatfold_wire::{ClassId, JobId, TeamId};
use std::collections::BTreeMap;

/// An overload quota is kept for at least this time unless a group is added or removed, in
/// milliseconds.
const MIN_QUOTA_AGE_MS: u64 = 5000;
/// Estimated size of an entry in the record including its names, in bytes.
const ESTIMATED_ENTRY_BYTES: usize = 260;

/// An entry for the log: team, class, the floor of the small size class, and of the middle and the
/// large size class with whether capacity is short, in processors.
fn loggable_entry(entry: &QuotaEntry) -> (&TeamId, &ClassId, i64, Option<(i64, i64, bool)>) {
    let upper_floors = entry
        .sizes
        .as_ref()
        .map(|s| (s.middle_floor / 1000, s.large_floor / 1000, s.capacity_short));
    (&entry.team, &entry.class, entry.floor / 1000, upper_floors)
}

/// The measured distribution of work over a group's jobs.
struct Distribution {
    /// The smallest jobs, which must be served.
    required: SizeDistribution,
    /// The smallest jobs that should be served if there is capacity; includes those of `required`.
    desired: SizeDistribution,
    /// The largest jobs of the class.
    largest: LargestJobs,
}

impl Distribution {
    fn bounds(&self) -> SizeBounds {
        let LargestJobs { min_work: work, min_tasks: tasks, .. } = self.largest;
        SizeBounds {
            small_max_work: self.required.max_work,
            large_min_work: work,
            large_min_tasks: tasks,
        }
    }
}

/// Work of one group that waits and that runs, in processor-seconds.
#[derive(Default)]
struct GroupDemand {
    /// The urgency of its most urgent job.
    urgency: Option<Urgency>,
    waiting: f64,
    /// Waiting work of the jobs that must be served.
    required: f64,
    /// Waiting work of the jobs that should be served.
    desired: f64,
    /// Waiting work of the middle size class.
    middle: f64,
    /// Waiting work of the large size class.
    large: f64,
    running: f64,
    /// Sum over its jobs of how long each is useful to its submitter, in seconds.
    patience_s: f64,
    jobs: f64,
}

impl GroupDemand {
    fn add(
        &mut self,
        cached: &CachedJob,
        distribution: &Distribution,
        is_late: bool,
        patience_s: f64,
    ) {
        let spec = &cached.record.spec;
        let total_work = estimated_cpu_s(spec, spec.tasks);
        let waiting_work = estimated_cpu_s(spec, cached.unclaimed());
        let waiting_up_to = |max_work: f64| if total_work <= max_work { waiting_work } else { 0.0 };
        self.waiting += waiting_work;
        self.required += waiting_up_to(distribution.required.max_work);
        self.desired += waiting_up_to(distribution.desired.max_work);
        // A job that can no longer begin in time has no claim on the floors of the upper size
        // classes.
        let has_begun = cached.claimed + cached.done > 0;
        match distribution.bounds().size_class(total_work, spec.tasks) {
            _ if is_late && !has_begun => {}
            SizeClass::Small => {}
            SizeClass::Middle => self.middle += waiting_work,
            SizeClass::Large => self.large += waiting_work,
        }
        // Running tasks are assumed to be half done on average.
        self.running += 0.5 * estimated_cpu_s(spec, cached.claimed);
        self.patience_s += patience_s;
        self.jobs += 1.0;
        self.urgency = Some(self.urgency.map_or(spec.urgency, |u| u.min(spec.urgency)));
    }
}

impl Controller {
    /// The entry of the job's group in the overload quota, if the group is not served in time.
    pub(crate) fn overload_entry(&self, cached: &CachedJob) -> Option<&QuotaEntry> {
        let overload_quota = &self.cache.overload_quota.value;
        if overload_quota.is_empty() || !has_estimated_work(cached) || self.cfg.admission.is_none()
        {
            return None;
        }
        overload_quota.entry(&cached.record.spec.team, &cached.record.spec.class)
    }

    /// Whether a new job is refused because it would wait for longer than its users' patience; if
    /// so, after how many seconds to retry. Depends only on the job and the overload quota, so the
    /// answer is the same at every controller and every retry until the quota changes.
    pub(crate) fn overload_retry_after_s(&self, spec: &JobSpec) -> Option<u32> {
        self.cfg.admission.as_ref()?;
        let max_work =
            self.cache.overload_quota.value.entry(&spec.team, &spec.class)?.max_new_work?;
        let refused =
            spec.kind == Kind::Array && estimated_cpu_s(spec, spec.tasks) > max_work as f64;
        // The quota is usually not revised within MIN_QUOTA_AGE_MS, so an earlier retry would be
        // refused again.
        let jitter_s = xxhash_rust::xxh3::xxh3_64(spec.id.as_str().as_bytes()) % 8;
        refused.then_some((2 * MIN_QUOTA_AGE_MS / 1000 + jitter_s) as u32)
    }

    /// How long a job of this class is useful to its submitter, in seconds: by the most lenient of
    /// the class's objectives.
    fn patience_s(&self, spec: &JobSpec) -> f64 {
        let objectives = self.cfg.objectives.iter().filter(|o| o.class == spec.class);
        objectives
            .filter_map(|o| match o.kind {
                ObjectiveKind::Finished(within) => Some(within),
                ObjectiveKind::Deadline(times) => spec.deadline_s.map(|d| d * times),
                ObjectiveKind::Wait(within) => Some(within + spec.estimate_s),
            })
            .max_by(f64::total_cmp)
            .unwrap_or(4.0 * self.cfg.usual_wait_s + spec.estimate_s)
    }

    /// Measures demand and capacity, and decides the overload quota if this controller holds that
    /// role. Every controller measures, so that a new holder of the role has the same data as the
    /// former one.
    pub(crate) fn maintain_admission(&mut self) {
        if self.cfg.admission.is_none()
            || self.now.since(self.admission.last_checked) < MEASUREMENT_INTERVAL_MS
        {
            return;
        }
        self.admission.last_checked = self.now;
        let wall_s = self.wall_ms as f64 / 1000.0;
        self.admission.count_arrivals(&self.cache.jobs, wall_s);
        self.admission.record_capacity(self.now, self.available_cpus());
        self.admission.update_team_demands(wall_s);
        if self.holds(Role::OverloadQuota)
            && self.has_store_contact()
            && self.cloud_state.list_read_at.is_some()
        {
            self.decide_overload_quota();
        }
    }

    /// The limits on the long work of teams that have such work waiting, so that resources stay
    /// free for the jobs that arrive next, and which jobs are deferred under them. Within a team's
    /// limit whole jobs are admitted one after the other, those that have begun first: when six
    /// jobs shared the limit evenly, none of them finished for ten minutes.
    pub(crate) fn long_work(&self) -> LongWork {
        let mut long = LongWork::default();
        let demands = &self.admission.team_demands;
        let capacity = self.admission.capacity_history.back().map_or(0.0, |c| c.1);
        if self.cfg.admission.is_none() {
            return long;
        }
        let mut jobs: BTreeMap<&TeamId, Vec<(bool, u64, &JobId, f64)>> = BTreeMap::new();
        let mut limits: BTreeMap<(&TeamId, Urgency), Option<LongWorkLimit>> = BTreeMap::new();
        for (id, cached) in &self.cache.jobs {
            let spec = &cached.record.spec;
            let is_limited = self.cfg.team(&spec.team).is_none_or(|t| t.is_limited());
            let has_waiting = !cached.record.aborted && cached.unclaimed() > 0;
            if is_limited || !has_waiting || spec.kind != Kind::Array || cached.width().is_some() {
                continue;
            }
            let limit = limits.entry((&spec.team, spec.urgency));
            let computed = *limit.or_insert_with(|| {
                cleatfold_admission::long_work_limit::long_work_limit(
                    demands,
                    capacity,
                    &spec.team,
                    spec.urgency,
                )
            });
            let Some(mut limit) = computed.filter(|limit| limit.is_long(spec.estimate_s)) else {
                continue;
            };
            // The limit is never below the floor that the overload quota guarantees the group.
            let floor = self.overload_entry(cached).map_or(0.0, |e| e.floor as f64 / 1000.0);
            limit.capacity_share = limit.capacity_share.max(floor / capacity.max(1.0)).min(1.0);
            let unfinished_cpus = spec.cpus * f64::from(cached.unfinished());
            let begun = cached.claimed + cached.done > 0;
            let job = (!begun, cached.accepted_revision(), id, unfinished_cpus);
            jobs.entry(&spec.team).or_default().push(job);
            let team_limit = long.limits.entry(spec.team.clone()).or_insert(limit);
            team_limit.capacity_share = team_limit.capacity_share.max(limit.capacity_share);
        }
        for (team, mut jobs) in jobs {
            jobs.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
            let mut remaining_cpus = long.limits[team].capacity_share * capacity;
            for (i, (is_new, _, id, unfinished_cpus)) in jobs.into_iter().enumerate() {
                // A new job begins beside others only if all of it fits; otherwise many jobs would
                // be half done and none finished.
                if i > 0 && (remaining_cpus <= 0.0 || (is_new && unfinished_cpus > remaining_cpus))
                {
                    long.deferred.insert(id.clone());
                } else {
                    remaining_cpus -= unfinished_cpus;
                }
            }
        }
        long
    }

    /// Processors of the machines that accept tasks and have not missed their lease, less those
    /// that services hold: work that ends is not served by them.
    fn available_cpus(&self) -> f64 {
        let allocations = self.permanent_allocations();
        let mut capacity = 0.0;
        for (id, m) in &self.inventory.machines {
            if m.is_schedulable() && !self.has_missed_lease(m) {
                let total = self.inventory.machine_resources(&m.pool.machine_type);
                capacity += allocations.remainder(id, total).cpus.max(0) as f64 / 1000.0;
            }
        }
        capacity
    }

    /// Whether a machine in an owned pool has sent no heartbeat for the length of a lease. Machines
    /// of other pools send theirs to another controller, so nothing is concluded about them: a
    /// former owner that still did wrote an overload quota with no capacity one lease after it had
    /// lost its pools, and jobs of limited teams waited while machines were free.
    fn has_missed_lease(&self, machine: &Machine) -> bool {
        let Some(owned) = self.pools.owned.get(&machine.pool) else { return false };
        let reported = machine
            .last_heartbeat_at()
            .map(|at| at.max(machine.observed_since).max(owned.acquired_at));
        reported.is_some_and(|at| self.now.since(at) >= self.cfg.lease_ms)
    }

    /// Capacity and the demand of all groups, as input to the decision on the quota.
    fn demand_snapshot(&self) -> DemandSnapshot {
        let Some(rules) = &self.cfg.admission else { return DemandSnapshot::default() };
        let history = &self.admission.capacity_history;
        let (oldest_at, oldest_capacity) = history.front().copied().unwrap_or_default();
        let capacity = history.back().map_or(0.0, |h| h.1);
        let min_capacity = history.iter().map(|h| h.1).fold(oldest_capacity, f64::min);
        let settled = self.now.since(oldest_at) >= SETTLED_MS && capacity <= min_capacity * 1.03;
        let distributions = self.distributions(rules);
        let demands = self.group_demands(rules, &distributions).into_iter();
        let groups = demands.filter_map(|(group, demand)| {
            let distribution = distributions.get(&group)?;
            Some(self.group_demand(rules, group, demand, distribution))
        });
        DemandSnapshot { capacity, capacity_settled: settled, groups: groups.collect() }
    }

    /// The distribution of work over the jobs of each group, for groups that have been measured.
    fn distributions(&self, rules: &AdmissionRules) -> BTreeMap<&Group, Distribution> {
        let meter = &self.admission.meter;
        let measured = meter.groups().filter_map(|group| {
            let required = meter.size_distribution(group, rules.required_job_share)?;
            let largest =
                meter.largest(&group.class, rules.largest_job_share, required.max_work)?;
            let desired = meter.size_distribution(group, rules.desired_job_share)?;
            Some((group, Distribution { required, desired, largest }))
        });
        measured.collect()
    }

    /// Sums up the waiting and the running work of each group.
    fn group_demands(
        &self,
        rules: &AdmissionRules,
        distributions: &BTreeMap<&Group, Distribution>,
    ) -> BTreeMap<Group, GroupDemand> {
        let begin_ms = (rules.start_within_s * 1000.0) as u64;
        let mut demands: BTreeMap<Group, GroupDemand> = BTreeMap::new();
        for cached in self.cache.jobs.values() {
            let spec = &cached.record.spec;
            if cached.record.aborted || !has_estimated_work(cached) {
                continue;
            }
            let group = Group { team: spec.team.clone(), class: spec.class.clone() };
            let Some(distribution) = distributions.get(&group) else { continue };
            let is_late = size_classes::is_late(begin_ms, cached.record.accepted_ms, self.wall_ms);
            let demand = demands.entry(group).or_default();
            demand.add(cached, distribution, is_late, self.patience_s(spec));
        }
        demands
    }

    /// The demand of one group, as input to the decision on the quota.
    fn group_demand(
        &self,
        rules: &AdmissionRules,
        group: Group,
        demand: GroupDemand,
        distribution: &Distribution,
    ) -> Demand {
        let Distribution { required, desired, largest } = distribution;
        let small = |s: &SizeDistribution, waiting| SizeDemand {
            max_work: s.max_work,
            work_share: s.work_share,
            waiting,
        };
        // Of the two upper size classes only the share `upper_class_job_share` has to be served.
        let larger = |max_work, work_share, waiting| SizeDemand {
            max_work,
            work_share: rules.upper_class_job_share * work_share,
            waiting: rules.upper_class_job_share * waiting,
        };
        let team = self.cfg.team(&group.team);
        Demand {
            urgency: demand.urgency.unwrap_or(Urgency::BestEffort),
            waiting: demand.waiting,
            running: demand.running,
            rate: self.admission.meter.rate(&group, self.wall_ms as f64 / 1000.0),
            patience_s: demand.patience_s / demand.jobs,
            required: small(required, demand.required),
            desired: small(desired, demand.desired),
            middle: larger(largest.min_work, largest.middle_work_share, demand.middle),
            large: larger(f64::INFINITY, largest.work_share, demand.large),
            bounds: distribution.bounds(),
            median_work: required.median_work,
            guarantee: team.map_or(0.0, |t| t.cpus),
            limit: team.map_or(0.0, |t| t.cpus_max),
            group,
        }
    }

    /// Decides the overload quota, and writes it if it has changed enough. Called by the holder of
    /// the role.
    fn decide_overload_quota(&mut self) {
        let snapshot = self.demand_snapshot();
        let Some(rules) = &self.cfg.admission else { return };
        let Versioned { version, value: known } = &self.cache.overload_quota;
        let now_s = self.now.0 as f64 / 1000.0;
        let mut entries =
            decide(rules, &mut self.admission.overload_timers, known, &snapshot, now_s);
        entries.truncate(self.cfg.max_value_bytes / ESTIMATED_ENTRY_BYTES);
        let same_groups = entries.len() == known.entries.len()
            && entries.iter().all(|e| known.entry(&e.team, &e.class).is_some());
        let is_recent =
            same_groups && self.now.since(self.admission.last_written) < MIN_QUOTA_AGE_MS;
        if self.admission.write_in_flight || is_recent || !known.differs(&entries) {
            return;
        }
        let Some(epoch) = self.epoch(Role::OverloadQuota) else { return };
        tracing::info!(
            generation = known.generation + 1,
            groups = entries.len(),
            capacity = snapshot.capacity,
            entries = ?entries.iter().map(loggable_entry).collect::<Vec<_>>(),
            "overload quota decided"
        );
        let next = OverloadQuota { generation: known.generation + 1, epoch, entries };
        let mut txn = Txn::default();
        txn.guard(OVERLOAD_QUOTA_KEY, *version);
        txn.guard(Role::OverloadQuota.key(), epoch);
        txn.put(OVERLOAD_QUOTA_KEY, &next, None);
        self.admission.write_in_flight = true;
        self.admission.last_written = self.now;
        self.call_store(CallPriority::Claim, StoreRequest::Txn(txn), Pending::OverloadQuota);
    }

    /// Whatever the outcome of the write, the next sync shows what is stored.
    pub(crate) fn on_overload_quota_written(&mut self) {
        self.admission.write_in_flight = false;
        self.session.sync_wanted = true;
        self.send_to_peers(None, cleatfold_wire::mesh::Message::Changed);
    }
}
