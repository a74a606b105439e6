//! The sending status of a transaction, and the next action while its reply is missing.

use cleatfold_wire::Ms;

/// Age at which a transaction without a reply is looked up in the next read.
pub(crate) const UNANSWERED_AFTER_MS: u64 = 300;

/// When a transaction was sent, and which actions were taken since because its reply is missing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendStatus {
    pub at: Ms,
    /// A read was requested to look the transaction up.
    pub queried: bool,
    /// The transaction was sent a second time.
    pub resent: bool,
}

impl SendStatus {
    pub(crate) fn new(at: Ms) -> Self {
        Self { at, ..Self::default() }
    }
}

/// The next action for a transaction without a reply.
#[derive(Debug, PartialEq)]
pub(crate) enum UnansweredAction {
    /// None for now.
    Wait,
    /// Request a read of the state service.
    Read,
    /// Determine the outcome from the cache.
    Resolve,
    /// Send the transaction a second time.
    Resend,
}

impl SendStatus {
    /// The next action. `last_read_at` is the sending time of the newest completed read;
    /// `is_decided` says whether that read shows that the transaction was applied or no longer can
    /// be.
    pub(crate) fn next_action(
        self,
        now: Ms,
        last_read_at: Option<Ms>,
        is_decided: bool,
    ) -> UnansweredAction {
        let overdue_at = self.at.plus(UNANSWERED_AFTER_MS);
        if now < overdue_at {
            return UnansweredAction::Wait;
        }
        match last_read_at.is_some_and(|read_at| read_at >= overdue_at) {
            true if is_decided => UnansweredAction::Resolve,
            true if !self.resent => UnansweredAction::Resend,
            false if !self.queried => UnansweredAction::Read,
            _ => UnansweredAction::Wait,
        }
    }
}
