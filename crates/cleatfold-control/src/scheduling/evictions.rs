//! Tasks that were told to stop so that tasks of other jobs get their slots.

use crate::store::cache::MachineClaims;
use cleatfold_wire::worker::{Command, TaskReport};
use cleatfold_wire::{Attempt, JobId, MachineId, Ms, PoolId, TaskIx};
use std::collections::BTreeMap;

/// How long an elastic member may continue its current step once its slot is requested for
/// another job, in milliseconds.
pub(crate) const YIELD_GRACE_MS: u64 = 2500;

/// A stop that is overdue by more than this many milliseconds is repeated without a grace period.
const OVERDUE_MS: u64 = 1500;

/// A task that was told to stop.
#[derive(Clone, Debug)]
pub(crate) struct Eviction {
    pub attempt: Attempt,
    /// When its slot is expected to be free.
    pub free_at: Ms,
    /// Grace period of the stop command, in seconds.
    pub grace_s: f64,
}

/// Tasks that this controller is evicting, and the slots that this frees for other jobs.
#[derive(Debug, Default)]
pub(crate) struct Evictions {
    tasks: BTreeMap<MachineId, BTreeMap<(JobId, TaskIx), Eviction>>,
    expected_slots: Vec<ExpectedSlots>,
}

/// Slots that evictions in progress will free for a job.
#[derive(Debug)]
struct ExpectedSlots {
    job: JobId,
    pool: PoolId,
    tasks: u32,
    /// The expectation lapses after this time.
    until: Ms,
}

impl Evictions {
    /// The eviction of a task, if it is being evicted.
    pub(crate) fn get(&self, machine: &MachineId, job: &JobId, ix: TaskIx) -> Option<&Eviction> {
        // Most machines have no evictions, so look up the machine before cloning the job's id.
        self.tasks.get(machine)?.get(&(job.clone(), ix))
    }

    /// Records that a task was told to stop.
    pub(crate) fn insert(
        &mut self,
        machine: &MachineId,
        job: &JobId,
        ix: TaskIx,
        eviction: Eviction,
    ) {
        self.tasks.entry(machine.clone()).or_default().insert((job.clone(), ix), eviction);
    }

    /// Whether any task on the machine is being evicted.
    pub(crate) fn has_any(&self, machine: &MachineId) -> bool {
        self.tasks.contains_key(machine)
    }

    /// Removes the eviction of a task that has exited.
    pub(crate) fn remove(&mut self, machine: &MachineId, job: &JobId, ix: TaskIx) {
        if let Some(evictions) = self.tasks.get_mut(machine) {
            evictions.remove(&(job.clone(), ix));
            if evictions.is_empty() {
                self.tasks.remove(machine);
            }
        }
    }

    /// Records that `tasks` slots for a job will become free in a pool.
    pub(crate) fn expect_slots(&mut self, job: JobId, pool: PoolId, tasks: u32, until: Ms) {
        self.expected_slots.push(ExpectedSlots { job, pool, tasks, until });
    }

    /// How many slots are expected to become free for a job in a pool.
    pub(crate) fn expected_slots(&self, job: &JobId, pool: &PoolId) -> u32 {
        let expected = self.expected_slots.iter().filter(|c| c.job == *job && c.pool == *pool);
        expected.map(|c| c.tasks).sum()
    }

    /// Repeats the stop command for a task that is being evicted; without a grace period once the
    /// stop is overdue.
    pub(crate) fn stop_command(
        &self,
        machine: &MachineId,
        task: &TaskReport,
        now: Ms,
    ) -> Option<Command> {
        let eviction = self.get(machine, &task.task.job, task.task.ix)?;
        if eviction.attempt != task.attempt {
            return None;
        }
        let overdue = now.since(eviction.free_at) > OVERDUE_MS;
        let grace_s = if overdue { 0.0 } else { eviction.grace_s };
        Some(Command::Stop { task: task.task.clone(), attempt: task.attempt, grace_s })
    }

    /// Removes evictions whose claims have ended and expectations that have lapsed.
    pub(crate) fn prune(&mut self, now: Ms, claims: &BTreeMap<MachineId, MachineClaims>) {
        self.expected_slots.retain(|c| c.until > now);
        self.tasks.retain(|machine, tasks| {
            let machine_claims = claims.get(machine);
            tasks.retain(|task, eviction| {
                machine_claims
                    .and_then(|c| c.get(task))
                    .is_some_and(|c| c.attempt == eviction.attempt)
            });
            !tasks.is_empty()
        });
    }
}
