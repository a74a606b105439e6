//! What of the jobs' news is recorded, and when: changes to the state service are what runs
//! short first. Decisions only; no rule rests on any of them, since whatever is recorded later is
//! still with the workers, who keep an exited task in their reports until they are told to
//! forget it.

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
