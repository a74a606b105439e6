//! Pressure, connections, retry budget and circuit breaker.

use cleatfold_ingress::{Backoff, CircuitBreaker, ConnectionTable, Level, Pressure, RetryBudget};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// A single late tick (a resumed process) is no overload; a second of late ticks is, and it ends
/// some seconds after the last one.
#[test]
fn pressure_follows_tick_lateness() {
    let mut pressure = Pressure::default();
    let mut at = 1000;
    let mut tick = |pressure: &mut Pressure, late_ms, times| {
        for _ in 0..times {
            at += 50 + late_ms;
            pressure.record_tick(at, late_ms, 0);
        }
        pressure.level()
    };
    assert_eq!(tick(&mut pressure, 5, 40), Level::Calm);
    assert_eq!(tick(&mut pressure, 30_000, 1), Level::Calm, "a process pause is no load");
    assert_eq!(tick(&mut pressure, 300, 20), Level::Busy);
    assert!(pressure.level() < Level::Strained);
    assert_eq!(tick(&mut pressure, 900, 20), Level::Strained);
    assert_eq!(tick(&mut pressure, 3000, 20), Level::Drowning);
    assert!(pressure.backpressure() > 1);
    let mut rng = SmallRng::seed_from_u64(1);
    let retry_afters: std::collections::BTreeSet<u32> =
        (0..100).map(|_| pressure.retry_after_s(&mut rng)).collect();
    assert!(retry_afters.len() > 4 && retry_afters.iter().all(|s| (1..=30).contains(s)));
    assert_eq!(tick(&mut pressure, 0, 200), Level::Calm);
}

/// A controller whose sockets were all used by clients could not open its own connections, and its
/// lease expired.
#[test]
fn full_connection_table_evicts_idle_connections() {
    let mut connections = ConnectionTable::new(100, 30_000);
    let ids: Vec<_> = (0..84).map(|i| connections.open(i).0).collect();
    assert_eq!(connections.len(), 84);
    connections.record_request(ids[0], 90, false, true);
    connections.record_request(ids[1], 91, true, false);
    // Neither the worker's connection nor the busy one is closed, but the user's that is idle
    // longest.
    let (new, evicted) = connections.open(100);
    assert_eq!(evicted, Some(ids[2]));
    connections.close(ids[2]);
    assert_eq!(connections.len(), 84);
    for id in &ids[3..] {
        connections.record_request(*id, 200, true, false);
    }
    connections.record_request(new, 200, true, false);
    let (newest, evicted) = connections.open(201);
    assert_eq!(evicted, Some(ids[0]), "the worker's connection is next");
    connections.close(ids[0]);
    connections.record_request(newest, 201, true, false);
    // All are busy: the new one is closed.
    let (refused, evicted) = connections.open(203);
    assert_eq!(evicted, Some(refused));
    connections.close(refused);
    // Abandoned requests time out earlier than idle connections.
    assert_eq!(connections.expired(20_100).len(), 1, "the request that began first");
    assert_eq!(connections.expired(20_300).len(), 84);
}

#[test]
fn retry_budget_and_circuit_breaker_limit_calls_to_unavailable_service() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    assert_eq!((0..100).filter(|_| budget.try_take()).count(), 5);
    (0..100).for_each(|_| budget.record_call());
    assert_eq!((0..100).filter(|_| budget.try_take()).count(), 5);

    let mut rng = SmallRng::seed_from_u64(3);
    let backoff = Backoff { first_ms: 100, max_ms: 1600 };
    let mut breaker = CircuitBreaker::new(3, backoff);
    let mut calls = Vec::new();
    for now in (0..20_000).step_by(10) {
        if breaker.allows_call(now) {
            calls.push(now);
            breaker.record_result(now, false, &mut rng);
        }
    }
    // Three calls until it opens, then trial calls at growing intervals that never stop.
    assert!(calls.len() > 12 && calls.len() < 35, "{calls:?}");
    assert!(calls.windows(2).all(|w| w[1] - w[0] <= 1620), "{calls:?}");
    assert!(breaker.is_open());
    let now = 30_000;
    assert!(breaker.allows_call(now) && !breaker.allows_call(now), "one trial call at a time");
    breaker.record_result(now, true, &mut rng);
    assert!(!breaker.is_open() && breaker.allows_call(now) && breaker.allows_call(now));
}
