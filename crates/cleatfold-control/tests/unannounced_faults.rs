//! Further faults: controllers that freeze or that workers cannot reach, and jobs that fail on every machine.

use cleatfold_control::records::{HolderRecord, JobRecord};
use cleatfold_testbed::world::{controller_id, Size, World, CONTROLLERS};
use cleatfold_wire::job::{JobSpec, Urgency};
use cleatfold_wire::*;
use std::collections::BTreeMap;

fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL })
}

fn job_spec(world: &mut World, tasks: u32, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, job::Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, 2.0, 1.0, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// The owner of each pool, with the number of its workers.
fn pool_owners(world: &World) -> BTreeMap<PoolId, (usize, usize)> {
    let mut pools: BTreeMap<PoolId, usize> = BTreeMap::new();
    for w in world.workers.values() {
        let pool = PoolId { machine_type: w.machine_type.clone(), zone: w.zone.clone() };
        *pools.entry(pool).or_default() += 1;
    }
    let owner_of = |pool: &PoolId| {
        let item = world.store.get(&format!("cf/pool/{pool}"))?;
        let record: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
        (0..CONTROLLERS).find(|i| controller_id(*i) == record.owner)
    };
    pools.into_iter().filter_map(|(p, n)| Some((p.clone(), (owner_of(&p)?, n)))).collect()
}

/// A region with running jobs, and the controller that owns most of its workers.
fn busy_region(seed: u64) -> (World, usize) {
    let mut world = region(seed);
    world.run(Ms(4000));
    for _ in 0..6 {
        let spec = job_spec(&mut world, 30, 8.0);
        world.submit(0, spec);
        let now = world.now;
        world.run(now.plus(500));
    }
    world.run(Ms(25_000));
    let mut held: BTreeMap<usize, usize> = BTreeMap::new();
    pool_owners(&world)
        .values()
        .for_each(|(controller, n)| *held.entry(*controller).or_default() += n);
    let most = held.into_iter().max_by_key(|h| h.1).expect("a controller owns workers").0;
    (world, most)
}

/// The leader assigned a pool back to the controller that its workers could not reach, because that controller
/// had the fewest workers, and repeated this until the cut ended. Fails without `may_own_pools_in`.
#[test]
fn pools_leave_unreachable_controller_and_stay() {
    for seed in 1..5 {
        let (mut world, unreachable) = busy_region(seed);
        let until = world.now.plus(60_000);
        world.faults.cuts.insert(unreachable, (until, None));
        let from = world.now;
        let (mut moves, mut known) = (0, pool_owners(&world));
        let mut evacuated_after_ms = None;
        while world.now < until {
            let now = world.now;
            world.run(now.plus(250));
            let held = pool_owners(&world);
            moves += held.iter().filter(|(p, h)| known.get(*p).is_some_and(|k| k.0 != h.0)).count();
            if evacuated_after_ms.is_none() && held.values().all(|h| h.0 != unreachable) {
                evacuated_after_ms = Some(world.now.since(from));
            }
            let was_moved = |p: &PoolId| known.get(p).is_some_and(|k| k.0 != unreachable);
            let moved_back: Vec<_> =
                held.iter().filter(|(p, h)| h.0 == unreachable && was_moved(p)).collect();
            assert!(
                moved_back.is_empty(),
                "seed {seed}: {moved_back:?} moved back to the unreachable controller"
            );
            known = held;
        }
        // 1.5 s without reports, three probes one second apart with a timeout of one second each, and an assignment.
        assert!(
            evacuated_after_ms.is_some_and(|ms| ms <= 10_000),
            "seed {seed}: {evacuated_after_ms:?}"
        );
        assert!(moves <= 6, "seed {seed}: {moves} moves");
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

#[test]
fn zone_cut_moves_only_that_zone() {
    let (mut world, unreachable) = busy_region(7);
    let held = pool_owners(&world);
    let zone = held.iter().find(|(_, h)| h.0 == unreachable).expect("it owns pools").0.zone.clone();
    let until = world.now.plus(40_000);
    world.faults.cuts.insert(unreachable, (until, Some(zone.clone())));
    let now = world.now;
    world.run(now.plus(15_000));
    let after = pool_owners(&world);
    assert!(after.iter().all(|(p, h)| p.zone != zone || h.0 != unreachable), "{after:?}");
    world.run(Ms(300_000));
    assert_eq!(world.unfinished(), Vec::<JobId>::new());
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}

/// After a freeze a controller first acts on its state from before it. All invariants are checked; the work
/// continues at other controllers within the lease, and all jobs end.
#[test]
fn frozen_controller_violates_no_invariant() {
    for seed in 10..16 {
        let (mut world, most) = busy_region(seed);
        // First one controller at a time, then all at once, for longer and shorter than every lease.
        for (i, freeze_ms) in [(most, 25_000), ((most + 1) % CONTROLLERS, 4_000), (most, 2_000)] {
            let spec = job_spec(&mut world, 20, 6.0);
            world.submit((i + 1) % CONTROLLERS, spec);
            world.freeze(i, freeze_ms);
            let now = world.now;
            world.run(now.plus(freeze_ms / 2 + 3_000));
        }
        (0..CONTROLLERS).for_each(|i| world.freeze(i, 15_000));
        world.run(Ms(300_000));
        assert_eq!(world.unfinished(), Vec::<JobId>::new(), "seed {seed}");
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

/// Half of the jobs fail on every machine. Healthy machines were returned because of them by the dozen, and each
/// owner retried them on its own schedule.
#[test]
fn failing_jobs_have_bounded_starts() {
    let mut world = region(20);
    world.run(Ms(4000));
    let mut failing_jobs = Vec::new();
    for i in 0..16 {
        let spec = job_spec(&mut world, 12, 5.0);
        if i % 2 == 0 {
            world.faults.broken.insert(spec.id.clone());
            failing_jobs.push(spec.id.clone());
        }
        world.submit(i % CONTROLLERS, spec);
        let now = world.now;
        world.run(now.plus(400));
    }
    world.run(Ms(60_000));
    let machines = world.booted;
    let attempts = |world: &World| -> u64 {
        let record = |id: &JobId| {
            let item = world.store.get(&format!("cf/j/{id}")).expect("job record exists");
            serde_json::from_str::<JobRecord>(item.value.get()).expect("a record")
        };
        failing_jobs.iter().map(|id| u64::from(record(id).table.losses.total)).sum()
    };
    let before = attempts(&world);
    world.run(Ms(360_000));
    let (after, unfinished) = (attempts(&world), world.unfinished());
    assert_eq!(unfinished.len(), failing_jobs.len(), "all other jobs are done: {unfinished:?}");
    // Eight jobs in five minutes: retry delays of 0.5 to 2.5 minutes, one task at a time.
    assert!(after - before <= 8 * 6, "{before} {after}");
    assert!(after > before, "failing jobs are still retried");
    // Idle machines are returned; a retried job then needs a machine and keeps it for a while.
    assert!(world.booted <= machines + 8, "{} after {machines}", world.booted);
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}
