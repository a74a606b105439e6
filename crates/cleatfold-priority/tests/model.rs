//! Places, moments, whom to count on, what may start: against plain models and by cases.

use cleatfold_priority::*;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{Ms, Version};
use proptest::prelude::*;

const URGENCIES: [Urgency; 4] =
    [Urgency::Critical, Urgency::High, Urgency::Normal, Urgency::BestEffort];

/// The fit by its formula: the highest, over beginnings, of the lowest, over ends, mean.
fn plain(at: &[u64], i: usize) -> f64 {
    let mean =
        |j: usize, k: usize| at[j..=k].iter().map(|a| *a as f64).sum::<f64>() / (k - j + 1) as f64;
    let lowest = |j| (i..at.len()).map(|k| mean(j, k)).fold(f64::INFINITY, f64::min);
    (0..=i).map(lowest).fold(0.0, f64::max)
}

proptest! {
    #[test]
    fn acceptance_times_never_decrease_and_err_no_more_than_the_worst_clock(
        pauses in prop::collection::vec(0..500u64, 1..40),
        off in prop::collection::vec(0..20_000u64, 40),
    ) {
        let mut right = 50_000;
        let (mut rights, mut told) = (vec![], vec![]);
        for (pause, off) in pauses.iter().zip(&off) {
            right += pause;
            rights.push(right);
            told.push(right + off - 10_000);
        }
        let known = acceptance_times(told.iter().copied());
        prop_assert!(known.is_sorted());
        prop_assert_eq!(acceptance_times(rights.iter().copied()), rights.clone());
        for (i, m) in known.iter().enumerate() {
            prop_assert!(m.abs_diff(rights[i]) <= 10_001, "{} for {}", m, rights[i]);
            prop_assert!((*m as f64 - plain(&told, i)).abs() <= 1.0);
        }
    }
}

/// One clock is an hour ahead, once: what comes later keeps its age against what comes after.
#[test]
fn a_clock_that_is_ahead_does_not_stop_time() {
    let told = (0..400u64).map(|s| 1_000_000 + s * 1000 + if s == 5 { 3_600_000 } else { 0 });
    let known = acceptance_times(told);
    assert!(known[399] < 1_000_000 + 400_000);
    let same = known.windows(2).filter(|w| w[0] == w[1]).count();
    assert!(same < 100, "{same} share a moment");
}

#[test]
fn the_place_is_the_accepting_revision_whatever_is_written_later() {
    assert_eq!(place_of(None, Version(7)), 7);
    assert_eq!(place_of(Some(7), Version(900)), 7);
}

#[test]
fn an_owner_counts_as_gone_for_what_it_shows_not_for_our_own_deafness() {
    let listener_health =
        ListenerHealth { listening_ms: 60_000, receives_from_any_peer: true, backpressure: 1 };
    let well =
        Owner { stands: true, silence_ms: Some(900), read_ms: Some(400), lost_workers: false };
    assert!(lives(well, listener_health));
    assert!(!lives(Owner { stands: false, ..well }, listener_health), "its lease is over");
    assert!(
        !lives(Owner { silence_ms: Some(1600), ..well }, listener_health),
        "frozen, dead or cut off"
    );
    assert!(!lives(Owner { silence_ms: None, ..well }, listener_health));
    assert!(!lives(Owner { read_ms: Some(3500), ..well }, listener_health), "can't claim");
    assert!(!lives(Owner { lost_workers: true, ..well }, listener_health));
    // Who hears nobody (the mesh is refused), or has only begun to listen, goes by the leases.
    let silent = Owner { silence_ms: None, read_ms: None, ..well };
    assert!(lives(silent, ListenerHealth { receives_from_any_peer: false, ..listener_health }));
    assert!(lives(silent, ListenerHealth { listening_ms: 700, ..listener_health }));
    assert!(!lives(
        Owner { stands: false, ..silent },
        ListenerHealth { receives_from_any_peer: false, ..listener_health }
    ));
    // Under pressure things are said less often.
    assert!(lives(
        Owner { silence_ms: Some(4000), ..well },
        ListenerHealth { backpressure: 3, ..listener_health }
    ));
}

/// A dead owner's promise holds nothing urgent back, and background believes it for as long as ever.
#[test]
fn promises_are_believed_by_urgency() {
    for urgency in URGENCIES {
        assert!(believed(urgency, 2900, true));
        assert!(!believed(urgency, 3000, true));
        assert_eq!(believed(urgency, 1000, false), urgency == Urgency::BestEffort);
    }
}

#[test]
fn urgent_work_that_was_sent_to_a_fallen_pool_is_planned_by_all_that_live() {
    let sent =
        Sent { anywhere: true, here: false, all_live: false, late: false, preempted_here: false };
    for urgency in URGENCIES {
        assert_eq!(considers(urgency, sent), urgency != Urgency::BestEffort);
        assert!(!considers(urgency, Sent { all_live: true, ..sent }));
        assert!(considers(urgency, Sent { here: true, ..sent }));
        let late = Sent { late: true, all_live: true, ..sent };
        assert_eq!(considers(urgency, late), urgency != Urgency::BestEffort);
        assert!(considers(urgency, Sent { preempted_here: true, all_live: true, ..sent }));
        assert!(considers(urgency, Sent { anywhere: false, ..sent }));
    }
}

#[test]
fn a_pool_that_has_just_come_starts_nothing_that_something_unread_could_go_before() {
    let start_barrier =
        StartBarrier { taken: Ms(5000), read: Some(Ms(4990)), assigned: Some(Ms(4000)) };
    assert_eq!(start_barrier.lowest(), Urgency::Critical);
    assert_eq!(
        StartBarrier { read: Some(Ms(5000)), ..start_barrier }.lowest(),
        Urgency::BestEffort
    );
    assert_eq!(StartBarrier { read: None, ..start_barrier }.lowest(), Urgency::Critical);
    // And plans for all that is urgent until the leader has spoken, or a while has passed.
    assert!(start_barrier.wide(Ms(5100)));
    assert!(!StartBarrier { assigned: Some(Ms(5050)), ..start_barrier }.wide(Ms(5100)));
    assert!(!start_barrier.wide(Ms(8000)));
}
