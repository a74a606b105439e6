//! Free resources over time, as a step function.
//!
//! Used for the free resources of a machine and for the unused part of a team's limit.

use crate::resources::Resources;
use cleatfold_wire::Ms;

/// Free resources of a machine or of a limit over time: each step holds until the next one.
#[derive(Clone, Debug)]
pub struct AvailabilityProfile {
    steps: Vec<(Ms, Resources)>,
}

impl AvailabilityProfile {
    /// Creates a profile in which all of `total` is free from `ready` on.
    pub fn new(ready: Ms, total: Resources) -> Self {
        Self { steps: vec![(ready, total)] }
    }

    /// Creates a profile with `free` available now and more after each of `releases`, which must be
    /// in order of time.
    pub fn with_releases(
        now: Ms,
        free: Resources,
        releases: impl IntoIterator<Item = (Ms, Resources)>,
    ) -> Self {
        let mut steps = vec![(now, free)];
        for (at, released) in releases {
            let last = steps.len() - 1;
            let sum = steps[last].1 + released;
            if at <= steps[last].0 {
                steps[last].1 = sum;
            } else {
                steps.push((at, sum));
            }
        }
        Self { steps }
    }

    /// Subtracts `amount` from what is free between `from` and `until`.
    pub fn allocate(&mut self, from: Ms, until: Ms, amount: Resources) {
        let from = from.max(self.steps[0].0);
        if until <= from {
            return;
        }
        self.split_at(from);
        self.split_at(until);
        let first = self.steps.partition_point(|s| s.0 < from);
        for (_, free) in self.steps[first..].iter_mut().take_while(|s| s.0 < until) {
            *free -= amount;
        }
    }

    fn split_at(&mut self, at: Ms) {
        let i = self.steps.partition_point(|s| s.0 < at);
        if i == self.steps.len() || self.steps[i].0 != at {
            let free = self.steps[i - 1].1;
            self.steps.insert(i, (at, free));
        }
    }

    /// Finds the earliest time, not before `from`, at which at least one of `tasks` can start.
    /// Returns the start, the finish (as given by `finish_of`) and how many can start together.
    pub fn earliest_start(
        &self,
        from: Ms,
        each: &Resources,
        tasks: u32,
        finish_of: impl Fn(Ms) -> Ms,
    ) -> Option<(Ms, Ms, u32)> {
        let mut i = self.steps.partition_point(|s| s.0 <= from).saturating_sub(1);
        while i < self.steps.len() {
            // Skips steps that cannot fit a single task, which are most steps of a busy machine.
            if !self.steps[i].1.fits_one(each) {
                i += 1;
                continue;
            }
            let start = self.steps[i].0.max(from);
            let finish = finish_of(start);
            let mut count = tasks;
            let mut j = i;
            while j < self.steps.len() && self.steps[j].0 < finish {
                count = self.steps[j].1.fitting_tasks(each, count);
                if count == 0 {
                    break;
                }
                j += 1;
            }
            if count > 0 {
                return Some((start, finish, count));
            }
            // Every start up to and including the step without capacity is ruled out.
            i = j + 1;
        }
        None
    }

    /// Number of `tasks` that fit throughout `start` to `finish`.
    pub fn fitting_tasks(&self, start: Ms, finish: Ms, each: &Resources, tasks: u32) -> u32 {
        let first = self.steps.partition_point(|s| s.0 <= start);
        if first == 0 {
            return 0;
        }
        let mut count = tasks;
        for (at, free) in &self.steps[first - 1..] {
            if *at >= finish || count == 0 {
                break;
            }
            count = free.fitting_tasks(each, count);
        }
        count
    }

    /// Resources that are free at the first step.
    pub fn initial(&self) -> Resources {
        self.steps[0].1
    }

    /// Start of the first step.
    pub fn start_time(&self) -> Ms {
        self.steps[0].0
    }

    /// Times at which the free resources change.
    pub fn change_times(&self) -> impl Iterator<Item = Ms> + '_ {
        self.steps.iter().map(|s| s.0)
    }
}
