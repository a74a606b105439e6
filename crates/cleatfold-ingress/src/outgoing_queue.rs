//! A priority queue for requests to a rate-limited service.

use std::collections::VecDeque;

#[derive(Debug)]
struct Waiting<T> {
    queued_at: u64,
    /// The number of changes that it makes; 0 for a read.
    changes: f64,
    item: T,
}

/// One in `LAST_PRIORITY_INTERVAL` requests is taken from the last priority once a request there
/// has waited for `STARVATION_MS`, so that the answers which depend on it are not delayed without
/// bound.
const LAST_PRIORITY_INTERVAL: u32 = 4;
const STARVATION_MS: u64 = 300;

/// Requests by priority, the first priority first, each in order of arrival. A request that has to
/// wait for the change rate does not delay requests without changes. (Queries for ended jobs once
/// waited behind claims until their clients had timed out, as long as the change rate was used up.)
#[derive(Debug)]
pub struct OutgoingQueue<T> {
    queues: Vec<VecDeque<Waiting<T>>>,
    popped: u32,
}

impl<T> OutgoingQueue<T> {
    /// Creates a queue with the given number of priorities.
    pub fn new(priorities: usize) -> Self {
        Self { queues: (0..priorities).map(|_| VecDeque::new()).collect(), popped: 0 }
    }

    /// Adds a request of a priority, the first being 0, that makes `changes` changes.
    pub fn push(&mut self, priority: usize, queued_at: u64, changes: f64, item: T) {
        if let Some(queue) = self.queues.get_mut(priority) {
            queue.push_back(Waiting { queued_at, changes, item });
        }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Removes the next request that may be sent, and returns it with the number of its changes.
    /// `writes_allowed`: requests with changes may be sent now.
    pub fn pop(&mut self, now: u64, writes_allowed: bool) -> Option<(f64, T)> {
        let is_allowed = |w: &Waiting<T>| writes_allowed || w.changes <= 0.0;
        let first = |queue: &VecDeque<Waiting<T>>| queue.iter().position(is_allowed);
        let last = self.queues.len().saturating_sub(1);
        let is_last_priority_turn =
            self.popped % LAST_PRIORITY_INTERVAL == LAST_PRIORITY_INTERVAL - 1;
        let is_starved = |at: usize| {
            self.queues[last].get(at).is_some_and(|w| now >= w.queued_at + STARVATION_MS)
        };
        let starved = self
            .queues
            .last()
            .and_then(first)
            .filter(|&at| is_last_priority_turn && is_starved(at));
        let (queue, at) = match starved {
            Some(at) => (last, at),
            None => self.queues.iter().enumerate().find_map(|(i, q)| Some((i, first(q)?)))?,
        };
        self.popped = self.popped.wrapping_add(1);
        self.queues[queue].remove(at).map(|w| (w.changes, w.item))
    }
}
