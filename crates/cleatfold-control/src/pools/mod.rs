//! Pools that this controller owns: ownership, heartbeats of their workers, and the authority to
//! answer a worker.

pub(crate) mod heartbeats;
mod worker_authority;
