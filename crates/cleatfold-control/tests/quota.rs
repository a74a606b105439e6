//! Teams at their limits while machines are unreachable, jobs are cancelled and the leader changes. The capacity held by
//! limits, claims and reservations must be released once the faults are over.

mod scenario;

use cleatfold_control::records::HolderRecord;
use cleatfold_roles::Role;
use cleatfold_testbed::world::{
    controller_id, team_id, Purpose, SimulationEvent, Size, World, CONTROLLERS,
};
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::*;
use scenario::{assert_all_jobs_end, cancel, plain_job, run_for, OwnerFault};
use std::collections::BTreeSet;

/// A region in which every team's limit is a tenth of its demand.
fn scarce_region(seed: u64) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, ..Size::SCARCE });
    world.poll_everything();
    world
}

fn leader(world: &World) -> Option<usize> {
    let item = world.store.get(Role::PoolAssignment.key())?;
    let holder: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
    (0..world.controllers.len()).find(|i| controller_id(*i) == holder.owner)
}

/// Returns the number of teams that can't start another task of two processors.
fn teams_at_limit(world: &World) -> usize {
    let size = Size::SCARCE;
    let used = |i: usize| world.in_use.get(&team_id(i)).copied().unwrap_or_default();
    (0..size.teams).filter(|i| used(*i) + 2.0 > size.limit_cpus).count()
}

/// A region in which every team is at its limit, with many more tasks queued.
fn region_at_limits(seed: u64) -> (World, Vec<JobId>) {
    let mut world = scarce_region(seed);
    run_for(&mut world, 4_000);
    let mut jobs = Vec::new();
    // Each job takes half of a limit, so that the jobs that run next to a cancelled one free capacity on other machines when they end.
    for n in 0..Size::SCARCE.teams * 6 {
        let mut spec = plain_job(&mut world, 3, [12.0, 40.0][n / Size::SCARCE.teams % 2]);
        (spec.team, spec.cpus) = (team_id(n % Size::SCARCE.teams), 2.0);
        jobs.push(world.submit(n % CONTROLLERS, spec));
    }
    let from = world.now;
    while teams_at_limit(&world) < Size::SCARCE.teams {
        assert!(world.now.since(from) < 60_000, "seed {seed}: no team at its limit");
        run_for(&mut world, 50);
    }
    (world, jobs)
}

#[derive(Clone, Copy, Debug)]
enum MachineFault {
    Hangs(u64),
    Cut(u64),
    OneWayPartition(u64),
}

impl MachineFault {
    fn inject(self, world: &mut World, machine: &MachineId) {
        let now = world.now;
        match self {
            MachineFault::Hangs(ms) => {
                world.hung.insert(machine.clone(), now.plus(ms));
            }
            MachineFault::Cut(ms) => {
                world.fault_schedule.cut_machines.insert(machine.clone(), now.plus(ms));
            }
            MachineFault::OneWayPartition(ms) => world.deafen(machine, now.plus(ms)),
        }
    }
}

/// The order in which the machines become unreachable, the jobs are cancelled and the leader fails.
#[derive(Clone, Copy, Debug)]
enum Order {
    LeaderLast,
    LeaderFirst,
    /// The jobs are cancelled while there is no leader, after the machines became unreachable.
    CancelLast,
}

/// Makes the machines of one job of each team unreachable, cancels the job and changes the leader. Returns the largest
/// number of tasks that ran after the cancellation of their job was confirmed.
fn max_running_after_cancellation(
    seed: u64,
    machine_fault: MachineFault,
    owner_fault: OwnerFault,
    order: Order,
) -> usize {
    let what = format!("seed {seed} {machine_fault:?} {owner_fault:?} {order:?}");
    let (mut world, jobs) = region_at_limits(seed);
    // Delays the replies of the state service at random, so that they cross later requests.
    for controller in 0..CONTROLLERS {
        let until = world.now.plus(40_000);
        world.fault_schedule.late_commits.insert(controller, (900, until));
    }
    let is_running = |w: &World, job: &JobId| w.running.keys().any(|task| task.job == *job);
    let victims: Vec<JobId> = (0..Size::SCARCE.teams)
        .filter_map(|team| {
            let of_team = jobs.iter().skip(team).step_by(Size::SCARCE.teams);
            // The last running job, whose tasks take longest.
            of_team.into_iter().rev().find(|job| is_running(&world, job)).cloned()
        })
        .collect();
    let machines: BTreeSet<MachineId> = world
        .running
        .iter()
        .filter(|(task, _)| victims.contains(&task.job))
        .map(|(_, machine)| machine.clone())
        .collect();
    let initial_leader = leader(&world).or(world.most()).expect("there is a leader");
    let lose_machines = |w: &mut World| machines.iter().for_each(|m| machine_fault.inject(w, m));
    let cancel_victims = |w: &mut World| {
        victims.iter().for_each(|job| cancel(w, (initial_leader + 1) % CONTROLLERS, job));
    };
    match order {
        Order::LeaderLast => {
            lose_machines(&mut world);
            cancel_victims(&mut world);
            run_for(&mut world, 300);
            owner_fault.inject(&mut world, initial_leader);
        }
        Order::LeaderFirst => {
            owner_fault.inject(&mut world, initial_leader);
            run_for(&mut world, 700);
            cancel_victims(&mut world);
            lose_machines(&mut world);
        }
        Order::CancelLast => {
            lose_machines(&mut world);
            run_for(&mut world, 400);
            owner_fault.inject(&mut world, initial_leader);
            run_for(&mut world, 900);
            cancel_victims(&mut world);
        }
    }
    let mut max_running = 0;
    for _ in 0..40 {
        run_for(&mut world, 500);
        let is_confirmed = |job: &JobId| world.jobs[job].cancel_confirmed.is_some();
        max_running = max_running.max(
            world
                .running
                .keys()
                .filter(|t| victims.contains(&t.job) && is_confirmed(&t.job))
                .count(),
        );
        for job in victims.iter().filter(|job| !is_confirmed(job)).cloned().collect::<Vec<_>>() {
            cancel(&mut world, (initial_leader + 2) % CONTROLLERS, &job);
        }
    }
    // The queued tasks use the freed capacity, and no capacity is lost permanently.
    assert_all_jobs_end(&mut world, 400_000, &what);
    max_running
}

/// A task's share of the limit is released only when the task has provably ended: not when its job is cancelled, nor when
/// its machine sends no heartbeats, nor because a new leader does not know of the task.
#[test]
fn unreachable_cancelled_tasks_count_against_limit() {
    use MachineFault::*;
    let kinds = [Hangs(4_000), Hangs(25_000), Cut(9_000), Cut(30_000), OneWayPartition(30_000)];
    let orders = [Order::LeaderLast, Order::LeaderFirst, Order::CancelLast];
    let mut still_running = 0;
    for (seed, owner_fault) in OwnerFault::ALL.into_iter().enumerate() {
        for (k, order) in orders.into_iter().enumerate() {
            let machine_fault = kinds[(seed + 2 * k) % kinds.len()];
            still_running += max_running_after_cancellation(
                1 + (seed * 3 + k) as u64,
                machine_fault,
                owner_fault,
                order,
            );
        }
    }
    assert!(still_running > 100, "only {still_running} cancelled tasks still ran");
}

/// Slices of teams' limits move between pools while the transactions on them are executed late.
#[test]
fn limits_hold_with_delayed_slice_writes() {
    for seed in 60..66u64 {
        let mut world = scarce_region(seed);
        let kinds = [Purpose::Slice, Purpose::Record, Purpose::Part, Purpose::PoolAssignment];
        world.writes_late(kinds, [0.3, 0.6][seed as usize % 2], Ms(60_000));
        run_for(&mut world, 4_000);
        for n in 0..16usize {
            let mut spec = plain_job(&mut world, 5, [3.0, 8.0][n % 2]);
            (spec.team, spec.cpus) = (team_id(n % 4), [1.0, 2.0, 4.0][n % 3]);
            let job = world.submit(n % CONTROLLERS, spec);
            run_for(&mut world, 900);
            if n % 5 == 3 {
                cancel(&mut world, (n + 1) % CONTROLLERS, &job);
            }
            if n % 6 == 5 {
                if let Some(leader) = leader(&world) {
                    world.at(0, SimulationEvent::Crash(leader));
                }
            }
        }
        assert_all_jobs_end(&mut world, 500_000, &format!("seed {seed}"));
    }
}

/// Tasks of four or eight processors wait for a limit that was divided among pools for smaller tasks: pools must return
/// slices that they do not use.
#[test]
fn unused_slices_are_returned_for_large_tasks() {
    for seed in 70..74u64 {
        let mut world = scarce_region(seed);
        run_for(&mut world, 4_000);
        for round in 0..4usize {
            for n in 0..4usize {
                let mut spec = plain_job(&mut world, 6, 4.0);
                (spec.team, spec.cpus) = (team_id(n), 1.0);
                spec.zone = Some(ZoneId::new(["a", "b", "c"][(round + n) % 3]));
                world.submit(n % CONTROLLERS, spec);
                let mut wide = plain_job(&mut world, 2, 5.0);
                (wide.team, wide.cpus) = (team_id(n), [4.0, 8.0][round % 2]);
                if round == 3 {
                    (wide.kind, wide.cpus) = (Kind::Gang, 4.0);
                }
                world.submit(n % CONTROLLERS, wide);
            }
            run_for(&mut world, 6_000);
        }
        assert_all_jobs_end(&mut world, 300_000, &format!("seed {seed}"));
        let longest_ms = world.starvation.longest_ms;
        assert!(
            longest_ms < 45_000,
            "seed {seed}: a job waited {longest_ms} ms beside free capacity"
        );
    }
}

/// The simulation detects a job that waits although there is free capacity; here, because no controller restarts.
#[test]
fn job_waiting_beside_free_machines_is_detected() {
    let mut world = scarce_region(80);
    run_for(&mut world, 4_000);
    let long_job = plain_job(&mut world, 4, 20.0);
    world.submit(0, long_job);
    run_for(&mut world, 15_000);
    let waiting = plain_job(&mut world, 2, 5.0);
    let waiting = world.submit(0, waiting);
    while !world.jobs[&waiting].accepted {
        run_for(&mut world, 5);
    }
    (0..CONTROLLERS).for_each(|controller| world.crash(controller, 10_000_000));
    run_for(&mut world, 80_000);
    let is_detected = |w: &World| w.broken.iter().any(|b| b.contains("left waiting"));
    assert!(!is_detected(&world), "{:#?}", world.broken);
    run_for(&mut world, 40_000);
    assert!(is_detected(&world), "{:#?}", world.broken);
}

/// More work than capacity, in all urgencies, while the state service is slow: at least half of the jobs of each class,
/// team and size must start and end, and the largest jobs must start within four minutes.
#[test]
fn every_team_is_served_under_overload() {
    for seed in 90..93u64 {
        let size = Size { machines: 6, most_jobs: 0, ..Size::SMALL };
        let mut world = World::sized(seed, false, size);
        world.poll_everything();
        world.slow(700, Ms(170_000));
        run_for(&mut world, 4_000);
        for n in 0..80usize {
            let mut spec = plain_job(&mut world, [2, 4, 16][n % 3], [6.0, 12.0, 20.0][n / 3 % 3]);
            (spec.cpus, spec.class) = ([1.0, 2.0][n % 2], ClassId::new(["live", "batch"][n % 2]));
            spec.team = team_id(usize::from(n % 5 == 4));
            spec.urgency = [Urgency::Critical, Urgency::Normal, Urgency::BestEffort][n / 2 % 3];
            world.submit(n % CONTROLLERS, spec);
            run_for(&mut world, 1_500);
        }
        run_for(&mut world, 600_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        let rows = world.sizes();
        assert!(rows.iter().any(|row| row.size == "most work"));
        for row in rows {
            let served = row.begun * 2 >= row.jobs && row.ended * 2 >= row.jobs;
            assert!(served, "seed {seed}: {row:?}");
        }
    }
}
