//! The search: breadth first through all states, so a counterexample is a shortest one. States are known
//! by 64 bits of their hash.

use super::model::*;
use super::steps::*;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};

pub(crate) struct Found {
    pub states: usize,
    pub steps: usize,
    /// What can go wrong, and the shortest way to it.
    pub broken: BTreeMap<&'static str, Vec<Step>>,
    /// What was reached.
    pub seen: BTreeMap<&'static str, usize>,
}

const MOST: usize = 3_000_000;

pub(crate) const DONE: &str = "archived as done";
pub(crate) const ABORTED: &str = "archived as aborted";
pub(crate) const BOUND: &str = "the bound of a cancellation";
pub(crate) const ADOPTED: &str = "a task adopted by the next owner";
pub(crate) const RELEASED: &str = "a claim released after a take-over";
pub(crate) const BESIDE: &str =
    "an exit that is not recorded, beside another attempt that is alive";
pub(crate) const CANCELLED: &str = "cancelled and not over";
pub(crate) const AT_END: &str =
    "a cancellation is asked for as the last task has completed and that is not recorded";
pub(crate) const READ_FIRST: &str =
    "a cancellation was read by another before its author knows of it";

fn print(state: &State) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// All states, or those until `what` is found broken.
pub(crate) fn explore(world: &World, what: Option<&str>) -> Found {
    let start = world.start();
    let mut known = HashSet::from([print(&start)]);
    let mut ways: Vec<(u32, Step)> = vec![(0, Step::Bound)];
    let mut queue = VecDeque::from([(0u32, start)]);
    let mut found = Found { states: 1, steps: 0, broken: BTreeMap::new(), seen: BTreeMap::new() };
    while let Some((from, state)) = queue.pop_front() {
        for sight in sights(&state) {
            *found.seen.entry(sight).or_default() += 1;
        }
        for (step, next) in world.next(&state) {
            found.steps += 1;
            if let Some(broken) = next.broken {
                // A state in which something is broken is looked at no further.
                found.broken.entry(broken).or_insert_with(|| {
                    let mut way = vec![step];
                    let mut at = from;
                    while at != 0 {
                        let (before, step) = ways[at as usize];
                        way.push(step);
                        at = before;
                    }
                    way.reverse();
                    way
                });
                if what == Some(broken) {
                    return found;
                }
            } else if known.insert(print(&next)) {
                found.states += 1;
                ways.push((from, step));
                queue.push_back(((ways.len() - 1) as u32, next));
            }
        }
        assert!(found.states < MOST, "{}: too many states", world.bounds.name);
    }
    found
}

fn sights(s: &State) -> Vec<&'static str> {
    let mut seen = Vec::new();
    let alive = |m: &Machine| m.tasks.iter().any(|x| x.2 == Run::Alive);
    match s.store.archive {
        Some(Ended::Done) => seen.push(DONE),
        Some(Ended::Aborted) => seen.push(ABORTED),
        None => {}
    }
    if s.phase == Phase::Bound {
        seen.push(BOUND);
    }
    let completed = s.completed.iter().take(s.tasks.into()).all(|done| *done);
    if completed && s.store.job.is_some() && s.controllers.iter().any(|n| n.abort) {
        seen.push(AT_END);
    }
    // Its author still waits for the answer, or for the next reading after a lost one.
    let knows = |n: &Controller| n.cache.and_then(|m| m.job).is_some_and(|j| j.aborted);
    if s.controllers.iter().any(knows) && s.controllers.iter().any(|n| n.abort && !knows(n)) {
        seen.push(READ_FIRST);
    }
    for (ix, task) in s.store.job.iter().flat_map(|j| j.tasks.iter().enumerate()) {
        if let Task::Claimed { machine, token, attempt } = *task {
            let m = &s.machines[usize::from(machine)];
            let exit = |x: &(u8, u8, Run)| (x.0, x.1) == (ix as u8, attempt) && x.2 != Run::Alive;
            if m.tasks.iter().any(exit)
                && m.tasks.iter().any(|x| x.0 == ix as u8 && x.2 == Run::Alive)
            {
                seen.push(BESIDE);
            }
            if token < s.store.pool.token && m.token == s.store.pool.token && alive(m) {
                seen.push(ADOPTED);
            }
        }
        if matches!(task, Task::Free { last } if *last > 0) && s.store.pool.token > 1 {
            seen.push(RELEASED);
        }
        if s.store.job.is_some_and(|j| j.aborted && j.tasks[ix] != Task::Done) {
            seen.push(CANCELLED);
        }
    }
    seen
}
