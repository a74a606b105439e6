//! What speaks against a machine.

use cleatfold_wire::{JobId, TaskIx};
use std::collections::BTreeMap;

/// Jobs whose failure speaks against a machine that is faulty.
const JOBS: usize = 2;

/// What is known by now of a job that failed on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
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
    pub fn failed(&mut self, job: JobId, task: TaskIx) {
        self.failed.insert(job, task);
    }

    /// Something was completed here: whatever failed before, the machine works.
    pub fn completed(&mut self) {
        self.failed.clear();
    }

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
    pub fn is_faulty(&mut self, word: impl Fn(&JobId, TaskIx) -> Word) -> bool {
        let mut against = 0;
        self.failed.retain(|job, task| {
            let word = word(job, *task);
            against += usize::from(word == Word::WorksElsewhere);
            word != Word::NoEvidence
        });
        against >= JOBS
    }
}
