//! The workspaces that a controller owns, and what is on its way to their histories.

use crate::store::records::{HistoryGroup, HistoryHead};
use cleatfold_roles::OwnershipTracker;
use cleatfold_wire::store::{Item, Txn};
use cleatfold_wire::{JobId, Ms, TeamId, Version};
use cleatfold_workspace::{Ended, JobEnd};
use std::collections::BTreeMap;

/// Which teams' workspaces are ours, and how far their histories are written.
#[derive(Default)]
pub(crate) struct Workspaces {
    pub vacancies: OwnershipTracker<TeamId>,
    pub kept: BTreeMap<TeamId, Kept>,
    pub ended: Ended,
    /// The whole archive is being gone through.
    pub listing: Option<Listing>,
    pub last_checked: Ms,
    pub wrote: Ms,
    pub followed: Ms,
    /// Nothing is taken or given before a reading sent after this.
    pub unsure: Option<Ms>,
}

/// A workspace of ours, under its token.
pub(crate) struct Kept {
    pub token: Version,
    pub writing: bool,
    /// Nothing is written before a reading sent after this.
    pub unsure: Option<Ms>,
    pub retention_checked_at: Ms,
    pub retention_running: bool,
    /// Groups that go with the next change, and the first entry that stays.
    pub gone: (Vec<u64>, u64),
}

/// Ended jobs by the revision that ended them.
type Found = BTreeMap<(u64, JobId), JobEnd>;

/// A reading of the whole archive, page by page.
#[derive(Default)]
pub(crate) struct Listing {
    /// By team: from which revision on its ended jobs are looked for, and what was found.
    pub teams: BTreeMap<TeamId, (u64, Found)>,
    /// The revision of the first page.
    pub at: Option<u64>,
    pub from: Option<String>,
    pub asked: bool,
}

/// A change to a history, until its outcome is known.
#[derive(Debug)]
pub(crate) struct Write {
    pub team: TeamId,
    pub token: Version,
    pub head: HistoryHead,
    pub txn: Txn,
}

/// A group of a history and its number; nothing if it cannot be read.
pub(crate) fn read_group(item: &Item) -> Option<(u64, HistoryGroup)> {
    let number = item.key.rsplit('/').next()?.parse().ok()?;
    match serde_json::from_str(item.value.get()) {
        Ok(group) => Some((number, group)),
        Err(error) => {
            tracing::error!(key = item.key, %error, "unreadable record");
            None
        }
    }
}
