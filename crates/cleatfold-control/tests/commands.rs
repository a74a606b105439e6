//! Commands to machines and reports from them that arrive late, at another pool owner, or not at all.

mod scenario;

use cleatfold_control::Response;
use cleatfold_testbed::world::{SimulationEvent, World, CONTROLLERS};
use cleatfold_wire::job::Elastic;
use cleatfold_wire::worker::{Command, Exit, Heartbeat, Orders, TaskState};
use cleatfold_wire::*;
use scenario::*;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that run for minutes on two thirds of the machines' processors; short tasks on the rest have just ended, so
/// there is capacity for released tasks.
fn region_with_long_tasks(seed: u64) -> World {
    let mut world = region(seed, 18);
    world.run(Ms(4000));
    for (controller, estimate_s) in
        [100.0, 100.0, 100.0, 100.0, 100.0, 100.0, 6.0].iter().enumerate()
    {
        let tasks = if *estimate_s > 10.0 { 4 } else { 12 };
        let mut spec = plain_job(&mut world, tasks, *estimate_s);
        spec.cpus = 2.5;
        world.submit(controller % CONTROLLERS, spec);
        run_for(&mut world, 300);
    }
    world.run(Ms(24_000));
    assert!(world.running.len() >= 20, "{} run", world.running.len());
    world
}

/// A running task with its attempt and machine.
fn running_task(world: &World) -> (TaskId, Attempt, MachineId) {
    let (machine, tasks) = world.claims().into_iter().next().expect("a claim exists");
    let runs = |t: &&(TaskId, Attempt)| world.running.get(&t.0) == Some(&machine);
    let (task, attempt) = tasks.iter().find(runs).expect("a claimed task is running").clone();
    (task, attempt, machine)
}

fn report(world: &mut World, machine: &MachineId) -> Heartbeat {
    world.workers.get_mut(machine).expect("machine exists").heartbeat()
}

fn deliver_to_all_controllers(world: &mut World, report: &Heartbeat) {
    for controller in 0..CONTROLLERS {
        world.handle_event(SimulationEvent::Copy(controller, Box::new(report.clone())));
    }
}

fn assert_no_violation(world: &World, context: &str) {
    assert!(world.broken.is_empty(), "{context}: {:#?}", world.broken);
}

/// Runs until `done` or the timeout; returns whether `done` holds.
fn run_until(world: &mut World, ms: u64, step_ms: u64, done: impl Fn(&World) -> bool) -> bool {
    let until = world.now.plus(ms);
    while !done(world) && world.now < until && world.broken.is_empty() {
        run_for(world, step_ms);
    }
    done(world)
}

// ---- a former owner's command arrives after the new owner's ----

/// Runs until the answer that launches the task is in transit; returns its machine.
fn wait_for_launch(world: &mut World, task: &TaskId) -> Option<MachineId> {
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

/// The answer that launches a task is delayed; its sender crashes and the next owner reads an older report without the
/// task, delivered to every controller. Fails (`ran_twice`) when absence counts whatever token the worker has seen:
/// the claim was released, the task was started on another machine, and then the launch arrived.
#[test]
fn late_launch_of_former_owner_starts_nothing_twice() {
    let mut hit_count = 0;
    for seed in 0..6 {
        let mut world = region(seed, 18);
        world.run(Ms(4000));
        // The answers to machines that are up and have capacity are held back for a claim.
        let first = plain_job(&mut world, 8, 20.0);
        world.submit(0, first);
        run_for(&mut world, 18_000);
        let before: BTreeMap<MachineId, Heartbeat> =
            world.workers.iter_mut().map(|(id, w)| (id.clone(), w.heartbeat())).collect();
        let spec = plain_job(&mut world, 1, 100.0);
        let task = TaskId { job: spec.id.clone(), ix: TaskIx(0) };
        world.submit(1, spec);
        let Some(machine) = wait_for_launch(&mut world, &task) else { continue };
        world.hold_orders(&machine, 2_900);
        let pool = world.pool_of(&machine).expect("machine exists");
        let token = |w: &World| w.store.get(&format!("cf/pool/{pool}")).map(|item| item.version);
        let (first_token, former_owner) =
            (token(&world), pool_owner(&world, &machine).expect("pool has an owner"));
        world.crash(former_owner, 50);
        run_until(&mut world, 2_600, 10, |w| token(w) != first_token);
        let moved = token(&world) != first_token;
        run_for(&mut world, 120);
        deliver_to_all_controllers(&mut world, &before[&machine]);
        let launched = run_until(&mut world, 3_000, 10, |w| w.running.get(&task) == Some(&machine));
        hit_count += u32::from(moved && launched);
        run_for(&mut world, 20_000);
        assert_no_violation(&world, &format!("seed {seed}"));
    }
    assert!(
        hit_count >= 2,
        "the launch arrived after the new owner had acted in {hit_count} runs only"
    );
}

// ---- machines whose reports reach no controller ----

/// A machine that runs three tasks of two jobs: returns one task of the job with two, and the job of the third.
fn machine_with_two_jobs(world: &World) -> Option<(MachineId, (TaskId, Attempt), JobId)> {
    world.claims().into_iter().find_map(|(machine, tasks)| {
        let of = |t: &(TaskId, Attempt)| tasks.iter().filter(|o| o.0.job == t.0.job).count();
        let runs = tasks.iter().all(|t| world.running.get(&t.0) == Some(&machine));
        let pair = tasks.iter().find(|t| of(t) == 2)?.clone();
        let other = tasks.iter().find(|t| of(t) == 1)?.0.job.clone();
        (runs && tasks.len() == 3).then_some((machine, pair, other))
    })
}

/// A machine's reports reach no controller, but direct commands reach it: its cancelled tasks end with its lease, the
/// rest run on other machines, and an exit in the answer to a direct command is recorded at once. Fails (`ran_twice`)
/// when an owner assumes half the lease length.
#[test]
fn unreachable_machine_loses_tasks_with_lease() {
    for (seed, owner_restart_ms) in [(1, None), (2, Some(300)), (3, Some(20_000))] {
        let context = format!("seed {seed}, {owner_restart_ms:?}");
        let mut world = region_with_long_tasks(seed);
        let (machine, stopped, cancelled) =
            machine_with_two_jobs(&world).expect("a machine with two jobs");
        let (task, attempt) = stopped;
        let tasks_on_machine: BTreeSet<TaskId> =
            world.running.iter().filter(|r| *r.1 == machine).map(|r| r.0.clone()).collect();
        let start = world.now;
        world.mute(&machine, start.plus(60_000));
        let owner_ix = pool_owner(&world, &machine).expect("pool has an owner");
        let lease_ms = world.size.times().lease_ms;
        // A direct command and its answer still arrive.
        let worker = &world.workers[&machine];
        let (token, agent_epoch) = (worker.token, AgentEpoch(worker.agent_epoch));
        let commands = vec![Command::Stop { task: task.clone(), attempt, grace_s: 0.0 }];
        let orders = Orders { token, agent_epoch, commands };
        let life = world.lives[owner_ix];
        world.handle_event(SimulationEvent::Orders {
            controller: owner_ix,
            life,
            machine: machine.clone(),
            orders,
            answered: true,
        });
        assert_ne!(
            world.running.get(&task),
            Some(&machine),
            "{context}: the stop command did not arrive"
        );
        // Well before the lease expires.
        let claim_ended =
            |w: &World| !w.claims().values().flatten().any(|t| *t == (task.clone(), attempt));
        let recorded = run_until(&mut world, 2_000, 50, claim_ended);
        assert!(recorded, "{context}: the exit was not taken from the answer");
        cancel(&mut world, (owner_ix + 1) % CONTROLLERS, &cancelled);
        if let Some(restart_ms) = owner_restart_ms {
            world.crash(owner_ix, restart_ms);
        }
        run_until(&mut world, 60_000, 50, |w| w.running.values().all(|m| *m != machine));
        assert!(world.now.since(start) <= lease_ms + 100, "{context}: beyond the lease");
        let left = |w: &World, t: &TaskId| t.job != cancelled && !w.running.contains_key(t);
        let all =
            run_until(&mut world, 45_000, 250, |w| !tasks_on_machine.iter().any(|t| left(w, t)));
        assert!(
            all,
            "{context}: not running on other machines after {} ms",
            world.now.since(start)
        );
        run_for(&mut world, 60_000);
        assert_no_violation(&world, &context);
    }
}

/// A whole zone of such machines, with cancellations and a crash of an owner: all jobs end.
#[test]
fn unreachable_zone_recovers() {
    let mut world = region_with_long_tasks(5);
    let (_, _, machine) = running_task(&world);
    let zone = world.workers[&machine].zone.clone();
    let machines: Vec<MachineId> =
        world.workers.values().filter(|w| w.zone == zone).map(|w| w.id.clone()).collect();
    let until = world.now.plus(35_000);
    machines.iter().for_each(|m| world.mute(m, until));
    world.cancel_now(3, None);
    run_for(&mut world, 3_000);
    let owner_ix = pool_owner(&world, &machine).expect("pool has an owner");
    world.crash(owner_ix, 4_000);
    assert_all_jobs_end(&mut world, 600_000, "unreachable zone");
    assert_eq!(world.command_faults.cancelled, 3);
}

// ---- old reports ----

/// An attempt that was stopped by a delayed command, dropped with the machine's session and started again there by its
/// owner, while the report of its first exit is still in transit. `None` if the run has no such attempt.
fn restarted_attempt(seed: u64) -> Option<(World, TaskId, MachineId, Heartbeat)> {
    let mut world = region_with_long_tasks(seed);
    let (task, attempt, machine) = running_task(&world);
    let owner_ix = pool_owner(&world, &machine).expect("pool has an owner");
    let worker = world.workers.get_mut(&machine).expect("machine exists");
    let (token, agent_epoch, renewed) =
        (worker.token, AgentEpoch(worker.agent_epoch), worker.renewed_at);
    let commands = vec![Command::Stop { task: task.clone(), attempt, grace_s: 0.0 }];
    let orders = Orders { token, agent_epoch, commands };
    let life = world.lives[owner_ix];
    world.handle_event(SimulationEvent::Orders {
        controller: owner_ix,
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
    // The machine hangs until its lease has just expired, which its owner cannot know yet.
    let lease_ms = world.size.times().lease_ms;
    world.hung.insert(machine.clone(), renewed.plus(lease_ms + 150));
    run_until(&mut world, 21_000, 20, |w| w.running.get(&task) == Some(&machine));
    let worker = &world.workers[&machine];
    let is_restarted = worker.agent_epoch == agent_epoch.0 + 1
        && worker.tasks.contains_key(&(task.clone(), attempt));
    (is_restarted && world.running.get(&task) == Some(&machine))
        .then_some((world, task, machine, late))
}

/// A report of the machine's previous session arrives after newer ones, at the same owner. Fails (`ran_twice`) when an
/// older report number counts: the attempt's end was recorded while it ran.
#[test]
fn report_of_earlier_session_ends_no_attempt() {
    let mut hit_count = 0;
    for seed in 0..4 {
        let Some((mut world, task, machine, late)) = restarted_attempt(seed) else { continue };
        hit_count += 1;
        run_for(&mut world, 1_500);
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}");
        deliver_to_all_controllers(&mut world, &late);
        run_for(&mut world, 20_000);
        assert_no_violation(&world, &format!("seed {seed}"));
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}: ended");
    }
    assert!(hit_count >= 2, "only {hit_count} attempts were started again");
}

/// The same report is delayed until the next owner has acted, that is, the machine has reported with its token. Either
/// of two guards is enough; fails (`ran_twice`) when an older report number counts and an exit of a former owner's claim
/// counts whatever token the worker has seen.
#[test]
fn report_delayed_past_takeover_ends_no_attempt() {
    let mut hit_count = 0;
    for seed in 0..4 {
        let Some((mut world, task, machine, late)) = restarted_attempt(seed) else { continue };
        let (before, owner_ix) = (world.workers[&machine].token, pool_owner(&world, &machine));
        world.crash(owner_ix.expect("pool has an owner"), 20_000);
        if !run_until(&mut world, 15_000, 20, |w| w.workers[&machine].token > before) {
            continue;
        }
        hit_count += 1;
        run_for(&mut world, 2_500);
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}: not adopted");
        deliver_to_all_controllers(&mut world, &late);
        run_for(&mut world, 20_000);
        assert_no_violation(&world, &format!("seed {seed}"));
        assert_eq!(world.running.get(&task), Some(&machine), "seed {seed}: ended");
    }
    assert!(hit_count >= 2, "a new owner acted in {hit_count} runs only");
}

/// Old reports of all machines reach every controller just as a new owner takes over, and the machines of a zone cannot
/// reach that owner: they continue with the former one, which renews their leases for as long as it may. Fails
/// (`ran_twice`) when the new owner computes a lease from a report without its token.
#[test]
fn report_to_former_owner_sets_no_lease() {
    let mut hit_count = 0;
    for seed in 0..4 {
        let mut world = region_with_long_tasks(seed);
        let (_, _, machine) = running_task(&world);
        let pool = world.pool_of(&machine).expect("machine exists");
        let zone = pool.zone.clone();
        let former = world.holder(&pool).expect("pool has an owner");
        let pool_machines: Vec<MachineId> = world
            .workers
            .keys()
            .filter(|m| world.pool_of(m) == Some(pool.clone()))
            .cloned()
            .collect();
        let reports: Vec<Heartbeat> = pool_machines.iter().map(|m| report(&mut world, m)).collect();
        let tasks_on_machine: BTreeMap<TaskId, MachineId> = world
            .running
            .iter()
            .filter(|r| pool_machines.contains(r.1))
            .map(|(t, m)| (t.clone(), m.clone()))
            .collect();
        let (start, until) = (world.now, world.now.plus(45_000));
        world.set_apart(former, until, false);
        world.mesh_off = true;
        for other in (0..CONTROLLERS).filter(|n| *n != former) {
            world.faults.cuts.insert(other, (until, Some(zone.clone())));
        }
        // The cloud API is off, so that the new owner cannot delete machines whose end it cannot prove.
        world.cloud_off = true;
        run_until(&mut world, 12_000, 10, |w| w.holder(&pool) != Some(former));
        assert_ne!(world.holder(&pool), Some(former), "seed {seed}: the pool did not move");
        for round in 0..3 {
            run_for(&mut world, 200 + 400 * round);
            reports.iter().for_each(|r| deliver_to_all_controllers(&mut world, r));
        }
        // The new owner must not treat a lease as expired while the former owner answers.
        let lease_ms = world.size.times().lease_ms;
        run_for(&mut world, lease_ms + 3_000);
        let still_running =
            tasks_on_machine.iter().filter(|(t, m)| world.running.get(t) == Some(m)).count();
        hit_count += usize::from(still_running > 0 && world.now.since(start) > lease_ms + 5_000);
        run_for(&mut world, 30_000);
        world.mesh_off = false;
        world.cloud_off = false;
        assert_no_violation(&world, &format!("seed {seed}"));
        assert_all_jobs_end(&mut world, 500_000, &format!("seed {seed}"));
    }
    assert!(
        hit_count >= 2,
        "the former owner kept a machine beyond a lease in {hit_count} runs only"
    );
}

// ---- delayed commands and answers ----

/// Every direct command is delayed for 2 to 16 s and executed once, also after its task has ended or started again: a
/// claim remains until its task has ended. Fails when a claim ends with the command instead of the exit (`ran_twice`),
/// and when starts are sent directly (detected by the simulated region's checks).
#[test]
fn delayed_command_keeps_claim_until_exit() {
    let (mut late, mut while_running) = (0, 0);
    for seed in 0..6u64 {
        let mut world = region(seed, 9);
        world.run(Ms(4000));
        let mut sweep = plain_job(&mut world, 40, 0.0);
        (sweep.cpus, sweep.elastic) =
            (1.0, Some(Elastic { steps: 900, min_members: 1, step_s: 1.5 }));
        world.submit(0, sweep);
        run_for(&mut world, 12_000);
        let until = world.now.plus(60_000);
        world.late_commands(1.0, until);
        for round in 0..20u64 {
            let mut spec = plain_job(&mut world, 5, 3.0);
            spec.cpus = 4.0;
            world.submit(round as usize % CONTROLLERS, spec);
            for _ in 0..12 {
                run_for(&mut world, 250);
                let claims = world.claims();
                let now = world.now;
                let held =
                    world.command_faults.held.iter().filter(|h| h.sent <= now && h.due >= now);
                for (task, attempt) in held.flat_map(|h| stopped_tasks(&h.orders)) {
                    let Some(machine) = world.running.get(&task) else { continue };
                    let has_claim =
                        claims.get(machine).is_some_and(|c| c.iter().any(|t| t.0 == task));
                    assert!(has_claim, "seed {seed}: {task} {attempt:?} runs without a claim");
                    while_running += 1;
                }
            }
            if round % 4 == 3 {
                let most = world.most().expect("a controller owns machines");
                OwnerFault::ALL[(seed + round) as usize % 9].inject(&mut world, most);
            }
        }
        assert_all_jobs_end(&mut world, 400_000, &format!("seed {seed}"));
        late += world.command_faults.late;
    }
    assert!(
        late > 20 && while_running > 20,
        "{late} commands were late, {while_running} while the task ran"
    );
}

fn stopped_tasks(orders: &Orders) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
    orders.commands.iter().filter_map(|command| match command {
        Command::Stop { task, attempt, .. } => Some((task.clone(), *attempt)),
        _ => None,
    })
}

// ---- tasks cancelled while their machines hang ----

/// Many long jobs are cancelled at once while eight of their machines hang for part of their lease, about all of it or
/// longer, and their owner keeps running or crashes: a machine that resumes within its lease gets the stop command at
/// its first report. Fails when cancelled tasks are not stopped (`ran_cancelled`).
#[test]
fn cancelled_tasks_on_hung_machines_stop_in_time() {
    let mut resumed_count = 0;
    for (seed, hang_ms, owner_fault) in [
        (1, 3_000, None),
        (2, 8_500, None),
        (3, 9_800, Some(OwnerFault::Crash(300))),
        (4, 5_000, Some(OwnerFault::Crash(8_000))),
        (5, 8_500, Some(OwnerFault::StoreRefused(20_000))),
        (6, 25_000, None),
    ] {
        let context = format!("seed {seed}, {hang_ms} ms, {owner_fault:?}");
        let mut world = region_with_long_tasks(seed);
        let owner_ix = world.most().expect("a controller owns machines");
        world.cancel_now(6, Some(hang_ms));
        let (cancelled, hung) = (world.command_faults.cancelled, world.command_faults.hung);
        assert!(cancelled >= 4 && hung >= 6, "{context}: {cancelled} cancelled, {hung} hang");
        run_for(&mut world, 250);
        if let Some(owner_fault) = owner_fault {
            owner_fault.inject(&mut world, owner_ix);
        }
        let cancel_ms = world.size.times().cancel_ms;
        run_for(&mut world, cancel_ms + 20_000);
        assert_no_violation(&world, &context);
        let confirmed = world.jobs.values().filter(|w| w.cancel_confirmed.is_some()).count();
        assert_eq!(confirmed, cancelled as usize, "{context}");
        let watch = &world.cancel_watch;
        resumed_count += watch.went_on_count;
        if owner_fault.is_none() {
            let most = 2 * world.size.times().heartbeat_interval_ms + 1_500;
            assert!(
                watch.longest_after_hang_ms <= most,
                "{context}: {}",
                watch.longest_after_hang_ms
            );
        }
        let latest = watch.starts_after.iter().map(|s| s.1).max().unwrap_or_default();
        assert!(latest <= 4_500, "{context}: started {latest} ms after the cancellation");
        assert_all_jobs_end(&mut world, 100_000, &context);
    }
    assert!(resumed_count >= 10, "only {resumed_count} cancelled tasks resumed after a hang");
}
