//! One-task jobs, four a second for three minutes, a quarter of them cancelled.
//!
//! These tests fail without the job's version as a guard of its changes, without the pool's version as a guard of ends,
//! and when cancelled jobs are launched (some 40 starts a run after the cancellation was confirmed).

mod scenario;

use cleatfold_testbed::world::{Size, World};
use cleatfold_wire::job::JobState;
use cleatfold_wire::*;
use scenario::*;

/// Upper bound of the network delay: a start may be in transit when the cancellation is confirmed.
const MAX_NETWORK_DELAY_MS: u64 = 20;
const CHANGES_PER_S: f64 = Size::SMALL.changes_per_s;
const SUBMISSIONS_END: Ms = Ms(185_000);

/// Runs small jobs for three minutes and then until all have ended.
fn run_small_jobs(seed: u64, changes_per_s: f64, apply_fault: impl FnOnce(&mut World)) -> World {
    let size = Size { most_jobs: 0, machines: 24, changes_per_s, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.poll_everything();
    world.run(Ms(5_000));
    world.small_jobs(SUBMISSIONS_END);
    world.run(Ms(30_000));
    apply_fault(&mut world);
    world.run(SUBMISSIONS_END);
    assert_all_jobs_end_and_are_reported(&mut world, 200_000, &format!("seed {seed}"));
    world
}

/// Checks that each user got the correct final state: done for completed jobs, aborted for those cancelled before.
fn assert_correct_answers(world: &World) {
    let accepted = world.jobs.values().filter(|j| j.accepted);
    let (mut done, mut aborted) = (0, 0);
    for job in accepted {
        match job.answered_state {
            Some(JobState::Done) => {
                assert_eq!(job.done.len(), 1);
                done += 1;
            }
            Some(JobState::Aborted) => {
                assert!(job.cancel_asked && job.cancel_confirmed.is_some());
                aborted += 1;
            }
            answer => panic!("{:?} was answered {answer:?}", job.spec.as_ref().map(|s| &s.id)),
        }
    }
    println!("{} submitted, {done} done, {aborted} aborted", world.small.submitted);
    assert!(done + aborted >= 700, "{done} done, {aborted} aborted");
    assert!(aborted * 6 > done + aborted, "{aborted} aborted of {}", done + aborted);
    assert!(world.polls.forgotten.is_empty() && world.polls.longest_ms < 75_000);
    // No task is started once the cancellation of its job is known.
    let late_starts = &world.cancel_watch.starts_after;
    assert!(
        late_starts.iter().all(|(_, after_ms)| *after_ms <= MAX_NETWORK_DELAY_MS),
        "{late_starts:?}"
    );
    assert!(late_starts.len() * 50 < aborted, "{late_starts:?} of {aborted}");
}

#[test]
fn small_jobs_get_correct_answers() {
    for seed in 1..3 {
        let world = run_small_jobs(seed, CHANGES_PER_S, |_| {});
        assert_correct_answers(&world);
    }
}

#[test]
fn small_jobs_get_correct_answers_during_failovers() {
    for seed in 11..13 {
        let world = run_small_jobs(seed, CHANGES_PER_S, |world| world.ten_leaders(Ms(150_000)));
        assert_eq!(world.leaders.ended.len(), 10);
        assert_correct_answers(&world);
    }
}

/// The allowed change rate is lower than these jobs need: they wait, and every user still gets an answer.
#[test]
fn small_jobs_get_correct_answers_when_rate_limited() {
    let world = run_small_jobs(22, 15.0, |world| world.ten_leaders(Ms(150_000)));
    assert_correct_answers(&world);
}
