//! Whether a machine hears what it is told.
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
struct Told {
    at: Ms,
    /// Our token was news to it.
    token: bool,
    signs: Vec<Sign>,
}

/// One machine's hearing, as its pool's owner sees it.
#[derive(Clone, Debug, Default)]
pub struct Ears {
    told: Option<Told>,
    in_vain: u32,
    deaf_since: Option<Ms>,
    /// When it was last taken back, and how often it has been deaf before.
    back: Option<Ms>,
    times: u32,
    /// While deaf: since when it has heard again.
    hears_since: Option<Ms>,
}

impl Ears {
    /// A report was answered: with a token it had not seen, if so, and with these orders.
    pub fn told(&mut self, now: Ms, new_token: bool, commands: &[Command]) {
        let sign = |c: &Command| match c {
            Command::Start { task, attempt, .. } => Sign::Listed(task.clone(), *attempt),
            Command::Stop { task, attempt, .. } => Sign::NotRunning(task.clone(), *attempt),
            Command::Forget { task, attempt } => Sign::NotListed(task.clone(), *attempt),
        };
        let signs = commands.iter().take(8).map(sign).collect();
        self.told = Some(Told { at: now, token: new_token, signs });
    }

    /// The answer waited for orders and goes only now.
    pub fn told_late(&mut self, now: Ms, commands: &[Command]) {
        let token = self.told.as_ref().is_some_and(|t| t.token);
        self.told(now, token, commands);
    }

    /// We were late ourselves: what shows or does not says nothing.
    pub fn excuse(&mut self) {
        self.told = None;
    }

    /// A newer report came. `has_token`: it carries our token. True if whether it is deaf has changed.
    pub fn reports(
        &mut self,
        now: Ms,
        report_ms: u64,
        has_token: bool,
        tasks: &[TaskReport],
    ) -> bool {
        let Some(told) = self.told.take() else { return false };
        let passed = now.since(told.at);
        let expected = told.token || !told.signs.is_empty();
        let find = |task: &TaskId, attempt: Attempt| {
            tasks.iter().find(|t| t.task == *task && t.attempt == attempt)
        };
        let shows = |sign: &Sign| match sign {
            Sign::Listed(task, attempt) => find(task, *attempt).is_some(),
            Sign::NotRunning(task, attempt) => find(task, *attempt)
                .is_none_or(|t| matches!(t.state, TaskState::Exited | TaskState::Saving)),
            Sign::NotListed(task, attempt) => find(task, *attempt).is_none(),
        };
        let shown = (told.token && has_token) || told.signs.iter().any(shows);
        // It reports within its interval of an answer, and sooner when something changes.
        let interval_kept = passed <= report_ms * 5 / 4 + 1500;
        if shown || (!expected && (passed < GIVES_UP_MS || interval_kept)) {
            self.hears(now)
        } else if passed < GIVES_UP_MS {
            // An answer that was lost on the way: the next one will tell.
            false
        } else {
            self.hears_since = None;
            self.in_vain += 1;
            let newly = self.in_vain >= IN_VAIN && self.deaf_since.is_none();
            if newly {
                let again = self.back.is_some_and(|at| now.since(at) < AGAIN_MS);
                self.times = if again { self.times + 1 } else { 0 };
                self.deaf_since = Some(now);
            }
            newly
        }
    }

    fn hears(&mut self, now: Ms) -> bool {
        self.in_vain = 0;
        let since = *self.hears_since.get_or_insert(now);
        let pause = match self.times {
            0 => 0,
            n => (FIRST_PAUSE_MS << (n - 1).min(8)).min(AGAIN_MS),
        };
        if self.deaf_since.is_none() || now.since(since) < pause {
            return false;
        }
        self.deaf_since = None;
        self.hears_since = None;
        self.back = Some(now);
        true
    }

    pub fn is_deaf(&self) -> bool {
        self.deaf_since.is_some()
    }

    /// For how long it has been.
    pub fn deaf_ms(&self, now: Ms) -> u64 {
        self.deaf_since.map_or(0, |since| now.since(since))
    }
}
