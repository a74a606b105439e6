//! Exclusive roles of controllers while their holders are killed, partitioned and replaced.

use cleatfold_control::records::{HolderRecord, SCALE_OUT_KEY};
use cleatfold_roles::{Role, ScaleOutIntents};
use cleatfold_testbed::world::{controller_id, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::*;
use std::collections::{BTreeMap, BTreeSet};

/// A region with 400 available machines, a machine list that lags by ten seconds, and no jobs but those of the test.
fn region(seed: u64) -> World {
    let size = Size { machines: 400, most_jobs: 0, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.cloud.list_lag_ms = 10_000;
    world
}

fn submit(world: &mut World, controller: usize, tasks: u32) {
    let mut spec = world.some_job();
    (spec.team, spec.urgency) = (TeamId::new("free"), Urgency::Normal);
    (spec.tasks, spec.cpus, spec.estimate_s) = (tasks, 4.0, 12.0);
    (spec.one_zone, spec.spread, spec.types, spec.spot) = (false, false, None, true);
    world.submit(controller, spec);
}

fn holder(world: &World, role: Role) -> Option<usize> {
    let item = world.store.get(role.key())?;
    let holder: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
    (0..CONTROLLERS).find(|i| controller_id(*i) == holder.owner)
}

fn intents_record(world: &World) -> ScaleOutIntents {
    let item = world.store.get(SCALE_OUT_KEY);
    item.map(|i| serde_json::from_str(i.value.get()).expect("a record")).unwrap_or_default()
}

/// Submits eighty tasks of half a machine each and applies `fault` to the scale-out holder as soon as it has called the
/// cloud API. Returns the number of machines requested.
fn machines_requested(seed: u64, fault: impl Fn(&mut World, usize)) -> (usize, World) {
    let mut world = region(seed);
    world.run(Ms(6000));
    submit(&mut world, 0, 80);
    let mut fault_applied = false;
    while world.now < Ms(22_000) {
        let now = world.now;
        world.run(now.plus(5));
        if !fault_applied && !world.cloud.scale_out_log.is_empty() {
            fault_applied = true;
            let controller = holder(&world, Role::ScaleOut).expect("a scale-out holder");
            fault(&mut world, controller);
        }
    }
    assert!(fault_applied && world.broken.is_empty(), "{:#?}", world.broken);
    (world.cloud.scale_out_log.iter().map(|a| a.2).sum(), world)
}

/// Guards against a new holder that does not know which machines the former one requested, as long as the cloud does not
/// list them, and requests all of them again. Fails if the intents in the record are not counted.
#[test]
fn new_holder_does_not_repeat_scale_out() {
    for seed in 1..4 {
        let (without_fault, _) = machines_requested(seed, |_, _| {});
        let (after_crash, world) =
            machines_requested(seed, |w, controller| w.at(0, SimulationEvent::Crash(controller)));
        assert!(
            after_crash <= without_fault + without_fault / 5,
            "seed {seed}: {after_crash} of {without_fault}"
        );
        assert!(after_crash >= without_fault / 2, "seed {seed}: {after_crash} of {without_fault}");
        // The next holder repeated the requests under the same names and then cleared the record.
        assert!(intents_record(&world).open.is_empty(), "{:?}", intents_record(&world));
        let until = Ms(20_000);
        let (after_partition, _) = machines_requested(seed, |w, controller| {
            w.at(0, SimulationEvent::Cut { controller, until })
        });
        assert!(
            after_partition <= without_fault + without_fault / 5,
            "seed {seed}: {after_partition} of {without_fault}"
        );
    }
}

/// Holders are repeatedly killed, and cut off from the state service or from everything. Fails if the cloud API is called
/// before the intent is durable.
#[test]
fn scale_out_intent_is_durable_before_request() {
    let mut holders = BTreeSet::new();
    for seed in 10..14 {
        let mut world = region(seed);
        let mut intents: BTreeMap<String, Version> = BTreeMap::new();
        let mut epoch = Version(0);
        let mut checked = 0;
        for second in 1..150u64 {
            if second % 21 == 1 && second > 5 {
                // Ends all machines, so that the new tasks require a scale-out.
                for id in world.workers.keys().cloned().collect::<Vec<_>>() {
                    world.at(0, SimulationEvent::Die(id));
                }
                submit(&mut world, (second % 3) as usize, 60 + (second % 50) as u32);
            }
            if second % 9 == 0 && second > 10 {
                if let Some(controller) = holder(&world, Role::ScaleOut) {
                    let until = Ms((second + 6) * 1000);
                    match (second / 9) % 3 {
                        0 => world.at(0, SimulationEvent::Crash(controller)),
                        1 => world.at(0, SimulationEvent::StoreCut { controller, until }),
                        _ => world.at(0, SimulationEvent::Cut { controller, until }),
                    }
                }
            }
            for ms in 0..200 {
                let before = world.store.get(Role::ScaleOut.key()).map(|i| i.version);
                world.run(Ms(second * 1000 + (ms + 1) * 5));
                let record = intents_record(&world);
                if record.epoch != epoch {
                    let after = world.store.get(Role::ScaleOut.key()).map(|i| i.version);
                    assert!(
                        [before, after].contains(&Some(record.epoch)),
                        "written by a former holder"
                    );
                    assert!(record.epoch > epoch);
                    epoch = record.epoch;
                    holders.insert((seed, epoch));
                }
                for intent in &record.open {
                    intents.entry(intent.name.clone()).or_insert(record.epoch);
                }
                for (_, request, _) in &world.cloud.scale_out_log[checked..] {
                    assert!(
                        intents.contains_key(&request.request),
                        "{request:?} has no durable intent"
                    );
                }
                checked = world.cloud.scale_out_log.len();
            }
        }
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        let names: BTreeSet<&String> =
            world.cloud.scale_out_log.iter().map(|a| &a.1.request).collect();
        assert!(names.len() > 6, "seed {seed}: only {} requests", names.len());
        world.run(Ms(220_000));
        assert!(intents_record(&world).open.is_empty(), "all intents are resolved at the end");
    }
    assert!(holders.len() > 20, "only {} scale-out holders", holders.len());
}

/// Roles are spread over the controllers, and each gets a new holder soon after its holder failed.
#[test]
fn role_is_taken_over_after_holder_failure() {
    let mut world = region(20);
    world.run(Ms(180_000));
    let holders: BTreeSet<Option<usize>> = Role::ALL.iter().map(|d| holder(&world, *d)).collect();
    assert_eq!(holders.len(), CONTROLLERS, "spread over all controllers when there are no faults");
    for round in 0..8 {
        let role = Role::ALL[round % Role::ALL.len()];
        let controller = holder(&world, role).expect("the role has a holder");
        let failed_at = world.now;
        match round % 2 {
            0 => world.at(0, SimulationEvent::Crash(controller)),
            _ => {
                world.at(0, SimulationEvent::StoreCut { controller, until: failed_at.plus(15_000) })
            }
        }
        let mut vacant_since = None;
        loop {
            let now = world.now;
            world.run(now.plus(50));
            if holder(&world, role).is_some_and(|h| h != controller || vacant_since.is_some()) {
                break;
            }
            if holder(&world, role).is_none() {
                vacant_since.get_or_insert(world.now);
            }
            // The lease (3 s) and the rest of its term, then the next candidate in order, and a store read for each.
            assert!(
                world.now.since(failed_at) < 3000 + 100 + 2 * 400 + 1500,
                "{role:?} has no holder"
            );
        }
        world.run(failed_at.plus(20_000));
    }
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}
