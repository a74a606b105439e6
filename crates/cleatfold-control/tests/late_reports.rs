//! Late copies of reports, machines that receive no answers, and a controller that is cut off from the state
//! service and its peers but not from its workers.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::*;
use scenario::{plain_job, run_for};
use std::collections::{BTreeMap, BTreeSet};

fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL })
}

/// A region with tasks of about `estimate_s` on all of its machines and one free processor on each.
fn busy_region(seed: u64, estimate_s: f64) -> World {
    let mut world = region(seed);
    world.run(Ms(4000));
    for _ in 0..6 {
        let mut spec = plain_job(&mut world, 30, estimate_s);
        spec.cpus = 1.75;
        world.submit(0, spec);
        run_for(&mut world, 500);
    }
    world.run(Ms(25_000));
    world
}

/// Runs for `ms` and counts changes of pool owners.
fn count_owner_changes(world: &mut World, ms: u64) -> usize {
    let until = world.now.plus(ms);
    let (mut moves, mut known) = (0, world.holders());
    while world.now < until {
        run_for(world, 250);
        let held = world.holders();
        moves += held.iter().filter(|(p, h)| known.get(*p).is_some_and(|k| k.0 != h.0)).count();
        known.extend(held);
    }
    moves
}

// ---- copies of reports ----

/// A controller that its workers cannot reach counted copies of their old reports as contact: it kept its
/// pools for 13.5 s and more, for as long as copies arrived.
#[test]
fn duplicate_reports_keep_zone_unreachable() {
    for seed in 1..4 {
        let mut world = busy_region(seed, 8.0);
        let cut = world.most().expect("a controller owns workers");
        let now = world.now;
        world.copies(0.6, (2_000, 25_000), now.plus(60_000));
        run_for(&mut world, 12_000);
        let (from, until) = (world.now, world.now.plus(45_000));
        world.faults.cuts.insert(cut, (until, None));
        let mut served_after_ms = None;
        while world.now < until && served_after_ms.is_none() {
            run_for(&mut world, 250);
            if world.holders().values().all(|h| h.0 != cut) {
                served_after_ms = Some(world.now.since(from));
            }
        }
        assert!(served_after_ms.is_some_and(|ms| ms <= 12_000), "seed {seed}: {served_after_ms:?}");
        world.run(Ms(300_000));
        assert_eq!(world.unfinished(), Vec::<JobId>::new());
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

/// Copies that reach a controller which does not own the pool were taken as workers that cannot reach their
/// owner: pools moved 16 to 18 times a minute without any fault, and still 7 to 14 times when the worker was
/// asked but six messages counted as none.
#[test]
fn report_copies_move_no_pool() {
    let mut moves = Vec::new();
    for seed in 1..5 {
        // Enough work that no machine is returned meanwhile, since changed pool sizes cause rebalancing.
        let mut world = busy_region(seed, 90.0);
        run_for(&mut world, 10_000);
        let now = world.now;
        world.copies(0.6, (2_000, 30_000), now.plus(60_000));
        moves.push(count_owner_changes(&mut world, 60_000));
        assert!(world.faults.copied > 500);
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
    assert!(moves.iter().all(|m| *m == 0), "{moves:?}");
}

/// Copies of reports of returned machines made a controller that had not deleted them itself list them as
/// running again: waiting tasks were planned on them and waited longer (2 s of 19 here).
#[test]
fn report_copies_revive_no_returned_machine() {
    let completion_ms = |seed: u64, copies: bool| -> u64 {
        let mut world = busy_region(seed, 4.0);
        // Idle machines are returned; then the controllers that returned them are restarted.
        let mut last: BTreeMap<MachineId, worker::Heartbeat> = BTreeMap::new();
        let mut most = world.workers.len();
        while world.workers.len() * 2 > most && world.now < Ms(120_000) {
            for (id, w) in &mut world.workers {
                last.insert(id.clone(), w.heartbeat());
            }
            run_for(&mut world, 1_000);
            most = most.max(world.workers.len());
        }
        last.retain(|id, _| !world.workers.contains_key(id));
        (0..CONTROLLERS).for_each(|i| world.crash(i, 300 + 400 * i as u64));
        for (n, report) in last.into_values().enumerate().filter(|_| copies) {
            for round in 0..8 {
                let copy =
                    SimulationEvent::Copy((n + round) % CONTROLLERS, Box::new(report.clone()));
                world.at(3_000 + 4_000 * round as u64, copy);
            }
        }
        run_for(&mut world, 8_000);
        // More tasks than fit on the remaining machines.
        let from = world.now;
        for _ in 0..4 {
            let spec = plain_job(&mut world, 30, 4.0);
            world.submit(1, spec);
            run_for(&mut world, 100);
        }
        while !world.unfinished().is_empty() && world.now.since(from) < 120_000 {
            run_for(&mut world, 250);
        }
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        world.now.since(from)
    };
    for seed in 1..4 {
        let (without_copies, with_copies) = (completion_ms(seed, false), completion_ms(seed, true));
        assert!(
            with_copies <= without_copies + 1_000,
            "seed {seed}: {without_copies} ms, with copies {with_copies} ms"
        );
    }
}

/// Copies of reports that a machine sent before it failed kept a new pool owner from declaring it lost: 49 s
/// instead of 34 when a report without the owner's token counts as contact.
#[test]
fn report_copies_delay_no_machine_loss() {
    let recovery_ms = |seed: u64, copies: bool| -> u64 {
        let mut world = busy_region(seed, 60.0);
        let machine = world.running.values().next().expect("a busy machine").clone();
        let tasks: BTreeSet<TaskId> =
            world.running.iter().filter(|r| *r.1 == machine).map(|r| r.0.clone()).collect();
        let pool = world.pool_of(&machine).expect("machine exists");
        let owner = world.holder(&pool).expect("pool has an owner");
        let worker = world.workers.get_mut(&machine).expect("machine exists");
        let reports: Vec<_> = (0..15).map(|_| worker.heartbeat()).collect();
        world.at(0, SimulationEvent::Die(machine.clone()));
        world.crash(owner, 10_000);
        for (i, report) in reports.into_iter().enumerate().filter(|_| copies) {
            for controller in 0..CONTROLLERS {
                let copy = SimulationEvent::Copy(controller, Box::new(report.clone()));
                world.at(2_000 * (i as u64 + 1), copy);
            }
        }
        let from = world.now;
        let elsewhere = |w: &World, t: &TaskId| w.running.get(t).is_some_and(|m| *m != machine);
        while !tasks.iter().all(|t| elsewhere(&world, t)) && world.now.since(from) < 90_000 {
            run_for(&mut world, 250);
        }
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        world.now.since(from)
    };
    for seed in 1..4 {
        let (without_copies, with_copies) = (recovery_ms(seed, false), recovery_ms(seed, true));
        assert!(
            with_copies <= without_copies + 4_000,
            "seed {seed}: {without_copies} ms, with copies {with_copies} ms"
        );
    }
}

// ---- machines that receive no answers ----

/// A machine that reports but receives no answers was assigned tasks again after each expiry of its lease,
/// even after minutes; each task assigned there waited for one lease.
#[test]
fn tasks_move_from_machine_without_answers() {
    for seed in 1..4 {
        let mut world = busy_region(seed, 40.0);
        let machine = world.running.values().next().expect("a busy machine").clone();
        let tasks: BTreeSet<TaskId> =
            world.running.iter().filter(|r| *r.1 == machine).map(|r| r.0.clone()).collect();
        let (from, until) = (world.now, world.now.plus(90_000));
        world.deafen(&machine, until);
        let mut elsewhere: BTreeMap<TaskId, u64> = BTreeMap::new();
        let mut claimed: BTreeSet<(TaskId, Attempt)> = BTreeSet::new();
        let mut late = 0;
        while world.now < until {
            run_for(&mut world, 250);
            let now = world.now;
            for task in &tasks {
                let done = world.jobs[&task.job].done.contains(&task.ix.0);
                let other = world.running.get(task).is_some_and(|m| *m != machine);
                if done || other {
                    elsewhere.entry(task.clone()).or_insert(now.since(from));
                }
            }
            let tasks_on_machine = world.claims().remove(&machine).unwrap_or_default();
            // Its lease has expired and it has contacted its owner twice.
            if now.since(from) > 45_000 {
                late += tasks_on_machine.difference(&claimed).count();
            }
            claimed.extend(tasks_on_machine);
        }
        assert!(elsewhere.len() == tasks.len(), "seed {seed}: {elsewhere:?} of {tasks:?}");
        let longest = elsewhere.values().max().copied().unwrap_or_default();
        assert!(longest <= 45_000, "seed {seed}: {elsewhere:?}");
        assert_eq!(late, 0, "seed {seed}: still claimed on the machine");
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

/// A pool, then a zone, of such machines: pools do not move back and forth between controllers, and the zone's
/// machines are not all returned. (A pool of eight machines once was.)
#[test]
fn zone_without_answers_keeps_machines() {
    for (seed, whole) in [(1, false), (2, true), (3, true)] {
        let mut world = busy_region(seed, 50.0);
        let machine = world.running.values().next().expect("a busy machine").clone();
        let pool = world.pool_of(&machine).expect("machine exists");
        let machine_count = |world: &World| -> usize {
            let kind =
                |w: &&cleatfold_fakes::worker::Worker| whole || w.machine_type == pool.machine_type;
            world.workers.values().filter(|w| w.zone == pool.zone).filter(kind).count()
        };
        let (before, until) = (machine_count(&world), world.now.plus(60_000));
        let kind = (!whole).then(|| pool.machine_type.clone());
        world.deafen_zone(pool.zone.clone(), kind, until);
        let spec = plain_job(&mut world, 40, 10.0);
        world.submit(1, spec);
        let moves = count_owner_changes(&mut world, 60_000);
        let after = machine_count(&world);
        assert!(moves <= 4, "seed {seed}: {moves} moves");
        assert!(after * 2 >= before, "seed {seed}: {before} machines, then {after}");
        world.run(Ms(400_000));
        assert_eq!(world.unfinished(), Vec::<JobId>::new(), "seed {seed}");
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

// ---- a controller without the state service and its peers ----

/// The controller kept answering its workers with 200 until the limit for cancellations, although other
/// controllers owned its pools: nothing started there until the cut ended.
#[test]
fn pools_of_isolated_controller_resume_starts() {
    for (seed, held) in [(1, false), (2, true), (3, false)] {
        let mut world = busy_region(seed, 90.0);
        let isolated = world.most().expect("a controller owns workers");
        let held_by = world.holders();
        let pool = held_by.iter().filter(|h| h.1 .0 == isolated).max_by_key(|h| h.1 .1);
        let pool = pool.expect("it owns pools").0.clone();
        let (from, until) = (world.now, world.now.plus(45_000));
        world.set_apart(isolated, until, held);
        let before = (world.dropped, world.running.len());
        let mut spec = plain_job(&mut world, 4, 5.0);
        // There is capacity for it beside the running tasks.
        (spec.cpus, spec.zone) = (0.5, Some(pool.zone.clone()));
        spec.types = Some(vec![pool.machine_type.clone()]);
        let job = world.submit((isolated + 1) % CONTROLLERS, spec);
        while world.jobs[&job].begun.is_none() && world.now < until {
            run_for(&mut world, 250);
        }
        let started_after_ms = world.now.since(from);
        world.run(until);
        assert!(started_after_ms <= 12_000, "seed {seed}: {started_after_ms} ms");
        assert_eq!(world.dropped, before.0, "seed {seed}: tasks were lost");
        world.run(Ms(500_000));
        assert_eq!(world.unfinished(), Vec::<JobId>::new());
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

/// While the state service is unavailable to all, no other controller can serve the workers: a controller that
/// drops its workers costs them their leases.
#[test]
fn full_outage_expires_no_lease() {
    for seed in 1..4 {
        for outage_ms in [8_000, 20_000] {
            let mut world = busy_region(seed, 90.0);
            let (before, until) = (world.dropped, world.now.plus(outage_ms));
            world.outage = until;
            world.store.renew_all_leases(until);
            world.run(until.plus(20_000));
            assert_eq!(world.dropped, before, "seed {seed}: {outage_ms} ms cost leases");
            assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        }
    }
}
