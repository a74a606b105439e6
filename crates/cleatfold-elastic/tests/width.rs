//! How wide an elastic job runs.

use cleatfold_elastic::Width;

#[test]
fn a_job_narrows_as_its_steps_run_out_and_grows_by_doubling() {
    let w = |left| Width { least: 2, most: 40, left, step_ms: 4000 };
    assert_eq!((w(200).base(), w(1).base(), w(0).base()), (2, 1, 0));
    assert_eq!(w(200).growth(0, 5000), 1);
    assert_eq!(w(200).growth(4, 5000), 4);
    assert_eq!(w(200).growth(40, 5000), 0);
    // Eight steps of 4 s are no work for four more machines that need 5 s to start.
    assert_eq!(w(8).growth(2, 5000), 1);
    assert_eq!(w(5).growth(2, 5000), 0);
    let nothing = Width { least: 0, ..w(9) };
    assert_eq!(nothing.base(), 1, "it must be able to go on");
}
