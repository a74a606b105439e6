//! Exhaustive state exploration of small models, over all interleavings of their steps.

use std::collections::{BTreeSet, VecDeque};

/// Maximum number of states. A model with more is assumed to be unbounded.
const MAX_STATES: usize = 2_000_000;

/// A state of a model, with the invariants violated so far.
pub trait ModelState: Clone + Default + Ord {
    /// The invariants that were violated on the way to this state.
    fn violations(&self) -> &BTreeSet<&'static str>;
}

/// Result of an exploration.
pub struct Exploration {
    /// All invariants that were found to be violated.
    pub violations: BTreeSet<&'static str>,
    /// Number of distinct states visited.
    pub states: usize,
}

/// Visits all states reachable from the default state through `successors`, breadth first. Stops
/// early once a violation of the invariant `target` is found.
///
/// # Panics
///
/// Panics if the model has two million states or more.
pub fn explore<S: ModelState>(
    successors: impl Fn(&S) -> Vec<S>,
    target: Option<&str>,
) -> Exploration {
    let mut visited = BTreeSet::from([S::default()]);
    let mut queue = VecDeque::from([S::default()]);
    let mut violations = BTreeSet::new();
    while let Some(state) = queue.pop_front() {
        for next in successors(&state) {
            violations.extend(next.violations().iter().copied());
            if target.is_some_and(|invariant| violations.contains(invariant)) {
                return Exploration { violations, states: visited.len() };
            }
            // States after a violation are not explored further.
            if next.violations().is_empty() && visited.insert(next.clone()) {
                queue.push_back(next);
            }
        }
        assert!(visited.len() < MAX_STATES, "too many states");
    }
    Exploration { violations, states: visited.len() }
}
