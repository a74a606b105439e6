//! What is recorded when, against a plain reading of what may wait.

use cleatfold_write_batching::{claim_order, PendingPartUpdates, PendingUpdates, Selection};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Some completed tasks of a job that goes on here.
fn going_on(done: u32) -> PendingUpdates {
    PendingUpdates {
        done,
        mine_left: 5,
        changes: 1,
        urgency: 2,
        patience_ms: 30_000,
        gathers: true,
        ..PendingUpdates::default()
    }
}

/// The end of a lost task once waited a minute behind gathered completed ones, and with it
/// the task's next start.
#[test]
fn a_lost_task_does_not_wait_behind_completed_ones() {
    assert!(going_on(7).can_wait());
    assert!(!PendingUpdates { lost: 1, ..going_on(7) }.can_wait());
    assert!(
        !PendingUpdates { finishes: true, ..going_on(40) }.can_wait(),
        "the last one makes the job done"
    );
    let lost = PendingUpdates { lost: 1, ..going_on(0) }.weight(0);
    assert!(lost > going_on(7).weight(0));
    // But nothing starves: what has waited long goes before what is new.
    assert!(going_on(1).weight(6000) > lost);
}

/// Three owners held a third of a job each. Each kept back its last ends, since the job was done
/// for none of them, until the longest wait had passed.
#[test]
fn what_is_all_that_we_will_say_of_a_job_does_not_wait() {
    let mut owners = [12u32, 20, 8].map(|mine| PendingUpdates { mine_left: mine, ..going_on(0) });
    for pending_updates in &mut owners {
        while pending_updates.mine_left > 0 {
            assert!(!pending_updates.presses(0));
            (pending_updates.mine_left, pending_updates.done) =
                (pending_updates.mine_left - 1, pending_updates.done + 1);
        }
        assert!(pending_updates.presses(0));
    }
}

#[test]
fn ends_over_many_records_give_way_to_those_in_one() {
    let spread = PendingUpdates { changes: 10, ..going_on(20) };
    assert!(going_on(20).weight(0) > spread.weight(0));
    assert!(going_on(3).weight(0) > spread.weight(0));
}

#[test]
fn controllers_begin_apart_and_leave_nothing_out() {
    for (parts, of) in [(1, 3), (7, 3), (98, 5), (2, 5), (5, 0)] {
        let mut firsts = Vec::new();
        for rank in 0..of.max(1) {
            let mut order: Vec<u32> = claim_order(parts, rank, of).collect();
            firsts.extend(order.first().copied());
            order.sort_unstable();
            assert_eq!(order, (0..parts).collect::<Vec<_>>());
        }
        firsts.dedup();
        assert_eq!(firsts.len(), of.clamp(1, parts as usize), "{parts} parts, {of} controllers");
    }
}

proptest! {
    /// Whatever is not ripe waits unless everything is told; no more than there is room for; and
    /// what was lost goes before what was completed.
    #[test]
    fn the_selection_is_what_is_ripe_most_telling_first(
        parts in prop::collection::btree_map(0u32..40, (0u32..20, 0u32..3, 0u32..3, 0u32..3), 0..30),
        everything: bool,
        room in 1usize..20,
    ) {
        let parts: BTreeMap<u32, PendingPartUpdates> = parts
            .into_iter()
            .map(|(n, (done, lost, mine_left, unclaimed))| {
                (n, PendingPartUpdates { done, lost, mine_left, unclaimed })
            })
            .collect();
        let selection = Selection::new(&parts, everything, room);
        let ripe = |p: &PendingPartUpdates| p.lost > 0 || (p.mine_left == 0 && p.unclaimed == 0);
        let open = parts.values().filter(|p| everything || ripe(p)).count();
        prop_assert_eq!(selection.len(), open.min(room));
        prop_assert_eq!(selection.is_empty(), open == 0);
        for (n, part) in &parts {
            if selection.contains(*n) {
                prop_assert!(everything || ripe(part));
                continue;
            }
            let chosen = parts.iter().filter(|(m, _)| selection.contains(**m));
            for (_, other) in chosen {
                prop_assert!(part.lost == 0 || other.lost > 0, "a lost task waits for completed ones");
            }
        }
    }

    /// Nothing waits longer than its patience.
    #[test]
    fn everything_presses_in_the_end(done in 0u32..50, mine_left in 0u32..5, unclaimed in 0u32..5, waited in 0u64..100_000) {
        let pending_updates = PendingUpdates { done, mine_left, unclaimed, ..going_on(done) };
        prop_assert!(pending_updates.presses(30_000 + waited));
        prop_assert!(pending_updates.weight(waited) <= pending_updates.weight(waited + 1));
    }
}
