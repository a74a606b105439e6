//! Blame as properties, against worlds in which it is known who is at fault.

use cleatfold_fault_attribution::{pause_ms, verdict, Evidence, Failure, Suspicion, Verdict};
use cleatfold_wire::{Attempt, JobId, MachineId, TaskIx};
use proptest::prelude::*;

fn failure(machine: u32, task: u32, attempt: u64, at_ms: u64) -> Failure {
    let machine = MachineId::new(format!("vm-{machine:06}"));
    Failure { machine, task: TaskIx(task), attempt: Attempt(attempt), at_ms }
}

/// A job that fails everywhere, played for an hour: so many starts and no more.
#[test]
fn a_job_that_always_fails_is_tried_a_bounded_number_of_times() {
    let (mut failures, mut starts) = (Vec::new(), 0);
    // Its first wave fails on twenty machines.
    for task in 0..40 {
        failures.push(failure(task / 2, task, 1, 1000 + u64::from(task) * 50));
    }
    let mut attempt = 1;
    for now_ms in (4000..3_600_000).step_by(250) {
        if verdict(&failures, 0, |_| false, now_ms).may_start(40, 0, now_ms) > 0 {
            starts += 1;
            attempt += 1;
            failures.push(failure(100 + starts, 0, attempt, now_ms));
        }
    }
    assert!((15..=20).contains(&starts), "{starts}");
}

#[test]
fn one_bad_task_is_one_tasks_matter() {
    let failures = [failure(1, 7, 3, 10_000), failure(2, 7, 2, 5_000)];
    let verdict = verdict(&failures, 5, |_| false, 10_000);
    assert_eq!(verdict.may_start(30, 4, 10_000), 29);
    assert_eq!(verdict, Verdict::Sound { pausing: [TaskIx(7)].into() });
}

#[test]
fn what_failed_through_faulty_machines_starts_elsewhere_at_once() {
    let failures: Vec<Failure> = (0..6).map(|i| failure(i, i, 1, 10_000)).collect();
    assert_eq!(verdict(&failures, 0, |_| false, 10_001).may_start(6, 0, 10_001), 0);
    assert_eq!(verdict(&failures, 0, |_| true, 10_001).may_start(6, 0, 10_001), 6);
}

proptest! {
    /// Whatever the order of its failures, a job comes to be tried again, and never more widely
    /// than its tasks.
    #[test]
    fn every_pause_ends(
        failed in prop::collection::vec((0u32..6, 0u32..8, 1u64..40, 0u64..100_000), 0..60),
        done in 0u32..3,
        unclaimed in 1u32..50,
    ) {
        let failures: Vec<Failure> =
            failed.iter().map(|&(m, t, a, at)| failure(m, t, a, at)).collect();
        let now = 100_000 + pause_ms(Attempt(u64::MAX)) + 1;
        let open = verdict(&failures, done, |_| false, now).may_start(unclaimed, 0, now);
        prop_assert!(open >= 1 && open <= unclaimed);
        // A plain reading of the rule: nothing done, and two machines that it failed on.
        let machines: std::collections::BTreeSet<u32> = failed.iter().map(|f| f.0).collect();
        prop_assert_eq!(open == 1 && unclaimed > 1, done == 0 && machines.len() >= 2 && unclaimed > 1);
    }

    /// In a world with broken jobs and sound machines, no machine is ever found faulty; in one with
    /// sound jobs, a faulty machine is found by the second job that worked elsewhere.
    #[test]
    fn nobody_pays_for_another(
        events in prop::collection::vec((0u32..5, 0u32..12, any::<bool>()), 1..80),
    ) {
        // Jobs 0 to 5 are broken and fail everywhere; machine 4 is faulty in the second world.
        for faulty in [None, Some(4)] {
            let mut machines = vec![Suspicion::default(); 5];
            let mut worked = [false; 12];
            let mut failed_on: Vec<std::collections::BTreeSet<u32>> = vec![Default::default(); 12];
            for &(machine, job, _) in &events {
                let broken = faulty.is_none() && job < 6;
                if broken || Some(machine) == faulty {
                    failed_on[job as usize].insert(machine);
                    machines[machine as usize].failed(JobId::new(format!("run-{job:06}")), TaskIx(0));
                } else {
                    worked[job as usize] = true;
                    machines[machine as usize].completed();
                }
            }
            let word = |job: &JobId, _: TaskIx| {
                let n: usize = job.as_str()[4..].parse().unwrap();
                match (worked[n], failed_on[n].len()) {
                    (true, 1) => Evidence::WorksElsewhere,
                    (false, 1) => Evidence::Open,
                    _ => Evidence::NoEvidence,
                }
            };
            let found: Vec<bool> = machines.iter_mut().map(|m| m.is_faulty(word)).collect();
            prop_assert!(!found[..4].iter().any(|f| *f));
            let against = (0..12).filter(|&j| worked[j] && failed_on[j].contains(&4)).count();
            prop_assert_eq!(found[4], faulty.is_some() && against >= 2);
        }
    }
}
