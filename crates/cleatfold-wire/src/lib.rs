//! All message formats that cross a socket, and the identifier types they share.
//!
//! Only this crate contains the field names of the protocol. The other crates, and clients built on this
//! one, use the English names of its types.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod cloud;
pub mod ids;
pub mod job;
pub mod losses;
pub mod mesh;
pub mod name;
pub mod steps;
pub mod store;
pub mod team;
pub mod worker;

pub use ids::*;
