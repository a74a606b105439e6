//! Polls under pressure, and the queue of requests to the rate-limited state service.

use cleatfold_ingress::{Level, OutgoingQueue, PollSchedule, SLOTS_PER_ROUND, SLOT_MS};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Three controllers that do not communicate, all at `Drowning` and with different clocks; clients
/// that poll every 4.2 to 5.8 s at any of them and ignore the retry time. With random rejection
/// (nine of ten polls), a fifth of the jobs got no answer for 75 s.
#[test]
fn every_job_is_answered_each_round_at_any_controller() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut answered = 0;
    let mut asked = 0;
    for job in 0..400 {
        let id = format!("run-{job:06}");
        let (mut at, mut last) = (rng.random_range(0..5000u64), 0);
        while at < 300_000 {
            asked += 1;
            let wall_ms = at + rng.random_range(0..50);
            if PollSchedule::ms_until_slot(&id, Level::Drowning, wall_ms).is_none() {
                answered += 1;
                assert!(
                    at - last <= SLOTS_PER_ROUND * SLOT_MS + SLOT_MS,
                    "{id}: no answer from {last} to {at}"
                );
                last = at;
            }
            at += rng.random_range(4200..5800);
        }
        assert!(300_000 - last <= SLOTS_PER_ROUND * SLOT_MS + SLOT_MS);
    }
    // Most polls are still rejected.
    assert!(answered * 4 < asked, "{answered} of {asked}");
}

proptest! {
    /// A client that polls again after the advised time is answered.
    #[test]
    fn poll_after_advised_wait_is_answered(job in 0u64..1_000_000, at in 0u64..10_000_000, drowning: bool) {
        let level = if drowning { Level::Drowning } else { Level::Strained };
        let id = format!("run-{job}");
        if let Some(ms) = PollSchedule::ms_until_slot(&id, level, at) {
            prop_assert!(ms <= SLOTS_PER_ROUND * SLOT_MS);
            prop_assert!(PollSchedule::ms_until_slot(&id, level, at + ms).is_none());
        }
        prop_assert!(PollSchedule::ms_until_slot(&id, Level::Busy, at).is_none());
    }

    /// Model: the first allowed request of the first priority, but one in four from the last
    /// priority once that one has waited long.
    #[test]
    fn outgoing_queue_matches_model(steps in prop::collection::vec((0usize..4, 0u32..3, 0u64..200, any::<bool>(), any::<bool>()), 1..200)) {
        let mut outgoing_queue = OutgoingQueue::new(4);
        let mut model: Vec<(usize, u64, f64, usize)> = Vec::new();
        let (mut now, mut pop_count) = (0, 0);
        for (number, (priority, changes, pause_ms, push, writes_allowed)) in steps.into_iter().enumerate() {
            now += pause_ms;
            if push {
                outgoing_queue.push(priority, now, f64::from(changes), number);
                model.push((priority, now, f64::from(changes), number));
                continue;
            }
            let allowed: Vec<_> = model.iter().filter(|w| writes_allowed || w.2 == 0.0).collect();
            let starved = allowed.iter().find(|w| w.0 == 3).filter(|w| pop_count % 4 == 3 && now >= w.1 + 300);
            let expected = starved.or_else(|| allowed.iter().min_by_key(|w| (w.0, w.3))).map(|w| w.3);
            let popped = outgoing_queue.pop(now, writes_allowed).map(|w| w.1);
            prop_assert_eq!(popped, expected);
            pop_count += usize::from(popped.is_some());
            model.retain(|w| Some(w.3) != popped);
            prop_assert_eq!(outgoing_queue.is_empty(), model.is_empty());
        }
    }
}

/// A job polled twenty times in a slot gets one answer; a slot whose answer failed is available
/// again.
#[test]
fn repeated_polls_of_one_job_get_one_answer_per_slot() {
    let mut poll_schedule = PollSchedule::default();
    let (slot_start, next_slot) = (10 * SLOT_MS, 11 * SLOT_MS);
    let answered = (0..20)
        .filter(|i| poll_schedule.take_slot("run-1", Level::Drowning, slot_start + i * 100))
        .count();
    assert_eq!(answered, 1);
    poll_schedule.release_slot("run-1");
    assert!(poll_schedule.take_slot("run-1", Level::Drowning, slot_start + 3_000));
    assert!(poll_schedule.take_slot("run-1", Level::Drowning, next_slot), "the next slot");
    assert!((0..20).all(|_| poll_schedule.take_slot("run-1", Level::Busy, next_slot)));
}
