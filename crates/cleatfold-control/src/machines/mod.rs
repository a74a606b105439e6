//! Machines: the inventory, what the cloud and silence tell of them, and scaling out and in.

pub(crate) mod cloud;
pub(crate) mod deleted;
pub(crate) mod inventory;
pub(crate) mod scale_out;
mod watch;
