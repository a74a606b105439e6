//! A member of an elastic job: works through the steps it holds and reports them.

use cleatfold_wire::steps::{NextAction, StepReply, StepReport};
use cleatfold_wire::{Attempt, Ms, TaskId};
use std::collections::{BTreeSet, VecDeque};

/// Without news a member still asks so often whether it is wanted.
const ASK_MS: u64 = 4000;
const AGAIN_MS: u64 = 800;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// It was told to stop, or there is nothing more to do.
    Ended,
    /// Its place belongs to another.
    Lost,
}

pub struct Member {
    pub task: TaskId,
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
    pub astray: bool,
    pub left: Option<Left>,
    /// Steps worked through since this was last looked at.
    pub worked: Vec<u32>,
    /// Steps that it was told are finished by its work, likewise.
    pub accepted: Vec<u32>,
}

impl Member {
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
            astray: false,
            left: None,
            worked: Vec::new(),
            accepted: Vec::new(),
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: Ms) {
        if let Some((step, end)) = self.at {
            if end <= now {
                self.at = None;
                self.unsaid.insert(step);
                self.worked.push(step);
                self.not_before = self.not_before.min(now);
            }
        }
        let stopping = self.stop_at.is_some();
        if self.at.is_none() && !stopping && self.left.is_none() {
            if let Some(step) = self.todo.pop_front() {
                self.at = Some((step, now.plus(self.step_ms)));
            }
        }
        if self.stop_at.is_some_and(|at| at <= now) {
            self.left = Some(Left::Ended);
        }
    }

    /// When it next has something to do by itself.
    pub fn next(&self) -> Ms {
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
            self.left = Some(Left::Ended);
        }
    }

    /// What it has to report now, if anything. It waits for the answer then.
    pub fn report(&mut self, now: Ms) -> Option<StepReport> {
        if self.saying.is_some() || self.left.is_some() || now < self.not_before {
            return None;
        }
        let leaves = self.stop_at.is_some() && self.at.is_none();
        self.saying = Some(self.unsaid.clone());
        Some(StepReport {
            member: self.task.clone(),
            attempt: self.attempt,
            finished: self.unsaid.iter().map(|s| (*s, s + 1)).collect(),
            wants: if leaves { 0 } else { 2 },
            generate_load: self.astray,
        })
    }

    pub fn on_reply(&mut self, now: Ms, reply: &StepReply) {
        self.astray = false;
        let refused = |s: &u32| reply.refused.iter().any(|r| r.0 <= *s && s < &r.1);
        for step in self.saying.take().unwrap_or_default() {
            self.unsaid.remove(&step);
            if !refused(&step) {
                self.accepted.push(step);
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
        if reply.next_action == NextAction::Over || stopped || self.resting > 3 {
            self.left = Some(Left::Ended);
        }
        self.pass(now);
    }

    /// The claim does not stand any more.
    pub fn lost(&mut self) {
        self.saying = None;
        self.left = Some(Left::Lost);
    }

    /// No answer, or one that says to come back.
    pub fn unanswered(&mut self, now: Ms) {
        self.saying = None;
        self.astray = true;
        self.not_before = now.plus(AGAIN_MS);
    }

    /// Sent to another controller.
    pub fn redirected(&mut self, now: Ms) {
        self.saying = None;
        self.astray = false;
        self.not_before = now.plus(50);
    }

    pub fn waits_for_answer(&self) -> bool {
        self.saying.is_some()
    }
}
