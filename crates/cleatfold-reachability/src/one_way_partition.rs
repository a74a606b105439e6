//! Detects one-way network partitions: a machine's heartbeats arrive, but it receives no answers.
//!
//! Such a machine sends its heartbeats to each controller in turn, and neither answers nor commands
//! reach it. It looks healthy and is given tasks after each expiry of its lease, and every task
//! placed on it is delayed by a lease. So the effects of an answer must be visible in later
//! heartbeats.

use cleatfold_wire::worker::{Command, TaskReport, TaskState};
use cleatfold_wire::{Attempt, Ms, TaskId};

/// Time without an answer after which a worker turns to the next controller (PROTOCOL). If a
/// heartbeat arrives sooner after an answer, the worker received some answer.
const WORKER_ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Consecutive heartbeats without a visible effect after which a machine counts as partitioned.
const PARTITIONED_AFTER_HEARTBEATS: u32 = 2;
/// A machine that becomes partitioned again within `RELAPSE_WINDOW_MS` after a recovery must receive
/// answers for some time before it counts as recovered: 15 s, doubled with each relapse up to
/// `RELAPSE_WINDOW_MS`.
const RELAPSE_WINDOW_MS: u64 = 240_000;
const FIRST_RECOVERY_MS: u64 = 15_000;

/// Evidence in a heartbeat that a command was received.
#[derive(Clone, Debug, PartialEq)]
enum ExpectedEffect {
    Listed(TaskId, Attempt),
    NotRunning(TaskId, Attempt),
    NotListed(TaskId, Attempt),
}

#[derive(Clone, Debug)]
struct SentAnswer {
    sent_at: Ms,
    /// Whether the answer carried a token that the worker had not seen.
    is_new_token: bool,
    expected_effects: Vec<ExpectedEffect>,
}

/// The evidence about one machine, kept by its pool's owner.
#[derive(Clone, Debug, Default)]
pub struct OneWayPartitionDetector {
    last_answer: Option<SentAnswer>,
    heartbeats_without_effect: u32,
    partitioned_since: Option<Ms>,
    /// Time of the last recovery, and the number of relapses.
    last_recovery: Option<Ms>,
    relapses: u32,
    /// While partitioned: since when answers have been received again.
    delivering_since: Option<Ms>,
}

impl OneWayPartitionDetector {
    /// Records the answer to a heartbeat: whether its token was new to the worker, and its
    /// commands.
    pub fn record_answer(&mut self, now: Ms, new_token: bool, commands: &[Command]) {
        let expected_effect = |c: &Command| match c {
            Command::Start { task, attempt, .. } => ExpectedEffect::Listed(task.clone(), *attempt),
            Command::Stop { task, attempt, .. } => {
                ExpectedEffect::NotRunning(task.clone(), *attempt)
            }
            Command::Forget { task, attempt } => ExpectedEffect::NotListed(task.clone(), *attempt),
        };
        let expected_effects = commands.iter().take(8).map(expected_effect).collect();
        self.last_answer =
            Some(SentAnswer { sent_at: now, is_new_token: new_token, expected_effects });
    }

    /// Records an answer that was held back until there were commands to send.
    pub fn record_delayed_answer(&mut self, now: Ms, commands: &[Command]) {
        let new_token = self.last_answer.as_ref().is_some_and(|a| a.is_new_token);
        self.record_answer(now, new_token, commands);
    }

    /// Discards the last answer because this controller was delayed: the next heartbeat proves
    /// nothing.
    pub fn discard_last_answer(&mut self) {
        self.last_answer = None;
    }

    /// Evaluates a newer heartbeat. `has_token`: it carries this controller's token. Returns
    /// whether the machine became partitioned or recovered.
    pub fn on_heartbeat(
        &mut self,
        now: Ms,
        heartbeat_interval_ms: u64,
        has_token: bool,
        tasks: &[TaskReport],
    ) -> bool {
        let Some(answer) = self.last_answer.take() else { return false };
        let passed_ms = now.since(answer.sent_at);
        let expects_effect = answer.is_new_token || !answer.expected_effects.is_empty();
        let find = |task: &TaskId, attempt: Attempt| {
            tasks.iter().find(|t| t.task == *task && t.attempt == attempt)
        };
        let is_visible = |effect: &ExpectedEffect| match effect {
            ExpectedEffect::Listed(task, attempt) => find(task, *attempt).is_some(),
            ExpectedEffect::NotRunning(task, attempt) => find(task, *attempt)
                .is_none_or(|t| matches!(t.state, TaskState::Exited | TaskState::Saving)),
            ExpectedEffect::NotListed(task, attempt) => find(task, *attempt).is_none(),
        };
        let effect_seen =
            (answer.is_new_token && has_token) || answer.expected_effects.iter().any(is_visible);
        // After an answer a worker sends the next heartbeat within its interval, or sooner on a
        // change.
        let within_interval = passed_ms <= heartbeat_interval_ms * 5 / 4 + 1500;
        if effect_seen
            || (!expects_effect && (passed_ms < WORKER_ANSWER_TIMEOUT_MS || within_interval))
        {
            self.confirm_delivery(now)
        } else if passed_ms < WORKER_ANSWER_TIMEOUT_MS {
            // A single answer may have been lost; the next heartbeat decides.
            false
        } else {
            self.delivering_since = None;
            self.heartbeats_without_effect += 1;
            let newly_partitioned = self.heartbeats_without_effect >= PARTITIONED_AFTER_HEARTBEATS
                && self.partitioned_since.is_none();
            if newly_partitioned {
                let is_relapse =
                    self.last_recovery.is_some_and(|at| now.since(at) < RELAPSE_WINDOW_MS);
                self.relapses = if is_relapse { self.relapses + 1 } else { 0 };
                self.partitioned_since = Some(now);
            }
            newly_partitioned
        }
    }

    fn confirm_delivery(&mut self, now: Ms) -> bool {
        self.heartbeats_without_effect = 0;
        let since = *self.delivering_since.get_or_insert(now);
        let recovery_ms = match self.relapses {
            0 => 0,
            n => (FIRST_RECOVERY_MS << (n - 1).min(8)).min(RELAPSE_WINDOW_MS),
        };
        if self.partitioned_since.is_none() || now.since(since) < recovery_ms {
            return false;
        }
        self.partitioned_since = None;
        self.delivering_since = None;
        self.last_recovery = Some(now);
        true
    }

    /// Whether the machine sends heartbeats but receives no answers.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// How long the machine has been partitioned; 0 if it is not.
    pub fn partitioned_ms(&self, now: Ms) -> u64 {
        self.partitioned_since.map_or(0, |since| now.since(since))
    }
}
