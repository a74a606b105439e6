//! What waits for an answer: our calls to the services, and those who asked us.

pub(crate) use crate::event_number::EventNumber;
use crate::jobs::state::JobTransaction;
use crate::store::records::{HolderRecord, OriginRecord};
use crate::store::sent::Sent;
use cleatfold_roles::Role;
use cleatfold_wire::cloud::ScaleOutRequest;
use cleatfold_wire::job::JobSpec;
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{JobId, MachineId, Ms, TeamId, Version};

/// A call to the state service or the cloud that has no answer yet.
#[derive(Debug)]
pub(crate) enum Pending {
    Sync {
        sent: Ms,
        sent_at: EventNumber,
    },
    Load {
        sent: Ms,
    },
    Job(Box<JobTransaction>),
    Submit {
        batch: Vec<Submission>,
        txn: Txn,
        sent: Sent,
    },
    /// How one job ended, if it did.
    Archive {
        job: JobId,
    },
    /// How all jobs ended that did since the last such reading.
    Ended {
        from: Version,
    },
    Grant {
        sent: Ms,
    },
    Extend {
        sent: Ms,
    },
    /// Writing our own key.
    Registration,
    /// Reading the marker of the records' version, and writing it.
    Format,
    FormatWritten,
    /// Taking a role, or giving it back.
    Role(Role),
    /// The record of rentals, and what to ask for once it is durable.
    ScaleOutIntents(Box<cleatfold_roles::scale_out::ScaleOutStep>),
    /// Any transaction on pool keys or slices: whatever comes of it, the next sync tells.
    PoolAssignment,
    Slice(Box<crate::quota::SentSlice>),
    GarbageCollection,
    /// Seats at the origin.
    Origin {
        txn: Txn,
        record: OriginRecord,
    },
    /// Who holds an image.
    Spread,
    OverloadQuota,
    /// Room that is being made, and who leaves once that is durable.
    Preemption(Box<crate::scheduling::priority_state::UncommittedPreemption>),
    /// What is in the teams' logs already.
    LossLog,
    /// A group of losses for a team's log.
    LossGroup {
        team: TeamId,
        token: Version,
        count: usize,
        txn: Txn,
    },
    TeamLosses {
        rid: u64,
        since: u64,
    },
    /// Taking workspaces, or giving one over.
    Workspaces(Vec<TeamId>, HolderRecord),
    History(Box<crate::namespaces::workspace_state::Write>),
    /// The oldest groups of a team's history.
    Oldest {
        team: TeamId,
        token: Version,
    },
    /// The whole archive, for teams of which it is not known what has ended.
    ArchivePage,
    TeamHistory(Box<crate::namespaces::question_state::HistoryRead>),
    Types,
    List {
        sent: Ms,
    },
    ScaleOut {
        request: ScaleOutRequest,
        tries: u32,
    },
    Delete {
        machines: Vec<MachineId>,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub rid: u64,
    pub spec: Box<JobSpec>,
    pub arrived: Ms,
}

/// A user request that waits for a reading of the state service.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub rid: u64,
    pub job: JobId,
    pub arrived: Ms,
    /// The event that brought it: only a reading that was sent at this one or later answers it.
    pub arrived_at: EventNumber,
    pub kind: WaitReason,
}

#[derive(Clone, Debug)]
pub(crate) enum WaitReason {
    Poll,
    /// A submission that cannot run by today's settings: 422 unless it is known already.
    Impossible(String),
    /// A submission of a job that is known: 200 with its state.
    Known(Box<JobSpec>),
    Withdraw,
    /// A member whose claim we have not read.
    Steps(Box<StepReport>),
}
