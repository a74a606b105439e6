//! Image distribution: images that many machines want at once. Which machine fetches when, and from the origin
//! or from which peer.
//!
//! Pure: no I/O and no clock. `docs/weights.md` argues.

mod deal;
mod distributor;
mod origin;
mod pieces;
mod record;
mod settings;

pub use deal::{deal, order, Want, COPIES, LINE};
pub use distributor::{ImageDistributor, Seen, Turn, View};
pub use origin::{OriginRecord, Slot};
pub use pieces::{digest, Fetch, Next, Pieces};
pub use record::{Names, SpreadRecord};
pub use settings::Settings;
