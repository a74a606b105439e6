//! Helpers shared by the tests of combined faults.

#![allow(dead_code)]

use cleatfold_testbed::world::{Size, World};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::*;

/// A region without faults or users of its own, in which each job is polled until it ends.
pub(crate) fn region(seed: u64, machines: usize) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, machines, ..Size::SMALL });
    world.poll_everything();
    world
}

/// Returns a job of team `free` with small tasks and no placement constraints.
pub(crate) fn plain_job(world: &mut World, tasks: u32, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 2.0, 1.0, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// Runs the simulation for so many milliseconds.
pub(crate) fn run_for(world: &mut World, ms: u64) {
    let now = world.now;
    world.run(now.plus(ms));
}

/// Sends a cancellation of the job to a controller.
pub(crate) fn cancel(world: &mut World, controller: usize, job: &JobId) {
    use cleatfold_control::Request;
    use cleatfold_testbed::world::Asked;
    world.jobs.get_mut(job).expect("known").cancel_asked = true;
    world.ask(controller, Asked::Withdraw(job.clone()), Request::Withdraw(job.clone()));
}

/// Checks that all accepted jobs end within `by_ms` and that no invariant is violated.
pub(crate) fn assert_all_jobs_end(world: &mut World, by_ms: u64, context: &str) {
    let until = world.now.plus(by_ms);
    while world.now < until && !world.unfinished().is_empty() && world.broken.is_empty() {
        run_for(world, 500);
    }
    assert!(world.broken.is_empty(), "{context}: {:#?}", world.broken);
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "{context}");
}

/// A fault of a controller that owns pools. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OwnerFault {
    /// The process crashes and restarts after this time.
    Crash(u64),
    /// The state service refuses only this controller; its process continues.
    StoreRefused(u64),
    /// The controller reaches neither the state service nor its peers; its packets are held or refused.
    Isolated(u64, bool),
    /// The process is frozen.
    Frozen(u64),
    /// The controller is cut off from all other processes; its packets are held.
    Cut(u64),
    /// All controllers crash. This one restarts after 200 ms, the others after this time.
    AllCrash(u64),
}

impl OwnerFault {
    pub(crate) const ALL: [OwnerFault; 9] = [
        OwnerFault::Crash(300),
        OwnerFault::Crash(8_000),
        OwnerFault::StoreRefused(6_000),
        OwnerFault::StoreRefused(20_000),
        OwnerFault::Isolated(9_000, true),
        OwnerFault::Isolated(25_000, false),
        OwnerFault::Frozen(7_000),
        OwnerFault::Cut(12_000),
        OwnerFault::AllCrash(7_000),
    ];

    /// Injects this fault at a controller.
    pub(crate) fn inject(self, world: &mut World, controller: usize) {
        let now = world.now;
        match self {
            OwnerFault::Crash(restart_ms) => world.crash(controller, restart_ms),
            OwnerFault::StoreRefused(ms) => world.store_cut[controller] = now.plus(ms),
            OwnerFault::Isolated(ms, held) => world.set_apart(controller, now.plus(ms), held),
            OwnerFault::Frozen(ms) => world.freeze(controller, ms),
            OwnerFault::Cut(ms) => world.cut[controller] = now.plus(ms),
            OwnerFault::AllCrash(ms) => {
                for i in 0..world.controllers.len() {
                    world.crash(i, if i == controller { 200 } else { ms });
                }
            }
        }
    }
}

/// Runs the simulation while users poll all jobs at every controller once per second.
pub(crate) fn run_while_polling(world: &mut World, ms: u64) {
    let until = world.now.plus(ms);
    while world.now < until && world.broken.is_empty() {
        run_for(world, 1_000.min(until.since(world.now)));
        (0..world.controllers.len()).for_each(|i| world.ask_all_at(i));
    }
}

/// Checks the same as [`assert_all_jobs_end`] while users poll at every controller, and that the final state of each
/// accepted job was reported to a user.
pub(crate) fn assert_all_jobs_end_and_are_reported(world: &mut World, by_ms: u64, context: &str) {
    let until = world.now.plus(by_ms);
    while world.now < until && !world.unfinished().is_empty() && world.broken.is_empty() {
        run_while_polling(world, 5_000);
    }
    run_while_polling(world, 3_000);
    assert!(world.broken.is_empty(), "{context}: {:#?}", world.broken);
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "{context}");
    for (job, watch) in &world.jobs {
        use cleatfold_wire::job::JobState;
        let reported = watch.answered_state.is_some_and(JobState::is_final);
        assert!(reported || !watch.accepted, "{context}: the end of {job} was not reported");
    }
}

/// Returns the controller that owns the machine's pool.
pub(crate) fn pool_owner(world: &World, machine: &MachineId) -> Option<usize> {
    world.holder(&world.pool_of(machine)?)
}
