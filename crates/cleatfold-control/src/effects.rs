//! The controller's interface: the events that go in, and the effects that come out.
//!
//! An event is everything a controller is told; an effect is everything it asks to be done. The requests to the
//! state service and the cloud and their replies are parts of both.

use cleatfold_wire::cloud::{ListedMachine, MachineType, ScaleOutRequest};
use cleatfold_wire::job::{JobSpec, JobStatus};
use cleatfold_wire::losses::TeamLosses;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::steps::{StepReply, StepReport};
use cleatfold_wire::store::{Events, Item, Page, Txn};
use cleatfold_wire::team::{TeamHistory, TeamJobs, TeamQueue};
use cleatfold_wire::worker::{Heartbeat, HeartbeatResponse, Orders, RawHeartbeat};
use cleatfold_wire::{AgentEpoch, ControllerId, JobId, LeaseId, MachineId, Seq, TeamId, Version};

/// What a user asks.
#[derive(Clone, Debug)]
pub enum Request {
    /// Accept a job.
    Submit(Box<JobSpec>),
    /// Tell a job's state.
    Poll(JobId),
    /// Cancel a job.
    Withdraw(JobId),
    /// Say whether this controller can serve users.
    Ready,
    /// What a team has lost, from a place in its log on.
    TeamLosses { team: TeamId, since: u64 },
    /// What a team's workspace holds, from a place or a number on.
    Team { team: TeamId, what: TeamAsk, since: u64 },
    /// A member of an elastic job reports.
    Steps(Box<StepReport>),
}

/// Which part of its workspace a team asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeamAsk {
    /// Its live jobs.
    Jobs,
    /// Those of its jobs that wait, and what for.
    Queue,
    /// Its ended jobs.
    History,
}

/// The part of its workspace that a team asked for.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(untagged)]
pub enum TeamAnswer {
    Jobs(TeamJobs),
    Queue(TeamQueue),
    History(TeamHistory),
}

#[derive(Debug)]
pub enum Event {
    Tick,
    Request {
        rid: u64,
        request: Request,
    },
    Heartbeat {
        rid: u64,
        report: RawHeartbeat,
    },
    Store {
        op: u64,
        reply: StoreReply,
    },
    Cloud {
        op: u64,
        reply: CloudReply,
    },
    Mesh {
        from: ControllerId,
        message: Message,
    },
    /// A worker's report after it executed direct orders; none: no answer, or not executed.
    Ordered {
        machine: MachineId,
        report: Option<Heartbeat>,
    },
    /// A worker answered a question that only asked whether it is reached, with the number of its newest
    /// message; none: no answer.
    Probed {
        machine: MachineId,
        answer: Option<(AgentEpoch, Seq)>,
    },
}

/// What a user or a worker is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// A job's state, with the code that says what came of the request.
    Status {
        code: u16,
        status: JobStatus,
    },
    /// An error code, why, and after how many seconds to ask again, if that makes sense.
    Refusal {
        code: u16,
        why: String,
        retry_after_s: Option<u32>,
    },
    Ready,
    Steps(StepReply),
    Losses(TeamLosses),
    Team(TeamAnswer),
    Worker(HeartbeatResponse),
    /// 421; the worker should report there, or just elsewhere.
    Redirect(Option<ControllerId>),
}

impl Response {
    /// 503: what is asked needs the state service, which does not answer.
    pub fn store_unavailable() -> Self {
        Response::later("the state service does not answer")
    }

    /// 503, to be asked again soon.
    pub fn later(why: &str) -> Self {
        Response::Refusal { code: 503, why: why.into(), retry_after_s: Some(2) }
    }

    /// Refused with this code, for good.
    pub fn refuse(code: u16, why: impl Into<String>) -> Self {
        Response::Refusal { code, why: why.into(), retry_after_s: None }
    }
}

/// Which calls to the state service go first when the rate is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Leases, roles, and the reading that everything rests on.
    Renewal,
    /// Claims, ends and cancellations.
    Claim,
    /// Acceptances of jobs.
    Submission,
    /// Readings for users, and writing that can wait.
    Poll,
}

/// A call to the state service.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// One key.
    Get(String),
    /// A page of the keys after `from`; none: as many as the service gives.
    List { prefix: String, from: Option<String>, most: Option<u32> },
    /// Changes that are made all or not at all, if the guards hold.
    Txn(Txn),
    /// A new lease.
    Grant { ttl_ms: u64 },
    /// Renewal of a lease.
    Extend(LeaseId),
    /// Everything since `from`, at once.
    Changes { prefix: String, from: Version },
}

/// What came of a call to the state service.
#[derive(Debug)]
pub enum StoreReply {
    Item(Item),
    /// No such key, or no such lease.
    Missing,
    Page(Page),
    /// The transaction is durable, at this version.
    Committed(Version),
    /// Not executed: the guards on these keys did not hold.
    Conflict(Vec<String>),
    Granted(LeaseId),
    Extended,
    Events(Events),
    /// The watch's start is too old.
    TooOld,
    /// Certainly not executed.
    Refused,
    /// Perhaps executed, perhaps later.
    Unknown,
    /// The request itself is wrong.
    Bad(String),
}

/// A call to the cloud that machines are rented from.
#[derive(Clone, Debug)]
pub enum CloudRequest {
    Types,
    List { from: Option<MachineId> },
    ScaleOut(ScaleOutRequest),
    Delete(Vec<MachineId>),
}

/// What came of a call to the cloud.
#[derive(Debug)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    List {
        machines: Vec<ListedMachine>,
        more: bool,
    },
    Rented(Vec<MachineId>),
    NoCapacity,
    Deleted,
    /// Outage, too many requests, or no answer.
    Failed,
}

/// Something that a controller asks to be done.
#[derive(Debug)]
pub enum Effect {
    /// The answer to a request or a report.
    Reply { rid: u64, response: Response },
    /// A call to the state service; its reply comes as an event with the same `op`.
    Store { op: u64, priority: CallPriority, request: StoreRequest },
    /// A call to the cloud; its reply comes as an event with the same `op`.
    Cloud {
        op: u64,
        request: CloudRequest,
        /// At least so long after the call before, so that the nodes together keep the rate.
        spacing_ms: u64,
    },
    /// Straight to a worker. Only ever to stop tasks: it may be executed minutes late.
    Order { machine: MachineId, endpoint: String, orders: Orders },
    /// A question to a worker that only asks whether it is reached.
    Probe { machine: MachineId, endpoint: String },
    /// This program cannot work with what it found; it ends.
    Refuse { why: String },
    /// To one peer, or to all.
    Mesh { to: Option<ControllerId>, message: Message },
}
