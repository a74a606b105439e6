//! Jobs that are bound to one zone or spread over zones lose machines, and a zone with its workers and controller is cut
//! off. The simulation checks all invariants, including those on tasks in a wrong zone and on jobs that wait although there
//! is free capacity.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, World, CONTROLLERS};
use cleatfold_wire::*;
use scenario::{assert_all_jobs_end, cancel, plain_job, pool_owner, region, run_for};
use std::collections::BTreeSet;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Submits long tasks in a zone, so that its machines are not returned, and leaves free capacity on them.
fn submit_long_job(world: &mut World, zone: &str) -> JobId {
    let mut spec = plain_job(world, 4, 150.0);
    (spec.cpus, spec.zone) = (3.0, Some(ZoneId::new(zone)));
    world.submit(0, spec)
}

fn machines_of(world: &World, job: &JobId) -> BTreeSet<MachineId> {
    let of_job = world.running.iter().filter(|(task, _)| task.job == *job);
    of_job.map(|(_, machine)| machine.clone()).collect()
}

fn zones_of(world: &World, job: &JobId) -> BTreeSet<ZoneId> {
    let machines = machines_of(world, job);
    machines.iter().filter_map(|machine| Some(world.workers.get(machine)?.zone.clone())).collect()
}

fn running(world: &World, job: &JobId) -> usize {
    world.running.keys().filter(|task| task.job == *job).count()
}

fn wait_until(world: &mut World, max_ms: u64, what: &str, condition: impl Fn(&World) -> bool) {
    let from = world.now;
    while !condition(world) {
        assert!(world.now.since(from) < max_ms, "{what}: not reached");
        run_for(world, 50);
        assert!(world.broken.is_empty(), "{what}: {:#?}", world.broken);
    }
}

/// Returns processors and memory of a task; the tasks of a large array are small.
fn size_of_tasks(tasks: u32) -> (f64, f64) {
    if tasks > 64 {
        (0.05, 0.05)
    } else {
        (1.0, 1.0)
    }
}

/// A region with machines in every zone, and a one-zone job of long tasks that runs in one of the zones.
fn region_with_one_zone_job(seed: u64, tasks: u32) -> (World, JobId, ZoneId, Vec<JobId>) {
    let mut world = region(seed, 12);
    run_for(&mut world, 4_000);
    let long_jobs: Vec<JobId> =
        ZONES.iter().map(|zone| submit_long_job(&mut world, zone)).collect();
    let awaited = long_jobs.clone();
    wait_until(&mut world, 40_000, "work in every zone", |w| {
        awaited.iter().all(|job| running(w, job) == 4)
    });
    let mut spec = plain_job(&mut world, tasks, 30.0);
    let (cpus, memory_gb) = size_of_tasks(tasks);
    (spec.cpus, spec.memory_gb, spec.one_zone) = (cpus, memory_gb, true);
    let job = world.submit(seed as usize % CONTROLLERS, spec);
    let id = job.clone();
    wait_until(&mut world, 40_000, "the bound job", |w| running(w, &id) >= tasks as usize * 2 / 3);
    let zone = zones_of(&world, &job).into_iter().next().expect("it runs");
    (world, job, zone, long_jobs)
}

/// Guards against a job that stays bound to the zone of its first task for ever: when that zone had no machine left and none
/// could be created there, the job waited although other zones had free machines. Fails if the job is never unbound.
#[test]
fn one_zone_job_moves_when_zone_is_lost() {
    for (seed, tasks) in [(1, 4), (2, 6), (3, 300)] {
        let (mut world, _, zone, long_jobs) = region_with_one_zone_job(seed, tasks);
        // No more machines can be created.
        world.cloud.capacity = 0;
        let zone_job =
            long_jobs.iter().zip(ZONES).find(|k| zone == ZoneId::new(k.1)).expect("a zone").0;
        cancel(&mut world, 0, zone_job);
        let lost = world.workers.values().filter(|worker| worker.zone == zone);
        for machine in lost.map(|worker| worker.id.clone()).collect::<Vec<_>>() {
            world.handle_event(SimulationEvent::Die(machine));
        }
        assert_all_jobs_end(&mut world, 260_000, &format!("seed {seed}, {tasks} tasks"));
    }
}

/// All machines of the zone are lost except one, which is unreachable and continues to run a task of the job: until that
/// task is proven to have ended, no task of the job may start in another zone. Fails (`wrong_place`) if a job is unbound
/// while it has claims.
#[test]
fn one_zone_job_stays_while_task_may_run() {
    for (seed, tasks) in [(11, 6), (12, 12), (13, 300)] {
        let (mut world, job, zone, _) = region_with_one_zone_job(seed, tasks);
        world.cloud.capacity = 0;
        let job_machines = machines_of(&world, &job);
        let unreachable_machine = job_machines.iter().next().expect("it runs").clone();
        let until = world.now.plus(25_000);
        world.fault_schedule.cut_machines.insert(unreachable_machine.clone(), until);
        let lost = world.workers.values().filter(|w| w.zone == zone && w.id != unreachable_machine);
        for machine in lost.map(|worker| worker.id.clone()).collect::<Vec<_>>() {
            world.handle_event(SimulationEvent::Die(machine));
        }
        if let Some(owner) = pool_owner(&world, &unreachable_machine) {
            world.crash(owner, 6_000);
        }
        run_for(&mut world, 120_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}

/// Jobs with each kind of zone constraint, including multi-part arrays, lose machines while they run. Some of the machines are
/// only unreachable. The owner of most machines crashes as well.
#[test]
fn zone_constraints_hold_after_machine_loss() {
    for seed in 20..26u64 {
        let mut world = region(seed, 16);
        run_for(&mut world, 4_000);
        for n in 0..9u64 {
            let tasks = [5, 9, 300][n as usize % 3];
            let mut spec = plain_job(&mut world, tasks, [12.0, 25.0][n as usize % 2]);
            (spec.cpus, spec.memory_gb) = size_of_tasks(tasks);
            match n / 3 {
                0 => spec.one_zone = true,
                1 => spec.spread = true,
                _ => spec.zone = Some(ZoneId::new(ZONES[(seed + n) as usize % 3])),
            }
            world.submit(n as usize % CONTROLLERS, spec);
        }
        wait_until(&mut world, 60_000, "the jobs", |w| w.running.len() > 300);
        run_for(&mut world, 300 * (seed % 5));
        let busy: BTreeSet<MachineId> = world.running.values().cloned().collect();
        for (i, machine) in busy.into_iter().enumerate() {
            let now = world.now;
            match (i as u64 + seed) % 4 {
                0 => world.handle_event(SimulationEvent::Die(machine)),
                1 => {
                    world.fault_schedule.cut_machines.insert(machine, now.plus(18_000));
                }
                2 => {
                    world.hung.insert(machine, now.plus(7_000));
                }
                _ => {}
            }
        }
        if let Some(busiest) = world.most() {
            world.crash(busiest, [300, 8_000][seed as usize % 2]);
        }
        assert_all_jobs_end(&mut world, 400_000, &format!("seed {seed}"));
    }
}

/// A zone is partitioned for longer than a lease: its controller reaches neither the state service nor the other
/// controllers, and its workers reach only that controller. Tasks of jobs cancelled at another controller must stop in time,
/// no task may run twice, and all jobs must end after the partition.
#[test]
fn invariants_hold_when_zone_is_partitioned() {
    for seed in 40..46u64 {
        let mut world = region(seed, 16);
        run_for(&mut world, 4_000);
        let inside = seed as usize % CONTROLLERS;
        let zone = ZoneId::new(ZONES[inside]);
        let mut cancelled = Vec::new();
        for n in 0..6u64 {
            let mut spec = plain_job(&mut world, 6, [60.0, 90.0][n as usize % 2]);
            (spec.cpus, spec.team) = (1.0, TeamId::new(["free", "tight"][n as usize % 2]));
            match n % 3 {
                0 => spec.zone = Some(zone.clone()),
                1 => spec.spread = true,
                _ => spec.one_zone = true,
            }
            let job = world.submit(n as usize % CONTROLLERS, spec);
            if n < 2 {
                cancelled.push(job);
            }
        }
        let awaited = cancelled.clone();
        wait_until(&mut world, 60_000, "work in the zone", |w| {
            awaited.iter().all(|job| running(w, job) > 0)
        });
        let until = world.now.plus([14_000, 35_000, 70_000][seed as usize % 3]);
        world.set_apart(inside, until, seed % 2 == 0);
        for outside in (0..CONTROLLERS).filter(|controller| *controller != inside) {
            world.faults.cuts.insert(outside, (until, Some(zone.clone())));
        }
        run_for(&mut world, 1_500 * (seed % 4) + 50);
        let outside = (inside + 1) % CONTROLLERS;
        for job in &cancelled {
            cancel(&mut world, outside, job);
        }
        while world.now < until {
            run_for(&mut world, 500);
            for job in cancelled
                .iter()
                .filter(|job| world.jobs[*job].cancel_confirmed.is_none())
                .cloned()
                .collect::<Vec<_>>()
            {
                cancel(&mut world, outside, &job);
            }
        }
        assert_all_jobs_end(&mut world, 400_000, &format!("seed {seed}"));
    }
}
