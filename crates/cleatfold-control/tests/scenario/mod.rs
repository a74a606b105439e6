//! What the tests of meeting troubles share.

#![allow(dead_code)]

use cleatfold_testbed::world::{Size, World};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::*;

/// A quiet region in which every job is asked about until it ends.
pub(crate) fn region(seed: u64, machines: usize) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, machines, ..Size::SMALL });
    world.poll_everything();
    world
}

pub(crate) fn plain(world: &mut World, tasks: u32, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 2.0, 1.0, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

pub(crate) fn run_for(world: &mut World, ms: u64) {
    let now = world.now;
    world.run(now.plus(ms));
}

/// Cancels the job at a controller.
pub(crate) fn cancel(world: &mut World, controller: usize, job: &JobId) {
    use cleatfold_control::Request;
    use cleatfold_testbed::world::Asked;
    world.jobs.get_mut(job).expect("known").cancel_asked = true;
    world.ask(controller, Asked::Withdraw(job.clone()), Request::Withdraw(job.clone()));
}

/// Everything accepted comes to its end, and no rule was broken on the way.
pub(crate) fn ends_well(world: &mut World, by_ms: u64, what: &str) {
    let until = world.now.plus(by_ms);
    while world.now < until && !world.unfinished().is_empty() && world.broken.is_empty() {
        run_for(world, 500);
    }
    assert!(world.broken.is_empty(), "{what}: {:#?}", world.broken);
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "{what}");
}

/// What befalls an owner of pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Loss {
    /// Its process ends and is back so much later.
    Ends(u64),
    /// It alone is refused by the state service; its process lives on.
    Refused(u64),
    /// It has neither the state service nor its peers, its calls refused or held.
    Apart(u64, bool),
    /// It stands still.
    Still(u64),
    /// It is cut off from everything, packets held.
    Cut(u64),
    /// All end, one is back at once, the others so much later.
    AllEnd(u64),
}

impl Loss {
    pub(crate) const ALL: [Loss; 9] = [
        Loss::Ends(300),
        Loss::Ends(8_000),
        Loss::Refused(6_000),
        Loss::Refused(20_000),
        Loss::Apart(9_000, true),
        Loss::Apart(25_000, false),
        Loss::Still(7_000),
        Loss::Cut(12_000),
        Loss::AllEnd(7_000),
    ];

    pub(crate) fn befall(self, world: &mut World, controller: usize) {
        let now = world.now;
        match self {
            Loss::Ends(back) => world.crash(controller, back),
            Loss::Refused(ms) => world.store_cut[controller] = now.plus(ms),
            Loss::Apart(ms, held) => world.set_apart(controller, now.plus(ms), held),
            Loss::Still(ms) => world.freeze(controller, ms),
            Loss::Cut(ms) => world.cut[controller] = now.plus(ms),
            Loss::AllEnd(ms) => {
                for i in 0..world.controllers.len() {
                    world.crash(i, if i == controller { 200 } else { ms });
                }
            }
        }
    }
}

/// Runs on while users ask at every controller each second.
pub(crate) fn asking(world: &mut World, ms: u64) {
    let until = world.now.plus(ms);
    while world.now < until && world.broken.is_empty() {
        run_for(world, 1_000.min(until.since(world.now)));
        (0..world.controllers.len()).for_each(|i| world.ask_all_at(i));
    }
}

pub(crate) fn ends_well_asked(world: &mut World, by_ms: u64, what: &str) {
    let until = world.now.plus(by_ms);
    while world.now < until && !world.unfinished().is_empty() && world.broken.is_empty() {
        asking(world, 5_000);
    }
    asking(world, 3_000);
    assert!(world.broken.is_empty(), "{what}: {:#?}", world.broken);
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "{what}");
    for (job, watch) in &world.jobs {
        use cleatfold_wire::job::JobState;
        let told = watch.answered_state.is_some_and(JobState::is_final);
        assert!(told || !watch.accepted, "{what}: {job} has ended and nobody was told");
    }
}

/// Whoever holds the pool of the machine.
pub(crate) fn owner(world: &World, machine: &MachineId) -> Option<usize> {
    world.holder(&world.pool_of(machine)?)
}
