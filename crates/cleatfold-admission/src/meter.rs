//! What each group asks for: its rate, and how its work is spread over its jobs.

use crate::allot::Group;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Arrivals are weighed by their age; those of a minute ago count a third.
const MEMORY_S: f64 = 60.0;
/// Jobs of one window of sizes. Two windows are kept, so that old habits are forgotten.
const WINDOW: u64 = 256;

#[derive(Debug)]
struct Sizes {
    now: Histogram<u64>,
    before: Histogram<u64>,
}

impl Default for Sizes {
    fn default() -> Self {
        // Two digits: far better than estimates are.
        let new = || Histogram::new(2).expect("two significant digits are allowed");
        Self { now: new(), before: new() }
    }
}

impl Sizes {
    fn note(&mut self, work: u64) {
        if self.now.len() >= WINDOW {
            std::mem::swap(&mut self.now, &mut self.before);
            self.now.reset();
        }
        // It grows with what is recorded; saturating, it would take all large jobs for small.
        if self.now.record(work).is_err() {
            self.now.saturating_record(work);
        }
    }

    /// Sizes and how many jobs had them, in order.
    fn all(&self) -> BTreeMap<u64, u64> {
        let mut all = BTreeMap::new();
        for v in self.now.iter_recorded().chain(self.before.iter_recorded()) {
            *all.entry(v.value_iterated_to()).or_default() += v.count_since_last_iteration();
        }
        all
    }
}

#[derive(Debug, Default)]
struct Asked {
    /// Work per second, decayed, as of `at`.
    rate: f64,
    /// The same, times how long its tasks run.
    runs: f64,
    at_s: f64,
    sizes: Sizes,
}

#[derive(Debug, Default)]
pub struct Meter {
    groups: BTreeMap<Group, Asked>,
}

/// How the work of a group's jobs is spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Work of its middle job, in processor-seconds.
    pub typical: f64,
    /// The size up to which `share` of its jobs lie.
    pub most: f64,
    /// The part of all work that these make up.
    pub part: f64,
}

impl Meter {
    /// A job of `work` processor-seconds came at `at_s`; times come in any order.
    pub fn arrived(&mut self, group: &Group, at_s: f64, work: f64, run_s: f64) {
        let asked = match self.groups.get_mut(group) {
            Some(asked) => asked,
            None => self.groups.entry(group.clone()).or_default(),
        };
        let later = at_s.max(asked.at_s);
        let forgotten = (-(later - asked.at_s) / MEMORY_S).exp();
        let more = work / MEMORY_S * (-(later - at_s) / MEMORY_S).exp();
        asked.rate = asked.rate * forgotten + more;
        asked.runs = asked.runs * forgotten + more * run_s;
        asked.at_s = later;
        asked.sizes.note(work.max(1.0) as u64);
    }

    /// Work that the group asks for, in processors.
    pub fn rate(&self, group: &Group, now_s: f64) -> f64 {
        let asked = self.groups.get(group);
        asked.map_or(0.0, |a| a.rate * (-(now_s - a.at_s).max(0.0) / MEMORY_S).exp())
    }

    /// How long a processor that works for the group is taken, in the mean.
    pub fn run_s(&self, group: &Group) -> f64 {
        let asked = self.groups.get(group);
        asked.filter(|a| a.rate > 0.0).map_or(0.0, |a| a.runs / a.rate)
    }

    /// How the work is spread, `share` of the jobs being the small ones.
    pub fn spread(&self, group: &Group, share: f64) -> Option<Spread> {
        let sizes = self.groups.get(group)?.sizes.all();
        let jobs: u64 = sizes.values().sum();
        let work: f64 = sizes.iter().map(|(s, n)| *s as f64 * *n as f64).sum();
        if jobs == 0 || work <= 0.0 {
            return None;
        }
        let up_to = |part: f64| {
            let (mut seen, mut sum) = (0.0, 0.0);
            for (size, n) in &sizes {
                let take = (*n as f64).min(part * jobs as f64 - seen);
                seen += take;
                sum += take * *size as f64;
                if seen + 1e-9 >= part * jobs as f64 {
                    return (*size as f64, sum);
                }
            }
            (f64::INFINITY, sum)
        };
        let (typical, _) = up_to(0.5);
        let (most, small) = up_to(share);
        Some(Spread { typical, most, part: small / work })
    }

    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.keys()
    }
}
