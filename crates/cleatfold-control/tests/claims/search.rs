//! Breadth-first search through all states, so each counterexample is a shortest one. Visited states are
//! identified by a 64-bit hash.

use super::model::*;
use super::steps::*;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};

pub(crate) struct SearchResult {
    pub states: usize,
    pub steps: usize,
    /// Each violation with the shortest path to it.
    pub violations: BTreeMap<&'static str, Vec<Step>>,
    /// Number of states in which each milestone was reached.
    pub reached: BTreeMap<&'static str, usize>,
}

const MAX_STATES: usize = 3_000_000;

pub(crate) const DONE: &str = "archived as done";
pub(crate) const ABORTED: &str = "archived as aborted";
pub(crate) const DEADLINE_REACHED: &str = "cancellation deadline reached";
pub(crate) const ADOPTED: &str = "running task adopted by the next owner";
pub(crate) const RELEASED: &str = "claim released after a take-over";
pub(crate) const EXIT_WHILE_RUNNING: &str = "unrecorded exit while another attempt is running";
pub(crate) const CANCELLED: &str = "cancelled and not ended";
pub(crate) const CANCELLED_AT_COMPLETION: &str =
    "cancellation requested after the last task completed but before that is recorded";
pub(crate) const CANCELLATION_READ_EARLY: &str =
    "cancellation read by another controller before its sender knows the outcome";

fn fingerprint(state: &State) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Visits all states, or stops once the violation `stop_at` is found.
pub(crate) fn explore(model: &Model, stop_at: Option<&str>) -> SearchResult {
    let start = model.initial_state();
    let mut visited = HashSet::from([fingerprint(&start)]);
    let mut predecessors: Vec<(u32, Step)> = vec![(0, Step::PassDeadline)];
    let mut queue = VecDeque::from([(0u32, start)]);
    let mut found =
        SearchResult { states: 1, steps: 0, violations: BTreeMap::new(), reached: BTreeMap::new() };
    while let Some((index, state)) = queue.pop_front() {
        for milestone in milestones(&state) {
            *found.reached.entry(milestone).or_default() += 1;
        }
        for (step, next) in model.successors(&state) {
            found.steps += 1;
            if let Some(violation) = next.violation {
                // States with a violation are not explored further.
                found.violations.entry(violation).or_insert_with(|| {
                    let mut path = vec![step];
                    let mut current = index;
                    while current != 0 {
                        let (previous, step) = predecessors[current as usize];
                        path.push(step);
                        current = previous;
                    }
                    path.reverse();
                    path
                });
                if stop_at == Some(violation) {
                    return found;
                }
            } else if visited.insert(fingerprint(&next)) {
                found.states += 1;
                predecessors.push((index, step));
                queue.push_back(((predecessors.len() - 1) as u32, next));
            }
        }
        assert!(found.states < MAX_STATES, "{}: too many states", model.bounds.name);
    }
    found
}

fn milestones(state: &State) -> Vec<&'static str> {
    let mut reached = Vec::new();
    let is_running = |m: &Machine| m.tasks.iter().any(|x| x.2 == RunState::Running);
    match state.store.archive {
        Some(FinalState::Done) => reached.push(DONE),
        Some(FinalState::Aborted) => reached.push(ABORTED),
        None => {}
    }
    if state.phase == Phase::Deadline {
        reached.push(DEADLINE_REACHED);
    }
    let completed = state.completed.iter().take(state.task_count.into()).all(|done| *done);
    if completed
        && state.store.job.is_some()
        && state.controllers.iter().any(|n| n.cancel_requested)
    {
        reached.push(CANCELLED_AT_COMPLETION);
    }
    // The sender still waits for the answer, or for the next read after a lost answer.
    let read_cancellation =
        |n: &Controller| n.cache.and_then(|cache| cache.job).is_some_and(|j| j.aborted);
    if state.controllers.iter().any(read_cancellation)
        && state.controllers.iter().any(|n| n.cancel_requested && !read_cancellation(n))
    {
        reached.push(CANCELLATION_READ_EARLY);
    }
    for (ix, task) in state.store.job.iter().flat_map(|j| j.tasks.iter().enumerate()) {
        if let Task::Claimed { machine, token, attempt } = *task {
            let m = &state.machines[usize::from(machine)];
            let exit = |x: &(u8, u8, RunState)| {
                (x.0, x.1) == (ix as u8, attempt) && x.2 != RunState::Running
            };
            if m.tasks.iter().any(exit)
                && m.tasks.iter().any(|x| x.0 == ix as u8 && x.2 == RunState::Running)
            {
                reached.push(EXIT_WHILE_RUNNING);
            }
            if token < state.store.pool.token && m.token == state.store.pool.token && is_running(m)
            {
                reached.push(ADOPTED);
            }
        }
        if matches!(task, Task::Free { last } if *last > 0) && state.store.pool.token > 1 {
            reached.push(RELEASED);
        }
        if state.store.job.is_some_and(|j| j.aborted && j.tasks[ix] != Task::Done) {
            reached.push(CANCELLED);
        }
    }
    reached
}
