//! Handling of lasting overload: every controller measures demand and capacity, and all order their
//! queues by one overload quota.

mod overload;
pub(crate) mod state;
