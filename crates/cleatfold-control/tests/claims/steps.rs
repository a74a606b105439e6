//! The transitions of the model, which mirror `jobs/`, `pools/heartbeats.rs` and `machines/watch.rs`.
//!
//! Throughout, `n` is the index of a controller, `m` of a machine and `ix` of a task.

use super::commands::receive_answer;
use super::model::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Submit(usize),
    Cancel(usize),
    /// A controller reads the state; `true` if a user's poll waits for the result.
    RefreshCache(usize, bool),
    /// A poll answered from an earlier read (only without `Guard::FreshPolls`).
    StalePoll(usize),
    /// A controller sends a change of the job: ends, a cancellation, a claim on the given machine.
    SendTransaction(usize, Option<usize>),
    /// The transaction is executed and answered.
    TransactionAnswered(usize),
    /// The outcome is unknown: the transaction is sent again, and the first one is executed late or never.
    TransactionAnswerLost(usize),
    ExecuteLate(usize),
    Restart(usize),
    PoolAssignment(usize),
    /// A worker reports to a controller; `true` if an owner drains the machine instead of launching missing tasks.
    Heartbeat(usize, usize, bool),
    ReceiveAnswer(usize),
    LoseAnswer(usize),
    CopyReport(usize),
    ReadReportCopy(usize, bool),
    TaskExit(usize, u8, u8, RunState),
    /// The worker's lease expires.
    ExpireLease(usize),
    /// An owner concludes that the lease has expired.
    ObserveLeaseExpiry(usize, usize),
    PassStaleReadLimit,
    PassDeadline,
    /// An owner sends a direct command for a task on a machine.
    SendDirectCommand(usize, usize, u8),
    /// The direct command arrives; `true` if its sender receives the answer.
    DeliverDirectCommand(bool),
}

pub(crate) struct Model {
    pub bounds: Bounds,
    pub without: Option<Guard>,
}

impl Model {
    pub(super) fn is_enabled(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    pub(crate) fn initial_state(&self) -> State {
        let mut state = State { task_count: self.bounds.tasks as u8, ..State::default() };
        state.store.pool = Pool { owner: 0, incarnation: 0, token: 1 };
        if self.bounds.submissions == 0 {
            let tasks = [Task::Free { last: 0 }; TASKS];
            state.store.job = Some(Job { version: 1, aborted: false, tasks });
            state.store.versions = 1;
            state.confirmation = Confirmation::Accepted;
        }
        let cache = StateCache { job: state.store.job, pool: state.store.pool };
        state.controllers.iter_mut().for_each(|n| n.cache = Some(cache));
        state
    }

    pub(super) fn token(&self, state: &State, n: usize) -> Option<u8> {
        let controller = &state.controllers[n];
        let pool = controller.cache?.pool;
        let same_incarnation =
            pool.incarnation == controller.incarnation || !self.is_enabled(Guard::Incarnation);
        (usize::from(pool.owner) == n && same_incarnation).then_some(pool.token)
    }

    pub(crate) fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut successors = Vec::new();
        let mut add = |step: Step, apply: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            apply(&mut next);
            self.normalize(&mut next);
            if next != *state {
                successors.push((step, next));
            }
        };
        let bounds = &self.bounds;
        let drains = if bounds.drains { &[false, true][..] } else { &[false] };
        for n in 0..CONTROLLERS {
            let controller = &state.controllers[n];
            if controller.incarnation < bounds.restarts[n] {
                add(Step::Restart(n), &|next| {
                    let incarnation = next.controllers[n].incarnation + 1;
                    if let Some(tx) = next.controllers[n]
                        .tx
                        .take()
                        .filter(|_| next.late_count < bounds.late_transactions)
                    {
                        abandon_transaction(next, tx);
                    }
                    next.controllers[n] = Controller { incarnation, ..Controller::default() };
                    if let Some(copy) = &mut next.report_copy {
                        copy.outdated_for[n] = false;
                    }
                });
            }
            let holder = (usize::from(state.store.pool.owner), state.store.pool.incarnation);
            if state.store.pool.token < bounds.tokens && holder != (n, controller.incarnation) {
                add(Step::PoolAssignment(n), &|next| {
                    let (token, incarnation) =
                        (next.store.pool.token + 1, next.controllers[n].incarnation);
                    next.store.pool = Pool { owner: n as u8, incarnation, token };
                });
            }
            add(Step::RefreshCache(n, false), &|next| refresh_cache(next, n));
            if bounds.polls || bounds.cancel {
                add(Step::RefreshCache(n, true), &|next| {
                    refresh_cache(next, n);
                    let job = next.store.job;
                    confirm_to_user(next, job);
                });
            }
            if bounds.polls && !self.is_enabled(Guard::FreshPolls) {
                if let Some(cache) = controller.cache {
                    add(Step::StalePoll(n), &|next| confirm_to_user(next, cache.job));
                }
            }
            if let Some(tx) = controller.tx {
                add(Step::TransactionAnswered(n), &|next| {
                    self.apply_transaction_answer(next, n, tx)
                });
                if state.late_count < bounds.late_transactions {
                    add(Step::TransactionAnswerLost(n), &|next| {
                        abandon_transaction(next, tx);
                        if tx.submission {
                            // Submissions are not repeated: the user is asked to retry.
                            next.controllers[n].tx = None;
                        }
                    });
                }
            } else if let Some(cache) = controller.cache {
                if state.submission_count < bounds.submissions && cache.job.is_none() {
                    add(Step::Submit(n), &|next| {
                        next.submission_count += 1;
                        let tasks = [Task::Free { last: 0 }; TASKS];
                        let outcome = Outcome::Live(Job { version: 0, aborted: false, tasks });
                        next.controllers[n].tx = Some(Transaction {
                            job: Some(0),
                            no_archive: self.is_enabled(Guard::ArchiveAbsence),
                            pool: None,
                            outcome,
                            submission: true,
                            cancellation: false,
                        });
                    });
                }
                if cache.job.is_some() {
                    add(Step::SendTransaction(n, None), &|next| {
                        self.send_transaction(next, n, None)
                    });
                    for m in 0..bounds.machines {
                        add(Step::SendTransaction(n, Some(m)), &|next| {
                            self.send_transaction(next, n, Some(m))
                        });
                    }
                }
            }
            let live = controller.cache.and_then(|cache| cache.job).is_some_and(|j| !j.aborted);
            if bounds.cancel && live && state.controllers.iter().all(|n| !n.cancel_requested) {
                add(Step::Cancel(n), &|next| next.controllers[n].cancel_requested = true);
            }
            for m in 0..bounds.machines {
                if state.machines[m].answer.is_none() {
                    for &drain in drains {
                        add(Step::Heartbeat(m, n, drain), &|next| {
                            self.send_heartbeat(next, m, n, drain)
                        });
                    }
                }
                add(Step::ObserveLeaseExpiry(n, m), &|next| self.observe_lease_expiry(next, n, m));
                for ix in 0..bounds.tasks as u8 {
                    add(Step::SendDirectCommand(n, m, ix), &|next| {
                        self.send_direct_command(next, n, m, ix)
                    });
                }
            }
            for &drain in drains {
                add(Step::ReadReportCopy(n, drain), &|next| self.read_report_copy(next, n, drain));
            }
        }
        for received in [false, true] {
            add(Step::DeliverDirectCommand(received), &|next| {
                self.deliver_direct_command(next, received)
            });
        }
        for i in 0..state.late_transactions.len() {
            add(Step::ExecuteLate(i), &|next| {
                let tx = next.late_transactions.remove(i);
                execute_transaction(next, &tx);
            });
        }
        for m in 0..bounds.machines {
            let machine = &state.machines[m];
            if machine.answer.is_some() {
                add(Step::ReceiveAnswer(m), &|next| receive_answer(next, m));
                add(Step::LoseAnswer(m), &|next| next.machines[m].answer = None);
            } else if state.copy_count < bounds.report_copies {
                add(Step::CopyReport(m), &|next| {
                    next.copy_count += 1;
                    let report = Heartbeat { token: machine.token, tasks: machine.tasks.clone() };
                    let machine = m as u8;
                    next.report_copy =
                        Some(ReportCopy { machine, report, outdated_for: [false; CONTROLLERS] });
                });
            }
            for (i, &(ix, attempt, run)) in machine.tasks.iter().enumerate() {
                if run == RunState::Running {
                    add(Step::TaskExit(m, ix, attempt, RunState::Completed), &|next| {
                        next.machines[m].tasks[i].2 = RunState::Completed;
                        next.completed[ix as usize] = true;
                    });
                    if bounds.task_failures {
                        add(Step::TaskExit(m, ix, attempt, RunState::Failed), &|next| {
                            next.machines[m].tasks[i].2 = RunState::Failed;
                        });
                    }
                }
            }
            if machine.agent_epoch < bounds.sessions {
                add(Step::ExpireLease(m), &|next| {
                    let old = &next.machines[m];
                    let (agent_epoch, token) = (old.agent_epoch + 1, old.token);
                    let renewed_after_limit = state.phase >= Phase::StaleReadLimit;
                    next.machines[m] =
                        Machine { agent_epoch, token, renewed_after_limit, ..Machine::default() };
                });
            }
        }
        if state.phase == Phase::Confirmed {
            add(Step::PassStaleReadLimit, &|next| {
                next.phase = Phase::StaleReadLimit;
                for controller in &mut next.controllers {
                    let unread =
                        controller.cache.and_then(|cache| cache.job).is_some_and(|j| !j.aborted);
                    controller.partitioned |= unread && self.is_enabled(Guard::StaleReadLimit);
                }
            });
        }
        // A lease is shorter than the remainder of `cancel_s`: it was renewed since the limit, or has ended.
        if state.phase == Phase::StaleReadLimit
            && state.machines[..bounds.machines].iter().all(|m| m.renewed_after_limit)
        {
            add(Step::PassDeadline, &|next| {
                next.phase = Phase::Deadline;
                if next.machines.iter().any(|m| m.tasks.iter().any(|x| x.2 == RunState::Running)) {
                    next.violation = Some(RAN_CANCELLED);
                }
            });
        }
        successors
    }

    // ---- a controller's changes to the job ----

    fn send_transaction(&self, state: &mut State, n: usize, target: Option<usize>) {
        let own_token = self.token(state, n);
        let controller = &mut state.controllers[n];
        let Some(job) = controller.cache.and_then(|cache| cache.job) else { return };
        let mut claims = Claims::from_job(&job, self.bounds.tasks);
        let (mut changed, mut required_token, mut unguarded) = (false, None, false);
        for ix in 0..TASKS {
            let Some(end) = controller.ends[ix] else { continue };
            if (end.required_token.is_some() && end.required_token != own_token)
                || !claims.end(ix, &end)
            {
                controller.ends[ix] = None;
                continue;
            }
            changed = true;
            if self.is_enabled(Guard::PoolTokenInReleases) {
                required_token = required_token.or(end.required_token);
            }
        }
        let mut aborted = job.aborted;
        if let (Some(m), Some(token)) = (target, own_token) {
            if !aborted && !controller.cancel_requested {
                if let Some(&ix) = claims.free().first() {
                    if claims.claim(m as u8, token, ix) > self.bounds.attempts {
                        return;
                    }
                    changed = true;
                    unguarded = !self.is_enabled(Guard::JobVersionInClaims);
                    if self.is_enabled(Guard::PoolTokenInClaims) {
                        required_token = Some(token);
                    }
                } else {
                    return;
                }
            }
        } else if target.is_some() {
            return;
        }
        let cancellation = controller.cancel_requested;
        let all_done = claims.all_done();
        if controller.cancel_requested && !aborted && !all_done {
            (aborted, changed) = (true, true);
        }
        if !changed {
            if controller.cancel_requested {
                // Already cancelled or done in the cached state.
                controller.cancel_requested = false;
                confirm_to_user(state, Some(job));
            }
            return;
        }
        let outcome = if all_done && !aborted {
            Outcome::Ended(FinalState::Done)
        } else if aborted && claims.none_claimed() {
            Outcome::Ended(FinalState::Aborted)
        } else {
            Outcome::Live(Job { version: 0, aborted, tasks: claims.tasks() })
        };
        let tx = Transaction {
            job: (!unguarded).then_some(job.version),
            no_archive: false,
            pool: required_token,
            outcome,
            submission: false,
            cancellation,
        };
        controller.tx = Some(tx);
    }

    /// Removes everything that cannot affect any later step: a transaction whose guarded versions have changed
    /// (versions are never reused, so it fails whenever it is executed, and its sender continues as if it had
    /// been refused at once), data stored under former tokens, and a copy that no controller would read.
    fn normalize(&self, state: &mut State) {
        let store = state.store;
        let may_succeed = |tx: &Transaction| tx.submission || guards_hold(&store, tx);
        state.late_transactions.retain(may_succeed);
        state.late_transactions.sort_unstable();
        let machines = &state.machines;
        state.held_command.take_if(|held| !held.matches(&machines[usize::from(held.machine)]));
        for n in 0..CONTROLLERS {
            let own_token = self.token(state, n);
            let controller = &mut state.controllers[n];
            controller.tx = controller.tx.filter(may_succeed);
            for received in &mut controller.received {
                *received = received.filter(|h| Some(h.token) == own_token);
            }
        }
        let may_restart =
            (0..CONTROLLERS).any(|n| state.controllers[n].incarnation < self.bounds.restarts[n]);
        if !may_restart && self.is_enabled(Guard::NewestReport) {
            state.report_copy.take_if(|c| c.outdated_for == [true; CONTROLLERS]);
        }
    }

    fn apply_transaction_answer(&self, state: &mut State, n: usize, tx: Transaction) {
        state.controllers[n].tx = None;
        if !execute_transaction(state, &tx) {
            // A submitter's request is answered after the next read.
            return;
        }
        let job = state.store.job;
        let controller = &mut state.controllers[n];
        if let Some(cache) = &mut controller.cache {
            if tx.submission || cache.job.is_some() {
                cache.job = job;
            }
        }
        for ix in 0..TASKS {
            let recorded_task = job.map(|j| j.tasks[ix]);
            controller.ends[ix] = controller.ends[ix].filter(
                |e| matches!(recorded_task, Some(Task::Claimed { attempt, .. }) if attempt == e.attempt),
            );
        }
        if job.is_none_or(|j| j.aborted) {
            controller.cancel_requested = false;
        }
        if tx.submission || tx.cancellation {
            confirm_to_user(state, job);
        }
    }

    // ---- workers ----

    fn send_heartbeat(&self, state: &mut State, m: usize, n: usize, drain: bool) {
        let machine = &state.machines[m];
        let report = Heartbeat { token: machine.token, tasks: machine.tasks.clone() };
        let Some((token, commands)) = self.handle_report(state, m, n, &report, drain) else {
            return;
        };
        if let Some(copy) = state.report_copy.as_mut().filter(|c| usize::from(c.machine) == m) {
            copy.outdated_for[n] = true;
        }
        let after_limit = state.phase >= Phase::StaleReadLimit;
        let machine = &state.machines[m];
        let renews = after_limit && !machine.renewed_after_limit;
        if commands.is_empty() && token == machine.token && !renews {
            // The answer would not change the worker's state.
            return;
        }
        state.machines[m].answer = Some(Answer { token, commands, after_limit });
    }

    fn read_report_copy(&self, state: &mut State, n: usize, drain: bool) {
        let Some(copy) = state.report_copy.clone() else { return };
        if copy.outdated_for[n] && self.is_enabled(Guard::NewestReport) {
            return;
        }
        let taken = self.handle_report(state, copy.machine.into(), n, &copy.report, drain);
        if let (Some(copy), true) = (&mut state.report_copy, taken.is_some()) {
            copy.outdated_for[n] = true;
        }
    }

    /// Records what a report shows and returns token and commands of its answer; `None` if it is not answered
    /// with 200.
    fn handle_report(
        &self,
        state: &mut State,
        m: usize,
        n: usize,
        report: &Heartbeat,
        drain: bool,
    ) -> Option<(u8, Vec<Command>)> {
        let token = self.token(state, n)?;
        if report.token > token || state.controllers[n].partitioned {
            return None;
        }
        let agent_epoch = state.machines[m].agent_epoch;
        let controller = &mut state.controllers[n];
        let job = controller.cache?.job;
        controller.received[m] = Some(Received { token, seen: report.token == token, agent_epoch });
        let seen = report.token == token || !self.is_enabled(Guard::SeenToken);
        let job_inactive = job.is_none_or(|j| j.aborted);
        let claim_of = |ix: u8| match job.map(|j| j.tasks[ix as usize]) {
            Some(Task::Claimed { machine, token, attempt }) if usize::from(machine) == m => {
                Some((token, attempt))
            }
            _ => None,
        };
        let is_running =
            |ix: u8| report.tasks.iter().any(|x| x.0 == ix && x.2 == RunState::Running);
        // The worker has received an answer of this owner if the claim is under its token.
        let exits_count =
            |ix: u8| report.token == token || claim_of(ix).is_some_and(|c| c.0 == token);
        let mut commands = Vec::new();
        let mut is_listed = [false; TASKS];
        let mut exits = Vec::new();
        for &(ix, attempt, run) in &report.tasks {
            let is_claim = claim_of(ix).is_some_and(|c| c.1 == attempt);
            is_listed[ix as usize] |= is_claim;
            match (run, is_claim) {
                (RunState::Running, true) if !job_inactive => {}
                (RunState::Running, true) if !self.is_enabled(Guard::Evictions) => {}
                (RunState::Running, _) => commands.push(Command::Kill(ix, attempt)),
                (_, false) => commands.push(Command::Reap(ix, attempt)),
                (_, true) if is_running(ix) && self.is_enabled(Guard::NoOtherAttemptRunning) => {}
                (_, true) if !exits_count(ix) && self.is_enabled(Guard::SeenTokenForExits) => {}
                (_, true) => {
                    let done = run == RunState::Completed;
                    exits.push((
                        ix,
                        AttemptEnd { machine: m as u8, attempt, done, required_token: None },
                    ));
                    if !self.is_enabled(Guard::DurableReap) {
                        commands.push(Command::Reap(ix, attempt));
                    }
                }
            }
        }
        let is_ending = |controller: &Controller, ix: u8, attempt: u8| {
            controller.ends[ix as usize].is_some_and(|e| e.attempt == attempt)
        };
        for ix in 0..self.bounds.tasks as u8 {
            let Some((claim_token, attempt)) = claim_of(ix) else { continue };
            if is_listed[ix as usize] || is_running(ix) {
                continue;
            }
            if is_ending(controller, ix, attempt) && self.is_enabled(Guard::NotBeingEnded) {
                continue;
            }
            let launch_forbidden = job_inactive && self.is_enabled(Guard::NotCancelled);
            let lost =
                AttemptEnd { machine: m as u8, attempt, done: false, required_token: Some(token) };
            if claim_token == token {
                if launch_forbidden || drain {
                    record_end(controller, ix, lost);
                } else {
                    commands.push(Command::Launch(ix, attempt));
                }
            } else if !self.is_enabled(Guard::OwnToken) && !launch_forbidden && !drain {
                commands.push(Command::Launch(ix, attempt));
            } else if seen {
                record_end(controller, ix, lost);
            }
        }
        for (ix, exit) in exits {
            record_end(controller, ix, exit);
        }
        Some((token, commands))
    }

    /// The owner's clock shows that a lease has expired, which is true unless another owner renewed it.
    fn observe_lease_expiry(&self, state: &mut State, n: usize, m: usize) {
        let Some(token) = self.token(state, n) else { return };
        let machine = &state.machines[m];
        let controller = &mut state.controllers[n];
        let Some(received) = controller.received[m].filter(|h| h.seen) else { return };
        if machine.agent_epoch == received.agent_epoch && machine.token == token {
            return;
        }
        let Some(job) = controller.cache.and_then(|cache| cache.job) else { return };
        for (ix, task) in job.tasks.iter().enumerate() {
            match *task {
                Task::Claimed { machine, attempt, .. } if usize::from(machine) == m => {
                    let required_token = Some(token);
                    record_end(
                        controller,
                        ix as u8,
                        AttemptEnd { machine, attempt, done: false, required_token },
                    );
                }
                _ => {}
            }
        }
    }
}

pub(crate) const RAN_TWICE: &str = "ran_twice";
pub(crate) const RAN_CANCELLED: &str = "ran_cancelled";
pub(crate) const WENT_BACK: &str = "went_back";
pub(crate) const NOT_DONE: &str = "not_done";
pub(crate) const FORGOTTEN: &str = "forgotten";
pub(crate) const COMPLETION_LOST: &str = "recorded completion lost";
pub(crate) const REAPED_EARLY: &str = "completion reaped before it was durable";
pub(crate) const STARTED_AGAIN: &str = "started again after its completion was durable";

/// An end that is valid under any token replaces one that is valid only under the owner's token.
pub(super) fn record_end(controller: &mut Controller, ix: u8, end: AttemptEnd) {
    let known = &mut controller.ends[ix as usize];
    match known {
        Some(k)
            if k.attempt == end.attempt
                && (k.required_token.is_none() || end.required_token.is_some()) => {}
        _ => *known = Some(end),
    }
}

fn abandon_transaction(state: &mut State, tx: Transaction) {
    state.late_count += 1;
    state.late_transactions.push(tx);
}

fn refresh_cache(state: &mut State, n: usize) {
    let controller = &mut state.controllers[n];
    controller.cache = Some(StateCache { job: state.store.job, pool: state.store.pool });
    controller.partitioned = false;
    if state.store.job.is_none() {
        (controller.ends, controller.cancel_requested) = ([None; TASKS], false);
    }
}

/// Reports the state of the job to a user; jobs that are not live are looked up in the archive.
fn confirm_to_user(state: &mut State, job: Option<Job>) {
    let answered = match (job, state.store.archive) {
        (Some(j), _) if j.aborted => Confirmation::Aborted,
        (Some(_), _) => Confirmation::Accepted,
        (None, Some(FinalState::Done)) => Confirmation::Done,
        (None, Some(FinalState::Aborted)) => Confirmation::Aborted,
        (None, None) => Confirmation::Nothing,
    };
    match (state.confirmation, answered) {
        (Confirmation::Done | Confirmation::Aborted, answered)
            if answered != state.confirmation =>
        {
            state.violation = Some(WENT_BACK)
        }
        (Confirmation::Accepted, Confirmation::Nothing) => state.violation = Some(FORGOTTEN),
        _ => state.confirmation = answered,
    }
    if state.confirmation == Confirmation::Aborted && state.phase == Phase::Unconfirmed {
        state.phase = Phase::Confirmed;
    }
}

fn guards_hold(store: &Store, tx: &Transaction) -> bool {
    let version = store.job.map_or(0, |j| j.version);
    tx.job.is_none_or(|v| v == version)
        && !(tx.no_archive && store.archive.is_some())
        && tx.pool.is_none_or(|p| p == store.pool.token)
}

/// Executes a transaction at the state service; returns whether its guards held.
fn execute_transaction(state: &mut State, tx: &Transaction) -> bool {
    let store = &mut state.store;
    if !guards_hold(store, tx) {
        return false;
    }
    let before = store.job;
    let mut violation = None;
    match tx.outcome {
        Outcome::Live(job) => {
            store.versions += 1;
            if store.archive.is_some() {
                violation = Some(WENT_BACK);
            }
            store.job = Some(Job { version: store.versions, ..job });
            for (ix, task) in job.tasks.iter().enumerate() {
                let previous = before.map(|b| b.tasks[ix]);
                if previous == Some(Task::Done) && *task != Task::Done {
                    violation = Some(COMPLETION_LOST);
                }
            }
        }
        Outcome::Ended(ended) => {
            if store.archive.is_some_and(|a| a != ended) {
                violation = Some(WENT_BACK);
            }
            (store.job, store.archive) = (None, Some(ended));
        }
    }
    // Only tasks that have completed may be recorded as done.
    let done = |ix: usize| match (store.job, store.archive) {
        (Some(job), _) => job.tasks[ix] == Task::Done,
        (None, archive) => archive == Some(FinalState::Done) && ix < usize::from(state.task_count),
    };
    if (0..TASKS).any(|ix| done(ix) && !state.completed[ix]) {
        violation = Some(NOT_DONE);
    }
    state.violation = state.violation.or(violation);
    true
}

pub(super) fn is_durable(state: &State, ix: u8) -> bool {
    match state.store.job {
        Some(job) => job.tasks[ix as usize] == Task::Done,
        None => state.store.archive.is_some(),
    }
}
