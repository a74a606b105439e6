//! One-way partitions of machines, and worker release by a controller that reaches only its
//! workers.

use cleatfold_reachability::{OneWayPartitionDetector, ReleaseDecision, WorkerRelease};
use cleatfold_wire::worker::{Command, TaskReport, TaskState};
use cleatfold_wire::*;
use proptest::prelude::*;

fn task(n: u32) -> TaskId {
    TaskId { job: JobId::new("run-1"), ix: TaskIx(n) }
}

fn running_task(n: u32) -> TaskReport {
    let state = TaskState::Running;
    TaskReport { task: task(n), attempt: Attempt(1), state, why: None, saved: None }
}

fn start_command(n: u32) -> Command {
    Command::Start { task: task(n), attempt: Attempt(1), sources: vec![] }
}

/// Heartbeats keep arriving, each some seconds after an answer: the worker waits for the answer in
/// vain and tries the other controllers first.
#[test]
fn two_heartbeats_without_effect_detect_partition_and_one_effect_ends_it() {
    for (heartbeat_interval_ms, report_gap_ms) in [(1000, 15_000), (8000, 15_000), (3000, 25_000)] {
        let mut partition_detector = OneWayPartitionDetector::default();
        let mut now = Ms(1000);
        partition_detector.record_answer(now, true, &[]);
        for expected in [false, true] {
            now = now.plus(report_gap_ms);
            partition_detector.on_heartbeat(now, heartbeat_interval_ms, false, &[]);
            assert_eq!(partition_detector.is_partitioned(), expected);
            partition_detector.record_answer(now, true, &[start_command(0)]);
        }
        now = now.plus(report_gap_ms);
        assert!(
            partition_detector.on_heartbeat(now, heartbeat_interval_ms, true, &[]),
            "the token alone is evidence"
        );
        assert!(!partition_detector.is_partitioned());
        // A relapse within minutes: recovery now takes a longer time of received answers.
        for _ in 0..2 {
            partition_detector.record_answer(now, false, &[start_command(1)]);
            now = now.plus(report_gap_ms);
            partition_detector.on_heartbeat(now, heartbeat_interval_ms, true, &[]);
        }
        assert!(partition_detector.is_partitioned());
        let from = now;
        while partition_detector.is_partitioned() {
            partition_detector.record_answer(now, false, &[]);
            now = now.plus(1000);
            partition_detector.on_heartbeat(now, heartbeat_interval_ms, true, &[]);
            assert!(now.since(from) <= 20_000);
        }
        assert!(now.since(from) >= 15_000);
    }
}

proptest! {
    /// A machine that receives answers is never taken for partitioned: its heartbeats arrive at its
    /// interval or on a change, they show the effects of commands, and a single answer is lost now
    /// and then.
    #[test]
    fn machine_that_receives_answers_is_never_partitioned(
        heartbeat_interval_ms in prop::sample::select(vec![1000u64, 3000, 8000]),
        reports in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>(), 75u64..125, 0u8..8), 1..200),
    ) {
        let (mut partition_detector, mut now, mut lost) = (OneWayPartitionDetector::default(), Ms(1000), false);
        let mut running = Vec::new();
        for (i, (has_commands, new_token, early, interval_percent, loss_roll)) in reports.into_iter().enumerate() {
            let n = i as u32;
            // Never two lost answers in a row.
            lost = loss_roll == 0 && !lost;
            let commands = if has_commands { vec![start_command(n)] } else { vec![] };
            partition_detector.record_answer(now, new_token, &commands);
            now = now.plus(if lost { 6000 } else if early || has_commands { 500 } else { heartbeat_interval_ms * interval_percent / 100 });
            if !lost {
                running.extend(has_commands.then(|| running_task(n)));
            }
            partition_detector.on_heartbeat(now, heartbeat_interval_ms, !lost, &running);
            prop_assert!(!partition_detector.is_partitioned());
        }
    }
}

fn pool() -> PoolId {
    PoolId::parse("small/a").expect("a pool")
}

fn peers() -> Vec<ControllerId> {
    vec![ControllerId::new("n1"), ControllerId::new("n2")]
}

/// Only this controller is cut off and others serve its pools: some seconds later all workers are
/// released.
#[test]
fn all_workers_are_released_when_canary_does_not_return() {
    let mut worker_release = WorkerRelease::default();
    let worker = |i: u64| MachineId::new(format!("vm-{i}"));
    let (mut released, mut canary) = (0, None);
    for ms in (0..8000u64).step_by(100) {
        // Twenty busy workers, each reporting once in 2 s; the released canary does not return.
        let i = ms / 100 % 20;
        if canary == Some(i) {
            continue;
        }
        match worker_release.on_heartbeat(&pool(), &worker(i), false, &peers(), Ms(10_000 + ms)) {
            ReleaseDecision::Release(Some(_)) => {
                assert_eq!(canary.replace(i), None, "only one canary is released");
                assert!(ms >= 1500, "busy workers are released only after a delay");
            }
            ReleaseDecision::Release(None) => released += 1,
            ReleaseDecision::Keep => assert!(released == 0),
        }
    }
    assert!(released > 20 && worker_release.any_pool_served_elsewhere());
}

/// In an outage of the state service for all controllers the canary soon returns unserved, and no
/// other worker is released for some time.
#[test]
fn workers_are_kept_when_canary_returns_unserved() {
    let mut worker_release = WorkerRelease::default();
    let worker = |i: u64| MachineId::new(format!("vm-{i}"));
    let mut canary: Option<(u64, u64)> = None;
    let mut releases = 0;
    for ms in (0..60_000u64).step_by(100) {
        let i = ms / 100 % 20;
        let returned = canary.filter(|c| ms >= c.1 + 1200).map(|c| c.0);
        let i = returned.unwrap_or(i);
        if canary.is_some_and(|c| c.0 == i) && returned.is_none() {
            continue;
        }
        if returned.is_some() {
            canary = None;
        }
        match worker_release.on_heartbeat(
            &pool(),
            &worker(i),
            i.is_multiple_of(2),
            &peers(),
            Ms(10_000 + ms),
        ) {
            ReleaseDecision::Release(to) => {
                assert!(to.is_some(), "all workers were released");
                canary = Some((i, ms));
                releases += 1;
            }
            ReleaseDecision::Keep => {}
        }
    }
    assert!((1..=6).contains(&releases), "{releases}");
    assert!(!worker_release.any_pool_served_elsewhere());
}
