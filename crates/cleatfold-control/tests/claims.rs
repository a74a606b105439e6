//! Exhaustive model check of the claim protocol: acceptance, claim, launch, exit, reap, take-over, cancellation and
//! archiving, in every possible order. The model has two controllers, one or two machines in one pool, one or two
//! tasks, and a state service whose transactions may get no answer and be executed late. `model.rs` defines the
//! states and `steps.rs` the transitions; claims, ends and free tasks use the service's own `TaskTable`. An outage
//! is any sequence without a step of the state service, so the search covers all outages.
//!
//! The bounds of each search are in the table below; each search is exhaustive within them. Not modelled: jobs in
//! parts, gangs, limits, elastic jobs, deletion of machines, answers that wait for a claim. Direct commands are
//! only in the "held" searches. Reading the state is one step, and so is a pool assignment (its guard is the
//! version that it changes). Time is modelled only by what the clocks guarantee: an owner concludes that a lease
//! has expired only when the session that it answered has ended or the worker has continued under a higher token;
//! a cancellation's deadline passes only when each machine was answered after the stale-read limit, or its session
//! has ended since then.
//!
//! The search is a plain breadth-first one, because no model-checking library was available.

mod claims {
    pub(crate) mod commands;
    pub(crate) mod model;
    pub(crate) mod search;
    pub(crate) mod steps;
}

use claims::model::*;
use claims::search::*;
use claims::steps::*;

const TAKE_OVER: Bounds = Bounds {
    name: "take-over",
    tasks: 1,
    machines: 2,
    tokens: 2,
    restarts: [0, 0],
    sessions: 0,
    attempts: 2,
    late_transactions: 1,
    report_copies: 1,
    direct_commands: 0,
    task_failures: false,
    drains: false,
    cancel: false,
    submissions: 0,
    polls: false,
};
const RESTART: Bounds = Bounds { name: "restart", restarts: [1, 0], ..TAKE_OVER };
const LEASES: Bounds = Bounds {
    name: "leases",
    sessions: 1,
    task_failures: true,
    late_transactions: 0,
    report_copies: 0,
    ..TAKE_OVER
};
const DRAINS: Bounds =
    Bounds { name: "drains", task_failures: true, drains: true, late_transactions: 0, ..TAKE_OVER };
const TWO_TASKS: Bounds = Bounds {
    name: "two tasks",
    tasks: 2,
    machines: 1,
    task_failures: true,
    report_copies: 0,
    ..TAKE_OVER
};
const CANCELLATION: Bounds = Bounds {
    name: "cancellation",
    machines: 1,
    cancel: true,
    sessions: 1,
    report_copies: 0,
    ..TAKE_OVER
};
const ACCEPTANCE: Bounds = Bounds {
    name: "acceptance",
    machines: 1,
    tokens: 1,
    attempts: 1,
    submissions: 2,
    polls: true,
    report_copies: 0,
    ..TAKE_OVER
};
/// Delayed direct commands, combined with sessions and with copies of reports.
const HELD_SESSIONS: Bounds =
    Bounds { name: "held, sessions", tokens: 1, sessions: 1, report_copies: 0, ..HELD_COPIES };
const HELD_COPIES: Bounds =
    Bounds { name: "held, copies", direct_commands: 1, late_transactions: 0, ..TAKE_OVER };
const HELD_DRAINS: Bounds =
    Bounds { name: "held, drains", report_copies: 0, drains: true, ..HELD_COPIES };
/// From submission to archive, with restarts, polls and a cancellation.
const WHOLE_LIFECYCLE: Bounds =
    Bounds { name: "whole", tokens: 2, restarts: [1, 0], cancel: true, ..ACCEPTANCE };
/// For the guards whose counterexample needs both a restart and a drain.
const RESTART_DRAINS: Bounds =
    Bounds { name: "restart, drains", drains: true, late_transactions: 0, ..RESTART };

/// Checks all states within the bounds: no violation, at least `min_states` states, and each milestone reached.
fn assert_no_violation(bounds: Bounds, min_states: usize, reached: &[&str]) {
    let found = explore(&Model { bounds, without: None }, None);
    println!("{bounds:?}: {} states, {} steps, {:?}", found.states, found.steps, found.reached);
    assert!(found.violations.is_empty(), "{:?}", found.violations);
    assert!(found.states > min_states, "only {} states", found.states);
    // The case that `Guard::NoOtherAttemptRunning` handles; the other guards already prevent it.
    assert!(!found.reached.contains_key(EXIT_WHILE_RUNNING), "{:?}", found.reached);
    for milestone in reached {
        assert!(found.reached.contains_key(milestone), "never reached: {milestone}");
    }
}

/// Includes every state of `TAKE_OVER`.
#[test]
fn restart_keeps_invariants() {
    assert_no_violation(RESTART, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn lease_expiry_keeps_invariants() {
    assert_no_violation(LEASES, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn machine_drain_keeps_invariants() {
    assert_no_violation(DRAINS, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn two_tasks_keep_invariants() {
    assert_no_violation(TWO_TASKS, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn cancellation_keeps_invariants() {
    let reached = [
        DONE,
        ABORTED,
        ADOPTED,
        CANCELLED,
        DEADLINE_REACHED,
        CANCELLED_AT_COMPLETION,
        CANCELLATION_READ_EARLY,
    ];
    assert_no_violation(CANCELLATION, 200_000, &reached);
}

#[test]
fn delayed_commands_and_sessions_keep_invariants() {
    assert_no_violation(HELD_SESSIONS, 50_000, &[DONE]);
}

#[test]
fn delayed_commands_and_copies_keep_invariants() {
    assert_no_violation(HELD_COPIES, 500_000, &[DONE, ADOPTED, RELEASED]);
}

/// From acceptance to the archive; includes every state of `ACCEPTANCE`.
#[test]
fn whole_lifecycle_keeps_invariants() {
    let reached = [
        DONE,
        ABORTED,
        ADOPTED,
        RELEASED,
        CANCELLED,
        DEADLINE_REACHED,
        CANCELLED_AT_COMPLETION,
        CANCELLATION_READ_EARLY,
    ];
    assert_no_violation(WHOLE_LIFECYCLE, 200_000, &reached);
}

/// Checks that each violation occurs once its guard is removed, and prints the shortest path to it.
fn assert_guards_needed(guards: &[(Guard, Bounds, &str)]) {
    for &(guard, bounds, violation) in guards {
        let found = explore(&Model { bounds, without: Some(guard) }, Some(violation));
        let (name, states) = (bounds.name, found.states);
        println!(
            "{guard:?}, {name}, {states} states: {violation} by {:?}",
            found.violations.get(violation)
        );
        let occurred = found.violations.contains_key(violation);
        assert!(occurred, "not reached without {guard:?}: {violation}; {:?}", found.violations);
    }
}

#[test]
fn removing_transaction_guard_breaks_invariant() {
    assert_guards_needed(&[
        (Guard::JobVersionInClaims, TAKE_OVER, WENT_BACK),
        (Guard::PoolTokenInClaims, TAKE_OVER, REAPED_EARLY),
        (Guard::ArchiveAbsence, ACCEPTANCE, WENT_BACK),
        (Guard::FreshPolls, ACCEPTANCE, WENT_BACK),
        (Guard::NotCancelled, CANCELLATION, RAN_CANCELLED),
        (Guard::Evictions, CANCELLATION, RAN_CANCELLED),
        (Guard::StaleReadLimit, CANCELLATION, RAN_CANCELLED),
        (Guard::DurableReap, TAKE_OVER, REAPED_EARLY),
    ]);
}

#[test]
fn removing_proof_guard_breaks_invariant() {
    assert_guards_needed(&[
        (Guard::PoolTokenInReleases, TAKE_OVER, RAN_TWICE),
        (Guard::SeenToken, TAKE_OVER, RAN_TWICE),
        (Guard::SeenTokenForExits, LEASES, RAN_TWICE),
        (Guard::NewestReport, DRAINS, RAN_TWICE),
        (Guard::Incarnation, RESTART_DRAINS, RAN_TWICE),
        (Guard::NotBeingEnded, DRAINS, RAN_TWICE),
        (Guard::OwnToken, DRAINS, RAN_TWICE),
        (Guard::DirectEvictionsOnly, HELD_DRAINS, RAN_TWICE),
    ]);
}
