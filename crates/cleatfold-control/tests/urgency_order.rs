//! Start order by priority while pool owners fail: background jobs fill the region, then urgent jobs are submitted, and the
//! controller that owns the most pools is killed, frozen or cut off.

use cleatfold_control::records::HolderRecord;
use cleatfold_testbed::world::{controller_id, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const LEASE_MS: u64 = 3000;
const HEARTBEAT_MS: u64 = 1000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum OwnerFault {
    NoFault,
    Killed,
    Frozen,
    Cut,
    /// Cut off from the state service only.
    StoreCut,
    /// Two controllers fail at once: one is killed, one frozen.
    KilledAndFrozen,
}

/// Returns the controllers in descending order of the number of pools they own.
fn controllers_by_pools(world: &World) -> Vec<usize> {
    let mut pool_counts: BTreeMap<usize, usize> = (0..CONTROLLERS).map(|n| (n, 0)).collect();
    for item in world.store.list("cf/pool/", None, 50).items {
        let holder: HolderRecord = serde_json::from_str(item.value.get()).expect("a pool");
        let controller = (0..CONTROLLERS).find(|n| controller_id(*n) == holder.owner);
        *pool_counts.entry(controller.expect("a node")).or_default() += 1;
    }
    let mut controllers: Vec<usize> = (0..CONTROLLERS).collect();
    controllers.sort_by_key(|n| std::cmp::Reverse(pool_counts[n]));
    controllers
}

struct JobShape {
    tasks: u32,
    cpus: f64,
    estimate_s: f64,
    urgency: Urgency,
}

fn submit(world: &mut World, controller: usize, shape: JobShape) -> JobId {
    let mut spec = world.some_job();
    spec.team = TeamId::new("free");
    // As in practice, all jobs of a class have the same urgency.
    spec.class = ClassId::new(format!("{:?}", shape.urgency).to_lowercase());
    (spec.urgency, spec.tasks) = (shape.urgency, shape.tasks);
    (spec.cpus, spec.estimate_s) = (shape.cpus, shape.estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.spot) = (false, false, None, true);
    world.submit(controller, spec)
}

struct Outcome {
    world: World,
    /// Milliseconds from acceptance to start of the urgent jobs submitted within 30 s after the fault.
    waits: Vec<u64>,
    background: Vec<JobId>,
}

fn run_with_fault(seed: u64, fault: OwnerFault) -> Outcome {
    // Admission control is off, because it changes the start order under lasting overload, which is not tested here.
    let size = Size { machines: 24, most_jobs: 0, admission: false, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.priority_watch.on = true;
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1a2e5);
    let mut background = Vec::new();
    let mut urgent = Vec::new();
    let fault_at_ms = 32_000 + rng.random_range(0..4000);
    let mut fault_injected = false;
    for tick in 0..700u64 {
        let now = Ms(5000 + tick * 100);
        world.run(now);
        let reachable_controllers = |world: &World| -> Vec<usize> {
            let cut = |n: usize| world.cut[n] > now || world.store_cut[n] > now;
            (0..CONTROLLERS).filter(|n| world.controllers[*n].is_some() && !cut(*n)).collect()
        };
        if !fault_injected && now.0 >= fault_at_ms {
            fault_injected = true;
            let owners = controllers_by_pools(&world);
            let until = now.plus(14_000);
            match fault {
                OwnerFault::NoFault => {}
                OwnerFault::Killed => world.crash(owners[0], 8000),
                OwnerFault::Frozen => world.freeze(owners[0], 14_000),
                OwnerFault::Cut => {
                    world.at(0, SimulationEvent::Cut { controller: owners[0], until })
                }
                OwnerFault::StoreCut => {
                    world.at(0, SimulationEvent::StoreCut { controller: owners[0], until })
                }
                OwnerFault::KilledAndFrozen => {
                    world.crash(owners[0], 8000);
                    world.freeze(owners[1], 14_000);
                }
            }
        }
        // Every 4 s, two background jobs: more than the capacity of the region.
        if tick % 40 == 0 {
            for _ in 0..2 {
                let controllers = reachable_controllers(&world);
                let controller = controllers[rng.random_range(0..controllers.len())];
                let cpus = [1.0, 2.0, 4.0][rng.random_range(0..3)];
                let tasks = (200.0 / cpus) as u32;
                let estimate_s = rng.random_range(4.0..12.0);
                let urgency = Urgency::BestEffort;
                background.push(submit(
                    &mut world,
                    controller,
                    JobShape { tasks, cpus, estimate_s, urgency },
                ));
            }
        }
        if (200..560).contains(&tick) && tick % 12 == 0 {
            let controllers = reachable_controllers(&world);
            let controller = controllers[rng.random_range(0..controllers.len())];
            let urgency = [Urgency::Critical, Urgency::High, Urgency::Normal];
            let shape = JobShape {
                tasks: rng.random_range(1..6),
                cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
                estimate_s: rng.random_range(2.0..6.0),
                urgency: urgency[rng.random_range(0..3)],
            };
            let job = submit(&mut world, controller, shape);
            if fault_injected && now.0 < fault_at_ms + 30_000 {
                urgent.push(job);
            }
        }
    }
    world.run(Ms(200_000));
    assert!(world.broken.is_empty(), "seed {seed} {fault:?}: {:#?}", world.broken);
    let watch = &world.priority_watch;
    let waits =
        urgent.iter().filter_map(|j| Some(watch.begun.get(j)?.since(*watch.accepted.get(j)?)));
    let waits: Vec<u64> = waits.collect();
    assert!(waits.len() + 1 >= urgent.len(), "seed {seed} {fault:?}: urgent jobs did not start");
    Outcome { world, waits, background }
}

/// Returns the share of starts out of priority order and the longest wait for a first start in such a run.
fn measure_start_order(seed: u64, fault: OwnerFault) -> (f64, u64) {
    let outcome = run_with_fault(seed, fault);
    let counted = &outcome.world.priority_watch.counted;
    assert!(counted.starts > 1500, "seed {seed} {fault:?}: {} starts", counted.starts);
    // The load is four times the capacity; background jobs get what urgent jobs leave.
    let begun = |j: &&JobId| outcome.world.priority_watch.begun.contains_key(*j);
    let begun = outcome.background.iter().filter(begun).count();
    assert!(begun >= outcome.background.len() / 3, "seed {seed} {fault:?}: {begun} started");
    let share = f64::from(counted.inverted) / f64::from(counted.starts);
    (share, outcome.waits.into_iter().max().unwrap_or(0))
}

fn check_start_order(seed: u64, fault: OwnerFault, max_share: f64, max_leases: u64) {
    let (baseline_share, baseline_wait) = measure_start_order(seed, OwnerFault::NoFault);
    assert_eq!(baseline_share, 0.0, "seed {seed}");
    let (share, longest) = measure_start_order(seed, fault);
    assert!(share <= max_share, "seed {seed} {fault:?}: {share}");
    let bound = baseline_wait + max_leases * LEASE_MS + HEARTBEAT_MS;
    assert!(
        longest <= bound,
        "seed {seed} {fault:?}: {longest} ms for a first start, bound {bound}"
    );
}

#[test]
fn order_holds_when_owner_is_killed() {
    check_start_order(1, OwnerFault::Killed, 0.005, 1);
}

#[test]
fn order_holds_when_owner_is_frozen() {
    check_start_order(2, OwnerFault::Frozen, 0.005, 1);
}

#[test]
fn order_holds_when_owner_is_partitioned() {
    check_start_order(1, OwnerFault::Cut, 0.005, 1);
}

#[test]
fn order_holds_when_owner_loses_store() {
    check_start_order(2, OwnerFault::StoreCut, 0.005, 1);
}

/// With two of three controllers down, the third takes over all pools at once. The bound is larger than the target of
/// 0.005: see `docs/priority.md`.
#[test]
fn order_holds_when_two_owners_fail() {
    check_start_order(1, OwnerFault::KilledAndFrozen, 0.03, 3);
}

/// The owner crashes as soon as its preemption record is written: the next owner of the pool completes the preemption, and
/// no job of lower priority starts first.
#[test]
fn next_owner_completes_preemption() {
    let mut preemptions = 0;
    for seed in 1..10 {
        let size = Size { machines: 9, most_jobs: 0, admission: false, ..Size::SMALL };
        let mut world = World::sized(seed, false, size);
        world.priority_watch.on = true;
        world.run(Ms(5000));
        for _ in 0..3 {
            let (tasks, cpus, estimate_s) = (60, 4.0, 30.0);
            submit(
                &mut world,
                0,
                JobShape { tasks, cpus, estimate_s, urgency: Urgency::BestEffort },
            );
        }
        world.run(Ms(20_000));
        // The job is within its team's guarantee, which takes precedence over the running jobs.
        let mut spec = world.some_job();
        (spec.team, spec.urgency) = (TeamId::new("tight"), Urgency::Critical);
        // The tasks are long, because short ones preempt no other task.
        (spec.tasks, spec.cpus, spec.estimate_s) = (2, 4.0, 90.0);
        (spec.one_zone, spec.spread, spec.types, spec.spot) = (false, false, None, true);
        let job = world.submit(1, spec);
        let preemption_record = |world: &World| world.store.list("cf/made/", None, 9).items.pop();
        while preemption_record(&world).is_none() && !world.priority_watch.begun.contains_key(&job)
        {
            let now = world.now;
            world.run(now.plus(5));
            assert!(now < Ms(60_000), "seed {seed}: neither a preemption nor a start");
        }
        if preemption_record(&world).is_none() {
            // The job started without preemption.
            continue;
        }
        preemptions += 1;
        let pool = preemption_record(&world).expect("written").key.replace("cf/made/", "cf/pool/");
        let holder = world.store.get(&pool).expect("the pool has an owner");
        let holder: HolderRecord = serde_json::from_str(holder.value.get()).expect("a pool");
        let owner = (0..CONTROLLERS).find(|n| controller_id(*n) == holder.owner).expect("a node");
        let crashed_at = world.now;
        world.crash(owner, 8000);
        world.run(crashed_at.plus(25_000));
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        let begun = world.priority_watch.begun.get(&job).expect("started").since(crashed_at);
        assert!(begun <= LEASE_MS + 6 * HEARTBEAT_MS, "seed {seed}: started after {begun} ms");
        assert!(world.stopped > 0, "seed {seed}: no task was preempted");
        assert_eq!(
            world.priority_watch.counted.inverted, 0,
            "seed {seed}: {:?}",
            world.priority_watch.counted.examples
        );
    }
    assert!(preemptions >= 2, "only {preemptions} preemptions");
}
