//! Long polling: the response to a heartbeat is held for a short time, so that the worker is told
//! of a claim made meanwhile at once.

use crate::controller::Controller;
use crate::effects::Response;
use cleatfold_wire::worker::Command;
use cleatfold_wire::{FencingToken, MachineId, Ms, PoolId, TaskId};
use std::collections::BTreeSet;

/// A heartbeat whose response is held until there is a command or the time is up.
#[derive(Debug)]
pub(crate) struct LongPoll {
    pub rid: u64,
    pub pool: PoolId,
    pub token: FencingToken,
    pub until: Ms,
}

impl Controller {
    /// How long the response to a heartbeat that requires no command may be held. On a machine with
    /// free resources a claim made meanwhile is then started at once instead of after the next
    /// heartbeat. The response still answers the newest heartbeat, so it cannot be executed late,
    /// and it is sent well within the worker's timeout. Heartbeats of busy machines are held for a
    /// shorter time or not at all, because a worker reports no exits while it waits for a response.
    pub(super) fn long_poll_ms(&self, id: &MachineId) -> u64 {
        let Some(machine) = self.inventory.machines.get(id) else { return 0 };
        if machine.draining || machine.reclaim_at.is_some() {
            return 0;
        }
        let total = self.inventory.machine_resources(&machine.pool.machine_type).cpus;
        let used: i64 = self
            .cache
            .claims
            .get(id)
            .into_iter()
            .flatten()
            .filter(|((job, ix), claim)| !self.is_ending(job, *ix, claim.attempt))
            .filter_map(|((job, _), _)| self.cache.jobs.get(job))
            .map(|cached| cached.task_resources.cpus)
            .sum();
        let percent = match used * 4 {
            0 => 80,
            u if u < total * 3 => 40,
            _ => 0,
        };
        (self.cfg.heartbeat_interval_ms * percent / 100).min(2000)
    }

    /// Answers held heartbeats whose time is up, or whose machine has a new claim.
    pub(crate) fn answer_long_polls(&mut self, claimed: &[MachineId]) {
        let due: Vec<MachineId> = self
            .pools
            .long_polls
            .iter()
            .filter(|(id, poll)| poll.until <= self.now || claimed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(poll) = self.pools.long_polls.remove(&id) else { continue };
            let response = match self.worker_authority(&poll.pool) {
                Err(response) => response,
                Ok(authority) if authority.token() != poll.token => Response::Redirect(None),
                Ok(authority) => {
                    let commands = self.start_commands(&id, poll.token);
                    self.record_fetch_commands(&id, &commands);
                    if let Some(machine) = self.inventory.machines.get_mut(&id) {
                        machine.partition_detector.record_delayed_answer(self.now, &commands);
                    }
                    authority.answer(commands)
                }
            };
            self.reply(poll.rid, response);
        }
    }

    /// Ends a held heartbeat after a newer one arrived: the worker no longer waits for its
    /// response.
    pub(super) fn abandon_long_poll(&mut self, id: &MachineId) {
        if let Some(poll) = self.pools.long_polls.remove(id) {
            self.reply(poll.rid, Response::retry_later("a newer report came"));
        }
    }

    /// Start commands for claims whose tasks the machine's newest heartbeat does not list.
    fn start_commands(&self, id: &MachineId, token: FencingToken) -> Vec<Command> {
        let Some(machine) = self.inventory.machines.get(id) else { return vec![] };
        let Some(heartbeat) = &machine.heartbeat else { return vec![] };
        if !machine.is_schedulable() {
            return vec![];
        }
        let listed: BTreeSet<&TaskId> = heartbeat.tasks.iter().map(|t| &t.task).collect();
        let mut start_commands = Vec::new();
        for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
            let task = TaskId { job: job.clone(), ix: *ix };
            let job_ended = self.is_job_ended(job);
            let claim_ending = self.is_ending(job, *ix, claim.attempt)
                || self.evictions.get(id, job, *ix).is_some();
            if claim.token == token && !job_ended && !claim_ending && !listed.contains(&task) {
                // The task is not started while the machine has to wait for a turn to fetch its
                // image.
                if let Some(sources) = self.permitted_fetch_sources(id, job) {
                    start_commands.push(Command::Start { task, attempt: claim.attempt, sources });
                }
            }
        }
        start_commands.extend(self.fetch_redirect_commands(id, &heartbeat.tasks));
        start_commands
    }
}
