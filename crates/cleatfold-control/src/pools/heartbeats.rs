//! Handling of worker heartbeats, and the commands sent in the responses.
//!
//! A `launch` command is sent only for a claim that is recorded in the state service under this
//! controller's current fencing token, and only in the response to a heartbeat that does not list
//! the task: a worker never executes such a response late. A claim is released only on proof. All
//! proofs are collected in this file and, for deletions, in `machines/watch.rs`: an exit; absence
//! from a heartbeat whose worker had seen the current token; a lease that has provably expired;
//! deletion or failure of the machine.

use crate::controller::Controller;
use crate::effects::Response;
use crate::jobs::state::{ClaimEnd, EndReason, Fence};
use crate::machines::inventory::{LastHeartbeat, Machine};
use crate::pools::long_polls::LongPoll;
use crate::store::cache::Claim;
use cleatfold_wire::cloud::MachineState;
use cleatfold_wire::worker::{Command, Exit, Heartbeat, RawHeartbeat, TaskReport, TaskState};
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, Ms, PoolId, TaskId, TaskIx};
use serde_json::value::RawValue;
use std::collections::BTreeSet;

/// Above this backpressure, responses of this controller may have been sent too late, so missing
/// effects are not held against the worker.
const MAX_FAIR_BACKPRESSURE: u64 = 2;

/// What is known of a machine when one of its heartbeats is processed.
struct Arrival {
    machine: MachineId,
    pool: PoolId,
    /// This controller's current fencing token for the pool.
    token: FencingToken,
    /// The worker had seen `token` when it sent the heartbeat.
    seen_our_token: bool,
    /// The first heartbeat of this machine under `token`.
    is_first: bool,
    /// The one-way partition detector changed its result with this heartbeat.
    delivery_changed: bool,
    /// The machine is given no new tasks.
    is_draining: bool,
    /// When the cloud reclaims the machine, if it gave notice.
    notice: Option<Ms>,
}

/// Claims whose tasks a heartbeat lists.
#[derive(Default)]
struct ListedClaims {
    /// Tasks listed with the claimed attempt.
    exact: BTreeSet<(JobId, TaskIx)>,
    /// Tasks on the machine that have not exited, of any attempt.
    alive: BTreeSet<TaskId>,
}

/// Actions required by the tasks that a heartbeat lists.
#[derive(Default)]
struct Listed {
    commands: Vec<Command>,
    /// Exited tasks whose claims are to be ended.
    exits: Vec<TaskReport>,
    claims: ListedClaims,
}

/// A claim whose task is not on the claimed machine.
struct LostClaim {
    task: TaskId,
    attempt: Attempt,
    reason: EndReason,
}

/// Actions required by claims whose tasks a heartbeat does not list.
#[derive(Default)]
struct Unlisted {
    lost: Vec<LostClaim>,
    starts: Vec<Command>,
    /// At least one start was withheld because the machine has to wait for a turn to fetch the image.
    withheld: bool,
}

impl Controller {
    pub(crate) fn on_heartbeat(&mut self, rid: u64, heartbeat: RawHeartbeat) {
        if !self.serving() || self.inventory.is_deleted(&heartbeat.machine) {
            return self.reply(rid, Response::Redirect(None));
        }
        let pool =
            PoolId { machine_type: heartbeat.machine_type.clone(), zone: heartbeat.zone.clone() };
        let Some(token) = self.owned_pool_token(&pool) else {
            return self.redirect(rid, &heartbeat, &pool);
        };
        if heartbeat.token > token {
            // Another controller was assigned the pool, and the assignment has not been read yet.
            self.session.sync_wanted = true;
            self.reachability.view.worker_release.is_served(&pool, self.now);
            return self.reply(rid, Response::Redirect(None));
        }
        let worker_authority = match self.worker_authority(&pool) {
            Ok(worker_authority) => worker_authority,
            Err(response) => return self.reply(rid, response),
        };
        let machine = self.inventory.machines.get(&heartbeat.machine);
        let known = machine.and_then(|m| m.heartbeat.as_ref());
        if known.is_some_and(|k| (k.agent_epoch, k.seq) >= (heartbeat.agent_epoch, heartbeat.seq)) {
            // Delayed or duplicated: the worker no longer waits for this response.
            return self.reply(rid, Response::later("an old report"));
        }
        if machine.is_none() && heartbeat.token != token {
            // This may be a delayed copy from a machine that another owner, or an earlier incarnation of
            // this controller, has deleted. A running worker reports again at once with the current token.
            return self.reply(rid, worker_authority.answer(vec![]));
        }
        if let Some(away) = self.release_worker(&heartbeat, &pool) {
            return self.reply(rid, away);
        }
        let id = heartbeat.machine.clone();
        let new_token = heartbeat.token != token;
        let commands = if self.says_the_same(&heartbeat, token) {
            self.take_again(&heartbeat, token);
            vec![]
        } else {
            match heartbeat.read_tasks() {
                Ok(tasks) => {
                    let text = heartbeat.tasks.clone();
                    self.take_heartbeat(&pool, token, heartbeat.with_tasks(tasks), text)
                }
                Err(error) => {
                    return self.reply(rid, Response::refuse(400, format!("not a report: {error}")))
                }
            }
        };
        if let Some(machine) = self.inventory.machines.get_mut(&id) {
            machine.partition_detector.answered(self.now, new_token, &commands);
        }
        let hold = if commands.is_empty() { self.long_poll_ms(&id) } else { 0 };
        if hold > 0 {
            let until = self.now.plus(hold);
            self.pools.long_polls.insert(id, LongPoll { rid, pool, token, until });
        } else {
            self.reply(rid, worker_authority.answer(commands));
        }
    }

    /// Whether the job is cancelled, complete or unknown, so that none of its tasks may start or
    /// continue.
    pub(super) fn is_over(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_none_or(|j| j.is_complete()) || self.is_cancelled(job)
    }

    /// Redirects a worker to the owner of its pool, if the owner is known.
    fn redirect(&mut self, rid: u64, heartbeat: &RawHeartbeat, pool: &PoolId) {
        let owner = match (self.pools.superseded_by.get(pool), self.cache.pools.get(pool)) {
            (Some((controller, _)), _) => Some(controller.clone()),
            (None, Some(h)) if h.owner != self.cfg.me => Some(h.owner.clone()),
            _ => None,
        };
        if let Some(owner) = &owner {
            self.on_misdirected_worker(heartbeat, pool, owner);
        }
        self.reply(rid, Response::Redirect(owner));
    }

    /// Whether the heartbeat repeats the previous one and no state that could require a command has
    /// changed since. This holds for most heartbeats of a large deployment; parsing each of them in
    /// full and checking its claims took most of the processor time spent on heartbeats.
    fn says_the_same(&self, heartbeat: &RawHeartbeat, token: FencingToken) -> bool {
        let Some(machine) = self.inventory.machines.get(&heartbeat.machine) else { return false };
        let Some(last) = &machine.heartbeat else { return false };
        last.settled.is_some_and(|stamp| stamp == self.cache.claims_stamp(&heartbeat.machine))
            && last.agent_epoch == heartbeat.agent_epoch
            && last.token == token
            && heartbeat.token == token
            && heartbeat.notice_s.is_none()
            && machine.is_schedulable()
            && !machine.lease_expired
            && !self.evictions.any(&heartbeat.machine)
            && last.text.get() == heartbeat.tasks.get()
            && last.images == heartbeat.images
    }

    /// Records an unchanged heartbeat as the machine's latest without parsing its tasks.
    fn take_again(&mut self, heartbeat: &RawHeartbeat, token: FencingToken) {
        self.reachability.view.misdirected_workers.arrived(&heartbeat.machine);
        self.abandon_long_poll(&heartbeat.machine);
        self.reachability.view.note_contact(&heartbeat.zone, self.now);
        let (now, fair) = (self.now, self.backpressure <= MAX_FAIR_BACKPRESSURE);
        let Some(machine) = self.inventory.machines.get_mut(&heartbeat.machine) else { return };
        machine.last_heartbeat_at = Some(now);
        if !fair {
            machine.partition_detector.excuse();
        }
        let tasks = machine.heartbeat.as_ref().map_or(&[][..], |r| &r.tasks);
        self.replan_needed |= machine.partition_detector.next_heartbeat(
            now,
            self.cfg.heartbeat_interval_ms,
            true,
            tasks,
        );
        machine.answered = Some((now, token));
        machine.spot = heartbeat.spot;
        if let Some(last) = &mut machine.heartbeat {
            (last.seq, last.received_at) = (heartbeat.seq, now);
        }
    }

    /// Processes a heartbeat that differs from the previous one; returns the commands to send.
    fn take_heartbeat(
        &mut self,
        pool: &PoolId,
        token: FencingToken,
        heartbeat: Heartbeat,
        text: Box<RawValue>,
    ) -> Vec<Command> {
        let id = heartbeat.machine.clone();
        self.abandon_long_poll(&id);
        let arrival = self.note_arrival(pool, token, &heartbeat);
        let Listed { mut commands, exits, claims } = self.judge_listed(&arrival, &heartbeat);
        if !arrival.is_draining && arrival.notice.is_none() {
            commands.append(&mut self.new_sources(&id, &heartbeat.tasks));
        }
        let Unlisted { lost, mut starts, withheld } = self.judge_unlisted(&arrival, &claims);
        let is_stuck = !arrival.is_draining && Controller::is_stuck(&heartbeat.images);
        let is_quiet = commands.is_empty() && starts.is_empty() && lost.is_empty();
        let is_quiet = is_quiet && exits.is_empty() && !withheld && !is_stuck;
        // The state of elastic members changes without a change to their claims.
        let settled = (is_quiet && !self.cache.any_elastic()).then(|| self.cache.claims_stamp(&id));
        for claim in lost {
            self.release_lost(&arrival, claim);
        }
        for exited in exits {
            let exit = exited.why.unwrap_or(Exit::Other);
            let saved = exited.saved == Some(true);
            self.on_exit(&id, &exited.task, exited.attempt, exit, saved);
        }
        // Commands that free resources precede those that use them, since the worker counts the
        // resources of its machine by the tasks that it runs.
        commands.append(&mut starts);
        let news = arrival.is_first || arrival.delivery_changed;
        self.replan_needed |= self.keep_heartbeat(heartbeat, text, settled) || news;
        self.note_fetches(&id, &commands);
        commands
    }

    /// Updates the machine's inventory entry from a heartbeat.
    fn note_arrival(
        &mut self,
        pool: &PoolId,
        token: FencingToken,
        heartbeat: &Heartbeat,
    ) -> Arrival {
        let (now, id) = (self.now, &heartbeat.machine);
        let spot = heartbeat.spot;
        let seen_our_token = heartbeat.token == token;
        let new = || Machine::new(pool.clone(), spot, now);
        let machine = self.inventory.machines.entry(id.clone()).or_insert_with(new);
        machine.pool = pool.clone();
        machine.spot = spot;
        machine.endpoint.clone_from(&heartbeat.endpoint);
        machine.answered = Some((now, token));
        if self.backpressure > MAX_FAIR_BACKPRESSURE {
            machine.partition_detector.excuse();
        }
        let delivery_changed = machine.partition_detector.next_heartbeat(
            now,
            self.cfg.heartbeat_interval_ms,
            seen_our_token,
            &heartbeat.tasks,
        );
        let is_partitioned = machine.partition_detector.is_partitioned();
        if delivery_changed {
            tracing::info!(machine = %id, is_partitioned, "one-way partition detection changed");
        }
        // Only a heartbeat sent under the current token shows the machine's present state. A delayed
        // copy of an older one proves nothing but the exits that it lists.
        if seen_our_token {
            machine.last_heartbeat_at = Some(now);
            machine.lease_expired = false;
            machine.notice = heartbeat.notice_s.map(|s| now.plus_s(s));
            machine.listed = Some(MachineState::Running);
            self.reachability.view.misdirected_workers.arrived(id);
            if !is_partitioned {
                self.reachability.view.note_contact(&pool.zone, now);
            }
        }
        let last = machine.heartbeat.as_ref();
        let is_first = last.is_none_or(|last| last.token != token);
        if last.is_some_and(|last| last.agent_epoch != heartbeat.agent_epoch) {
            machine.task_started_at.clear();
        }
        // The commands below depend on the images that the machine holds now.
        if let Some(last) = &mut machine.heartbeat {
            last.images.clone_from(&heartbeat.images);
        }
        Arrival {
            machine: id.clone(),
            pool: pool.clone(),
            token,
            seen_our_token,
            is_first,
            delivery_changed,
            is_draining: machine.draining || machine.deleting || is_partitioned,
            notice: machine.notice,
        }
    }

    /// Determines the actions required by the tasks that a heartbeat lists.
    fn judge_listed(&mut self, arrival: &Arrival, heartbeat: &Heartbeat) -> Listed {
        let on_machine = heartbeat.tasks.iter().filter(|t| t.state != TaskState::Exited);
        let alive: BTreeSet<TaskId> = on_machine.map(|t| t.task.clone()).collect();
        let mut listed =
            Listed { claims: ListedClaims { alive, ..Default::default() }, ..Default::default() };
        for task in &heartbeat.tasks {
            let claim = self.cache.claim(&arrival.machine, &task.task);
            let claim = claim.filter(|claim| claim.attempt == task.attempt);
            if claim.is_some() {
                listed.claims.exact.insert((task.task.job.clone(), task.task.ix));
            }
            match (task.state, claim) {
                (TaskState::Exited, None) => {
                    let (task, attempt) = (task.task.clone(), task.attempt);
                    listed.commands.push(Command::Forget { task, attempt });
                }
                (TaskState::Exited, Some(claim)) => {
                    if self.is_exit_proven(arrival, &listed.claims.alive, task, claim) {
                        listed.exits.push(task.clone());
                    }
                }
                (_, Some(_)) if !self.is_over(&task.task.job) => {
                    listed.commands.extend(self.judge_running(arrival, task));
                }
                _ => {
                    let (task, attempt) = (task.task.clone(), task.attempt);
                    listed.commands.push(Command::Stop { task, attempt, grace_s: 0.0 });
                }
            }
        }
        listed
    }

    /// Whether the exit of a claimed attempt ends its claim.
    fn is_exit_proven(
        &self,
        arrival: &Arrival,
        alive: &BTreeSet<TaskId>,
        task: &TaskReport,
        claim: Claim,
    ) -> bool {
        // Another attempt of the same task is still on the machine: the claim is kept until that one
        // has exited, or the task could run twice at the same time.
        if alive.contains(&task.task) {
            return false;
        }
        // The claim was made by a former owner. Until the worker has seen the current token, that
        // owner can start the same attempt again in the worker's next agent epoch, which does not
        // remember the exit: a delayed copy then reports the exit while the attempt runs again
        // (`ran_twice`).
        arrival.seen_our_token || claim.token == arrival.token
    }

    /// The command for a listed task whose claim is valid, if it needs one.
    fn judge_running(&mut self, arrival: &Arrival, task: &TaskReport) -> Option<Command> {
        if task.state == TaskState::Running {
            self.note_running(&arrival.machine, &task.task);
        }
        match (arrival.notice, task.state) {
            (Some(at), TaskState::Running | TaskState::Fetching) => {
                self.stop_before_reclaim(task, at)
            }
            _ => self.repeated_eviction(&arrival.machine, task),
        }
    }

    /// Determines the actions required by claims on a machine whose tasks its heartbeat does not list.
    fn judge_unlisted(&self, arrival: &Arrival, listed: &ListedClaims) -> Unlisted {
        let mut unlisted = Unlisted::default();
        let claims = self.cache.claims.get(&arrival.machine).into_iter().flatten();
        for ((job, ix), claim) in claims {
            let task = TaskId { job: job.clone(), ix: *ix };
            // Either another attempt of the task is on the machine and is being stopped, or its exit
            // is being recorded: the task must not start again.
            let is_settled = listed.exact.contains(&(job.clone(), *ix))
                || listed.alive.contains(&task)
                || self.is_ending(job, *ix, claim.attempt);
            if is_settled {
                continue;
            }
            if claim.token != arrival.token {
                if arrival.seen_our_token {
                    // The task is not on the machine, and the worker rejects commands of the former
                    // owner, whose token is lower than the one it has seen.
                    let reason = EndReason::AbsentAfterFailover;
                    unlisted.lost.push(LostClaim { task, attempt: claim.attempt, reason });
                }
                continue;
            }
            // The claim was made under the current token. The heartbeat is newer than any response
            // that started the task, so the task is not on the machine: start it (again), or release
            // the claim.
            let is_evicted = self.evictions.get(&arrival.machine, job, *ix).is_some();
            if self.is_over(job) || arrival.is_draining || is_evicted || arrival.notice.is_some() {
                let reason = EndReason::NotStarted;
                unlisted.lost.push(LostClaim { task, attempt: claim.attempt, reason });
            } else if let Some(sources) = self.fetch_turn(&arrival.machine, job) {
                unlisted.starts.push(Command::Start { task, attempt: claim.attempt, sources });
            } else {
                unlisted.withheld = true;
            }
        }
        unlisted
    }

    /// Ends a claim whose task is not on its machine, fenced by the pool's current token.
    fn release_lost(&mut self, arrival: &Arrival, claim: LostClaim) {
        let end = ClaimEnd {
            machine: arrival.machine.clone(),
            ix: claim.task.ix,
            attempt: claim.attempt,
            done: false,
            reason: claim.reason,
            ran_ms: 0,
            fence: Some(Fence { pool: arrival.pool.clone(), token: arrival.token }),
        };
        self.end(&claim.task.job, end);
    }

    /// Stores the heartbeat as its machine's latest; returns whether its tasks differ from those of
    /// the previous one.
    fn keep_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        text: Box<RawValue>,
        settled: Option<u64>,
    ) -> bool {
        let Some(machine) = self.inventory.machines.get_mut(&heartbeat.machine) else {
            return false;
        };
        let last = LastHeartbeat {
            agent_epoch: heartbeat.agent_epoch,
            seq: heartbeat.seq,
            token: heartbeat.token,
            received_at: self.now,
            tasks: heartbeat.tasks,
            text,
            settled,
            images: heartbeat.images,
        };
        let changed = machine.heartbeat.as_ref().is_none_or(|known| known.tasks != last.tasks);
        machine.heartbeat = Some(last);
        changed
    }
}
