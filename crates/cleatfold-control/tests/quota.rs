//! Teams at their limits while machines can't be asked, jobs are cancelled and the leader changes; and that what a
//! limit, a claim or a reservation holds is given back once the troubles are over.

mod scenario;

use cleatfold_control::records::HolderRecord;
use cleatfold_roles::Role;
use cleatfold_testbed::world::{
    controller_id, team_id, Purpose, SimulationEvent, Size, World, CONTROLLERS,
};
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::*;
use scenario::{cancel, ends_well, plain, run_for, Loss};
use std::collections::BTreeSet;

/// Every team has a limit of a tenth of what it asks for.
fn scarce(seed: u64) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, ..Size::SCARCE });
    world.poll_everything();
    world
}

fn leader(world: &World) -> Option<usize> {
    let item = world.store.get(Role::PoolAssignment.key())?;
    let holder: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
    (0..world.controllers.len()).find(|i| controller_id(*i) == holder.owner)
}

/// Teams of which no further task of two processors may start.
fn at_limit(world: &World) -> usize {
    let size = Size::SCARCE;
    let used = |i: usize| world.in_use.get(&team_id(i)).copied().unwrap_or_default();
    (0..size.teams).filter(|i| used(*i) + 2.0 > size.limit_cpus).count()
}

/// A region in which every team is at its limit, with much more waiting.
fn at_limits(seed: u64) -> (World, Vec<JobId>) {
    let mut world = scarce(seed);
    run_for(&mut world, 4_000);
    let mut jobs = Vec::new();
    // Half a limit each, so that what goes on beside a cancelled one frees room on other machines.
    for n in 0..Size::SCARCE.teams * 6 {
        let mut spec = plain(&mut world, 3, [12.0, 40.0][n / Size::SCARCE.teams % 2]);
        (spec.team, spec.cpus) = (team_id(n % Size::SCARCE.teams), 2.0);
        jobs.push(world.submit(n % CONTROLLERS, spec));
    }
    let from = world.now;
    while at_limit(&world) < Size::SCARCE.teams {
        assert!(world.now.since(from) < 60_000, "seed {seed}: no team at its limit");
        run_for(&mut world, 50);
    }
    (world, jobs)
}

#[derive(Clone, Copy, Debug)]
enum Unreached {
    Hangs(u64),
    Cut(u64),
    OneWayPartition(u64),
}

impl Unreached {
    fn befall(self, world: &mut World, machine: &MachineId) {
        let now = world.now;
        match self {
            Unreached::Hangs(ms) => {
                world.hung.insert(machine.clone(), now.plus(ms));
            }
            Unreached::Cut(ms) => {
                world.fault_schedule.cut_machines.insert(machine.clone(), now.plus(ms));
            }
            Unreached::OneWayPartition(ms) => world.deafen(machine, now.plus(ms)),
        }
    }
}

/// In which order the machines are lost from sight, the jobs cancelled and the leader ended.
#[derive(Clone, Copy, Debug)]
enum Order {
    LeaderLast,
    LeaderFirst,
    /// The cancellation falls into the spell without a leader, after the machines were lost from sight.
    CancelLast,
}

/// One day: the machines of a job of each team can't be asked, the job is cancelled, the leader changes. Returns
/// how many cancelled tasks still ran when their users had been told.
fn cancelled_at_the_limit(seed: u64, unreached: Unreached, loss: Loss, order: Order) -> usize {
    let what = format!("seed {seed} {unreached:?} {loss:?} {order:?}");
    let (mut world, jobs) = at_limits(seed);
    // Orders between controllers and the state service cross.
    for controller in 0..CONTROLLERS {
        let until = world.now.plus(40_000);
        world.fault_schedule.late_commits.insert(controller, (900, until));
    }
    let runs = |w: &World, job: &JobId| w.running.keys().any(|task| task.job == *job);
    let victims: Vec<JobId> = (0..Size::SCARCE.teams)
        .filter_map(|team| {
            let of_team = jobs.iter().skip(team).step_by(Size::SCARCE.teams);
            // The longest that runs.
            of_team.into_iter().rev().find(|job| runs(&world, job)).cloned()
        })
        .collect();
    let machines: BTreeSet<MachineId> = world
        .running
        .iter()
        .filter(|(task, _)| victims.contains(&task.job))
        .map(|(_, machine)| machine.clone())
        .collect();
    let first = leader(&world).or(world.most()).expect("somebody leads");
    let lose = |w: &mut World| machines.iter().for_each(|m| unreached.befall(w, m));
    let cancel_victims = |w: &mut World| {
        victims.iter().for_each(|job| cancel(w, (first + 1) % CONTROLLERS, job));
    };
    match order {
        Order::LeaderLast => {
            lose(&mut world);
            cancel_victims(&mut world);
            run_for(&mut world, 300);
            loss.befall(&mut world, first);
        }
        Order::LeaderFirst => {
            loss.befall(&mut world, first);
            run_for(&mut world, 700);
            cancel_victims(&mut world);
            lose(&mut world);
        }
        Order::CancelLast => {
            lose(&mut world);
            run_for(&mut world, 400);
            loss.befall(&mut world, first);
            run_for(&mut world, 900);
            cancel_victims(&mut world);
        }
    }
    let mut held = 0;
    for _ in 0..40 {
        run_for(&mut world, 500);
        let told = |job: &JobId| world.jobs[job].cancel_confirmed.is_some();
        held = held
            .max(world.running.keys().filter(|t| victims.contains(&t.job) && told(&t.job)).count());
        for job in victims.iter().filter(|job| !told(job)).cloned().collect::<Vec<_>>() {
            cancel(&mut world, (first + 2) % CONTROLLERS, &job);
        }
    }
    // What waits takes the places, and no place is lost for ever.
    ends_well(&mut world, 400_000, &what);
    held
}

/// A place is free only when its task is provably gone: not when its job is cancelled, nor when its
/// machine is silent, nor because a new leader has not heard of it.
#[test]
fn no_team_exceeds_its_limit_while_cancelled_jobs_run_on_unreached() {
    use Unreached::*;
    let kinds = [Hangs(4_000), Hangs(25_000), Cut(9_000), Cut(30_000), OneWayPartition(30_000)];
    let orders = [Order::LeaderLast, Order::LeaderFirst, Order::CancelLast];
    let mut held = 0;
    for (seed, loss) in Loss::ALL.into_iter().enumerate() {
        for (k, order) in orders.into_iter().enumerate() {
            let unreached = kinds[(seed + 2 * k) % kinds.len()];
            held += cancelled_at_the_limit(1 + (seed * 3 + k) as u64, unreached, loss, order);
        }
    }
    assert!(held > 100, "only {held} cancelled tasks still ran");
}

/// Slices of teams' limits change hands while transactions about them are carried out late.
#[test]
fn limits_hold_while_slices_are_written_late() {
    for seed in 60..66u64 {
        let mut world = scarce(seed);
        let kinds = [Purpose::Slice, Purpose::Record, Purpose::Part, Purpose::PoolAssignment];
        world.writes_late(kinds, [0.3, 0.6][seed as usize % 2], Ms(60_000));
        run_for(&mut world, 4_000);
        for n in 0..16usize {
            let mut spec = plain(&mut world, 5, [3.0, 8.0][n % 2]);
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
        ends_well(&mut world, 500_000, &format!("seed {seed}"));
    }
}

/// Tasks of four processors wait for a limit that was cut up among pools for smaller ones: whoever does not use its
/// slice gives it back.
#[test]
fn a_limit_that_was_cut_up_serves_a_task_of_half_of_it() {
    for seed in 70..74u64 {
        let mut world = scarce(seed);
        run_for(&mut world, 4_000);
        for round in 0..4usize {
            for n in 0..4usize {
                let mut spec = plain(&mut world, 6, 4.0);
                (spec.team, spec.cpus) = (team_id(n), 1.0);
                spec.zone = Some(ZoneId::new(["a", "b", "c"][(round + n) % 3]));
                world.submit(n % CONTROLLERS, spec);
                let mut wide = plain(&mut world, 2, 5.0);
                (wide.team, wide.cpus) = (team_id(n), [4.0, 8.0][round % 2]);
                if round == 3 {
                    (wide.kind, wide.cpus) = (Kind::Gang, 4.0);
                }
                world.submit(n % CONTROLLERS, wide);
            }
            run_for(&mut world, 6_000);
        }
        ends_well(&mut world, 300_000, &format!("seed {seed}"));
        let longest_ms = world.starvation.longest_ms;
        assert!(longest_ms < 45_000, "seed {seed}: a job waited {longest_ms} ms beside room");
    }
}

/// The watcher sees a job that waits beside room: here no controller comes back.
#[test]
fn a_job_left_waiting_beside_free_machines_is_found() {
    let mut world = scarce(80);
    run_for(&mut world, 4_000);
    let keeper = plain(&mut world, 4, 20.0);
    world.submit(0, keeper);
    run_for(&mut world, 15_000);
    let late = plain(&mut world, 2, 5.0);
    let late = world.submit(0, late);
    while !world.jobs[&late].accepted {
        run_for(&mut world, 5);
    }
    (0..CONTROLLERS).for_each(|controller| world.crash(controller, 10_000_000));
    run_for(&mut world, 80_000);
    let found = |w: &World| w.broken.iter().any(|b| b.contains("left waiting"));
    assert!(!found(&world), "{:#?}", world.broken);
    run_for(&mut world, 40_000);
    assert!(found(&world), "{:#?}", world.broken);
}

/// More work than room, urgent and not, while the state service answers slowly: at least half of each class, team and size
/// is served, and the largest jobs begin within four minutes.
#[test]
fn every_team_is_served_under_overload_over_slow_links() {
    for seed in 90..93u64 {
        let size = Size { machines: 6, most_jobs: 0, ..Size::SMALL };
        let mut world = World::sized(seed, false, size);
        world.poll_everything();
        world.slow(700, Ms(170_000));
        run_for(&mut world, 4_000);
        for n in 0..80usize {
            let mut spec = plain(&mut world, [2, 4, 16][n % 3], [6.0, 12.0, 20.0][n / 3 % 3]);
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
