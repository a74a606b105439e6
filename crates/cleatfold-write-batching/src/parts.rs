//! A large job's parts: which of them a controller claims from, and whose ends it records.

use std::collections::{BTreeMap, BTreeSet};

/// The parts of a job in the order in which the controller of this rank claims from them. Each
/// begins at a place of its own. (All of them began at the first one, so each claim but one of
/// every round met a part that another controller had just changed, and its changes were spent
/// in vain; and what ended was spread over all parts.)
pub fn claim_order(parts: u32, rank: usize, controllers: usize) -> impl Iterator<Item = u32> {
    let controllers = controllers.max(1) as u64;
    let from = (u64::from(parts) * (rank as u64 % controllers) / controllers) as u32;
    (0..parts).map(move |i| (from + i) % parts.max(1))
}

/// What is to be recorded of one part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PendingPartUpdates {
    /// Completed tasks.
    pub done: u32,
    /// Tasks that ended otherwise.
    pub lost: u32,
    /// Tasks of it that still run in this controller's pools.
    pub mine_left: u32,
    /// Tasks of it that nobody has claimed.
    pub unclaimed: u32,
}

impl PendingPartUpdates {
    /// Nothing will be gained by waiting for more of it.
    fn is_ripe(&self) -> bool {
        self.lost > 0 || (self.mine_left == 0 && self.unclaimed == 0)
    }
}

/// Which parts' ends a transaction records.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    chosen: BTreeSet<u32>,
}

impl Selection {
    /// Ripe parts, then, if everything of the job should be told, those that tell most; `room` at most.
    pub fn new(parts: &BTreeMap<u32, PendingPartUpdates>, everything: bool, room: usize) -> Self {
        let mut order: Vec<(&u32, &PendingPartUpdates)> =
            parts.iter().filter(|(_, p)| everything || p.is_ripe()).collect();
        // What must start again first, then what tells most for its change.
        order.sort_by_key(|(n, p)| (!p.is_ripe(), p.lost == 0, u32::MAX - p.done - p.lost, **n));
        Self { chosen: order.into_iter().take(room).map(|(n, _)| *n).collect() }
    }

    /// Whether the part's ends are recorded.
    pub fn contains(&self, part: u32) -> bool {
        self.chosen.contains(&part)
    }

    /// How many parts are.
    pub fn len(&self) -> usize {
        self.chosen.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.chosen.is_empty()
    }
}
