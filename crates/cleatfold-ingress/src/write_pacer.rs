//! When records that several controllers write may be written: a token bucket, and backoff per record.
//!
//! Every controller that finds a shared record in need of a change writes it, guarded by its version. With many
//! such records and few changes a second, the writers spend the changes on conflicts with one another. So a
//! writer has a share of its controller's changes for them, and after a conflict or a refusal it leaves that
//! record alone for a while.

use crate::Backoff;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// What a write is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Work could start at once for it.
    Start,
    /// Something unused is given back, for others to take.
    Return,
}

/// The limits of a `WritePacer`.
#[derive(Clone, Copy, Debug)]
pub struct PacerLimits {
    /// The share of the controller's changes that is kept for these writes.
    pub share: f64,
    /// How many seconds of that share may be used at once.
    pub burst_s: f64,
    /// So many writes may be used at once, however few changes there are.
    pub least_burst: f64,
    /// Pauses after a conflict or a refusal.
    pub backoff: Backoff,
    /// A `Need::Return` gives way to each `Need::Start` that is at most so much younger.
    pub return_delay_ms: u64,
}

/// How a write of one record stands.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Since when a write is wanted; kept until one succeeds or none is wanted any more.
    wanted_since: Option<u64>,
    in_flight: bool,
    /// Failures since the last success.
    failures: u32,
    /// The backoff lasts until then.
    not_before: u64,
}

/// Decides which records a controller may write now. `K` names a record; times are milliseconds.
#[derive(Clone, Debug)]
pub struct WritePacer<K> {
    limits: PacerLimits,
    /// Makes the jitter of two controllers differ.
    seed: u64,
    tokens: f64,
    capacity: f64,
    refilled: Option<u64>,
    entries: BTreeMap<K, Entry>,
}

impl<K: Clone + Ord + Hash> WritePacer<K> {
    /// A pacer with a full bucket.
    pub fn new(seed: u64, limits: PacerLimits) -> Self {
        let capacity = limits.least_burst;
        Self { limits, seed, tokens: capacity, capacity, refilled: None, entries: BTreeMap::new() }
    }

    /// Adds the tokens of the time that has passed. `changes_per_s` are the controller's.
    pub fn refill(&mut self, now: u64, changes_per_s: f64) {
        let rate = changes_per_s * self.limits.share;
        let passed_s = now.saturating_sub(self.refilled.unwrap_or(now)) as f64 / 1000.0;
        self.refilled = Some(now);
        self.capacity = (rate * self.limits.burst_s).max(self.limits.least_burst);
        self.tokens = (self.tokens + rate * passed_s).min(self.capacity);
    }

    /// Which of the writes that are wanted may go now, the most needed first; they are in flight from then on.
    /// `wanted` are all that are wanted and not in flight; a record that is missing in it is wanted no longer.
    /// `spare` changes are needed by nobody else now: so many writes may go without a token.
    pub fn admit(&mut self, now: u64, wanted: &[(K, Need)], spare: usize) -> Vec<K> {
        self.forget_unwanted(now, wanted);
        let mut due: Vec<(u64, &K)> = Vec::new();
        for (key, need) in wanted {
            let entry = self.entries.entry(key.clone()).or_default();
            let since = *entry.wanted_since.get_or_insert(now);
            if entry.in_flight || entry.not_before > now {
                continue;
            }
            let delay = if *need == Need::Return { self.limits.return_delay_ms } else { 0 };
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

    /// The write is durable: the next one of this record is a first attempt again.
    pub fn succeeded(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// The write met a conflict or was refused; the next one of this record waits.
    pub fn failed(&mut self, now: u64, key: &K) {
        let mut entry = self.entries.get(key).copied().unwrap_or_default();
        entry.in_flight = false;
        entry.not_before = now + self.pause_ms(key, entry.failures);
        entry.failures = entry.failures.saturating_add(1);
        self.entries.insert(key.clone(), entry);
    }

    /// A write whose outcome is unknown is sent once more. It is charged, though it isn't held up: what it may
    /// have done has to be known. Returns how long to wait before.
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

    /// Keeps only what is wanted, in flight, or has failed a short time ago.
    fn forget_unwanted(&mut self, now: u64, wanted: &[(K, Need)]) {
        let wanted: BTreeSet<&K> = wanted.iter().map(|w| &w.0).collect();
        let remembered_ms = 2 * self.limits.backoff.most_ms;
        self.entries.retain(|key, entry| {
            if wanted.contains(key) || entry.in_flight {
                return true;
            }
            entry.wanted_since = None;
            entry.failures > 0 && now < entry.not_before + remembered_ms
        });
    }
}
