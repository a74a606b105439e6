//! Two troubles at once.

mod scenario;

use cleatfold_wire::*;
use scenario::*;

/// A cancelled job in parts: its claims stand in other records than the cancellation, so machines'
/// claims did not change, their reports repeated the last ones, and nobody told them to stop.
#[test]
fn a_cancelled_job_in_parts_ends_on_machines_whose_reports_repeat() {
    for seed in 1..4 {
        let mut world = region(seed, 24);
        world.run(Ms(4000));
        let mut spec = plain(&mut world, 300, 200.0);
        spec.cpus = 1.0;
        let job = world.submit(0, spec);
        run_for(&mut world, 40_000);
        assert!(world.running.len() > 50, "seed {seed}: {} run", world.running.len());
        cancel(&mut world, 1, &job);
        run_for(&mut world, 60_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        assert!(world.running.is_empty(), "seed {seed}: {} run", world.running.len());
    }
}

/// A transaction's answer that came after a reading that had shown the same key's removal brought the
/// part back: its completed tasks counted twice, and the job was done before it was.
#[test]
fn late_answers_to_commits_bring_no_part_back() {
    for seed in 1..9 {
        let mut world = region(seed, 24);
        world.run(Ms(4000));
        let until = Ms(300_000);
        for i in 0..3 {
            world.fault_schedule.late_commits.insert(i, (1400, until));
        }
        for n in 0..4 {
            let mut spec = plain(&mut world, 270 + 10 * n, 2.0 + f64::from(n) * 2.0);
            spec.cpus = 1.0;
            world.submit(n as usize % 3, spec);
            run_for(&mut world, 500);
        }
        ends_well(&mut world, 400_000, &format!("seed {seed}"));
    }
}

/// A cancellation is built on what its controller has read, and claims in parts do not change the head: one
/// that was made in between was left behind with a part of a job that had ended.
#[test]
fn a_job_in_parts_that_is_cancelled_as_it_begins_leaves_no_claim() {
    for seed in 1..4 {
        for after_ms in (100..2_500).step_by(150) {
            let mut world = region(seed, 24);
            world.run(Ms(4000));
            let mut first = plain(&mut world, 20, 10.0);
            first.cpus = 8.0;
            world.submit(0, first);
            run_for(&mut world, 10_000);
            let mut spec = plain(&mut world, 300, 60.0);
            spec.cpus = 1.0;
            let job = world.submit(0, spec);
            let slow = (seed as usize) % 3;
            world.slow_answers[slow] = 700;
            run_for(&mut world, after_ms);
            cancel(&mut world, slow, &job);
            run_for(&mut world, 4_000);
            world.slow_answers[slow] = 0;
            ends_well(&mut world, 120_000, &format!("seed {seed}, after {after_ms} ms"));
        }
    }
}
