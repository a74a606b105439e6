//! An ended job as its team's history has it, and many of them as one record.

use crate::Summary;
use cleatfold_wire::job::JobState;
use cleatfold_wire::losses::{Loss, LossCause};
use cleatfold_wire::team::{EndedJob, LastFailure};
use cleatfold_wire::JobId;
use serde::{Deserialize, Serialize};

/// Short names: values are small in the state service. Its number is its place in its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// How it ended.
    #[serde(rename = "e")]
    pub state: JobState,
    /// How many of its tasks were done.
    #[serde(rename = "n")]
    pub done: u32,
    /// Jobs that ended under an earlier version have none.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
    /// How many starts were lost.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub losses: u32,
    /// Why, and how many of each.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub causes: Vec<(LossCause, u32)>,
    /// The last failure that is known.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<LastFailure>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl HistoryEntry {
    /// `lost` are those of its lost starts that are known by name, `total` counts all.
    pub fn new(
        job: JobId,
        state: JobState,
        done: u32,
        summary: Option<Summary>,
        total: u32,
        lost: impl Iterator<Item = Loss>,
    ) -> Self {
        let mut causes: Vec<(LossCause, u32)> = Vec::new();
        let mut last_failure: Option<LastFailure> = None;
        for loss in lost {
            match causes.iter_mut().find(|c| c.0 == loss.cause) {
                Some(known) => known.1 += 1,
                None => causes.push((loss.cause, 1)),
            }
            let later = last_failure.as_ref().is_none_or(|f| f.at_ms <= loss.at_ms);
            if loss.cause == LossCause::Failed && later {
                let (task, machine, at_ms) = (loss.task.ix, loss.machine, loss.at_ms);
                last_failure = Some(LastFailure { task, machine, at_ms });
            }
        }
        Self { job, state, done, summary, losses: total, causes, last_failure }
    }

    /// As its team is shown it, under its number.
    pub fn to_ended_job(&self, number: u64) -> EndedJob {
        let s = self.summary.as_ref();
        EndedJob {
            number,
            id: self.job.clone(),
            state: self.state,
            done: self.done,
            class: s.map(|s| s.class.clone()),
            urgency: s.map(|s| s.urgency),
            tasks: s.map(|s| s.tasks),
            accepted_ms: s.map(|s| s.accepted_ms),
            begun_ms: s.and_then(|s| s.begun_ms),
            ended_ms: s.map(|s| s.ended_ms),
            cpu_s: s.map(|s| s.cpu_ms as f64 / 1000.0),
            losses: self.losses,
            causes: self.causes.clone(),
            last_failure: self.last_failure.clone(),
        }
    }

    /// Its length in a record, nearly.
    pub fn encoded_len(&self) -> usize {
        serde_json::to_string(self).map_or(0, |s| s.len() + 1)
    }
}

/// Ended jobs that follow one another. Its key says the number of the first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryGroup {
    /// In the order of their numbers.
    #[serde(rename = "e")]
    pub entries: Vec<HistoryEntry>,
}
