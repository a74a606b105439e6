//! Classes of requests, and how long their askers wait.

/// In the order in which they are served when not all can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A worker that holds tasks: without an answer its lease runs out and they are lost.
    Busy,
    /// Submissions, cancellations, members' steps.
    Ask,
    /// A worker that holds nothing.
    Idle,
    /// A user's question.
    Poll,
}

/// Reports that may wait at one time. All workers of a large deployment (4,000 machines and more)
/// may come to one controller at the same moment, when the others have just ended.
const WORKER_BOUND: usize = 8_192;

impl Class {
    /// All classes, in the order in which they are served.
    pub const ALL: [Class; 4] = [Class::Busy, Class::Ask, Class::Idle, Class::Poll];

    /// After so long the asker has left (PROTOCOL: a worker after 4 s, a user's request after
    /// 5 s, a poll after 2 s), less a moment for the answer's way back.
    pub fn patience_ms(self) -> u64 {
        match self {
            Class::Busy | Class::Idle => 3800,
            Class::Ask => 4500,
            Class::Poll => 1800,
        }
    }

    /// So many may wait at one time. What is above could not be answered before it has left.
    pub fn bound(self) -> usize {
        match self {
            Class::Busy | Class::Idle => WORKER_BOUND,
            Class::Ask => 512,
            Class::Poll => 1024,
        }
    }
}
