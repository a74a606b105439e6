//! What the tests of meeting troubles share.

#![allow(dead_code)]

use cleatfold_lab::world::{Size, World};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::*;

/// A quiet region in which every job is asked about until it ends.
pub fn region(seed: u64, machines: usize) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, machines, ..Size::SMALL });
    world.poll_everything();
    world
}

pub fn plain(world: &mut World, tasks: u32, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 2.0, 1.0, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

pub fn run_for(world: &mut World, ms: u64) {
    let now = world.now;
    world.run(now.plus(ms));
}

/// Cancels the job at a controller.
pub fn withdraw(world: &mut World, node: usize, job: &JobId) {
    use cleatfold_control::Request;
    use cleatfold_lab::world::Asked;
    world.jobs.get_mut(job).expect("known").cancel_asked = true;
    world.ask(node, Asked::Withdraw(job.clone()), Request::Withdraw(job.clone()));
}

/// Everything accepted comes to its end, and no rule was broken on the way.
pub fn ends_well(world: &mut World, by_ms: u64, what: &str) {
    let until = world.now.plus(by_ms);
    while world.now < until && !world.unfinished().is_empty() && world.broken.is_empty() {
        run_for(world, 500);
    }
    assert!(world.broken.is_empty(), "{what}: {:#?}", world.broken);
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "{what}");
}
