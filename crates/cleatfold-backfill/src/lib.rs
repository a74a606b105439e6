//! Profiles of free resources, reservations, pool choice and queue order. Pure: no I/O and no clock.

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
