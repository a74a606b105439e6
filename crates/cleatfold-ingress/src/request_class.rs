//! Classes of requests, with their timeouts and queue limits.

/// Request classes in the order in which they are served under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// A heartbeat of a worker that holds tasks: without an answer its lease expires and the tasks
    /// are lost.
    BusyHeartbeat,
    /// Submissions, cancellations, step reports of members.
    UserRequest,
    /// A heartbeat of a worker without tasks.
    IdleHeartbeat,
    /// A query about a job or a team.
    Poll,
}

/// Maximum number of waiting heartbeats. All workers of a large deployment (4,000 machines and
/// more) may turn to one controller at the same moment, after the other controllers have stopped.
const MAX_WAITING_HEARTBEATS: usize = 8_192;

impl RequestClass {
    /// All classes, in the order in which they are served.
    pub const ALL: [RequestClass; 4] = [
        RequestClass::BusyHeartbeat,
        RequestClass::UserRequest,
        RequestClass::IdleHeartbeat,
        RequestClass::Poll,
    ];

    /// How long an answer is useful: the client's timeout (PROTOCOL: a worker's 4 s, a user
    /// request's 5 s, a poll's 2 s) less the time for sending the answer.
    pub fn timeout_ms(self) -> u64 {
        match self {
            RequestClass::BusyHeartbeat | RequestClass::IdleHeartbeat => 3800,
            RequestClass::UserRequest => 4500,
            RequestClass::Poll => 1800,
        }
    }

    /// Maximum number of waiting requests. Any more could not be answered within the timeout.
    pub fn queue_limit(self) -> usize {
        match self {
            RequestClass::BusyHeartbeat | RequestClass::IdleHeartbeat => MAX_WAITING_HEARTBEATS,
            RequestClass::UserRequest => 512,
            RequestClass::Poll => 1024,
        }
    }
}
