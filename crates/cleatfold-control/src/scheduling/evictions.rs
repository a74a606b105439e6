//! Tasks that were told to leave, so that others get their places.

use crate::store::cache::MachineClaims;
use cleatfold_wire::worker::{Command, TaskReport};
use cleatfold_wire::{Attempt, JobId, MachineId, Ms, PoolId, TaskIx};
use std::collections::BTreeMap;

/// How long a member may go on with its step when its place is wanted, in milliseconds.
pub(crate) const YIELD_MS: u64 = 2500;

/// A stop that is not over so long after it should be is repeated without grace.
const OVERDUE_MS: u64 = 1500;

/// One task that was told to leave.
#[derive(Clone, Debug)]
pub(crate) struct Eviction {
    pub attempt: Attempt,
    /// When its place should be free.
    pub until: Ms,
    pub grace_s: f64,
}

/// Tasks of our machines that are told to leave, and for whom.
#[derive(Debug, Default)]
pub(crate) struct Evictions {
    tasks: BTreeMap<MachineId, BTreeMap<(JobId, TaskIx), Eviction>>,
    coming: Vec<ComingPlaces>,
}

/// Places that are on their way.
#[derive(Debug)]
struct ComingPlaces {
    job: JobId,
    pool: PoolId,
    tasks: u32,
    /// Not expected any more after this.
    until: Ms,
}

impl Evictions {
    pub(crate) fn get(&self, machine: &MachineId, job: &JobId, ix: TaskIx) -> Option<&Eviction> {
        // Nearly always there is none at all.
        self.tasks.get(machine)?.get(&(job.clone(), ix))
    }

    pub(crate) fn insert(
        &mut self,
        machine: &MachineId,
        job: &JobId,
        ix: TaskIx,
        eviction: Eviction,
    ) {
        self.tasks.entry(machine.clone()).or_default().insert((job.clone(), ix), eviction);
    }

    /// Whether any task of the machine is to leave.
    pub(crate) fn any(&self, machine: &MachineId) -> bool {
        self.tasks.contains_key(machine)
    }

    pub(crate) fn remove(&mut self, machine: &MachineId, job: &JobId, ix: TaskIx) {
        if let Some(on) = self.tasks.get_mut(machine) {
            on.remove(&(job.clone(), ix));
            if on.is_empty() {
                self.tasks.remove(machine);
            }
        }
    }

    /// So many places of a job will come free in a pool.
    pub(crate) fn expect(&mut self, job: JobId, pool: PoolId, tasks: u32, until: Ms) {
        self.coming.push(ComingPlaces { job, pool, tasks, until });
    }

    /// How many places of a job are on their way in a pool.
    pub(crate) fn coming(&self, job: &JobId, pool: &PoolId) -> u32 {
        let coming = self.coming.iter().filter(|c| c.job == *job && c.pool == *pool);
        coming.map(|c| c.tasks).sum()
    }

    /// The command that tells a task once more, in the end without grace, to leave.
    pub(crate) fn repeat(
        &self,
        machine: &MachineId,
        task: &TaskReport,
        now: Ms,
    ) -> Option<Command> {
        let stop = self.get(machine, &task.task.job, task.task.ix)?;
        if stop.attempt != task.attempt {
            return None;
        }
        let overdue = now.since(stop.until) > OVERDUE_MS;
        let grace_s = if overdue { 0.0 } else { stop.grace_s };
        Some(Command::Stop { task: task.task.clone(), attempt: task.attempt, grace_s })
    }

    /// Forgets what is over: a claim that ended otherwise, a place long there.
    pub(crate) fn prune(&mut self, now: Ms, claims: &BTreeMap<MachineId, MachineClaims>) {
        self.coming.retain(|c| c.until > now);
        self.tasks.retain(|machine, tasks| {
            let on = claims.get(machine);
            tasks.retain(|task, stop| {
                on.and_then(|c| c.get(task)).is_some_and(|c| c.attempt == stop.attempt)
            });
            !tasks.is_empty()
        });
    }
}
