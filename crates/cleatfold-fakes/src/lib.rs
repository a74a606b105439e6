//! Fakes of the systems around a controller, as the protocol describes them: the state service, the
//! cloud, the workers with their images and elastic members. Pure: they are given the time.
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
