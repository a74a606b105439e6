//! Availability profiles, reservations, pool selection, preemption and queue order. Pure: no I/O and
//! no clock.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod availability;
pub mod order;
pub mod pools;
pub mod preemption;
pub mod profile;
mod quota_slice;
pub mod resources;

pub use availability::AvailabilityProfile;
pub use profile::{plan, MachineProfile, Request, Reservation};
pub use quota_slice::SliceDemand;
pub use resources::Resources;
