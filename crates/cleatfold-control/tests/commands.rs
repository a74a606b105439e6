//! Commands to machines and reports from them that arrive late, at another leader, or not at all.

mod scenario;

use cleatfold_control::Response;
use cleatfold_testbed::world::{SimulationEvent, World, CONTROLLERS};
use cleatfold_wire::job::Elastic;
use cleatfold_wire::worker::{Command, Exit, Heartbeat, Orders, TaskState};
use cleatfold_wire::*;
use scenario::*;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that run for minutes on two thirds of the machines' processors; on the others short ones have just ended, so
/// there is room for what is released.
fn long_tasks(seed: u64) -> World {
    let mut world = region(seed, 18);
    world.run(Ms(4000));
    for (controller, estimate_s) in
        [100.0, 100.0, 100.0, 100.0, 100.0, 100.0, 6.0].iter().enumerate()
    {
        let tasks = if *estimate_s > 10.0 { 4 } else { 12 };
        let mut spec = plain(&mut world, tasks, *estimate_s);
        spec.cpus = 2.5;
        world.submit(controller % CONTROLLERS, spec);
        run_for(&mut world, 300);
    }
    world.run(Ms(24_000));
    assert!(world.running.len() >= 20, "{} run", world.running.len());
    world
}

/// A task that runs, its attempt and its machine.
fn one_running(world: &World) -> (TaskId, Attempt, MachineId) {
    let (machine, tasks) = world.claims().into_iter().next().expect("something is claimed");
    let runs = |t: &&(TaskId, Attempt)| world.running.get(&t.0) == Some(&machine);
    let (task, attempt) = tasks.iter().find(runs).expect("a claim that runs").clone();
    (task, attempt, machine)
}

fn report(world: &mut World, machine: &MachineId) -> Heartbeat {
    world.workers.get_mut(machine).expect("it is there").heartbeat()
}

fn deliver_now(world: &mut World, report: &Heartbeat) {
    for controller in 0..CONTROLLERS {
        world.handle_event(SimulationEvent::Copy(controller, Box::new(report.clone())));
    }
}

fn no_rule_broken(world: &World, what: &str) {
    assert!(world.broken.is_empty(), "{what}: {:#?}", world.broken);
}

/// Runs until `done`; whether that came within the time.
fn run_until(world: &mut World, ms: u64, step_ms: u64, done: impl Fn(&World) -> bool) -> bool {
    let until = world.now.plus(ms);
    while !done(world) && world.now < until && world.broken.is_empty() {
        run_for(world, step_ms);
    }
    done(world)
}

// ---- a command of a deposed leader arrives after the new leader's ----

/// Runs until the answer that launches the task is on its way, and says to which machine.
fn launch_on_its_way(world: &mut World, task: &TaskId) -> Option<MachineId> {
    let launches = |event: &SimulationEvent| match event {
        SimulationEvent::WorkerAnswer { machine, response: Response::Worker(reply), .. } => {
            let of_task = |c: &Command| matches!(c, Command::Start { task: t, .. } if t == task);
            reply.commands.iter().any(of_task).then(|| machine.clone())
        }
        _ => None,
    };
    run_until(world, 5_000, 1, |w| w.events.values().any(|e| launches(e).is_some()));
    world.events.values().find_map(launches)
}

/// The answer that launches a task is held up on its way; its sender ends and the next owner reads an older report,
/// without the task, from every direction. Seen to fail (`ran_twice`) when absence counts whatever token the worker has
/// seen: the claim was released, the task was started elsewhere, and then the launch arrived.
#[test]
fn a_launch_that_arrives_after_its_owner_was_deposed_starts_nothing_twice() {
    let mut met = 0;
    for seed in 0..6 {
        let mut world = region(seed, 18);
        world.run(Ms(4000));
        // Machines that are up and have room hold their answers back for a claim.
        let first = plain(&mut world, 8, 20.0);
        world.submit(0, first);
        run_for(&mut world, 18_000);
        let before: BTreeMap<MachineId, Heartbeat> =
            world.workers.iter_mut().map(|(id, w)| (id.clone(), w.heartbeat())).collect();
        let spec = plain(&mut world, 1, 100.0);
        let task = TaskId { job: spec.id.clone(), ix: TaskIx(0) };
        world.submit(1, spec);
        let Some(machine) = launch_on_its_way(&mut world, &task) else { continue };
        world.hold_orders(&machine, 2_900);
        let pool = world.pool_of(&machine).expect("it is there");
        let token = |w: &World| w.store.get(&format!("cf/pool/{pool}")).map(|item| item.version);
        let (first_token, deposed) = (token(&world), owner(&world, &machine).expect("held"));
        world.crash(deposed, 50);
        run_until(&mut world, 2_600, 10, |w| token(w) != first_token);
        let moved = token(&world) != first_token;
        run_for(&mut world, 120);
        deliver_now(&mut world, &before[&machine]);
        let launched = run_until(&mut world, 3_000, 10, |w| w.running.get(&task) == Some(&machine));
        met += u32::from(moved && launched);
        run_for(&mut world, 20_000);
        no_rule_broken(&world, &format!("seed {seed}"));
    }
    assert!(met >= 2, "the launch arrived after the new owner had acted on {met} days only");
}

// ---- machines that reach no controller ----

/// A machine that runs three tasks of two jobs: one of the two that belong together, and the job of the third.
fn with_two_jobs(world: &World) -> Option<(MachineId, (TaskId, Attempt), JobId)> {
    world.claims().into_iter().find_map(|(machine, tasks)| {
        let of = |t: &(TaskId, Attempt)| tasks.iter().filter(|o| o.0.job == t.0.job).count();
        let runs = tasks.iter().all(|t| world.running.get(&t.0) == Some(&machine));
        let pair = tasks.iter().find(|t| of(t) == 2)?.clone();
        let other = tasks.iter().find(|t| of(t) == 1)?.0.job.clone();
        (runs && tasks.len() == 3).then_some((machine, pair, other))
    })
}

/// A machine reaches no controller, direct commands reach it: what is cancelled on it is gone with its lease, what is
/// not runs elsewhere, and an exit that a direct command brings is recorded at once. Seen to fail (`ran_twice`) when an
/// owner takes a lease to be half as long.
#[test]
fn a_machine_that_reaches_no_controller_loses_its_work_with_its_lease() {
    for (seed, owner_ends) in [(1, None), (2, Some(300)), (3, Some(20_000))] {
        let what = format!("seed {seed}, {owner_ends:?}");
        let mut world = long_tasks(seed);
        let (machine, stopped, cancelled) = with_two_jobs(&world).expect("a machine with two jobs");
        let (task, attempt) = stopped;
        let on_it: BTreeSet<TaskId> =
            world.running.iter().filter(|r| *r.1 == machine).map(|r| r.0.clone()).collect();
        let began = world.now;
        world.mute(&machine, began.plus(60_000));
        let owning = owner(&world, &machine).expect("held");
        let lease_ms = world.size.times().lease_ms;
        // A direct command still arrives, and so does its answer.
        let worker = &world.workers[&machine];
        let (token, agent_epoch) = (worker.token, AgentEpoch(worker.agent_epoch));
        let commands = vec![Command::Stop { task: task.clone(), attempt, grace_s: 0.0 }];
        let orders = Orders { token, agent_epoch, commands };
        let life = world.lives[owning];
        world.handle_event(SimulationEvent::Orders {
            controller: owning,
            life,
            machine: machine.clone(),
            orders,
            answered: true,
        });
        assert_ne!(world.running.get(&task), Some(&machine), "{what}: it does not arrive");
        // Long before the lease is over.
        let ended =
            |w: &World| !w.claims().values().flatten().any(|t| *t == (task.clone(), attempt));
        let recorded = run_until(&mut world, 2_000, 50, ended);
        assert!(recorded, "{what}: the exit was not taken from the answer");
        cancel(&mut world, (owning + 1) % CONTROLLERS, &cancelled);
        if let Some(back_ms) = owner_ends {
            world.crash(owning, back_ms);
        }
        run_until(&mut world, 60_000, 50, |w| w.running.values().all(|m| *m != machine));
        assert!(world.now.since(began) <= lease_ms + 100, "{what}: beyond the lease");
        let left = |w: &World, t: &TaskId| t.job != cancelled && !w.running.contains_key(t);
        let all = run_until(&mut world, 45_000, 250, |w| !on_it.iter().any(|t| left(w, t)));
        assert!(all, "{what}: not elsewhere after {} ms", world.now.since(began));
        run_for(&mut world, 60_000);
        no_rule_broken(&world, &what);
    }
}

/// A whole zone of such machines, cancellations and a leader that ends: all is served in the end.
#[test]
fn a_mute_zone_is_served_again() {
    let mut world = long_tasks(5);
    let (_, _, machine) = one_running(&world);
    let zone = world.workers[&machine].zone.clone();
    let machines: Vec<MachineId> =
        world.workers.values().filter(|w| w.zone == zone).map(|w| w.id.clone()).collect();
    let until = world.now.plus(35_000);
    machines.iter().for_each(|m| world.mute(m, until));
    world.cancel_now(3, None);
    run_for(&mut world, 3_000);
    let owning = owner(&world, &machine).expect("held");
    world.crash(owning, 4_000);
    ends_well(&mut world, 600_000, "a mute zone");
    assert_eq!(world.command_faults.cancelled, 3);
}

// ---- old reports ----

/// An attempt that has been stopped once by a held command, forgotten with the machine's session and started again
/// there by its owner: the report of its first exit is still on its way. `None` where the day brings no such attempt.
fn started_again(seed: u64) -> Option<(World, TaskId, MachineId, Heartbeat)> {
    let mut world = long_tasks(seed);
    let (task, attempt, machine) = one_running(&world);
    let owning = owner(&world, &machine).expect("held");
    let worker = world.workers.get_mut(&machine).expect("it is there");
    let (token, agent_epoch, renewed) =
        (worker.token, AgentEpoch(worker.agent_epoch), worker.renewed_at);
    let commands = vec![Command::Stop { task: task.clone(), attempt, grace_s: 0.0 }];
    let orders = Orders { token, agent_epoch, commands };
    let life = world.lives[owning];
    world.handle_event(SimulationEvent::Orders {
        controller: owning,
        life,
        machine: machine.clone(),
        orders,
        answered: false,
    });
    let late = report(&mut world, &machine);
    let exited = |t: &worker::TaskReport| {
        t.task == task && t.state == TaskState::Exited && t.why == Some(Exit::Stopped)
    };
    assert!(late.tasks.iter().any(exited), "it was not stopped");
    // It hangs until its lease is just over, and its owner can't yet know that.
    let lease_ms = world.size.times().lease_ms;
    world.hung.insert(machine.clone(), renewed.plus(lease_ms + 150));
    run_until(&mut world, 21_000, 20, |w| w.running.get(&task) == Some(&machine));
    let worker = &world.workers[&machine];
    let again = worker.agent_epoch == agent_epoch.0 + 1
        && worker.tasks.contains_key(&(task.clone(), attempt));
    (again && world.running.get(&task) == Some(&machine)).then_some((world, task, machine, late))
}

/// A report of the machine's session before arrives after newer ones, at the same leader. Seen to fail (`ran_twice`) when
/// an older number counts: the attempt's end was recorded while it ran.
#[test]
fn a_report_of_an_earlier_session_ends_nothing() {
    let mut met = 0;
    for seed in 0..4 {
        let Some((mut world, task, machine, late)) = started_again(seed) else { continue };
        met += 1;
        run_for(&mut world, 1_500);
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}");
        deliver_now(&mut world, &late);
        run_for(&mut world, 20_000);
        no_rule_broken(&world, &format!("seed {seed}"));
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}: ended");
    }
    assert!(met >= 2, "only {met} attempts were started again");
}

/// The same report is held back until the next leader has acted: the machine has shown it its token. Either of two
/// guards is enough; seen to fail (`ran_twice`) when an older number counts and an exit of a former owner's claim does
/// whatever token the worker has seen.
#[test]
fn a_report_held_back_until_a_new_leader_has_acted_ends_nothing() {
    let mut met = 0;
    for seed in 0..4 {
        let Some((mut world, task, machine, late)) = started_again(seed) else { continue };
        let (before, owning) = (world.workers[&machine].token, owner(&world, &machine));
        world.crash(owning.expect("held"), 20_000);
        if !run_until(&mut world, 15_000, 20, |w| w.workers[&machine].token > before) {
            continue;
        }
        met += 1;
        run_for(&mut world, 2_500);
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}: not adopted");
        deliver_now(&mut world, &late);
        run_for(&mut world, 20_000);
        no_rule_broken(&world, &format!("seed {seed}"));
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}: ended");
    }
    assert!(met >= 2, "only {met} days had a new leader that acted");
}

/// Old reports of all machines reach every controller just as a new leader begins, and the machines of a zone don't
/// hear that leader: they go on with the former one, which renews their leases for as long as it may. Seen to fail
/// (`ran_twice`) when the new owner reckons a lease from a report without its token.
#[test]
fn no_lease_is_reckoned_from_a_report_of_the_former_leaders_time() {
    let mut met = 0;
    for seed in 0..4 {
        let mut world = long_tasks(seed);
        let (_, _, machine) = one_running(&world);
        let pool = world.pool_of(&machine).expect("it is there");
        let zone = pool.zone.clone();
        let former = world.holder(&pool).expect("held");
        let of_pool: Vec<MachineId> = world
            .workers
            .keys()
            .filter(|m| world.pool_of(m) == Some(pool.clone()))
            .cloned()
            .collect();
        let reports: Vec<Heartbeat> = of_pool.iter().map(|m| report(&mut world, m)).collect();
        let on_it: BTreeMap<TaskId, MachineId> = world
            .running
            .iter()
            .filter(|r| of_pool.contains(r.1))
            .map(|(t, m)| (t.clone(), m.clone()))
            .collect();
        let (began, until) = (world.now, world.now.plus(45_000));
        world.set_apart(former, until, false);
        world.mesh_off = true;
        for other in (0..CONTROLLERS).filter(|n| *n != former) {
            world.faults.cuts.insert(other, (until, Some(zone.clone())));
        }
        // The cloud does not delete for the new owner what it can't prove to be gone.
        world.cloud_off = true;
        run_until(&mut world, 12_000, 10, |w| w.holder(&pool) != Some(former));
        assert_ne!(world.holder(&pool), Some(former), "seed {seed}: the pool did not move");
        for round in 0..3 {
            run_for(&mut world, 200 + 400 * round);
            reports.iter().for_each(|r| deliver_now(&mut world, r));
        }
        // The new owner may not conclude anything for as long as the former one answers.
        let lease_ms = world.size.times().lease_ms;
        run_for(&mut world, lease_ms + 3_000);
        let still = on_it.iter().filter(|(t, m)| world.running.get(t) == Some(m)).count();
        met += usize::from(still > 0 && world.now.since(began) > lease_ms + 5_000);
        run_for(&mut world, 30_000);
        world.mesh_off = false;
        world.cloud_off = false;
        no_rule_broken(&world, &format!("seed {seed}"));
        ends_well(&mut world, 500_000, &format!("seed {seed}"));
    }
    assert!(met >= 2, "the former leader kept a machine beyond a lease on {met} days only");
}

// ---- commands and answers that are held up ----

/// Every direct command is held up for 2 to 16 s and executed once, also after its task has ended or has begun anew:
/// until a task is gone its claim stands. Seen to fail when a claim ends with the command instead of the exit
/// (`ran_twice`), and when starts are sent directly (the region's watcher).
#[test]
fn a_held_command_ends_no_claim_before_its_task() {
    let (mut late, mut while_running) = (0, 0);
    for seed in 0..6u64 {
        let mut world = region(seed, 9);
        world.run(Ms(4000));
        let mut sweep = plain(&mut world, 40, 0.0);
        (sweep.cpus, sweep.elastic) =
            (1.0, Some(Elastic { steps: 900, min_members: 1, step_s: 1.5 }));
        world.submit(0, sweep);
        run_for(&mut world, 12_000);
        let until = world.now.plus(60_000);
        world.late_commands(1.0, until);
        for round in 0..20u64 {
            let mut spec = plain(&mut world, 5, 3.0);
            spec.cpus = 4.0;
            world.submit(round as usize % CONTROLLERS, spec);
            for _ in 0..12 {
                run_for(&mut world, 250);
                let claims = world.claims();
                let now = world.now;
                let held =
                    world.command_faults.held.iter().filter(|h| h.sent <= now && h.due >= now);
                for (task, attempt) in held.flat_map(|h| stopped_by(&h.orders)) {
                    let Some(machine) = world.running.get(&task) else { continue };
                    let stands = claims.get(machine).is_some_and(|c| c.iter().any(|t| t.0 == task));
                    assert!(stands, "seed {seed}: {task} {attempt:?} runs without a claim");
                    while_running += 1;
                }
            }
            if round % 4 == 3 {
                let most = world.most().expect("somebody holds machines");
                Loss::ALL[(seed + round) as usize % 9].befall(&mut world, most);
            }
        }
        ends_well(&mut world, 400_000, &format!("seed {seed}"));
        late += world.command_faults.late;
    }
    assert!(late > 20 && while_running > 20, "{late} were late, {while_running} while it ran");
}

fn stopped_by(orders: &Orders) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
    orders.commands.iter().filter_map(|command| match command {
        Command::Stop { task, attempt, .. } => Some((task.clone(), *attempt)),
        _ => None,
    })
}

// ---- cancelled while their machines hang ----

/// Users cancel many long jobs at once, eight of their machines hang for a part of their lease, for about all of it or
/// longer, while their owner lives or ends: a machine that goes on within its lease is told at its first report. Seen to
/// fail when cancelled tasks are not stopped (`ran_cancelled`).
#[test]
fn cancelled_tasks_of_machines_that_hang_are_gone_in_time() {
    let mut went_on = 0;
    for (seed, hang_ms, loss) in [
        (1, 3_000, None),
        (2, 8_500, None),
        (3, 9_800, Some(Loss::Ends(300))),
        (4, 5_000, Some(Loss::Ends(8_000))),
        (5, 8_500, Some(Loss::Refused(20_000))),
        (6, 25_000, None),
    ] {
        let what = format!("seed {seed}, {hang_ms} ms, {loss:?}");
        let mut world = long_tasks(seed);
        let owning = world.most().expect("somebody holds machines");
        world.cancel_now(6, Some(hang_ms));
        let (cancelled, hung) = (world.command_faults.cancelled, world.command_faults.hung);
        assert!(cancelled >= 4 && hung >= 6, "{what}: {cancelled} cancelled, {hung} hang");
        run_for(&mut world, 250);
        if let Some(loss) = loss {
            loss.befall(&mut world, owning);
        }
        let cancel_ms = world.size.times().cancel_ms;
        run_for(&mut world, cancel_ms + 20_000);
        no_rule_broken(&world, &what);
        let told = world.jobs.values().filter(|w| w.cancel_confirmed.is_some()).count();
        assert_eq!(told, cancelled as usize, "{what}");
        let watch = &world.cancel_watch;
        went_on += watch.went_on_count;
        if loss.is_none() {
            let most = 2 * world.size.times().heartbeat_interval_ms + 1_500;
            assert!(watch.longest_after_hang_ms <= most, "{what}: {}", watch.longest_after_hang_ms);
        }
        let latest = watch.starts_after.iter().map(|s| s.1).max().unwrap_or_default();
        assert!(latest <= 4_500, "{what}: started {latest} ms after the cancellation");
        ends_well(&mut world, 100_000, &what);
    }
    assert!(went_on >= 10, "only {went_on} cancelled tasks went on after a hang");
}
