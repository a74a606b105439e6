//! What users are told of tasks whose machine was lost. Not part of the protocol
//! (`docs/overload.md`, "Nothing vanishes").

use crate::ids::{Attempt, MachineId, TaskId};
use serde::{Deserialize, Serialize};

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
    #[serde(rename = "echec")]
    Failed,
    #[serde(other, rename = "autre")]
    Other,
}

/// One start of a task that came to nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    #[serde(rename = "piece")]
    pub task: TaskId,
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    #[serde(rename = "ruche")]
    pub machine: MachineId,
    #[serde(rename = "motif")]
    pub cause: LossCause,
    /// Time of day at which it was proven, in milliseconds.
    #[serde(rename = "quandMs")]
    pub at_ms: u64,
}

/// Part of a job's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobLosses {
    pub total: u32,
    /// The lost tasks run again; of an ended job: they have, or were cancelled with it.
    #[serde(rename = "reprises")]
    pub again: bool,
    #[serde(rename = "recentes")]
    pub recent: Vec<Loss>,
}

/// `GET /v1/teams/{equipe}/losses?since=N`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamLosses {
    #[serde(rename = "pertes")]
    pub losses: Vec<Loss>,
    /// What to ask with next. Told at least once: a start is named by `piece` and `essai`.
    #[serde(rename = "suite")]
    pub next: u64,
    #[serde(rename = "encore")]
    pub more: bool,
}
