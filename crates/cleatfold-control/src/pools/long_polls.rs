//! Heartbeats whose answers wait a moment, so that a claim made meanwhile is ordered at once.

use crate::controller::Controller;
use crate::effects::Response;
use cleatfold_wire::worker::Command;
use cleatfold_wire::{FencingToken, MachineId, Ms, PoolId, TaskId};
use std::collections::BTreeSet;

/// A heartbeat whose answer waits a moment for a command.
#[derive(Debug)]
pub(crate) struct LongPoll {
    pub rid: u64,
    pub pool: PoolId,
    pub token: FencingToken,
    pub until: Ms,
}

impl Controller {
    /// How long the answer to a heartbeat that calls for no command may wait for one: where there
    /// is room, a claim made meanwhile is ordered at once instead of at the next heartbeat. It
    /// stays an answer to the newest heartbeat, so nothing in it can be executed late; and it is
    /// well within the time that a worker waits. Busy machines get little of it, for while an
    /// answer is out their exits go unreported.
    pub(super) fn long_poll_ms(&self, id: &MachineId) -> u64 {
        let Some(machine) = self.inventory.machines.get(id) else { return 0 };
        if machine.draining || machine.notice.is_some() {
            return 0;
        }
        let total = self.inventory.total(&machine.pool.machine_type).cpus;
        let used: i64 = self
            .cache
            .claims
            .get(id)
            .into_iter()
            .flatten()
            .filter(|((job, ix), claim)| !self.is_ending(job, *ix, claim.attempt))
            .filter_map(|((job, _), _)| self.cache.jobs.get(job))
            .map(|cached| cached.each.cpus)
            .sum();
        let share = match used * 4 {
            0 => 80,
            u if u < total * 3 => 40,
            _ => 0,
        };
        (self.cfg.heartbeat_interval_ms * share / 100).min(2000)
    }

    /// Answers held reports whose time is up, or whose machine got a claim.
    pub(crate) fn answer_long_polls(&mut self, claimed: &[MachineId]) {
        let due: Vec<MachineId> = self
            .pools
            .long_polls
            .iter()
            .filter(|(id, h)| h.until <= self.now || claimed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(poll) = self.pools.long_polls.remove(&id) else { continue };
            let response = match self.worker_authority(&poll.pool) {
                Err(response) => response,
                Ok(authority) if authority.token() != poll.token => Response::Redirect(None),
                Ok(authority) => {
                    let commands = self.starts(&id, poll.token);
                    self.record_fetch_commands(&id, &commands);
                    if let Some(machine) = self.inventory.machines.get_mut(&id) {
                        machine.partition_detector.answered_late(self.now, &commands);
                    }
                    authority.answer(commands)
                }
            };
            self.reply(poll.rid, response);
        }
    }

    /// A newer heartbeat came: its worker gave up on the answer to the one before.
    pub(super) fn abandon_long_poll(&mut self, id: &MachineId) {
        if let Some(old) = self.pools.long_polls.remove(id) {
            self.reply(old.rid, Response::later("a newer report came"));
        }
    }

    /// Starts for claims that the machine's newest heartbeat does not list.
    fn starts(&self, id: &MachineId, token: FencingToken) -> Vec<Command> {
        let Some(machine) = self.inventory.machines.get(id) else { return vec![] };
        let Some(heartbeat) = &machine.heartbeat else { return vec![] };
        if !machine.takes_work() {
            return vec![];
        }
        let listed: BTreeSet<&TaskId> = heartbeat.tasks.iter().map(|t| &t.task).collect();
        let mut starts = Vec::new();
        for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
            let task = TaskId { job: job.clone(), ix: *ix };
            let over = self.is_over(job);
            let leaving = self.is_ending(job, *ix, claim.attempt)
                || self.evictions.get(id, job, *ix).is_some();
            if claim.token == token && !over && !leaving && !listed.contains(&task) {
                // A claim whose machine has to wait for its image is nothing to the worker yet.
                if let Some(sources) = self.permitted_fetch_sources(id, job) {
                    starts.push(Command::Start { task, attempt: claim.attempt, sources });
                }
            }
        }
        starts.extend(self.fetch_redirect_commands(id, &heartbeat.tasks));
        starts
    }
}
