//! Workspaces: each team's jobs, queue and history, owned by one controller at a time.
//!
//! A workspace's owner is named by a key of the state service; the key's version is the token that
//! guards every write of the owner. Pure: no I/O and no clock. The design is explained in `docs/workspaces.md`.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod entry;
mod history;
pub mod owner;
pub mod page;
mod ungrouped;

pub use entry::{HistoryEntry, HistoryGroup};
pub use history::{HistoryHead, HistoryRetention, Summary};
pub use ungrouped::{
    GroupWrite, JobEnd, UngroupedHistory, MAX_GROUP_ENTRIES, MAX_HEAD_LAG, MIN_GROUP_ENTRIES,
};
