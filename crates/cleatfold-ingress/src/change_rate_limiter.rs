//! Our part of the changes that the state service takes.
//!
//! Changes are what runs short when a deployment grows, so what is to be changed waits in the
//! controller, where it can still be joined by more of the same job, and a transaction is only built
//! when it may go. (Built at once and queued behind others, each carried what was known when it
//! joined the queue: a job of forty tasks needed a change for nearly every one of them.)

/// What is kept back of the service's limit, for changes that nobody counted.
const MARGIN: f64 = 0.92;

/// The bucket is never overdrawn by more than so many seconds' worth. What is sent again and again while the state
/// service is away is charged each time, though it is executed once at the most: without a bound a controller paid
/// back for minutes what nobody had taken, and its ends and claims stood still meanwhile.
pub const MAX_DEBT_S: f64 = 5.0;

/// A token bucket for changes to the state service.
#[derive(Debug, Default)]
pub struct ChangeRateLimiter {
    level: f64,
    rate: f64,
    filled_ms: u64,
}

impl ChangeRateLimiter {
    /// `limit` is the whole service's, `controllers` how many live on it.
    pub fn refill(&mut self, now_ms: u64, limit: f64, controllers: usize) {
        let rate = limit * MARGIN / controllers.max(1) as f64;
        self.rate = rate;
        let passed = now_ms.saturating_sub(self.filled_ms) as f64 / 1000.0;
        self.filled_ms = now_ms;
        self.level = (self.level + rate * passed).min(rate.max(2.0));
    }

    /// A change may go. One that turns out larger overdraws; it is paid back before the next.
    pub fn is_open(&self) -> bool {
        self.level >= 1.0
    }

    /// Changes a second that are ours.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// How long one change takes to come, in milliseconds.
    pub fn ms_per_change(&self) -> u64 {
        (1000.0 / self.rate.max(0.1)) as u64
    }

    /// There is more than starts and submissions may need in the next moment, so that what can
    /// wait need not. Without this every start queued behind ends.
    pub fn is_ample(&self) -> bool {
        self.level >= (self.rate / 2.0).max(1.0)
    }

    /// Changes that starts and submissions may do without in the next moment.
    pub fn spare(&self) -> usize {
        (self.level - (self.rate / 2.0).max(1.0)).max(0.0) as usize
    }

    /// So many records at most in one transaction: what overdraws keeps everybody else waiting.
    pub fn max_changes(&self) -> usize {
        (self.level.max(0.0) as usize).max(2)
    }

    /// Takes changes out of the bucket, which they may overdraw.
    pub fn spend(&mut self, changes: usize) {
        self.level = (self.level - changes as f64).max(-self.rate * MAX_DEBT_S);
    }
}
