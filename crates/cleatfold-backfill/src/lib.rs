//! Charts, reservations, pool choice and queue order. Pure: no I/O and no clock.

pub mod chart;
pub mod order;
pub mod pools;
pub mod resources;
pub mod timeline;
pub mod victims;

pub use chart::{plan, MachineChart, Request, Reservation};
pub use resources::Resources;
pub use timeline::Timeline;
