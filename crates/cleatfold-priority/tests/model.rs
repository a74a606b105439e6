//! Acceptance order, owner liveness and start barriers: against reference models and by cases.

use cleatfold_priority::*;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{Ms, Version};
use proptest::prelude::*;

const URGENCIES: [Urgency; 4] =
    [Urgency::Critical, Urgency::High, Urgency::Normal, Urgency::BestEffort];

/// Isotonic regression by its min-max formula: the maximum over starts of the minimum over ends of
/// the mean.
fn reference(at: &[u64], i: usize) -> f64 {
    let mean =
        |j: usize, k: usize| at[j..=k].iter().map(|a| *a as f64).sum::<f64>() / (k - j + 1) as f64;
    let lowest = |j| (i..at.len()).map(|k| mean(j, k)).fold(f64::INFINITY, f64::min);
    (0..=i).map(lowest).fold(0.0, f64::max)
}

proptest! {
    #[test]
    fn acceptance_times_are_sorted_and_within_clock_error(
        pauses in prop::collection::vec(0..500u64, 1..40),
        clock_error in prop::collection::vec(0..20_000u64, 40),
    ) {
        let mut true_time = 50_000;
        let (mut true_times, mut recorded) = (vec![], vec![]);
        for (pause, clock_error) in pauses.iter().zip(&clock_error) {
            true_time += pause;
            true_times.push(true_time);
            recorded.push(true_time + clock_error - 10_000);
        }
        let corrected = acceptance_times(recorded.iter().copied());
        prop_assert!(corrected.is_sorted());
        prop_assert_eq!(acceptance_times(true_times.iter().copied()), true_times.clone());
        for (i, m) in corrected.iter().enumerate() {
            prop_assert!(m.abs_diff(true_times[i]) <= 10_001, "{} for {}", m, true_times[i]);
            prop_assert!((*m as f64 - reference(&recorded, i)).abs() <= 1.0);
        }
    }
}

/// One recorded time is an hour ahead: later jobs must still differ in age.
#[test]
fn clock_ahead_does_not_level_later_times() {
    let recorded = (0..400u64).map(|s| 1_000_000 + s * 1000 + if s == 5 { 3_600_000 } else { 0 });
    let corrected = acceptance_times(recorded);
    assert!(corrected[399] < 1_000_000 + 400_000);
    let equal_pairs = corrected.windows(2).filter(|w| w[0] == w[1]).count();
    assert!(equal_pairs < 100, "{equal_pairs} pairs share a time");
}

#[test]
fn rewrite_keeps_acceptance_revision() {
    assert_eq!(acceptance_revision(None, Version(7)), 7);
    assert_eq!(acceptance_revision(Some(7), Version(900)), 7);
}

#[test]
fn owner_is_lost_only_on_reliable_evidence() {
    let listener_health =
        ListenerHealth { listening_ms: 60_000, receives_from_any_peer: true, backpressure: 1 };
    let healthy = OwnerStatus {
        lease_valid: true,
        last_message_age_ms: Some(900),
        store_read_age_ms: Some(400),
        lost_workers: false,
    };
    assert!(is_owner_live(healthy, listener_health));
    assert!(
        !is_owner_live(OwnerStatus { lease_valid: false, ..healthy }, listener_health),
        "its lease has expired"
    );
    assert!(
        !is_owner_live(OwnerStatus { last_message_age_ms: Some(1600), ..healthy }, listener_health),
        "no message for too long"
    );
    assert!(!is_owner_live(OwnerStatus { last_message_age_ms: None, ..healthy }, listener_health));
    assert!(
        !is_owner_live(OwnerStatus { store_read_age_ms: Some(3500), ..healthy }, listener_health),
        "cannot claim"
    );
    assert!(!is_owner_live(OwnerStatus { lost_workers: true, ..healthy }, listener_health));
    // Without any peer's messages (mesh refused), or soon after the start, only leases count.
    let unheard = OwnerStatus { last_message_age_ms: None, store_read_age_ms: None, ..healthy };
    assert!(is_owner_live(
        unheard,
        ListenerHealth { receives_from_any_peer: false, ..listener_health }
    ));
    assert!(is_owner_live(unheard, ListenerHealth { listening_ms: 700, ..listener_health }));
    assert!(!is_owner_live(
        OwnerStatus { lease_valid: false, ..unheard },
        ListenerHealth { receives_from_any_peer: false, ..listener_health }
    ));
    // Messages are less frequent under backpressure.
    assert!(is_owner_live(
        OwnerStatus { last_message_age_ms: Some(4000), ..healthy },
        ListenerHealth { backpressure: 3, ..listener_health }
    ));
}

/// The promise of an owner that is not live holds back background jobs only.
#[test]
fn promise_of_lost_owner_binds_background_only() {
    for urgency in URGENCIES {
        assert!(is_promise_trusted(urgency, 2900, true));
        assert!(!is_promise_trusted(urgency, 3000, true));
        assert_eq!(is_promise_trusted(urgency, 1000, false), urgency == Urgency::BestEffort);
    }
}

#[test]
fn urgent_job_of_ownerless_pool_is_planned_by_all_pools() {
    let assignment = JobAssignment {
        to_any_pool: true,
        to_this_pool: false,
        all_pools_live: false,
        overdue: false,
        has_preemption: false,
    };
    for urgency in URGENCIES {
        assert_eq!(should_plan(urgency, assignment), urgency != Urgency::BestEffort);
        assert!(!should_plan(urgency, JobAssignment { all_pools_live: true, ..assignment }));
        assert!(should_plan(urgency, JobAssignment { to_this_pool: true, ..assignment }));
        let overdue = JobAssignment { overdue: true, all_pools_live: true, ..assignment };
        assert_eq!(should_plan(urgency, overdue), urgency != Urgency::BestEffort);
        assert!(should_plan(
            urgency,
            JobAssignment { has_preemption: true, all_pools_live: true, ..assignment }
        ));
        assert!(should_plan(urgency, JobAssignment { to_any_pool: false, ..assignment }));
    }
}

#[test]
fn acquired_pool_starts_only_critical_until_read() {
    let start_barrier = StartBarrier {
        acquired_at: Ms(5000),
        last_read_started_at: Some(Ms(4990)),
        last_assignment_at: Some(Ms(4000)),
    };
    assert_eq!(start_barrier.lowest_startable_urgency(), Urgency::Critical);
    assert_eq!(
        StartBarrier { last_read_started_at: Some(Ms(5000)), ..start_barrier }
            .lowest_startable_urgency(),
        Urgency::BestEffort
    );
    assert_eq!(
        StartBarrier { last_read_started_at: None, ..start_barrier }.lowest_startable_urgency(),
        Urgency::Critical
    );
    // All urgent jobs are planned until the leader assigns jobs or the wait is over.
    assert!(start_barrier.plans_all_urgent(Ms(5100)));
    assert!(!StartBarrier { last_assignment_at: Some(Ms(5050)), ..start_barrier }
        .plans_all_urgent(Ms(5100)));
    assert!(!start_barrier.plans_all_urgent(Ms(8000)));
}
