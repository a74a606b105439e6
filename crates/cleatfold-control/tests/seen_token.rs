//! A pool's next owner must not conclude from a report sent before the worker had seen the new token that a task is
//! absent or that an attempt has ended. Late copies are such reports. Both are guards of the model check in
//! `claims.rs`, tested here with the real controllers in the simulated region.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, Size, World};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::worker::{Command, Heartbeat, Orders};
use cleatfold_wire::*;
use scenario::run_for;
use std::collections::BTreeMap;

fn one_task_job(world: &mut World) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (1, 1.0, 1.0, 200.0);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// A region that runs twelve jobs, and the last report of each machine without tasks.
fn busy_region(seed: u64) -> (World, BTreeMap<MachineId, Heartbeat>) {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL });
    world.run(Ms(4000));
    for _ in 0..12 {
        let spec = one_task_job(&mut world);
        world.submit(0, spec);
        run_for(&mut world, 300);
    }
    let mut idle_reports = BTreeMap::new();
    while world.now < Ms(25_000) {
        let idle = world.workers.iter_mut().filter(|(_, w)| w.tasks.is_empty());
        idle_reports.extend(idle.map(|(id, w)| (id.clone(), w.heartbeat())));
        run_for(&mut world, 100);
    }
    (world, idle_reports)
}

/// Crashes the pool's owner; the next owner reads this report before any other of the machine.
fn fail_over_with_report(world: &mut World, pool: &PoolId, report: Heartbeat) {
    let owner = world.holder(pool).expect("pool has an owner");
    world.crash(owner, 20_000);
    while world.holder(pool) == Some(owner) && world.now < Ms(60_000) {
        run_for(world, 50);
    }
    let next = world.holder(pool).expect("pool has an owner");
    assert_ne!(next, owner, "the run did not reach the intended state");
    run_for(world, 150);
    world.handle_event(SimulationEvent::Copy(next, Box::new(report)));
    run_for(world, 20_000);
}

/// A report from before the tasks were launched lists none of them. Fails (ran_twice) when absence counts whatever
/// token the worker has seen.
#[test]
fn absence_before_seen_token_releases_no_claim() {
    for seed in 0..3 {
        let (mut world, idle_reports) = busy_region(seed);
        let (machine, tasks) = world.claims().into_iter().next().expect("a claim exists");
        assert!(tasks.iter().any(|t| world.running.get(&t.0) == Some(&machine)));
        let pool = world.pool_of(&machine).expect("machine exists");
        fail_over_with_report(&mut world, &pool, idle_reports[&machine].clone());
        assert!(world.broken.is_empty(), "{seed}: {:?}", world.broken);
    }
}

/// An exit that the former owner never read. The machine's lease has expired since, which dropped the exit, and the
/// former owner has started the same attempt again: the claim was ended by that exit while its task ran.
#[test]
fn exit_before_seen_token_ends_no_claim() {
    for seed in 0..3 {
        let mut world = busy_region(seed).0;
        let (machine, tasks) = world.claims().into_iter().next().expect("a claim exists");
        let (task, attempt) = tasks.into_iter().next().expect("a claim");
        let pool = world.pool_of(&machine).expect("machine exists");
        let owner = world.holder(&pool).expect("pool has an owner");

        // A delayed stop command whose sender no longer waits for the answer; the report of the exit is delayed as
        // well, and the machine hangs until its lease has just expired.
        let worker = world.workers.get_mut(&machine).expect("machine exists");
        let (token, agent_epoch, renewed) =
            (worker.token, AgentEpoch(worker.agent_epoch), worker.renewed_at);
        let commands = vec![Command::Stop { task: task.clone(), attempt, grace_s: 0.0 }];
        let orders = Orders { token, agent_epoch, commands };
        world.handle_event(SimulationEvent::Orders {
            controller: owner,
            life: u32::MAX,
            machine: machine.clone(),
            orders,
            answered: false,
        });
        let late_report = world.workers.get_mut(&machine).expect("machine exists").heartbeat();
        world.hung.insert(machine.clone(), renewed.plus(10_150));

        // In the next session its owner starts the claimed task again, and then crashes.
        while world.running.get(&task) != Some(&machine) && world.now < Ms(45_000) {
            run_for(&mut world, 50);
        }
        let is_restarted = world.workers[&machine].tasks.contains_key(&(task.clone(), attempt));
        assert!(
            is_restarted && world.workers[&machine].agent_epoch == agent_epoch.0 + 1,
            "the run did not reach the intended state"
        );
        fail_over_with_report(&mut world, &pool, late_report);
        assert!(world.broken.is_empty(), "{seed}: {:?}", world.broken);
    }
}
