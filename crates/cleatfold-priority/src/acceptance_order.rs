//! Acceptance order: a total order of the jobs of one urgency, and acceptance times consistent with it.

use cleatfold_wire::Version;

/// The revision of the state service at which the job was accepted. It is a total order that all
/// controllers read alike and that depends on no clock. Until the job's record is rewritten it is the
/// record's version; the first rewrite stores it in the record.
pub fn acceptance_revision(recorded: Option<u64>, version: Version) -> u64 {
    recorded.unwrap_or(version.0)
}

/// Acceptance times that agree with the acceptance order. Takes, in that order, the wall-clock times
/// recorded by the accepting controllers. The result never decreases and is otherwise as close to
/// them as possible: entries in the wrong order are replaced by their mean (isotonic regression).
/// Comparisons by time, such as the order under overload, thus never contradict the acceptance order,
/// and every controller derives the same times from the same records.
///
/// If no clock is wrong by more than d, no result is. (A running maximum would also be consistent
/// with the order, but one clock that is an hour ahead would give all jobs accepted in the next hour
/// the same time, and none of them would gain priority by age.)
pub fn acceptance_times(accepted_ms: impl IntoIterator<Item = u64>) -> Vec<u64> {
    // Runs of jobs that share one time: sum and count of their recorded times.
    let mut runs: Vec<(u128, u128)> = Vec::new();
    for accepted in accepted_ms {
        let mut run = (u128::from(accepted), 1);
        while let Some(&(sum, count)) = runs.last() {
            // The previous run's mean is not above this one's: in order.
            if sum * run.1 <= run.0 * count {
                break;
            }
            run = (run.0 + sum, run.1 + count);
            runs.pop();
        }
        runs.push(run);
    }
    let mut acceptance_times = Vec::new();
    for (sum, count) in runs {
        acceptance_times.extend(std::iter::repeat_n((sum / count) as u64, count as usize));
    }
    acceptance_times
}
