//! Our part of the changes that the state service takes.
//!
//! Changes are what runs short when a deployment grows, so what is to be changed waits in the
//! node, where it can still be joined by more of the same job, and a transaction is only built
//! when it may go. (Built at once and queued behind others, each carried what was known when it
//! joined the queue: a job of forty tasks needed a change for nearly every one of them.)

use cleatfold_wire::Ms;

/// What is kept back of the service's limit, for changes that nobody counted.
const MARGIN: f64 = 0.92;

/// The bucket is never overdrawn by more than so many seconds' worth. What is sent again and again while the state
/// service is away is charged each time, though it is executed once at the most: without a bound a controller paid
/// back for minutes what nobody had taken, and its ends and claims stood still meanwhile.
const MOST_DEBT_S: f64 = 5.0;

#[derive(Debug, Default)]
pub(crate) struct ChangeRateLimiter {
    level: f64,
    rate: f64,
    filled: Ms,
}

impl ChangeRateLimiter {
    /// `limit` is the whole service's, `controllers` how many live on it.
    pub fn fill(&mut self, now: Ms, limit: f64, controllers: usize) {
        let rate = limit * MARGIN / controllers.max(1) as f64;
        self.rate = rate;
        let passed = now.since(self.filled) as f64 / 1000.0;
        self.filled = now;
        self.level = (self.level + rate * passed).min(rate.max(2.0));
    }

    /// A change may go. One that turns out larger overdraws; it is paid back before the next.
    pub fn open(&self) -> bool {
        self.level >= 1.0
    }

    /// Changes a second that are ours.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    pub fn ms_per_change(&self) -> u64 {
        (1000.0 / self.rate.max(0.1)) as u64
    }

    /// There is more than starts and submissions may need in the next moment, so that what can
    /// wait need not. Without this every start queued behind ends.
    pub fn ample(&self) -> bool {
        self.level >= (self.rate / 2.0).max(1.0)
    }

    /// Changes that starts and submissions may do without in the next moment.
    pub fn spare(&self) -> usize {
        (self.level - (self.rate / 2.0).max(1.0)).max(0.0) as usize
    }

    /// So many records at most in one transaction: what overdraws keeps everybody else waiting.
    pub fn affords(&self) -> usize {
        (self.level.max(0.0) as usize).max(2)
    }

    pub fn spend(&mut self, changes: usize) {
        self.level = (self.level - changes as f64).max(-self.rate * MOST_DEBT_S);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Transactions are sent again for a minute while nothing answers; seconds after that changes go again.
    #[test]
    fn what_was_sent_again_in_vain_is_not_paid_back_for_minutes() {
        let mut rate_limiter = ChangeRateLimiter::default();
        for ms in (1000..=61_000).step_by(300) {
            rate_limiter.fill(Ms(ms), 15.0, 3);
            rate_limiter.spend(18);
        }
        let late = 61_000 + (MOST_DEBT_S as u64 + 1) * 1000;
        rate_limiter.fill(Ms(late), 15.0, 3);
        assert!(rate_limiter.open());
    }

    #[test]
    fn a_second_lets_no_more_through_than_our_part() {
        let mut rate_limiter = ChangeRateLimiter::default();
        let mut sent = 0;
        for ms in (1000..=11_000).step_by(50) {
            rate_limiter.fill(Ms(ms), 30.0, 3);
            while rate_limiter.open() {
                rate_limiter.spend(3);
                sent += 3;
            }
        }
        assert!((90..=110).contains(&sent), "{sent}");
    }
}
