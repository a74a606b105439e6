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
    /// What a team has lost.
    TeamLosses {
        /// The team that asks.
        team: TeamId,
        /// From which group of its log on.
        since: u64,
    },
    /// What a team's workspace holds.
    Team {
        /// The team that asks.
        team: TeamId,
        /// Which part of its workspace.
        what: TeamAsk,
        /// From which place or number on.
        since: u64,
    },
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
    /// Its live jobs.
    Jobs(TeamJobs),
    /// Those of its jobs that wait, and what for.
    Queue(TeamQueue),
    /// Its ended jobs.
    History(TeamHistory),
}

/// Something that a controller is told.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A user asks; the answer is a [`Effect::Reply`] with the same `rid`.
    Request {
        /// The number of the request.
        rid: u64,
        /// What is asked.
        request: Request,
    },
    /// A worker reports; the answer is a [`Effect::Reply`] with the same `rid`.
    Heartbeat {
        /// The number of the request.
        rid: u64,
        /// What it reports.
        heartbeat: RawHeartbeat,
    },
    /// The state service has answered, or not in time.
    Store {
        /// The number of the call.
        op: u64,
        /// The answer.
        reply: StoreReply,
    },
    /// The cloud has answered, or not in time.
    Cloud {
        /// The number of the call.
        op: u64,
        /// The answer.
        reply: CloudReply,
    },
    /// A peer has sent a message.
    Mesh {
        /// The peer.
        from: ControllerId,
        /// The message.
        message: Message,
    },
    /// A worker has executed direct orders, or has not.
    Ordered {
        /// The worker's machine.
        machine: MachineId,
        /// Its heartbeat after the orders; none: no answer, or not executed.
        heartbeat: Option<Heartbeat>,
    },
    /// A worker answered a question that only asked whether it is reached, or did not.
    Probed {
        /// The worker's machine.
        machine: MachineId,
        /// The number of its newest message; none: no answer.
        answer: Option<(AgentEpoch, Seq)>,
    },
}

/// What a user or a worker is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// A job's state.
    Status {
        /// The HTTP status that says what came of the request.
        code: u16,
        /// The job's state.
        status: JobStatus,
    },
    /// The request was not carried out.
    Refusal {
        /// The HTTP status.
        code: u16,
        /// Why, in words.
        why: String,
        /// After how many seconds to ask again, if that makes sense.
        retry_after_s: Option<u32>,
    },
    /// This controller can serve users.
    Ready,
    /// What a member of an elastic job should do.
    Steps(StepReply),
    /// What a team has lost.
    Losses(TeamLosses),
    /// What a team's workspace holds.
    Team(TeamAnswer),
    /// Commands for a worker, under the fencing token that renews its lease.
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
    /// A page of the keys.
    List {
        /// What the keys begin with.
        prefix: String,
        /// The key after which the page begins; none: the first.
        from: Option<String>,
        /// How many keys at most; none: as many as the service gives.
        most: Option<u32>,
    },
    /// Changes that are made all or not at all, if the guards hold.
    Txn(Txn),
    /// A new lease.
    Grant {
        /// How long it lasts without renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renewal of a lease.
    Extend(LeaseId),
    /// Everything that has changed, at once.
    Changes {
        /// What the keys begin with.
        prefix: String,
        /// The revision after which changes are wanted.
        from: Version,
    },
}

/// What came of a call to the state service.
#[derive(Debug)]
pub enum StoreReply {
    /// The key that was asked for.
    Item(Item),
    /// No such key, or no such lease.
    Missing,
    /// A page of keys.
    Page(Page),
    /// The transaction is durable, at this version.
    Committed(Version),
    /// Not executed: the guards on these keys did not hold.
    Conflict(Vec<String>),
    /// The new lease.
    Granted(LeaseId),
    /// The lease was renewed.
    Extended,
    /// What has changed.
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
    /// Machine types with their prices.
    Types,
    /// A page of the list of machines.
    List {
        /// The machine after which the page begins; none: the first.
        from: Option<MachineId>,
    },
    /// New machines.
    ScaleOut(ScaleOutRequest),
    /// These machines are to be deleted.
    Delete(Vec<MachineId>),
}

/// What came of a call to the cloud.
#[derive(Debug)]
pub enum CloudReply {
    /// Machine types with their prices.
    Types(Vec<MachineType>),
    /// A page of the list of machines.
    List {
        /// The machines, in the order of their names.
        machines: Vec<ListedMachine>,
        /// Whether there are more after them.
        more: bool,
    },
    /// The machines that were rented.
    Rented(Vec<MachineId>),
    /// None of this kind is to be had now.
    NoCapacity,
    /// The machines and all on them are gone.
    Deleted,
    /// Outage, too many requests, or no answer.
    Failed,
}

/// Something that a controller asks to be done.
#[derive(Debug)]
pub enum Effect {
    /// The answer to a request or a heartbeat.
    Reply {
        /// The number of the request.
        rid: u64,
        /// The answer.
        response: Response,
    },
    /// A call to the state service; its reply comes as an event with the same `op`.
    Store {
        /// The number of the call.
        op: u64,
        /// Which calls go first when the rate is short.
        priority: CallPriority,
        /// What is asked for.
        request: StoreRequest,
    },
    /// A call to the cloud; its reply comes as an event with the same `op`.
    Cloud {
        /// The number of the call.
        op: u64,
        /// What is asked for.
        request: CloudRequest,
        /// At least so long after the call before, so that the controllers together keep the rate.
        spacing_ms: u64,
    },
    /// Straight to a worker. Only ever to stop tasks: it may be executed minutes late.
    Order {
        /// The worker's machine.
        machine: MachineId,
        /// Where the worker takes orders.
        endpoint: String,
        /// What it is to do.
        orders: Orders,
    },
    /// A question to a worker that only asks whether it is reached.
    Probe {
        /// The worker's machine.
        machine: MachineId,
        /// Where the worker answers.
        endpoint: String,
    },
    /// This program cannot work with what it found; it ends.
    Refuse {
        /// What it found.
        why: String,
    },
    /// To one peer, or to all.
    Mesh {
        /// The peer; none: all of them.
        to: Option<ControllerId>,
        /// The message.
        message: Message,
    },
}
