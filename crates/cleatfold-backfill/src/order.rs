//! Queue order: first jobs that fill the guaranteed minimum of their group, then jobs that can still
//! be of use, then by urgency, by the team's guarantee and by arrival.

use crate::resources::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{JobId, TeamId};
use std::collections::HashMap;

/// Sort key of a queued job; the smallest is scheduled first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// False for jobs that fill the guaranteed minimum of an overloaded group: they go before all
    /// others.
    pub beyond_floor: bool,
    /// A job of an overloaded group that can no longer be of use: it goes after all jobs that can.
    pub past_patience: bool,
    /// Jobs of higher urgency go first.
    pub urgency: Urgency,
    /// Jobs within their team's guarantee go first.
    pub beyond_guarantee: bool,
    /// Arrival time that the job is ordered by; overload control may shift it.
    pub arrival: u64,
    /// Revision at which the job was accepted; breaks ties between equal arrival times.
    pub acceptance_revision: u64,
    /// Breaks the remaining ties.
    pub id: JobId,
}

/// Tracks how much of each team's guarantee is left by earlier unfinished jobs. A team's jobs must
/// be passed in order of arrival.
#[derive(Debug, Default)]
pub struct Guarantees {
    remaining: HashMap<TeamId, Resources>,
}

impl Guarantees {
    /// Creates the guarantees from (team, processors, GPUs).
    pub fn new(teams: impl IntoIterator<Item = (TeamId, f64, f64)>) -> Self {
        let remaining = teams
            .into_iter()
            .map(|(team, cpus, gpus)| (team, Resources::new(cpus, gpus, 0.0)))
            .collect();
        Self { remaining }
    }

    /// Whether the job fits into its team's guarantee together with the team's earlier jobs. Its
    /// unfinished work is deducted in either case.
    pub fn admit(&mut self, team: &TeamId, unfinished: Resources) -> bool {
        let Some(remaining) = self.remaining.get_mut(team) else {
            return false;
        };
        let fits = unfinished.cpus <= remaining.cpus && unfinished.gpus <= remaining.gpus;
        // A job is deducted in full even if it does not fit itself.
        remaining.cpus -= unfinished.cpus;
        remaining.gpus -= unfinished.gpus;
        fits
    }
}
