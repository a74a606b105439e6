//! Admission: which requests are served, in which order, and which are rejected.
//!
//! Pure decisions without I/O or a clock: times are milliseconds on the caller's monotonic clock.
//! `docs/overload.md` gives the reasons.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod change_rate_limiter;
mod connections;
mod outgoing_queue;
mod poll_schedule;
mod pressure;
mod request_class;
mod request_queue;
mod retry;
mod submission_queue;
mod write_pacer;

pub use change_rate_limiter::{ChangeRateLimiter, MAX_DEBT_S};
pub use connections::{Connection, ConnectionId, ConnectionTable};
pub use outgoing_queue::OutgoingQueue;
pub use poll_schedule::{PollSchedule, SLOTS_PER_ROUND, SLOT_MS};
pub use pressure::{Level, Pressure};
pub use request_class::RequestClass;
pub use request_queue::RequestQueue;
pub use retry::{Backoff, CircuitBreaker, RetryBudget};
pub use submission_queue::SubmissionQueue;
pub use write_pacer::{PacerLimits, WritePacer, WritePurpose};
