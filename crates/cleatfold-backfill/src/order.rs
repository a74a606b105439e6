//! Queue order: what fills its group's floor, what can be of use, urgency, then work within its team's guarantee, then arrival.

use crate::resources::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{JobId, TeamId};
use std::collections::HashMap;

/// A place in the queue; the least goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// False for what a group that is not served in time gets before everybody else.
    pub beyond_floor: bool,
    /// Of such a group, and past its use: it goes behind all that can still be of some.
    pub past_use: bool,
    /// More urgent jobs go first.
    pub urgency: Urgency,
    /// Work within its team's guarantee goes first.
    pub beyond_guarantee: bool,
    /// The moment that its place stands for, perhaps moved.
    pub arrival: u64,
    /// Its durable place: of two with one moment the earlier goes first.
    pub turn: u64,
    /// Decides between jobs that are equal otherwise.
    pub id: JobId,
}

/// Keeps, per team, how much of the guarantee earlier unfinished jobs already fill. Feed it
/// the team's jobs in order of arrival.
#[derive(Debug, Default)]
pub struct Guarantees {
    left: HashMap<TeamId, Resources>,
}

impl Guarantees {
    /// Guarantees of teams, in processors and GPUs.
    pub fn new(teams: impl IntoIterator<Item = (TeamId, f64, f64)>) -> Self {
        let left = teams
            .into_iter()
            .map(|(team, cpus, gpus)| (team, Resources::new(cpus, gpus, 0.0)))
            .collect();
        Self { left }
    }

    /// Whether the job fits together with its team's earlier ones; takes its part if so.
    pub fn admit(&mut self, team: &TeamId, unfinished: Resources) -> bool {
        let Some(left) = self.left.get_mut(team) else {
            return false;
        };
        let fits = unfinished.cpus <= left.cpus && unfinished.gpus <= left.gpus;
        // An earlier job counts in full even where it does not fit itself.
        left.cpus -= unfinished.cpus;
        left.gpus -= unfinished.gpus;
        fits
    }
}
