//! Cancelled jobs stop in time, whoever told the user so and whoever holds the workers.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, Size, World};
use cleatfold_wire::job::{JobSpec, JobState, Kind, Urgency};
use cleatfold_wire::*;
use scenario::{cancel, run_for};

fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL })
}

/// Small tasks that run for a long time.
fn long(world: &mut World, tasks: u32) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::High, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 0.25, 0.1, 900.0);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

fn running(world: &World, job: &JobId) -> usize {
    world.running.keys().filter(|t| t.job == *job).count()
}

/// The head of a job in parts says that it is cancelled, and none of its parts changes by that: a machine whose
/// reports repeat was never looked at again, and its tasks ran on for ever.
#[test]
fn a_cancelled_job_in_parts_ends_on_machines_whose_reports_repeat() {
    let mut world = region(1);
    world.run(Ms(4000));
    let spec = long(&mut world, 300);
    let job = world.submit(0, spec);
    run_for(&mut world, 60_000);
    assert!(running(&world, &job) > 250, "{}", running(&world, &job));
    cancel(&mut world, 1, &job);
    run_for(&mut world, 10_000);
    assert_eq!(world.jobs[&job].answered_state, Some(JobState::Aborted));
    assert_eq!(running(&world, &job), 0);
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}

/// Of the workers' lease and how long a cancellation may take, in milliseconds.
const RATIOS: [(u64, u64); 3] = [(10_000, 40_000), (17_500, 47_500), (42_000, 67_000)];

/// What of the mesh is there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mesh {
    Whole,
    /// The confirmer and the owner don't hear of one another, the others do of both.
    Half,
    Cut,
}

/// What becomes of the confirmer or the owner once the user was told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Nothing,
    ConfirmerKilled,
    OwnerKilled,
    OwnerFrozen,
    OwnerQuickRestart,
}

#[derive(Clone, Copy, Debug)]
struct Gap {
    seed: u64,
    controllers: usize,
    /// From the refusal of one to the outage for all.
    before_ms: u64,
    ratio: (u64, u64),
    mesh: Mesh,
    fate: Fate,
}

/// The controller with most workers is refused by the state service alone; `before_ms` later all are, for longer than
/// a cancellation may take. In between another one confirms that a job of long tasks is cancelled. Returns how long
/// after that the last of them was gone.
fn play(gap: Gap) -> u64 {
    let (lease_ms, cancel_ms) = gap.ratio;
    let size = Size {
        most_jobs: 0,
        machines: 24,
        controllers: gap.controllers,
        heartbeat_interval_ms: lease_ms / 8,
        lease_ms,
        cancel_ms,
        ..Size::SMALL
    };
    let mut world = World::sized(gap.seed, false, size);
    world.run(Ms(4000));
    let spec = long(&mut world, 120);
    let job = world.submit(0, spec);
    run_for(&mut world, 45_000);
    assert!(running(&world, &job) > 100, "{gap:?}: {}", running(&world, &job));
    let owner = world.most().expect("somebody holds workers");
    let other = (owner + 1) % gap.controllers;
    let begun = world.now;
    world.store_cut[owner] = begun.plus(gap.before_ms + 20_000);
    match gap.mesh {
        Mesh::Whole => {}
        Mesh::Half => world.mesh_cut.extend([(owner, other), (other, owner)]),
        Mesh::Cut => world.mesh_off = true,
    }
    // Not so early that the owner could still have read it.
    run_for(&mut world, (gap.before_ms * gap.seed % 7 / 7).max(50));
    cancel(&mut world, other, &job);
    while world.jobs[&job].cancel_confirmed.is_none() {
        run_for(&mut world, 10);
        assert!(world.now.since(begun) < 1_000, "{gap:?}: not told");
    }
    let told = world.now;
    match gap.fate {
        Fate::Nothing => {}
        Fate::ConfirmerKilled => world.crash(other, 5_000),
        Fate::OwnerKilled => world.crash(owner, 5_000),
        Fate::OwnerFrozen => world.freeze(owner, lease_ms),
        Fate::OwnerQuickRestart => world.crash(owner, 300),
    }
    let outage = begun.plus(gap.before_ms);
    let until = outage.plus(cancel_ms * 5 / 4);
    world.at(outage.since(world.now), SimulationEvent::Outage { until });
    let mut gone = None;
    while gone.is_none() && world.now.since(told) <= cancel_ms {
        run_for(&mut world, 50);
        gone = (running(&world, &job) == 0).then(|| world.now.since(told));
    }
    world.mesh_cut.clear();
    world.mesh_off = false;
    run_for(&mut world, 2 * cancel_ms + 60_000);
    assert!(world.broken.is_empty(), "{gap:?}: {:#?}", world.broken);
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "{gap:?}");
    assert_eq!(world.jobs[&job].answered_state, Some(JobState::Aborted), "{gap:?}");
    gone.unwrap_or_else(|| panic!("{gap:?}: tasks are left"))
}

/// Every mesh with every fate; numbers of controllers, times and ratios in turn.
#[test]
fn tasks_are_gone_in_time_whatever_meets_a_cancellation() {
    let meshes = [Mesh::Whole, Mesh::Half, Mesh::Cut];
    use Fate::*;
    let fates = [Nothing, ConfirmerKilled, OwnerKilled, OwnerFrozen, OwnerQuickRestart];
    let mut seed = 0;
    for (mesh, fate) in meshes.iter().flat_map(|m| fates.iter().map(move |f| (*m, *f))) {
        for _ in 0..2 {
            seed += 1;
            let before_ms = [1_000, 2_000, 5_000, 12_000, 20_000][seed as usize % 5];
            let (controllers, ratio) = ([3, 5][seed as usize % 2], RATIOS[seed as usize / 2 % 3]);
            let gap = Gap { seed, controllers, before_ms, ratio, mesh, fate };
            let ms = play(gap);
            println!("{gap:?}: gone after {ms} ms");
            // Whoever holds the workers and lives is told, over whatever way there is, and tells them at their reports.
            let reached = mesh != Mesh::Cut && matches!(fate, Nothing | ConfirmerKilled);
            let confirmer_alone = mesh == Mesh::Half && fate == ConfirmerKilled;
            if reached && !confirmer_alone {
                assert!(ms <= 3_000 + ratio.0 / 4, "{gap:?}: {ms} ms");
            }
        }
    }
}
