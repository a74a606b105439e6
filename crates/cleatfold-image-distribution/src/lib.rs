//! Image distribution: images that many machines want at once. Which machine fetches when, and from the origin
//! or from which peer.
//!
//! Pure: no I/O and no clock. `docs/image-distribution.md` argues.

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

pub use distributor::{ImageDistributor, Seen, Turn, View};
pub use origin::{OriginRecord, Slot};
pub use pieces::{digest, Fetch, Next, Pieces};
pub use record::{ImageHoldersRecord, Names};
pub use settings::{OutOfRange, Settings};
pub use slot_assignment::{assign_slots, order, Want, COPIES, LINE};
