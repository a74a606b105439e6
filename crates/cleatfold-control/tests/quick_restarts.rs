//! Processes and machines that are back within a fraction of a second, in the middle of something:
//! each pair of a step (a controller says that it is there, takes a role, deals a pool, takes one over,
//! claims, rents) and a blink of each participant, right before the step is executed, while it is
//! still on its way, and after it is executed but before its answer. One day is played again and
//! again, with another blink each time. Seen to fail without the incarnation in the names of rentals (9
//! of the blinks); not without the incarnation in who owns a pool, behind which the other proofs of
//! `docs/safety.md` stand as well.

use cleatfold_control::records::{pool_key, HolderRecord};
use cleatfold_roles::Role;
use cleatfold_testbed::world::{Back, Blink, Moment, Size, Step, Who, World, CONTROLLERS};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::*;
use std::collections::BTreeMap;

fn plain(world: &mut World, team: &str, tasks: u32, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new(team), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 2.0, 1.0, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// A day with an election, assigning, a take-over, claims and rentals. Returns the world at its end and
/// what did not hold.
fn day(seed: u64, blink: Blink) -> (World, Vec<String>) {
    let size = Size { most_jobs: 0, machines: 9, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.quick_restarts.plan = Some(blink);
    world.poll_everything();
    let submit = |world: &mut World, team: &str, tasks: u32, estimate_s: f64| {
        let spec = plain(world, team, tasks, estimate_s);
        let controller =
            (0..CONTROLLERS).find(|i| world.controllers[*i].as_ref().is_some_and(|n| n.is_ready()));
        let Some(controller) = controller else { return };
        world.submit(controller, spec);
    };
    world.run(Ms(4_000));
    submit(&mut world, "free", 14, 6.0);
    submit(&mut world, "tight", 8, 5.0);
    world.run(Ms(14_000));
    // Whoever deals is gone for a while: its roles and pools go to others.
    let holds = |world: &World, key: &str| -> Option<usize> {
        let holder = world.store.get(key)?;
        let holder: HolderRecord = serde_json::from_str(holder.value.get()).ok()?;
        (0..CONTROLLERS).find(|i| cleatfold_testbed::world::controller_id(*i) == holder.owner)
    };
    if let Some(leader) = holds(&world, Role::PoolAssignment.key()) {
        world.crash(leader, 6_000);
    }
    submit(&mut world, "free", 10, 4.0);
    world.run(Ms(24_000));
    submit(&mut world, "tight", 8, 6.0);
    // Workers of a zone do not reach their owner, and nobody is told: their pools come after them.
    world.mesh_off = true;
    let busy = world.running.values().next().and_then(|m| world.pool_of(m));
    if let Some((pool, owner)) = busy.and_then(|p| holds(&world, &pool_key(&p)).map(|o| (p, o))) {
        world.faults.cuts.insert(owner, (Ms(40_000), Some(pool.zone)));
    }
    world.run(Ms(40_000));
    world.mesh_off = false;
    while (!world.unfinished().is_empty() || world.now < Ms(46_000)) && world.now < Ms(220_000) {
        let now = world.now;
        world.run(now.plus(2_000));
    }
    let mut broken = std::mem::take(&mut world.broken);
    broken.extend(world.unfinished().iter().map(|job| format!("{job} has not ended")));
    (world, broken)
}

const WHO: [Who; 7] = [
    Who::Controller(0),
    Who::Controller(1),
    Who::Controller(2),
    Who::All,
    Who::Machine(Back::AsItWas),
    Who::Machine(Back::Anew),
    Who::Machine(Back::Replaced),
];

/// Plays the day with each blink at so many of the step's occurrences, the first and the last among
/// them.
fn play(seed: u64, step: Step, most: usize) {
    let none = Blink { step, nth: u32::MAX, who: Who::All, moment: Moment::Before };
    let (undisturbed, broken) = day(seed, none);
    assert!(broken.is_empty(), "undisturbed: {broken:#?}");
    let count = undisturbed.quick_restarts.seen.get(&step).copied().unwrap_or_default();
    assert!(count > 0, "the day shows no {step:?}");
    let most = most.min(count as usize);
    let spread = |i: usize| 1 + (i * (count as usize - 1) / (most - 1).max(1)) as u32;
    let mut failed: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut applied_faults = 0;
    for nth in (0..most).map(spread) {
        for who in WHO {
            for moment in [Moment::Before, Moment::Late, Moment::After] {
                let blink = Blink { step, nth, who, moment };
                let (world, broken) = day(seed, blink);
                applied_faults += usize::from(world.quick_restarts.applied_faults.is_some());
                if !broken.is_empty() {
                    failed.insert(
                        format!("{blink:?} {:?}", world.quick_restarts.applied_faults),
                        broken,
                    );
                }
            }
        }
    }
    // Before the first machine is there none can blink.
    let machines = 3 * 3 * most;
    assert!(applied_faults + machines >= WHO.len() * 3 * most, "{step:?}: only {applied_faults}");
    assert!(failed.is_empty(), "{} of {applied_faults}: {failed:#?}", failed.len());
}

const SEED: u64 = 3;

#[test]
fn while_a_role_is_taken() {
    play(SEED, Step::Elect, 4);
}

#[test]
fn while_a_pool_is_assigned() {
    play(SEED, Step::PoolAssignment, 4);
}

#[test]
fn while_a_pool_is_taken_over() {
    play(SEED, Step::TakeOver, 4);
}

#[test]
fn while_tasks_are_claimed() {
    play(SEED, Step::Claim, 4);
}

#[test]
fn while_machines_are_rented() {
    play(SEED, Step::ScaleOut, 3);
    play(SEED, Step::RentCall, 3);
}

/// Every occurrence of every step, on several days: some 1,600 blinks a day.
#[test]
#[ignore = "minutes; by hand"]
fn every_occurrence_of_every_step() {
    let steps = [
        Step::Enlist,
        Step::Elect,
        Step::PoolAssignment,
        Step::TakeOver,
        Step::Claim,
        Step::End,
        Step::Slice,
        Step::ScaleOut,
        Step::RentCall,
    ];
    std::thread::scope(|scope| {
        for step in steps {
            scope.spawn(move || (3..7).for_each(|seed| play(seed, step, usize::MAX)));
        }
    });
}
