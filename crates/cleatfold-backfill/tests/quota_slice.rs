//! Sizing of slices of a team's limit.

use cleatfold_backfill::SliceDemand;

/// Guards against a pool without machines that keeps 21 of a limit of 24: an eighth is free, so
/// nothing was released, and tasks of 4 in another pool never started.
#[test]
fn unused_slice_is_released_when_a_task_cannot_start() {
    let resize = |free: &mut i64, largest_need: i64| {
        SliceDemand { limit: 24_000, largest_need, ..SliceDemand::default() }.resize(21_000, free)
    };
    assert_eq!(resize(&mut 3_000, 2_000), 21_000, "enough is free");
    let mut free = 3_000;
    assert_eq!(resize(&mut free, 4_000), 0);
    assert_eq!(free, 24_000);
}
