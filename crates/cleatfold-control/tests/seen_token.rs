//! What a pool's next owner may conclude from a report that was sent before its worker had seen the new token:
//! neither that a task is gone nor that an attempt is over. Late copies bring such reports. Both are guards of
//! `claims.rs`, played here with the controllers themselves.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, Size, World};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::worker::{Command, Heartbeat, Orders};
use cleatfold_wire::*;
use scenario::run_for;
use std::collections::BTreeMap;

fn one_task(world: &mut World) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (1, 1.0, 1.0, 200.0);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// A region in which twelve jobs run; and what each machine last reported when it had nothing.
fn busy(seed: u64) -> (World, BTreeMap<MachineId, Heartbeat>) {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL });
    world.run(Ms(4000));
    for _ in 0..12 {
        let spec = one_task(&mut world);
        world.submit(0, spec);
        run_for(&mut world, 300);
    }
    let mut before = BTreeMap::new();
    while world.now < Ms(25_000) {
        let idle = world.workers.iter_mut().filter(|(_, w)| w.tasks.is_empty());
        before.extend(idle.map(|(id, w)| (id.clone(), w.heartbeat())));
        run_for(&mut world, 100);
    }
    (world, before)
}

/// Ends the pool's owner; the next one reads the report before any other of the machine.
fn next_owner_reads(world: &mut World, pool: &PoolId, report: Heartbeat) {
    let owner = world.holder(pool).expect("it is held");
    world.crash(owner, 20_000);
    while world.holder(pool) == Some(owner) && world.now < Ms(60_000) {
        run_for(world, 50);
    }
    let next = world.holder(pool).expect("it is held");
    assert_ne!(next, owner, "not the day that was meant");
    run_for(world, 150);
    world.handle_event(SimulationEvent::Copy(next, Box::new(report)));
    run_for(world, 20_000);
}

/// A report from before its tasks were launched lists none of them. Seen to fail (ran_twice) when absence counts
/// whatever token the worker has seen.
#[test]
fn absence_counts_only_once_the_worker_has_seen_our_token() {
    for seed in 0..3 {
        let (mut world, before) = busy(seed);
        let (machine, tasks) = world.claims().into_iter().next().expect("something runs");
        assert!(tasks.iter().any(|t| world.running.get(&t.0) == Some(&machine)));
        let pool = world.pool_of(&machine).expect("it is there");
        next_owner_reads(&mut world, &pool, before[&machine].clone());
        assert!(world.broken.is_empty(), "{seed}: {:?}", world.broken);
    }
}

/// An exit that the former owner never read. The machine has lost its lease since and forgotten the exit, and the
/// former owner has ordered the same attempt once more: the claim was ended by that exit while its task ran.
#[test]
fn an_exit_of_a_former_owners_claim_counts_only_once_the_worker_has_seen_our_token() {
    for seed in 0..3 {
        let mut world = busy(seed).0;
        let (machine, tasks) = world.claims().into_iter().next().expect("something runs");
        let (task, attempt) = tasks.into_iter().next().expect("a claim");
        let pool = world.pool_of(&machine).expect("it is there");
        let owner = world.holder(&pool).expect("it is held");

        // An order to stop it that was held up, its sender waits no longer; the report of the exit is held
        // up in its turn; the machine hangs until its lease is just over.
        let worker = world.workers.get_mut(&machine).expect("it is there");
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
        let late = world.workers.get_mut(&machine).expect("it is there").heartbeat();
        world.hung.insert(machine.clone(), renewed.plus(10_150));

        // Its owner orders in the next session what the claim calls for, and ends.
        while world.running.get(&task) != Some(&machine) && world.now < Ms(45_000) {
            run_for(&mut world, 50);
        }
        let again = world.workers[&machine].tasks.contains_key(&(task.clone(), attempt));
        assert!(
            again && world.workers[&machine].agent_epoch == agent_epoch.0 + 1,
            "not the day that was meant"
        );
        next_owner_reads(&mut world, &pool, late);
        assert!(world.broken.is_empty(), "{seed}: {:?}", world.broken);
    }
}
