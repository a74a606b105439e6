//! The queue order under overload.
//!
//! The smaller half of the jobs needs much less than half of the work, so small jobs go first within a group that is
//! not served in time. A job is sorted by its acceptance time plus a shift: later for large jobs, earlier for small and
//! nearly finished ones, by at most `MAX_SHIFT` times the patience. The shifts for started and for late jobs are bounded
//! as well, so later jobs can overtake an accepted job only for a bounded time.

use crate::overload_quota::QuotaEntry;

/// Maximum shift by the size of a job, and maximum delay by the demand of its team, in multiples of the patience.
const MAX_SHIFT: f64 = 2.0;
/// Shift of a started job to an earlier time, in multiples of the patience: completed tasks are useful only once the
/// whole job is done.
const STARTED_SHIFT: f64 = 1.5;

/// The properties of a queued job that determine its sort time.
#[derive(Clone, Copy, Debug)]
pub struct QueuedJob {
    /// Time of day of its acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Work of the tasks that are not started, in processor-seconds.
    pub remaining_work: f64,
    /// Whether some of its tasks run or are done.
    pub started: bool,
}

/// Whether the patience of the job has passed. Such a job is queued behind all jobs that can still be useful, whatever
/// its urgency. A started job is exempt: otherwise new jobs would be started and none finished.
pub fn is_past_patience(entry: &QuotaEntry, job: QueuedJob, now_ms: u64) -> bool {
    !job.started && now_ms.saturating_sub(job.accepted_ms) > entry.patience_ms
}

/// The time by which a job is sorted in the queue, in milliseconds.
pub fn sort_time_ms(entry: &QuotaEntry, job: QueuedJob, now_ms: u64) -> u64 {
    let patience = entry.patience_ms as f64;
    let size_shift = (job.remaining_work.max(1.0) / entry.median_work.max(1) as f64)
        .log2()
        .clamp(-MAX_SHIFT, MAX_SHIFT);
    let state_shift = match (job.started, is_past_patience(entry, job, now_ms)) {
        (true, _) => -STARTED_SHIFT,
        (false, true) => 1.0,
        (false, false) => 0.0,
    };
    let shifted = job.accepted_ms as f64 + patience * (size_shift + state_shift);
    let delay = (entry.delay_ms as f64).min(patience * MAX_SHIFT);
    // Offset by the largest shift to an earlier time, so that the result is not negative.
    (shifted + delay + patience * (MAX_SHIFT + STARTED_SHIFT)).max(0.0) as u64
}

/// How many of the waiting small jobs of one class precede all other jobs: as many, in their order, as it takes for the
/// allocation of the class to reach its floor. `demands` are the processors that each job still needs. All amounts are
/// in thousandths of processors.
pub fn promote_small(floor: i64, allocated: i64, demands: impl IntoIterator<Item = i64>) -> usize {
    let mut allocated = allocated;
    let mut promoted = 0;
    for demand in demands {
        if allocated >= floor {
            break;
        }
        allocated += demand;
        promoted += 1;
    }
    promoted
}
