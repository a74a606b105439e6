//! What a controller knows about the owners of other pools, and the preemptions in its own pools.

use cleatfold_priority::{
    should_plan, JobAssignment, PreemptionPlan, PreemptionRecord, StartBarrier,
};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{FencingToken, JobId, MachineId, Ms, PoolId};
use std::collections::{BTreeMap, BTreeSet};

/// Which pools have a live owner, which urgencies may start, and the preemptions that are active or
/// being written to the state service.
#[derive(Debug, Default)]
pub(crate) struct PriorityState {
    pub last_checked: Ms,
    /// Since when this controller has been receiving messages without a stall.
    pub listening_since: Ms,
    /// When the leader last assigned jobs to pools, as far as this controller knows.
    pub last_assignment: Option<Ms>,
    /// Pools without a live owner, as of the last check.
    pub orphaned_pools: BTreeSet<PoolId>,
    /// By owned pool: which urgencies may start there.
    pub start_barriers: BTreeMap<PoolId, StartBarrier>,
    /// Jobs above best effort that wait, and since when this controller has seen them wait.
    pub waiting_since: BTreeMap<JobId, Ms>,
    /// Those of them that have waited for long; every pool plans for these.
    pub overdue_jobs: BTreeSet<JobId>,
    /// Preemptions of the planning pass in progress that are not written yet.
    pub unwritten_preemptions: Vec<PreemptionPlan>,
    /// By owned pool: the active preemptions, each with the urgency of the job that it is for.
    pub preemptions: BTreeMap<PoolId, Vec<(Urgency, PreemptionPlan)>>,
    /// Pools whose preemption record is being written.
    pub writes_in_flight: BTreeSet<PoolId>,
    /// Pools whose former owner's preemptions were taken over, with the fencing token under which
    /// that happened.
    pub adopted_tokens: BTreeMap<PoolId, FencingToken>,
}

/// A write of a pool's preemption record, and the preemptions to carry out once it is durable.
#[derive(Debug)]
pub(crate) struct UncommittedPreemption {
    pub pool: PoolId,
    pub token: FencingToken,
    pub record: PreemptionRecord,
    pub preemptions: Vec<PreemptionPlan>,
}

impl PriorityState {
    /// Whether the pool had a live owner at the last check.
    pub(crate) fn has_live_owner(&self, pool: &PoolId) -> bool {
        !self.orphaned_pools.contains(pool)
    }

    /// The lowest urgency that may start in an owned pool.
    pub(crate) fn lowest_urgency(&self, pool: &PoolId) -> Urgency {
        self.start_barriers
            .get(pool)
            .map_or(Urgency::Critical, StartBarrier::lowest_startable_urgency)
    }

    /// Whether resources are being freed for the job in an owned pool.
    pub(crate) fn has_preemption_for(&self, pool: &PoolId, job: &JobId) -> bool {
        self.preemptions
            .get(pool)
            .is_some_and(|preemptions| preemptions.iter().any(|r| r.1.job == *job))
    }

    /// Indices of the machines on which an owned pool holds freed resources for other jobs.
    pub(crate) fn reserved_for_others(
        &self,
        pool: &PoolId,
        (job, urgency): (&JobId, Urgency),
        machines: &[MachineId],
    ) -> Vec<usize> {
        let preemptions = self.preemptions.get(pool).map(Vec::as_slice).unwrap_or_default();
        let reserved = preemptions
            .iter()
            .filter(|(for_urgency, plan)| plan.excludes(*for_urgency, job, urgency));
        reserved.filter_map(|(_, plan)| machines.iter().position(|m| *m == plan.machine)).collect()
    }

    /// Whether an owned pool plans for a job that the leader assigned to `assigned_pools`.
    pub(crate) fn plans_for(
        &self,
        urgency: Urgency,
        job: &JobId,
        assigned_pools: &[PoolId],
        pool: &PoolId,
        now: Ms,
    ) -> bool {
        let plans_all_urgent =
            self.start_barriers.get(pool).is_some_and(|barrier| barrier.plans_all_urgent(now));
        let assignment = JobAssignment {
            to_any_pool: !assigned_pools.is_empty(),
            to_this_pool: assigned_pools.contains(pool),
            all_pools_live: !plans_all_urgent
                && assigned_pools.iter().all(|p| self.has_live_owner(p)),
            overdue: self.overdue_jobs.contains(job),
            has_preemption: self.has_preemption_for(pool, job),
        };
        should_plan(urgency, assignment)
    }
}
