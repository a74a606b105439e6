//! What changes to the state service are spent on: the keys that transactions write, counted by kind.
//!
//! The service limits puts and deletes, however many of them a transaction joins. So what a job costs is the number
//! of keys that are written for it.

use cleatfold_control::records::{self, JobRecord, Key, TaskTable};
use cleatfold_fakes::store::Store;
use cleatfold_wire::store::{Change, Txn};
use cleatfold_wire::{Attempt, TaskIx};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};

/// Why a key is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeKind {
    /// The first record of a job.
    Acceptance,
    /// A record that has a claim which it did not have before; it may record ends as well.
    Claim,
    /// A record without new claims: ends of claims only.
    End,
    /// A live record that says from now on that its job is cancelled.
    Cancellation,
    /// The record of how a job ended.
    Archive,
    /// The removal of an ended job's live record.
    Removal,
    /// Progress of elastic jobs.
    Steps,
    /// A team's limit cut into parts of pools.
    Slice,
    /// Teams' histories and logs of losses, their heads and workspaces.
    History,
    /// Controllers, pools, roles and all else.
    Control,
    /// Any key of a transaction that failed by its guards.
    Conflict,
}

impl ChangeKind {
    pub const ALL: [ChangeKind; 11] = [
        ChangeKind::Acceptance,
        ChangeKind::Claim,
        ChangeKind::End,
        ChangeKind::Cancellation,
        ChangeKind::Archive,
        ChangeKind::Removal,
        ChangeKind::Steps,
        ChangeKind::Slice,
        ChangeKind::History,
        ChangeKind::Control,
        ChangeKind::Conflict,
    ];
}

/// Changes that reached the state service so far, by kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeCounts(BTreeMap<ChangeKind, u64>);

impl ChangeCounts {
    pub fn of(&self, kind: ChangeKind) -> u64 {
        self.0.get(&kind).copied().unwrap_or(0)
    }

    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    pub(super) fn add(&mut self, kinds: Vec<ChangeKind>) {
        for kind in kinds {
            *self.0.entry(kind).or_default() += 1;
        }
    }

    pub(super) fn add_conflict(&mut self, txn: &Txn) {
        self.add(vec![ChangeKind::Conflict; txn.changes.len()]);
    }
}

/// The kinds of a transaction's changes, by what stands before it is carried out.
pub(super) fn kinds(store: &Store, txn: &Txn) -> Vec<ChangeKind> {
    txn.changes.iter().map(|change| kind(store, change)).collect()
}

fn kind(store: &Store, change: &Change) -> ChangeKind {
    let Some(key) = change.put.as_ref().or(change.delete.as_ref()) else {
        return ChangeKind::Control;
    };
    if key.starts_with(records::ARCHIVE_PREFIX) {
        return ChangeKind::Archive;
    }
    if key.starts_with(records::HISTORY_LOG_PREFIX) || key.starts_with(records::LOSS_LOG_PREFIX) {
        return ChangeKind::History;
    }
    let before = store.get(key);
    let before = before.as_ref().map(|item| item.value.get());
    let after = change.value.as_ref().map(|value| value.get());
    match records::parse_key(key) {
        Some(Key::Job(_)) => match (before, after) {
            (_, None) => ChangeKind::Removal,
            (None, Some(_)) => ChangeKind::Acceptance,
            (Some(before), Some(after)) => kind_of_record(&read(before), &read(after)),
        },
        // A part that is complete goes with its last end.
        Some(Key::Part(..)) => match after {
            None => ChangeKind::End,
            Some(after) => {
                kind_of_table(&before.map(read::<TaskTable>).unwrap_or_default(), &read(after))
            }
        },
        Some(Key::Progress(..)) => ChangeKind::Steps,
        Some(Key::Slice(_)) => ChangeKind::Slice,
        Some(Key::LossHead(_) | Key::Workspace(_) | Key::History(_)) => ChangeKind::History,
        _ => ChangeKind::Control,
    }
}

fn kind_of_record(before: &JobRecord, after: &JobRecord) -> ChangeKind {
    if after.aborted && !before.aborted {
        return ChangeKind::Cancellation;
    }
    // Of a job in parts the head is written with the claim that binds its zone.
    if after.zone.is_some() && before.zone.is_none() {
        return ChangeKind::Claim;
    }
    kind_of_table(&before.table, &after.table)
}

fn kind_of_table(before: &TaskTable, after: &TaskTable) -> ChangeKind {
    match claims(after).is_subset(&claims(before)) {
        true => ChangeKind::End,
        false => ChangeKind::Claim,
    }
}

fn claims(table: &TaskTable) -> BTreeSet<(TaskIx, Attempt)> {
    table.claims.iter().flat_map(|group| group.tasks.iter().copied()).collect()
}

fn read<T: DeserializeOwned>(value: &str) -> T {
    serde_json::from_str(value).expect("a record that a controller wrote")
}
