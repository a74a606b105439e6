//! Classes of requests, and how long their askers wait.

/// In the order in which they are served when not all can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// A worker that holds tasks: without an answer its lease runs out and they are lost.
    BusyHeartbeat,
    /// Submissions, cancellations, members' steps.
    UserRequest,
    /// A worker that holds nothing.
    IdleHeartbeat,
    /// A question about a job or a team.
    Poll,
}

/// Heartbeats that may wait at one time. All workers of a large deployment (4,000 machines and more)
/// may come to one controller at the same moment, when the others have just ended.
const MAX_WAITING_HEARTBEATS: usize = 8_192;

impl RequestClass {
    /// All classes, in the order in which they are served.
    pub const ALL: [RequestClass; 4] = [
        RequestClass::BusyHeartbeat,
        RequestClass::UserRequest,
        RequestClass::IdleHeartbeat,
        RequestClass::Poll,
    ];

    /// How long a request is worth an answer: after this time the asker has left (PROTOCOL: a worker after 4 s, a user's request after
    /// 5 s, a poll after 2 s), less a moment for the answer's way back.
    pub fn timeout_ms(self) -> u64 {
        match self {
            RequestClass::BusyHeartbeat | RequestClass::IdleHeartbeat => 3800,
            RequestClass::UserRequest => 4500,
            RequestClass::Poll => 1800,
        }
    }

    /// How many requests may wait. What is above could not be answered before its asker has left.
    pub fn queue_limit(self) -> usize {
        match self {
            RequestClass::BusyHeartbeat | RequestClass::IdleHeartbeat => MAX_WAITING_HEARTBEATS,
            RequestClass::UserRequest => 512,
            RequestClass::Poll => 1024,
        }
    }
}
