//! Controllers and machines that restart within a fraction of a second during an operation.
//!
//! The same run is repeated with a different fault each time: each participant restarts at each kind of step (a controller
//! registers, acquires a role, assigns a pool, takes one over, claims tasks, creates machines), right before the step is
//! executed, while it is in flight, and after its execution but before its reply. Nine of the faults fail without the
//! incarnation in the names of scale-out requests. None fails without the incarnation in the record of a pool's owner,
//! because the other checks in `docs/safety.md` cover these cases as well.

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

/// Runs a region through an election, a pool assignment, a take-over, claims and scale-outs. Returns the world at the end
/// and the violated invariants.
fn run_with_fault(seed: u64, fault: Blink) -> (World, Vec<String>) {
    let size = Size { most_jobs: 0, machines: 9, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.quick_restarts.plan = Some(fault);
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
    // The controller that assigns pools is down for 6 s: its roles and pools move to other controllers.
    let holder = |world: &World, key: &str| -> Option<usize> {
        let record = world.store.get(key)?;
        let record: HolderRecord = serde_json::from_str(record.value.get()).ok()?;
        (0..CONTROLLERS).find(|i| cleatfold_testbed::world::controller_id(*i) == record.owner)
    };
    if let Some(leader) = holder(&world, Role::PoolAssignment.key()) {
        world.crash(leader, 6_000);
    }
    submit(&mut world, "free", 10, 4.0);
    world.run(Ms(24_000));
    submit(&mut world, "tight", 8, 6.0);
    // The workers of a zone can't reach their owner, and no controller learns of it: their pools are taken over by the
    // controller that they reach.
    world.mesh_off = true;
    let busy_pool = world.running.values().next().and_then(|m| world.pool_of(m));
    if let Some((pool, owner)) =
        busy_pool.and_then(|p| holder(&world, &pool_key(&p)).map(|o| (p, o)))
    {
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

const PARTICIPANTS: [Who; 7] = [
    Who::Controller(0),
    Who::Controller(1),
    Who::Controller(2),
    Who::All,
    Who::Machine(Back::AsItWas),
    Who::Machine(Back::Anew),
    Who::Machine(Back::Replaced),
];

/// Repeats the run with each fault at up to `max_occurrences` occurrences of the step, evenly spread and including the first and
/// the last.
fn check_faults(seed: u64, step: Step, max_occurrences: usize) {
    let no_fault = Blink { step, nth: u32::MAX, who: Who::All, moment: Moment::Before };
    let (world, broken) = run_with_fault(seed, no_fault);
    assert!(broken.is_empty(), "no fault: {broken:#?}");
    let count = world.quick_restarts.seen.get(&step).copied().unwrap_or_default();
    assert!(count > 0, "the run has no {step:?}");
    let max_occurrences = max_occurrences.min(count as usize);
    let nth_occurrence =
        |i: usize| 1 + (i * (count as usize - 1) / (max_occurrences - 1).max(1)) as u32;
    let mut failed: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut applied_faults = 0;
    for nth in (0..max_occurrences).map(nth_occurrence) {
        for who in PARTICIPANTS {
            for moment in [Moment::Before, Moment::Late, Moment::After] {
                let fault = Blink { step, nth, who, moment };
                let (world, broken) = run_with_fault(seed, fault);
                applied_faults += usize::from(world.quick_restarts.applied_faults.is_some());
                if !broken.is_empty() {
                    failed.insert(
                        format!("{fault:?} {:?}", world.quick_restarts.applied_faults),
                        broken,
                    );
                }
            }
        }
    }
    // A machine fault can't be injected before the first machine exists.
    let machine_faults = 3 * 3 * max_occurrences;
    assert!(
        applied_faults + machine_faults >= PARTICIPANTS.len() * 3 * max_occurrences,
        "{step:?}: only {applied_faults}"
    );
    assert!(failed.is_empty(), "{} of {applied_faults}: {failed:#?}", failed.len());
}

const SEED: u64 = 3;

#[test]
fn restart_while_role_is_acquired() {
    check_faults(SEED, Step::Elect, 4);
}

#[test]
fn restart_while_pool_is_assigned() {
    check_faults(SEED, Step::PoolAssignment, 4);
}

#[test]
fn restart_while_pool_is_taken_over() {
    check_faults(SEED, Step::TakeOver, 4);
}

#[test]
fn restart_while_tasks_are_claimed() {
    check_faults(SEED, Step::Claim, 4);
}

#[test]
fn restart_while_machines_are_created() {
    check_faults(SEED, Step::ScaleOut, 3);
    check_faults(SEED, Step::RentCall, 3);
}

/// Every occurrence of every step, for four seeds: about 1,600 faults per seed.
#[test]
#[ignore = "minutes; by hand"]
fn restart_at_every_step() {
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
            scope.spawn(move || (3..7).for_each(|seed| check_faults(seed, step, usize::MAX)));
        }
    });
}
