//! What goes out next to a service that takes only so much.

use std::collections::VecDeque;

#[derive(Debug)]
struct Waiting<T> {
    at: u64,
    /// Changes that it makes; questions make none.
    changes: f64,
    item: T,
}

/// One of so many goes to the last urgency once something there has waited `LONG_MS`: what others need for
/// their answers must not wait for ever behind what goes first.
const FLOOR: u32 = 4;
const LONG_MS: u64 = 300;

/// Requests in urgencies, the first urgency first, each in order. What would only wait for changes to come
/// free holds up nobody who needs none. (Questions for ended jobs once waited behind claims until their
/// askers had left, for as long as changes were short.)
#[derive(Debug)]
pub struct OutgoingQueue<T> {
    queues: Vec<VecDeque<Waiting<T>>>,
    sent: u32,
}

impl<T> OutgoingQueue<T> {
    /// A queue of so many priorities.
    pub fn new(queues: usize) -> Self {
        Self { queues: (0..queues).map(|_| VecDeque::new()).collect(), sent: 0 }
    }

    /// Adds a request of a priority, the first being 0, that makes so many changes.
    pub fn push(&mut self, queue: usize, at: u64, changes: f64, item: T) {
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.push_back(Waiting { at, changes, item });
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// The next request that may go, with the changes it makes. `writes`: changes may go now.
    pub fn pop(&mut self, now: u64, writes: bool) -> Option<(f64, T)> {
        let may = |w: &Waiting<T>| writes || w.changes <= 0.0;
        let first = |queue: &VecDeque<Waiting<T>>| queue.iter().position(may);
        let last = self.queues.len().saturating_sub(1);
        let floor = self.sent % FLOOR == FLOOR - 1;
        let long = |at: usize| self.queues[last].get(at).is_some_and(|w| now >= w.at + LONG_MS);
        let kept = self.queues.last().and_then(first).filter(|&at| floor && long(at));
        let (queue, at) = match kept {
            Some(at) => (last, at),
            None => self.queues.iter().enumerate().find_map(|(i, l)| Some((i, first(l)?)))?,
        };
        self.sent = self.sent.wrapping_add(1);
        self.queues[queue].remove(at).map(|w| (w.changes, w.item))
    }
}
