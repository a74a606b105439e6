//! Clients of the state service, the cloud API and the workers, and the controller mesh.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod cloud;
pub mod http;
pub mod mesh;
pub mod store;
pub mod workers;
