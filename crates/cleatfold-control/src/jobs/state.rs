//! Local state of a job that is not part of its record, and the job transaction in flight.

use crate::event_number::EventNumber;
use crate::jobs::step_reports::{EvaluatedReports, MemberReport};
use crate::store::records::{ArchiveRecord, JobRecord, TASKS_PER_PART};
use crate::store::send_status::SendStatus;
use cleatfold_wire::losses::LossCause;
use cleatfold_wire::store::Txn;
use cleatfold_wire::worker::Exit;
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, Ms, PoolId, TaskIx};
use std::collections::BTreeMap;

/// Why a claim has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The task exited.
    Exit(Exit),
    /// Its machine was deleted, or is no longer listed by the cloud.
    MachineDeleted,
    /// Its machine's lease has provably expired.
    LeaseExpired,
    /// A claim of a previous pool owner whose task the worker does not report.
    AbsentAfterFailover,
    /// Claimed, but abandoned before it was started.
    NotStarted,
}

impl std::fmt::Display for EndReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            EndReason::Exit(Exit::Done) => "done",
            EndReason::Exit(Exit::Stopped) => "stopped",
            EndReason::Exit(Exit::Error) => "error",
            EndReason::Exit(Exit::InsufficientResources) => "insufficient resources",
            EndReason::Exit(Exit::Busy) => "busy",
            EndReason::Exit(Exit::Unknown) => "unknown job",
            EndReason::Exit(Exit::Other) => "other",
            EndReason::MachineDeleted => "machine deleted",
            EndReason::LeaseExpired => "lease expired",
            EndReason::AbsentAfterFailover => "absent after failover",
            EndReason::NotStarted => "not started",
        })
    }
}

/// Pool ownership that a proof depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fence {
    pub pool: PoolId,
    pub token: FencingToken,
}

/// A claim that has provably ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimEnd {
    pub machine: MachineId,
    pub ix: TaskIx,
    pub attempt: Attempt,
    pub done: bool,
    pub reason: EndReason,
    /// Observed run time.
    pub ran_ms: u64,
    /// If set, the proof holds only while this controller owns the pool under this token. An exit
    /// or a deletion is final. An absence or an expired lease is not: after a failover the new
    /// owner may receive the worker's heartbeat and renew its lease, while this controller's
    /// transaction may still be applied minutes later.
    pub fence: Option<Fence>,
}

impl ClaimEnd {
    /// How the start was lost, for the team's loss log; `None` if it does not count as a loss.
    pub(crate) fn loss(&self) -> Option<LossCause> {
        if self.done {
            return None;
        }
        match self.reason {
            EndReason::MachineDeleted => Some(LossCause::Machine),
            EndReason::LeaseExpired => Some(LossCause::Lease),
            EndReason::AbsentAfterFailover => Some(LossCause::Vanished),
            EndReason::Exit(Exit::Error) => Some(LossCause::Failed),
            // Stopped intentionally, or never started.
            EndReason::Exit(_) | EndReason::NotStarted => None,
        }
    }
}

/// Request to claim a number of tasks for one machine.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub machine: MachineId,
    pub pool: PoolId,
    pub token: FencingToken,
    pub tasks: u32,
}

/// State of a job that this controller keeps in memory only.
#[derive(Debug, Default)]
pub(crate) struct LocalJobState {
    /// A transaction on the job awaits its outcome.
    pub transaction_in_flight: bool,
    /// Event of the last conflict with another controller's change; no transaction on the job is
    /// sent before a later read of the state service.
    pub stale_since: Option<EventNumber>,
    /// No transaction on the job is sent before this time.
    pub not_before: Ms,
    /// Since when updates have been waiting to be recorded.
    pub pending_since: Option<Ms>,
    /// Claim ends that wait to be recorded.
    pub ends: Vec<ClaimEnd>,
    pub placement_requests: Vec<PlacementRequest>,
    /// A user has asked to cancel the job.
    pub cancel_requested: bool,
    /// Ids of the cancellation requests that wait for an answer.
    pub withdrawals: Vec<u64>,
    /// No placement of its tasks is planned before this time.
    pub no_placement_before: Ms,
    /// Pools that the leader assigned the job to.
    pub assigned_pools: Vec<PoolId>,
    /// Wall-clock time at which a task last failed in a pool of this controller.
    pub last_failure_ms: u64,
    /// Run time covered by checkpoints, per task, in milliseconds.
    pub saved_run_ms: BTreeMap<TaskIx, u64>,
    /// Step reports of members that wait to be recorded.
    pub member_reports: Vec<MemberReport>,
    /// No claim is left and either all steps are finished or the job is cancelled: its end has to
    /// be recorded.
    pub completion_pending: bool,
    /// When a member was last stopped to make room for other work.
    pub last_shrunk: Option<Ms>,
    /// How often each task was preempted.
    pub preemption_counts: BTreeMap<TaskIx, u32>,
}

impl LocalJobState {
    /// Whether the end of this claim waits to be recorded.
    pub(crate) fn is_ending(&self, ix: TaskIx, attempt: Attempt) -> bool {
        self.ends.iter().any(|e| e.ix == ix && e.attempt == attempt)
    }

    /// Whether any update waits to be recorded.
    pub(crate) fn has_updates(&self) -> bool {
        self.cancel_requested
            || self.completion_pending
            || !(self.ends.is_empty()
                && self.placement_requests.is_empty()
                && self.member_reports.is_empty())
    }
}

/// A transaction on a job's records whose outcome is not known yet.
#[derive(Debug)]
pub(crate) struct JobTransaction {
    pub job: JobId,
    pub txn: Txn,
    /// An earlier send had an unknown outcome: the transaction may have been executed.
    pub maybe_executed: bool,
    /// When it was first sent.
    pub sent: SendStatus,
    pub ends: Vec<ClaimEnd>,
    pub claims: Vec<(PlacementRequest, Vec<(TaskIx, Attempt)>)>,
    pub withdrawals: Vec<u64>,
    pub outcome: JobOutcome,
    pub steps: EvaluatedReports,
}

/// State of the job once the transaction is committed.
#[derive(Debug)]
pub(crate) enum JobOutcome {
    Active { aborted: bool },
    Ended(ArchiveRecord),
}

impl JobTransaction {
    /// The claims of this transaction, as pool and number of tasks.
    pub(crate) fn claimed_by_pool(&self) -> impl Iterator<Item = (PoolId, u32)> + '_ {
        self.claims.iter().map(|(placement, tasks)| (placement.pool.clone(), tasks.len() as u32))
    }

    /// Whether the transaction claims tasks for the machine.
    pub(crate) fn claims_on(&self, machine: &MachineId) -> bool {
        self.claims.iter().any(|(placement, _)| placement.machine == *machine)
    }
}

/// The part of the job that holds the task; `None` if the job is stored in one record.
pub(crate) fn part_of(record: &JobRecord, ix: TaskIx) -> Option<u32> {
    record.in_parts().then_some(ix.0 / TASKS_PER_PART)
}
