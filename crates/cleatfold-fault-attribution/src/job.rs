//! Classifies jobs by their failed starts and computes when they are retried.

use cleatfold_wire::{Attempt, MachineId, TaskIx};
use std::collections::{BTreeMap, BTreeSet};

/// A failed start of a task, as stored in the record of its job.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// The machine on which it failed.
    pub machine: MachineId,
    /// The task.
    pub task: TaskIx,
    /// The attempt of the task.
    pub attempt: Attempt,
    /// Time of day of the failure, in milliseconds.
    pub at_ms: u64,
}

/// A job that failed on this many machines without completing any task is retried one task at a time.
const MIN_SUSPECT_MACHINES: usize = 2;
const INITIAL_BACKOFF_MS: u64 = 4_000;
const MAX_BACKOFF_MS: u64 = 300_000;

/// The delay before the next start of a task that failed at this attempt: 4 s, doubled after each
/// further failure, at most 5 min. A job that always fails is started about twenty times in its
/// first hour and twelve times in each later hour.
pub fn retry_backoff_ms(attempt: Attempt) -> u64 {
    let doublings = attempt.0.saturating_sub(1).min(16);
    (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS)
}

/// Whether a job is considered to be the cause of its failures.
#[derive(Clone, Debug, PartialEq)]
pub enum JobHealth {
    /// Not considered at fault. Tasks that failed are delayed individually.
    Healthy {
        /// Tasks that must not be claimed before their retry delay ends.
        backing_off: BTreeSet<TaskIx>,
    },
    /// The job has failed on several machines and completed nothing: one task at a time is retried.
    Suspect {
        /// Time of day of the next retry, in milliseconds.
        retry_at_ms: u64,
    },
}

impl JobHealth {
    /// How many of `unclaimed` tasks may be started now while `claimed` tasks of the job are in progress.
    pub fn startable_tasks(&self, unclaimed: u32, claimed: u32, now_ms: u64) -> u32 {
        match self {
            JobHealth::Healthy { backing_off } => {
                unclaimed.saturating_sub(backing_off.len() as u32)
            }
            JobHealth::Suspect { retry_at_ms } if now_ms < *retry_at_ms || claimed > 0 => 0,
            JobHealth::Suspect { .. } => unclaimed.min(1),
        }
    }
}

/// Classifies a job by its failures. `done` is the number of its completed tasks; failures on machines for
/// which `is_faulty` holds are ignored.
pub fn job_health(
    failures: &[Failure],
    done: u32,
    is_faulty: impl Fn(&MachineId) -> bool,
    now_ms: u64,
) -> JobHealth {
    let mut failed_tasks: BTreeMap<TaskIx, (Attempt, u64)> = BTreeMap::new();
    let mut failed_machines: BTreeSet<&MachineId> = BTreeSet::new();
    // A failure caused by a faulty machine does not count against the job; the task restarts elsewhere at once.
    for failure in failures.iter().filter(|f| !is_faulty(&f.machine)) {
        failed_machines.insert(&failure.machine);
        let latest = failed_tasks.entry(failure.task).or_default();
        latest.0 = latest.0.max(failure.attempt);
        latest.1 = latest.1.max(failure.at_ms);
    }
    let retry_at =
        |(attempt, at_ms): (Attempt, u64)| at_ms.saturating_add(retry_backoff_ms(attempt));
    if done == 0 && failed_machines.len() >= MIN_SUSPECT_MACHINES {
        // The delay follows the task with the most attempts and starts at the last failure of any task: the
        // tasks of a broken array that started together keep failing while its first task is already delayed.
        let max_attempt = failed_tasks.values().map(|t| t.0).max().unwrap_or_default();
        let last_failure = failed_tasks.values().map(|t| t.1).max().unwrap_or_default();
        return JobHealth::Suspect { retry_at_ms: retry_at((max_attempt, last_failure)) };
    }
    let backing_off =
        failed_tasks.into_iter().filter(|(_, t)| retry_at(*t) > now_ms).map(|(ix, _)| ix);
    JobHealth::Healthy { backing_off: backing_off.collect() }
}
