//! Selects the jobs whose polls are answered while not all can be.

use crate::pressure::Level;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// Duration of a slot. It is a little longer than the longest pause between two polls of a job
/// (PROTOCOL: about 5 s, with up to a quarter more), so that a client that polls regularly polls at
/// least once in each slot of its job. (With 6 s some missed a slot and waited for 54 s.)
pub const SLOT_MS: u64 = 6_500;
/// Number of slots in a round. A round is the longest time that a job waits for its slot.
pub const SLOTS_PER_ROUND: u64 = 5;

/// Slots in which polls of a job are answered. They are derived from the job's id and the time of
/// day, so all controllers agree on them without communication, whichever of them is polled next.
/// (With random rejection of nine in ten polls, a fifth of all jobs had every poll of 75 s
/// rejected.)
#[derive(Debug, Default)]
pub struct PollSchedule {
    slot: u64,
    /// Hashes of the jobs whose polls were answered in this slot.
    answered_jobs: HashSet<u64>,
}

/// How many slots of a round a job has.
fn slots_of_job(level: Level) -> u64 {
    match level {
        Level::Calm | Level::Busy => SLOTS_PER_ROUND,
        Level::Strained => 2,
        Level::Drowning => 1,
    }
}

/// Slots until the job's next slot; 0 if the current slot is one.
fn slots_until_next(hash: u64, level: Level, slot: u64) -> u64 {
    let offset = (slot + hash) % SLOTS_PER_ROUND;
    if offset < slots_of_job(level) {
        0
    } else {
        SLOTS_PER_ROUND - offset
    }
}

impl PollSchedule {
    /// Milliseconds until the job's next slot, or `None` during one. From the start of a slot the polls
    /// that happen to arrive are answered; rejected clients are spread over its first half.
    pub fn ms_until_slot(job: &str, level: Level, wall_ms: u64) -> Option<u64> {
        let hash = xxh3_64(job.as_bytes());
        let (slot, elapsed_ms) = (wall_ms / SLOT_MS, wall_ms % SLOT_MS);
        let slots_ahead = slots_until_next(hash, level, slot);
        (slots_ahead > 0).then(|| slots_ahead * SLOT_MS - elapsed_ms + (hash >> 32) % (SLOT_MS / 2))
    }

    /// Whether to answer a poll of the job. While not all polls can be answered, one answer per
    /// slot is enough: a job polled twenty times as often as usual takes nothing from the others.
    pub fn take_slot(&mut self, job: &str, level: Level, wall_ms: u64) -> bool {
        let slot = wall_ms / SLOT_MS;
        if slot != self.slot {
            self.slot = slot;
            self.answered_jobs.clear();
        }
        level < Level::Strained || self.answered_jobs.insert(xxh3_64(job.as_bytes()))
    }

    /// Undoes `take_slot` after an answer failed, so that the next poll is answered.
    pub fn release_slot(&mut self, job: &str) {
        self.answered_jobs.remove(&xxh3_64(job.as_bytes()));
    }
}
