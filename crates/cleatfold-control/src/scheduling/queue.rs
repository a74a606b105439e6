//! The order of the queue: which tasks of each job wait for a slot, and which of them go first.

use crate::admission::state::{estimated_cpu_s, size_class_demand};
use crate::controller::Controller;
use crate::store::cache::CachedJob;
use cleatfold_admission::{order, size_classes, QuotaEntry, SizeClass, SizeClassQuota};
use cleatfold_backfill::order::{Guarantees, QueueKey};
use cleatfold_priority::acceptance_times;
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::{ClassId, JobId, TeamId};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Tasks of one job that wait for a slot.
pub(crate) struct QueuedTasks {
    pub job: JobId,
    pub urgency: Urgency,
    pub tasks: u32,
    /// Whether these are members that an elastic job could use beyond its base. They only use
    /// resources that are free, no machine is rented for them, and they yield to other tasks.
    pub is_growth: bool,
}

impl Controller {
    /// The queue in order, with the unclaimed tasks of each job. Each job has one entry, and an
    /// elastic job one more for its growth.
    pub(crate) fn queue(&self) -> Vec<QueuedTasks> {
        let mut entries: Vec<QueuedTasks> = Vec::new();
        let mut first_entries: HashMap<JobId, usize> = HashMap::new();
        for queued in self.queue_and_guaranteed().0 {
            match first_entries.get(&queued.job) {
                Some(&first) if !queued.is_growth => entries[first].tasks += queued.tasks,
                _ => {
                    if !queued.is_growth {
                        first_entries.insert(queued.job.clone(), entries.len());
                    }
                    entries.push(queued);
                }
            }
        }
        entries
    }

    /// The queue in order, and the jobs within their team's guarantee. A job of which only some
    /// tasks are promoted has two entries.
    pub(crate) fn queue_and_guaranteed(&self) -> (Vec<QueuedTasks>, HashSet<JobId>) {
        let mut arrivals: Vec<(&JobId, &CachedJob)> =
            self.cache.jobs.iter().filter(|(_, j)| !j.record.aborted).collect();
        // Ordered by the revisions at which the jobs were accepted. Ordered by time of day, jobs
        // that were accepted by a controller whose clock is ahead would go last.
        arrivals
            .sort_by(|a, b| (a.1.accepted_revision(), a.0).cmp(&(b.1.accepted_revision(), b.0)));
        let accepted_ms = acceptance_times(arrivals.iter().map(|(_, j)| j.record.accepted_ms));
        let mut guarantees = self.guarantees();
        let mut builder = QueueBuilder { wall_ms: self.wall_ms, ..QueueBuilder::default() };
        for ((id, cached), accepted_ms) in arrivals.into_iter().zip(accepted_ms) {
            let unfinished = cached.task_resources.times(cached.unfinished());
            let is_guaranteed = guarantees.admit(&cached.record.spec.team, unfinished);
            if is_guaranteed {
                builder.guaranteed.insert(id.clone());
            }
            let entry = self.overload_entry(cached);
            let tasks = self.startable_tasks(id, cached, cached.unclaimed());
            builder.add_base(&Arrival { id, cached, accepted_ms, is_guaranteed, tasks }, entry);
            let growth = self.startable_tasks(id, cached, self.growth_tasks(id, cached));
            builder.add_growth(id, cached, growth);
        }
        let is_divisible = |job: &JobId| {
            // Only the tasks of an array start and end independently.
            let cached = self.cache.jobs.get(job).map(|cached| &cached.record.spec);
            cached.is_some_and(|spec| spec.kind == Kind::Array && !spec.spread)
        };
        builder.promote_all(is_divisible);
        builder.build()
    }

    fn guarantees(&self) -> Guarantees {
        let guaranteed = self.cfg.teams.iter().filter(|t| t.cpus > 0.0 || t.gpus > 0.0);
        Guarantees::new(guaranteed.map(|t| (t.name.clone(), t.cpus, t.gpus)))
    }
}

/// A job to be added to the queue.
struct Arrival<'a> {
    id: &'a JobId,
    cached: &'a CachedJob,
    /// When it was accepted, adjusted so that the times never contradict the order of acceptance.
    accepted_ms: u64,
    is_guaranteed: bool,
    /// Tasks of its base that may start now.
    tasks: u32,
}

/// Tasks of a job with their place in the queue. Ordered by place.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    place: QueueKey,
    tasks: u32,
    is_growth: bool,
}

/// The queue while it is being built.
#[derive(Default)]
struct QueueBuilder<'a> {
    wall_ms: u64,
    candidates: Vec<Candidate>,
    guaranteed: HashSet<JobId>,
    /// Classes that are not served in time.
    overloaded: BTreeMap<&'a ClassId, OverloadedClass<'a>>,
}

impl<'a> QueueBuilder<'a> {
    /// Adds a job's tasks without its growth. `entry` is its group's entry in the overload quota.
    fn add_base(&mut self, job: &Arrival<'a>, entry: Option<&'a QuotaEntry>) {
        let cached = job.cached;
        let spec = &cached.record.spec;
        let is_small = entry.is_none_or(|entry| self.record_demand(job, entry));
        if job.tasks == 0 {
            return;
        }
        // An elastic job that may shrink to nothing goes behind all others of its urgency;
        // otherwise it would take back the slot that it has just yielded.
        let can_shrink_to_zero = cached.width().is_some_and(|w| w.min_members == 0);
        let (arrival, past_patience) = match entry {
            _ if can_shrink_to_zero => (u64::MAX, false),
            None => (job.accepted_ms, false),
            Some(entry) => self.arrival_under_overload(job, entry, is_small),
        };
        let place = QueueKey {
            beyond_floor: true,
            past_patience,
            urgency: spec.urgency,
            beyond_guarantee: !job.is_guaranteed || can_shrink_to_zero,
            arrival,
            acceptance_revision: cached.accepted_revision(),
            id: job.id.clone(),
        };
        self.candidates.push(Candidate { place, tasks: job.tasks, is_growth: false });
    }

    /// Adds members that an elastic job could use beyond its base.
    fn add_growth(&mut self, id: &JobId, cached: &CachedJob, tasks: u32) {
        if tasks == 0 {
            return;
        }
        // Behind everything of its urgency: growth uses only what no other job has reserved.
        let place = QueueKey {
            beyond_floor: true,
            past_patience: false,
            urgency: cached.record.spec.urgency,
            beyond_guarantee: true,
            arrival: u64::MAX,
            acceptance_revision: cached.accepted_revision(),
            id: id.clone(),
        };
        self.candidates.push(Candidate { place, tasks, is_growth: true });
    }

    /// Records what a job of an overloaded group has claimed and needs. True if the job is small.
    fn record_demand(&mut self, job: &Arrival<'a>, entry: &'a QuotaEntry) -> bool {
        let cached = job.cached;
        let spec = &cached.record.spec;
        let class = self.overloaded.entry(&spec.class).or_default();
        class.floors.insert(&spec.team, (entry.floor, entry.sizes.as_ref()));
        let work = estimated_cpu_s(spec, spec.tasks);
        let size_class =
            entry.sizes.as_ref().map_or(SizeClass::Small, |s| s.size_class(work, spec.tasks));
        if let (Some(sizes), Some(larger)) = (&entry.sizes, class.larger_mut(size_class)) {
            let mut demand = size_class_demand(entry, job.id, cached, sizes.start_within_ms);
            demand.claimable = demand.claimable.min(cached.task_resources.times(job.tasks).cpus);
            let candidate = (job.tasks > 0).then_some(self.candidates.len());
            larger.push(LargerJob { demand, candidate });
            return false;
        }
        class.claimed_cpus += cached.task_resources.times(cached.claimed).cpus;
        true
    }

    /// The time by which a job is ordered under overload, and whether the job has waited for longer
    /// than its group's patience.
    fn arrival_under_overload(
        &mut self,
        job: &Arrival<'a>,
        entry: &QuotaEntry,
        is_small: bool,
    ) -> (u64, bool) {
        let cached = job.cached;
        let spec = &cached.record.spec;
        let waiting = order::QueuedJob {
            accepted_ms: job.accepted_ms,
            remaining_work: estimated_cpu_s(spec, cached.unclaimed()),
            started: cached.claimed + cached.done > 0,
        };
        let order_ms = order::sort_time_ms(entry, waiting, self.wall_ms);
        if is_small {
            let needed_cpus = cached.task_resources.times(cached.unclaimed()).cpus;
            let candidate = self.candidates.len();
            let class = self.overloaded.entry(&spec.class).or_default();
            class.small.push(SmallJob { order_ms, candidate, needed_cpus });
        }
        (order_ms, order::is_past_patience(entry, waiting, self.wall_ms))
    }

    /// Promotes, in each class that is not served in time, the jobs that fill its guaranteed
    /// minimum.
    fn promote_all(&mut self, is_divisible: impl Fn(&JobId) -> bool) {
        for mut class in std::mem::take(&mut self.overloaded).into_values() {
            let floor = class.floors.values().map(|f| f.0).sum();
            class.small.sort_unstable();
            let needs = class.small.iter().map(|job| job.needed_cpus);
            let promoted = order::promote_small(floor, class.claimed_cpus, needs);
            for job in &class.small[..promoted] {
                self.candidates[job.candidate].place.beyond_floor = false;
            }
            self.promote_larger(&class, SizeClass::Middle, &class.middle, &is_divisible);
            self.promote_larger(&class, SizeClass::Large, &class.large, &is_divisible);
        }
    }

    /// Promotes those tasks of a class's larger jobs that fill the size class's guaranteed minimum.
    fn promote_larger(
        &mut self,
        class: &OverloadedClass,
        size_class: SizeClass,
        jobs: &[LargerJob],
        is_divisible: impl Fn(&JobId) -> bool,
    ) {
        let sizes = || class.floors.values().filter_map(|f| f.1);
        let terms = size_classes::SizeClassTerms {
            floor: sizes().map(|s| s.floor(size_class)).sum(),
            start_within_ms: sizes().map(|s| s.start_within_ms).min().unwrap_or_default(),
            capacity_short: sizes().any(|s| s.capacity_short),
        };
        let demands: Vec<size_classes::LargerJobDemand> =
            jobs.iter().map(|job| job.demand).collect();
        let promoted = size_classes::promote_larger(terms, self.wall_ms, &demands);
        for (job, promoted) in jobs.iter().zip(promoted) {
            let Some(index) = job.candidate.filter(|_| promoted > 0) else { continue };
            let candidate = &mut self.candidates[index];
            let promoted_place =
                QueueKey { beyond_floor: false, past_patience: false, ..candidate.place.clone() };
            let tasks = (promoted / job.demand.per_task.max(1)).max(1) as u32;
            if !is_divisible(&promoted_place.id) || tasks >= candidate.tasks {
                candidate.place = promoted_place;
            } else {
                candidate.tasks -= tasks;
                self.candidates.push(Candidate { place: promoted_place, tasks, is_growth: false });
            }
        }
    }

    /// Sorts the queue; returns it with the jobs within their teams' guarantees.
    fn build(mut self) -> (Vec<QueuedTasks>, HashSet<JobId>) {
        self.candidates.sort();
        let queued = |Candidate { place, tasks, is_growth }| QueuedTasks {
            job: place.id,
            urgency: place.urgency,
            tasks,
            is_growth,
        };
        (self.candidates.into_iter().map(queued).collect(), self.guaranteed)
    }
}

/// A small job of an overloaded class. Ordered by `order_ms`.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SmallJob {
    order_ms: u64,
    /// Index of its candidate.
    candidate: usize,
    /// Processors that it needs, in thousandths.
    needed_cpus: i64,
}

/// A job of an overloaded class in one of the two upper size classes.
struct LargerJob {
    demand: size_classes::LargerJobDemand,
    /// Index of its candidate, if any of its tasks wait.
    candidate: Option<usize>,
}

/// The claimed processors and the waiting jobs of a class that is not served in time.
#[derive(Default)]
struct OverloadedClass<'a> {
    /// By team: the guaranteed minimum of its small jobs, and the bounds and minimums of its size
    /// classes.
    floors: BTreeMap<&'a TeamId, (i64, Option<&'a SizeClassQuota>)>,
    /// Processors that its small jobs have claimed, in thousandths.
    claimed_cpus: i64,
    small: Vec<SmallJob>,
    middle: Vec<LargerJob>,
    large: Vec<LargerJob>,
}

impl OverloadedClass<'_> {
    fn larger_mut(&mut self, size_class: SizeClass) -> Option<&mut Vec<LargerJob>> {
        match size_class {
            SizeClass::Small => None,
            SizeClass::Middle => Some(&mut self.middle),
            SizeClass::Large => Some(&mut self.large),
        }
    }
}

#[cfg(test)]
mod tests;
