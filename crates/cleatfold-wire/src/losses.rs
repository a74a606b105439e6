//! Reports to users about lost task attempts. Not part of the protocol
//! (`docs/overload.md`, "Nothing vanishes").

use crate::ids::{Attempt, MachineId, TaskId};
use serde::{Deserialize, Serialize};

/// Why an attempt of a task was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossCause {
    /// The machine failed, was reclaimed by the cloud or was given up as faulty, and is deleted.
    #[serde(rename = "machine")]
    Machine,
    /// No report arrived from the machine for longer than its lease, so it has killed its tasks.
    #[serde(rename = "bail")]
    Lease,
    /// The machine is running without the task: it restarted or began a new session.
    #[serde(rename = "disparue")]
    Vanished,
    /// The task failed.
    #[serde(rename = "echec")]
    Failed,
    /// A value added by a later version.
    #[serde(other, rename = "autre")]
    Other,
}

/// A lost attempt of a task.
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
    /// Time of day at which the loss was proven, in milliseconds.
    #[serde(rename = "quandMs")]
    pub at_ms: u64,
}

/// The losses in a job's status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobLosses {
    /// Number of lost attempts.
    pub total: u32,
    /// The lost tasks run again. For an ended job: they ran again or were cancelled with it.
    #[serde(rename = "reprises")]
    pub rescheduled: bool,
    /// The most recent losses.
    #[serde(rename = "recentes")]
    pub recent: Vec<Loss>,
}

/// `GET /v1/teams/{equipe}/losses?since=N`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamLosses {
    /// Losses in the order in which they were logged.
    #[serde(rename = "pertes")]
    pub losses: Vec<Loss>,
    /// The `since` of the next request. Losses are delivered at least once; `piece` and `essai` identify them.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether more losses follow.
    #[serde(rename = "encore")]
    pub more: bool,
}
