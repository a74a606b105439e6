//! Width of an elastic job.

use cleatfold_elastic::ElasticWidth;

#[test]
fn width_shrinks_with_remaining_steps_and_at_most_doubles() {
    let width = |remaining_steps| ElasticWidth {
        min_members: 2,
        max_members: 40,
        remaining_steps,
        step_ms: 4000,
    };
    assert_eq!(
        (width(200).base_members(), width(1).base_members(), width(0).base_members()),
        (2, 1, 0)
    );
    assert_eq!(width(200).growth(0, 5000), 1);
    assert_eq!(width(200).growth(4, 5000), 4);
    assert_eq!(width(200).growth(40, 5000), 0);
    // Eight steps of 4 s are too little work for four more machines that take 5 s to start.
    assert_eq!(width(8).growth(2, 5000), 1);
    assert_eq!(width(5).growth(2, 5000), 0);
    let no_minimum = ElasticWidth { min_members: 0, ..width(9) };
    assert_eq!(no_minimum.base_members(), 1, "a job without minimum must be able to resume");
}
