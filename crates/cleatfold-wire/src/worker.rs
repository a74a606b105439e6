//! What workers report and are told.

use crate::ids::{
    AgentEpoch, Attempt, ControllerId, FencingToken, ImageId, MachineId, Seq, TaskId, TypeId,
    ZoneId,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// How a task is, as its worker sees it.
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
    /// Anything else the protocol may grow. On the machine, as far as we are concerned.
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
    /// Start refused: the machine has not enough that is free.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Start refused: the task is on this machine with another attempt.
    Busy,
    /// Start refused: no such job or task, or not submitted.
    #[serde(rename = "no_such")]
    Unknown,
    /// Anything that the protocol may add.
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
    /// Why it has ended, if it has.
    #[serde(rename = "motif", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Exit>,
    /// Whether its progress was saved when it was stopped.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// An image on a machine, as far as it is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldImage {
    /// The image.
    #[serde(rename = "gabarit")]
    pub image: ImageId,
    /// 1: all of it.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// How many machines it hands it on to.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub serves: u32,
    /// Every source it was told failed: it waits to be told others, or to go to the origin.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stuck: bool,
    /// Whom it fetches it from at present; none: from its origin, or not at all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A worker's report. `T` is its list of tasks: read, or as it came (`RawHeartbeat`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat<T = Vec<TaskReport>> {
    /// The machine.
    #[serde(rename = "ruche")]
    pub machine: MachineId,
    /// Where it takes `/orders`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// The machine type.
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: ZoneId,
    /// A spot machine, which may be taken back.
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
    /// Seconds until the cloud takes the machine away, if it does.
    #[serde(rename = "preavisS", default)]
    pub notice_s: Option<f64>,
    /// What it holds, whole or in part. Only workers that fetch from one another say so.
    #[serde(rename = "gabarits", default, skip_serializing_if = "Option::is_none")]
    pub images: Option<Vec<HeldImage>>,
    /// All tasks on the machine, exited ones too.
    #[serde(rename = "pieces", default = "T::default")]
    #[serde(bound(deserialize = "T: Default + Deserialize<'de>"))]
    pub tasks: T,
}

/// A report whose list of tasks is still the text that came. Most reports say the same as the
/// one before, which a comparison of the texts shows without reading them.
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
    /// Whether there is anything in the list of tasks.
    pub fn has_tasks(&self) -> bool {
        self.tasks.get().contains('{')
    }

    /// Reads the list of tasks.
    pub fn read_tasks(&self) -> serde_json::Result<Vec<TaskReport>> {
        // What may be absent may be null.
        serde_json::from_str::<Option<_>>(self.tasks.get()).map(Option::unwrap_or_default)
    }
}

impl Heartbeat {
    /// The same heartbeat with its list of tasks as text.
    pub fn into_raw(self) -> RawHeartbeat {
        #[expect(clippy::expect_used, reason = "tasks are plain JSON")]
        let text = serde_json::value::to_raw_value(&self.tasks).expect("tasks are plain JSON");
        self.with_tasks(text)
    }
}

/// What a worker is told to do.
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
        /// Where the image can be fetched from, in turn. None: from its origin. A worker that does
        /// not know of it goes to the origin, and is sent there only.
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
        /// How long it may take to save, in seconds; 0: none.
        #[serde(rename = "delaiArretS")]
        grace_s: f64,
    },
    /// Remove an exited task from the heartbeats.
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
    /// To be executed in order.
    #[serde(rename = "consignes")]
    pub commands: Vec<Command>,
}

/// The answer to a worker that should report elsewhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Where; none: wherever it finds.
    #[serde(rename = "rapporteA", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<ControllerId>,
}

/// `POST /orders`, straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The fencing token.
    #[serde(rename = "jeton")]
    pub token: FencingToken,
    /// The worker's epoch: it begins a new one when its lease expires.
    #[serde(rename = "veille")]
    pub agent_epoch: AgentEpoch,
    /// To be executed in order.
    #[serde(rename = "consignes")]
    pub commands: Vec<Command>,
}
