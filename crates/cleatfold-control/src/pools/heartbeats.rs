//! Dealings with workers: reports, and what the answers order.
//!
//! A `launch` is ordered only for a claim that stands in the state service under our present
//! token, and only in the answer to a report that does not list the task: such an answer is
//! never executed late. A claim is released only on proof, all of which is in this file and
//! in `machines.rs` (deletion): an exit; absence from a report whose worker had seen our token;
//! a lease that has provably run out; deletion or failure of the machine.

use crate::controller::Controller;
use crate::effects::Response;
use crate::jobs::state::ClaimEnd;
use crate::machines::inventory::{LastHeartbeat, Machine};
use cleatfold_wire::cloud::MachineState;
use cleatfold_wire::worker::{Command, Exit, Heartbeat, RawHeartbeat, TaskState};
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, Ms, PoolId, TaskId, TaskIx};
use serde_json::value::RawValue;
use std::collections::BTreeSet;

/// Under more pressure than this our own answers may have come too late.
const MAX_FAIR_BACKPRESSURE: u64 = 2;

/// A report whose answer waits a moment for a command.
#[derive(Debug)]
pub(crate) struct LongPoll {
    rid: u64,
    pool: PoolId,
    token: FencingToken,
    until: Ms,
}

impl Controller {
    pub(crate) fn on_heartbeat(&mut self, rid: u64, report: RawHeartbeat) {
        if !self.serving() || self.inventory.is_deleted(&report.machine) {
            return self.reply(rid, Response::Redirect(None));
        }
        let pool = PoolId { machine_type: report.machine_type.clone(), zone: report.zone.clone() };
        let Some(token) = self.my_token(&pool) else {
            return self.redirect(rid, &report, &pool);
        };
        if report.token > token {
            // Someone was dealt the pool after us and we have not read it yet.
            self.want_sync = true;
            self.reachability.view.worker_release.is_served(&pool, self.now);
            return self.reply(rid, Response::Redirect(None));
        }
        let worker_authority = match self.worker_authority(&pool) {
            Ok(worker_authority) => worker_authority,
            Err(response) => return self.reply(rid, response),
        };
        let machine = self.inventory.machines.get(&report.machine);
        let known = machine.and_then(|m| m.report.as_ref());
        if known.is_some_and(|k| (k.agent_epoch, k.seq) >= (report.agent_epoch, report.seq)) {
            // Late or repeated. Its worker does not wait for this answer any more.
            return self.reply(rid, Response::later("an old report"));
        }
        if machine.is_none() && report.token != token {
            // Perhaps a copy of what a machine said that has long been returned; another owner, or our own
            // former life, deleted it. A worker that is there comes again at once, with our token.
            return self.reply(rid, worker_authority.answer(vec![]));
        }
        if let Some(away) = self.release_worker(&report, &pool) {
            return self.reply(rid, away);
        }
        let id = report.machine.clone();
        let new_token = report.token != token;
        let commands = if self.says_the_same(&report, token) {
            self.take_again(&report, token);
            vec![]
        } else {
            match report.read_tasks() {
                Ok(tasks) => {
                    let text = report.tasks.clone();
                    self.take_report(&pool, token, report.with_tasks(tasks), text)
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
            self.long_polls.insert(id, LongPoll { rid, pool, token, until });
        } else {
            self.reply(rid, worker_authority.answer(commands));
        }
    }

    /// Cancelled, or not among the live jobs: nothing of it may start or go on.
    fn is_over(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_none_or(|j| j.is_complete()) || self.is_cancelled(job)
    }

    /// How long the answer to a report that calls for no command may wait for one: where there
    /// is room, a claim made meanwhile is ordered at once instead of at the next report. It
    /// stays an answer to the newest report, so nothing in it can be executed late; and it is
    /// well within the time that a worker waits. Busy machines get little of it, for while an
    /// answer is out their exits go unreported.
    fn long_poll_ms(&self, id: &MachineId) -> u64 {
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
            .map(|live| live.each.cpus)
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
            .long_polls
            .iter()
            .filter(|(id, h)| h.until <= self.now || claimed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(poll) = self.long_polls.remove(&id) else { continue };
            let response = match self.worker_authority(&poll.pool) {
                Err(response) => response,
                Ok(worker_authority) if worker_authority.token() != poll.token => {
                    Response::Redirect(None)
                }
                Ok(worker_authority) => {
                    let commands = self.starts(&id, poll.token);
                    self.note_fetches(&id, &commands);
                    if let Some(machine) = self.inventory.machines.get_mut(&id) {
                        machine.partition_detector.answered_late(self.now, &commands);
                    }
                    worker_authority.answer(commands)
                }
            };
            self.reply(poll.rid, response);
        }
    }

    /// Starts for claims that the machine's newest report does not list.
    fn starts(&self, id: &MachineId, token: FencingToken) -> Vec<Command> {
        let Some(machine) = self.inventory.machines.get(id) else { return vec![] };
        let Some(report) = &machine.report else { return vec![] };
        if !machine.takes_work() {
            return vec![];
        }
        let listed: BTreeSet<&TaskId> = report.tasks.iter().map(|t| &t.task).collect();
        let mut starts = Vec::new();
        for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
            let task = TaskId { job: job.clone(), ix: *ix };
            let over = self.is_over(job);
            let leaving = self.is_ending(job, *ix, claim.attempt)
                || self.evictions.get(id, job, *ix).is_some();
            if claim.token == token && !over && !leaving && !listed.contains(&task) {
                // A claim whose machine has to wait for its image is nothing to the worker yet.
                if let Some(sources) = self.fetch_turn(id, job) {
                    starts.push(Command::Start { task, attempt: claim.attempt, sources });
                }
            }
        }
        starts.extend(self.new_sources(id, &report.tasks));
        starts
    }

    fn redirect(&mut self, rid: u64, report: &RawHeartbeat, pool: &PoolId) {
        let owner = match (self.hinted.get(pool), self.cache.pools.get(pool)) {
            (Some((controller, _)), _) => Some(controller.clone()),
            (None, Some(h)) if h.owner != self.cfg.me => Some(h.owner.clone()),
            _ => None,
        };
        if let Some(owner) = &owner {
            self.on_misdirected_worker(report, pool, owner);
        }
        self.reply(rid, Response::Redirect(owner));
    }

    /// The report repeats its machine's last one, and nothing here has changed since that would
    /// call for a command: most reports of a large fleet. (Reading each of them in full and
    /// going through its claims took most of the processor time that reports cost.)
    fn says_the_same(&self, report: &RawHeartbeat, token: FencingToken) -> bool {
        let Some(machine) = self.inventory.machines.get(&report.machine) else { return false };
        let Some(last) = &machine.report else { return false };
        last.settled.is_some_and(|stamp| stamp == self.cache.claims_stamp(&report.machine))
            && last.agent_epoch == report.agent_epoch
            && last.token == token
            && report.token == token
            && report.notice_s.is_none()
            && machine.takes_work()
            && !machine.expired
            && !self.evictions.any(&report.machine)
            && last.text.get() == report.tasks.get()
            && last.images == report.images
    }

    /// Notes such a report: as new as any other.
    fn take_again(&mut self, report: &RawHeartbeat, token: FencingToken) {
        self.reachability.view.misdirected_workers.arrived(&report.machine);
        self.abandon_long_poll(&report.machine);
        self.reachability.view.note_contact(&report.zone, self.now);
        let (now, fair) = (self.now, self.backpressure <= MAX_FAIR_BACKPRESSURE);
        let Some(machine) = self.inventory.machines.get_mut(&report.machine) else { return };
        machine.last_heartbeat = Some(now);
        if !fair {
            machine.partition_detector.excuse();
        }
        let tasks = machine.report.as_ref().map_or(&[][..], |r| &r.tasks);
        self.replan_needed |= machine.partition_detector.next_heartbeat(
            now,
            self.cfg.heartbeat_interval_ms,
            true,
            tasks,
        );
        machine.answered = Some((now, token));
        machine.spot = report.spot;
        if let Some(last) = &mut machine.report {
            (last.seq, last.at) = (report.seq, now);
        }
    }

    /// A newer report came: its worker gave up on the answer to the one before.
    fn abandon_long_poll(&mut self, id: &MachineId) {
        if let Some(old) = self.long_polls.remove(id) {
            self.reply(old.rid, Response::later("a newer report came"));
        }
    }

    fn take_report(
        &mut self,
        pool: &PoolId,
        token: FencingToken,
        report: Heartbeat,
        text: Box<RawValue>,
    ) -> Vec<Command> {
        let now = self.now;
        let id = report.machine.clone();
        self.abandon_long_poll(&id);
        let spot = report.spot;
        let seen_our_token = report.token == token;
        let fair = self.backpressure <= MAX_FAIR_BACKPRESSURE;
        let machine = self
            .inventory
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(pool.clone(), spot, now));
        machine.pool = pool.clone();
        machine.spot = spot;
        machine.endpoint = report.endpoint;
        machine.answered = Some((now, token));
        if !fair {
            machine.partition_detector.excuse();
        }
        let turned = machine.partition_detector.next_heartbeat(
            now,
            self.cfg.heartbeat_interval_ms,
            seen_our_token,
            &report.tasks,
        );
        if turned {
            tracing::info!(machine = %id, partitioned = machine.partition_detector.is_partitioned(), "hearing");
        }
        let partitioned = machine.partition_detector.is_partitioned();
        // What shows only in a report that was sent since the pool is ours; a copy of an older one shows
        // nothing but exits, which are facts.
        if seen_our_token {
            machine.last_heartbeat = Some(now);
            machine.expired = false;
            machine.notice = report.notice_s.map(|s| now.plus_s(s));
            machine.listed = Some(MachineState::Running);
            self.reachability.view.misdirected_workers.arrived(&id);
            if !partitioned {
                self.reachability.view.note_contact(&pool.zone, now);
            }
        }
        let first = machine.report.as_ref().is_none_or(|r| r.token != token);
        if machine.report.as_ref().is_some_and(|r| r.agent_epoch != report.agent_epoch) {
            machine.started.clear();
        }
        // What is ordered below goes by what it has now.
        if let Some(last) = &mut machine.report {
            last.images.clone_from(&report.images);
        }
        let draining = machine.draining || machine.deleting || partitioned;
        let notice = machine.notice;

        let mut commands = Vec::new();
        let mut listed: BTreeSet<(JobId, TaskIx)> = BTreeSet::new();
        let alive: BTreeSet<TaskId> = report
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited)
            .map(|t| t.task.clone())
            .collect();
        let mut ends = Vec::new();
        for t in &report.tasks {
            let claim = self.cache.claim(&id, &t.task);
            let ours = claim.is_some_and(|c| c.attempt == t.attempt);
            if ours {
                listed.insert((t.task.job.clone(), t.task.ix));
            }
            let over = self.is_over(&t.task.job);
            match (t.state, ours) {
                (TaskState::Exited, false) => {
                    commands.push(Command::Forget { task: t.task.clone(), attempt: t.attempt })
                }
                // Another attempt of the same task is still here: the claim must stand until
                // that is gone, or the task could be started elsewhere beside it.
                (TaskState::Exited, true) if alive.contains(&t.task) => {}
                // A former owner's claim: before the worker has seen our token, that owner can order the same
                // attempt once more in the worker's next session, which has forgotten the exit. (A late copy
                // told of the exit while the attempt ran again: ran_twice.)
                (TaskState::Exited, true)
                    if !seen_our_token && claim.is_some_and(|c| c.token != token) => {}
                (TaskState::Exited, true) => {
                    let exit = t.why.unwrap_or(Exit::Other);
                    ends.push((t.clone(), exit));
                }
                (_, ours) if !ours || over => commands.push(Command::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                }),
                (state, _) => {
                    if state == TaskState::Running {
                        self.note_running(&id, &t.task);
                    }
                    if let (Some(at), TaskState::Running | TaskState::Fetching) = (notice, state) {
                        self.stop_before_reclaim(&mut commands, t, at);
                    } else if let Some(stop) = self.repeated_eviction(&id, t) {
                        commands.push(stop);
                    }
                }
            }
        }
        let mut withheld = !draining && Controller::is_stuck(&report.images);
        if !draining && notice.is_none() {
            commands.append(&mut self.new_sources(&id, &report.tasks));
        }
        // Claims the worker does not list.
        let claims = self.cache.claims.get(&id).cloned().unwrap_or_default();
        let mut lost = Vec::new();
        let mut starts = Vec::new();
        for ((job, ix), claim) in claims {
            if listed.contains(&(job.clone(), ix)) {
                continue;
            }
            let task = TaskId { job: job.clone(), ix };
            if alive.contains(&task) {
                // Another attempt of it is here and is being stopped.
                continue;
            }
            let over = self.is_over(&job);
            if self.is_ending(&job, ix, claim.attempt) {
                // Its exit was seen and is being recorded: it must not start again.
                continue;
            }
            if claim.token == token {
                // Ours under this token. Absent from a report newer than any answer of ours
                // that ordered it: not there. Order it (again), or give it up.
                let leaving = self.evictions.get(&id, &job, ix).is_some();
                if over || draining || leaving || notice.is_some() {
                    lost.push((job, ix, claim.attempt, "not started"));
                } else if let Some(sources) = self.fetch_turn(&id, &job) {
                    starts.push(Command::Start { task, attempt: claim.attempt, sources });
                } else {
                    withheld = true;
                }
            } else if seen_our_token {
                // The former owner can order nothing here any more, and it is not here.
                lost.push((job, ix, claim.attempt, "not there after take-over"));
            }
        }
        // What elastic members do changes without a change of their claims.
        let elastic = self.cache.any_elastic();
        let quiet = commands.is_empty() && starts.is_empty() && lost.is_empty() && ends.is_empty();
        let quiet = quiet && !withheld;
        let settled = (quiet && !elastic).then(|| self.cache.claims_stamp(&id));
        for (job, ix, attempt, why) in lost {
            let fence = Some((pool.clone(), token));
            let end =
                ClaimEnd { machine: id.clone(), ix, attempt, done: false, why, ran_ms: 0, fence };
            self.end(&job, end);
        }
        for (t, exit) in ends {
            self.on_exit(&id, &t.task, t.attempt, exit, t.saved == Some(true));
        }
        // The machine's room is counted by what it runs, so room is made before it is used.
        commands.append(&mut starts);

        let changed = {
            let Some(machine) = self.inventory.machines.get_mut(&id) else {
                return commands;
            };
            let last = LastHeartbeat {
                agent_epoch: report.agent_epoch,
                seq: report.seq,
                token: report.token,
                at: now,
                tasks: report.tasks,
                text,
                settled,
                images: report.images,
            };
            let changed = machine.report.as_ref().is_none_or(|r| r.tasks != last.tasks);
            machine.report = Some(last);
            changed
        };
        if changed || first || turned {
            self.replan_needed = true;
        }
        self.note_fetches(&id, &commands);
        commands
    }

    fn note_running(&mut self, id: &MachineId, task: &TaskId) {
        let Some(live) = self.cache.jobs.get(&task.job) else {
            return;
        };
        let (image, gb) = (live.record.spec.image.clone(), live.record.spec.image_gb);
        let now = self.now;
        let Some(machine) = self.inventory.machines.get_mut(id) else {
            return;
        };
        let key = (task.job.clone(), task.ix);
        if machine.started.contains_key(&key) {
            return;
        }
        machine.started.insert(key, now);
        let cache = self
            .inventory
            .types
            .get(&machine.pool.machine_type)
            .map_or(f64::INFINITY, |t| t.cache_gb);
        machine.use_image(&image, gb, cache);
    }

    /// The cloud takes the machine at `at`: a task that can save and has still to be told to
    /// is stopped in time; one that cannot runs on, for it may end before.
    fn stop_before_reclaim(
        &self,
        commands: &mut Vec<Command>,
        t: &cleatfold_wire::worker::TaskReport,
        at: Ms,
    ) {
        let Some(live) = self.cache.jobs.get(&t.task.job) else {
            return;
        };
        let spec = &live.record.spec;
        if t.state == TaskState::Fetching {
            commands.push(Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 });
            return;
        }
        if let Some(elastic) = &spec.elastic {
            // It ends its step if there is time, says so and begins no other one.
            let grace_s = at.since(self.now) as f64 / 2000.0;
            if grace_s <= elastic.step_s + 2.0 * self.cfg.heartbeat_interval_ms as f64 / 1000.0 {
                let (task, attempt) = (t.task.clone(), t.attempt);
                commands.push(Command::Stop { task, attempt, grace_s });
            }
            return;
        }
        if spec.checkpoint_s <= 0.0 {
            return;
        }
        // The notice may be half of what it says, and the next report is a while off.
        let left = at.since(self.now) as f64 / 1000.0;
        if left / 2.0 <= spec.save_s + 2.0 * self.cfg.heartbeat_interval_ms as f64 / 1000.0 + 1.0 {
            commands.push(Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: spec.save_s + 1.0,
            });
        }
    }

    pub(crate) fn on_exit(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        exit: Exit,
        saved: bool,
    ) {
        let now = self.now;
        let started = self
            .inventory
            .machines
            .get_mut(id)
            .and_then(|m| m.started.remove(&(task.job.clone(), task.ix)));
        let Some(live) = self.cache.jobs.get(&task.job) else {
            return;
        };
        let interval = (live.record.spec.checkpoint_s * 1000.0) as u64;
        if self.is_ending(&task.job, task.ix, attempt) {
            return;
        }
        let elastic = live.record.spec.elastic.is_some();
        let job_state = self.job_state(&task.job);
        if exit != Exit::Done && interval > 0 {
            let ran = started.map_or(0, |s| now.since(s));
            let kept = if saved { ran } else { ran / interval * interval };
            *job_state.saved.entry(task.ix).or_default() += kept;
        }
        match exit {
            Exit::Error => {
                self.note_failed(id, task, attempt);
            }
            Exit::Unknown => {
                self.job_state(&task.job).hold_until = now.plus(2000);
            }
            Exit::Done => {
                if let Some(machine) = self.inventory.machines.get_mut(id) {
                    machine.suspicion.completed();
                }
            }
            _ => {}
        }
        let ran_ms = started.map_or(0, |s| now.since(s));
        let mut end = Controller::exit_end(id, task.ix, attempt, exit, ran_ms);
        // A member that leaves frees its place; what is done of its job are steps.
        end.done &= !elastic;
        self.evictions.remove(id, &task.job, task.ix);
        self.end(&task.job, end);
    }
}
