//! Every format that crosses a socket, and the small types they share.
//!
//! This is the only place that knows the spelling of the protocol. The rest of the
//! workspace uses the field's English terms, and so can a client built on this crate.

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
