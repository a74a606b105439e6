//! What each group asks for: its rate, and how its work is spread over its jobs.

use crate::overload_quota::Group;
use cleatfold_wire::ClassId;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};

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
        #[expect(clippy::expect_used, reason = "two digits are allowed")]
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

/// Measures the work that groups submit.
#[derive(Debug, Default)]
pub struct Meter {
    groups: BTreeMap<Group, Asked>,
    /// Work and tasks of each class's last jobs.
    classes: BTreeMap<ClassId, VecDeque<(u64, u32)>>,
}

/// Where a class's largest jobs begin, and which part of its work they and those in between are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Largest {
    /// Work from which on a job is one of the largest, in processor-seconds.
    pub work: f64,
    /// Tasks from which on a job is one of the largest.
    pub tasks: u32,
    /// The part of the class's work that these are.
    pub part: f64,
    /// The part of the class's work that lies between them and the small ones.
    pub between: f64,
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
    pub fn arrived(&mut self, group: &Group, at_s: f64, work: f64, tasks: u32, run_s: f64) {
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
        let last = match self.classes.get_mut(&group.class) {
            Some(last) => last,
            None => self.classes.entry(group.class.clone()).or_default(),
        };
        last.push_back((work.max(1.0) as u64, tasks));
        if last.len() > 2 * WINDOW as usize {
            last.pop_front();
        }
    }

    /// The largest jobs of a class: `share` of them, at least one, by work and as many by tasks. Of a class and
    /// not of a group: a team whose jobs are all small has none.
    pub fn largest(&self, class: &ClassId, share: f64, small: f64) -> Option<Largest> {
        let jobs = self.classes.get(class)?;
        let nth = (jobs.len() as f64 * share).ceil().max(1.0) as usize;
        let mut works: Vec<u64> = jobs.iter().map(|j| j.0).collect();
        let mut tasks: Vec<u32> = jobs.iter().map(|j| j.1).collect();
        let at = jobs.len().checked_sub(nth)?;
        let (work, tasks) = (*works.select_nth_unstable(at).1, *tasks.select_nth_unstable(at).1);
        let (mut all, mut largest, mut between) = (0.0, 0.0, 0.0);
        for &(w, t) in jobs {
            all += w as f64;
            if w >= work || t >= tasks {
                largest += w as f64;
            } else if w as f64 > small {
                between += w as f64;
            }
        }
        Some(Largest { work: work as f64, tasks, part: largest / all, between: between / all })
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

    /// All groups that have submitted anything.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.keys()
    }
}
