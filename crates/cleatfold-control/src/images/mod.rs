//! Distribution of large images that many machines need at the same time.

mod distribution;
pub(crate) mod state;
