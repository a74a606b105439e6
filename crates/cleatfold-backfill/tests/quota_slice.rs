//! Slices of a team's limit.

use cleatfold_backfill::SliceDemand;

/// A pool that had no machines any more kept 21 of a limit of 24, an eighth was free, and tasks of 4 in
/// another pool waited for ever.
#[test]
fn a_part_that_nobody_uses_goes_to_whoever_cannot_start_a_task() {
    let resize = |free: &mut i64, largest_need: i64| {
        SliceDemand { limit: 24_000, largest_need, ..SliceDemand::default() }.resize(21_000, free)
    };
    assert_eq!(resize(&mut 3_000, 2_000), 21_000, "enough is free");
    let mut free = 3_000;
    assert_eq!(resize(&mut free, 4_000), 0);
    assert_eq!(free, 24_000);
}
