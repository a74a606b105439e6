//! What a controller keeps about a job beside its record, and the transaction on it that is under way.

use crate::event_number::EventNumber;
use crate::jobs::step_reports::{JudgedReports, MemberReport};
use crate::store::records::{ArchiveRecord, JobRecord, PART};
use crate::store::sent::Sent;
use cleatfold_wire::losses::LossCause;
use cleatfold_wire::store::Txn;
use cleatfold_wire::worker::Exit;
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, Ms, PoolId, TaskIx};
use std::collections::BTreeMap;

/// Why a claim is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The task exited.
    Exit(Exit),
    /// Its machine was deleted, or found to be gone.
    MachineDeleted,
    /// Its machine's lease has provably expired.
    LeaseExpired,
    /// A former owner's claim whose task the worker does not list.
    AbsentAfterFailover,
    /// Claimed, and given up before it was started.
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

/// The ownership of a pool under which something was proven.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fence {
    pub pool: PoolId,
    pub token: FencingToken,
}

/// A claim that is over, with proof.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimEnd {
    pub machine: MachineId,
    pub ix: TaskIx,
    pub attempt: Attempt,
    pub done: bool,
    pub reason: EndReason,
    /// How long it ran, as far as we saw.
    pub ran_ms: u64,
    /// The proof holds only while the pool is ours under this token. An exit and a deletion
    /// are facts for ever; an absence or a lease that ran out are not: after a take-over the
    /// new owner may have heard the worker and renewed its lease, and our transaction may be
    /// applied minutes late.
    pub fence: Option<Fence>,
}

impl ClaimEnd {
    /// Whether a start was lost, and how: what a team wants to hear of.
    pub(crate) fn loss(&self) -> Option<LossCause> {
        if self.done {
            return None;
        }
        match self.reason {
            EndReason::MachineDeleted => Some(LossCause::Machine),
            EndReason::LeaseExpired => Some(LossCause::Lease),
            EndReason::AbsentAfterFailover => Some(LossCause::Vanished),
            EndReason::Exit(Exit::Error) => Some(LossCause::Failed),
            // Stopped on purpose, or never begun.
            EndReason::Exit(_) | EndReason::NotStarted => None,
        }
    }
}

/// Tasks to be claimed for one machine.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub machine: MachineId,
    pub pool: PoolId,
    pub token: FencingToken,
    pub tasks: u32,
}

/// What this controller keeps about a job beside its record.
#[derive(Debug, Default)]
pub(crate) struct LocalJobState {
    pub transaction_in_flight: bool,
    /// Someone else changed it; nothing is sent before the next reading.
    pub stale_since: Option<EventNumber>,
    pub not_before: Ms,
    /// Since when something of it has waited to be recorded.
    pub unsent_since: Option<Ms>,
    pub ends: Vec<ClaimEnd>,
    pub placement_requests: Vec<PlacementRequest>,
    pub abort: bool,
    pub withdrawals: Vec<u64>,
    pub no_placement_before: Ms,
    /// Pools that the leader sent it to.
    pub assigned_pools: Vec<PoolId>,
    /// Time of day at which a task of it last failed here.
    pub failed_ms: u64,
    /// Progress that is saved, per task, in milliseconds of run time.
    pub saved_run_ms: BTreeMap<TaskIx, u64>,
    /// Members' reports that wait to be recorded.
    pub member_reports: Vec<MemberReport>,
    /// All steps are finished and all members gone.
    pub completion_pending: bool,
    /// When a member last gave way.
    pub last_shrunk: Option<Ms>,
    /// How often tasks were stopped to make room.
    pub preemption_counts: BTreeMap<TaskIx, u32>,
}

impl LocalJobState {
    pub(crate) fn is_ending(&self, ix: TaskIx, attempt: Attempt) -> bool {
        self.ends.iter().any(|e| e.ix == ix && e.attempt == attempt)
    }

    /// Something waits to be recorded.
    pub(crate) fn has_updates(&self) -> bool {
        self.abort
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
    /// The outcome of an earlier sending is unknown.
    pub maybe_executed: bool,
    /// When it was sent first.
    pub sent: Sent,
    pub ends: Vec<ClaimEnd>,
    pub claims: Vec<(PlacementRequest, Vec<(TaskIx, Attempt)>)>,
    pub withdrawals: Vec<u64>,
    pub result: Outcome,
    pub steps: JudgedReports,
}

/// What becomes of the job with the transaction.
#[derive(Debug)]
pub(crate) enum Outcome {
    Active { aborted: bool },
    Ended(ArchiveRecord),
}

impl JobTransaction {
    /// The claims this transaction would make: pool and number of tasks.
    pub(crate) fn claimed_by_pool(&self) -> impl Iterator<Item = (PoolId, u32)> + '_ {
        self.claims.iter().map(|(placement, tasks)| (placement.pool.clone(), tasks.len() as u32))
    }

    pub(crate) fn claims_on(&self, machine: &MachineId) -> bool {
        self.claims.iter().any(|(placement, _)| placement.machine == *machine)
    }
}

/// The part of a job in parts that has the task; none of a job in one record.
pub(crate) fn part_of(record: &JobRecord, ix: TaskIx) -> Option<u32> {
    record.in_parts().then_some(ix.0 / PART)
}
