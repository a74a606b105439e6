//! Room that long work leaves for what arrives next.
//!
//! Work that runs long gives its place back late. A team that finds the region half empty could
//! fill it with such work, and everybody who comes in the next minutes would wait for it: once a guest's
//! night runs of six minutes each held two thirds of all processors while the residents' tasks of half
//! a minute waited behind them. Nothing may be stopped for those of the same urgency. So long work leaves free
//! what the others ask for all the time; short work need not, for its places are back in a moment.

use std::collections::BTreeMap;

/// Work that takes its processors so many times as long as the others' does is long.
const LONG: f64 = 3.0;
/// What the others ask for is left to them with so much to spare, for it comes unevenly.
const SPARE: f64 = 1.25;

/// What one team asks for at one urgency, all of its classes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asks<U> {
    /// The urgency of this work.
    pub urgency: U,
    /// Work that comes, per second: processors.
    pub rate: f64,
    /// How long it takes a processor, in the mean.
    pub run_s: f64,
}

/// What a team's long work may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LongWorkLimit {
    /// Tasks that run longer are long.
    pub longer_than_s: f64,
    /// The part of all processors that they may hold together.
    pub part: f64,
}

impl LongWorkLimit {
    /// Whether a task of this run time is long.
    pub fn is_long(&self, run_s: f64) -> bool {
        run_s > self.longer_than_s
    }
}

/// The room of a team's long work of this urgency; none: nobody else asks for anything that it could
/// hold up. `capacity` in processors. Teams count by heads: one without a guarantee still has half of its
/// jobs to be served.
pub fn long_work_limit<T: Ord, U: Ord + Copy>(
    asks: &BTreeMap<T, Vec<Asks<U>>>,
    capacity: f64,
    team: &T,
    urgency: U,
) -> Option<LongWorkLimit> {
    // Less urgent work can be stopped for this, or waits behind it in any case.
    let mut others: Vec<(&T, &Asks<U>)> = Vec::new();
    for (other, asks) in asks.iter().filter(|(t, _)| *t != team) {
        others.extend(asks.iter().filter(|a| a.urgency <= urgency).map(|a| (other, a)));
    }
    let rate: f64 = others.iter().map(|o| o.1.rate).sum();
    if rate < 0.01 * capacity || capacity <= 0.0 {
        return None;
    }
    let run_s = others.iter().map(|o| o.1.rate * o.1.run_s).sum::<f64>() / rate;
    let mut teams: Vec<&T> = others.iter().map(|o| o.0).collect();
    teams.dedup();
    let even = 1.0 / (1 + teams.len()) as f64;
    let left = 1.0 - SPARE * rate / capacity;
    Some(LongWorkLimit { longer_than_s: LONG * run_s, part: left.max(even).min(1.0) })
}
