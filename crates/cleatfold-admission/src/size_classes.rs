//! Size classes: half of the jobs of each size class are served, including the largest tenth.
//!
//! Floors that are filled with the smallest jobs first would exclude the large ones for as long as the overload lasts.
//! The jobs of a group are therefore divided into three size classes, each with a floor of its own. In the upper two a
//! floor is filled in order of acceptance, not of size: started jobs continue at a rate that completes them in a stated
//! time, and no more jobs are started than can continue at that rate. Since not all jobs of a size class can be served,
//! half of them, selected by job id, are preferred to the others.

use crate::decide::SizeBounds;
use serde::{Deserialize, Serialize};

/// The floor of a size class divided by this number is reserved for jobs that have not started.
const NEW_JOBS_DIVISOR: i64 = 4;
/// Maximum sum of the target widths of started jobs as a multiple of the floor; beyond it no further job starts. A job
/// may therefore take up to this many times the stated time.
const MAX_OVERCOMMIT: i64 = 2;
/// The same multiple when the capacity does not suffice for half of the jobs: they have to start during the overload and may
/// complete after it.
const MAX_OVERCOMMIT_SHORT: i64 = 4;
/// A job is late once it has waited longer than this share of the time within which it should start.
const LATE_SHARE: f64 = 0.85;

/// The size of a job relative to the other jobs of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeClass {
    /// One of the many small jobs.
    Small,
    /// Between the small and the largest jobs.
    Middle,
    /// One of the largest tenth of the jobs.
    Large,
}

/// The bounds of a group's size classes and the floors of the upper two. Work is in processor-seconds, floors are in
/// thousandths of processors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SizeClassQuota {
    /// Maximum work of a small job.
    #[serde(rename = "s")]
    pub small_max_work: u64,
    /// Minimum work of a large job.
    #[serde(rename = "w")]
    pub large_min_work: u64,
    /// Number of tasks from which a job is large, whatever its work.
    #[serde(rename = "n")]
    pub large_min_tasks: u32,
    /// Guaranteed minimum of the middle jobs.
    #[serde(rename = "m")]
    pub middle_floor: i64,
    /// Guaranteed minimum of the large jobs.
    #[serde(rename = "l")]
    pub large_floor: i64,
    /// Time after its acceptance within which a job should start, in milliseconds.
    #[serde(rename = "b")]
    pub start_within_ms: u64,
    /// Whether the capacity does not suffice for half of the largest jobs; the smaller of them then go first, so that as
    /// many as possible are served.
    #[serde(rename = "x", default)]
    pub capacity_short: bool,
}

impl SizeClassQuota {
    /// The size class of a job.
    pub fn size_class(&self, work: f64, tasks: u32) -> SizeClass {
        let (small_max_work, min_work) = (self.small_max_work as f64, self.large_min_work as f64);
        SizeBounds {
            small_max_work,
            large_min_work: min_work,
            large_min_tasks: self.large_min_tasks,
        }
        .size_class(work, tasks)
    }

    /// The guaranteed minimum of an upper size class; 0 for small jobs, whose floor is in the quota entry.
    pub fn floor(&self, size_class: SizeClass) -> i64 {
        match size_class {
            SizeClass::Small => 0,
            SizeClass::Middle => self.middle_floor,
            SizeClass::Large => self.large_floor,
        }
    }
}

/// An unfinished job of an upper size class. Processors are in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargerJobDemand {
    /// Time of day of its acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Evenly distributed hash of the job id, which is the same on every controller.
    pub id_hash: u64,
    /// Whether some of its tasks run or are done.
    pub started: bool,
    /// Processors that the job has.
    pub allocated: i64,
    /// Processors that the job could use in addition.
    pub claimable: i64,
    /// Processors of one task.
    pub per_task: i64,
    /// Processors with which the job completes in the stated time after its start.
    pub target_width: i64,
    /// Work of the whole job, in processor-seconds.
    pub work: u64,
}

/// The quota of one size class, summed over all teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeClassTerms {
    /// The guaranteed minimum of the size class, in thousandths of processors.
    pub floor: i64,
    /// Time after its acceptance within which a job should start, in milliseconds.
    pub start_within_ms: u64,
    /// Whether the capacity does not suffice for half of the jobs.
    pub capacity_short: bool,
}

/// The processors with which all tasks of a job complete within `within_s`, at least those of one task, in thousandths.
pub fn target_width(tasks: u32, per_task: i64, run_s: f64, within_s: f64) -> i64 {
    let rounds = (within_s / run_s.max(0.001)).floor().max(1.0);
    let parallel_tasks = (f64::from(tasks) / rounds).ceil().max(1.0);
    per_task.saturating_mul(parallel_tasks as i64)
}

/// Whether a job belongs to the half that is served before the other half.
pub fn is_preferred(id_hash: u64) -> bool {
    id_hash.is_multiple_of(2)
}

/// Whether a job has waited too long to start in time. Late jobs give way to those that can still start in time.
pub fn is_late(start_within_ms: u64, accepted_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(accepted_ms) as f64 > LATE_SHARE * start_within_ms as f64
}

/// How much of each job precedes all other jobs, for one class and size class, in thousandths of processors. The jobs
/// may be in any order. Jobs accepted at the same time are ordered by `id_hash`, so that all controllers reach the same
/// result from the same state.
pub fn promote_larger(terms: SizeClassTerms, now_ms: u64, jobs: &[LargerJobDemand]) -> Vec<i64> {
    let SizeClassTerms { floor, start_within_ms, capacity_short } = terms;
    let mut promoted = vec![0; jobs.len()];
    let mut started: Vec<usize> = (0..jobs.len()).filter(|&i| jobs[i].started).collect();
    started.sort_by_key(|&i| (jobs[i].accepted_ms, jobs[i].id_hash));
    let job_is_late = |j: &LargerJobDemand| is_late(start_within_ms, j.accepted_ms, now_ms);
    let mut new: Vec<usize> = (0..jobs.len()).filter(|&i| !jobs[i].started).collect();
    // The preferred jobs in order of acceptance, then the others with the latest first, since it has the most time left,
    // then the late jobs. If the capacity does not suffice for half of the jobs, the smallest go first.
    new.sort_by_key(|&i| {
        let (j, late) = (&jobs[i], job_is_late(&jobs[i]));
        if capacity_short && !late {
            return (false, false, j.work, j.id_hash);
        }
        let acceptance_order =
            if late || is_preferred(j.id_hash) { j.accepted_ms } else { u64::MAX - j.accepted_ms };
        (late, !is_preferred(j.id_hash), acceptance_order, j.id_hash)
    });
    let target = |j: &LargerJobDemand| j.target_width.min(j.allocated + j.claimable);
    // Started jobs continue, each in order up to its target width.
    let has_timely_new_job = new.iter().any(|&i| !job_is_late(&jobs[i]));
    let reserved = if has_timely_new_job { floor / NEW_JOBS_DIVISOR } else { 0 };
    let mut remaining = floor - reserved;
    let mut committed = 0;
    for &i in &started {
        let target = target(&jobs[i]);
        committed += target;
        // At least one task, so that every started job makes progress.
        let granted = target.min(remaining.max(jobs[i].per_task.min(target)));
        remaining -= granted;
        promoted[i] = (granted - jobs[i].allocated).clamp(0, jobs[i].claimable);
    }
    let max_committed = floor * if capacity_short { MAX_OVERCOMMIT_SHORT } else { MAX_OVERCOMMIT };
    // New jobs start as long as all started jobs can continue.
    let mut remaining = remaining.max(0) + reserved;
    for &i in &new {
        let (target, per_task) = (target(&jobs[i]), jobs[i].per_task.max(1));
        if floor <= 0
            || (committed > 0 && (committed + target > max_committed || per_task > remaining))
        {
            break;
        }
        committed += target;
        promoted[i] = target.min((remaining - remaining % per_task).max(per_task));
        remaining -= promoted[i];
        started.push(i);
    }
    // Promotions are limited to what the size class lacks of its floor; otherwise urgent work waits behind a class that
    // has more than its floor (for the class `controle` 0.99 of the jobs were in time without size classes, 0.83
    // without this limit). A job without processors may get one task beyond that, up to a quarter of the floor; a
    // started job in any case.
    let mut shortfall = floor - jobs.iter().map(|j| j.allocated).sum::<i64>();
    for &i in &started {
        let (j, per_task) = (&jobs[i], jobs[i].per_task.max(1));
        let gets_one_task =
            j.allocated == 0 && (j.started || shortfall > -(floor / NEW_JOBS_DIVISOR));
        let least = if gets_one_task { per_task } else { 0 };
        let most = shortfall.max(0) - shortfall.max(0) % per_task;
        promoted[i] = promoted[i].min(most.max(least));
        shortfall -= promoted[i];
    }
    // The remaining shortfall goes to the first started jobs.
    for i in started {
        let more = (jobs[i].claimable - promoted[i]).min(shortfall).max(0);
        // Whole tasks only.
        let more = more - more % jobs[i].per_task.max(1);
        promoted[i] += more;
        shortfall -= more;
    }
    promoted
}
