//! Properties of fault attribution, checked in simulated clusters whose faulty jobs and machines are known.

use cleatfold_fault_attribution::{
    job_health, retry_backoff_ms, Evidence, Failure, JobHealth, MachineFailures,
};
use cleatfold_wire::{Attempt, JobId, MachineId, TaskIx};
use proptest::prelude::*;

fn failure(machine: u32, task: u32, attempt: u64, at_ms: u64) -> Failure {
    let machine = MachineId::new(format!("vm-{machine:06}"));
    Failure { machine, task: TaskIx(task), attempt: Attempt(attempt), at_ms }
}

/// Simulates one hour of a job that fails on every machine.
#[test]
fn always_failing_job_is_started_a_bounded_number_of_times() {
    let (mut failures, mut starts) = (Vec::new(), 0);
    // The first starts fail on twenty machines.
    for task in 0..40 {
        failures.push(failure(task / 2, task, 1, 1000 + u64::from(task) * 50));
    }
    let mut attempt = 1;
    for now_ms in (4000..3_600_000).step_by(250) {
        if job_health(&failures, 0, |_| false, now_ms).startable_tasks(40, 0, now_ms) > 0 {
            starts += 1;
            attempt += 1;
            failures.push(failure(100 + starts, 0, attempt, now_ms));
        }
    }
    assert!((15..=20).contains(&starts), "{starts}");
}

#[test]
fn failing_task_delays_only_itself() {
    let failures = [failure(1, 7, 3, 10_000), failure(2, 7, 2, 5_000)];
    let health = job_health(&failures, 5, |_| false, 10_000);
    assert_eq!(health.startable_tasks(30, 4, 10_000), 29);
    assert_eq!(health, JobHealth::Healthy { backing_off: [TaskIx(7)].into() });
}

#[test]
fn failures_on_faulty_machines_do_not_delay_the_job() {
    let failures: Vec<Failure> = (0..6).map(|i| failure(i, i, 1, 10_000)).collect();
    assert_eq!(job_health(&failures, 0, |_| false, 10_001).startable_tasks(6, 0, 10_001), 0);
    assert_eq!(job_health(&failures, 0, |_| true, 10_001).startable_tasks(6, 0, 10_001), 6);
}

proptest! {
    /// Whatever the order of its failures, a job is eventually retried, with no more tasks than are unclaimed.
    #[test]
    fn every_job_is_eventually_retried(
        failed in prop::collection::vec((0u32..6, 0u32..8, 1u64..40, 0u64..100_000), 0..60),
        done in 0u32..3,
        unclaimed in 1u32..50,
    ) {
        let failures: Vec<Failure> =
            failed.iter().map(|&(m, t, a, at)| failure(m, t, a, at)).collect();
        let now = 100_000 + retry_backoff_ms(Attempt(u64::MAX)) + 1;
        let startable = job_health(&failures, done, |_| false, now).startable_tasks(unclaimed, 0, now);
        prop_assert!(startable >= 1 && startable <= unclaimed);
        // The rule restated: no task done, and failures on two machines.
        let machines: std::collections::BTreeSet<u32> = failed.iter().map(|f| f.0).collect();
        prop_assert_eq!(startable == 1 && unclaimed > 1, done == 0 && machines.len() >= 2 && unclaimed > 1);
    }

    /// With broken jobs and working machines no machine is found faulty; with working jobs a faulty machine is
    /// found after failures of two jobs that work elsewhere.
    #[test]
    fn only_faulty_machines_are_found_faulty(
        events in prop::collection::vec((0u32..5, 0u32..12, any::<bool>()), 1..80),
    ) {
        // In the first case jobs 0 to 5 fail on every machine; in the second case machine 4 is faulty.
        for faulty in [None, Some(4)] {
            let mut machines = vec![MachineFailures::default(); 5];
            let mut worked = [false; 12];
            let mut failed_on: Vec<std::collections::BTreeSet<u32>> = vec![Default::default(); 12];
            for &(machine, job, _) in &events {
                let broken = faulty.is_none() && job < 6;
                if broken || Some(machine) == faulty {
                    failed_on[job as usize].insert(machine);
                    machines[machine as usize].record_failure(JobId::new(format!("run-{job:06}")), TaskIx(0));
                } else {
                    worked[job as usize] = true;
                    machines[machine as usize].record_completion();
                }
            }
            let evidence = |job: &JobId, _: TaskIx| {
                let n: usize = job.as_str()[4..].parse().unwrap();
                match (worked[n], failed_on[n].len()) {
                    (true, 1) => Evidence::WorksElsewhere,
                    (false, 1) => Evidence::Undetermined,
                    _ => Evidence::NoEvidence,
                }
            };
            let found: Vec<bool> = machines.iter_mut().map(|m| m.is_faulty(evidence)).collect();
            prop_assert!(!found[..4].iter().any(|f| *f));
            let incriminating = (0..12).filter(|&j| worked[j] && failed_on[j].contains(&4)).count();
            prop_assert_eq!(found[4], faulty.is_some() && incriminating >= 2);
        }
    }
}
