//! One-task jobs, four a second for minutes, a quarter of them cancelled.
//!
//! Seen to fail without the job's version in its changes, without the pool's version in ends, and when cancelled jobs are
//! launched (some 40 starts a day after their users had been told).

mod scenario;

use cleatfold_testbed::world::{Size, World};
use cleatfold_wire::job::JobState;
use cleatfold_wire::*;
use scenario::*;

/// A start that was on its way when the user was told: the network takes less.
const ON_ITS_WAY_MS: u64 = 20;
const CHANGES_PER_S: f64 = Size::SMALL.changes_per_s;
const MINUTES: Ms = Ms(185_000);

/// The region after three minutes of them and some more until all have ended.
fn day(seed: u64, changes_per_s: f64, apply_fault: impl FnOnce(&mut World)) -> World {
    let size = Size { most_jobs: 0, machines: 24, changes_per_s, ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.poll_everything();
    world.run(Ms(5_000));
    world.small_jobs(MINUTES);
    world.run(Ms(30_000));
    apply_fault(&mut world);
    world.run(MINUTES);
    ends_well_asked(&mut world, 200_000, &format!("seed {seed}"));
    world
}

/// Each user was told how it ended, and rightly: done what was done, aborted what was cancelled before that.
fn all_got_answers(world: &World) {
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
            told => panic!("{:?} was told {told:?}", job.spec.as_ref().map(|s| &s.id)),
        }
    }
    println!("{} submitted, {done} done, {aborted} aborted", world.small.submitted);
    assert!(done + aborted >= 700, "{done} done, {aborted} aborted");
    assert!(aborted * 6 > done + aborted, "{aborted} aborted of {}", done + aborted);
    assert!(world.polls.forgotten.is_empty() && world.polls.longest_ms < 75_000);
    // Nothing is ordered once it is known that a job is cancelled.
    let late = &world.cancel_watch.starts_after;
    assert!(late.iter().all(|(_, after_ms)| *after_ms <= ON_ITS_WAY_MS), "{late:?}");
    assert!(late.len() * 50 < aborted, "{late:?} of {aborted}");
}

#[test]
fn small_jobs_get_correct_answers() {
    for seed in 1..3 {
        let world = day(seed, CHANGES_PER_S, |_| {});
        all_got_answers(&world);
    }
}

#[test]
fn small_jobs_get_correct_answers_while_leaders_end() {
    for seed in 11..13 {
        let world = day(seed, CHANGES_PER_S, |world| world.ten_leaders(Ms(150_000)));
        assert_eq!(world.leaders.ended.len(), 10);
        all_got_answers(&world);
    }
}

/// Fewer changes a second are allowed than these jobs need: they wait, and their users still hear of each.
#[test]
fn small_jobs_get_correct_answers_with_a_low_change_rate() {
    let world = day(22, 15.0, |world| world.ten_leaders(Ms(150_000)));
    all_got_answers(&world);
}
