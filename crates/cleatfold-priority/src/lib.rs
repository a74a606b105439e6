//! Lanes: urgent work starts before background work, whoever plans and whoever fails.
//!
//! Pure: no I/O and no clock. `docs/lanes.md` argues.

mod decision;
mod gate;
mod inversions;
mod live;
mod place;

pub use decision::{MadeRecord, MadeRoom, Seen, Victim};
pub use gate::Gate;
pub use inversions::{inverts, Inversions, Start, Waiting};
pub use live::{believed, considers, lives, prompt_ms, Ears, Owner, Sent};
pub use place::{moments, place_of};
