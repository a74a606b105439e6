//! What waits to be worked on.

use crate::class::RequestClass;
use std::collections::VecDeque;

/// One of so many goes to a class that would otherwise be last, so that none starves.
const FAIR: u32 = 4;

#[derive(Debug)]
struct Waiting<T> {
    arrived: u64,
    item: T,
}

/// Requests in queues by class.
///
/// While all are answered in time, whoever came first is first. When some of a class are past
/// half of their patience, the newest goes first there: the oldest would be answered last of all
/// and for nothing, and everybody else a little too late. (First come, first served, each answer
/// is late as soon as the queue is longer than the patience, and stays so as long as everybody
/// asks again: no work is done for anyone.)
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
    /// Takes a request that arrived at `arrived`. Returns one that has to be turned away.
    pub fn push(&mut self, class: RequestClass, arrived: u64, item: T) -> Option<T> {
        let queue = &mut self.queues[class as usize];
        queue.push_back(Waiting { arrived, item });
        // The oldest is nearest to leaving by itself.
        if queue.len() > class.queue_limit() {
            return queue.pop_front().map(|w| w.item);
        }
        None
    }

    /// Those who have left by now, or will before an answer could reach them.
    pub fn expired(&mut self, now: u64) -> Vec<(RequestClass, T)> {
        let mut gone = Vec::new();
        for class in RequestClass::ALL {
            let queue = &mut self.queues[class as usize];
            while queue.front().is_some_and(|w| now.saturating_sub(w.arrived) > class.timeout_ms())
            {
                gone.extend(queue.pop_front().map(|w| (class, w.item)));
            }
        }
        gone
    }

    /// The request to be worked on next.
    pub fn pop(&mut self, now: u64) -> Option<T> {
        let age = |q: &VecDeque<Waiting<T>>| q.front().map(|w| now.saturating_sub(w.arrived));
        let late = |class: RequestClass| {
            age(&self.queues[class as usize]).is_some_and(|age| age > class.timeout_ms() / 2)
        };
        self.served = self.served.wrapping_add(1);
        let class = if !RequestClass::ALL.into_iter().any(late) {
            // Nobody is pressed: in the order of arrival.
            let arrived = |c: &RequestClass| self.queues[*c as usize].front().map(|w| w.arrived);
            RequestClass::ALL.into_iter().filter(|c| arrived(c).is_some()).min_by_key(arrived)?
        } else if self.served.is_multiple_of(FAIR) {
            // The longest kept waiting, against its patience.
            let waited = |c: &RequestClass| {
                age(&self.queues[*c as usize]).map(|a| a * 1000 / c.timeout_ms().max(1))
            };
            RequestClass::ALL.into_iter().filter(|c| waited(c).is_some()).max_by_key(waited)?
        } else {
            RequestClass::ALL.into_iter().find(|c| !self.queues[*c as usize].is_empty())?
        };
        let pressed = late(class);
        let queue = &mut self.queues[class as usize];
        let next = if pressed { queue.pop_back() } else { queue.pop_front() };
        next.map(|w| w.item)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How long the oldest has waited.
    pub fn oldest_ms(&self, now: u64) -> u64 {
        let oldest = self.queues.iter().filter_map(|q| q.front()).map(|w| w.arrived).min();
        oldest.map_or(0, |at| now.saturating_sub(at))
    }
}
