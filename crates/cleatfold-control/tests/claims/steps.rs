//! What can happen next, as `jobs/`, `pools/heartbeats.rs` and `machines/watch.rs` do it.

use super::commands::hear;
use super::model::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Submit(usize),
    Withdraw(usize),
    /// A reading; with a user who waits for it.
    Read(usize, bool),
    /// A poll answered by what was read before (without its guard).
    OldPoll(usize),
    /// A change to the job is sent: what has ended, a cancellation, a claim on a machine.
    Send(usize, Option<usize>),
    /// It is executed and answered.
    Answered(usize),
    /// Its outcome is unknown: it goes again, and the first sending is executed late, or never.
    Unanswered(usize),
    Late(usize),
    Restart(usize),
    PoolAssignment(usize),
    /// A worker reports; an owner that gives it up rather than order what is missing.
    Heartbeat(usize, usize, bool),
    Hear(usize),
    Miss(usize),
    Copy(usize),
    ReadCopy(usize, bool),
    Exit(usize, u8, u8, Run),
    /// The worker's lease runs out.
    Expire(usize),
    /// Its owner concludes that.
    RanOut(usize, usize),
    Limit,
    Bound,
    /// An owner sends a direct command for a task on a machine.
    Direct(usize, usize, u8),
    /// It arrives; its sender hears the answer, or not.
    Arrives(bool),
}

pub(crate) struct World {
    pub bounds: Bounds,
    pub without: Option<Guard>,
}

impl World {
    pub(super) fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    pub(crate) fn start(&self) -> State {
        let mut s = State { tasks: self.bounds.tasks as u8, ..State::default() };
        s.store.pool = Pool { owner: 0, life: 0, token: 1 };
        if self.bounds.submissions == 0 {
            let tasks = [Task::Free { last: 0 }; TASKS];
            s.store.job = Some(Job { version: 1, aborted: false, tasks });
            s.store.versions = 1;
            s.confirmation = Confirmation::Accepted;
        }
        let cache = StateCache { job: s.store.job, pool: s.store.pool };
        s.controllers.iter_mut().for_each(|n| n.cache = Some(cache));
        s
    }

    pub(super) fn token(&self, s: &State, n: usize) -> Option<u8> {
        let controller = &s.controllers[n];
        let pool = controller.cache?.pool;
        let same_life = pool.life == controller.life || !self.has(Guard::Incarnation);
        (usize::from(pool.owner) == n && same_life).then_some(pool.token)
    }

    pub(crate) fn next(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        let mut go = |step: Step, f: &dyn Fn(&mut State)| {
            let mut t = s.clone();
            f(&mut t);
            self.tidy(&mut t);
            if t != *s {
                out.push((step, t));
            }
        };
        let b = &self.bounds;
        let drains = if b.drains { &[false, true][..] } else { &[false] };
        for n in 0..CONTROLLERS {
            let controller = &s.controllers[n];
            if controller.life < b.restarts[n] {
                go(Step::Restart(n), &|t| {
                    let life = t.controllers[n].life + 1;
                    if let Some(tx) = t.controllers[n].tx.take().filter(|_| t.lates < b.late) {
                        leave(t, tx);
                    }
                    t.controllers[n] = Controller { life, ..Controller::default() };
                    if let Some(copy) = &mut t.copy {
                        copy.old_for[n] = false;
                    }
                });
            }
            let holder = (usize::from(s.store.pool.owner), s.store.pool.life);
            if s.store.pool.token < b.tokens && holder != (n, controller.life) {
                go(Step::PoolAssignment(n), &|t| {
                    let (token, life) = (t.store.pool.token + 1, t.controllers[n].life);
                    t.store.pool = Pool { owner: n as u8, life, token };
                });
            }
            go(Step::Read(n, false), &|t| read(t, n));
            if b.polls || b.cancel {
                go(Step::Read(n, true), &|t| {
                    read(t, n);
                    let job = t.store.job;
                    tell(t, job);
                });
            }
            if b.polls && !self.has(Guard::FreshPolls) {
                if let Some(cache) = controller.cache {
                    go(Step::OldPoll(n), &|t| tell(t, cache.job));
                }
            }
            if let Some(tx) = controller.tx {
                go(Step::Answered(n), &|t| self.answered(t, n, tx));
                if s.lates < b.late {
                    go(Step::Unanswered(n), &|t| {
                        leave(t, tx);
                        if tx.submission {
                            // Not repeated: its user is told to ask again.
                            t.controllers[n].tx = None;
                        }
                    });
                }
            } else if let Some(cache) = controller.cache {
                if s.submitted < b.submissions && cache.job.is_none() {
                    go(Step::Submit(n), &|t| {
                        t.submitted += 1;
                        let tasks = [Task::Free { last: 0 }; TASKS];
                        let outcome = Outcome::Live(Job { version: 0, aborted: false, tasks });
                        t.controllers[n].tx = Some(Tx {
                            job: Some(0),
                            no_archive: self.has(Guard::ArchiveAbsence),
                            pool: None,
                            outcome,
                            submission: true,
                            withdrawal: false,
                        });
                    });
                }
                if cache.job.is_some() {
                    go(Step::Send(n, None), &|t| self.send(t, n, None));
                    for m in 0..b.machines {
                        go(Step::Send(n, Some(m)), &|t| self.send(t, n, Some(m)));
                    }
                }
            }
            let live = controller.cache.and_then(|m| m.job).is_some_and(|j| !j.aborted);
            if b.cancel && live && s.controllers.iter().all(|n| !n.abort) {
                go(Step::Withdraw(n), &|t| t.controllers[n].abort = true);
            }
            for m in 0..b.machines {
                if s.machines[m].answer.is_none() {
                    for &give_up in drains {
                        go(Step::Heartbeat(m, n, give_up), &|t| self.report(t, m, n, give_up));
                    }
                }
                go(Step::RanOut(n, m), &|t| self.ran_out(t, n, m));
                for ix in 0..b.tasks as u8 {
                    go(Step::Direct(n, m, ix), &|t| self.send_directly(t, n, m, ix));
                }
            }
            for &give_up in drains {
                go(Step::ReadCopy(n, give_up), &|t| self.read_copy(t, n, give_up));
            }
        }
        for received in [false, true] {
            go(Step::Arrives(received), &|t| self.arrives(t, received));
        }
        for i in 0..s.late.len() {
            go(Step::Late(i), &|t| {
                let tx = t.late.remove(i);
                execute(t, &tx);
            });
        }
        for m in 0..b.machines {
            let machine = &s.machines[m];
            if machine.answer.is_some() {
                go(Step::Hear(m), &|t| hear(t, m));
                go(Step::Miss(m), &|t| t.machines[m].answer = None);
            } else if s.copies < b.copies {
                go(Step::Copy(m), &|t| {
                    t.copies += 1;
                    let report = Heartbeat { token: machine.token, tasks: machine.tasks.clone() };
                    let machine = m as u8;
                    t.copy = Some(Copied { machine, report, old_for: [false; CONTROLLERS] });
                });
            }
            for (i, &(ix, attempt, run)) in machine.tasks.iter().enumerate() {
                if run == Run::Alive {
                    go(Step::Exit(m, ix, attempt, Run::Completed), &|t| {
                        t.machines[m].tasks[i].2 = Run::Completed;
                        t.completed[ix as usize] = true;
                    });
                    if b.failures {
                        go(Step::Exit(m, ix, attempt, Run::Failed), &|t| {
                            t.machines[m].tasks[i].2 = Run::Failed;
                        });
                    }
                }
            }
            if machine.agent_epoch < b.sessions {
                go(Step::Expire(m), &|t| {
                    let old = &t.machines[m];
                    let (agent_epoch, token) = (old.agent_epoch + 1, old.token);
                    let renewed = s.phase >= Phase::Limit;
                    t.machines[m] = Machine { agent_epoch, token, renewed, ..Machine::default() };
                });
            }
        }
        if s.phase == Phase::Confirmation {
            go(Step::Limit, &|t| {
                t.phase = Phase::Limit;
                for controller in &mut t.controllers {
                    let unread = controller.cache.and_then(|m| m.job).is_some_and(|j| !j.aborted);
                    controller.partitioned |= unread && self.has(Guard::StaleReadLimit);
                }
            });
        }
        // A lease is shorter than what is left of `cancel_s`: it was renewed since, or has ended.
        if s.phase == Phase::Limit && s.machines[..b.machines].iter().all(|m| m.renewed) {
            go(Step::Bound, &|t| {
                t.phase = Phase::Bound;
                if t.machines.iter().any(|m| m.tasks.iter().any(|x| x.2 == Run::Alive)) {
                    t.broken = Some(RAN_CANCELLED);
                }
            });
        }
        out
    }

    // ---- a controller's changes to the job ----

    fn send(&self, t: &mut State, n: usize, wish: Option<usize>) {
        let own = self.token(t, n);
        let controller = &mut t.controllers[n];
        let Some(job) = controller.cache.and_then(|m| m.job) else { return };
        let mut claims = Claims::of(&job, self.bounds.tasks);
        let (mut changed, mut fence, mut unguarded) = (false, None, false);
        for ix in 0..TASKS {
            let Some(end) = controller.ends[ix] else { continue };
            if (end.fence.is_some() && end.fence != own) || !claims.end(ix, &end) {
                controller.ends[ix] = None;
                continue;
            }
            changed = true;
            if self.has(Guard::PoolInReleases) {
                fence = fence.or(end.fence);
            }
        }
        let mut aborted = job.aborted;
        if let (Some(m), Some(token)) = (wish, own) {
            if !aborted && !controller.abort {
                if let Some(&ix) = claims.free().first() {
                    if claims.claim(m as u8, token, ix) > self.bounds.attempts {
                        return;
                    }
                    changed = true;
                    unguarded = !self.has(Guard::JobInClaims);
                    if self.has(Guard::PoolInClaims) {
                        fence = Some(token);
                    }
                } else {
                    return;
                }
            }
        } else if wish.is_some() {
            return;
        }
        let withdrawal = controller.abort;
        let all_done = claims.all_done();
        if controller.abort && !aborted && !all_done {
            (aborted, changed) = (true, true);
        }
        if !changed {
            if controller.abort {
                // Cancelled or done already, by what was read.
                controller.abort = false;
                tell(t, Some(job));
            }
            return;
        }
        let outcome = if all_done && !aborted {
            Outcome::Ended(Ended::Done)
        } else if aborted && claims.none_claimed() {
            Outcome::Ended(Ended::Aborted)
        } else {
            Outcome::Live(Job { version: 0, aborted, tasks: claims.tasks() })
        };
        let tx = Tx {
            job: (!unguarded).then_some(job.version),
            no_archive: false,
            pool: fence,
            outcome,
            submission: false,
            withdrawal,
        };
        controller.tx = Some(tx);
    }

    /// What makes no difference to anything that can follow is taken away: a transaction whose versions have
    /// moved on (versions are never given twice, so it fails whenever it is executed, and its sender goes on
    /// as if it had been told so at once), what is remembered under former tokens, a copy nobody would read.
    fn tidy(&self, t: &mut State) {
        let store = t.store;
        let may_hold = |tx: &Tx| tx.submission || holds(&store, tx);
        t.late.retain(may_hold);
        t.late.sort_unstable();
        let machines = &t.machines;
        t.held.take_if(|held| !held.matches(&machines[usize::from(held.machine)]));
        for n in 0..CONTROLLERS {
            let own = self.token(t, n);
            let controller = &mut t.controllers[n];
            controller.tx = controller.tx.filter(may_hold);
            for received in &mut controller.received {
                *received = received.filter(|h| Some(h.token) == own);
            }
        }
        let back = (0..CONTROLLERS).any(|n| t.controllers[n].life < self.bounds.restarts[n]);
        if !back && self.has(Guard::Newest) {
            t.copy.take_if(|c| c.old_for == [true; CONTROLLERS]);
        }
    }

    fn answered(&self, t: &mut State, n: usize, tx: Tx) {
        t.controllers[n].tx = None;
        if !execute(t, &tx) {
            // A submitter's question waits for the next reading.
            return;
        }
        let job = t.store.job;
        let controller = &mut t.controllers[n];
        if let Some(cache) = &mut controller.cache {
            if tx.submission || cache.job.is_some() {
                cache.job = job;
            }
        }
        for ix in 0..TASKS {
            let standing = job.map(|j| j.tasks[ix]);
            controller.ends[ix] = controller.ends[ix].filter(
                |e| matches!(standing, Some(Task::Claimed { attempt, .. }) if attempt == e.attempt),
            );
        }
        if job.is_none_or(|j| j.aborted) {
            controller.abort = false;
        }
        if tx.submission || tx.withdrawal {
            tell(t, job);
        }
    }

    // ---- workers ----

    fn report(&self, t: &mut State, m: usize, n: usize, give_up: bool) {
        let machine = &t.machines[m];
        let report = Heartbeat { token: machine.token, tasks: machine.tasks.clone() };
        let Some((token, commands)) = self.take_report(t, m, n, &report, give_up) else { return };
        if let Some(copy) = t.copy.as_mut().filter(|c| usize::from(c.machine) == m) {
            copy.old_for[n] = true;
        }
        let after_limit = t.phase >= Phase::Limit;
        let machine = &t.machines[m];
        let renews = after_limit && !machine.renewed;
        if commands.is_empty() && token == machine.token && !renews {
            // It is nothing to the worker whether it hears this.
            return;
        }
        t.machines[m].answer = Some(Answer { token, commands, after_limit });
    }

    fn read_copy(&self, t: &mut State, n: usize, give_up: bool) {
        let Some(copy) = t.copy.clone() else { return };
        if copy.old_for[n] && self.has(Guard::Newest) {
            return;
        }
        let taken = self.take_report(t, copy.machine.into(), n, &copy.report, give_up);
        if let (Some(copy), true) = (&mut t.copy, taken.is_some()) {
            copy.old_for[n] = true;
        }
    }

    /// What a report shows, and what its answer orders; none where it is not answered with 200.
    fn take_report(
        &self,
        t: &mut State,
        m: usize,
        n: usize,
        report: &Heartbeat,
        give_up: bool,
    ) -> Option<(u8, Vec<Command>)> {
        let token = self.token(t, n)?;
        if report.token > token || t.controllers[n].partitioned {
            return None;
        }
        let agent_epoch = t.machines[m].agent_epoch;
        let controller = &mut t.controllers[n];
        let job = controller.cache?.job;
        controller.received[m] = Some(Received { token, seen: report.token == token, agent_epoch });
        let seen = report.token == token || !self.has(Guard::SeenToken);
        let over = job.is_none_or(|j| j.aborted);
        let claim_of = |ix: u8| match job.map(|j| j.tasks[ix as usize]) {
            Some(Task::Claimed { machine, token, attempt }) if usize::from(machine) == m => {
                Some((token, attempt))
            }
            _ => None,
        };
        let alive = |ix: u8| report.tasks.iter().any(|x| x.0 == ix && x.2 == Run::Alive);
        // Of a claim under our token the worker has heard from us.
        let exits_count =
            |ix: u8| report.token == token || claim_of(ix).is_some_and(|c| c.0 == token);
        let mut commands = Vec::new();
        let mut listed = [false; TASKS];
        let mut exits = Vec::new();
        for &(ix, attempt, run) in &report.tasks {
            let ours = claim_of(ix).is_some_and(|c| c.1 == attempt);
            listed[ix as usize] |= ours;
            match (run, ours) {
                (Run::Alive, true) if !over => {}
                (Run::Alive, true) if !self.has(Guard::Evictions) => {}
                (Run::Alive, _) => commands.push(Command::Kill(ix, attempt)),
                (_, false) => commands.push(Command::Reap(ix, attempt)),
                (_, true) if alive(ix) && self.has(Guard::ExitAlone) => {}
                (_, true) if !exits_count(ix) && self.has(Guard::SeenForExits) => {}
                (_, true) => {
                    let done = run == Run::Completed;
                    exits.push((ix, End { machine: m as u8, attempt, done, fence: None }));
                    if !self.has(Guard::DurableReap) {
                        commands.push(Command::Reap(ix, attempt));
                    }
                }
            }
        }
        let is_ending = |controller: &Controller, ix: u8, attempt: u8| {
            controller.ends[ix as usize].is_some_and(|e| e.attempt == attempt)
        };
        for ix in 0..self.bounds.tasks as u8 {
            let Some((under, attempt)) = claim_of(ix) else { continue };
            if listed[ix as usize] || alive(ix) {
                continue;
            }
            if is_ending(controller, ix, attempt) && self.has(Guard::NotEnding) {
                continue;
            }
            let stopped = over && self.has(Guard::NotCancelled);
            let lost = End { machine: m as u8, attempt, done: false, fence: Some(token) };
            if under == token {
                if stopped || give_up {
                    end(controller, ix, lost);
                } else {
                    commands.push(Command::Launch(ix, attempt));
                }
            } else if !self.has(Guard::OwnToken) && !stopped && !give_up {
                commands.push(Command::Launch(ix, attempt));
            } else if seen {
                end(controller, ix, lost);
            }
        }
        for (ix, exit) in exits {
            end(controller, ix, exit);
        }
        Some((token, commands))
    }

    /// The owner's clock says that a lease has run out: so it has, unless another owner renewed it.
    fn ran_out(&self, t: &mut State, n: usize, m: usize) {
        let Some(token) = self.token(t, n) else { return };
        let machine = &t.machines[m];
        let controller = &mut t.controllers[n];
        let Some(received) = controller.received[m].filter(|h| h.seen) else { return };
        if machine.agent_epoch == received.agent_epoch && machine.token == token {
            return;
        }
        let Some(job) = controller.cache.and_then(|m| m.job) else { return };
        for (ix, task) in job.tasks.iter().enumerate() {
            match *task {
                Task::Claimed { machine, attempt, .. } if usize::from(machine) == m => {
                    let fence = Some(token);
                    end(controller, ix as u8, End { machine, attempt, done: false, fence });
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
pub(crate) const UNDONE: &str = "a recorded completion is gone";
pub(crate) const REAPED: &str = "a completion was reaped before it was durable";
pub(crate) const AGAIN: &str = "started again after its completion was durable";

/// A proof for ever replaces one that needs our token.
pub(super) fn end(controller: &mut Controller, ix: u8, end: End) {
    let known = &mut controller.ends[ix as usize];
    match known {
        Some(k) if k.attempt == end.attempt && (k.fence.is_none() || end.fence.is_some()) => {}
        _ => *known = Some(end),
    }
}

fn leave(t: &mut State, tx: Tx) {
    t.lates += 1;
    t.late.push(tx);
}

fn read(t: &mut State, n: usize) {
    let controller = &mut t.controllers[n];
    controller.cache = Some(StateCache { job: t.store.job, pool: t.store.pool });
    controller.partitioned = false;
    if t.store.job.is_none() {
        (controller.ends, controller.abort) = ([None; TASKS], false);
    }
}

/// A user is told how the job is; jobs that are not live are looked up in the archive.
fn tell(t: &mut State, job: Option<Job>) {
    let now = match (job, t.store.archive) {
        (Some(j), _) if j.aborted => Confirmation::Aborted,
        (Some(_), _) => Confirmation::Accepted,
        (None, Some(Ended::Done)) => Confirmation::Done,
        (None, Some(Ended::Aborted)) => Confirmation::Aborted,
        (None, None) => Confirmation::Nothing,
    };
    match (t.confirmation, now) {
        (Confirmation::Done | Confirmation::Aborted, now) if now != t.confirmation => {
            t.broken = Some(WENT_BACK)
        }
        (Confirmation::Accepted, Confirmation::Nothing) => t.broken = Some(FORGOTTEN),
        _ => t.confirmation = now,
    }
    if t.confirmation == Confirmation::Aborted && t.phase == Phase::Before {
        t.phase = Phase::Confirmation;
    }
}

fn holds(store: &Store, tx: &Tx) -> bool {
    let version = store.job.map_or(0, |j| j.version);
    tx.job.is_none_or(|v| v == version)
        && !(tx.no_archive && store.archive.is_some())
        && tx.pool.is_none_or(|p| p == store.pool.token)
}

/// The state service; returns whether the guards held.
fn execute(t: &mut State, tx: &Tx) -> bool {
    let store = &mut t.store;
    if !holds(store, tx) {
        return false;
    }
    let before = store.job;
    let mut broken = None;
    match tx.outcome {
        Outcome::Live(job) => {
            store.versions += 1;
            if store.archive.is_some() {
                broken = Some(WENT_BACK);
            }
            store.job = Some(Job { version: store.versions, ..job });
            for (ix, task) in job.tasks.iter().enumerate() {
                let was = before.map(|b| b.tasks[ix]);
                if was == Some(Task::Done) && *task != Task::Done {
                    broken = Some(UNDONE);
                }
            }
        }
        Outcome::Ended(ended) => {
            if store.archive.is_some_and(|a| a != ended) {
                broken = Some(WENT_BACK);
            }
            (store.job, store.archive) = (None, Some(ended));
        }
    }
    // Only what has completed is recorded so.
    let done = |ix: usize| match (store.job, store.archive) {
        (Some(job), _) => job.tasks[ix] == Task::Done,
        (None, archive) => archive == Some(Ended::Done) && ix < usize::from(t.tasks),
    };
    if (0..TASKS).any(|ix| done(ix) && !t.completed[ix]) {
        broken = Some(NOT_DONE);
    }
    t.broken = t.broken.or(broken);
    true
}

pub(super) fn is_durable(t: &State, ix: u8) -> bool {
    match t.store.job {
        Some(job) => job.tasks[ix as usize] == Task::Done,
        None => t.store.archive.is_some(),
    }
}
