//! Combinations of two simultaneous faults.

mod scenario;

use cleatfold_wire::*;
use scenario::*;

/// The claims of a job in parts are in other records than its cancellation, so the machines' claims did not
/// change, their reports repeated the last ones, and no stop command was sent.
#[test]
fn cancelled_job_in_parts_stops_despite_repeated_reports() {
    for seed in 1..4 {
        let mut world = region(seed, 24);
        world.run(Ms(4000));
        let mut spec = plain_job(&mut world, 300, 200.0);
        spec.cpus = 1.0;
        let job = world.submit(0, spec);
        run_for(&mut world, 40_000);
        assert!(world.running.len() > 50, "seed {seed}: {} tasks run", world.running.len());
        cancel(&mut world, 1, &job);
        run_for(&mut world, 60_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        assert!(world.running.is_empty(), "seed {seed}: {} tasks run", world.running.len());
    }
}

/// A transaction's answer that arrived after a read without its key restored the deleted part in the cache: its
/// completed tasks counted twice, and the job was recorded as done too early.
#[test]
fn late_commit_answers_restore_no_deleted_part() {
    for seed in 1..9 {
        let mut world = region(seed, 24);
        world.run(Ms(4000));
        let until = Ms(300_000);
        for i in 0..3 {
            world.fault_schedule.late_commits.insert(i, (1400, until));
        }
        for n in 0..4 {
            let mut spec = plain_job(&mut world, 270 + 10 * n, 2.0 + f64::from(n) * 2.0);
            spec.cpus = 1.0;
            world.submit(n as usize % 3, spec);
            run_for(&mut world, 500);
        }
        assert_all_jobs_end(&mut world, 400_000, &format!("seed {seed}"));
    }
}

/// A cancellation is computed from its controller's cache, and claims in parts do not change the head: a claim
/// made in between remained in a part of a job that had already ended.
#[test]
fn early_cancelled_job_in_parts_leaves_no_claim() {
    for seed in 1..4 {
        for after_ms in (100..2_500).step_by(150) {
            let mut world = region(seed, 24);
            world.run(Ms(4000));
            let mut first = plain_job(&mut world, 20, 10.0);
            first.cpus = 8.0;
            world.submit(0, first);
            run_for(&mut world, 10_000);
            let mut spec = plain_job(&mut world, 300, 60.0);
            spec.cpus = 1.0;
            let job = world.submit(0, spec);
            let slow_controller = (seed as usize) % 3;
            world.slow_answers[slow_controller] = 700;
            run_for(&mut world, after_ms);
            cancel(&mut world, slow_controller, &job);
            run_for(&mut world, 4_000);
            world.slow_answers[slow_controller] = 0;
            assert_all_jobs_end(&mut world, 120_000, &format!("seed {seed}, after {after_ms} ms"));
        }
    }
}
