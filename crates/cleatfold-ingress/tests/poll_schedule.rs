//! Polls under pressure, and what goes out to the state service when it takes little.

use cleatfold_ingress::{Level, OutgoingQueue, PollSchedule, ROUND, TURN_MS};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Three controllers that never speak, each drowning all the time, clocks apart; users who ask every 4.2
/// to 5.8 s, whoever answers, and take no notice of when to come back. Drawn anew for each question (nine of ten
/// refused) a fifth of the jobs heard nothing for 75 s.
#[test]
fn each_round_answers_polls_of_every_job_at_any_controller() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut answered = 0;
    let mut asked = 0;
    for job in 0..400 {
        let id = format!("run-{job:06}");
        let (mut at, mut last) = (rng.random_range(0..5000u64), 0);
        while at < 300_000 {
            asked += 1;
            let clock = at + rng.random_range(0..50);
            if PollSchedule::wait_ms(&id, Level::Drowning, clock).is_none() {
                answered += 1;
                assert!(
                    at - last <= ROUND * TURN_MS + TURN_MS,
                    "{id}: nothing from {last} to {at}"
                );
                last = at;
            }
            at += rng.random_range(4200..5800);
        }
        assert!(300_000 - last <= ROUND * TURN_MS + TURN_MS);
    }
    // And most are still turned away.
    assert!(answered * 4 < asked, "{answered} of {asked}");
}

proptest! {
    /// Whoever comes back when he is told to is there in his turn.
    #[test]
    fn who_comes_back_in_time_is_answered(job in 0u64..1_000_000, at in 0u64..10_000_000, drowning: bool) {
        let level = if drowning { Level::Drowning } else { Level::Strained };
        let id = format!("run-{job}");
        if let Some(ms) = PollSchedule::wait_ms(&id, level, at) {
            prop_assert!(ms <= ROUND * TURN_MS);
            prop_assert!(PollSchedule::wait_ms(&id, level, at + ms).is_none());
        }
        prop_assert!(PollSchedule::wait_ms(&id, Level::Busy, at).is_none());
    }

    /// Against a plain reading: the first urgency's first that may go, but one in four from the last urgency once it
    /// has waited long.
    #[test]
    fn the_outgoing_queue_goes_by_its_rule(steps in prop::collection::vec((0usize..4, 0u32..3, 0u64..200, any::<bool>(), any::<bool>()), 1..200)) {
        let mut outgoing_queue = OutgoingQueue::new(4);
        let mut plain: Vec<(usize, u64, f64, usize)> = Vec::new();
        let (mut now, mut sent) = (0, 0);
        for (number, (lane, changes, pause, push, writes)) in steps.into_iter().enumerate() {
            now += pause;
            if push {
                outgoing_queue.push(lane, now, f64::from(changes), number);
                plain.push((lane, now, f64::from(changes), number));
                continue;
            }
            let may: Vec<_> = plain.iter().filter(|w| writes || w.2 == 0.0).collect();
            let kept = may.iter().find(|w| w.0 == 3).filter(|w| sent % 4 == 3 && now >= w.1 + 300);
            let want = kept.or_else(|| may.iter().min_by_key(|w| (w.0, w.3))).map(|w| w.3);
            let got = outgoing_queue.pop(now, writes).map(|w| w.1);
            prop_assert_eq!(got, want);
            sent += usize::from(got.is_some());
            plain.retain(|w| Some(w.3) != got);
            prop_assert_eq!(outgoing_queue.is_empty(), plain.is_empty());
        }
    }
}

/// Asked about twenty times in a turn, a job takes one answer; a turn that came to nothing is had again.
#[test]
fn a_flood_for_one_job_takes_one_turn() {
    let mut poll_schedule = PollSchedule::default();
    let (begins, next) = (10 * TURN_MS, 11 * TURN_MS);
    let told =
        (0..20).filter(|i| poll_schedule.take("run-1", Level::Drowning, begins + i * 100)).count();
    assert_eq!(told, 1);
    poll_schedule.give_back("run-1");
    assert!(poll_schedule.take("run-1", Level::Drowning, begins + 3_000));
    assert!(poll_schedule.take("run-1", Level::Drowning, next), "the next turn");
    assert!((0..20).all(|_| poll_schedule.take("run-1", Level::Busy, next)));
}
