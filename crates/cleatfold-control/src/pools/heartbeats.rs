//! Heartbeats of workers, and the commands in their answers.
//!
//! A `launch` is ordered only for a claim that stands in the state service under our present
//! token, and only in the answer to a heartbeat that does not list the task: such an answer is
//! never executed late. A claim is released only on proof, all of which is in this file and
//! in `machines/watch.rs` (deletion): an exit; absence from a heartbeat whose worker had seen our token;
//! a lease that has provably run out; deletion or failure of the machine.

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

/// Under more pressure than this our own answers may have come too late.
const MAX_FAIR_BACKPRESSURE: u64 = 2;

/// What a heartbeat showed of its machine when it came.
struct Arrival {
    machine: MachineId,
    pool: PoolId,
    /// Ours for the pool.
    token: FencingToken,
    /// The worker had seen our token when it sent this.
    seen_our_token: bool,
    /// The first one under our token.
    is_first: bool,
    /// Whether the machine receives what it is told has turned out otherwise than before.
    delivery_changed: bool,
    /// It gets no new tasks.
    is_draining: bool,
    /// When the cloud takes the machine away.
    notice: Option<Ms>,
}

/// Claims that a heartbeat accounts for.
#[derive(Default)]
struct ListedClaims {
    /// Listed with the claimed attempt.
    exact: BTreeSet<(JobId, TaskIx)>,
    /// On the machine and not exited, whichever attempt.
    alive: BTreeSet<TaskId>,
}

/// What the listed tasks call for.
#[derive(Default)]
struct Listed {
    commands: Vec<Command>,
    /// Exits that end their claims.
    exits: Vec<TaskReport>,
    claims: ListedClaims,
}

/// A claim whose task is not on its machine.
struct LostClaim {
    task: TaskId,
    attempt: Attempt,
    reason: EndReason,
}

/// What the claims call for that are not listed.
#[derive(Default)]
struct Unlisted {
    lost: Vec<LostClaim>,
    starts: Vec<Command>,
    /// Some task waits for its image's turn.
    withheld: bool,
}

impl Controller {
    pub(crate) fn on_heartbeat(&mut self, rid: u64, heartbeat: RawHeartbeat) {
        if !self.serving() || self.inventory.is_deleted(&heartbeat.machine) {
            return self.reply(rid, Response::Redirect(None));
        }
        let pool =
            PoolId { machine_type: heartbeat.machine_type.clone(), zone: heartbeat.zone.clone() };
        let Some(token) = self.my_token(&pool) else {
            return self.redirect(rid, &heartbeat, &pool);
        };
        if heartbeat.token > token {
            // Someone was assigned the pool after us and we have not read it yet.
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
            // Late or repeated. Its worker does not wait for this answer any more.
            return self.reply(rid, Response::later("an old report"));
        }
        if machine.is_none() && heartbeat.token != token {
            // Perhaps a copy of what a machine said that has long been returned; another owner, or our own
            // former life, deleted it. A worker that is there comes again at once, with our token.
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

    /// Cancelled, or not among the live jobs: nothing of it may start or go on.
    pub(super) fn is_over(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_none_or(|j| j.is_complete()) || self.is_cancelled(job)
    }

    fn redirect(&mut self, rid: u64, heartbeat: &RawHeartbeat, pool: &PoolId) {
        let owner = match (self.pools.hinted.get(pool), self.cache.pools.get(pool)) {
            (Some((controller, _)), _) => Some(controller.clone()),
            (None, Some(h)) if h.owner != self.cfg.me => Some(h.owner.clone()),
            _ => None,
        };
        if let Some(owner) = &owner {
            self.on_misdirected_worker(heartbeat, pool, owner);
        }
        self.reply(rid, Response::Redirect(owner));
    }

    /// The heartbeat repeats its machine's last one, and nothing here has changed since that would
    /// call for a command: most reports of a large deployment. (Reading each of them in full and
    /// going through its claims took most of the processor time that reports cost.)
    fn says_the_same(&self, heartbeat: &RawHeartbeat, token: FencingToken) -> bool {
        let Some(machine) = self.inventory.machines.get(&heartbeat.machine) else { return false };
        let Some(last) = &machine.heartbeat else { return false };
        last.settled.is_some_and(|stamp| stamp == self.cache.claims_stamp(&heartbeat.machine))
            && last.agent_epoch == heartbeat.agent_epoch
            && last.token == token
            && heartbeat.token == token
            && heartbeat.notice_s.is_none()
            && machine.takes_work()
            && !machine.expired
            && !self.evictions.has_any(&heartbeat.machine)
            && last.text.get() == heartbeat.tasks.get()
            && last.images == heartbeat.images
    }

    /// Notes such a heartbeat: as new as any other.
    fn take_again(&mut self, heartbeat: &RawHeartbeat, token: FencingToken) {
        self.reachability.view.misdirected_workers.arrived(&heartbeat.machine);
        self.abandon_long_poll(&heartbeat.machine);
        self.reachability.view.note_contact(&heartbeat.zone, self.now);
        let (now, fair) = (self.now, self.backpressure <= MAX_FAIR_BACKPRESSURE);
        let Some(machine) = self.inventory.machines.get_mut(&heartbeat.machine) else { return };
        machine.last_heartbeat = Some(now);
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
            (last.seq, last.at) = (heartbeat.seq, now);
        }
    }

    /// Takes a heartbeat that says something new, and returns the commands that it calls for.
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
        // What elastic members do changes without a change of their claims.
        let settled = (is_quiet && !self.cache.any_elastic()).then(|| self.cache.claims_stamp(&id));
        for claim in lost {
            self.release_lost(&arrival, claim);
        }
        for exited in exits {
            let exit = exited.why.unwrap_or(Exit::Other);
            let saved = exited.saved == Some(true);
            self.on_exit(&id, &exited.task, exited.attempt, exit, saved);
        }
        // The machine's resources are counted by what it runs: they are freed before they are used.
        commands.append(&mut starts);
        let news = arrival.is_first || arrival.delivery_changed;
        self.replan_needed |= self.keep_heartbeat(heartbeat, text, settled) || news;
        self.note_fetches(&id, &commands);
        commands
    }

    /// Notes what a heartbeat says of its machine itself.
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
        // What shows only in a heartbeat that was sent since the pool is ours; a copy of an older one
        // shows nothing but exits, which are facts.
        if seen_our_token {
            machine.last_heartbeat = Some(now);
            machine.expired = false;
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
            machine.started.clear();
        }
        // What is ordered next goes by what it has now.
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

    /// What the tasks that a heartbeat lists call for.
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
        // Another attempt of the same task is still here: the claim must stand until that is gone,
        // or the task could be started elsewhere beside it.
        if alive.contains(&task.task) {
            return false;
        }
        // A former owner's claim: before the worker has seen our token, that owner can order the same
        // attempt once more in the worker's next agent epoch, which has forgotten the exit. (A late
        // copy told of the exit while the attempt ran again: ran_twice.)
        arrival.seen_our_token || claim.token == arrival.token
    }

    /// What a task that is where it should be is told, if anything.
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

    /// What the claims on a machine call for that its heartbeat does not list.
    fn judge_unlisted(&self, arrival: &Arrival, listed: &ListedClaims) -> Unlisted {
        let mut unlisted = Unlisted::default();
        let claims = self.cache.claims.get(&arrival.machine).into_iter().flatten();
        for ((job, ix), claim) in claims {
            let task = TaskId { job: job.clone(), ix: *ix };
            // Another attempt of it is here and is being stopped, or its exit was seen and is being
            // recorded: it must not start again.
            let is_settled = listed.exact.contains(&(job.clone(), *ix))
                || listed.alive.contains(&task)
                || self.is_ending(job, *ix, claim.attempt);
            if is_settled {
                continue;
            }
            if claim.token != arrival.token {
                if arrival.seen_our_token {
                    // The former owner can order nothing here any more, and it is not here.
                    let reason = EndReason::AbsentAfterFailover;
                    unlisted.lost.push(LostClaim { task, attempt: claim.attempt, reason });
                }
                continue;
            }
            // Ours under this token. Absent from a heartbeat newer than any answer of ours that
            // ordered it: not there. Order it (again), or give it up.
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

    /// A claim whose task is not on its machine is over, while the pool is ours under this token.
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

    /// Keeps the heartbeat as its machine's last. Whether its tasks differ from the one before.
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
            at: self.now,
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
