//! Machines that boot within two seconds and receive tasks at once: the cloud does not list them yet, store writes are
//! delayed, the scale-out reply or its intent is late, and the leader crashes.

mod scenario;

use cleatfold_control::records::HolderRecord;
use cleatfold_roles::Role;
use cleatfold_testbed::world::{controller_id, Purpose, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::*;
use scenario::{assert_all_jobs_end, plain_job, run_for};
use std::collections::BTreeMap;

/// A region whose machine list lags by ten seconds and whose machines boot in 1.5 s.
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
    let mut spec = plain_job(world, 10, [6.0, 15.0][n % 2]);
    spec.cpus = 4.0;
    world.submit(n % CONTROLLERS, spec);
}

/// Returns the machines that run tasks but are not listed by the cloud yet.
fn machines_not_listed(world: &World) -> Vec<MachineId> {
    let listed: BTreeMap<MachineId, ()> =
        world.cloud.list(world.now).into_iter().map(|m| (m.id, ())).collect();
    let machines = world.running.values().filter(|m| !listed.contains_key(*m));
    machines.cloned().collect()
}

/// The controllers that crash as soon as a new machine runs its first task.
#[derive(Clone, Copy, Debug)]
enum CrashTarget {
    ScaleOutHolder,
    PoolAssignmentHolder,
    PoolOwner,
    All,
}

fn crash_controllers(world: &mut World, target: CrashTarget, machine: &MachineId, restart_ms: u64) {
    let owner = scenario::pool_owner(world, machine);
    let controllers = match target {
        CrashTarget::ScaleOutHolder => holder(world, Role::ScaleOut).into_iter().collect(),
        CrashTarget::PoolAssignmentHolder => {
            holder(world, Role::PoolAssignment).into_iter().collect()
        }
        CrashTarget::PoolOwner => owner.into_iter().collect(),
        CrashTarget::All => (0..CONTROLLERS).collect::<Vec<_>>(),
    };
    controllers.into_iter().for_each(|controller| world.crash(controller, restart_ms));
}

#[test]
fn tasks_on_unlisted_machines_survive_leader_crash() {
    let mut crashes = 0;
    for seed in 1..17u64 {
        let mut world = region(seed);
        let target = [
            CrashTarget::ScaleOutHolder,
            CrashTarget::PoolAssignmentHolder,
            CrashTarget::PoolOwner,
            CrashTarget::All,
        ][seed as usize % 4];
        let restart_ms = [300, 7_000][seed as usize / 4 % 2];
        let late_kinds =
            [Purpose::Record, Purpose::ScaleOutIntents, Purpose::PoolAssignment, Purpose::Submit];
        world.writes_late(late_kinds, 0.3, Ms(45_000));
        run_for(&mut world, 6_000);
        for n in 0..3 {
            submit(&mut world, n);
        }
        let (mut crash_count, mut requests) = (0, 0);
        while world.now < Ms(60_000) && world.broken.is_empty() {
            run_for(&mut world, 20);
            let unlisted_machines = machines_not_listed(&world);
            if crash_count < 3
                && !unlisted_machines.is_empty()
                && world.now >= Ms(8_000 + 9_000 * crash_count)
            {
                crash_count += 1;
                crash_controllers(&mut world, target, &unlisted_machines[0], restart_ms);
                // One of the machines is lost before any other controller knows of it.
                if seed % 3 == 0 {
                    world.handle_event(SimulationEvent::Die(unlisted_machines[0].clone()));
                }
                submit(&mut world, crash_count as usize);
                submit(&mut world, crash_count as usize + 1);
            }
            // The scale-out holder crashes while the reply to its request is in flight.
            if seed % 5 == 4 && world.cloud.scale_out_log.len() > requests && requests < 4 {
                if let Some(controller) = holder(&world, Role::ScaleOut) {
                    world.crash(controller, restart_ms);
                }
            }
            requests = world.cloud.scale_out_log.len();
        }
        crashes += crash_count;
        assert_all_jobs_end(&mut world, 400_000, &format!("seed {seed} {target:?}"));
        let longest_ms = world.starvation.longest_ms;
        assert!(
            longest_ms < 90_000,
            "seed {seed}: a job waited {longest_ms} ms beside free capacity"
        );
    }
    assert!(crashes > 24, "only {crashes} crashes while an unlisted machine ran a task");
}

/// Guards against the scale-out holder counting a machine that its owner had returned as supply until it had been missing
/// from the list for 50 s, while new jobs waited for it.
#[test]
fn machines_returned_by_owner_are_not_supply() {
    let mut returned_by_others = 0;
    for seed in 20..32u64 {
        let mut world = region(seed);
        world.cloud.list_lag_ms = 0;
        run_for(&mut world, 6_000);
        let zone = ZoneId::new(["a", "b", "c"][seed as usize % 3]);
        let mut spec = plain_job(&mut world, 1, 3.0);
        spec.zone = Some(zone.clone());
        world.submit(0, spec);
        while world.cloud.machines.is_empty() {
            run_for(&mut world, 50);
        }
        let machine = world.cloud.machines.keys().next().expect("a machine was created").clone();
        run_for(&mut world, 10_000);
        let owner = scenario::pool_owner(&world, &machine);
        while world.cloud.machines.contains_key(&machine) {
            assert!(world.now < Ms(120_000), "seed {seed}: the machine is not returned");
            run_for(&mut world, 50);
        }
        returned_by_others += usize::from(owner != holder(&world, Role::ScaleOut));
        let requests = world.cloud.scale_out_log.len();
        let mut spec = plain_job(&mut world, 1, 3.0);
        spec.zone = Some(zone);
        world.submit(0, spec);
        let from = world.now;
        while world.cloud.scale_out_log.len() == requests {
            run_for(&mut world, 50);
            let waited_ms = world.now.since(from);
            assert!(waited_ms < 15_000, "seed {seed}: no machine is requested");
        }
        assert_all_jobs_end(&mut world, 60_000, &format!("seed {seed}"));
    }
    assert!(
        returned_by_others > 3,
        "only {returned_by_others} machines were returned by other controllers"
    );
}
