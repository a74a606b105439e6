//! Admission: what is worked on, in which order, and who is turned away.
//!
//! Pure decisions, no I/O and no clock of their own: times are milliseconds on the caller's
//! steady clock. `docs/overload.md` says why they are what they are.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod change_rate_limiter;
mod class;
mod connections;
mod outgoing_queue;
mod poll_schedule;
mod pressure;
mod request_queue;
mod retry;
mod submission_queue;
mod write_pacer;

pub use change_rate_limiter::{ChangeRateLimiter, MAX_DEBT_S};
pub use class::RequestClass;
pub use connections::{Connection, ConnectionId, ConnectionTable};
pub use outgoing_queue::OutgoingQueue;
pub use poll_schedule::{PollSchedule, ROUND, TURN_MS};
pub use pressure::{Level, Pressure};
pub use request_queue::RequestQueue;
pub use retry::{Backoff, Breaker, RetryBudget};
pub use submission_queue::SubmissionQueue;
pub use write_pacer::{Need, PacerLimits, WritePacer};
