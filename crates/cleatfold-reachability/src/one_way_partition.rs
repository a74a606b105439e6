//! Whether a machine hears what it is answer.
//!
//! A machine may be heard and hear nothing: its reports come, to each controller in turn, and neither
//! answers nor commands arrive. It looks alive, is given tasks again after each lapse of its lease, and what is
//! given to it waits a lease each time. So what was answered has to show in what is reported.

use cleatfold_wire::worker::{Command, TaskReport, TaskState};
use cleatfold_wire::{Attempt, Ms, TaskId};

/// After so long without an answer a worker turns to the next controller (PROTOCOL). A report that comes
/// sooner after our answer was sent by a worker that got some answer.
const GIVES_UP_MS: u64 = 4_000;
/// Reports in a row that show no effect.
const IN_VAIN: u32 = 2;
/// A machine that stops hearing again so soon after it was taken back has to go on hearing for a while
/// before it is believed: 15 s, twice as long each time.
const AGAIN_MS: u64 = 240_000;
const FIRST_PAUSE_MS: u64 = 15_000;

/// What shows that an order was heard.
#[derive(Clone, Debug, PartialEq)]
enum Sign {
    Listed(TaskId, Attempt),
    NotRunning(TaskId, Attempt),
    NotListed(TaskId, Attempt),
}

#[derive(Clone, Debug)]
struct SentAnswer {
    at: Ms,
    /// Our token was news to it.
    token: bool,
    signs: Vec<Sign>,
}

/// One machine's hearing, as its pool's owner sees it.
#[derive(Clone, Debug, Default)]
pub struct OneWayPartitionDetector {
    last_answer: Option<SentAnswer>,
    in_vain: u32,
    partitioned_since: Option<Ms>,
    /// When it was last taken back, and how often it has been partitioned before.
    back: Option<Ms>,
    times: u32,
    /// While partitioned: since when it has heard again.
    delivering_since: Option<Ms>,
}

impl OneWayPartitionDetector {
    /// A report was answered: with a token it had not seen, if so, and with these orders.
    pub fn answered(&mut self, now: Ms, new_token: bool, commands: &[Command]) {
        let sign = |c: &Command| match c {
            Command::Start { task, attempt, .. } => Sign::Listed(task.clone(), *attempt),
            Command::Stop { task, attempt, .. } => Sign::NotRunning(task.clone(), *attempt),
            Command::Forget { task, attempt } => Sign::NotListed(task.clone(), *attempt),
        };
        let signs = commands.iter().take(8).map(sign).collect();
        self.last_answer = Some(SentAnswer { at: now, token: new_token, signs });
    }

    /// The answer waited for orders and goes only now.
    pub fn answered_late(&mut self, now: Ms, commands: &[Command]) {
        let token = self.last_answer.as_ref().is_some_and(|t| t.token);
        self.answered(now, token, commands);
    }

    /// We were late ourselves: what shows or does not says nothing.
    pub fn excuse(&mut self) {
        self.last_answer = None;
    }

    /// A newer report came. `has_token`: it carries our token. True if whether it is partitioned has changed.
    pub fn next_heartbeat(
        &mut self,
        now: Ms,
        heartbeat_interval_ms: u64,
        has_token: bool,
        tasks: &[TaskReport],
    ) -> bool {
        let Some(answer) = self.last_answer.take() else { return false };
        let passed = now.since(answer.at);
        let expected = answer.token || !answer.signs.is_empty();
        let find = |task: &TaskId, attempt: Attempt| {
            tasks.iter().find(|t| t.task == *task && t.attempt == attempt)
        };
        let shows = |sign: &Sign| match sign {
            Sign::Listed(task, attempt) => find(task, *attempt).is_some(),
            Sign::NotRunning(task, attempt) => find(task, *attempt)
                .is_none_or(|t| matches!(t.state, TaskState::Exited | TaskState::Saving)),
            Sign::NotListed(task, attempt) => find(task, *attempt).is_none(),
        };
        let shown = (answer.token && has_token) || answer.signs.iter().any(shows);
        // It reports within its interval of an answer, and sooner when something changes.
        let interval_kept = passed <= heartbeat_interval_ms * 5 / 4 + 1500;
        if shown || (!expected && (passed < GIVES_UP_MS || interval_kept)) {
            self.confirm_delivery(now)
        } else if passed < GIVES_UP_MS {
            // An answer that was lost on the way: the next one will tell.
            false
        } else {
            self.delivering_since = None;
            self.in_vain += 1;
            let newly = self.in_vain >= IN_VAIN && self.partitioned_since.is_none();
            if newly {
                let again = self.back.is_some_and(|at| now.since(at) < AGAIN_MS);
                self.times = if again { self.times + 1 } else { 0 };
                self.partitioned_since = Some(now);
            }
            newly
        }
    }

    fn confirm_delivery(&mut self, now: Ms) -> bool {
        self.in_vain = 0;
        let since = *self.delivering_since.get_or_insert(now);
        let pause = match self.times {
            0 => 0,
            n => (FIRST_PAUSE_MS << (n - 1).min(8)).min(AGAIN_MS),
        };
        if self.partitioned_since.is_none() || now.since(since) < pause {
            return false;
        }
        self.partitioned_since = None;
        self.delivering_since = None;
        self.back = Some(now);
        true
    }

    /// Whether the machine reports and receives nothing.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// For how long it has been.
    pub fn partitioned_ms(&self, now: Ms) -> u64 {
        self.partitioned_since.map_or(0, |since| now.since(since))
    }
}
