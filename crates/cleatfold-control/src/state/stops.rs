//! Tasks that were told to leave, so that others get their places.

use crate::mirror::MachineClaims;
use cleatfold_wire::*;
use std::collections::BTreeMap;

/// How long a member may go on with its step when its place is wanted, in milliseconds.
pub(crate) const YIELD_MS: u64 = 2500;

/// One task that was told to leave.
#[derive(Clone, Debug)]
pub(crate) struct Stop {
    pub attempt: Attempt,
    /// When its place should be free.
    pub until: Ms,
    pub grace_s: f64,
}

/// Tasks of our machines that are told to leave, and for whom.
#[derive(Debug, Default)]
pub(crate) struct Stops {
    pub tasks: BTreeMap<MachineId, BTreeMap<(JobId, TaskIx), Stop>>,
    /// Places on their way: for which job, in which pool, how many, until when.
    pub rooms: Vec<(JobId, PoolId, u32, Ms)>,
}

impl Stops {
    pub fn get(&self, machine: &MachineId, job: &JobId, ix: TaskIx) -> Option<&Stop> {
        // Nearly always there is none at all.
        self.tasks.get(machine)?.get(&(job.clone(), ix))
    }

    pub fn any(&self, machine: &MachineId) -> bool {
        self.tasks.contains_key(machine)
    }

    pub fn remove(&mut self, machine: &MachineId, job: &JobId, ix: TaskIx) {
        if let Some(on) = self.tasks.get_mut(machine) {
            on.remove(&(job.clone(), ix));
            if on.is_empty() {
                self.tasks.remove(machine);
            }
        }
    }

    pub fn coming(&self, job: &JobId, pool: &PoolId) -> u32 {
        self.rooms.iter().filter(|r| r.0 == *job && r.1 == *pool).map(|r| r.2).sum()
    }

    /// Forgets what is over: a claim that ended otherwise, a place long there.
    pub fn prune(&mut self, now: Ms, claims: &BTreeMap<MachineId, MachineClaims>) {
        self.rooms.retain(|r| r.3 > now);
        self.tasks.retain(|machine, tasks| {
            let on = claims.get(machine);
            tasks.retain(|task, stop| {
                on.and_then(|c| c.get(task)).is_some_and(|c| c.attempt == stop.attempt)
            });
            !tasks.is_empty()
        });
    }
}
