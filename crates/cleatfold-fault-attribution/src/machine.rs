//! Detects faulty machines from the failures of jobs on them.

use cleatfold_wire::{JobId, TaskIx};
use std::collections::BTreeMap;

/// A machine is faulty when this many jobs failed on it that work elsewhere.
const MIN_FAILED_JOBS: usize = 2;

/// What the other starts of a job say about its failure on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing yet: the job has completed no task anywhere and has failed on no other machine.
    Undetermined,
    /// The job works elsewhere and this task of it failed on no other machine: evidence against the machine.
    WorksElsewhere,
    /// The job fails on other machines too, or ended without completing any task.
    NoEvidence,
}

/// The jobs that failed on one machine since a task last completed there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineFailures {
    failed_tasks: BTreeMap<JobId, TaskIx>,
}

impl MachineFailures {
    /// Records that a task of the job failed on this machine.
    pub fn record_failure(&mut self, job: JobId, task: TaskIx) {
        self.failed_tasks.insert(job, task);
    }

    /// Records that a task completed on this machine, which shows that the machine works and clears its failures.
    pub fn record_completion(&mut self) {
        self.failed_tasks.clear();
    }

    /// Whether no failure is recorded for the machine.
    pub fn is_empty(&self) -> bool {
        self.failed_tasks.is_empty()
    }

    /// Whether the job has failed on this machine.
    pub fn contains(&self, job: &JobId) -> bool {
        self.failed_tasks.contains_key(job)
    }

    /// Whether the machine is faulty, by the current evidence about its failed jobs. Failures of jobs that work
    /// nowhere do not count: when any three failed jobs were enough and one job in twenty-five was submitted
    /// with a mistake, dozens of working machines were returned.
    pub fn is_faulty(&mut self, evidence: impl Fn(&JobId, TaskIx) -> Evidence) -> bool {
        let mut incriminating = 0;
        self.failed_tasks.retain(|job, task| {
            let evidence = evidence(job, *task);
            incriminating += usize::from(evidence == Evidence::WorksElsewhere);
            evidence != Evidence::NoEvidence
        });
        incriminating >= MIN_FAILED_JOBS
    }
}
