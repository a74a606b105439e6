//! Scheduling decisions from the state cache and the machine inventory: queue order, reservations,
//! placement requests and preemption, and what running tasks occupy.

pub(crate) mod evictions;
pub(crate) mod occupancy;
pub(crate) mod planning;
mod preemption;
mod priority;
pub(crate) mod priority_state;
pub(crate) mod queue;
