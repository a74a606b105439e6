//! What a team is told of its workspace. Not part of the protocol (`docs/workspaces.md`).
//!
//! Three lists of one shape: the entries, what to ask with next, and whether there is more now.

use crate::ids::{ClassId, JobId, MachineId, TaskIx};
use crate::job::{JobState, Urgency};
use crate::losses::LossCause;
use serde::{Deserialize, Serialize};

/// No answer is longer.
pub const MAX_ANSWER: usize = 64 * 1024;

/// `GET /v1/teams/{equipe}/jobs?since=N`: jobs that have not ended, by place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamJobs {
    /// In the order of their places.
    #[serde(rename = "travaux")]
    pub jobs: Vec<ActiveJob>,
    /// Where to go on from.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether there is more after this.
    #[serde(rename = "encore")]
    pub more: bool,
}

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveJob {
    /// The revision at which it was accepted. Jobs accepted together share it.
    pub place: u64,
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The class of jobs that it belongs to.
    #[serde(rename = "lot")]
    pub class: ClassId,
    /// Its urgency.
    #[serde(rename = "urgence")]
    pub urgency: Urgency,
    /// How it is, or how it ended.
    #[serde(rename = "etat")]
    pub state: JobState,
    /// How many tasks it has.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// How many tasks are done.
    pub done: u32,
    /// How many tasks run.
    pub running: u32,
    /// Time of day in milliseconds.
    #[serde(rename = "accepteMs")]
    pub accepted_ms: u64,
    /// Time of day of its first start, in milliseconds.
    #[serde(rename = "debutMs", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    /// Why, in words.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// `GET /v1/teams/{equipe}/queue?since=N`: what waits, by place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamQueue {
    /// In the order of their places.
    #[serde(rename = "file")]
    pub waiting: Vec<WaitingJob>,
    /// Where to go on from.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether there is more after this.
    #[serde(rename = "encore")]
    pub more: bool,
}

/// What a job waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaitCause {
    /// Its team's limit is used up.
    #[serde(rename = "limite")]
    Limit,
    /// No machine that it may run on is up.
    #[serde(rename = "machines")]
    Machines,
    /// Its image is being fetched.
    #[serde(rename = "image")]
    Image,
    /// Others go first.
    #[serde(rename = "ordre")]
    Order,
    /// It has failed, and is tried again later.
    #[serde(rename = "pause")]
    Pause,
}

/// A job of which tasks wait.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    /// Its place in the queue: the revision that accepted it.
    pub place: u64,
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The class of jobs that it belongs to.
    #[serde(rename = "lot")]
    pub class: ClassId,
    /// Its urgency.
    #[serde(rename = "urgence")]
    pub urgency: Urgency,
    /// Which of its team's waiting jobs it is in the order of planning, from 1; none: it has no turn now.
    #[serde(rename = "rang", default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Tasks that wait.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// What keeps it from starting.
    #[serde(rename = "attend")]
    pub wait_cause: WaitCause,
    /// Why, in words.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// `GET /v1/teams/{equipe}/history?since=N`: ended jobs, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamHistory {
    /// In the order of their ends.
    #[serde(rename = "histoire")]
    pub ended: Vec<EndedJob>,
    /// Where to go on from.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether there is more after this.
    #[serde(rename = "encore")]
    pub more: bool,
}

/// Of a job that an earlier version ended only its end is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Without gaps, from 0.
    #[serde(rename = "numero")]
    pub number: u64,
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// How it is, or how it ended.
    #[serde(rename = "etat")]
    pub state: JobState,
    /// How many tasks are done.
    pub done: u32,
    /// The class of jobs that it belongs to.
    #[serde(rename = "lot", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassId>,
    /// Its urgency.
    #[serde(rename = "urgence", default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    /// How many tasks it has.
    #[serde(rename = "pieces", default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
    /// Time of day of its acceptance, in milliseconds.
    #[serde(rename = "accepteMs", default, skip_serializing_if = "Option::is_none")]
    pub accepted_ms: Option<u64>,
    /// Time of day of its first start, in milliseconds.
    #[serde(rename = "debutMs", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    /// Time of day of its end, in milliseconds.
    #[serde(rename = "finMs", default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Processor seconds of all its starts, lost ones too.
    #[serde(rename = "coeursS", default, skip_serializing_if = "Option::is_none")]
    pub cpu_s: Option<f64>,
    /// Starts that were lost or failed.
    #[serde(rename = "pertes")]
    pub losses: u32,
    /// Why, of the latest of them.
    #[serde(rename = "motifs", default, skip_serializing_if = "Vec::is_empty")]
    pub causes: Vec<(LossCause, u32)>,
    /// The last failed start that is known.
    #[serde(rename = "dernierEchec", default, skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<LastFailure>,
}

/// A failed start of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LastFailure {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskIx,
    /// The machine.
    #[serde(rename = "ruche")]
    pub machine: MachineId,
    /// Time of day, in milliseconds.
    #[serde(rename = "quandMs")]
    pub at_ms: u64,
}
