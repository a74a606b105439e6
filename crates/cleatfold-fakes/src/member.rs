//! Fake member of an elastic job: processes the steps assigned to it and reports the finished ones.

use cleatfold_wire::steps::{NextAction, StepReply, StepReport};
use cleatfold_wire::{Attempt, Ms, TaskId};
use std::collections::{BTreeSet, VecDeque};

/// Interval between reports of a member that has no finished steps to report.
const REPORT_INTERVAL_MS: u64 = 4000;
/// Delay before the next report of an idle member or after an unanswered report.
const RETRY_DELAY_MS: u64 = 800;

/// Why a member has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberExit {
    /// It was stopped, or has no more work.
    Ended,
    /// Its claim is no longer valid.
    Lost,
}

/// Fake of one member of an elastic job.
pub struct Member {
    /// The member's task.
    pub task: TaskId,
    /// The attempt of the task.
    pub attempt: Attempt,
    step_ms: u64,
    /// Assigned steps that are not started.
    pending_steps: VecDeque<u32>,
    /// The step in progress and when it ends.
    current_step: Option<(u32, Ms)>,
    /// Finished steps whose report is not acknowledged.
    unacknowledged_steps: BTreeSet<u32>,
    /// Finished steps in the report that awaits a reply, if there is one.
    reported_steps: Option<BTreeSet<u32>>,
    next_report_at: Ms,
    /// When it exits at the latest, once it is stopped.
    stop_at: Option<Ms>,
    /// Consecutive replies that left it without work.
    idle_replies: u32,
    /// Whether its controller did not reply to the last report.
    pub last_report_unanswered: bool,
    /// Set once it has exited.
    pub exit: Option<MemberExit>,
    /// Steps finished since the caller last drained this list.
    pub finished_steps: Vec<u32>,
    /// Steps acknowledged as finished by this member since the caller last drained this list.
    pub accepted_steps: Vec<u32>,
}

impl Member {
    /// Creates a member that starts at `now` and needs `step_ms` for each step.
    pub fn new(task: TaskId, attempt: Attempt, step_ms: u64, now: Ms) -> Self {
        Self {
            task,
            attempt,
            step_ms,
            pending_steps: VecDeque::new(),
            current_step: None,
            unacknowledged_steps: BTreeSet::new(),
            reported_steps: None,
            next_report_at: now,
            stop_at: None,
            idle_replies: 0,
            last_report_unanswered: false,
            exit: None,
            finished_steps: Vec::new(),
            accepted_steps: Vec::new(),
        }
    }

    /// Advances to `now`: steps finish and start, and the stop deadline may pass.
    pub fn advance(&mut self, now: Ms) {
        if let Some((step, end)) = self.current_step {
            if end <= now {
                self.current_step = None;
                self.unacknowledged_steps.insert(step);
                self.finished_steps.push(step);
                self.next_report_at = self.next_report_at.min(now);
            }
        }
        let is_stopping = self.stop_at.is_some();
        if self.current_step.is_none() && !is_stopping && self.exit.is_none() {
            if let Some(step) = self.pending_steps.pop_front() {
                self.current_step = Some((step, now.plus(self.step_ms)));
            }
        }
        if self.stop_at.is_some_and(|at| at <= now) {
            self.exit = Some(MemberExit::Ended);
        }
    }

    /// When `advance` or `report` next has an effect without an external event.
    pub fn next_wakeup(&self) -> Ms {
        let report_at = self.reported_steps.is_none().then_some(self.next_report_at);
        let step_end = self.current_step.map(|a| a.1);
        [report_at, step_end, self.stop_at].into_iter().flatten().min().unwrap_or(Ms(u64::MAX / 4))
    }

    /// Stops the member. It completes its current step only if that ends within the grace period.
    pub fn stop(&mut self, now: Ms, grace_s: f64) {
        let deadline = now.plus_s(grace_s);
        self.stop_at = Some(self.stop_at.map_or(deadline, |at| at.min(deadline)));
        self.pending_steps.clear();
        if self.current_step.is_some_and(|(_, end)| end > deadline) || grace_s <= 0.0 {
            self.current_step = None;
        }
        if self.current_step.is_none() && self.unacknowledged_steps.is_empty() {
            self.exit = Some(MemberExit::Ended);
        }
    }

    /// Returns the report that is due, if any. No other report is due until it is answered.
    pub fn report(&mut self, now: Ms) -> Option<StepReport> {
        if self.reported_steps.is_some() || self.exit.is_some() || now < self.next_report_at {
            return None;
        }
        let is_leaving = self.stop_at.is_some() && self.current_step.is_none();
        self.reported_steps = Some(self.unacknowledged_steps.clone());
        Some(StepReport {
            member: self.task.clone(),
            attempt: self.attempt,
            finished: self.unacknowledged_steps.iter().map(|s| (*s, s + 1)).collect(),
            wants: if is_leaving { 0 } else { 2 },
            require_answer: self.last_report_unanswered,
        })
    }

    /// Handles the reply to its report.
    pub fn on_reply(&mut self, now: Ms, reply: &StepReply) {
        self.last_report_unanswered = false;
        let is_refused = |s: &u32| reply.refused.iter().any(|r| r.0 <= *s && s < &r.1);
        for step in self.reported_steps.take().unwrap_or_default() {
            self.unacknowledged_steps.remove(&step);
            if !is_refused(&step) {
                self.accepted_steps.push(step);
            }
        }
        let assigned: BTreeSet<u32> = reply.holds.iter().flat_map(|r| r.0..r.1).collect();
        if self.current_step.is_some_and(|(step, _)| !assigned.contains(&step)) {
            self.current_step = None;
        }
        let current = self.current_step.map(|a| a.0);
        if self.stop_at.is_none() {
            let is_new = |s: &&u32| Some(**s) != current && !self.unacknowledged_steps.contains(*s);
            self.pending_steps = assigned.iter().filter(is_new).copied().collect();
        }
        self.next_report_at =
            now.plus(if self.unacknowledged_steps.is_empty() { REPORT_INTERVAL_MS } else { 0 });
        let is_idle = self.current_step.is_none()
            && self.pending_steps.is_empty()
            && self.unacknowledged_steps.is_empty();
        self.idle_replies = if is_idle { self.idle_replies + 1 } else { 0 };
        if is_idle {
            self.next_report_at = now.plus(RETRY_DELAY_MS);
        }
        let is_stopped = self.stop_at.is_some() && is_idle;
        if reply.next_action == NextAction::Finish || is_stopped || self.idle_replies > 3 {
            self.exit = Some(MemberExit::Ended);
        }
        self.advance(now);
    }

    /// Handles a reply that rejects its claim.
    pub fn on_claim_lost(&mut self) {
        self.reported_steps = None;
        self.exit = Some(MemberExit::Lost);
    }

    /// Handles a missing reply, or one that asks to retry later.
    pub fn on_no_reply(&mut self, now: Ms) {
        self.reported_steps = None;
        self.last_report_unanswered = true;
        self.next_report_at = now.plus(RETRY_DELAY_MS);
    }

    /// Handles a redirect to another controller.
    pub fn on_redirect(&mut self, now: Ms) {
        self.reported_steps = None;
        self.last_report_unanswered = false;
        self.next_report_at = now.plus(50);
    }

    /// Whether a report awaits its reply.
    pub fn awaits_reply(&self) -> bool {
        self.reported_steps.is_some()
    }
}
