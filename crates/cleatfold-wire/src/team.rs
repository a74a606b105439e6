//! Responses about a team's workspace. Not part of the protocol (`docs/workspaces.md`).
//!
//! Three lists of the same form: the entries, the `since` of the next request, and whether more follow now.

use crate::ids::{ClassId, JobId, MachineId, TaskIx};
use crate::job::{JobState, Urgency};
use crate::losses::LossCause;
use serde::{Deserialize, Serialize};

/// Maximum length of a response in bytes.
pub const MAX_ANSWER: usize = 64 * 1024;

/// `GET /v1/teams/{equipe}/jobs?since=N`: jobs that have not ended, by place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamJobs {
    /// Jobs in the order of their places.
    #[serde(rename = "travaux")]
    pub jobs: Vec<ActiveJob>,
    /// The `since` of the next request.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether more entries follow.
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
    /// The state, or how it ended.
    #[serde(rename = "etat")]
    pub state: JobState,
    /// How many tasks it has.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// How many tasks are done.
    pub done: u32,
    /// How many tasks run.
    pub running: u32,
    /// Time of day of its acceptance, in milliseconds.
    #[serde(rename = "accepteMs")]
    pub accepted_ms: u64,
    /// Time of day of its first start, in milliseconds.
    #[serde(rename = "debutMs", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    /// The reason as readable text.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// `GET /v1/teams/{equipe}/queue?since=N`: waiting jobs, by place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamQueue {
    /// Jobs in the order of their places.
    #[serde(rename = "file")]
    pub waiting: Vec<WaitingJob>,
    /// The `since` of the next request.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether more entries follow.
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
    /// Other jobs come first.
    #[serde(rename = "ordre")]
    Order,
    /// It has failed and is retried later.
    #[serde(rename = "pause")]
    Pause,
}

/// A job with waiting tasks.
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
    /// Its rank among its team's waiting jobs in scheduling order, from 1; `None`: it is not considered now.
    #[serde(rename = "rang", default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Number of waiting tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// What keeps it from starting.
    #[serde(rename = "attend")]
    pub wait_cause: WaitCause,
    /// The reason as readable text.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// `GET /v1/teams/{equipe}/history?since=N`: ended jobs, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamHistory {
    /// Ended jobs in the order of their ends.
    #[serde(rename = "histoire")]
    pub ended: Vec<EndedJob>,
    /// The `since` of the next request.
    #[serde(rename = "suite")]
    pub next: u64,
    /// Whether more entries follow.
    #[serde(rename = "encore")]
    pub more: bool,
}

/// An ended job. For a job that ended under an earlier version only the required fields are known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Its number in the history, from 0 without gaps.
    #[serde(rename = "numero")]
    pub number: u64,
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The state, or how it ended.
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
    /// Processor seconds of all its attempts, including lost ones.
    #[serde(rename = "coeursS", default, skip_serializing_if = "Option::is_none")]
    pub cpu_s: Option<f64>,
    /// Number of attempts that were lost or failed.
    #[serde(rename = "pertes")]
    pub losses: u32,
    /// Causes of the most recent losses, with their counts.
    #[serde(rename = "motifs", default, skip_serializing_if = "Vec::is_empty")]
    pub causes: Vec<(LossCause, u32)>,
    /// The last known failed attempt.
    #[serde(rename = "dernierEchec", default, skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<LastFailure>,
}

/// A failed attempt of a task.
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
