//! Decides which updates of jobs are written to the state service, and when: the write rate of the state service
//! is the first resource to run short. No correctness rule depends on these decisions, because workers keep an
//! exited task in their reports until a controller tells them to drop it.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod parts;
mod pending_updates;

pub use parts::{claim_order, PendingPartUpdates, Selection};
pub use pending_updates::PendingUpdates;
