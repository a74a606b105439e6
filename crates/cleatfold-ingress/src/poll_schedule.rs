//! Whose turn it is to be told how his job is, when not all can be.

use crate::pressure::Level;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// A turn is a little longer than the longest pause between two questions about a job (PROTOCOL: roughly 5 s, so up to
/// a quarter more), so whoever asks regularly asks at least once in each of his turns. (With 6 s some missed a turn, and
/// waited for 54 s.)
pub const TURN_MS: u64 = 6_500;
/// So many turns make a round: the longest that a job waits for its turn.
pub const ROUND: u64 = 5;

/// Turns in which polls of a job are answered. They follow from the job's id and the time of day, so that all controllers agree on them without a
/// word, and so does whoever is asked next. (Turned away at random, nine of ten, a fifth of all jobs had
/// every question of 75 s refused.)
#[derive(Debug, Default)]
pub struct PollSchedule {
    number: u64,
    /// Jobs that were told about in this turn.
    answered_jobs: HashSet<u64>,
}

/// How many of a round's turns a job has.
fn open(level: Level) -> u64 {
    match level {
        Level::Calm | Level::Busy => ROUND,
        Level::Strained => 2,
        Level::Drowning => 1,
    }
}

/// Turns until one of the job's is there; 0: now.
fn ahead(hash: u64, level: Level, number: u64) -> u64 {
    let place = (number + hash) % ROUND;
    if place < open(level) {
        0
    } else {
        ROUND - place
    }
}

impl PollSchedule {
    /// Milliseconds until the job's turn; none: it is now. The first moments of a turn belong to those who
    /// happen to ask; who is sent away is spread over its first half.
    pub fn wait_ms(job: &str, level: Level, wall_ms: u64) -> Option<u64> {
        let hash = xxh3_64(job.as_bytes());
        let (number, into) = (wall_ms / TURN_MS, wall_ms % TURN_MS);
        let ahead = ahead(hash, level, number);
        (ahead > 0).then(|| ahead * TURN_MS - into + (hash >> 32) % (TURN_MS / 2))
    }

    /// Once a turn is enough while not all can be answered: a job asked about twenty times as often as
    /// usual takes nothing from the others. False: it was told about already.
    pub fn take(&mut self, job: &str, level: Level, wall_ms: u64) -> bool {
        let number = wall_ms / TURN_MS;
        if number != self.number {
            self.number = number;
            self.answered_jobs.clear();
        }
        level < Level::Strained || self.answered_jobs.insert(xxh3_64(job.as_bytes()))
    }

    /// The answer did not come about: whoever asks next has the turn.
    pub fn give_back(&mut self, job: &str) {
        self.answered_jobs.remove(&xxh3_64(job.as_bytes()));
    }
}
