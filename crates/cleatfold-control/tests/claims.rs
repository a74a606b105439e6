//! The protocol of claims, explored in every order of what can happen: acceptance, claim, launch, exit, reap,
//! take-over, cancellation and archive, with two controllers, one or two machines in one pool, one or two
//! tasks, and a state service whose transactions may go unanswered and be executed late. `model.rs` has the
//! states, `steps.rs` what can happen; claims, ends and free tasks are the service's own `TaskTable`. An outage is
//! any stretch without a step of the state service, so all of them are in it.
//!
//! Bounds: those of each search are in the table below; all are searched exhaustively within them. Beyond them
//! or not in the model: jobs in parts, gangs, limits, elastic jobs, deletion of machines, answers that wait
//! for a claim. Direct commands are in the two searches of their name. A reading is one step, and the
//! assigning of a pool is one (its guard is the version that it changes). Time is not in it but for what the
//! clocks warrant: an owner concludes that a lease has run out only when the session that it answered has ended
//! or the worker has gone on under a higher token; a cancellation's bound passes only when each machine was
//! answered since the partitioned limit, or its session has ended since.
//!
//! (The search is a plain one through all states; no library for it could be had here.)

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
    late: 1,
    copies: 1,
    held: 0,
    failures: false,
    drains: false,
    cancel: false,
    submissions: 0,
    polls: false,
};
const RESTART: Bounds = Bounds { name: "restart", restarts: [1, 0], ..TAKE_OVER };
const LEASES: Bounds =
    Bounds { name: "leases", sessions: 1, failures: true, late: 0, copies: 0, ..TAKE_OVER };
const DRAINS: Bounds =
    Bounds { name: "drains", failures: true, drains: true, late: 0, ..TAKE_OVER };
const TWO_TASKS: Bounds =
    Bounds { name: "two tasks", tasks: 2, machines: 1, failures: true, copies: 0, ..TAKE_OVER };
const CANCEL: Bounds =
    Bounds { name: "cancellation", machines: 1, cancel: true, sessions: 1, copies: 0, ..TAKE_OVER };
const ACCEPT: Bounds = Bounds {
    name: "acceptance",
    machines: 1,
    tokens: 1,
    attempts: 1,
    submissions: 2,
    polls: true,
    copies: 0,
    ..TAKE_OVER
};
/// Direct commands that are held up, beside sessions, and beside copies of reports.
const HELD_SESSIONS: Bounds =
    Bounds { name: "held, sessions", tokens: 1, sessions: 1, copies: 0, ..HELD_COPIES };
const HELD_COPIES: Bounds = Bounds { name: "held, copies", held: 1, late: 0, ..TAKE_OVER };
const HELD_DRAINS: Bounds = Bounds { name: "held, drains", copies: 0, drains: true, ..HELD_COPIES };
/// All of it, with a cancellation.
const WHOLE: Bounds = Bounds { name: "whole", tokens: 2, restarts: [1, 0], cancel: true, ..ACCEPT };
/// For the guards that need them.
const RESTART_DRAINS: Bounds = Bounds { name: "restart, drains", drains: true, late: 0, ..RESTART };

/// All states within the bounds: nothing is broken, the search is not empty, and what matters was reached.
fn holds(bounds: Bounds, least: usize, reached: &[&str]) {
    let found = explore(&World { bounds, without: None }, None);
    println!("{bounds:?}: {} states, {} steps, {:?}", found.states, found.steps, found.seen);
    assert!(found.broken.is_empty(), "{:?}", found.broken);
    assert!(found.states > least, "only {} states", found.states);
    // What `Guard::ExitAlone` is about: with the others in place it has nothing to do.
    assert!(!found.seen.contains_key(BESIDE), "{:?}", found.seen);
    for what in reached {
        assert!(found.seen.contains_key(what), "never reached: {what}");
    }
}

/// All of `TAKE_OVER` and more.
#[test]
fn restart() {
    holds(RESTART, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn leases() {
    holds(LEASES, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn drains() {
    holds(DRAINS, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn two_tasks() {
    holds(TWO_TASKS, 500_000, &[DONE, ADOPTED, RELEASED]);
}

#[test]
fn cancellation() {
    let reached = [DONE, ABORTED, ADOPTED, CANCELLED, BOUND, AT_END, READ_FIRST];
    holds(CANCEL, 200_000, &reached);
}

#[test]
fn held_commands_and_sessions() {
    holds(HELD_SESSIONS, 50_000, &[DONE]);
}

#[test]
fn held_commands_and_copies() {
    holds(HELD_COPIES, 500_000, &[DONE, ADOPTED, RELEASED]);
}

/// From acceptance to the archive. All of `ACCEPT` and more.
#[test]
fn whole() {
    let reached = [DONE, ABORTED, ADOPTED, RELEASED, CANCELLED, BOUND, AT_END, READ_FIRST];
    holds(WHOLE, 200_000, &reached);
}

/// The shortest way to what breaks without the guard.
fn needed(guards: &[(Guard, Bounds, &str)]) {
    for &(guard, bounds, what) in guards {
        let found = explore(&World { bounds, without: Some(guard) }, Some(what));
        let (name, states) = (bounds.name, found.states);
        println!("{guard:?}, {name}, {states} states: {what} by {:?}", found.broken.get(what));
        let seen = found.broken.contains_key(what);
        assert!(seen, "not seen without {guard:?}: {what}; {:?}", found.broken);
    }
}

#[test]
fn each_guard_of_transactions_and_answers_is_needed() {
    needed(&[
        (Guard::JobInClaims, TAKE_OVER, WENT_BACK),
        (Guard::PoolInClaims, TAKE_OVER, REAPED),
        (Guard::ArchiveAbsence, ACCEPT, WENT_BACK),
        (Guard::FreshPolls, ACCEPT, WENT_BACK),
        (Guard::NotCancelled, CANCEL, RAN_CANCELLED),
        (Guard::Evictions, CANCEL, RAN_CANCELLED),
        (Guard::StaleReadLimit, CANCEL, RAN_CANCELLED),
        (Guard::DurableReap, TAKE_OVER, REAPED),
    ]);
}

#[test]
fn each_guard_of_proofs_is_needed() {
    needed(&[
        (Guard::PoolInReleases, TAKE_OVER, RAN_TWICE),
        (Guard::SeenToken, TAKE_OVER, RAN_TWICE),
        (Guard::SeenForExits, LEASES, RAN_TWICE),
        (Guard::Newest, DRAINS, RAN_TWICE),
        (Guard::Incarnation, RESTART_DRAINS, RAN_TWICE),
        (Guard::NotEnding, DRAINS, RAN_TWICE),
        (Guard::OwnToken, DRAINS, RAN_TWICE),
        (Guard::DirectEvictionsOnly, HELD_DRAINS, RAN_TWICE),
    ]);
}
