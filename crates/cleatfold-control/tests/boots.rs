//! Machines that are up within two seconds and get work at once: the cloud's list does not name them yet, writes lag,
//! the rental's answer or intent is late, and the leader ends.

mod scenario;

use cleatfold_control::records::HolderRecord;
use cleatfold_roles::Role;
use cleatfold_testbed::world::{controller_id, Purpose, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::*;
use scenario::{ends_well, plain, run_for};
use std::collections::BTreeMap;

/// The list is ten seconds old, machines boot in 1.5 s.
fn region(seed: u64) -> World {
    let boot_s = Size::FAST_BOOT_S;
    let size = Size { machines: 30, most_jobs: 0, boot_s, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.cloud.list_lag_ms = 10_000;
    world.poll_everything();
    world
}

fn holder(world: &World, role: Role) -> Option<usize> {
    let item = world.store.get(role.key())?;
    let holder: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
    (0..world.controllers.len()).find(|i| controller_id(*i) == holder.owner)
}

fn submit(world: &mut World, n: usize) {
    let mut spec = plain(world, 10, [6.0, 15.0][n % 2]);
    spec.cpus = 4.0;
    world.submit(n % CONTROLLERS, spec);
}

/// Tasks that run on machines that the list does not name yet.
fn unlisted(world: &World) -> Vec<MachineId> {
    let listed: BTreeMap<MachineId, ()> =
        world.cloud.list(world.now).into_iter().map(|m| (m.id, ())).collect();
    let machines = world.running.values().filter(|m| !listed.contains_key(*m));
    machines.cloned().collect()
}

/// Both leaders and whoever owns the machines' pool end as soon as a new machine runs its first task.
#[derive(Clone, Copy, Debug)]
enum Falls {
    Renter,
    Dealer,
    Owner,
    All,
}

fn fall(world: &mut World, falls: Falls, machine: &MachineId, back_ms: u64) {
    let owner = scenario::owner(world, machine);
    let who = match falls {
        Falls::Renter => holder(world, Role::ScaleOut).into_iter().collect(),
        Falls::Dealer => holder(world, Role::PoolAssignment).into_iter().collect(),
        Falls::Owner => owner.into_iter().collect(),
        Falls::All => (0..CONTROLLERS).collect::<Vec<_>>(),
    };
    who.into_iter().for_each(|controller| world.crash(controller, back_ms));
}

#[test]
fn work_on_machines_that_just_came_up_survives_their_leader() {
    let mut met = 0;
    for seed in 1..17u64 {
        let mut world = region(seed);
        let falls = [Falls::Renter, Falls::Dealer, Falls::Owner, Falls::All][seed as usize % 4];
        let back_ms = [300, 7_000][seed as usize / 4 % 2];
        let late =
            [Purpose::Record, Purpose::ScaleOutIntents, Purpose::PoolAssignment, Purpose::Submit];
        world.writes_late(late, 0.3, Ms(45_000));
        run_for(&mut world, 6_000);
        for n in 0..3 {
            submit(&mut world, n);
        }
        let (mut fell, mut asked) = (0, 0);
        while world.now < Ms(60_000) && world.broken.is_empty() {
            run_for(&mut world, 20);
            let new = unlisted(&world);
            if fell < 3 && !new.is_empty() && world.now >= Ms(8_000 + 9_000 * fell) {
                fell += 1;
                fall(&mut world, falls, &new[0], back_ms);
                // One of them is lost before anybody else has heard of it.
                if seed % 3 == 0 {
                    world.handle_event(SimulationEvent::Die(new[0].clone()));
                }
                submit(&mut world, fell as usize);
                submit(&mut world, fell as usize + 1);
            }
            // The renter ends with the answer to a rental on its way.
            if seed % 5 == 4 && world.cloud.scale_out_log.len() > asked && asked < 4 {
                if let Some(renter) = holder(&world, Role::ScaleOut) {
                    world.crash(renter, back_ms);
                }
            }
            asked = world.cloud.scale_out_log.len();
        }
        met += fell;
        ends_well(&mut world, 400_000, &format!("seed {seed} {falls:?}"));
        let longest_ms = world.starvation.longest_ms;
        assert!(longest_ms < 90_000, "seed {seed}: a job waited {longest_ms} ms beside room");
    }
    assert!(met > 24, "only {met} times did a machine that was not listed run something");
}

/// A machine that its owner had returned counted as supply with whoever rents until it had been out of the list for
/// 50 s, and what came meanwhile waited for it.
#[test]
fn what_others_have_returned_is_no_supply() {
    let mut others = 0;
    for seed in 20..32u64 {
        let mut world = region(seed);
        world.cloud.list_lag_ms = 0;
        run_for(&mut world, 6_000);
        let zone = ZoneId::new(["a", "b", "c"][seed as usize % 3]);
        let mut spec = plain(&mut world, 1, 3.0);
        spec.zone = Some(zone.clone());
        world.submit(0, spec);
        while world.cloud.machines.is_empty() {
            run_for(&mut world, 50);
        }
        let machine = world.cloud.machines.keys().next().expect("one is rented").clone();
        run_for(&mut world, 10_000);
        let owner = scenario::owner(&world, &machine);
        while world.cloud.machines.contains_key(&machine) {
            assert!(world.now < Ms(120_000), "seed {seed}: it is not returned");
            run_for(&mut world, 50);
        }
        others += usize::from(owner != holder(&world, Role::ScaleOut));
        let asked = world.cloud.scale_out_log.len();
        let mut spec = plain(&mut world, 1, 3.0);
        spec.zone = Some(zone);
        world.submit(0, spec);
        let from = world.now;
        while world.cloud.scale_out_log.len() == asked {
            run_for(&mut world, 50);
            let waited_ms = world.now.since(from);
            assert!(waited_ms < 15_000, "seed {seed}: nothing is rented");
        }
        ends_well(&mut world, 60_000, &format!("seed {seed}"));
    }
    assert!(others > 3, "only {others} machines were returned by another than the renter");
}
