//! When a transaction was sent, and what is done while its answer is missing.

use cleatfold_wire::Ms;

/// A transaction without an answer for so long is looked for in the next reading.
pub(crate) const LOOK_MS: u64 = 300;

/// When a transaction was sent, and what was done about its answer since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sent {
    pub at: Ms,
    /// A reading was asked for to look for it.
    pub looked: bool,
    /// It was sent once more.
    pub resent: bool,
}

impl Sent {
    pub fn now(at: Ms) -> Self {
        Self { at, ..Self::default() }
    }
}

/// What is to be done about a transaction without an answer.
#[derive(Debug, PartialEq)]
pub(crate) enum Step {
    Wait,
    Look,
    Settle,
    Resend,
}

impl Sent {
    /// `read`: the sending time of the newest reading that is in; `decided`: it shows that the transaction is decided.
    pub fn step(self, now: Ms, read: Option<Ms>, decided: bool) -> Step {
        let look_at = self.at.plus(LOOK_MS);
        if now < look_at {
            return Step::Wait;
        }
        match read.is_some_and(|read| read >= look_at) {
            true if decided => Step::Settle,
            true if !self.resent => Step::Resend,
            false if !self.looked => Step::Look,
            _ => Step::Wait,
        }
    }
}
