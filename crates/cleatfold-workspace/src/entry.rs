//! Entries of a team's job history, and the groups in which they are stored.

use crate::Summary;
use cleatfold_wire::job::JobState;
use cleatfold_wire::losses::{Loss, LossCause};
use cleatfold_wire::team::{EndedJob, LastFailure};
use cleatfold_wire::JobId;
use serde::{Deserialize, Serialize};

/// An ended job in its team's history. Stored field names are short because values in the state service are
/// limited in size. The entry's number follows from its position in its group.
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
    /// `None` for jobs that ended under an earlier version.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
    /// How many attempts were lost.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub losses: u32,
    /// The causes of the losses, with their counts.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub causes: Vec<(LossCause, u32)>,
    /// The last known failure.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<LastFailure>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl HistoryEntry {
    /// Builds an entry. `lost` are the lost attempts whose details are known; `total` counts all lost attempts.
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

    /// The entry in the form sent to users, with its number.
    pub fn to_ended_job(&self, number: u64) -> EndedJob {
        let summary = self.summary.as_ref();
        EndedJob {
            number,
            id: self.job.clone(),
            state: self.state,
            done: self.done,
            class: summary.map(|s| s.class.clone()),
            urgency: summary.map(|s| s.urgency),
            tasks: summary.map(|s| s.tasks),
            accepted_ms: summary.map(|s| s.accepted_ms),
            begun_ms: summary.and_then(|s| s.begun_ms),
            ended_ms: summary.map(|s| s.ended_ms),
            cpu_s: summary.map(|s| s.cpu_ms as f64 / 1000.0),
            losses: self.losses,
            causes: self.causes.clone(),
            last_failure: self.last_failure.clone(),
        }
    }

    /// Approximate length in a record, in bytes.
    pub fn encoded_len(&self) -> usize {
        serde_json::to_string(self).map_or(0, |s| s.len() + 1)
    }
}

/// Consecutive entries of a history, stored under a key that contains the number of the first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryGroup {
    /// In the order of their numbers.
    #[serde(rename = "e")]
    pub entries: Vec<HistoryEntry>,
}
