//! An amount over time: what is free from each step on until the next.
//!
//! A machine's future is one, and so is what is left of a team's limit.

use crate::resources::Resources;
use cleatfold_wire::Ms;

/// What is free of a machine or of a limit, as steps over time.
#[derive(Clone, Debug)]
pub struct AvailabilityProfile {
    steps: Vec<(Ms, Resources)>,
}

impl AvailabilityProfile {
    /// All of `total` is free from `ready` on.
    pub fn new(ready: Ms, total: Resources) -> Self {
        Self { steps: vec![(ready, total)] }
    }

    /// `free` now, and more whenever one of `ends` comes (in order of time).
    pub fn growing(
        now: Ms,
        free: Resources,
        ends: impl IntoIterator<Item = (Ms, Resources)>,
    ) -> Self {
        let mut steps = vec![(now, free)];
        for (at, more) in ends {
            let last = steps.len() - 1;
            let sum = steps[last].1 + more;
            if at <= steps[last].0 {
                steps[last].1 = sum;
            } else {
                steps.push((at, sum));
            }
        }
        Self { steps }
    }

    /// Takes `what` from `from` until `until`.
    pub fn carve(&mut self, from: Ms, until: Ms, what: Resources) {
        let from = from.max(self.steps[0].0);
        if until <= from {
            return;
        }
        self.split(from);
        self.split(until);
        let first = self.steps.partition_point(|s| s.0 < from);
        for (_, free) in self.steps[first..].iter_mut().take_while(|s| s.0 < until) {
            *free -= what;
        }
    }

    fn split(&mut self, at: Ms) {
        let i = self.steps.partition_point(|s| s.0 < at);
        if i == self.steps.len() || self.steps[i].0 != at {
            let free = self.steps[i - 1].1;
            self.steps.insert(i, (at, free));
        }
    }

    /// The earliest start, not before `from`, of at least one of `tasks`, until when it is taken
    /// (by `finish`), and how many can start together then.
    pub fn earliest(
        &self,
        from: Ms,
        each: &Resources,
        tasks: u32,
        finish: impl Fn(Ms) -> Ms,
    ) -> Option<(Ms, Ms, u32)> {
        let mut i = self.steps.partition_point(|s| s.0 <= from).saturating_sub(1);
        while i < self.steps.len() {
            // Most steps of a busy machine have no room at all.
            if !self.steps[i].1.holds(each) {
                i += 1;
                continue;
            }
            let start = self.steps[i].0.max(from);
            let finish = finish(start);
            let mut count = tasks;
            let mut j = i;
            while j < self.steps.len() && self.steps[j].0 < finish {
                count = self.steps[j].1.fits(each, count);
                if count == 0 {
                    break;
                }
                j += 1;
            }
            if count > 0 {
                return Some((start, finish, count));
            }
            // The step that has no room rules out every start up to and including it.
            i = j + 1;
        }
        None
    }

    /// How many of `tasks` have room from `start` until `finish`.
    pub fn free_capacity(&self, start: Ms, finish: Ms, each: &Resources, tasks: u32) -> u32 {
        let first = self.steps.partition_point(|s| s.0 <= start);
        if first == 0 {
            return 0;
        }
        let mut count = tasks;
        for (at, free) in &self.steps[first - 1..] {
            if *at >= finish || count == 0 {
                break;
            }
            count = free.fits(each, count);
        }
        count
    }

    /// What is free at the first step.
    pub fn at_first(&self) -> Resources {
        self.steps[0].1
    }

    /// When it begins.
    pub fn first(&self) -> Ms {
        self.steps[0].0
    }

    /// The moments at which what is free changes.
    pub fn starts(&self) -> impl Iterator<Item = Ms> + '_ {
        self.steps.iter().map(|s| s.0)
    }
}
