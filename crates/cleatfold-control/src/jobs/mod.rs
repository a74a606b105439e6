//! Jobs from submission to completion: user requests, transactions on job records, step reports of
//! elastic jobs, cancellation, fault attribution, and lookups of ended jobs in the archive.

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
