//! Tables of claims and lists of losses, as records hold them.

use cleatfold_control::records::{LossList, TaskTable};
use cleatfold_control::Config;
use cleatfold_wire::losses::{Loss, LossCause};
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, PoolId, TaskIx};

#[test]
fn done_ranges_stay_merged() {
    let mut t = TaskTable::default();
    let machine = MachineId::new("vm-1");
    let pool = PoolId::parse("a/b").unwrap();
    for ix in [5, 3, 4, 0, 9, 1, 2, 8, 7, 6] {
        assert!(!t.is_done(TaskIx(ix)));
        // Twice: a claim that somebody makes of a task that is done already ends without an effect.
        for _ in 0..2 {
            let attempt = t.claim(&machine, FencingToken(1), &pool, TaskIx(ix));
            assert!(t.end_claim(&machine, TaskIx(ix), attempt, true));
        }
        assert!(t.is_done(TaskIx(ix)));
    }
    assert_eq!(t.done, vec![(0, 10)]);
}

#[test]
fn attempts_only_grow_and_only_an_exact_claim_ends() {
    let (m, n) = (MachineId::new("vm-1"), MachineId::new("vm-2"));
    let pool = PoolId::parse("a/b").unwrap();
    let mut t = TaskTable::default();
    assert_eq!(t.claim(&m, FencingToken(1), &pool, TaskIx(0)), Attempt(1));
    assert!(t.claimable_tasks(0, 1).is_empty());
    assert!(!t.end_claim(&n, TaskIx(0), Attempt(1), true));
    assert!(!t.end_claim(&m, TaskIx(0), Attempt(2), true));
    assert!(t.end_claim(&m, TaskIx(0), Attempt(1), false));
    assert_eq!(t.claim(&n, FencingToken(2), &pool, TaskIx(0)), Attempt(2));
    assert!(t.end_claim(&n, TaskIx(0), Attempt(2), true));
    assert!(t.claimable_tasks(0, 1).is_empty() && t.claims.is_empty());
}

#[test]
fn all_losses_are_counted_and_the_latest_kept() {
    let mut list = LossList::default();
    let job = JobId::new("run-000001");
    for i in 0..300u32 {
        let machine = MachineId::new(format!("vm-{:06}", i / 10));
        list.record(
            &machine,
            LossCause::Machine,
            1000 + u64::from(i / 10),
            (TaskIx(i), Attempt(1)),
        );
    }
    assert_eq!(list.total, 300);
    let entries: Vec<Loss> = list.entries(&job).collect();
    assert_eq!(entries.len(), LossList::MAX_KEPT);
    assert_eq!(entries.last().unwrap().task.ix, TaskIx(299));
    assert_eq!(entries.last().unwrap().machine, MachineId::new("vm-000029"));
    // Grouped by machine they are small: a record of 16 KiB holds them beside its claims.
    assert!(serde_json::to_string(&list).unwrap().len() < 2048);
    let mut other = LossList::default();
    other.record(&MachineId::new("vm-1"), LossCause::Lease, 5, (TaskIx(7), Attempt(3)));
    list.merge(other);
    assert_eq!(list.total, 301);
    assert_eq!(list.to_job_losses(&job, true).unwrap().recent.len(), Config::MAX_REPORTED_LOSSES);
    assert!(LossList::default().to_job_losses(&job, true).is_none());
}
