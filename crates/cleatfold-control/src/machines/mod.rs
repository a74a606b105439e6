//! Machines: the inventory, the cloud's machine list, failure detection, and scaling out and in.

pub(crate) mod cloud;
pub(crate) mod deleted;
pub(crate) mod inventory;
pub(crate) mod scale_out;
mod shortfall;
mod watch;
