//! What a controller keeps in memory, by area of work.
//!
//! Nothing in here knows the controller (`Controller`): these are its parts, so it imports them, and the modules
//! that act on them through the controller import both.

pub(crate) mod admission;
pub(crate) mod cancellations;
pub(crate) mod evictions;
pub(crate) mod format;
pub(crate) mod image_distribution;
pub(crate) mod jobs;
pub(crate) mod losses;
pub(crate) mod priority;
pub(crate) mod reachability;
pub(crate) mod sent;
pub(crate) mod steps;
pub(crate) mod teams;
pub(crate) mod workspaces;
