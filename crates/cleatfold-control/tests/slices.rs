//! Many teams with limits, several controllers and few changes a second: moving slices of the limits must leave the
//! changes to starts and ends.

mod scenario;

use cleatfold_testbed::world::{team_id, ChangeKind, Size, World};
use scenario::{ends_well, plain, run_for};

/// Ninety limited teams share four pools and 24 changes a second, of which more are refused.
const CROWDED: Size = Size {
    controllers: 4,
    teams: 90,
    all_limited: true,
    limit_cpus: 8.0,
    machines: 60,
    changes_per_s: 24.0,
    most_jobs: 0,
    ..Size::SMALL
};

const MEASURED_S: u64 = 60;

/// What the changes of some time were spent on.
#[derive(Clone, Copy, Debug)]
struct Spent {
    slices: u64,
    conflicts: u64,
    changes: u64,
    refused: u64,
    started: u32,
}

impl Spent {
    fn until_now(world: &World) -> Self {
        Self {
            slices: world.written.of(ChangeKind::Slice),
            conflicts: world.written.of(ChangeKind::Conflict),
            changes: world.written.total(),
            refused: world.refused_changes,
            started: world.started,
        }
    }

    fn since(self, before: Self) -> Self {
        Self {
            slices: self.slices - before.slices,
            conflicts: self.conflicts - before.conflicts,
            changes: self.changes - before.changes,
            refused: self.refused - before.refused,
            started: self.started - before.started,
        }
    }
}

/// A region whose machines come when every team's work waits already, so that each pool wants a slice of every limit
/// at once.
fn crowded(seed: u64) -> World {
    let mut world = World::sized(seed, false, CROWDED);
    world.poll_everything();
    world.refuses_above_rate = true;
    world.cloud.capacity = 0;
    run_for(&mut world, 4_000);
    for team in 0..CROWDED.teams {
        let mut spec = plain(&mut world, 20, 5.0);
        (spec.team, spec.cpus) = (team_id(team), 1.0);
        world.submit(team % CROWDED.controllers, spec);
        run_for(&mut world, 100);
    }
    run_for(&mut world, 15_000);
    world.cloud.capacity = CROWDED.machines;
    world
}

/// Each controller wrote every team's slice at each look, and again shortly after a refusal or a conflict: nearly all
/// changes went to slices, many were refused, and nothing started. Seen to fail without the pacer.
#[test]
fn slices_of_many_teams_leave_the_changes_to_the_work() {
    for seed in 1..4 {
        let mut world = crowded(seed);
        let before = Spent::until_now(&world);
        run_for(&mut world, MEASURED_S * 1_000);
        let spent = Spent::until_now(&world).since(before);
        println!("seed {seed}, {MEASURED_S} s: {spent:?}");
        assert!(spent.started >= 600, "seed {seed}: {spent:?}");
        assert!(spent.slices * 2 <= spent.changes, "seed {seed}: {spent:?}");
        assert!(spent.conflicts <= MEASURED_S, "seed {seed}: {spent:?}");
        assert!(spent.refused <= MEASURED_S, "seed {seed}: {spent:?}");
        ends_well(&mut world, 300_000, &format!("seed {seed}"));
        let longest_ms = world.starvation.longest_ms;
        assert!(longest_ms < 90_000, "seed {seed}: a job waited {longest_ms} ms beside room");
    }
}
