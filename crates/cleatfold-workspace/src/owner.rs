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

/// The preferred owner of a team among the live controllers, by rendezvous hashing: if a controller fails, only
/// its own teams move, spread over all the others, and they return to it when it is back.
pub fn preferred_owner<'a>(
    team: &TeamId,
    live: impl Iterator<Item = &'a ControllerId>,
) -> Option<&'a ControllerId> {
    live.max_by_key(|c| (score(team, c), *c))
}

/// The rank of `me` in the team's order of preference; 0 is the preferred owner.
pub fn owner_rank(team: &TeamId, me: &ControllerId, live: &BTreeSet<ControllerId>) -> usize {
    let own_score = (score(team, me), me);
    live.iter().filter(|c| (score(team, c), *c) > own_score).count()
}
