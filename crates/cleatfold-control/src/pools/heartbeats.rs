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

/// Above this backpressure, this controller may have sent its responses too late: that a worker has
/// not acted on them is then no evidence of a one-way partition.
const MAX_BACKPRESSURE_FOR_DETECTION: u64 = 2;

/// What is known of a machine when one of its heartbeats is processed.
struct HeartbeatContext {
    machine: MachineId,
    pool: PoolId,
    /// This controller's current fencing token for the pool.
    token: FencingToken,
    /// The worker had seen `token` when it sent the heartbeat.
    has_current_token: bool,
    /// The first heartbeat of this machine under `token`.
    is_first_under_token: bool,
    /// The one-way partition detector changed its result with this heartbeat.
    partition_changed: bool,
    /// The machine is given no new tasks.
    is_draining: bool,
    /// When the cloud reclaims the machine, if it gave notice.
    reclaim_at: Option<Ms>,
}

/// Claims whose tasks a heartbeat lists.
#[derive(Default)]
struct ListedClaims {
    /// Tasks listed with the claimed attempt.
    matching: BTreeSet<(JobId, TaskIx)>,
    /// Tasks on the machine that have not exited, of any attempt.
    present_tasks: BTreeSet<TaskId>,
}

/// Actions required by the tasks that a heartbeat lists.
#[derive(Default)]
struct ListedTasks {
    commands: Vec<Command>,
    /// Exited tasks whose claims are to be ended.
    exits: Vec<TaskReport>,
    claims: ListedClaims,
}

/// A claim whose task is not on the claimed machine.
struct AbsentClaim {
    task: TaskId,
    attempt: Attempt,
    reason: EndReason,
}

/// Actions required by claims whose tasks a heartbeat does not list.
#[derive(Default)]
struct UnlistedClaims {
    absent: Vec<AbsentClaim>,
    start_commands: Vec<Command>,
    /// At least one start was withheld because the machine has to wait for a turn to fetch the
    /// image.
    start_withheld: bool,
}

impl Controller {
    /// Handles a heartbeat: answers it with commands, redirects the worker, or holds the response
    /// if no command is due.
    pub(crate) fn on_heartbeat(&mut self, rid: u64, heartbeat: RawHeartbeat) {
        if !self.is_serving() || self.inventory.is_deleted(&heartbeat.machine) {
            return self.reply(rid, Response::Redirect(None));
        }
        let pool =
            PoolId { machine_type: heartbeat.machine_type.clone(), zone: heartbeat.zone.clone() };
        let Some(token) = self.owned_pool_token(&pool) else {
            return self.redirect_to_owner(rid, &heartbeat, &pool);
        };
        if heartbeat.token > token {
            // Another controller was assigned the pool, and the assignment has not been read yet.
            self.session.sync_wanted = true;
            self.reachability.view.worker_release.record_served_elsewhere(&pool, self.now);
            return self.reply(rid, Response::Redirect(None));
        }
        let worker_authority = match self.worker_authority(&pool) {
            Ok(worker_authority) => worker_authority,
            Err(response) => return self.reply(rid, response),
        };
        let machine = self.inventory.machines.get(&heartbeat.machine);
        let last = machine.and_then(|m| m.heartbeat.as_ref());
        if last.is_some_and(|last| {
            (last.agent_epoch, last.seq) >= (heartbeat.agent_epoch, heartbeat.seq)
        }) {
            // Delayed or duplicated: the worker no longer waits for this response.
            return self.reply(rid, Response::retry_later("an old report"));
        }
        if machine.is_none() && heartbeat.token != token {
            // This may be a delayed copy from a machine that another owner, or an earlier
            // incarnation of this controller, has deleted. A running worker reports again at once
            // with the current token.
            return self.reply(rid, worker_authority.answer(vec![]));
        }
        if let Some(redirect) = self.release_worker(&heartbeat, &pool) {
            return self.reply(rid, redirect);
        }
        let id = heartbeat.machine.clone();
        let new_token = heartbeat.token != token;
        let commands = if self.is_unchanged_heartbeat(&heartbeat, token) {
            self.record_unchanged_heartbeat(&heartbeat, token);
            vec![]
        } else {
            match heartbeat.read_tasks() {
                Ok(tasks) => {
                    let raw_tasks = heartbeat.tasks.clone();
                    self.process_heartbeat(&pool, token, heartbeat.with_tasks(tasks), raw_tasks)
                }
                Err(error) => {
                    return self
                        .reply(rid, Response::rejection(400, format!("not a report: {error}")))
                }
            }
        };
        if let Some(machine) = self.inventory.machines.get_mut(&id) {
            machine.partition_detector.record_answer(self.now, new_token, &commands);
        }
        let hold_ms = if commands.is_empty() { self.long_poll_ms(&id) } else { 0 };
        if hold_ms > 0 {
            let until = self.now.plus(hold_ms);
            self.pools.long_polls.insert(id, LongPoll { rid, pool, token, until });
        } else {
            self.reply(rid, worker_authority.answer(commands));
        }
    }

    /// Whether the job is cancelled, complete or unknown, so that none of its tasks may start or
    /// continue.
    pub(super) fn is_job_ended(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_none_or(|j| j.is_complete()) || self.is_cancelled(job)
    }

    /// Redirects a worker to the owner of its pool, if the owner is known.
    fn redirect_to_owner(&mut self, rid: u64, heartbeat: &RawHeartbeat, pool: &PoolId) {
        let owner = match (self.pools.superseded_by.get(pool), self.cache.pools.get(pool)) {
            (Some((controller, _)), _) => Some(controller.clone()),
            (None, Some(ownership)) if ownership.owner != self.cfg.controller_id => {
                Some(ownership.owner.clone())
            }
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
    fn is_unchanged_heartbeat(&self, heartbeat: &RawHeartbeat, token: FencingToken) -> bool {
        let Some(machine) = self.inventory.machines.get(&heartbeat.machine) else { return false };
        let Some(last) = &machine.heartbeat else { return false };
        last.no_action_stamp
            .is_some_and(|stamp| stamp == self.cache.claims_stamp(&heartbeat.machine))
            && last.agent_epoch == heartbeat.agent_epoch
            && last.token == token
            && heartbeat.token == token
            && heartbeat.notice_s.is_none()
            && machine.is_schedulable()
            && !machine.lease_expired
            && !self.evictions.has_any(&heartbeat.machine)
            && last.raw_tasks.get() == heartbeat.tasks.get()
            && last.images == heartbeat.images
    }

    /// Records an unchanged heartbeat as the machine's latest without parsing its tasks.
    fn record_unchanged_heartbeat(&mut self, heartbeat: &RawHeartbeat, token: FencingToken) {
        self.reachability.view.misdirected_workers.record_owner_contact(&heartbeat.machine);
        self.abandon_long_poll(&heartbeat.machine);
        self.reachability.view.record_contact(&heartbeat.zone, self.now);
        let (now, detection_applies) =
            (self.now, self.backpressure <= MAX_BACKPRESSURE_FOR_DETECTION);
        let Some(machine) = self.inventory.machines.get_mut(&heartbeat.machine) else { return };
        machine.last_heartbeat_at = Some(now);
        if !detection_applies {
            machine.partition_detector.discard_last_answer();
        }
        let tasks = machine.heartbeat.as_ref().map_or(&[][..], |last| &last.tasks);
        self.replan_needed |= machine.partition_detector.on_heartbeat(
            now,
            self.cfg.heartbeat_interval_ms,
            true,
            tasks,
        );
        machine.last_answer = Some((now, token));
        machine.spot = heartbeat.spot;
        if let Some(last) = &mut machine.heartbeat {
            (last.seq, last.received_at) = (heartbeat.seq, now);
        }
    }

    /// Processes a heartbeat that differs from the previous one; returns the commands to send.
    fn process_heartbeat(
        &mut self,
        pool: &PoolId,
        token: FencingToken,
        heartbeat: Heartbeat,
        raw_tasks: Box<RawValue>,
    ) -> Vec<Command> {
        let id = heartbeat.machine.clone();
        self.abandon_long_poll(&id);
        let context = self.update_machine(pool, token, &heartbeat);
        let ListedTasks { mut commands, exits, claims } =
            self.check_listed_tasks(&context, &heartbeat);
        if !context.is_draining && context.reclaim_at.is_none() {
            commands.append(&mut self.fetch_redirect_commands(&id, &heartbeat.tasks));
        }
        let UnlistedClaims { absent, mut start_commands, start_withheld } =
            self.check_unlisted_claims(&context, &claims);
        let is_stuck = !context.is_draining && Controller::has_stuck_fetch(&heartbeat.images);
        let requires_no_action =
            commands.is_empty() && start_commands.is_empty() && absent.is_empty();
        let requires_no_action =
            requires_no_action && exits.is_empty() && !start_withheld && !is_stuck;
        // The state of elastic members changes without a change to their claims.
        let no_action_stamp =
            (requires_no_action && !self.cache.any_elastic()).then(|| self.cache.claims_stamp(&id));
        for claim in absent {
            self.release_absent_claim(&context, claim);
        }
        for exited in exits {
            let exit = exited.why.unwrap_or(Exit::Other);
            let saved = exited.saved == Some(true);
            self.on_exit(&id, &exited.task, exited.attempt, exit, saved);
        }
        // Commands that free resources precede those that use them, since the worker counts the
        // resources of its machine by the tasks that it runs.
        commands.append(&mut start_commands);
        let replan_due = context.is_first_under_token || context.partition_changed;
        self.replan_needed |=
            self.replace_last_heartbeat(heartbeat, raw_tasks, no_action_stamp) || replan_due;
        self.record_fetch_commands(&id, &commands);
        commands
    }

    /// Updates the machine's inventory entry from a heartbeat.
    fn update_machine(
        &mut self,
        pool: &PoolId,
        token: FencingToken,
        heartbeat: &Heartbeat,
    ) -> HeartbeatContext {
        let (now, id) = (self.now, &heartbeat.machine);
        let spot = heartbeat.spot;
        let has_current_token = heartbeat.token == token;
        let new_machine = || Machine::new(pool.clone(), spot, now);
        let machine = self.inventory.machines.entry(id.clone()).or_insert_with(new_machine);
        machine.pool = pool.clone();
        machine.spot = spot;
        machine.endpoint.clone_from(&heartbeat.endpoint);
        machine.last_answer = Some((now, token));
        if self.backpressure > MAX_BACKPRESSURE_FOR_DETECTION {
            machine.partition_detector.discard_last_answer();
        }
        let partition_changed = machine.partition_detector.on_heartbeat(
            now,
            self.cfg.heartbeat_interval_ms,
            has_current_token,
            &heartbeat.tasks,
        );
        let is_partitioned = machine.partition_detector.is_partitioned();
        if partition_changed {
            tracing::info!(machine = %id, is_partitioned, "one-way partition detection changed");
        }
        // Only a heartbeat sent under the current token shows the machine's present state. A
        // delayed copy of an older one proves nothing but the exits that it lists.
        if has_current_token {
            machine.last_heartbeat_at = Some(now);
            machine.lease_expired = false;
            machine.reclaim_at = heartbeat.notice_s.map(|s| now.plus_s(s));
            machine.state = Some(MachineState::Running);
            self.reachability.view.misdirected_workers.record_owner_contact(id);
            if !is_partitioned {
                self.reachability.view.record_contact(&pool.zone, now);
            }
        }
        let last = machine.heartbeat.as_ref();
        let is_first_under_token = last.is_none_or(|last| last.token != token);
        if last.is_some_and(|last| last.agent_epoch != heartbeat.agent_epoch) {
            machine.task_started_at.clear();
        }
        // The commands below depend on the images that the machine holds now.
        if let Some(last) = &mut machine.heartbeat {
            last.images.clone_from(&heartbeat.images);
        }
        HeartbeatContext {
            machine: id.clone(),
            pool: pool.clone(),
            token,
            has_current_token,
            is_first_under_token,
            partition_changed,
            is_draining: machine.draining || machine.deleting || is_partitioned,
            reclaim_at: machine.reclaim_at,
        }
    }

    /// Determines the actions required by the tasks that a heartbeat lists.
    fn check_listed_tasks(
        &mut self,
        context: &HeartbeatContext,
        heartbeat: &Heartbeat,
    ) -> ListedTasks {
        let on_machine = heartbeat.tasks.iter().filter(|t| t.state != TaskState::Exited);
        let present_tasks: BTreeSet<TaskId> = on_machine.map(|t| t.task.clone()).collect();
        let mut listed = ListedTasks {
            claims: ListedClaims { present_tasks, ..Default::default() },
            ..Default::default()
        };
        for task in &heartbeat.tasks {
            let claim = self.cache.claim(&context.machine, &task.task);
            let claim = claim.filter(|claim| claim.attempt == task.attempt);
            if claim.is_some() {
                listed.claims.matching.insert((task.task.job.clone(), task.task.ix));
            }
            match (task.state, claim) {
                (TaskState::Exited, None) => {
                    let (task, attempt) = (task.task.clone(), task.attempt);
                    listed.commands.push(Command::Forget { task, attempt });
                }
                (TaskState::Exited, Some(claim)) => {
                    if self.is_exit_proven(context, &listed.claims.present_tasks, task, claim) {
                        listed.exits.push(task.clone());
                    }
                }
                (_, Some(_)) if !self.is_job_ended(&task.task.job) => {
                    listed.commands.extend(self.command_for_claimed_task(context, task));
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
        context: &HeartbeatContext,
        present_tasks: &BTreeSet<TaskId>,
        task: &TaskReport,
        claim: Claim,
    ) -> bool {
        // Another attempt of the same task is still on the machine: the claim is kept until that
        // one has exited, or the task could run twice at the same time.
        if present_tasks.contains(&task.task) {
            return false;
        }
        // The claim was made by a former owner. Until the worker has seen the current token, that
        // owner can start the same attempt again in the worker's next agent epoch, which does not
        // remember the exit: a delayed copy then reports the exit while the attempt runs again
        // (`ran_twice`).
        context.has_current_token || claim.token == context.token
    }

    /// The command for a listed task whose claim is valid, if it needs one.
    fn command_for_claimed_task(
        &mut self,
        context: &HeartbeatContext,
        task: &TaskReport,
    ) -> Option<Command> {
        if task.state == TaskState::Running {
            self.record_task_start(&context.machine, &task.task);
        }
        match (context.reclaim_at, task.state) {
            (Some(at), TaskState::Running | TaskState::Fetching) => {
                self.stop_before_reclaim(task, at)
            }
            _ => self.repeated_eviction(&context.machine, task),
        }
    }

    /// Determines the actions required by claims on a machine whose tasks its heartbeat does not
    /// list.
    fn check_unlisted_claims(
        &self,
        context: &HeartbeatContext,
        listed_claims: &ListedClaims,
    ) -> UnlistedClaims {
        let mut unlisted = UnlistedClaims::default();
        let claims = self.cache.claims.get(&context.machine).into_iter().flatten();
        for ((job, ix), claim) in claims {
            let task = TaskId { job: job.clone(), ix: *ix };
            // Either another attempt of the task is on the machine and is being stopped, or its
            // exit is being recorded: the task must not start again.
            let is_accounted_for = listed_claims.matching.contains(&(job.clone(), *ix))
                || listed_claims.present_tasks.contains(&task)
                || self.is_ending(job, *ix, claim.attempt);
            if is_accounted_for {
                continue;
            }
            if claim.token != context.token {
                if context.has_current_token {
                    // The task is not on the machine, and the worker rejects commands of the former
                    // owner, whose token is lower than the one it has seen.
                    let reason = EndReason::AbsentAfterFailover;
                    unlisted.absent.push(AbsentClaim { task, attempt: claim.attempt, reason });
                }
                continue;
            }
            // The claim was made under the current token. The heartbeat is newer than any response
            // that started the task, so the task is not on the machine: start it (again), or
            // release the claim.
            let is_evicted = self.evictions.get(&context.machine, job, *ix).is_some();
            if self.is_job_ended(job)
                || context.is_draining
                || is_evicted
                || context.reclaim_at.is_some()
            {
                let reason = EndReason::NotStarted;
                unlisted.absent.push(AbsentClaim { task, attempt: claim.attempt, reason });
            } else if let Some(sources) = self.permitted_fetch_sources(&context.machine, job) {
                unlisted.start_commands.push(Command::Start {
                    task,
                    attempt: claim.attempt,
                    sources,
                });
            } else {
                unlisted.start_withheld = true;
            }
        }
        unlisted
    }

    /// Ends a claim whose task is not on its machine, fenced by the pool's current token.
    fn release_absent_claim(&mut self, context: &HeartbeatContext, claim: AbsentClaim) {
        let end = ClaimEnd {
            machine: context.machine.clone(),
            ix: claim.task.ix,
            attempt: claim.attempt,
            done: false,
            reason: claim.reason,
            ran_ms: 0,
            fence: Some(Fence { pool: context.pool.clone(), token: context.token }),
        };
        self.queue_claim_end(&claim.task.job, end);
    }

    /// Stores the heartbeat as its machine's latest; returns whether its tasks differ from those of
    /// the previous one.
    fn replace_last_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        raw_tasks: Box<RawValue>,
        no_action_stamp: Option<u64>,
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
            raw_tasks,
            no_action_stamp,
            images: heartbeat.images,
        };
        let changed =
            machine.heartbeat.as_ref().is_none_or(|previous| previous.tasks != last.tasks);
        machine.heartbeat = Some(last);
        changed
    }
}
