//! When a transaction was sent, and what is done while its answer is missing.

use cleatfold_wire::Ms;

/// A transaction without an answer for so long is looked for in the next reading.
pub(crate) const UNANSWERED_AFTER_MS: u64 = 300;

/// When a transaction was sent, and what was done about its answer since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sent {
    pub at: Ms,
    /// A reading was asked for to look for it.
    pub queried: bool,
    /// It was sent once more.
    pub resent: bool,
}

impl Sent {
    pub(crate) fn now(at: Ms) -> Self {
        Self { at, ..Self::default() }
    }
}

/// What is to be done about a transaction without an answer.
#[derive(Debug, PartialEq)]
pub(crate) enum UnansweredAction {
    Wait,
    Read,
    Resolve,
    Resend,
}

impl Sent {
    /// `read`: the sending time of the newest reading that is in; `decided`: it shows that the transaction is decided.
    pub(crate) fn step(self, now: Ms, read: Option<Ms>, decided: bool) -> UnansweredAction {
        let look_at = self.at.plus(UNANSWERED_AFTER_MS);
        if now < look_at {
            return UnansweredAction::Wait;
        }
        match read.is_some_and(|read| read >= look_at) {
            true if decided => UnansweredAction::Resolve,
            true if !self.resent => UnansweredAction::Resend,
            false if !self.queried => UnansweredAction::Read,
            _ => UnansweredAction::Wait,
        }
    }
}
