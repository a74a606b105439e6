//! Queues of requests that wait to be processed.

use crate::request_class::RequestClass;
use std::collections::VecDeque;

/// One in this many requests is taken from the class that has waited longest for its timeout, so
/// that no class starves.
const FAIR_SERVE_INTERVAL: u32 = 4;

#[derive(Debug)]
struct Waiting<T> {
    arrived_at: u64,
    item: T,
}

/// Requests in queues by class.
///
/// While all are answered in time, they are served in order of arrival. Once the oldest of a class
/// has waited for half of its timeout, the newest of that class is served first: serving the oldest
/// would produce an answer after its timeout and delay all others. (With first come, first served,
/// every answer is late once the queue is longer than the timeout, and stays late as long as
/// clients retry: no request is answered in time.)
#[derive(Debug)]
pub struct RequestQueue<T> {
    queues: [VecDeque<Waiting<T>>; RequestClass::ALL.len()],
    served: u32,
}

impl<T> Default for RequestQueue<T> {
    fn default() -> Self {
        Self { queues: Default::default(), served: 0 }
    }
}

impl<T> RequestQueue<T> {
    /// Adds a request that arrived at `arrived_at`. Returns a request to reject if the queue is
    /// full.
    pub fn push(&mut self, class: RequestClass, arrived_at: u64, item: T) -> Option<T> {
        let queue = &mut self.queues[class as usize];
        queue.push_back(Waiting { arrived_at, item });
        // The oldest request is closest to its timeout.
        if queue.len() > class.queue_limit() {
            return queue.pop_front().map(|w| w.item);
        }
        None
    }

    /// Removes the requests whose clients have timed out, or will before an answer could reach
    /// them.
    pub fn take_expired(&mut self, now: u64) -> Vec<(RequestClass, T)> {
        let mut expired = Vec::new();
        for class in RequestClass::ALL {
            let queue = &mut self.queues[class as usize];
            while queue
                .front()
                .is_some_and(|w| now.saturating_sub(w.arrived_at) > class.timeout_ms())
            {
                expired.extend(queue.pop_front().map(|w| (class, w.item)));
            }
        }
        expired
    }

    /// Removes the request to process next.
    pub fn pop(&mut self, now: u64) -> Option<T> {
        let age = |q: &VecDeque<Waiting<T>>| q.front().map(|w| now.saturating_sub(w.arrived_at));
        let is_late = |class: RequestClass| {
            age(&self.queues[class as usize]).is_some_and(|age| age > class.timeout_ms() / 2)
        };
        self.served = self.served.wrapping_add(1);
        let class = if !RequestClass::ALL.into_iter().any(is_late) {
            // No class is late: serve in order of arrival.
            let arrived_at =
                |c: &RequestClass| self.queues[*c as usize].front().map(|w| w.arrived_at);
            RequestClass::ALL
                .into_iter()
                .filter(|c| arrived_at(c).is_some())
                .min_by_key(arrived_at)?
        } else if self.served.is_multiple_of(FAIR_SERVE_INTERVAL) {
            // The class whose oldest request has waited longest relative to its timeout.
            let waited_permille = |c: &RequestClass| {
                age(&self.queues[*c as usize]).map(|a| a * 1000 / c.timeout_ms().max(1))
            };
            RequestClass::ALL
                .into_iter()
                .filter(|c| waited_permille(c).is_some())
                .max_by_key(waited_permille)?
        } else {
            RequestClass::ALL.into_iter().find(|c| !self.queues[*c as usize].is_empty())?
        };
        let class_is_late = is_late(class);
        let queue = &mut self.queues[class as usize];
        let next = if class_is_late { queue.pop_back() } else { queue.pop_front() };
        next.map(|w| w.item)
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How long the oldest request has waited.
    pub fn oldest_ms(&self, now: u64) -> u64 {
        let oldest = self.queues.iter().filter_map(|q| q.front()).map(|w| w.arrived_at).min();
        oldest.map_or(0, |at| now.saturating_sub(at))
    }
}
