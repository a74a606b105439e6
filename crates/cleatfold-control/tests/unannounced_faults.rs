//! Faults that were on no list: controllers that stand still or that workers do not reach, and
//! jobs that fail wherever they run.

use cleatfold_control::records::{HolderRecord, JobRecord};
use cleatfold_testbed::world::{controller_id, Size, World, CONTROLLERS};
use cleatfold_wire::job::{JobSpec, Urgency};
use cleatfold_wire::*;
use std::collections::BTreeMap;

fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL })
}

fn plain(world: &mut World, tasks: u32, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, job::Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 2.0, 1.0, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// Who holds each pool, with the number of its workers.
fn holders(world: &World) -> BTreeMap<PoolId, (usize, usize)> {
    let mut pools: BTreeMap<PoolId, usize> = BTreeMap::new();
    for w in world.workers.values() {
        let pool = PoolId { machine_type: w.machine_type.clone(), zone: w.zone.clone() };
        *pools.entry(pool).or_default() += 1;
    }
    let holder = |pool: &PoolId| {
        let item = world.store.get(&format!("cf/pool/{pool}"))?;
        let record: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
        (0..CONTROLLERS).find(|i| controller_id(*i) == record.owner)
    };
    pools.into_iter().filter_map(|(p, n)| Some((p.clone(), (holder(&p)?, n)))).collect()
}

/// A region with something to do, and whoever holds most of its workers.
fn busy(seed: u64) -> (World, usize) {
    let mut world = region(seed);
    world.run(Ms(4000));
    for _ in 0..6 {
        let spec = plain(&mut world, 30, 8.0);
        world.submit(0, spec);
        let now = world.now;
        world.run(now.plus(500));
    }
    world.run(Ms(25_000));
    let mut held: BTreeMap<usize, usize> = BTreeMap::new();
    holders(&world).values().for_each(|(controller, n)| *held.entry(*controller).or_default() += n);
    let most = held.into_iter().max_by_key(|h| h.1).expect("somebody holds workers").0;
    (world, most)
}

/// The leader gave a pool back to the controller that its workers had just left, since that had
/// fewest, and so on for as long as the cut lasted. Seen to fail without `may_own_pools_in`.
#[test]
fn pools_leave_an_unreachable_controller_and_do_not_wander() {
    for seed in 1..5 {
        let (mut world, cut) = busy(seed);
        let until = world.now.plus(60_000);
        world.faults.cuts.insert(cut, (until, None));
        let from = world.now;
        let (mut moves, mut known) = (0, holders(&world));
        let mut served = None;
        while world.now < until {
            let now = world.now;
            world.run(now.plus(250));
            let held = holders(&world);
            moves += held.iter().filter(|(p, h)| known.get(*p).is_some_and(|k| k.0 != h.0)).count();
            if served.is_none() && held.values().all(|h| h.0 != cut) {
                served = Some(world.now.since(from));
            }
            let came = |p: &PoolId| known.get(p).is_some_and(|k| k.0 != cut);
            let back: Vec<_> = held.iter().filter(|(p, h)| h.0 == cut && came(p)).collect();
            assert!(back.is_empty(), "seed {seed}: {back:?} went back behind the cut");
            known = held;
        }
        // Quiet for 1.5 s, three questions a second apart of a second each, a assigning.
        assert!(served.is_some_and(|ms| ms <= 10_000), "seed {seed}: {served:?}");
        assert!(moves <= 6, "seed {seed}: {moves} moves");
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

#[test]
fn a_cut_from_one_zone_costs_that_zone_alone() {
    let (mut world, cut) = busy(7);
    let held = holders(&world);
    let zone = held.iter().find(|(_, h)| h.0 == cut).expect("it holds some").0.zone.clone();
    let until = world.now.plus(40_000);
    world.faults.cuts.insert(cut, (until, Some(zone.clone())));
    let now = world.now;
    world.run(now.plus(15_000));
    let after = holders(&world);
    assert!(after.iter().all(|(p, h)| p.zone != zone || h.0 != cut), "{after:?}");
    world.run(Ms(300_000));
    assert_eq!(world.unfinished(), Vec::<JobId>::new());
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}

/// What comes first after a standstill is what was known before it. All rules are watched; and the
/// work goes on elsewhere within the lease, and is all done.
#[test]
fn a_controller_that_stood_still_does_nothing_under_what_it_held() {
    for seed in 10..16 {
        let (mut world, most) = busy(seed);
        // One after the other, then all at once, for longer and shorter than every lease.
        for (i, for_ms) in [(most, 25_000), ((most + 1) % CONTROLLERS, 4_000), (most, 2_000)] {
            let spec = plain(&mut world, 20, 6.0);
            world.submit((i + 1) % CONTROLLERS, spec);
            world.freeze(i, for_ms);
            let now = world.now;
            world.run(now.plus(for_ms / 2 + 3_000));
        }
        (0..CONTROLLERS).for_each(|i| world.freeze(i, 15_000));
        world.run(Ms(300_000));
        assert_eq!(world.unfinished(), Vec::<JobId>::new(), "seed {seed}");
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

/// One job in a few fails on every machine. Good machines were returned for it by the dozen, and
/// each of its owners tried it at its own pace.
#[test]
fn jobs_that_fail_everywhere_cost_no_machine_and_a_bounded_number_of_starts() {
    let mut world = region(20);
    world.run(Ms(4000));
    let mut broken = Vec::new();
    for i in 0..16 {
        let spec = plain(&mut world, 12, 5.0);
        if i % 2 == 0 {
            world.faults.broken.insert(spec.id.clone());
            broken.push(spec.id.clone());
        }
        world.submit(i % CONTROLLERS, spec);
        let now = world.now;
        world.run(now.plus(400));
    }
    world.run(Ms(60_000));
    let machines = world.booted;
    let attempts = |world: &World| -> u64 {
        let record = |id: &JobId| {
            let item = world.store.get(&format!("cf/j/{id}")).expect("it waits for its user");
            serde_json::from_str::<JobRecord>(item.value.get()).expect("a record")
        };
        broken.iter().map(|id| u64::from(record(id).table.losses.total)).sum()
    };
    let before = attempts(&world);
    world.run(Ms(360_000));
    let (after, unfinished) = (attempts(&world), world.unfinished());
    assert_eq!(unfinished.len(), broken.len(), "the others are done: {unfinished:?}");
    // Eight jobs, five minutes: pauses of half a minute to two and a half, one task at a time.
    assert!(after - before <= 8 * 6, "{before} {after}");
    assert!(after > before, "they are still tried");
    // Idle machines are returned; a job that is tried again then needs one, and keeps it for a
    // while.
    assert!(world.booted <= machines + 8, "{} after {machines}", world.booted);
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}
