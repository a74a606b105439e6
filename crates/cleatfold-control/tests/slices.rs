//! Many teams with limits, several controllers and a low change rate: moving slices of the limits must leave most of the
//! change budget to task starts and ends.

mod scenario;

use cleatfold_testbed::world::{team_id, ChangeKind, Size, World};
use scenario::{assert_all_jobs_end, plain_job, run_for};

/// Ninety limited teams share four pools and 24 changes per second; changes above this rate are refused.
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

const MEASUREMENT_S: u64 = 60;

/// Counts of store changes by purpose, and of started tasks.
#[derive(Clone, Copy, Debug)]
struct ChangeCounts {
    slices: u64,
    conflicts: u64,
    changes: u64,
    refused: u64,
    started: u32,
}

impl ChangeCounts {
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

/// A region whose machines become available when jobs of every team are already queued, so that each pool requests a slice
/// of every limit at once.
fn crowded_region(seed: u64) -> World {
    let mut world = World::sized(seed, false, CROWDED);
    world.poll_everything();
    world.refuses_above_rate = true;
    world.cloud.capacity = 0;
    run_for(&mut world, 4_000);
    for team in 0..CROWDED.teams {
        let mut spec = plain_job(&mut world, 20, 5.0);
        (spec.team, spec.cpus) = (team_id(team), 1.0);
        world.submit(team % CROWDED.controllers, spec);
        run_for(&mut world, 100);
    }
    run_for(&mut world, 15_000);
    world.cloud.capacity = CROWDED.machines;
    world
}

/// Guards against each controller writing every team's slice at each check, and again shortly after a refusal or a conflict:
/// nearly all changes were slice writes, many were refused, and no task started. Fails without the pacer.
#[test]
fn slice_writes_leave_budget_for_tasks() {
    for seed in 1..4 {
        let mut world = crowded_region(seed);
        let before = ChangeCounts::until_now(&world);
        run_for(&mut world, MEASUREMENT_S * 1_000);
        let counts = ChangeCounts::until_now(&world).since(before);
        println!("seed {seed}, {MEASUREMENT_S} s: {counts:?}");
        assert!(counts.started >= 600, "seed {seed}: {counts:?}");
        assert!(counts.slices * 2 <= counts.changes, "seed {seed}: {counts:?}");
        assert!(counts.conflicts <= MEASUREMENT_S, "seed {seed}: {counts:?}");
        assert!(counts.refused <= MEASUREMENT_S, "seed {seed}: {counts:?}");
        assert_all_jobs_end(&mut world, 300_000, &format!("seed {seed}"));
        let longest_ms = world.starvation.longest_ms;
        assert!(
            longest_ms < 90_000,
            "seed {seed}: a job waited {longest_ms} ms beside free capacity"
        );
    }
}
