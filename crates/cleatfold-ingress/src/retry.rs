//! Limits retries, so that they do not keep a slow service overloaded.

use rand::Rng;

/// A budget that allows retries in proportion to calls, and some at the start.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    tokens_per_call: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget: each call adds `tokens_per_call`, up to `max_tokens`.
    pub fn new(tokens_per_call: f64, max_tokens: f64) -> Self {
        Self { tokens: max_tokens, tokens_per_call, max_tokens }
    }

    /// Records a call.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_call).min(self.max_tokens);
    }

    /// Takes a token for a retry; returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Exponential backoff with random jitter, so that clients that failed together do not retry
/// together.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The upper bound of the pause after the first failure.
    pub first_ms: u64,
    /// The upper bound of all pauses.
    pub max_ms: u64,
}

impl Backoff {
    /// The pause after `failures` failures in a row: a random value between half of the bound and
    /// the bound.
    pub fn pause_ms(&self, failures: u32, rng: &mut impl Rng) -> u64 {
        let pause_ms = self.first_ms.saturating_mul(1 << failures.min(16)).min(self.max_ms).max(2);
        rng.random_range(pause_ms / 2..=pause_ms)
    }
}

/// Stops calls to a service that does not answer, and allows a single trial call now and then.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    max_failures: u32,
    backoff: Backoff,
    failures: u32,
    open_count: u32,
    /// While open: when the next trial call is allowed.
    open_until: Option<u64>,
    /// Whether a trial call is in flight.
    trial_in_flight: bool,
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker that opens after `max_failures` failures in a row.
    pub fn new(max_failures: u32, backoff: Backoff) -> Self {
        Self {
            max_failures,
            backoff,
            failures: 0,
            open_count: 0,
            open_until: None,
            trial_in_flight: false,
        }
    }

    /// Whether a call may be made now.
    pub fn allows_call(&mut self, now: u64) -> bool {
        match self.open_until {
            None => true,
            Some(until) if now >= until && !self.trial_in_flight => {
                self.trial_in_flight = true;
                true
            }
            Some(_) => false,
        }
    }

    /// Whether the service counts as unavailable.
    pub fn is_open(&self) -> bool {
        self.open_until.is_some()
    }

    /// Records the result of a call.
    pub fn record_result(&mut self, now: u64, answered: bool, rng: &mut impl Rng) {
        if answered {
            (self.failures, self.open_count, self.open_until, self.trial_in_flight) =
                (0, 0, None, false);
            return;
        }
        self.failures += 1;
        let was_trial = std::mem::take(&mut self.trial_in_flight);
        if was_trial || (self.open_until.is_none() && self.failures >= self.max_failures) {
            self.open_until = Some(now + self.backoff.pause_ms(self.open_count, rng));
            self.open_count += 1;
        }
    }
}
