//! Exhaustive search through the states of a small model, in every order of its steps.

use std::collections::{BTreeSet, VecDeque};

/// More states than this mean that the model is not bounded.
const MAX_STATES: usize = 2_000_000;

/// A state of a model.
pub trait ModelState: Clone + Default + Ord {
    /// The rules that were broken on the way to this state.
    fn violations(&self) -> &BTreeSet<&'static str>;
}

/// What a search has found.
pub struct Exploration {
    /// All rules that can be broken.
    pub violations: BTreeSet<&'static str>,
    /// How many states there are.
    pub states: usize,
}

/// Visits every state that `successors` reaches from the default one, breadth first. Ends early
/// once `wanted` was found to be broken.
///
/// # Panics
///
/// If the model has more than two million states.
pub fn explore<S: ModelState>(
    successors: impl Fn(&S) -> Vec<S>,
    wanted: Option<&str>,
) -> Exploration {
    let mut seen = BTreeSet::from([S::default()]);
    let mut queue = VecDeque::from([S::default()]);
    let mut violations = BTreeSet::new();
    while let Some(state) = queue.pop_front() {
        for next in successors(&state) {
            violations.extend(next.violations().iter().copied());
            if wanted.is_some_and(|rule| violations.contains(rule)) {
                return Exploration { violations, states: seen.len() };
            }
            // What follows a broken rule shows nothing more.
            if next.violations().is_empty() && seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
        assert!(seen.len() < MAX_STATES, "too many states");
    }
    Exploration { violations, states: seen.len() }
}
