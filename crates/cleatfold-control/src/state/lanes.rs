//! What a controller knows of the others' pools and of room that is being made in its own.

use cleatfold_priority::{considers, Gate, MadeRecord, MadeRoom, Sent};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::*;
use std::collections::{BTreeMap, BTreeSet};

/// Which pools plan, which lanes may start, and the room that stands or is being written down.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    pub looked: Ms,
    /// Since when we have been listening.
    pub listening: Ms,
    /// When jobs were last sent to pools, as far as we heard.
    pub assigned: Option<Ms>,
    /// As last looked at: pools whose owners are as good as gone, and what may start in our own.
    pub fallen: BTreeSet<PoolId>,
    pub gates: BTreeMap<PoolId, Gate>,
    /// Since when we have seen jobs above background wait, and those that have for long.
    pub waits: BTreeMap<JobId, Ms>,
    pub late: BTreeSet<JobId>,
    /// Rooms of the planning under way, not written down yet.
    pub new_rooms: Vec<MadeRoom>,
    /// By pool of ours: rooms that stand.
    pub rooms: BTreeMap<PoolId, Vec<(Urgency, MadeRoom)>>,
    /// Records of rooms on their way.
    pub writing: BTreeSet<PoolId>,
    /// Whose rooms we have made our own, by the token under which we did.
    pub adopted: BTreeMap<PoolId, FencingToken>,
}

/// Rooms that are being written down, and who leaves once they are.
#[derive(Debug)]
pub(crate) struct Making {
    pub pool: PoolId,
    pub token: FencingToken,
    pub record: MadeRecord,
    pub rooms: Vec<MadeRoom>,
}

impl Lanes {
    /// Whether somebody plans for the pool, as last looked at.
    pub fn lives(&self, pool: &PoolId) -> bool {
        !self.fallen.contains(pool)
    }

    /// The lowest lane that may start in a pool of ours.
    pub fn lowest(&self, pool: &PoolId) -> Urgency {
        self.gates.get(pool).map_or(Urgency::Critical, Gate::lowest)
    }

    pub fn made_for(&self, pool: &PoolId, job: &JobId) -> bool {
        self.rooms.get(pool).is_some_and(|rooms| rooms.iter().any(|r| r.1.job == *job))
    }

    /// Machines, by index, on which a pool of ours keeps room that is not for this job.
    pub fn kept_from(
        &self,
        pool: &PoolId,
        (job, lane): (&JobId, Urgency),
        machines: &[MachineId],
    ) -> Vec<usize> {
        let rooms = self.rooms.get(pool).map(Vec::as_slice).unwrap_or_default();
        let barred = rooms.iter().filter(|(l, r)| r.bars(*l, job, lane));
        barred.filter_map(|(_, r)| machines.iter().position(|m| *m == r.machine)).collect()
    }

    /// Whether a pool of ours plans for a job that was sent to `sent`.
    pub fn considers(
        &self,
        lane: Urgency,
        job: &JobId,
        sent: &[PoolId],
        pool: &PoolId,
        now: Ms,
    ) -> bool {
        let wide = self.gates.get(pool).is_some_and(|g| g.wide(now));
        let sent = Sent {
            anywhere: !sent.is_empty(),
            here: sent.contains(pool),
            all_live: !wide && sent.iter().all(|p| self.lives(p)),
            late: self.late.contains(job),
            made_here: self.made_for(pool, job),
        };
        considers(lane, sent)
    }
}
