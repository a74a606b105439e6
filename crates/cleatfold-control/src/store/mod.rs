//! Access to the state service: the cache of its records, the session that keeps the cache current,
//! the record formats, and the handling of transactions whose reply is missing.

pub(crate) mod cache;
pub(crate) mod calls;
pub(crate) mod format;
pub(crate) mod format_check;
mod loss_records;
pub mod records;
pub(crate) mod send_status;
pub(crate) mod session;
mod unknown_outcomes;
