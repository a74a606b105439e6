//! Scheduling decisions from the state cache and the machine inventory: queue order, reservations,
//! placement requests and preemption.

pub(crate) mod evictions;
pub(crate) mod planning;
mod preemption;
mod priority;
pub(crate) mod priority_state;
pub(crate) mod queue;
