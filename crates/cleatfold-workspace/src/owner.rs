//! Which controller should own a team's workspace.

use cleatfold_wire::{ControllerId, TeamId};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn score(team: &TeamId, controller: &ControllerId) -> u64 {
    xxh3_64_with_seed(
        controller.as_str().as_bytes(),
        xxh3_64_with_seed(team.as_str().as_bytes(), 0),
    )
}

/// The live controllers' order for a team (rendezvous hashing): whoever is gone leaves only its own teams
/// to others, spread over all of them, and gets just those back.
pub fn preferred_owner<'a>(
    team: &TeamId,
    live: impl Iterator<Item = &'a ControllerId>,
) -> Option<&'a ControllerId> {
    live.max_by_key(|n| (score(team, n), *n))
}

/// The place of `me` in that order.
pub fn owner_rank(team: &TeamId, me: &ControllerId, live: &BTreeSet<ControllerId>) -> usize {
    let mine = (score(team, me), me);
    live.iter().filter(|n| (score(team, n), *n) > mine).count()
}
