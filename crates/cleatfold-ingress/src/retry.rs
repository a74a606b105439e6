//! Retries towards the services we use, so that ours do not keep one down that is late.

use rand::Rng;

/// Lets a retry through for every so many calls, and a few more at the start.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    level: f64,
    per_call: f64,
    most: f64,
}

impl RetryBudget {
    /// With the given limits.
    pub fn new(per_call: f64, most: f64) -> Self {
        Self { level: most, per_call, most }
    }

    /// A call was made.
    pub fn note_call(&mut self) {
        self.level = (self.level + self.per_call).min(self.most);
    }

    /// Whether a retry may be made; then it is counted.
    pub fn take(&mut self) -> bool {
        let any = self.level >= 1.0;
        if any {
            self.level -= 1.0;
        }
        any
    }
}

/// Pauses between tries: doubled each time, and drawn, so that two who failed together do not
/// come back together.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The pause after the first failure.
    pub first_ms: u64,
    /// The longest pause.
    pub most_ms: u64,
}

impl Backoff {
    /// The pause after so many failures in a row, spread at random.
    pub fn pause_ms(&self, failures: u32, rng: &mut impl Rng) -> u64 {
        let full = self.first_ms.saturating_mul(1 << failures.min(16)).min(self.most_ms).max(2);
        rng.random_range(full / 2..=full)
    }
}

/// Stops calls to a service that does not answer, and lets a single one try now and then.
#[derive(Clone, Debug)]
pub struct Breaker {
    opens_after: u32,
    backoff: Backoff,
    failures: u32,
    opened: u32,
    /// Closed to calls until then.
    until: Option<u64>,
    /// A try is under way.
    trying: bool,
}

impl Breaker {
    /// With the given limits.
    pub fn new(opens_after: u32, backoff: Backoff) -> Self {
        Self { opens_after, backoff, failures: 0, opened: 0, until: None, trying: false }
    }

    /// Whether a call may go now.
    pub fn admits(&mut self, now: u64) -> bool {
        match self.until {
            None => true,
            Some(until) if now >= until && !self.trying => {
                self.trying = true;
                true
            }
            Some(_) => false,
        }
    }

    /// Whether the service is taken to be down.
    pub fn is_open(&self) -> bool {
        self.until.is_some()
    }

    /// What came of a call.
    pub fn note(&mut self, now: u64, answered: bool, rng: &mut impl Rng) {
        if answered {
            (self.failures, self.opened, self.until, self.trying) = (0, 0, None, false);
            return;
        }
        self.failures += 1;
        let tried = std::mem::take(&mut self.trying);
        if tried || (self.until.is_none() && self.failures >= self.opens_after) {
            self.until = Some(now + self.backoff.pause_ms(self.opened, rng));
            self.opened += 1;
        }
    }
}
