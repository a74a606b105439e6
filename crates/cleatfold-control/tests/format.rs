//! The marker of the records' version: a controller that does not know it changes nothing and ends.

use cleatfold_control::records::FORMAT_KEY;
use cleatfold_control::FORMAT_VERSION;
use cleatfold_testbed::world::{SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::store::Txn;
use cleatfold_wire::Ms;

fn region() -> World {
    World::sized(1, false, Size { most_jobs: 20, ..Size::SMALL })
}

fn mark(world: &mut World, value: &serde_json::Value) {
    let mut txn = Txn::default();
    txn.put(FORMAT_KEY, value, None);
    world.store.txn(&txn).expect("no guards");
}

fn marked(world: &World) -> Option<u64> {
    let item = world.store.get(FORMAT_KEY)?;
    let value: serde_json::Value = serde_json::from_str(item.value.get()).ok()?;
    value.get("version")?.as_u64()
}

/// All controllers have ended and said why, and the store is as it was.
fn refused(world: &mut World, says: &str) {
    let before = world.store.revision();
    world.run(Ms(20_000));
    assert_eq!(world.store.revision(), before, "something was changed");
    assert_eq!(world.store.lease_count(), 0, "a lease was taken");
    assert_eq!(world.refused_starts.len(), CONTROLLERS);
    for (_, why) in &world.refused_starts {
        assert!(why.contains(says), "{why}");
    }
    assert!(world.controllers.iter().all(|n| n.is_none()));
}

#[test]
fn a_later_version_of_the_records_is_left_alone() {
    let mut world = region();
    mark(&mut world, &serde_json::json!({ "version": FORMAT_VERSION + 1, "more": true }));
    refused(&mut world, &format!("version {}", FORMAT_VERSION + 1));
}

#[test]
fn an_unreadable_marker_is_left_alone() {
    for value in
        [serde_json::json!("?"), serde_json::json!({}), serde_json::json!({ "version": -1 })]
    {
        let mut world = region();
        mark(&mut world, &value);
        refused(&mut world, "cannot be read");
    }
}

/// An empty store, and one that an earlier version filled, which wrote no marker.
#[test]
fn a_store_without_a_marker_gets_ours() {
    let mut world = region();
    world.run(Ms(60_000));
    assert_eq!(marked(&world), Some(FORMAT_VERSION));
    assert!(world.started > 0);
    let mut txn = Txn::default();
    txn.delete(FORMAT_KEY);
    world.store.txn(&txn).expect("no guards");
    (0..CONTROLLERS).for_each(|i| world.crash(i, 500));
    world.run(Ms(600_000));
    assert_eq!(marked(&world), Some(FORMAT_VERSION));
    assert!(world.refused_starts.is_empty() && world.broken.is_empty(), "{:#?}", world.broken);
    assert_eq!(world.unfinished(), vec![]);
}

/// Nobody can say what the records are: nothing is served, nothing given up.
#[test]
fn an_outage_at_the_start_is_waited_for() {
    for known in [true, false] {
        let mut world = region();
        if known {
            mark(&mut world, &serde_json::json!({ "version": FORMAT_VERSION }));
        }
        let before = world.store.revision();
        world.handle_event(SimulationEvent::Outage { until: Ms(30_000) });
        world.run(Ms(29_900));
        assert_eq!(world.store.revision(), before);
        assert!(world.controllers.iter().flatten().all(|n| !n.is_ready()));
        world.run(Ms(600_000));
        assert_eq!(marked(&world), Some(FORMAT_VERSION));
        assert!(world.refused_starts.is_empty() && world.broken.is_empty(), "{:#?}", world.broken);
        assert!(world.started > 0);
    }
}
