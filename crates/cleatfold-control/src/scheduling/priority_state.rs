//! What a controller knows of the others' pools and of room that is being made in its own.

use cleatfold_priority::{
    should_plan, JobAssignment, PreemptionPlan, PreemptionRecord, StartBarrier,
};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{FencingToken, JobId, MachineId, Ms, PoolId};
use std::collections::{BTreeMap, BTreeSet};

/// Which pools plan, which urgencies may start, and the room that stands or is being written down.
#[derive(Debug, Default)]
pub(crate) struct PriorityState {
    pub last_checked: Ms,
    /// Since when we have been listening.
    pub listening: Ms,
    /// When jobs were last sent to pools, as far as we heard.
    pub assigned: Option<Ms>,
    /// As last looked at: pools whose owners are as good as gone, and what may start in our own.
    pub fallen: BTreeSet<PoolId>,
    pub start_barriers: BTreeMap<PoolId, StartBarrier>,
    /// Since when we have seen jobs above background wait, and those that have for long.
    pub waits: BTreeMap<JobId, Ms>,
    pub late: BTreeSet<JobId>,
    /// Rooms of the planning under way, not written down yet.
    pub new_preemptions: Vec<PreemptionPlan>,
    /// By pool of ours: rooms that stand.
    pub preemptions: BTreeMap<PoolId, Vec<(Urgency, PreemptionPlan)>>,
    /// Records of rooms on their way.
    pub writing: BTreeSet<PoolId>,
    /// Whose rooms we have made our own, by the token under which we did.
    pub adopted: BTreeMap<PoolId, FencingToken>,
}

/// Rooms that are being written down, and who leaves once they are.
#[derive(Debug)]
pub(crate) struct UncommittedPreemption {
    pub pool: PoolId,
    pub token: FencingToken,
    pub record: PreemptionRecord,
    pub preemptions: Vec<PreemptionPlan>,
}

impl PriorityState {
    /// Whether somebody plans for the pool, as last looked at.
    pub(crate) fn lives(&self, pool: &PoolId) -> bool {
        !self.fallen.contains(pool)
    }

    /// The lowest urgency that may start in a pool of ours.
    pub(crate) fn lowest(&self, pool: &PoolId) -> Urgency {
        self.start_barriers
            .get(pool)
            .map_or(Urgency::Critical, StartBarrier::lowest_startable_urgency)
    }

    pub(crate) fn has_preemption_for(&self, pool: &PoolId, job: &JobId) -> bool {
        self.preemptions
            .get(pool)
            .is_some_and(|preemptions| preemptions.iter().any(|r| r.1.job == *job))
    }

    /// Machines, by index, on which a pool of ours keeps room that is not for this job.
    pub(crate) fn kept_from(
        &self,
        pool: &PoolId,
        (job, urgency): (&JobId, Urgency),
        machines: &[MachineId],
    ) -> Vec<usize> {
        let preemptions = self.preemptions.get(pool).map(Vec::as_slice).unwrap_or_default();
        let barred = preemptions.iter().filter(|(l, r)| r.excludes(*l, job, urgency));
        barred.filter_map(|(_, r)| machines.iter().position(|m| *m == r.machine)).collect()
    }

    /// Whether a pool of ours plans for a job that was sent to `sent`.
    pub(crate) fn considers(
        &self,
        urgency: Urgency,
        job: &JobId,
        sent: &[PoolId],
        pool: &PoolId,
        now: Ms,
    ) -> bool {
        let wide = self.start_barriers.get(pool).is_some_and(|g| g.plans_all_urgent(now));
        let sent = JobAssignment {
            to_any_pool: !sent.is_empty(),
            to_this_pool: sent.contains(pool),
            all_pools_live: !wide && sent.iter().all(|p| self.lives(p)),
            overdue: self.late.contains(job),
            has_preemption: self.has_preemption_for(pool, job),
        };
        should_plan(urgency, sent)
    }
}
