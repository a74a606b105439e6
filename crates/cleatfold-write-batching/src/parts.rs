//! The parts of a large job: the order in which a controller claims from them, and the parts whose task ends a
//! transaction records.

use std::collections::{BTreeMap, BTreeSet};

/// The parts of a job in the order in which the controller of this rank claims from them. Each controller starts
/// at a different part: when all started at the first one, all but one claim of every round conflicted with
/// another controller's change and was wasted, and task ends were spread over all parts.
pub fn claim_order(parts: u32, rank: usize, controllers: usize) -> impl Iterator<Item = u32> {
    let controllers = controllers.max(1) as u64;
    let first = (u64::from(parts) * (rank as u64 % controllers) / controllers) as u32;
    (0..parts).map(move |i| (first + i) % parts.max(1))
}

/// The updates of one part that are not recorded yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PendingPartUpdates {
    /// Completed tasks.
    pub done: u32,
    /// Tasks that ended without completing.
    pub lost: u32,
    /// Tasks of the part that still run in this controller's pools.
    pub running_here: u32,
    /// Tasks of the part that no controller has claimed.
    pub unclaimed: u32,
}

impl PendingPartUpdates {
    /// Whether waiting would not add more updates of the part, or would delay the restart of a lost task.
    fn is_ready(&self) -> bool {
        self.lost > 0 || (self.running_here == 0 && self.unclaimed == 0)
    }
}

/// The parts whose task ends a transaction records.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    parts: BTreeSet<u32>,
}

impl Selection {
    /// Selects at most `max_parts` parts: the ready ones and, if `include_all`, then the others, those with the most
    /// ended tasks first.
    pub fn new(
        parts: &BTreeMap<u32, PendingPartUpdates>,
        include_all: bool,
        max_parts: usize,
    ) -> Self {
        let mut order: Vec<(&u32, &PendingPartUpdates)> =
            parts.iter().filter(|(_, p)| include_all || p.is_ready()).collect();
        // Ready parts first, those with lost tasks ahead, since these tasks must be restarted; then the parts that
        // record the most task ends in one write.
        order.sort_by_key(|(n, p)| (!p.is_ready(), p.lost == 0, u32::MAX - p.done - p.lost, **n));
        Self { parts: order.into_iter().take(max_parts).map(|(n, _)| *n).collect() }
    }

    /// Whether the transaction records the task ends of this part.
    pub fn contains(&self, part: u32) -> bool {
        self.parts.contains(&part)
    }

    /// The number of selected parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is selected.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
