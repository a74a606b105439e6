//! The controller's program as its users start it.

use std::process::Command;

#[test]
fn without_arguments_it_says_so_and_ends_with_status_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_cleatfold")).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(error, "cleatfold: nothing to do; see --help\n");
}
