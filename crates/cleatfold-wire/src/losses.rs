//! What users are told of tasks whose machine was lost. Not part of the protocol
//! (`docs/overload.md`, "Nothing vanishes").

use crate::ids::{Attempt, MachineId, TaskId};
use serde::{Deserialize, Serialize};

/// Why a start of a task was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossCause {
    /// The machine stopped, was taken by the cloud or was given up, and is deleted.
    #[serde(rename = "machine")]
    Machine,
    /// Nothing was heard of it for longer than its lease: it has killed its tasks.
    #[serde(rename = "bail")]
    Lease,
    /// The machine is there, the task is not: it restarted, or began a new session.
    #[serde(rename = "disparue")]
    Vanished,
    /// The task failed.
    #[serde(rename = "echec")]
    Failed,
    /// Anything that may be added.
    #[serde(other, rename = "autre")]
    Other,
}

/// One start of a task that came to nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Its attempt.
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    /// The machine.
    #[serde(rename = "ruche")]
    pub machine: MachineId,
    /// Why it was lost.
    #[serde(rename = "motif")]
    pub cause: LossCause,
    /// Time of day at which it was proven, in milliseconds.
    #[serde(rename = "quandMs")]
    pub at_ms: u64,
}

/// Part of a job's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobLosses {
    /// How many starts were lost.
    pub total: u32,
    /// The lost tasks run again; of an ended job: they have, or were cancelled with it.
    #[serde(rename = "reprises")]
    pub rescheduled: bool,
    /// The latest of them.
    #[serde(rename = "recentes")]
    pub recent: Vec<Loss>,
}

/// `GET /v1/teams/{equipe}/losses?since=N`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamLosses {
    /// In the order in which they were logged.
    #[serde(rename = "pertes")]
    pub losses: Vec<Loss>,
    /// What to ask with next. Told at least once: a start is named by `piece` and `essai`.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether there is more after this.
    #[serde(rename = "encore")]
    pub more: bool,
}
