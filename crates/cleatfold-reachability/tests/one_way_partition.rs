//! Machines that hear nothing, and a controller that hears nobody but its workers.

use cleatfold_reachability::{Answer, OneWayPartitionDetector, WorkerRelease};
use cleatfold_wire::worker::{Command, TaskReport, TaskState};
use cleatfold_wire::*;
use proptest::prelude::*;

fn task(n: u32) -> TaskId {
    TaskId { job: JobId::new("run-1"), ix: TaskIx(n) }
}

fn listed(n: u32) -> TaskReport {
    let state = TaskState::Running;
    TaskReport { task: task(n), attempt: Attempt(1), state, why: None, saved: None }
}

fn start(n: u32) -> Command {
    Command::Start { task: task(n), attempt: Attempt(1), sources: vec![] }
}

/// Its reports come all along, each some seconds after our answer, for it waits for that in vain and asks the others.
#[test]
fn two_reports_without_effect_are_enough_and_one_effect_brings_it_back() {
    for (heartbeat_interval_ms, round_ms) in [(1000, 15_000), (8000, 15_000), (3000, 25_000)] {
        let mut partition_detector = OneWayPartitionDetector::default();
        let mut now = Ms(1000);
        partition_detector.answered(now, true, &[]);
        for expected in [false, true] {
            now = now.plus(round_ms);
            partition_detector.next_heartbeat(now, heartbeat_interval_ms, false, &[]);
            assert_eq!(partition_detector.is_partitioned(), expected);
            partition_detector.answered(now, true, &[start(0)]);
        }
        now = now.plus(round_ms);
        assert!(
            partition_detector.next_heartbeat(now, heartbeat_interval_ms, true, &[]),
            "the token alone shows it"
        );
        assert!(!partition_detector.is_partitioned());
        // And again within minutes: it has to hear for a while before it is believed.
        for _ in 0..2 {
            partition_detector.answered(now, false, &[start(1)]);
            now = now.plus(round_ms);
            partition_detector.next_heartbeat(now, heartbeat_interval_ms, true, &[]);
        }
        assert!(partition_detector.is_partitioned());
        let from = now;
        while partition_detector.is_partitioned() {
            partition_detector.answered(now, false, &[]);
            now = now.plus(1000);
            partition_detector.next_heartbeat(now, heartbeat_interval_ms, true, &[]);
            assert!(now.since(from) <= 20_000);
        }
        assert!(now.since(from) >= 15_000);
    }
}

proptest! {
    /// A machine that hears is never taken for partitioned: its reports come at its interval, or as soon as something
    /// changes, what it was ordered shows, and now and then one answer is lost on the way.
    #[test]
    fn a_machine_that_receives_answers_is_believed(
        heartbeat_interval_ms in prop::sample::select(vec![1000u64, 3000, 8000]),
        reports in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>(), 75u64..125, 0u8..8), 1..200),
    ) {
        let (mut partition_detector, mut now, mut lost) = (OneWayPartitionDetector::default(), Ms(1000), false);
        let mut running = Vec::new();
        for (i, (orders, token, soon, part, dice)) in reports.into_iter().enumerate() {
            let n = i as u32;
            // Never two answers in a row.
            lost = dice == 0 && !lost;
            let commands = if orders { vec![start(n)] } else { vec![] };
            partition_detector.answered(now, token, &commands);
            now = now.plus(if lost { 6000 } else if soon || orders { 500 } else { heartbeat_interval_ms * part / 100 });
            if !lost {
                running.extend(orders.then(|| listed(n)));
            }
            partition_detector.next_heartbeat(now, heartbeat_interval_ms, !lost, &running);
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

/// Alone cut off, others serve its pools: all workers are let go some seconds later.
#[test]
fn workers_are_let_go_when_the_one_that_went_is_served() {
    let mut worker_release = WorkerRelease::default();
    let worker = |i: u64| MachineId::new(format!("vm-{i}"));
    let (mut release_worker, mut scout) = (0, None);
    for ms in (0..8000u64).step_by(100) {
        // Twenty busy workers, each once in 2 s; the scout has gone and does not come again.
        let i = ms / 100 % 20;
        if scout == Some(i) {
            continue;
        }
        match worker_release.reports(&pool(), &worker(i), false, &peers(), Ms(10_000 + ms)) {
            Answer::Release(Some(_)) => {
                assert_eq!(scout.replace(i), None, "one is enough");
                assert!(ms >= 1500, "an idle one would have been better");
            }
            Answer::Release(None) => release_worker += 1,
            Answer::Keep => assert!(release_worker == 0),
        }
    }
    assert!(release_worker > 20 && worker_release.others_serve());
}

/// In an outage for all whoever went is back in a moment, unserved: nobody else goes for a while.
#[test]
fn workers_stay_when_the_one_that_went_is_back_unserved() {
    let mut worker_release = WorkerRelease::default();
    let worker = |i: u64| MachineId::new(format!("vm-{i}"));
    let mut away: Option<(u64, u64)> = None;
    let mut went = 0;
    for ms in (0..60_000u64).step_by(100) {
        let i = ms / 100 % 20;
        let back = away.filter(|a| ms >= a.1 + 1200).map(|a| a.0);
        let i = back.unwrap_or(i);
        if away.is_some_and(|a| a.0 == i) && back.is_none() {
            continue;
        }
        if back.is_some() {
            away = None;
        }
        match worker_release.reports(
            &pool(),
            &worker(i),
            i.is_multiple_of(2),
            &peers(),
            Ms(10_000 + ms),
        ) {
            Answer::Release(to) => {
                assert!(to.is_some(), "never all");
                away = Some((i, ms));
                went += 1;
            }
            Answer::Keep => {}
        }
    }
    assert!((1..=6).contains(&went), "{went}");
    assert!(!worker_release.others_serve());
}
