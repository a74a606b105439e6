//! Measures how far a process is behind its schedule.

use rand::Rng;

/// Levels of pressure; a higher level is worse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// All work is done in time.
    #[default]
    Calm,
    /// Some work is late: expensive work that is not urgent is done less often.
    Busy,
    /// Work is late all the time: only a part of the polls is answered.
    Strained,
    /// Hardly any work is done in time: only workers, cancellations and submissions are served.
    Drowning,
}

/// Pressure measured by the lateness of timer ticks, by which every timer and every answer of the
/// process is late, whatever the cause.
#[derive(Debug, Default)]
pub struct Pressure {
    /// Smoothed lateness: rises at once and falls within seconds.
    lateness_ms: f64,
    updated_at: u64,
    level: Level,
}

/// Lateness in milliseconds at which a level begins.
const LEVEL_THRESHOLDS_MS: [(Level, f64); 3] =
    [(Level::Drowning, 1500.0), (Level::Strained, 500.0), (Level::Busy, 150.0)];
/// A level ends below this fraction of its threshold, so that it does not oscillate.
const EXIT_FACTOR: f64 = 0.6;
/// Half-life of the smoothed lateness.
const LATENESS_HALF_LIFE_MS: f64 = 1000.0;
/// A tick later than this shows a paused process instead of load. (Counted as load, a pause led to
/// `Drowning` and to the rejection of nearly all polls for a second.)
const PROCESS_PAUSE_MS: u64 = 4000;

impl Pressure {
    /// Records a tick that came `late_ms` late, while the oldest request had waited
    /// `oldest_request_ms`.
    pub fn record_tick(&mut self, now: u64, late_ms: u64, oldest_request_ms: u64) {
        let passed_ms = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        self.lateness_ms *= 0.5f64.powf(passed_ms / LATENESS_HALF_LIFE_MS);
        let late_ms = if late_ms > PROCESS_PAUSE_MS { 0 } else { late_ms };
        let observed_ms = late_ms.max(oldest_request_ms / 2).min(PROCESS_PAUSE_MS) as f64;
        // A single late tick counts half; lateness counts in full only if it persists.
        self.lateness_ms = self.lateness_ms.max(observed_ms * 0.5 + self.lateness_ms * 0.5);
        let reached = |factor: f64| {
            let level = LEVEL_THRESHOLDS_MS
                .iter()
                .find(|(_, threshold_ms)| self.lateness_ms >= threshold_ms * factor);
            level.map_or(Level::Calm, |(level, _)| *level)
        };
        self.level = reached(1.0).max(self.level.min(reached(EXIT_FACTOR)));
    }

    /// The current level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// The factor by which pauses between expensive operations are extended.
    pub fn backpressure(&self) -> u64 {
        match self.level {
            Level::Calm => 1,
            Level::Busy => 2,
            Level::Strained => 4,
            Level::Drowning => 8,
        }
    }

    /// When a rejected client should retry: later at a higher level, and randomized so that clients
    /// do not retry together.
    pub fn retry_after_s(&self, rng: &mut impl Rng) -> u32 {
        let max_s = 1 + self.backpressure() as u32;
        rng.random_range(1..=max_s)
    }
}
