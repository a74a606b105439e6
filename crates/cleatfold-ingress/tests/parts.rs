//! Pressure, connections and retries, each on its own.

use cleatfold_ingress::{Backoff, Breaker, ConnectionTable, Level, Pressure, RetryBudget};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// A single late tick (a frozen process that goes on) is no overload; a second of them is, and
/// it is over some seconds after the last one.
#[test]
fn pressure_rises_with_lateness_and_falls_again() {
    let mut pressure = Pressure::default();
    let mut at = 1000;
    let mut go = |pressure: &mut Pressure, late, times| {
        for _ in 0..times {
            at += 50 + late;
            pressure.note(at, late, 0);
        }
        pressure.level()
    };
    assert_eq!(go(&mut pressure, 5, 40), Level::Calm);
    assert_eq!(go(&mut pressure, 30_000, 1), Level::Calm, "a freeze is no load");
    assert_eq!(go(&mut pressure, 300, 20), Level::Busy);
    assert!(pressure.level() < Level::Strained);
    assert_eq!(go(&mut pressure, 900, 20), Level::Strained);
    assert_eq!(go(&mut pressure, 3000, 20), Level::Drowning);
    assert!(pressure.backpressure() > 1);
    let mut rng = SmallRng::seed_from_u64(1);
    let spread: std::collections::BTreeSet<u32> =
        (0..100).map(|_| pressure.retry_after_s(&mut rng)).collect();
    assert!(spread.len() > 4 && spread.iter().all(|s| (1..=30).contains(s)));
    assert_eq!(go(&mut pressure, 0, 200), Level::Calm);
}

/// A controller full of connections made room for none of its own: its lease ran out.
#[test]
fn the_connection_table_closes_idle_connections_for_new_ones() {
    let mut connections = ConnectionTable::new(100, 30_000);
    let ids: Vec<_> = (0..84).map(|i| connections.open(i).0).collect();
    assert_eq!(connections.len(), 84);
    connections.note(ids[0], 90, false, true);
    connections.note(ids[1], 91, true, false);
    // Neither the worker's nor the one at work, but the user's that is idle longest.
    let (new, leaves) = connections.open(100);
    assert_eq!(leaves, Some(ids[2]));
    connections.close(ids[2]);
    assert_eq!(connections.len(), 84);
    for id in &ids[3..] {
        connections.note(*id, 200, true, false);
    }
    connections.note(new, 200, true, false);
    let (last, leaves) = connections.open(201);
    assert_eq!(leaves, Some(ids[0]), "then the worker's");
    connections.close(ids[0]);
    connections.note(last, 201, true, false);
    // All are at work: the new one goes.
    let (refused, leaves) = connections.open(203);
    assert_eq!(leaves, Some(refused));
    connections.close(refused);
    // Abandoned requests are let go sooner than idle connections.
    assert_eq!(connections.unused(20_100).len(), 1, "the one that began first");
    assert_eq!(connections.unused(20_300).len(), 84);
}

#[test]
fn retries_have_a_budget_and_a_service_that_is_away_is_tried_one_by_one() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    assert_eq!((0..100).filter(|_| budget.take()).count(), 5);
    (0..100).for_each(|_| budget.note_call());
    assert_eq!((0..100).filter(|_| budget.take()).count(), 5);

    let mut rng = SmallRng::seed_from_u64(3);
    let backoff = Backoff { first_ms: 100, most_ms: 1600 };
    let mut breaker = Breaker::new(3, backoff);
    let mut calls = Vec::new();
    for now in (0..20_000).step_by(10) {
        if breaker.admits(now) {
            calls.push(now);
            breaker.note(now, false, &mut rng);
        }
    }
    // Three to see it, then fewer and fewer, and never none.
    assert!(calls.len() > 12 && calls.len() < 35, "{calls:?}");
    assert!(calls.windows(2).all(|w| w[1] - w[0] <= 1620), "{calls:?}");
    assert!(breaker.is_open());
    let now = 30_000;
    assert!(breaker.admits(now) && !breaker.admits(now), "one try at a time");
    breaker.note(now, true, &mut rng);
    assert!(!breaker.is_open() && breaker.admits(now) && breaker.admits(now));
}
