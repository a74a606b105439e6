//! What only one controller may do at a time: who holds it, and what may be asked of the cloud
//! under it.
//!
//! A role is a key in the state service under its holder's lease; the key's version is the role's
//! epoch, and every transaction of the role is guarded by it. The cloud knows no epochs, so a
//! rental is first a durable intent. Pure: no I/O and no clock. `docs/roles.md` argues.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod role;
pub mod role_assignment;
pub mod scale_out;
mod vacancies;

pub use role::Role;
pub use role_assignment::RoleAssignment;
pub use scale_out::{Answer, ScaleOutIntent, ScaleOutIntents, ScaleOutTracker};
pub use vacancies::Vacancies;
