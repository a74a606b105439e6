//! Distribution of large images that many machines want at once.

mod distribution;
pub(crate) mod state;
