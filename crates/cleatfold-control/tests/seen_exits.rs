//! A late copy of a report tells a pool's next owner of an exit that the former owner never read. The machine
//! has lost its lease since and forgotten the exit, and the former owner has ordered the same attempt once
//! more. Found by `claims.rs`, as ran_twice: the claim was ended by that exit while its task ran.

use cleatfold_lab::world::{Happens, Size, World};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::worker::{Command, Orders};
use cleatfold_wire::*;

fn one_task(world: &mut World) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (1, 1.0, 1.0, 200.0);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

fn run_for(world: &mut World, ms: u64) {
    let now = world.now;
    world.run(now.plus(ms));
}

fn day(seed: u64) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, machines: 24, ..Size::SMALL });
    world.run(Ms(4000));
    for _ in 0..12 {
        let spec = one_task(&mut world);
        world.submit(0, spec);
        run_for(&mut world, 300);
    }
    world.run(Ms(25_000));
    let (machine, tasks) = world.claims().into_iter().next().expect("something runs");
    let (task, attempt) = tasks.into_iter().next().expect("a claim");
    let pool = world.pool_of(&machine).expect("it is there");
    let owner = world.holder(&pool).expect("it is held");

    // An order to stop it that was held up, its sender waits no longer; the report of the exit is held
    // up in its turn; the machine hangs until its lease is just over.
    let worker = world.workers.get_mut(&machine).expect("it is there");
    let (token, session, renewed) = (worker.token, Session(worker.session), worker.renewed);
    let commands = vec![Command::Stop { task: task.clone(), attempt, grace_s: 0.0 }];
    let orders = Orders { token, session, commands };
    let (node, life) = (owner, u32::MAX);
    let held = Happens::Orders { node, life, machine: machine.clone(), orders, answered: false };
    world.happen(held);
    let late = world.workers.get_mut(&machine).expect("it is there").report();
    world.hung.insert(machine.clone(), renewed.plus(10_150));

    // Its owner orders in the next session what the claim calls for, and ends.
    while world.running.get(&task) != Some(&machine) && world.now < Ms(45_000) {
        run_for(&mut world, 50);
    }
    let again = world.workers[&machine].tasks.contains_key(&(task.clone(), attempt));
    assert!(
        again && world.workers[&machine].session == session.0 + 1,
        "not the day that was meant"
    );
    world.crash(owner, 20_000);
    while world.holder(&pool) == Some(owner) && world.now < Ms(60_000) {
        run_for(&mut world, 50);
    }
    let next = world.holder(&pool).expect("it is held");
    assert_ne!(next, owner, "not the day that was meant");
    run_for(&mut world, 150);
    world.happen(Happens::Copy(next, Box::new(late)));
    run_for(&mut world, 20_000);
    world
}

#[test]
fn an_exit_of_a_former_owners_claim_counts_only_once_its_worker_has_seen_our_token() {
    for seed in 0..3 {
        let world = day(seed);
        assert!(world.broken.is_empty(), "{seed}: {:?}", world.broken);
    }
}
