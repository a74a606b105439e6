//! The queue's order: what of each job waits for a place, and who goes first.

use crate::admission::state::size_class_demand;
use crate::controller::Controller;
use crate::store::cache::CachedJob;
use cleatfold_admission::{order, size_classes, QuotaEntry, SizeClass, SizeClassQuota};
use cleatfold_backfill::order::{Guarantees, Place};
use cleatfold_priority::acceptance_times;
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::{ClassId, JobId, TeamId};
use std::collections::{BTreeMap, HashMap, HashSet};

/// What of a job waits for a place.
pub(crate) struct Queued {
    pub job: JobId,
    pub urgency: Urgency,
    pub tasks: u32,
    /// Members that an elastic job could use beyond its base: they take holes, nothing is rented
    /// for them, and they give way.
    pub growth: bool,
}

impl Controller {
    /// The queue in order, with what of each job is unclaimed; each job once.
    pub(crate) fn queue(&self) -> Vec<Queued> {
        let mut all: Vec<Queued> = Vec::new();
        let mut known: HashMap<JobId, usize> = HashMap::new();
        for q in self.queue_and_guaranteed().0 {
            match known.get(&q.job) {
                Some(&first) if !q.growth => all[first].tasks += q.tasks,
                _ => {
                    if !q.growth {
                        known.insert(q.job.clone(), all.len());
                    }
                    all.push(q);
                }
            }
        }
        all
    }

    /// For planning: also which jobs lie within their team's guarantee. A job of which only a part goes before
    /// everybody else's is there twice.
    pub(crate) fn queue_and_guaranteed(&self) -> (Vec<Queued>, HashSet<JobId>) {
        let mut arrivals: Vec<(&JobId, &CachedJob)> =
            self.cache.jobs.iter().filter(|(_, j)| !j.record.aborted).collect();
        // By the revisions that accepted them: by the times of day, the clock that was ahead came last.
        arrivals.sort_by(|a, b| (a.1.place(), a.0).cmp(&(b.1.place(), b.0)));
        let accepted_ms = acceptance_times(arrivals.iter().map(|(_, j)| j.record.accepted_ms));
        let mut guarantees = self.guarantees();
        let mut draft = QueueDraft { wall_ms: self.wall_ms, ..QueueDraft::default() };
        for ((id, cached), accepted_ms) in arrivals.into_iter().zip(accepted_ms) {
            let unfinished = cached.each.times(cached.unfinished());
            let is_guaranteed = guarantees.admit(&cached.record.spec.team, unfinished);
            if is_guaranteed {
                draft.guaranteed.insert(id.clone());
            }
            let entry = self.overload_entry(cached);
            let tasks = self.may_start(id, cached, cached.unclaimed());
            draft.add_base(&Arrival { id, cached, accepted_ms, is_guaranteed, tasks }, entry);
            let growth = self.may_start(id, cached, self.growth(id, cached));
            draft.add_growth(id, cached, growth);
        }
        let is_divisible = |job: &JobId| {
            // Only an array's tasks come and go one by one.
            let cached = self.cache.jobs.get(job).map(|cached| &cached.record.spec);
            cached.is_some_and(|spec| spec.kind == Kind::Array && !spec.spread)
        };
        draft.promote_all(is_divisible);
        draft.finish()
    }

    fn guarantees(&self) -> Guarantees {
        let guaranteed = self.cfg.teams.iter().filter(|t| t.cpus > 0.0 || t.gpus > 0.0);
        Guarantees::new(guaranteed.map(|t| (t.name.clone(), t.cpus, t.gpus)))
    }
}

/// A job as it joins the queue.
struct Arrival<'a> {
    id: &'a JobId,
    cached: &'a CachedJob,
    /// Its acceptance, in an order that contradicts no place.
    accepted_ms: u64,
    is_guaranteed: bool,
    /// Tasks of its base that may start now.
    tasks: u32,
}

/// A place in the queue, and what of a job waits for it. Ordered by place.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    place: Place,
    tasks: u32,
    growth: bool,
}

/// The queue that is being put together.
#[derive(Default)]
struct QueueDraft<'a> {
    wall_ms: u64,
    candidates: Vec<Candidate>,
    guaranteed: HashSet<JobId>,
    /// Classes that are not served in time.
    overloaded: BTreeMap<&'a ClassId, OverloadedClass<'a>>,
}

impl<'a> QueueDraft<'a> {
    /// Adds what of a job has to run in any case. `entry`: its group's part of the overload quota.
    fn add_base(&mut self, job: &Arrival<'a>, entry: Option<&'a QuotaEntry>) {
        let cached = job.cached;
        let spec = &cached.record.spec;
        let is_small = entry.is_none_or(|entry| self.note_demand(job, entry));
        if job.tasks == 0 {
            return;
        }
        // A job that may shrink to nothing gives way to all of its urgency, or it would
        // take the very place that it has just given to somebody else.
        let gives_way = cached.width().is_some_and(|w| w.least == 0);
        let (arrival, past_use) = match entry {
            _ if gives_way => (u64::MAX, false),
            None => (job.accepted_ms, false),
            Some(entry) => self.arrival_under_overload(job, entry, is_small),
        };
        let place = Place {
            beyond_floor: true,
            past_use,
            urgency: spec.urgency,
            beyond_guarantee: !job.is_guaranteed || gives_way,
            arrival,
            turn: cached.place(),
            id: job.id.clone(),
        };
        self.candidates.push(Candidate { place, tasks: job.tasks, growth: false });
    }

    /// Adds members that an elastic job could use beyond its base.
    fn add_growth(&mut self, id: &JobId, cached: &CachedJob, tasks: u32) {
        if tasks == 0 {
            return;
        }
        // Behind everything of its urgency: it takes only what nobody has reserved.
        let place = Place {
            beyond_floor: true,
            past_use: false,
            urgency: cached.record.spec.urgency,
            beyond_guarantee: true,
            arrival: u64::MAX,
            turn: cached.place(),
            id: id.clone(),
        };
        self.candidates.push(Candidate { place, tasks, growth: true });
    }

    /// Notes what a job of an overloaded group has and needs. True if it is one of the small ones.
    fn note_demand(&mut self, job: &Arrival<'a>, entry: &'a QuotaEntry) -> bool {
        let cached = job.cached;
        let spec = &cached.record.spec;
        let class = self.overloaded.entry(&spec.class).or_default();
        class.floors.insert(&spec.team, (entry.floor, entry.sizes.as_ref()));
        let work = f64::from(spec.tasks) * spec.cpus * spec.estimate_s;
        let size_class =
            entry.sizes.as_ref().map_or(SizeClass::Small, |s| s.size_class(work, spec.tasks));
        if let (Some(sizes), Some(larger)) = (&entry.sizes, class.larger_mut(size_class)) {
            let mut demand = size_class_demand(entry, job.id, cached, sizes.start_within_ms);
            demand.claimable = demand.claimable.min(cached.each.times(job.tasks).cpus);
            let candidate = (job.tasks > 0).then_some(self.candidates.len());
            larger.push(LargerJob { demand, candidate });
            return false;
        }
        class.has += cached.each.times(cached.claimed).cpus;
        true
    }

    /// The moment that a job's place goes by under overload, and whether it is past its use.
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
            remaining_work: f64::from(cached.unclaimed()) * spec.cpus * spec.estimate_s,
            started: cached.claimed + cached.done > 0,
        };
        let moment = order::sort_time_ms(entry, waiting, self.wall_ms);
        if is_small {
            let needs = cached.each.times(cached.unclaimed()).cpus;
            let candidate = self.candidates.len();
            let class = self.overloaded.entry(&spec.class).or_default();
            class.small.push(SmallJob { moment, candidate, needs });
        }
        (moment, order::is_past_patience(entry, waiting, self.wall_ms))
    }

    /// Lets go first what fills the guaranteed minimum of each class that is not served in time.
    fn promote_all(&mut self, is_divisible: impl Fn(&JobId) -> bool) {
        for mut class in std::mem::take(&mut self.overloaded).into_values() {
            let floor = class.floors.values().map(|f| f.0).sum();
            class.small.sort_unstable();
            let needs = class.small.iter().map(|job| job.needs);
            let promoted = order::promote_small(floor, class.has, needs);
            for job in &class.small[..promoted] {
                self.candidates[job.candidate].place.beyond_floor = false;
            }
            self.promote_larger(&class, SizeClass::Middle, &class.middle, &is_divisible);
            self.promote_larger(&class, SizeClass::Large, &class.large, &is_divisible);
        }
    }

    /// Lets go first what of the larger jobs of a class fills their guaranteed minimum.
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
            let first = Place { beyond_floor: false, past_use: false, ..candidate.place.clone() };
            let tasks = (promoted / job.demand.per_task.max(1)).max(1) as u32;
            if !is_divisible(&first.id) || tasks >= candidate.tasks {
                candidate.place = first;
            } else {
                candidate.tasks -= tasks;
                self.candidates.push(Candidate { place: first, tasks, growth: false });
            }
        }
    }

    /// The queue in order, and the jobs within their teams' guarantees.
    fn finish(mut self) -> (Vec<Queued>, HashSet<JobId>) {
        self.candidates.sort();
        let queued = |Candidate { place, tasks, growth }| Queued {
            job: place.id,
            urgency: place.urgency,
            tasks,
            growth,
        };
        (self.candidates.into_iter().map(queued).collect(), self.guaranteed)
    }
}

/// A small job of an overloaded class. Ordered by moment.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SmallJob {
    moment: u64,
    /// Its candidate, by number.
    candidate: usize,
    /// Processors that it needs, in thousandths.
    needs: i64,
}

/// A job of the middle or the largest of an overloaded class.
struct LargerJob {
    demand: size_classes::LargerJobDemand,
    /// Its candidate, by number, if anything of it waits.
    candidate: Option<usize>,
}

/// What of a class that is not served in time has a place, and what waits.
#[derive(Default)]
struct OverloadedClass<'a> {
    /// Of each of its teams: the small jobs' guaranteed minimum, and the size classes.
    floors: BTreeMap<&'a TeamId, (i64, Option<&'a SizeClassQuota>)>,
    /// Processors in thousandths that its small jobs have.
    has: i64,
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
