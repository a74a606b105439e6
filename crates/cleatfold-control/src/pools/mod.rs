//! Pools that this controller owns: ownership, worker heartbeats, and the authority to answer a
//! worker.

mod heartbeats;
pub(crate) mod long_polls;
pub(crate) mod ownership;
mod tasks;
mod worker_authority;
