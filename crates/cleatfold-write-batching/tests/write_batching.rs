//! Tests when updates are recorded and which parts are selected.

use cleatfold_write_batching::{claim_order, PendingPartUpdates, PendingUpdates, Selection};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Updates of completed tasks of a job that continues on this controller.
fn continuing_job(done: u32) -> PendingUpdates {
    PendingUpdates {
        done,
        running_here: 5,
        record_writes: 1,
        urgency: 2,
        max_delay_ms: 30_000,
        can_batch_reports: true,
        ..PendingUpdates::default()
    }
}

/// Guards against recording a lost task only together with batched completed ones: its end, and with it the
/// restart of the task, was delayed by a minute.
#[test]
fn lost_task_is_not_deferred_behind_completed_tasks() {
    assert!(continuing_job(7).is_deferrable());
    assert!(!PendingUpdates { lost: 1, ..continuing_job(7) }.is_deferrable());
    assert!(
        !PendingUpdates { completes_job: true, ..continuing_job(40) }.is_deferrable(),
        "the last task completes the job"
    );
    let lost = PendingUpdates { lost: 1, ..continuing_job(0) }.priority(0);
    assert!(lost > continuing_job(7).priority(0));
    // No starvation: updates that have waited long get ahead of new ones.
    assert!(continuing_job(1).priority(6000) > lost);
}

/// Guards against deferring the last updates of a job: each of three owners ran a third of its tasks and held back
/// its last task ends for the maximum delay, since none of them saw the job complete.
#[test]
fn final_updates_of_an_owner_are_not_deferred() {
    let mut owners =
        [12u32, 20, 8].map(|tasks| PendingUpdates { running_here: tasks, ..continuing_job(0) });
    for pending_updates in &mut owners {
        while pending_updates.running_here > 0 {
            assert!(!pending_updates.is_due(0));
            (pending_updates.running_here, pending_updates.done) =
                (pending_updates.running_here - 1, pending_updates.done + 1);
        }
        assert!(pending_updates.is_due(0));
    }
}

#[test]
fn updates_in_one_record_precede_updates_in_many() {
    let spread = PendingUpdates { record_writes: 10, ..continuing_job(20) };
    assert!(continuing_job(20).priority(0) > spread.priority(0));
    assert!(continuing_job(3).priority(0) > spread.priority(0));
}

#[test]
fn controllers_claim_all_parts_from_different_starts() {
    for (parts, controllers) in [(1, 3), (7, 3), (98, 5), (2, 5), (5, 0)] {
        let mut first_parts = Vec::new();
        for rank in 0..controllers.max(1) {
            let mut order: Vec<u32> = claim_order(parts, rank, controllers).collect();
            first_parts.extend(order.first().copied());
            order.sort_unstable();
            assert_eq!(order, (0..parts).collect::<Vec<_>>());
        }
        first_parts.dedup();
        assert_eq!(
            first_parts.len(),
            controllers.clamp(1, parts as usize),
            "{parts} parts, {controllers} controllers"
        );
    }
}

proptest! {
    /// Parts that are not ready are selected only if all are included; the number of parts is limited; parts with lost
    /// tasks precede parts with completed tasks only.
    #[test]
    fn selection_prefers_ready_parts_and_lost_tasks(
        parts in prop::collection::btree_map(0u32..40, (0u32..20, 0u32..3, 0u32..3, 0u32..3), 0..30),
        include_all: bool,
        max_parts in 1usize..20,
    ) {
        let parts: BTreeMap<u32, PendingPartUpdates> = parts
            .into_iter()
            .map(|(n, (done, lost, running_here, unclaimed))| {
                (n, PendingPartUpdates { done, lost, running_here, unclaimed })
            })
            .collect();
        let selection = Selection::new(&parts, include_all, max_parts);
        let is_ready = |p: &PendingPartUpdates| p.lost > 0 || (p.running_here == 0 && p.unclaimed == 0);
        let candidates = parts.values().filter(|p| include_all || is_ready(p)).count();
        prop_assert_eq!(selection.len(), candidates.min(max_parts));
        prop_assert_eq!(selection.is_empty(), candidates == 0);
        for (n, part) in &parts {
            if selection.contains(*n) {
                prop_assert!(include_all || is_ready(part));
                continue;
            }
            let selected = parts.iter().filter(|(m, _)| selection.contains(**m));
            for (_, other) in selected {
                prop_assert!(part.lost == 0 || other.lost > 0, "a part with lost tasks is left out for one without");
            }
        }
    }

    /// No update waits longer than the maximum delay.
    #[test]
    fn updates_are_due_after_the_maximum_delay(done in 0u32..50, running_here in 0u32..5, unclaimed in 0u32..5, waited in 0u64..100_000) {
        let pending_updates = PendingUpdates { done, running_here, unclaimed, ..continuing_job(done) };
        prop_assert!(pending_updates.is_due(30_000 + waited));
        prop_assert!(pending_updates.priority(waited) <= pending_updates.priority(waited + 1));
    }
}
