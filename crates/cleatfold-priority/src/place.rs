//! A job's durable place among those of its urgency, and the moment that it stands for.

use cleatfold_wire::Version;

/// The revision of the state service at which the job was accepted: a total order that all controllers
/// read alike and that no clock has a part in. As long as its record was never written again that is the record's version; the first
/// rewriting keeps it.
pub fn place_of(kept: Option<u64>, version: Version) -> u64 {
    kept.unwrap_or(version.0)
}

/// Moments of acceptance for jobs that are given in order of their places, with the time of day at which whoever accepted
/// them wrote them down: never decreasing, and otherwise as near to those times as can be (the mean of
/// what stands in the wrong order). What compares a moment with anything, as the order under overload does, then never
/// contradicts the places. Every controller derives the same from the same reading.
///
/// Where no clock is wrong by more than d, no moment is. (The highest time so far would do for the order as well, but
/// one clock that is an hour ahead would give everything accepted in the next hour one moment, and nothing
/// would be overtaken by its age any more.)
pub fn acceptance_times(accepted_ms: impl IntoIterator<Item = u64>) -> Vec<u64> {
    // Runs of jobs that share a moment: their sum and number.
    let mut runs: Vec<(u128, u128)> = Vec::new();
    for at in accepted_ms {
        let mut run = (u128::from(at), 1);
        while let Some(&(sum, n)) = runs.last() {
            // Its mean is not above this one's: in order.
            if sum * run.1 <= run.0 * n {
                break;
            }
            run = (run.0 + sum, run.1 + n);
            runs.pop();
        }
        runs.push(run);
    }
    let mut acceptance_times = Vec::new();
    for (sum, n) in runs {
        acceptance_times.extend(std::iter::repeat_n((sum / n) as u64, n as usize));
    }
    acceptance_times
}
