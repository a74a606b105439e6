//! Runs the controller's executable as a user does.

use std::process::Command;

#[test]
fn missing_arguments_print_hint_and_exit_with_status_2() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_cleatfold")).output().expect("the executable starts");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(stderr, "cleatfold: nothing to do; see --help\n");
}
