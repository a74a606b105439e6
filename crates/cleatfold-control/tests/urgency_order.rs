//! Priority on days on which planners fail: a wave of background fills the region, then urgent work comes, and
//! whoever plans most is killed, frozen or cut off.

use cleatfold_control::records::HolderRecord;
use cleatfold_testbed::world::{controller_id, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const LEASE_MS: u64 = 3000;
const REPORT_MS: u64 = 1000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fall {
    Calm,
    Killed,
    Frozen,
    Cut,
    /// From the state service alone.
    Apart,
    /// Two at once: one killed, one frozen.
    Two,
}

/// The controllers by how many pools they hold, the most first.
fn planners(world: &World) -> Vec<usize> {
    let mut held: BTreeMap<usize, usize> = (0..CONTROLLERS).map(|n| (n, 0)).collect();
    for item in world.store.list("cf/pool/", None, 50).items {
        let holder: HolderRecord = serde_json::from_str(item.value.get()).expect("a pool");
        let controller = (0..CONTROLLERS).find(|n| controller_id(*n) == holder.owner);
        *held.entry(controller.expect("a node")).or_default() += 1;
    }
    let mut controllers: Vec<usize> = (0..CONTROLLERS).collect();
    controllers.sort_by_key(|n| std::cmp::Reverse(held[n]));
    controllers
}

struct Shape {
    tasks: u32,
    cpus: f64,
    estimate_s: f64,
    urgency: Urgency,
}

fn submit(world: &mut World, controller: usize, shape: Shape) -> JobId {
    let mut spec = world.some_job();
    spec.team = TeamId::new("free");
    // As users have it: a class is of one urgency.
    spec.class = ClassId::new(format!("{:?}", shape.urgency).to_lowercase());
    (spec.urgency, spec.tasks) = (shape.urgency, shape.tasks);
    (spec.cpus, spec.estimate_s) = (shape.cpus, shape.estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.spot) = (false, false, None, true);
    world.submit(controller, spec)
}

struct Day {
    world: World,
    /// When the urgent jobs that came since the fall were accepted and began.
    waits: Vec<u64>,
    background: Vec<JobId>,
}

fn day(seed: u64, fall: Fall) -> Day {
    // What lasting overload changes of the order is not the subject here.
    let size = Size { machines: 24, most_jobs: 0, admission: false, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.priority_watch.on = true;
    let mut luck = SmallRng::seed_from_u64(seed ^ 0x1a2e5);
    let mut background = Vec::new();
    let mut urgent = Vec::new();
    let fell = 32_000 + luck.random_range(0..4000);
    let mut fallen = false;
    for tick in 0..700u64 {
        let now = Ms(5000 + tick * 100);
        world.run(now);
        let alive = |world: &World| -> Vec<usize> {
            let cut = |n: usize| world.cut[n] > now || world.store_cut[n] > now;
            (0..CONTROLLERS).filter(|n| world.controllers[*n].is_some() && !cut(*n)).collect()
        };
        if !fallen && now.0 >= fell {
            fallen = true;
            let who = planners(&world);
            let until = now.plus(14_000);
            match fall {
                Fall::Calm => {}
                Fall::Killed => world.crash(who[0], 8000),
                Fall::Frozen => world.freeze(who[0], 14_000),
                Fall::Cut => world.at(0, SimulationEvent::Cut { controller: who[0], until }),
                Fall::Apart => world.at(0, SimulationEvent::StoreCut { controller: who[0], until }),
                Fall::Two => {
                    world.crash(who[0], 8000);
                    world.freeze(who[1], 14_000);
                }
            }
        }
        // Two background jobs at once now and then: more than there is room for.
        if tick % 40 == 0 {
            for _ in 0..2 {
                let controllers = alive(&world);
                let controller = controllers[luck.random_range(0..controllers.len())];
                let cpus = [1.0, 2.0, 4.0][luck.random_range(0..3)];
                let tasks = (200.0 / cpus) as u32;
                let estimate_s = luck.random_range(4.0..12.0);
                let urgency = Urgency::BestEffort;
                background.push(submit(
                    &mut world,
                    controller,
                    Shape { tasks, cpus, estimate_s, urgency },
                ));
            }
        }
        if (200..560).contains(&tick) && tick % 12 == 0 {
            let controllers = alive(&world);
            let controller = controllers[luck.random_range(0..controllers.len())];
            let urgency = [Urgency::Critical, Urgency::High, Urgency::Normal];
            let shape = Shape {
                tasks: luck.random_range(1..6),
                cpus: [1.0, 2.0, 4.0][luck.random_range(0..3)],
                estimate_s: luck.random_range(2.0..6.0),
                urgency: urgency[luck.random_range(0..3)],
            };
            let job = submit(&mut world, controller, shape);
            if fallen && now.0 < fell + 30_000 {
                urgent.push(job);
            }
        }
    }
    world.run(Ms(200_000));
    assert!(world.broken.is_empty(), "seed {seed} {fall:?}: {:#?}", world.broken);
    let lanes = &world.priority_watch;
    let waits =
        urgent.iter().filter_map(|j| Some(lanes.begun.get(j)?.since(*lanes.accepted.get(j)?)));
    let waits: Vec<u64> = waits.collect();
    assert!(waits.len() + 1 >= urgent.len(), "seed {seed} {fall:?}: urgent jobs never began");
    Day { world, waits, background }
}

/// Share of inverted starts, and the longest wait for a first start, on such a day.
fn measured(seed: u64, fall: Fall) -> (f64, u64) {
    let day = day(seed, fall);
    let counted = &day.world.priority_watch.counted;
    assert!(counted.starts > 1500, "seed {seed} {fall:?}: {} starts", counted.starts);
    // What comes is four times what there is room for; background gets what urgent work leaves.
    let begun = |j: &&JobId| day.world.priority_watch.begun.contains_key(*j);
    let begun = day.background.iter().filter(begun).count();
    assert!(begun >= day.background.len() / 3, "seed {seed} {fall:?}: {begun} begun");
    let share = f64::from(counted.inverted) / f64::from(counted.starts);
    (share, day.waits.into_iter().max().unwrap_or(0))
}

fn order_stays(seed: u64, fall: Fall, most: f64, leases: u64) {
    let (calm, usual) = measured(seed, Fall::Calm);
    assert_eq!(calm, 0.0, "seed {seed}");
    let (share, longest) = measured(seed, fall);
    assert!(share <= most, "seed {seed} {fall:?}: {share}");
    let bound = usual + leases * LEASE_MS + REPORT_MS;
    assert!(
        longest <= bound,
        "seed {seed} {fall:?}: {longest} ms for a first start, bound {bound}"
    );
}

#[test]
fn killed() {
    order_stays(1, Fall::Killed, 0.005, 1);
}

#[test]
fn frozen() {
    order_stays(2, Fall::Frozen, 0.005, 1);
}

#[test]
fn cut_off() {
    order_stays(1, Fall::Cut, 0.005, 1);
}

#[test]
fn apart_from_the_state_service() {
    order_stays(2, Fall::Apart, 0.005, 1);
}

/// With two of three gone what is left has every pool at once. (Not the 0.005 that is wanted: `docs/priority.md`.)
#[test]
fn two_at_once() {
    order_stays(1, Fall::Two, 0.03, 3);
}

/// The owner dies as soon as its decision to make room is written: whoever has the pool next finishes it, and
/// nothing below goes first.
#[test]
fn preemption_goes_on_under_the_next_owner() {
    let mut rooms = 0;
    for seed in 1..10 {
        let size = Size { machines: 9, most_jobs: 0, admission: false, ..Size::SMALL };
        let mut world = World::sized(seed, false, size);
        world.priority_watch.on = true;
        world.run(Ms(5000));
        for _ in 0..3 {
            let (tasks, cpus, estimate_s) = (60, 4.0, 30.0);
            submit(&mut world, 0, Shape { tasks, cpus, estimate_s, urgency: Urgency::BestEffort });
        }
        world.run(Ms(20_000));
        // Within its team's guarantee, which counts for more than what runs.
        let mut spec = world.some_job();
        (spec.team, spec.urgency) = (TeamId::new("tight"), Urgency::Critical);
        // Long, or nobody would be stopped for it.
        (spec.tasks, spec.cpus, spec.estimate_s) = (2, 4.0, 90.0);
        (spec.one_zone, spec.spread, spec.types, spec.spot) = (false, false, None, true);
        let job = world.submit(1, spec);
        let made = |world: &World| world.store.list("cf/made/", None, 9).items.pop();
        while made(&world).is_none() && !world.priority_watch.begun.contains_key(&job) {
            let now = world.now;
            world.run(now.plus(5));
            assert!(now < Ms(60_000), "seed {seed}: neither room nor a start");
        }
        if made(&world).is_none() {
            // There was room for it without anybody leaving.
            continue;
        }
        rooms += 1;
        let pool = made(&world).expect("made").key.replace("cf/made/", "cf/pool/");
        let holder = world.store.get(&pool).expect("held");
        let holder: HolderRecord = serde_json::from_str(holder.value.get()).expect("a pool");
        let owner = (0..CONTROLLERS).find(|n| controller_id(*n) == holder.owner).expect("a node");
        let fell = world.now;
        world.crash(owner, 8000);
        world.run(fell.plus(25_000));
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        let begun = world.priority_watch.begun.get(&job).expect("begun").since(fell);
        assert!(begun <= LEASE_MS + 6 * REPORT_MS, "seed {seed}: begun after {begun} ms");
        assert!(world.stopped > 0, "seed {seed}: nobody left");
        assert_eq!(
            world.priority_watch.counted.inverted, 0,
            "seed {seed}: {:?}",
            world.priority_watch.counted.examples
        );
    }
    assert!(rooms >= 2, "room was made {rooms} times");
}
