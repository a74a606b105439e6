//! In-memory fakes of the systems that a controller works with, following their protocols: the state
//! service, the cloud, and workers with their images and members of elastic jobs. They perform no
//! I/O and take the current time as an argument.
//!
//! For tests and experiments only.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod cloud;
pub mod explore;
pub mod images;
pub mod member;
pub mod store;
pub mod worker;
