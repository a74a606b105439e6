//! Limits the rate of changes that one controller sends to the state service.
//!
//! The change rate limits how far a deployment can grow. So requested changes wait in the
//! controller, where more changes of the same job can join them, and a transaction is only built
//! when it can be sent at once. (When transactions were built first and queued behind others, each
//! contained only the changes known at that time: a job of forty tasks needed nearly one
//! transaction per task.)

/// The share of the service's limit that controllers use; the rest is kept for changes that are not
/// counted.
const USABLE_SHARE: f64 = 0.92;

/// Limit of the bucket's debt, in seconds of refill. Resends while the state service is unavailable
/// are charged each time although at most one of them is executed. Without a limit a controller
/// paid for minutes for changes that were never executed, and its task ends and claims were delayed
/// meanwhile.
pub const MAX_DEBT_S: f64 = 5.0;

/// A token bucket for changes to the state service.
#[derive(Debug, Default)]
pub struct ChangeRateLimiter {
    tokens: f64,
    rate: f64,
    refilled_ms: u64,
}

impl ChangeRateLimiter {
    /// Adds the tokens since the last refill. `limit` is the whole service's change rate, shared by
    /// `controllers` controllers.
    pub fn refill(&mut self, now_ms: u64, limit: f64, controllers: usize) {
        let rate = limit * USABLE_SHARE / controllers.max(1) as f64;
        self.rate = rate;
        let passed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.refilled_ms = now_ms;
        self.tokens = (self.tokens + rate * passed_s).min(rate.max(2.0));
    }

    /// Whether a change may be sent. A larger one overdraws the bucket, which delays the next.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// This controller's share of the change rate, per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// The mean time between two changes at the full rate, in milliseconds.
    pub fn ms_per_change(&self) -> u64 {
        (1000.0 / self.rate.max(0.1)) as u64
    }

    /// Whether there are more tokens than starts and submissions may need soon, so that less urgent
    /// changes can be sent too. Without this reserve, starts queued behind task ends.
    pub fn has_spare_changes(&self) -> bool {
        self.tokens >= (self.rate / 2.0).max(1.0)
    }

    /// The number of changes that starts and submissions are not expected to need soon.
    pub fn spare_changes(&self) -> usize {
        (self.tokens - (self.rate / 2.0).max(1.0)).max(0.0) as usize
    }

    /// The maximum number of records in one transaction: a large overdraft delays all later ones.
    pub fn max_changes(&self) -> usize {
        (self.tokens.max(0.0) as usize).max(2)
    }

    /// Takes tokens for changes out of the bucket, which may be overdrawn.
    pub fn spend(&mut self, changes: usize) {
        self.tokens = (self.tokens - changes as f64).max(-self.rate * MAX_DEBT_S);
    }
}
