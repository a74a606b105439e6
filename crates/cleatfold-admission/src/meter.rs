//! Measures the demand of each group: the rate of arriving work and the distribution of job sizes.

use crate::overload_quota::Group;
use cleatfold_wire::ClassId;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};

/// Time constant of the exponential decay of arrivals; those of a minute ago count about a third.
const DECAY_S: f64 = 60.0;
/// Number of jobs in one window of job sizes. Two windows are kept, so that old sizes are dropped.
const WINDOW_JOBS: u64 = 256;

#[derive(Debug)]
struct SizeWindows {
    current: Histogram<u64>,
    previous: Histogram<u64>,
}

impl Default for SizeWindows {
    fn default() -> Self {
        // Two significant digits are far more precise than the users' estimates.
        #[expect(clippy::expect_used, reason = "two digits are allowed")]
        let new = || Histogram::new(2).expect("two significant digits are allowed");
        Self { current: new(), previous: new() }
    }
}

impl SizeWindows {
    fn record(&mut self, work: u64) {
        if self.current.len() >= WINDOW_JOBS {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        // The histogram resizes itself on record; saturating_record alone would count large jobs as small.
        if self.current.record(work).is_err() {
            self.current.saturating_record(work);
        }
    }

    /// The number of jobs by size, in order of size.
    fn counts(&self) -> BTreeMap<u64, u64> {
        let mut counts = BTreeMap::new();
        for v in self.current.iter_recorded().chain(self.previous.iter_recorded()) {
            *counts.entry(v.value_iterated_to()).or_default() += v.count_since_last_iteration();
        }
        counts
    }
}

#[derive(Debug, Default)]
struct GroupLoad {
    /// Arriving work per second, with decay, as of `at_s`.
    rate: f64,
    /// The rate weighted by the run time of the tasks.
    rate_times_run_s: f64,
    at_s: f64,
    sizes: SizeWindows,
}

/// Measures the work that each group submits.
#[derive(Debug, Default)]
pub struct Meter {
    groups: BTreeMap<Group, GroupLoad>,
    /// Work and number of tasks of the latest jobs of each class.
    recent_jobs: BTreeMap<ClassId, VecDeque<(u64, u32)>>,
}

/// The size from which jobs count as the largest of their class, and the shares of the class's work of these and of
/// the middle-sized jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LargestJobs {
    /// Minimum work of one of the largest jobs, in processor-seconds.
    pub min_work: f64,
    /// Number of tasks from which a job is one of the largest.
    pub min_tasks: u32,
    /// Share of the class's work in the largest jobs.
    pub work_share: f64,
    /// Share of the class's work in the jobs between the small and the largest ones.
    pub middle_work_share: f64,
}

/// The distribution of a group's work over its smallest jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeDistribution {
    /// Work of the median job, in processor-seconds.
    pub median_work: f64,
    /// Work of the largest among the requested share of smallest jobs, in processor-seconds.
    pub max_work: f64,
    /// Share of the group's work in these jobs.
    pub work_share: f64,
}

impl Meter {
    /// Records a job of `work` processor-seconds that arrived at `at_s`; arrivals may be recorded in any order.
    pub fn record_arrival(&mut self, group: &Group, at_s: f64, work: f64, tasks: u32, run_s: f64) {
        let load = match self.groups.get_mut(group) {
            Some(load) => load,
            None => self.groups.entry(group.clone()).or_default(),
        };
        let latest_s = at_s.max(load.at_s);
        let decay = (-(latest_s - load.at_s) / DECAY_S).exp();
        let added_rate = work / DECAY_S * (-(latest_s - at_s) / DECAY_S).exp();
        load.rate = load.rate * decay + added_rate;
        load.rate_times_run_s = load.rate_times_run_s * decay + added_rate * run_s;
        load.at_s = latest_s;
        load.sizes.record(work.max(1.0) as u64);
        let recent = match self.recent_jobs.get_mut(&group.class) {
            Some(recent) => recent,
            None => self.recent_jobs.entry(group.class.clone()).or_default(),
        };
        recent.push_back((work.max(1.0) as u64, tasks));
        if recent.len() > 2 * WINDOW_JOBS as usize {
            recent.pop_front();
        }
    }

    /// The largest jobs of a class: the given share of them, at least one, by work and as many by tasks. `small_max_work`
    /// is the maximum work of a small job. The class is used instead of the group, since a team whose jobs are all
    /// small has no largest ones.
    pub fn largest(&self, class: &ClassId, share: f64, small_max_work: f64) -> Option<LargestJobs> {
        let jobs = self.recent_jobs.get(class)?;
        let nth = (jobs.len() as f64 * share).ceil().max(1.0) as usize;
        let mut works: Vec<u64> = jobs.iter().map(|j| j.0).collect();
        let mut tasks: Vec<u32> = jobs.iter().map(|j| j.1).collect();
        let index = jobs.len().checked_sub(nth)?;
        let (min_work, min_tasks) =
            (*works.select_nth_unstable(index).1, *tasks.select_nth_unstable(index).1);
        let (mut all, mut largest, mut middle) = (0.0, 0.0, 0.0);
        for &(w, t) in jobs {
            all += w as f64;
            if w >= min_work || t >= min_tasks {
                largest += w as f64;
            } else if w as f64 > small_max_work {
                middle += w as f64;
            }
        }
        Some(LargestJobs {
            min_work: min_work as f64,
            min_tasks,
            work_share: largest / all,
            middle_work_share: middle / all,
        })
    }

    /// The rate of work that the group submits, in processors.
    pub fn rate(&self, group: &Group, now_s: f64) -> f64 {
        let load = self.groups.get(group);
        load.map_or(0.0, |a| a.rate * (-(now_s - a.at_s).max(0.0) / DECAY_S).exp())
    }

    /// Mean run time of the group's tasks, weighted by their work.
    pub fn mean_run_s(&self, group: &Group) -> f64 {
        let load = self.groups.get(group);
        load.filter(|a| a.rate > 0.0).map_or(0.0, |a| a.rate_times_run_s / a.rate)
    }

    /// The distribution of the group's work, with the given share of its jobs counted as the small ones.
    pub fn size_distribution(&self, group: &Group, share: f64) -> Option<SizeDistribution> {
        let sizes = self.groups.get(group)?.sizes.counts();
        let jobs: u64 = sizes.values().sum();
        let work: f64 = sizes.iter().map(|(s, n)| *s as f64 * *n as f64).sum();
        if jobs == 0 || work <= 0.0 {
            return None;
        }
        let up_to = |job_share: f64| {
            let (mut seen, mut sum) = (0.0, 0.0);
            for (size, n) in &sizes {
                let counted = (*n as f64).min(job_share * jobs as f64 - seen);
                seen += counted;
                sum += counted * *size as f64;
                if seen + 1e-9 >= job_share * jobs as f64 {
                    return (*size as f64, sum);
                }
            }
            (f64::INFINITY, sum)
        };
        let (median_work, _) = up_to(0.5);
        let (max_work, small_work) = up_to(share);
        Some(SizeDistribution { median_work, max_work, work_share: small_work / work })
    }

    /// All groups that have submitted at least one job.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.keys()
    }
}
