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
    #[serde(rename = "travaux")]
    pub jobs: Vec<LiveJob>,
    #[serde(rename = "suite")]
    pub next: u64,
    #[serde(rename = "encore")]
    pub more: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LiveJob {
    /// The revision at which it was accepted. Jobs accepted together share it.
    pub place: u64,
    #[serde(rename = "uid")]
    pub id: JobId,
    #[serde(rename = "lot")]
    pub class: ClassId,
    #[serde(rename = "urgence")]
    pub urgency: Urgency,
    #[serde(rename = "etat")]
    pub state: JobState,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub done: u32,
    pub running: u32,
    /// Time of day in milliseconds.
    #[serde(rename = "accepteMs")]
    pub accepted_ms: u64,
    #[serde(rename = "debutMs", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// `GET /v1/teams/{equipe}/queue?since=N`: what waits, by place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamQueue {
    #[serde(rename = "file")]
    pub waiting: Vec<WaitingJob>,
    #[serde(rename = "suite")]
    pub next: u64,
    #[serde(rename = "encore")]
    pub more: bool,
}

/// What a job waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holdup {
    /// Its team's limit is used up.
    #[serde(rename = "limite")]
    Limit,
    /// No machine that it may run on is up.
    #[serde(rename = "machines")]
    Machines,
    #[serde(rename = "image")]
    Image,
    /// Others go first.
    #[serde(rename = "ordre")]
    Order,
    /// It has failed, and is tried again later.
    #[serde(rename = "pause")]
    Pause,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    pub place: u64,
    #[serde(rename = "uid")]
    pub id: JobId,
    #[serde(rename = "lot")]
    pub class: ClassId,
    /// Its lane.
    #[serde(rename = "urgence")]
    pub urgency: Urgency,
    /// Which of its team's waiting jobs it is in the order of planning, from 1; none: it has no turn now.
    #[serde(rename = "rang", default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Tasks that wait.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    #[serde(rename = "attend")]
    pub holdup: Holdup,
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// `GET /v1/teams/{equipe}/history?since=N`: ended jobs, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamHistory {
    #[serde(rename = "histoire")]
    pub ended: Vec<EndedJob>,
    #[serde(rename = "suite")]
    pub next: u64,
    #[serde(rename = "encore")]
    pub more: bool,
}

/// Of a job that an earlier version ended only its end is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Without gaps, from 0.
    #[serde(rename = "numero")]
    pub number: u64,
    #[serde(rename = "uid")]
    pub id: JobId,
    #[serde(rename = "etat")]
    pub state: JobState,
    pub done: u32,
    #[serde(rename = "lot", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassId>,
    #[serde(rename = "urgence", default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    #[serde(rename = "pieces", default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
    #[serde(rename = "accepteMs", default, skip_serializing_if = "Option::is_none")]
    pub accepted_ms: Option<u64>,
    #[serde(rename = "debutMs", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
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
    #[serde(rename = "dernierEchec", default, skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<LastFailure>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LastFailure {
    #[serde(rename = "piece")]
    pub task: TaskIx,
    #[serde(rename = "ruche")]
    pub machine: MachineId,
    #[serde(rename = "quandMs")]
    pub at_ms: u64,
}
