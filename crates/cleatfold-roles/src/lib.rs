//! Exclusive controller roles: which controller holds each of them, and the scale-out requests made under one.
//!
//! A role is a key in the state service under its holder's lease; the key's version is the role's
//! epoch, and every transaction of the role is guarded by it. The cloud does not check epochs, so every
//! scale-out request is stored as a durable intent first. Pure: no I/O and no clock. `docs/roles.md` gives the
//! reasons.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod ownership_tracker;
pub mod role;
pub mod role_assignment;
pub mod scale_out;

pub use ownership_tracker::OwnershipTracker;
pub use role::Role;
pub use role_assignment::RoleAssignment;
pub use scale_out::{ScaleOutIntent, ScaleOutIntents, ScaleOutOutcome, ScaleOutTracker};
