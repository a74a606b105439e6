//! The queue's order under overload.
//!
//! Half of the jobs cost much less than half of the work, so within a group that is not served in
//! time small ones go first. A job's place is still a moment, as its arrival is, only moved: later
//! for the large, earlier for the small and the nearly finished, by no more than `MAX_SHIFT` times the
//! patience. So whatever was accepted is overtaken by what comes later for a bounded time only.

use crate::overload_quota::Entry;

/// How far a place is moved at most, in patiences, by a job's size and by its team's part.
const MAX_SHIFT: f64 = 2.0;
/// A job that has begun goes earlier by so many: what ran of it is of use only when all has.
const BEGUN: f64 = 1.5;

/// What of a job decides its place.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Time of day of its acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// What it still needs started, in processor-seconds.
    pub rest: f64,
    /// Some of its tasks run or are done.
    pub begun: bool,
}

/// Past its use a job lets those go first that can still be of some, whatever its urgency; not
/// once it has begun, or ever new jobs would be begun and none finished.
pub fn past_use(entry: &Entry, job: Waiting, now_ms: u64) -> bool {
    !job.begun && now_ms.saturating_sub(job.accepted_ms) > entry.patience_ms
}

/// The moment a job's place in the queue goes by.
pub fn place(entry: &Entry, job: Waiting, now_ms: u64) -> u64 {
    let patience = entry.patience_ms as f64;
    let size =
        (job.rest.max(1.0) / entry.typical.max(1) as f64).log2().clamp(-MAX_SHIFT, MAX_SHIFT);
    let turn = match (job.begun, past_use(entry, job, now_ms)) {
        (true, _) => -BEGUN,
        (false, true) => 1.0,
        (false, false) => 0.0,
    };
    let moved = job.accepted_ms as f64 + patience * (size + turn);
    let later = (entry.later_ms as f64).min(patience * MAX_SHIFT);
    // Everything is a little later, so that no place lies before the beginning of time.
    (moved + later + patience * (MAX_SHIFT + BEGUN)).max(0.0) as u64
}

/// Which waiting jobs of one class go before everybody else's: from the first of `waiting` on
/// (in their order, with the processors each still needs in thousandths) until what the class
/// has, and will have with these, reaches its floor.
pub fn promote(floor: i64, has: i64, waiting: impl IntoIterator<Item = i64>) -> usize {
    let mut has = has;
    let mut promoted = 0;
    for needs in waiting {
        if has >= floor {
            break;
        }
        has += needs;
        promoted += 1;
    }
    promoted
}
