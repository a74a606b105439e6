//! How far a process is behind.

use rand::Rng;

/// Ordered: a higher level is worse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// In time.
    #[default]
    Calm,
    /// Behind now and then: what costs much and is not urgent is done less often.
    Busy,
    /// Behind all the time: polls are thinned out.
    Strained,
    /// Hardly anything is in time: only workers, cancellations and submissions.
    Drowning,
}

/// Measured, not guessed: how late the clock's ticks come is what every timer and every answer
/// of the process is late by, whatever the reason.
#[derive(Debug, Default)]
pub struct Pressure {
    /// Lateness in milliseconds, smoothed: it rises at once and falls within seconds.
    late: f64,
    at: u64,
    level: Level,
}

/// Milliseconds of lateness at which a level begins.
const BEGINS: [(Level, f64); 3] =
    [(Level::Drowning, 1500.0), (Level::Strained, 500.0), (Level::Busy, 150.0)];
/// A level is left again below this part of what began it, so that it does not flutter.
const LEFT: f64 = 0.6;
/// Lateness is forgotten by half in so many milliseconds.
const HALF_MS: f64 = 1000.0;
/// A tick that is later than this is no load: the process was frozen, and goes on. (It passed for
/// drowning once, and refused nearly every poll for a second.)
const FROZEN_MS: u64 = 4000;

impl Pressure {
    /// A tick came `late_ms` after its time; the oldest request has waited `oldest_ms`.
    pub fn note(&mut self, now: u64, late_ms: u64, oldest_ms: u64) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = now;
        self.late *= 0.5f64.powf(passed / HALF_MS);
        let late_ms = if late_ms > FROZEN_MS { 0 } else { late_ms };
        let seen = late_ms.max(oldest_ms / 2).min(FROZEN_MS) as f64;
        // A single late tick is a hiccup; it counts in full only if it goes on.
        self.late = self.late.max(seen * 0.5 + self.late * 0.5);
        let reached = |factor: f64| {
            let found = BEGINS.iter().find(|(_, begins)| self.late >= begins * factor);
            found.map_or(Level::Calm, |(level, _)| *level)
        };
        self.level = reached(1.0).max(self.level.min(reached(LEFT)));
    }

    /// The level of pressure.
    pub fn level(&self) -> Level {
        self.level
    }

    /// How many times as long the pauses between costly things should be.
    pub fn backpressure(&self) -> u64 {
        match self.level {
            Level::Calm => 1,
            Level::Busy => 2,
            Level::Strained => 4,
            Level::Drowning => 8,
        }
    }

    /// When whoever is turned away should come back: later under more pressure, and spread, or
    /// all would come back together.
    pub fn retry_after_s(&self, rng: &mut impl Rng) -> u32 {
        let most = 1 + self.backpressure() as u32;
        rng.random_range(1..=most)
    }
}
