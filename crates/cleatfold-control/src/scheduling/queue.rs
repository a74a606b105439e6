//! The queue's order: what of each job waits for a place, and who goes first.

use crate::admission::state::size_class_demand;
use crate::controller::Controller;
use crate::store::cache::CachedJob;
use cleatfold_admission::{order, size_classes, SizeClass, Sizes};
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
        let acceptance_times = acceptance_times(arrivals.iter().map(|(_, j)| j.record.accepted_ms));
        let mut guarantees = Guarantees::new(
            self.cfg
                .teams
                .iter()
                .filter(|t| t.cpus > 0.0 || t.gpus > 0.0)
                .map(|t| (t.name.clone(), t.cpus, t.gpus)),
        );
        let mut guaranteed = HashSet::new();
        let mut places: Vec<(Place, u32, bool)> = Vec::new();
        let mut pressed: BTreeMap<&ClassId, Pressed> = BTreeMap::new();
        for ((id, cached), moment) in arrivals.into_iter().zip(acceptance_times) {
            let spec = &cached.record.spec;
            let unfinished = cached.each.times(cached.unfinished());
            let within = guarantees.admit(&spec.team, unfinished);
            if within {
                guaranteed.insert(id.clone());
            }
            let entry = self.overload_entry(cached);
            let waiting = self.may_start(id, cached, cached.unclaimed());
            let mut small = true;
            if let Some(entry) = entry {
                let class = pressed.entry(&spec.class).or_default();
                class.floors.insert(&spec.team, (entry.floor, entry.sizes.as_ref()));
                let size_class = entry.sizes.as_ref().map_or(SizeClass::Small, |s| {
                    s.size_class(f64::from(spec.tasks) * spec.cpus * spec.estimate_s, spec.tasks)
                });
                if let (Some(sizes), Some(upper)) = (&entry.sizes, class.larger_mut(size_class)) {
                    small = false;
                    let mut job = size_class_demand(entry, id, cached, sizes.begin_ms);
                    job.needs = job.needs.min(cached.each.times(waiting).cpus);
                    upper.push((job, (waiting > 0).then_some(places.len())));
                } else {
                    class.has += cached.each.times(cached.claimed).cpus;
                }
            }
            if waiting > 0 {
                // A job that may shrink to nothing gives way to all of its urgency, or it would
                // take the very place that it has just given to somebody else.
                let gives_way = cached.width().is_some_and(|w| w.least == 0);
                let mut past_use = false;
                let arrival = match entry {
                    _ if gives_way => u64::MAX,
                    None => moment,
                    Some(entry) => {
                        let rest = f64::from(cached.unclaimed()) * spec.cpus * spec.estimate_s;
                        let begun = cached.claimed + cached.done > 0;
                        let job = order::Waiting { accepted_ms: moment, rest, begun };
                        past_use = order::past_use(entry, job, self.wall_ms);
                        let place = order::place(entry, job, self.wall_ms);
                        let needs = cached.each.times(cached.unclaimed()).cpus;
                        if small {
                            let class = pressed.entry(&spec.class).or_default();
                            class.waiting.push((place, places.len(), needs));
                        }
                        place
                    }
                };
                let place = Place {
                    beyond_floor: true,
                    past_use,
                    urgency: spec.urgency,
                    beyond_guarantee: !within || gives_way,
                    arrival,
                    turn: cached.place(),
                    id: id.clone(),
                };
                places.push((place, waiting, false));
            }
            let growth = self.may_start(id, cached, self.growth(id, cached));
            if growth > 0 {
                // Behind everything of its urgency: it takes only what nobody has reserved.
                let place = Place {
                    beyond_floor: true,
                    past_use: false,
                    urgency: spec.urgency,
                    beyond_guarantee: true,
                    arrival: u64::MAX,
                    turn: cached.place(),
                    id: id.clone(),
                };
                places.push((place, growth, true));
            }
        }
        for mut group in pressed.into_values() {
            let floor = group.floors.values().map(|f| f.0).sum();
            group.waiting.sort_unstable();
            let promoted = order::promote(floor, group.has, group.waiting.iter().map(|w| w.2));
            for (_, place, _) in &group.waiting[..promoted] {
                places[*place].0.beyond_floor = false;
            }
            for (size_class, upper) in
                [(SizeClass::Middle, &group.middle), (SizeClass::Large, &group.large)]
            {
                self.promote_size_class(&group, size_class, upper, &mut places);
            }
        }
        places.sort();
        let queued = |(p, tasks, growth): (Place, u32, bool)| Queued {
            job: p.id,
            urgency: p.urgency,
            tasks,
            growth,
        };
        (places.into_iter().map(queued).collect(), guaranteed)
    }

    /// What of the jobs of an upper band goes before everybody else's.
    fn promote_size_class(
        &self,
        group: &Pressed,
        size_class: SizeClass,
        jobs: &[(size_classes::Waiting, Option<usize>)],
        places: &mut Vec<(Place, u32, bool)>,
    ) {
        let sizes = || group.floors.values().filter_map(|f| f.1);
        let floor = sizes().map(|s| s.floor(size_class)).sum();
        let begin_ms = sizes().map(|s| s.begin_ms).min().unwrap_or_default();
        let waiting: Vec<size_classes::Waiting> = jobs.iter().map(|j| j.0).collect();
        let short = sizes().any(|s| s.short);
        let terms = size_classes::Terms { floor, begin_ms, short };
        let promoted = size_classes::promote(terms, self.wall_ms, &waiting);
        for ((job, place), promoted) in jobs.iter().zip(promoted) {
            let Some(i) = place.filter(|_| promoted > 0) else { continue };
            let first = Place { beyond_floor: false, past_use: false, ..places[i].0.clone() };
            let tasks = (promoted / job.each.max(1)).max(1) as u32;
            // Only an array's tasks come and go one by one.
            let whole = self.cache.jobs.get(&first.id).is_none_or(|cached| {
                let spec = &cached.record.spec;
                spec.kind != Kind::Array || spec.spread
            });
            if whole || tasks >= places[i].1 {
                places[i].0 = first;
            } else {
                places[i].1 -= tasks;
                places.push((first, tasks, false));
            }
        }
    }
}

/// What of a class that is not served in time has a place, and what waits.
#[derive(Default)]
struct Pressed<'a> {
    /// Of each of its teams.
    floors: BTreeMap<&'a TeamId, (i64, Option<&'a Sizes>)>,
    /// Processors in thousandths that its small jobs have.
    has: i64,
    /// The small ones by moment: the number of its place, and the processors it needs.
    waiting: Vec<(u64, usize, i64)>,
    /// The others, with the number of their places, if anything of them waits.
    middle: Vec<(size_classes::Waiting, Option<usize>)>,
    large: Vec<(size_classes::Waiting, Option<usize>)>,
}

impl Pressed<'_> {
    fn larger_mut(
        &mut self,
        size_class: SizeClass,
    ) -> Option<&mut Vec<(size_classes::Waiting, Option<usize>)>> {
        match size_class {
            SizeClass::Small => None,
            SizeClass::Middle => Some(&mut self.middle),
            SizeClass::Large => Some(&mut self.large),
        }
    }
}

#[cfg(test)]
mod tests;
