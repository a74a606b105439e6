//! Limits the capacity that a team's long-running tasks may hold, so that other teams' next tasks can start.
//!
//! Long-running tasks release their processors late. A team that finds the region half empty could fill it with such
//! tasks, and all work that arrives in the next minutes would wait for them: a guest team's six-minute tasks once
//! held two thirds of all processors while the resident teams' tasks of half a minute waited. Tasks are not preempted
//! for others of the same urgency. Long-running tasks therefore leave free the capacity that the other teams
//! continuously demand; short tasks need not, since they release their processors soon.

use std::collections::BTreeMap;

/// A task is long-running if it runs this many times as long as the other teams' mean task.
const LONG_RUN_FACTOR: f64 = 3.0;
/// Factor on the other teams' demand to leave free, since their work arrives unevenly.
const DEMAND_HEADROOM: f64 = 1.25;

/// The demand of one team at one urgency, as measured for one of its classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamDemand<U> {
    /// The urgency of this work.
    pub urgency: U,
    /// Arriving work in processor-seconds per second, that is, in processors.
    pub rate: f64,
    /// Mean run time of its tasks, weighted by their work.
    pub run_s: f64,
}

/// The limit on a team's long-running tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LongWorkLimit {
    /// Run time above which a task is long-running.
    pub longer_than_s: f64,
    /// Share of all processors that long-running tasks of the team may hold together.
    pub capacity_share: f64,
}

impl LongWorkLimit {
    /// Whether a task of this run time is long-running.
    pub fn is_long(&self, run_s: f64) -> bool {
        run_s > self.longer_than_s
    }
}

/// The limit for a team's long-running tasks of this urgency; `None` if they cannot delay work of any other team.
/// `capacity` is in processors. All teams count equally, since half of the jobs of a team without a guarantee must be
/// served, too.
pub fn long_work_limit<T: Ord, U: Ord + Copy>(
    demands: &BTreeMap<T, Vec<TeamDemand<U>>>,
    capacity: f64,
    team: &T,
    urgency: U,
) -> Option<LongWorkLimit> {
    // Less urgent work can be preempted for this work or is queued behind it anyway.
    let mut others: Vec<(&T, &TeamDemand<U>)> = Vec::new();
    for (other, team_demands) in demands.iter().filter(|(t, _)| *t != team) {
        others.extend(team_demands.iter().filter(|a| a.urgency <= urgency).map(|a| (other, a)));
    }
    let rate: f64 = others.iter().map(|o| o.1.rate).sum();
    if rate < 0.01 * capacity || capacity <= 0.0 {
        return None;
    }
    let run_s = others.iter().map(|o| o.1.rate * o.1.run_s).sum::<f64>() / rate;
    let mut teams: Vec<&T> = others.iter().map(|o| o.0).collect();
    teams.dedup();
    let equal_share = 1.0 / (1 + teams.len()) as f64;
    let unclaimed_share = 1.0 - DEMAND_HEADROOM * rate / capacity;
    Some(LongWorkLimit {
        longer_than_s: LONG_RUN_FACTOR * run_s,
        capacity_share: unclaimed_share.max(equal_share).min(1.0),
    })
}
