//! A member of an elastic job: works through the steps it holds and reports them.

use cleatfold_wire::steps::{NextAction, StepReply, StepReport};
use cleatfold_wire::{Attempt, Ms, TaskId};
use std::collections::{BTreeSet, VecDeque};

/// Without news a member still asks so often whether it is wanted.
const ASK_MS: u64 = 4000;
const AGAIN_MS: u64 = 800;

/// Why a member is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberExit {
    /// It was told to stop, or there is nothing more to do.
    Ended,
    /// Its place belongs to another.
    Lost,
}

/// A fake of one member of an elastic job.
pub struct Member {
    /// Its task.
    pub task: TaskId,
    /// The attempt of its task.
    pub attempt: Attempt,
    step_ms: u64,
    todo: VecDeque<u32>,
    at: Option<(u32, Ms)>,
    /// Complete, and not known to be finished.
    unsaid: BTreeSet<u32>,
    /// What the report on its way says.
    saying: Option<BTreeSet<u32>>,
    not_before: Ms,
    /// It is to be gone then.
    stop_at: Option<Ms>,
    resting: u32,
    /// Its controller did not answer.
    pub on_no_reply: bool,
    /// Set once it is gone.
    pub exit: Option<MemberExit>,
    /// Steps worked through since this was last looked at.
    pub finished_steps: Vec<u32>,
    /// Steps that it was told are finished by its work, likewise.
    pub accepted_steps: Vec<u32>,
}

impl Member {
    /// A member that begins now and needs `step_ms` for a step.
    pub fn new(task: TaskId, attempt: Attempt, step_ms: u64, now: Ms) -> Self {
        Self {
            task,
            attempt,
            step_ms,
            todo: VecDeque::new(),
            at: None,
            unsaid: BTreeSet::new(),
            saying: None,
            not_before: now,
            stop_at: None,
            resting: 0,
            on_no_reply: false,
            exit: None,
            finished_steps: Vec::new(),
            accepted_steps: Vec::new(),
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Ms) {
        if let Some((step, end)) = self.at {
            if end <= now {
                self.at = None;
                self.unsaid.insert(step);
                self.finished_steps.push(step);
                self.not_before = self.not_before.min(now);
            }
        }
        let stopping = self.stop_at.is_some();
        if self.at.is_none() && !stopping && self.exit.is_none() {
            if let Some(step) = self.todo.pop_front() {
                self.at = Some((step, now.plus(self.step_ms)));
            }
        }
        if self.stop_at.is_some_and(|at| at <= now) {
            self.exit = Some(MemberExit::Ended);
        }
    }

    /// When it next has something to do by itself.
    pub fn next_wakeup(&self) -> Ms {
        let asks = self.saying.is_none().then_some(self.not_before);
        let ends = self.at.map(|a| a.1);
        [asks, ends, self.stop_at].into_iter().flatten().min().unwrap_or(Ms(u64::MAX / 4))
    }

    /// Told to stop: it ends its step if that is soon enough.
    pub fn stop(&mut self, now: Ms, grace_s: f64) {
        let by = now.plus_s(grace_s);
        self.stop_at = Some(self.stop_at.map_or(by, |at| at.min(by)));
        self.todo.clear();
        if self.at.is_some_and(|(_, end)| end > by) || grace_s <= 0.0 {
            self.at = None;
        }
        if self.at.is_none() && self.unsaid.is_empty() {
            self.exit = Some(MemberExit::Ended);
        }
    }

    /// What it has to report now, if anything. It waits for the answer then.
    pub fn report(&mut self, now: Ms) -> Option<StepReport> {
        if self.saying.is_some() || self.exit.is_some() || now < self.not_before {
            return None;
        }
        let leaves = self.stop_at.is_some() && self.at.is_none();
        self.saying = Some(self.unsaid.clone());
        Some(StepReport {
            member: self.task.clone(),
            attempt: self.attempt,
            finished: self.unsaid.iter().map(|s| (*s, s + 1)).collect(),
            wants: if leaves { 0 } else { 2 },
            require_answer: self.on_no_reply,
        })
    }

    /// The answer to its report.
    pub fn on_reply(&mut self, now: Ms, reply: &StepReply) {
        self.on_no_reply = false;
        let refused = |s: &u32| reply.refused.iter().any(|r| r.0 <= *s && s < &r.1);
        for step in self.saying.take().unwrap_or_default() {
            self.unsaid.remove(&step);
            if !refused(&step) {
                self.accepted_steps.push(step);
            }
        }
        let holds: BTreeSet<u32> = reply.holds.iter().flat_map(|r| r.0..r.1).collect();
        if self.at.is_some_and(|(step, _)| !holds.contains(&step)) {
            self.at = None;
        }
        let busy = self.at.map(|a| a.0);
        if self.stop_at.is_none() {
            let new = |s: &&u32| Some(**s) != busy && !self.unsaid.contains(*s);
            self.todo = holds.iter().filter(new).copied().collect();
        }
        self.not_before = now.plus(if self.unsaid.is_empty() { ASK_MS } else { 0 });
        let idle = self.at.is_none() && self.todo.is_empty() && self.unsaid.is_empty();
        self.resting = if idle { self.resting + 1 } else { 0 };
        if idle {
            self.not_before = now.plus(AGAIN_MS);
        }
        let stopped = self.stop_at.is_some() && idle;
        if reply.next_action == NextAction::Finish || stopped || self.resting > 3 {
            self.exit = Some(MemberExit::Ended);
        }
        self.advance(now);
    }

    /// The claim does not stand any more.
    pub fn on_claim_lost(&mut self) {
        self.saying = None;
        self.exit = Some(MemberExit::Lost);
    }

    /// No answer, or one that says to come back.
    pub fn on_no_reply(&mut self, now: Ms) {
        self.saying = None;
        self.on_no_reply = true;
        self.not_before = now.plus(AGAIN_MS);
    }

    /// Sent to another controller.
    pub fn on_redirect(&mut self, now: Ms) {
        self.saying = None;
        self.on_no_reply = false;
        self.not_before = now.plus(50);
    }

    /// Whether a report of its own is unanswered.
    pub fn waits_for_answer(&self) -> bool {
        self.saying.is_some()
    }
}
