//! What changes are spent on, as the scale run counts them.

use cleatfold_testbed::scale::{play, Plan};
use cleatfold_testbed::world::{ChangeKind, World};

const MACHINES: usize = 40;

fn one_task_jobs(per_s: f64, seconds: u64) -> World {
    let plan = Plan {
        machines: vec![MACHINES],
        seed: 1,
        seconds,
        one_task_jobs: Some(per_s),
        changes_per_s: 100.0,
    };
    let world = play(&plan, MACHINES).world;
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    world
}

/// Every change that reached the state service is of one kind, whether it was carried out or not.
#[test]
fn every_change_is_counted_once() {
    let world = one_task_jobs(2.0, 60);
    let sent: usize = world.changes.iter().map(|c| c.1).sum();
    let by_kind: u64 = ChangeKind::ALL.iter().map(|kind| world.written.of(*kind)).sum();
    assert_eq!(world.written.total(), sent as u64);
    assert_eq!(by_kind, sent as u64);
}

/// A job of one task costs its acceptance, its claim, and at its end the archive's record and the removal of its own:
/// the end of its claim is part of that.
#[test]
fn a_job_of_one_task_takes_four_changes() {
    let world = one_task_jobs(2.0, 60);
    let of = |kind| world.written.of(kind);
    let accepted = world.jobs.values().filter(|j| j.accepted).count() as u64;
    assert!(accepted > 80, "only {accepted} jobs");
    assert_eq!(of(ChangeKind::Acceptance), accepted);
    assert!(of(ChangeKind::Archive) > 60, "{:?}", world.written);
    assert_eq!(of(ChangeKind::Archive), of(ChangeKind::Removal));
    assert!(of(ChangeKind::Claim) <= accepted, "{:?}", world.written);
    assert_eq!(of(ChangeKind::End), 0, "{:?}", world.written);
}
