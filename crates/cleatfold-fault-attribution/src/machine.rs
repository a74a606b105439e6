//! Machines at fault: what the failures of jobs on them say.

use cleatfold_wire::{JobId, TaskIx};
use std::collections::BTreeMap;

/// So many jobs that work elsewhere and fail on a machine show that it is faulty.
const FAULTY_JOBS: usize = 2;

/// What is known by now of a job that failed on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing yet: it has done nothing anywhere, and has failed nowhere else.
    Open,
    /// It works elsewhere, and this task of it has failed nowhere else: the machine's fault.
    WorksElsewhere,
    /// It fails elsewhere too, or is gone without having done anything.
    NoEvidence,
}

/// The jobs that failed on one machine since a task was last completed there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Suspicion {
    failed: BTreeMap<JobId, TaskIx>,
}

impl Suspicion {
    /// A task of the job has failed on this machine.
    pub fn failed(&mut self, job: JobId, task: TaskIx) {
        self.failed.insert(job, task);
    }

    /// Something was completed here: whatever failed before, the machine works.
    pub fn completed(&mut self) {
        self.failed.clear();
    }

    /// No job speaks against the machine.
    pub fn is_empty(&self) -> bool {
        self.failed.is_empty()
    }

    /// This job has failed here.
    pub fn names(&self, job: &JobId) -> bool {
        self.failed.contains_key(job)
    }

    /// Whether the machine is at fault, by what is known of the jobs now. (Three jobs of any kind
    /// were once enough: one in twenty-five was submitted with a mistake, and good machines
    /// were returned by the dozen.)
    pub fn is_faulty(&mut self, evidence: impl Fn(&JobId, TaskIx) -> Evidence) -> bool {
        let mut against = 0;
        self.failed.retain(|job, task| {
            let evidence = evidence(job, *task);
            against += usize::from(evidence == Evidence::WorksElsewhere);
            evidence != Evidence::NoEvidence
        });
        against >= FAULTY_JOBS
    }
}
