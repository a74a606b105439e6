//! Jobs from submission to their end: requests of users, the transactions on a job's records, steps
//! of elastic jobs, cancellations, failures, and the archive.

pub(crate) mod archive;
pub(crate) mod cancellation_state;
mod cancellations;
mod draft;
mod fault_attribution;
pub(crate) mod requests;
pub(crate) mod state;
pub(crate) mod step_reports;
mod steps;
pub(crate) mod submissions;
mod transaction;
mod write_batching;
