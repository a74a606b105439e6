//! Paces writes of records that several controllers write: a token bucket, and backoff per record.
//!
//! Every controller that finds a shared record in need of a change writes it, guarded by its
//! version. With many such records and a low change rate, the writers spend the changes on
//! conflicts with one another. So these writes get a share of the controller's change rate, and
//! after a conflict or a rejection the record is not written again before a pause.

use crate::Backoff;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// The purpose of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WritePurpose {
    /// The write lets work start at once.
    Start,
    /// The write returns unused resources for others to take.
    Return,
}

/// The limits of a `WritePacer`.
#[derive(Clone, Copy, Debug)]
pub struct PacerLimits {
    /// The share of the controller's change rate that is reserved for these writes.
    pub share: f64,
    /// How many seconds of that share a burst may use.
    pub burst_s: f64,
    /// Minimum burst in writes, however low the change rate is.
    pub min_burst: f64,
    /// Pauses after a conflict or a rejection.
    pub backoff: Backoff,
    /// A `WritePurpose::Return` yields to each `WritePurpose::Start` requested at most this much
    /// later.
    pub return_delay_ms: u64,
}

/// The write state of one record.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Since when a write is wanted; kept until one succeeds or none is wanted any more.
    wanted_since: Option<u64>,
    in_flight: bool,
    /// Failures since the last success.
    failures: u32,
    /// When the backoff ends.
    retry_at: u64,
}

/// Decides which records a controller may write now. `K` identifies a record; times are
/// milliseconds.
#[derive(Clone, Debug)]
pub struct WritePacer<K> {
    limits: PacerLimits,
    /// Seed of the jitter, different for each controller.
    seed: u64,
    tokens: f64,
    capacity: f64,
    refilled_at: Option<u64>,
    entries: BTreeMap<K, Entry>,
}

impl<K: Clone + Ord + Hash> WritePacer<K> {
    /// Creates a pacer with a full bucket.
    pub fn new(seed: u64, limits: PacerLimits) -> Self {
        let capacity = limits.min_burst;
        Self {
            limits,
            seed,
            tokens: capacity,
            capacity,
            refilled_at: None,
            entries: BTreeMap::new(),
        }
    }

    /// Adds the tokens since the last refill. `changes_per_s` is the controller's change rate.
    pub fn refill(&mut self, now: u64, changes_per_s: f64) {
        let rate = changes_per_s * self.limits.share;
        let passed_s = now.saturating_sub(self.refilled_at.unwrap_or(now)) as f64 / 1000.0;
        self.refilled_at = Some(now);
        self.capacity = (rate * self.limits.burst_s).max(self.limits.min_burst);
        self.tokens = (self.tokens + rate * passed_s).min(self.capacity);
    }

    /// Returns the wanted writes to send now, the most urgent first, and marks them as in flight.
    /// `wanted` lists all writes that are wanted and not in flight; a record missing from it is no
    /// longer wanted. `spare` is the number of changes that no other writes need now: as many
    /// writes may be sent without a token.
    pub fn admit(&mut self, now: u64, wanted: &[(K, WritePurpose)], spare: usize) -> Vec<K> {
        self.remove_unwanted(now, wanted);
        let mut due: Vec<(u64, &K)> = Vec::new();
        for (key, purpose) in wanted {
            let entry = self.entries.entry(key.clone()).or_default();
            let since = *entry.wanted_since.get_or_insert(now);
            if entry.in_flight || entry.retry_at > now {
                continue;
            }
            let delay =
                if *purpose == WritePurpose::Return { self.limits.return_delay_ms } else { 0 };
            due.push((since + delay, key));
        }
        due.sort();
        let mut spare = spare;
        let mut admitted = Vec::new();
        for (_, key) in due {
            if self.tokens >= 1.0 {
                self.tokens -= 1.0;
            } else if spare > 0 {
                spare -= 1;
            } else {
                break;
            }
            if let Some(entry) = self.entries.get_mut(key) {
                entry.in_flight = true;
            }
            admitted.push(key.clone());
        }
        admitted
    }

    /// Records that the write is durable: the next one of this record is a first attempt again.
    pub fn succeeded(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// Records a conflict or a rejection: the next write of this record waits for the backoff.
    pub fn failed(&mut self, now: u64, key: &K) {
        let mut entry = self.entries.get(key).copied().unwrap_or_default();
        entry.in_flight = false;
        entry.retry_at = now + self.pause_ms(key, entry.failures);
        entry.failures = entry.failures.saturating_add(1);
        self.entries.insert(key.clone(), entry);
    }

    /// Charges for the resend of a write whose outcome is unknown, and returns the pause before it.
    /// The resend does not wait for a token, because the outcome must be determined.
    pub fn resend(&mut self, key: &K) -> u64 {
        self.tokens = (self.tokens - 1.0).max(-self.capacity);
        let failures = self.entries.get(key).map_or(0, |entry| entry.failures);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.failures = entry.failures.saturating_add(1);
        }
        self.pause_ms(key, failures)
    }

    fn pause_ms(&self, key: &K, failures: u32) -> u64 {
        let mut hasher = Xxh3::with_seed(self.seed);
        key.hash(&mut hasher);
        failures.hash(&mut hasher);
        let mut jitter = SmallRng::seed_from_u64(hasher.finish());
        self.limits.backoff.pause_ms(failures, &mut jitter)
    }

    /// Keeps only entries that are wanted, in flight, or have failed recently.
    fn remove_unwanted(&mut self, now: u64, wanted: &[(K, WritePurpose)]) {
        let wanted: BTreeSet<&K> = wanted.iter().map(|w| &w.0).collect();
        let retention_ms = 2 * self.limits.backoff.max_ms;
        self.entries.retain(|key, entry| {
            if wanted.contains(key) || entry.in_flight {
                return true;
            }
            entry.wanted_since = None;
            entry.failures > 0 && now < entry.retry_at + retention_ms
        });
    }
}
