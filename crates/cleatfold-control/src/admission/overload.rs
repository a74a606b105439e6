//! Overload that lasts: what each group asks for is measured by every controller, one controller decides, and
//! all go by what it has written.
//!
//! Only the order of the queue rests on it, so a controller that has not read the newest overload quota does
//! no harm: every claim is guarded as ever. The writer's word is guarded by its role's key: a
//! holder that was replaced cannot overwrite what the next one has written.

use crate::admission::state::{work, LongWork, MEASUREMENT_INTERVAL_MS, SETTLED_MS};
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

/// An overload quota stands for so long, unless a group comes or goes.
const STAND_MS: u64 = 5000;
/// Bytes that an entry takes in the record, names included.
const ENTRY_BYTES: usize = 260;

/// For the log: floors of the small, the middle and the largest, in processors.
fn quota_for_log(e: &QuotaEntry) -> (&TeamId, &ClassId, i64, Option<(i64, i64, bool)>) {
    let upper =
        e.sizes.as_ref().map(|s| (s.middle_floor / 1000, s.large_floor / 1000, s.capacity_short));
    (&e.team, &e.class, e.floor / 1000, upper)
}

/// How the work of a group's jobs is distributed, as it was measured.
struct Distribution {
    /// The jobs that must be served, the smallest first.
    must: SizeDistribution,
    /// Those that should be.
    should: SizeDistribution,
    /// The largest of their class.
    largest: LargestJobs,
}

impl Distribution {
    fn bounds(&self) -> SizeBounds {
        let LargestJobs { min_work: work, min_tasks: tasks, .. } = self.largest;
        SizeBounds {
            small_max_work: self.must.max_work,
            large_min_work: work,
            large_min_tasks: tasks,
        }
    }
}

/// What the jobs of one group have and ask for, in processor-seconds.
#[derive(Default)]
struct GroupDemand {
    /// Of its most urgent job.
    urgency: Option<Urgency>,
    waiting: f64,
    /// What waits of the jobs that must, and of those that should be served.
    must: f64,
    should: f64,
    /// What waits of the middle and of the largest jobs.
    middle: f64,
    large: f64,
    running: f64,
    /// The sum over its jobs.
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
        let all = work(spec, spec.tasks);
        let waits = work(spec, cached.unclaimed());
        let up_to = |most: f64| if all <= most { waits } else { 0.0 };
        self.waiting += waits;
        self.must += up_to(distribution.must.max_work);
        self.should += up_to(distribution.should.max_work);
        // What can no longer begin in time waits for what is left.
        let has_begun = cached.claimed + cached.done > 0;
        match distribution.bounds().size_class(all, spec.tasks) {
            _ if is_late && !has_begun => {}
            SizeClass::Small => {}
            SizeClass::Middle => self.middle += waits,
            SizeClass::Large => self.large += waits,
        }
        // Of what runs about half is done, where nothing better is known.
        self.running += 0.5 * work(spec, cached.claimed);
        self.patience_s += patience_s;
        self.jobs += 1.0;
        self.urgency = Some(self.urgency.map_or(spec.urgency, |u| u.min(spec.urgency)));
    }
}

impl Controller {
    /// What the agreement says of the job's group, if it is not served in time.
    pub(crate) fn overload_entry(&self, cached: &CachedJob) -> Option<&QuotaEntry> {
        let overload_quota = &self.cache.overload_quota.value;
        if overload_quota.is_empty() || cached.width().is_some() || self.cfg.admission.is_none() {
            return None;
        }
        overload_quota.entry(&cached.record.spec.team, &cached.record.spec.class)
    }

    /// Whether a job that is not known yet would only wait past its use, and then after how many
    /// seconds to ask again. By the job's size and the overload quota alone: the same answer at every
    /// controller and at every retry, as long as the overload quota stands.
    pub(crate) fn refused_for_now(&self, spec: &JobSpec) -> Option<u32> {
        self.cfg.admission.as_ref()?;
        let most = self.cache.overload_quota.value.entry(&spec.team, &spec.class)?.max_new_work?;
        let refused = spec.kind == Kind::Array && work(spec, spec.tasks) > most as f64;
        // An overload quota is looked at again after STAND_MS; a retry before that is in vain.
        let spread = xxhash_rust::xxh3::xxh3_64(spec.id.as_str().as_bytes()) % 8;
        refused.then_some((2 * STAND_MS / 1000 + spread) as u32)
    }

    /// How long a job of this kind is of use to who sent it: by the most lenient of its objectives.
    fn patience_s(&self, spec: &JobSpec) -> f64 {
        let objectives = self.cfg.objectives.iter().filter(|a| a.class == spec.class);
        objectives
            .filter_map(|a| match a.kind {
                ObjectiveKind::Finished(within) => Some(within),
                ObjectiveKind::Deadline(times) => spec.deadline_s.map(|d| d * times),
                ObjectiveKind::Wait(within) => Some(within + spec.estimate_s),
            })
            .max_by(f64::total_cmp)
            .unwrap_or(4.0 * self.cfg.usual_wait_s + spec.estimate_s)
    }

    /// Measures, at every controller, so that whoever decides next knows what the last one knew.
    pub(crate) fn keep_admission(&mut self) {
        if self.cfg.admission.is_none()
            || self.now.since(self.admission.last_checked) < MEASUREMENT_INTERVAL_MS
        {
            return;
        }
        self.admission.last_checked = self.now;
        let wall_s = self.wall_ms as f64 / 1000.0;
        self.admission.note_arrivals(&self.cache.jobs, wall_s);
        self.admission.note_capacity(self.now, self.processors());
        self.admission.note_asks(wall_s);
        if self.holds(Role::OverloadQuota)
            && self.in_contact()
            && self.cloud_state.list_at.is_some()
        {
            self.decide_overload_quota();
        }
    }

    /// Teams of which long work waits, and what that may hold: it leaves room for what comes. And of
    /// each such team the jobs whose turn it is: those that fit into its room together, begun ones
    /// first. (Six jobs each got a sixth of the room, and none of them was done for ten minutes.)
    pub(crate) fn long_work(&self) -> LongWork {
        let mut long = LongWork::default();
        let asks = &self.admission.asks;
        let capacity = self.admission.capacity.back().map_or(0.0, |c| c.1);
        if self.cfg.admission.is_none() {
            return long;
        }
        let mut jobs: BTreeMap<&TeamId, Vec<(bool, u64, &JobId, f64)>> = BTreeMap::new();
        let mut limits: BTreeMap<(&TeamId, Urgency), Option<LongWorkLimit>> = BTreeMap::new();
        for (id, cached) in &self.cache.jobs {
            let spec = &cached.record.spec;
            let limited = self.cfg.team(&spec.team).is_none_or(|t| t.is_limited());
            let waits = !cached.record.aborted && cached.unclaimed() > 0;
            if limited || !waits || spec.kind != Kind::Array || cached.width().is_some() {
                continue;
            }
            let limit = limits.entry((&spec.team, spec.urgency));
            let known = *limit.or_insert_with(|| {
                cleatfold_admission::long_work_limit::long_work_limit(
                    asks,
                    capacity,
                    &spec.team,
                    spec.urgency,
                )
            });
            let Some(mut limit) = known.filter(|r| r.is_long(spec.estimate_s)) else { continue };
            // What it is promised while it is not served in time, it has in any case.
            let floor = self.overload_entry(cached).map_or(0.0, |e| e.floor as f64 / 1000.0);
            limit.capacity_share = limit.capacity_share.max(floor / capacity.max(1.0)).min(1.0);
            let rest = spec.cpus * f64::from(cached.unfinished());
            let begun = cached.claimed + cached.done > 0;
            let job = (!begun, cached.place(), id, rest);
            jobs.entry(&spec.team).or_default().push(job);
            let known = long.limits.entry(spec.team.clone()).or_insert(limit);
            known.capacity_share = known.capacity_share.max(limit.capacity_share);
        }
        for (team, mut jobs) in jobs {
            jobs.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
            let mut left = long.limits[team].capacity_share * capacity;
            for (i, (new, _, id, rest)) in jobs.into_iter().enumerate() {
                // Only what fits whole is begun beside others, or all are in the end half done.
                if i > 0 && (left <= 0.0 || (new && rest > left)) {
                    long.later.insert(id.clone());
                } else {
                    left -= rest;
                }
            }
        }
        long
    }

    /// Processors of the machines that take work and are heard of.
    fn processors(&self) -> f64 {
        let mut capacity = 0.0;
        for m in self.inventory.machines.values() {
            if m.takes_work() && !self.is_silent(m) {
                capacity += self.inventory.total(&m.pool.machine_type).cpus as f64 / 1000.0;
            }
        }
        capacity
    }

    /// Whether one of our own machines has not reported for a lease. Machines of other owners report to those:
    /// whether we hear them says nothing. (A former owner went on counting by its own reports, wrote an overload quota
    /// of no capacity one lease after its pools had left it, and jobs of limited teams waited beside free machines.)
    fn is_silent(&self, machine: &Machine) -> bool {
        let Some(owned) = self.pools.owned.get(&machine.pool) else { return false };
        let reported = machine.last_heartbeat().map(|at| at.max(machine.known).max(owned.since));
        reported.is_some_and(|at| self.now.since(at) >= self.cfg.lease_ms)
    }

    /// What all groups ask for, as the decision on the quota needs it.
    fn view(&self) -> DemandSnapshot {
        let Some(rules) = &self.cfg.admission else { return DemandSnapshot::default() };
        let history = &self.admission.capacity;
        let (oldest, before) = history.front().copied().unwrap_or_default();
        let capacity = history.back().map_or(0.0, |h| h.1);
        let least = history.iter().map(|h| h.1).fold(before, f64::min);
        let settled = self.now.since(oldest) >= SETTLED_MS && capacity <= least * 1.03;
        let distributions = self.distributions(rules);
        let demands = self.group_demands(rules, &distributions).into_iter();
        let groups = demands.filter_map(|(group, demand)| {
            let distribution = distributions.get(&group)?;
            Some(self.demand_of(rules, group, demand, distribution))
        });
        DemandSnapshot { capacity, capacity_settled: settled, groups: groups.collect() }
    }

    /// How the work of each group is distributed over its jobs, as far as that was measured.
    fn distributions(&self, rules: &AdmissionRules) -> BTreeMap<&Group, Distribution> {
        let meter = &self.admission.meter;
        let measured = meter.groups().filter_map(|group| {
            let must = meter.size_distribution(group, rules.required_job_share)?;
            let largest = meter.largest(&group.class, rules.largest_job_share, must.max_work)?;
            let should = meter.size_distribution(group, rules.desired_job_share)?;
            Some((group, Distribution { must, should, largest }))
        });
        measured.collect()
    }

    /// Adds up what the jobs of each group have and ask for.
    fn group_demands(
        &self,
        rules: &AdmissionRules,
        distributions: &BTreeMap<&Group, Distribution>,
    ) -> BTreeMap<Group, GroupDemand> {
        let begin_ms = (rules.start_within_s * 1000.0) as u64;
        let mut demands: BTreeMap<Group, GroupDemand> = BTreeMap::new();
        for cached in self.cache.jobs.values() {
            let spec = &cached.record.spec;
            if cached.record.aborted || cached.width().is_some() || spec.kind == Kind::Service {
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

    fn demand_of(
        &self,
        rules: &AdmissionRules,
        group: Group,
        demand: GroupDemand,
        distribution: &Distribution,
    ) -> Demand {
        let Distribution { must, should, largest } = distribution;
        let small = |s: &SizeDistribution, waiting| SizeDemand {
            max_work: s.max_work,
            work_share: s.work_share,
            waiting,
        };
        // Half of what waits of the larger ones is not going to be served.
        let larger = |most, part, waiting| SizeDemand {
            max_work: most,
            work_share: rules.upper_class_job_share * part,
            waiting: rules.upper_class_job_share * waiting,
        };
        let team = self.cfg.team(&group.team);
        Demand {
            urgency: demand.urgency.unwrap_or(Urgency::BestEffort),
            waiting: demand.waiting,
            running: demand.running,
            rate: self.admission.meter.rate(&group, self.wall_ms as f64 / 1000.0),
            patience_s: demand.patience_s / demand.jobs,
            required: small(must, demand.must),
            desired: small(should, demand.should),
            middle: larger(largest.min_work, largest.middle_work_share, demand.middle),
            large: larger(f64::INFINITY, largest.work_share, demand.large),
            bounds: distribution.bounds(),
            median_work: must.median_work,
            guarantee: team.map_or(0.0, |t| t.cpus),
            limit: team.map_or(0.0, |t| t.cpus_max),
            group,
        }
    }

    /// The holder's part: decides, and writes what has changed.
    fn decide_overload_quota(&mut self) {
        let view = self.view();
        let Some(rules) = &self.cfg.admission else { return };
        let Versioned { version, value: known } = &self.cache.overload_quota;
        let now_s = self.now.0 as f64 / 1000.0;
        let mut entries = decide(rules, &mut self.admission.judge, known, &view, now_s);
        entries.truncate(self.cfg.max_value_bytes / ENTRY_BYTES);
        let same_groups = entries.len() == known.entries.len()
            && entries.iter().all(|e| known.entry(&e.team, &e.class).is_some());
        let stands = same_groups && self.now.since(self.admission.written) < STAND_MS;
        if self.admission.inflight || stands || !known.differs(&entries) {
            return;
        }
        let Some(epoch) = self.epoch(Role::OverloadQuota) else { return };
        tracing::info!(
            generation = known.generation + 1,
            groups = entries.len(),
            capacity = view.capacity,
            entries = ?entries.iter().map(quota_for_log).collect::<Vec<_>>(),
            "overload quota decided"
        );
        let next = OverloadQuota { generation: known.generation + 1, epoch, entries };
        let mut txn = Txn::default();
        txn.guard(OVERLOAD_QUOTA_KEY, *version);
        txn.guard(Role::OverloadQuota.key(), epoch);
        txn.put(OVERLOAD_QUOTA_KEY, &next, None);
        self.admission.inflight = true;
        self.admission.written = self.now;
        self.store(CallPriority::Claim, StoreRequest::Txn(txn), Pending::OverloadQuota);
    }

    /// Whatever came of it, the next reading tells.
    pub(crate) fn on_overload_quota_written(&mut self) {
        self.admission.inflight = false;
        self.session.sync_wanted = true;
        self.tell(None, cleatfold_wire::mesh::Message::Changed);
    }
}
