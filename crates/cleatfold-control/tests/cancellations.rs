//! Cancelled jobs stop in time, whichever controller confirmed the cancellation and whichever owns the workers.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, Size, World};
use cleatfold_wire::job::{JobSpec, JobState, Kind, Urgency};
use cleatfold_wire::*;
use scenario::{cancel, run_for};

fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL })
}

/// A job of small tasks that run for a long time.
fn long_job(world: &mut World, tasks: u32) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::High, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 0.25, 0.1, 900.0);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

fn running_tasks(world: &World, job: &JobId) -> usize {
    world.running.keys().filter(|t| t.job == *job).count()
}

/// The cancellation of a job in parts is recorded in its head and changes none of its parts. A machine whose reports
/// repeat the last one was therefore skipped, and its tasks never stopped.
#[test]
fn cancelled_job_in_parts_stops_despite_repeated_reports() {
    let mut world = region(1);
    world.run(Ms(4000));
    let spec = long_job(&mut world, 300);
    let job = world.submit(0, spec);
    run_for(&mut world, 60_000);
    assert!(running_tasks(&world, &job) > 250, "{}", running_tasks(&world, &job));
    cancel(&mut world, 1, &job);
    run_for(&mut world, 10_000);
    assert_eq!(world.jobs[&job].answered_state, Some(JobState::Aborted));
    assert_eq!(running_tasks(&world, &job), 0);
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}

/// Pairs of worker lease and maximum cancellation time, in milliseconds.
const LEASE_AND_CANCEL_MS: [(u64, u64); 3] = [(10_000, 40_000), (17_500, 47_500), (42_000, 67_000)];

/// Connectivity between the controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mesh {
    Whole,
    /// The confirming controller and the owner cannot reach each other; all other pairs can.
    Partial,
    Cut,
}

/// Fault of the confirming controller or the owner after the cancellation was confirmed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    ConfirmerKilled,
    OwnerKilled,
    OwnerFrozen,
    OwnerQuickRestart,
}

#[derive(Clone, Copy, Debug)]
struct CancellationCase {
    seed: u64,
    controllers: usize,
    /// Time from the cut-off of the owner to the outage for all controllers.
    outage_delay_ms: u64,
    lease_and_cancel_ms: (u64, u64),
    mesh: Mesh,
    fault: Fault,
}

/// The controller with most workers loses the state service; `outage_delay_ms` later all do, for longer than a
/// cancellation may take. In between, another controller confirms the cancellation of a job of long tasks. Returns the
/// time in milliseconds from the confirmation to the end of the last task.
fn measure_cancellation(case: CancellationCase) -> u64 {
    let (lease_ms, cancel_ms) = case.lease_and_cancel_ms;
    let size = Size {
        most_jobs: 0,
        machines: 24,
        controllers: case.controllers,
        heartbeat_interval_ms: lease_ms / 8,
        lease_ms,
        cancel_ms,
        ..Size::SMALL
    };
    let mut world = World::sized(case.seed, false, size);
    world.run(Ms(4000));
    let spec = long_job(&mut world, 120);
    let job = world.submit(0, spec);
    run_for(&mut world, 45_000);
    assert!(running_tasks(&world, &job) > 100, "{case:?}: {}", running_tasks(&world, &job));
    let owner = world.most().expect("a controller owns workers");
    let confirmer = (owner + 1) % case.controllers;
    let start = world.now;
    world.store_cut[owner] = start.plus(case.outage_delay_ms + 20_000);
    match case.mesh {
        Mesh::Whole => {}
        Mesh::Partial => world.mesh_cut.extend([(owner, confirmer), (confirmer, owner)]),
        Mesh::Cut => world.mesh_off = true,
    }
    // Late enough that the owner cannot have read the cancellation.
    run_for(&mut world, (case.outage_delay_ms * case.seed % 7 / 7).max(50));
    cancel(&mut world, confirmer, &job);
    while world.jobs[&job].cancel_confirmed.is_none() {
        run_for(&mut world, 10);
        assert!(world.now.since(start) < 1_000, "{case:?}: not confirmed");
    }
    let confirmed_at = world.now;
    match case.fault {
        Fault::Nothing => {}
        Fault::ConfirmerKilled => world.crash(confirmer, 5_000),
        Fault::OwnerKilled => world.crash(owner, 5_000),
        Fault::OwnerFrozen => world.freeze(owner, lease_ms),
        Fault::OwnerQuickRestart => world.crash(owner, 300),
    }
    let outage = start.plus(case.outage_delay_ms);
    let until = outage.plus(cancel_ms * 5 / 4);
    world.at(outage.since(world.now), SimulationEvent::Outage { until });
    let mut stopped_after = None;
    while stopped_after.is_none() && world.now.since(confirmed_at) <= cancel_ms {
        run_for(&mut world, 50);
        stopped_after = (running_tasks(&world, &job) == 0).then(|| world.now.since(confirmed_at));
    }
    world.mesh_cut.clear();
    world.mesh_off = false;
    run_for(&mut world, 2 * cancel_ms + 60_000);
    assert!(world.broken.is_empty(), "{case:?}: {:#?}", world.broken);
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "{case:?}");
    assert_eq!(world.jobs[&job].answered_state, Some(JobState::Aborted), "{case:?}");
    stopped_after.unwrap_or_else(|| panic!("{case:?}: tasks are still running"))
}

/// Every mesh state with every fault; controller counts, times and lease/cancellation pairs vary in turn.
#[test]
fn cancelled_tasks_stop_in_time_under_faults() {
    let meshes = [Mesh::Whole, Mesh::Partial, Mesh::Cut];
    use Fault::*;
    let faults = [Nothing, ConfirmerKilled, OwnerKilled, OwnerFrozen, OwnerQuickRestart];
    let mut seed = 0;
    for (mesh, fault) in meshes.iter().flat_map(|m| faults.iter().map(move |f| (*m, *f))) {
        for _ in 0..2 {
            seed += 1;
            let outage_delay_ms = [1_000, 2_000, 5_000, 12_000, 20_000][seed as usize % 5];
            let (controllers, lease_and_cancel_ms) =
                ([3, 5][seed as usize % 2], LEASE_AND_CANCEL_MS[seed as usize / 2 % 3]);
            let case = CancellationCase {
                seed,
                controllers,
                outage_delay_ms,
                lease_and_cancel_ms,
                mesh,
                fault,
            };
            let ms = measure_cancellation(case);
            println!("{case:?}: stopped after {ms} ms");
            // A running owner learns of the cancellation by any available path and stops the tasks at the next reports.
            let owner_is_notified = mesh != Mesh::Cut && matches!(fault, Nothing | ConfirmerKilled);
            let confirmer_alone = mesh == Mesh::Partial && fault == ConfirmerKilled;
            if owner_is_notified && !confirmer_alone {
                assert!(ms <= 3_000 + lease_and_cancel_ms.0 / 4, "{case:?}: {ms} ms");
            }
        }
    }
}
