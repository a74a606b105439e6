//! Task tables and loss lists of the stored records.

use cleatfold_control::records::{LossList, TaskTable};
use cleatfold_control::Config;
use cleatfold_wire::losses::{Loss, LossCause};
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, PoolId, TaskIx};

#[test]
fn done_ranges_stay_merged() {
    let mut table = TaskTable::default();
    let machine = MachineId::new("vm-1");
    let pool = PoolId::parse("a/b").unwrap();
    for ix in [5, 3, 4, 0, 9, 1, 2, 8, 7, 6] {
        assert!(!table.is_done(TaskIx(ix)));
        // Twice: ending the claim of a task that is already done has no effect on the ranges.
        for _ in 0..2 {
            let attempt = table.claim(&machine, FencingToken(1), &pool, TaskIx(ix));
            assert!(table.end_claim(&machine, TaskIx(ix), attempt, true));
        }
        assert!(table.is_done(TaskIx(ix)));
    }
    assert_eq!(table.done, vec![(0, 10)]);
}

#[test]
fn attempts_increase_and_only_exact_claim_ends() {
    let (machine, other_machine) = (MachineId::new("vm-1"), MachineId::new("vm-2"));
    let pool = PoolId::parse("a/b").unwrap();
    let mut table = TaskTable::default();
    assert_eq!(table.claim(&machine, FencingToken(1), &pool, TaskIx(0)), Attempt(1));
    assert!(table.claimable_tasks(0, 1).is_empty());
    assert!(!table.end_claim(&other_machine, TaskIx(0), Attempt(1), true));
    assert!(!table.end_claim(&machine, TaskIx(0), Attempt(2), true));
    assert!(table.end_claim(&machine, TaskIx(0), Attempt(1), false));
    assert_eq!(table.claim(&other_machine, FencingToken(2), &pool, TaskIx(0)), Attempt(2));
    assert!(table.end_claim(&other_machine, TaskIx(0), Attempt(2), true));
    assert!(table.claimable_tasks(0, 1).is_empty() && table.claims.is_empty());
}

#[test]
fn all_losses_are_counted_and_latest_kept() {
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
    // The list is grouped by machine, and therefore small enough for a record of 16 KiB beside the claims.
    assert!(serde_json::to_string(&list).unwrap().len() < 2048);
    let mut other = LossList::default();
    other.record(&MachineId::new("vm-1"), LossCause::Lease, 5, (TaskIx(7), Attempt(3)));
    list.merge(other);
    assert_eq!(list.total, 301);
    assert_eq!(list.to_job_losses(&job, true).unwrap().recent.len(), Config::MAX_REPORTED_LOSSES);
    assert!(LossList::default().to_job_losses(&job, true).is_none());
}
