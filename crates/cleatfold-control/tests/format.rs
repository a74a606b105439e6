//! The marker of the record format's version: a controller that does not know the version exits without any change.

use cleatfold_control::records::FORMAT_KEY;
use cleatfold_control::FORMAT_VERSION;
use cleatfold_testbed::world::{SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::store::Txn;
use cleatfold_wire::Ms;

fn region() -> World {
    World::sized(1, false, Size { most_jobs: 20, ..Size::SMALL })
}

fn write_marker(world: &mut World, value: &serde_json::Value) {
    let mut txn = Txn::default();
    txn.put(FORMAT_KEY, value, None);
    world.store.txn(&txn).expect("no guards");
}

fn marker_version(world: &World) -> Option<u64> {
    let item = world.store.get(FORMAT_KEY)?;
    let value: serde_json::Value = serde_json::from_str(item.value.get()).ok()?;
    value.get("version")?.as_u64()
}

/// Checks that all controllers exit with a message that contains `reason` and leave the store unchanged.
fn assert_start_refused(world: &mut World, reason: &str) {
    let before = world.store.revision();
    world.run(Ms(20_000));
    assert_eq!(world.store.revision(), before, "the store was changed");
    assert_eq!(world.store.lease_count(), 0, "a lease was granted");
    assert_eq!(world.refused_starts.len(), CONTROLLERS);
    for (_, message) in &world.refused_starts {
        assert!(message.contains(reason), "{message}");
    }
    assert!(world.controllers.iter().all(|n| n.is_none()));
}

#[test]
fn later_format_version_is_not_modified() {
    let mut world = region();
    write_marker(&mut world, &serde_json::json!({ "version": FORMAT_VERSION + 1, "more": true }));
    assert_start_refused(&mut world, &format!("version {}", FORMAT_VERSION + 1));
}

#[test]
fn unreadable_format_marker_is_not_modified() {
    for value in
        [serde_json::json!("?"), serde_json::json!({}), serde_json::json!({ "version": -1 })]
    {
        let mut world = region();
        write_marker(&mut world, &value);
        assert_start_refused(&mut world, "cannot be read");
    }
}

/// Covers an empty store and a store that was filled by an earlier version, which wrote no marker.
#[test]
fn store_without_marker_gets_current_version() {
    let mut world = region();
    world.run(Ms(60_000));
    assert_eq!(marker_version(&world), Some(FORMAT_VERSION));
    assert!(world.started > 0);
    let mut txn = Txn::default();
    txn.delete(FORMAT_KEY);
    world.store.txn(&txn).expect("no guards");
    (0..CONTROLLERS).for_each(|i| world.crash(i, 500));
    world.run(Ms(600_000));
    assert_eq!(marker_version(&world), Some(FORMAT_VERSION));
    assert!(world.refused_starts.is_empty() && world.broken.is_empty(), "{:#?}", world.broken);
    assert_eq!(world.unfinished(), vec![]);
}

/// As long as the format can't be read, controllers serve no requests, but do not exit either.
#[test]
fn store_outage_at_startup_is_awaited() {
    for has_marker in [true, false] {
        let mut world = region();
        if has_marker {
            write_marker(&mut world, &serde_json::json!({ "version": FORMAT_VERSION }));
        }
        let before = world.store.revision();
        world.handle_event(SimulationEvent::Outage { until: Ms(30_000) });
        world.run(Ms(29_900));
        assert_eq!(world.store.revision(), before);
        assert!(world.controllers.iter().flatten().all(|n| !n.is_ready()));
        world.run(Ms(600_000));
        assert_eq!(marker_version(&world), Some(FORMAT_VERSION));
        assert!(world.refused_starts.is_empty() && world.broken.is_empty(), "{:#?}", world.broken);
        assert!(world.started > 0);
    }
}
