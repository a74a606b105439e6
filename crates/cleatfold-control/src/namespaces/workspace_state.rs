//! The workspaces that this controller owns, and the changes to their histories that are in flight.

use crate::event_number::EventNumber;
use crate::store::records::{HistoryGroup, HistoryHead};
use cleatfold_roles::OwnershipTracker;
use cleatfold_wire::store::{Item, Txn};
use cleatfold_wire::{JobId, Ms, TeamId, Version};
use cleatfold_workspace::{JobEnd, UngroupedHistory};
use std::collections::BTreeMap;

/// Ownership of workspaces, the ended jobs that no history holds yet, and when each was last
/// checked.
#[derive(Default)]
pub(crate) struct WorkspaceState {
    pub ownership_tracker: OwnershipTracker<TeamId>,
    pub owned: BTreeMap<TeamId, OwnedWorkspace>,
    pub ended_jobs: UngroupedHistory,
    /// The scan of the whole archive, while one is in progress.
    pub archive_scan: Option<ArchiveScan>,
    pub ownership_checked_at: Ms,
    pub histories_checked_at: Ms,
    /// When changes of the archive were last requested for the histories.
    pub archive_requested_at: Ms,
    /// The event at which a write of ownership records last failed or had an unknown outcome. No workspace is
    /// taken or handed over until the reply to a read that was sent since has arrived.
    pub ownership_uncertain_at: Option<EventNumber>,
}

/// A workspace that this controller owns under a fencing token.
pub(crate) struct OwnedWorkspace {
    pub token: Version,
    pub write_in_flight: bool,
    /// The event at which a write of the history last failed or had an unknown outcome. Nothing is written until
    /// the reply to a read that was sent since has arrived.
    pub history_uncertain_at: Option<EventNumber>,
    pub retention_checked_at: Ms,
    pub retention_running: bool,
    /// Groups that the next write deletes, and the number of the first entry that remains.
    pub expired_groups: (Vec<u64>, u64),
}

/// Ended jobs, ordered by the revision that ended them.
type EndedByRevision = BTreeMap<(u64, JobId), JobEnd>;

/// A scan of the whole archive, page by page.
#[derive(Default)]
pub(crate) struct ArchiveScan {
    /// By team: the revision after which its ended jobs are wanted, and those found so far.
    pub teams: BTreeMap<TeamId, (u64, EndedByRevision)>,
    /// The revision of the first page.
    pub first_page_revision: Option<u64>,
    pub next_page_from: Option<String>,
    pub page_requested: bool,
}

/// A change to a history whose outcome is not known yet.
#[derive(Debug)]
pub(crate) struct HistoryWrite {
    pub team: TeamId,
    pub token: Version,
    pub head: HistoryHead,
    pub txn: Txn,
}

/// Parses a history group and its number from a stored item. Returns `None` if it is unreadable.
pub(crate) fn parse_history_group(item: &Item) -> Option<(u64, HistoryGroup)> {
    let number = item.key.rsplit('/').next()?.parse().ok()?;
    match serde_json::from_str(item.value.get()) {
        Ok(group) => Some((number, group)),
        Err(error) => {
            tracing::error!(key = item.key, %error, "unreadable record");
            None
        }
    }
}
