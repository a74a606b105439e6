//! The controller's interface: the events it takes and the effects it returns.
//!
//! An event is an input of the controller; an effect is an action that its caller performs. The
//! requests to the state service and the cloud are part of effects, their replies part of events.

use cleatfold_wire::cloud::{ListedMachine, MachineType, ScaleOutRequest};
use cleatfold_wire::job::{JobSpec, JobStatus};
use cleatfold_wire::losses::TeamLosses;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::steps::{StepReply, StepReport};
use cleatfold_wire::store::{Events, Item, Page, Txn};
use cleatfold_wire::team::{TeamHistory, TeamJobs, TeamQueue};
use cleatfold_wire::worker::{Heartbeat, HeartbeatResponse, Orders, RawHeartbeat};
use cleatfold_wire::{AgentEpoch, ControllerId, JobId, LeaseId, MachineId, Seq, TeamId, Version};

/// A request of a user.
#[derive(Clone, Debug)]
pub enum Request {
    /// Accept a job.
    Submit(Box<JobSpec>),
    /// Return a job's state.
    Poll(JobId),
    /// Cancel a job.
    Withdraw(JobId),
    /// Report whether this controller can serve users.
    Ready,
    /// Return the losses of a team.
    TeamLosses {
        /// The team.
        team: TeamId,
        /// The first group of its loss log to return.
        since: u64,
    },
    /// Return a view of a team's workspace.
    Workspace {
        /// The team.
        team: TeamId,
        /// The view to return.
        view: WorkspaceView,
        /// The first queue position or history number to return.
        since: u64,
    },
    /// Process the step report of a member of an elastic job.
    Steps(Box<StepReport>),
}

/// The views of a team's workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkspaceView {
    /// Jobs that have not ended.
    Jobs,
    /// Queued jobs and the reasons why they wait.
    Queue,
    /// Ended jobs.
    History,
}

/// The contents of a requested workspace view.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(untagged)]
pub enum WorkspaceContents {
    /// Jobs that have not ended.
    Jobs(TeamJobs),
    /// Queued jobs and the reasons why they wait.
    Queue(TeamQueue),
    /// Ended jobs.
    History(TeamHistory),
}

/// An input of the controller.
#[derive(Debug)]
pub enum Event {
    /// Timer tick.
    Tick,
    /// A user request; the response is an [`Effect::Reply`] with the same `rid`.
    Request {
        /// The request id.
        rid: u64,
        /// The request.
        request: Request,
    },
    /// A worker's heartbeat; the response is an [`Effect::Reply`] with the same `rid`.
    Heartbeat {
        /// The request id.
        rid: u64,
        /// The heartbeat as received.
        heartbeat: RawHeartbeat,
    },
    /// The reply to a call to the state service, or its timeout.
    Store {
        /// The id of the call.
        op: u64,
        /// The reply.
        reply: StoreReply,
    },
    /// The reply to a call to the cloud, or its timeout.
    Cloud {
        /// The id of the call.
        op: u64,
        /// The reply.
        reply: CloudReply,
    },
    /// A message from a peer.
    Mesh {
        /// The sender.
        from: ControllerId,
        /// The message.
        message: Message,
    },
    /// The result of an [`Effect::Order`].
    OrderResult {
        /// The worker's machine.
        machine: MachineId,
        /// The worker's heartbeat after the orders; none: no response, or not executed.
        heartbeat: Option<Heartbeat>,
    },
    /// The result of an [`Effect::Probe`].
    ProbeResult {
        /// The worker's machine.
        machine: MachineId,
        /// Epoch and sequence number of the worker's newest message; none: no response.
        answer: Option<(AgentEpoch, Seq)>,
    },
}

/// The response to a user or a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// A job's state.
    Status {
        /// The HTTP status.
        code: u16,
        /// The job's state.
        status: JobStatus,
    },
    /// The request was rejected.
    Refusal {
        /// The HTTP status.
        code: u16,
        /// The reason, as text.
        why: String,
        /// Seconds after which to retry; none: retrying is pointless.
        retry_after_s: Option<u32>,
    },
    /// This controller can serve users.
    Ready,
    /// Instructions for a member of an elastic job.
    Steps(StepReply),
    /// The losses of a team.
    Losses(TeamLosses),
    /// A view of a team's workspace.
    Workspace(WorkspaceContents),
    /// Commands for a worker, with the fencing token that renews its lease.
    Worker(HeartbeatResponse),
    /// 421: the worker should report to this controller; none: to any other one.
    Redirect(Option<ControllerId>),
}

impl Response {
    /// 503: the request needs the state service, which does not answer.
    pub fn store_unavailable() -> Self {
        Response::retry_later("the state service does not answer")
    }

    /// 503: a temporary failure, to be retried soon.
    pub fn retry_later(why: &str) -> Self {
        Response::Refusal { code: 503, why: why.into(), retry_after_s: Some(2) }
    }

    /// Rejects the request permanently with this HTTP status.
    pub fn rejection(code: u16, why: impl Into<String>) -> Self {
        Response::Refusal { code, why: why.into(), retry_after_s: None }
    }
}

/// The order in which calls to the state service are sent when its rate limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Leases, roles, and the reads that keep the cache current.
    Renewal,
    /// Claims, ends of claims, and cancellations.
    Claim,
    /// Acceptance of submitted jobs.
    Submission,
    /// Reads for users, and writes that can be delayed.
    Poll,
}

/// A call to the state service.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// Read one key.
    Get(String),
    /// Read a page of keys.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The key after which the page begins; none: from the first key.
        from: Option<String>,
        /// Maximum number of keys; none: the service's own limit.
        limit: Option<u32>,
    },
    /// Apply a set of changes atomically if all guards hold.
    Txn(Txn),
    /// Create a lease.
    Grant {
        /// Time to live without renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renew a lease.
    Extend(LeaseId),
    /// Read all changes since a revision.
    Changes {
        /// The prefix of the keys.
        prefix: String,
        /// The revision after which changes are returned.
        from: Version,
    },
}

/// The result of a call to the state service.
#[derive(Debug)]
pub enum StoreReply {
    /// The requested key and its value.
    Item(Item),
    /// The key or the lease does not exist.
    Missing,
    /// A page of keys.
    Page(Page),
    /// The transaction is durable at this version.
    Committed(Version),
    /// The transaction was not executed: the guards on these keys did not hold.
    Conflict(Vec<String>),
    /// The new lease.
    Granted(LeaseId),
    /// The lease was renewed.
    Extended,
    /// The changes since the requested revision.
    Events(Events),
    /// The requested revision is older than the service's change log.
    TooOld,
    /// The call was certainly not executed.
    Refused,
    /// The outcome is unknown: the call may have been executed, or may still be.
    Unknown,
    /// The request is invalid.
    Invalid(String),
}

/// A call to the cloud provider.
#[derive(Clone, Debug)]
pub enum CloudRequest {
    /// List the machine types with their prices.
    Types,
    /// List a page of the machines.
    List {
        /// The machine after which the page begins; none: from the first machine.
        from: Option<MachineId>,
    },
    /// Create machines.
    ScaleOut(ScaleOutRequest),
    /// Delete these machines.
    Delete(Vec<MachineId>),
}

/// The result of a call to the cloud.
#[derive(Debug)]
pub enum CloudReply {
    /// Machine types with their prices.
    Types(Vec<MachineType>),
    /// A page of the list of machines.
    List {
        /// The machines, sorted by name.
        machines: Vec<ListedMachine>,
        /// Whether further pages follow.
        more: bool,
    },
    /// The machines that were created.
    Created(Vec<MachineId>),
    /// The requested machine type is not available at present.
    NoCapacity,
    /// The machines and all tasks on them no longer exist.
    Deleted,
    /// Outage, rate limit, or timeout.
    Failed,
}

/// An action that the controller's caller performs.
#[derive(Debug)]
pub enum Effect {
    /// Send the response to a request or a heartbeat.
    Reply {
        /// The request id.
        rid: u64,
        /// The response.
        response: Response,
    },
    /// Call the state service; the reply is an [`Event::Store`] with the same `op`.
    Store {
        /// The id of the call.
        op: u64,
        /// The priority of the call under the rate limit.
        priority: CallPriority,
        /// The call.
        request: StoreRequest,
    },
    /// Call the cloud; the reply is an [`Event::Cloud`] with the same `op`.
    Cloud {
        /// The id of the call.
        op: u64,
        /// The call.
        request: CloudRequest,
        /// Minimum time since the previous call, which keeps all controllers together within the
        /// cloud's rate limit.
        spacing_ms: u64,
    },
    /// Send orders directly to a worker. They may only stop tasks, because they can be executed
    /// minutes late.
    Order {
        /// The worker's machine.
        machine: MachineId,
        /// The worker's address for orders.
        endpoint: String,
        /// The orders.
        orders: Orders,
    },
    /// Check whether a worker is reachable.
    Probe {
        /// The worker's machine.
        machine: MachineId,
        /// The worker's address for probes.
        endpoint: String,
    },
    /// Exit: the stored records have a format that this program does not support.
    Exit {
        /// The reason.
        reason: String,
    },
    /// Send a message to peers.
    Mesh {
        /// The recipient; none: all peers.
        to: Option<ControllerId>,
        /// The message.
        message: Message,
    },
}
