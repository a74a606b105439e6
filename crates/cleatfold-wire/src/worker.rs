//! Messages between controllers and workers.

use crate::ids::{
    AgentEpoch, Attempt, ControllerId, FencingToken, ImageId, MachineId, Seq, TaskId, TypeId,
    ZoneId,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The state of a task as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// It waits for its image.
    Fetching,
    /// It runs.
    Running,
    /// It was told to stop and is saving.
    Saving,
    /// It has ended.
    Exited,
    /// A state added by a later protocol version. The task counts as present on the machine.
    #[serde(other)]
    Other,
}

/// Why a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// It is complete.
    Done,
    /// It was stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    Error,
    /// Start refused: the machine has too few free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Start refused: another attempt of the task is on this machine.
    Busy,
    /// Start refused: no such job or task, or not submitted.
    #[serde(rename = "no_such")]
    Unknown,
    /// A value added by a later protocol version.
    #[serde(other)]
    Other,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Its attempt.
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    /// The state.
    #[serde(rename = "etat")]
    pub state: TaskState,
    /// Why it has ended, if it has ended.
    #[serde(rename = "motif", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Exit>,
    /// Whether its progress was saved when it was stopped.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A complete or partial image on a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldImage {
    /// The image.
    #[serde(rename = "gabarit")]
    pub image: ImageId,
    /// The received fraction, from 0 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// Number of machines that it uploads the image to.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub serves: u32,
    /// All assigned sources failed: it waits for other sources or for permission to fetch from the origin.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stuck: bool,
    /// The peer that it currently fetches from; `None`: the origin, or it does not fetch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A worker's report. `T` is its list of tasks, either parsed or as raw JSON (`RawHeartbeat`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat<T = Vec<TaskReport>> {
    /// The machine.
    #[serde(rename = "ruche")]
    pub machine: MachineId,
    /// Address at which it accepts `/orders`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// The machine type.
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: ZoneId,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "pretees")]
    pub spot: bool,
    /// The worker's epoch: it begins a new one when its lease expires.
    #[serde(rename = "veille")]
    pub agent_epoch: AgentEpoch,
    /// The number of the message within the epoch.
    #[serde(rename = "numero")]
    pub seq: Seq,
    /// The fencing token.
    #[serde(rename = "jeton")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine, if announced.
    #[serde(rename = "preavisS", default)]
    pub notice_s: Option<f64>,
    /// Its complete and partial images. Only reported by workers that fetch from peers.
    #[serde(rename = "gabarits", default, skip_serializing_if = "Option::is_none")]
    pub images: Option<Vec<HeldImage>>,
    /// All tasks on the machine, including exited ones.
    #[serde(rename = "pieces", default = "T::default")]
    #[serde(bound(deserialize = "T: Default + Deserialize<'de>"))]
    pub tasks: T,
}

/// A report whose list of tasks is not parsed. Most reports equal the one before, which a comparison of the
/// raw JSON detects without parsing.
pub type RawHeartbeat = Heartbeat<Box<RawValue>>;

impl<T> Heartbeat<T> {
    /// The same report with another list of tasks.
    pub fn with_tasks<U>(self, tasks: U) -> Heartbeat<U> {
        Heartbeat {
            machine: self.machine,
            endpoint: self.endpoint,
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            token: self.token,
            notice_s: self.notice_s,
            images: self.images,
            tasks,
        }
    }
}

impl RawHeartbeat {
    /// Whether the list of tasks is not empty.
    pub fn has_tasks(&self) -> bool {
        self.tasks.get().contains('{')
    }

    /// Parses the list of tasks.
    pub fn read_tasks(&self) -> serde_json::Result<Vec<TaskReport>> {
        // Optional fields may also be null.
        serde_json::from_str::<Option<_>>(self.tasks.get()).map(Option::unwrap_or_default)
    }
}

impl Heartbeat {
    /// The same report with its list of tasks as raw JSON.
    pub fn into_raw(self) -> RawHeartbeat {
        #[expect(clippy::expect_used, reason = "tasks are plain JSON")]
        let text = serde_json::value::to_raw_value(&self.tasks).expect("tasks are plain JSON");
        self.with_tasks(text)
    }
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "consigne")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "launch")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "essai")]
        attempt: Attempt,
        /// Peers to fetch the image from, in order of preference; empty: the origin. Workers that do not
        /// support this field fetch from the origin and are sent no peers.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        sources: Vec<String>,
    },
    /// Stop a task.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "essai")]
        attempt: Attempt,
        /// Time in seconds that it may take to save; 0: none.
        #[serde(rename = "delaiArretS")]
        grace_s: f64,
    },
    /// Stop reporting an exited task.
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "essai")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token.
    #[serde(rename = "jeton")]
    pub token: FencingToken,
    /// Commands, executed in order.
    #[serde(rename = "consignes")]
    pub commands: Vec<Command>,
}

/// The answer to a worker that should report elsewhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to; `None`: any.
    #[serde(rename = "rapporteA", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<ControllerId>,
}

/// `POST /orders`: commands sent directly to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The fencing token.
    #[serde(rename = "jeton")]
    pub token: FencingToken,
    /// The worker's epoch: it begins a new one when its lease expires.
    #[serde(rename = "veille")]
    pub agent_epoch: AgentEpoch,
    /// Commands, executed in order.
    #[serde(rename = "consignes")]
    pub commands: Vec<Command>,
}
