//! Cancelled jobs stop in time, whoever told the user so and whoever holds the workers.

use cleatfold_control::Request;
use cleatfold_lab::world::{Asked, Size, World};
use cleatfold_wire::job::{JobSpec, JobState, Kind, Urgency};
use cleatfold_wire::*;

fn region(seed: u64, nodes: usize) -> World {
    World::sized(seed, false, Size { most_jobs: 0, machines: 24, nodes, ..Size::SMALL })
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

fn run_for(world: &mut World, ms: u64) {
    let now = world.now;
    world.run(now.plus(ms));
}

fn running(world: &World, job: &JobId) -> usize {
    world.running.keys().filter(|t| t.job == *job).count()
}

fn cancel(world: &mut World, node: usize, job: &JobId) {
    world.jobs.get_mut(job).expect("known").cancel_asked = true;
    world.ask(node, Asked::Withdraw(job.clone()), Request::Withdraw(job.clone()));
}

/// The head of a job in parts says that it is cancelled, and none of its parts changes by that: a machine whose
/// reports repeat was never looked at again, and its tasks ran on for ever.
#[test]
fn a_cancelled_job_in_parts_stops_on_machines_whose_reports_repeat() {
    let mut world = region(1, 3);
    world.run(Ms(4000));
    let spec = long(&mut world, 300);
    let job = world.submit(0, spec);
    run_for(&mut world, 60_000);
    assert!(running(&world, &job) > 250, "{}", running(&world, &job));
    cancel(&mut world, 1, &job);
    run_for(&mut world, 10_000);
    assert_eq!(world.jobs[&job].told, Some(JobState::Aborted));
    assert_eq!(running(&world, &job), 0);
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}
