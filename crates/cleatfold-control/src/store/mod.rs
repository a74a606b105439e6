//! The state service as one controller sees it: the cache of its records, the session that keeps the
//! cache current, the records' forms, and what is done about transactions without an answer.

pub(crate) mod cache;
pub(crate) mod calls;
pub(crate) mod format;
pub(crate) mod format_check;
mod loss_records;
pub mod records;
pub(crate) mod sent;
pub(crate) mod session;
mod unknown_outcomes;
