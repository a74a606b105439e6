//! Image distribution: decides when each machine fetches a large image, and whether it fetches from the origin
//! or from a peer.
//!
//! Pure: no I/O and no clock. The design is explained in `docs/image-distribution.md`.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod distributor;
mod origin;
mod pieces;
mod record;
mod settings;
mod slot_assignment;

pub use distributor::{DistributionInput, FetchSource, ImageDistributor, ObservedMachine};
pub use origin::{OriginRecord, Slot};
pub use pieces::{piece_digest, Fetch, FetchStep, ImageManifest};
pub use record::{ImageHoldersRecord, PackedMachineNames};
pub use settings::{OutOfRange, Settings};
pub use slot_assignment::{
    assign_slots, service_order, FetchRequest, MACHINES_PER_COPY, MAX_COPIES_PER_ZONE,
};
