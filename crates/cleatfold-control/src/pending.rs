//! Pending calls to the state service and the cloud, and user requests waiting for a read of the
//! state service.

pub(crate) use crate::event_number::EventNumber;
use crate::jobs::state::JobTransaction;
use crate::store::records::{HolderRecord, OriginRecord};
use crate::store::send_status::SendStatus;
use cleatfold_roles::Role;
use cleatfold_wire::cloud::ScaleOutRequest;
use cleatfold_wire::job::JobSpec;
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{JobId, MachineId, Ms, TeamId, Version};

/// A call to the state service or the cloud whose reply is pending, with what the handler of the
/// reply needs.
#[derive(Debug)]
pub(crate) enum Pending {
    /// The changes since the last read.
    Sync { sent: Ms, sent_event: EventNumber },
    /// A page of the listing that fills the cache.
    Load { sent: Ms },
    /// A transaction on a job's records.
    Job(Box<JobTransaction>),
    /// Acceptance of a batch of jobs.
    Submit { batch: Vec<Submission>, txn: Txn, sent: SendStatus },
    /// The archive record of one job, if there is one.
    ArchivedJob { job: JobId },
    /// The archive records written since the last such read.
    EndedJobs { from: Version },
    /// The creation of a lease.
    Grant { sent: Ms },
    /// The renewal of the lease.
    Extend { sent: Ms },
    /// The write of this controller's own record.
    Registration,
    /// The read of the format marker.
    Format,
    /// The write of the format marker.
    FormatWritten,
    /// Acquisition or release of a role.
    Role(Role),
    /// The record of scale-out intents, and the requests to send once it is durable.
    ScaleOutIntents(Box<cleatfold_roles::scale_out::ScaleOutStep>),
    /// A transaction on pool keys or slices. The next sync shows its outcome.
    PoolAssignment,
    /// A change of a team's quota slices.
    QuotaSlice(Box<crate::quota::SliceWrite>),
    /// The removal of records whose job has ended.
    GarbageCollection,
    /// A change of the slots for fetches from the image origin.
    Origin { txn: Txn, record: OriginRecord },
    /// A change of an image's holders.
    ImageHolders,
    /// A change of the overload quota.
    OverloadQuota,
    /// A preemption, and the tasks to evict once it is durable.
    Preemption(Box<crate::scheduling::priority_state::UncommittedPreemption>),
    /// The read of what the teams' loss logs already hold.
    LossLog,
    /// The write of a group of losses to a team's log.
    LossGroup { team: TeamId, token: Version, count: usize, txn: Txn },
    /// The read of a team's loss log for a user.
    TeamLosses { rid: u64, since: u64 },
    /// Acquisition of workspaces, or the hand-over of one.
    Workspaces(Vec<TeamId>, HolderRecord),
    /// A write of a team's history.
    History(Box<crate::namespaces::workspace_state::HistoryWrite>),
    /// The read of the oldest groups of a team's history.
    OldestHistory { team: TeamId, token: Version },
    /// A page of the whole archive, for teams whose ended jobs are not known.
    ArchivePage,
    /// The read of a team's history for a user.
    TeamHistory(Box<crate::namespaces::team_query_state::HistoryRead>),
    /// The machine types, from the cloud.
    Types,
    /// A page of the machine list, from the cloud.
    List { sent: Ms },
    /// The creation of machines.
    ScaleOut { request: ScaleOutRequest, tries: u32 },
    /// The deletion of machines.
    Delete { machines: Vec<MachineId> },
}

/// A job submission whose acceptance is not durable yet.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub rid: u64,
    pub spec: Box<JobSpec>,
    pub arrived: Ms,
}

/// A user request that waits for a read of the state service.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub rid: u64,
    pub job: JobId,
    pub arrived: Ms,
    /// The event it arrived with: only a read that was sent at this event or later answers it.
    pub arrival_event: EventNumber,
    pub kind: WaitReason,
}

/// What a waiting request asks for.
#[derive(Clone, Debug)]
pub(crate) enum WaitReason {
    /// The state of a job.
    Poll,
    /// A submission that cannot run under the current settings: 422 unless the job is already
    /// known.
    Impossible(String),
    /// A submission of a job that is already known: 200 with its state.
    Known(Box<JobSpec>),
    /// The cancellation of a job.
    Withdraw,
    /// A step report of a member whose claim is not in the cache.
    Steps(Box<StepReport>),
}
