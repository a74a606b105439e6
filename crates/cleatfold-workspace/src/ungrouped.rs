//! Ended jobs that are not in a stored group yet, and when they are written as one.

use crate::{HistoryEntry, HistoryHead};
use cleatfold_wire::{JobId, TeamId};
use std::collections::BTreeMap;

/// Number of jobs from which a group is written when the change rate permits.
pub const MIN_GROUP_ENTRIES: usize = 40;
/// Maximum number of entries of a group; a search for an entry's group starts this far before the entry.
pub const MAX_GROUP_ENTRIES: usize = 200;
/// Lag in revisions from which a head is updated even for few jobs, or none: the team's next owner has to read
/// all changes since the head, and the state service retains only 10,000.
pub const MAX_HEAD_LAG: u64 = 3000;
/// Maximum number of entries in memory for a team that has no owner to write them.
const MAX_UNOWNED_ENTRIES: usize = 20_000;

/// Ended jobs of one team in the order of their revisions, each with its encoded length.
#[derive(Debug, Default)]
struct UngroupedEntries {
    entries: BTreeMap<(u64, JobId), (HistoryEntry, usize)>,
    /// Complete from this revision on; `None`: from the start of the revisions read for all teams.
    from: Option<u64>,
}

/// An ended job as read from its archive record.
#[derive(Clone, Debug)]
pub struct JobEnd {
    /// The revision that ended the job.
    pub version: u64,
    /// Its team.
    pub team: TeamId,
    /// Its entry in the history.
    pub entry: HistoryEntry,
}

/// Ended jobs of all teams, without gaps in a range of revisions. Jobs that are in a stored group are dropped.
#[derive(Debug, Default)]
pub struct UngroupedHistory {
    /// All jobs that ended after the first and up to the second revision have been read.
    read_range: Option<(u64, u64)>,
    ungrouped: BTreeMap<TeamId, UngroupedEntries>,
}

/// The next group to write, with the head that results from it.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupWrite {
    /// The entries of the group.
    pub entries: Vec<HistoryEntry>,
    /// The head after the write.
    pub head: HistoryHead,
    /// To be written even if the change rate is limited.
    pub is_urgent: bool,
}

impl UngroupedHistory {
    /// Adds all jobs that ended after `from` and up to `to`. If this range does not adjoin the range read
    /// before, the earlier entries are dropped: a job missing from a gap would shift all later numbers.
    pub fn add_revisions(&mut self, from: u64, to: u64, ends: impl IntoIterator<Item = JobEnd>) {
        match &mut self.read_range {
            Some((start, end)) if from <= *end && to >= *start => {
                *start = from.min(*start);
                *end = to.max(*end);
            }
            _ => {
                self.read_range = Some((from, to));
                self.ungrouped.clear();
            }
        }
        for end in ends {
            self.ungrouped.entry(end.team.clone()).or_default().insert(end);
        }
        let to = self.read_range.map_or(0, |r| r.1);
        for ungrouped in self
            .ungrouped
            .values_mut()
            .filter(|t| t.entries.len() > MAX_UNOWNED_ENTRIES && t.from.is_none())
        {
            ungrouped.entries.clear();
            ungrouped.from = Some(to);
        }
    }

    /// Adds all jobs of one team that ended after `from`, found by listing the whole archive at or after the
    /// revision `at`. Returns false and ignores them if changes since `at` have not all been read.
    pub fn add_archive_listing(
        &mut self,
        team: &TeamId,
        from: u64,
        at: u64,
        ends: Vec<JobEnd>,
    ) -> bool {
        if self.read_range.is_none_or(|r| r.0 > at) {
            return false;
        }
        let ungrouped = self.ungrouped.entry(team.clone()).or_default();
        ends.into_iter().for_each(|end| ungrouped.insert(end));
        ungrouped.from = Some(from);
        true
    }

    /// The last revision up to which all changes have been read.
    pub fn read_up_to(&self) -> Option<u64> {
        self.read_range.map(|r| r.1)
    }

    /// The revision after which all changes have been read.
    pub fn read_since(&self) -> Option<u64> {
        self.read_range.map(|r| r.0)
    }

    /// Whether all jobs that ended after this head are known.
    pub fn covers(&self, team: &TeamId, head: &HistoryHead) -> bool {
        let Some((from, _)) = self.read_range else { return false };
        let from = self.ungrouped.get(team).and_then(|t| t.from).unwrap_or(from);
        from <= head.upto
    }

    /// Drops the entries that are in stored groups.
    pub fn remove_grouped(&mut self, team: &TeamId, head: &HistoryHead) {
        let Some(ungrouped) = self.ungrouped.get_mut(team) else { return };
        while ungrouped.entries.first_key_value().is_some_and(|(at, _)| at.0 <= head.upto) {
            ungrouped.entries.pop_first();
        }
    }

    /// The entries after this head, with their numbers.
    pub fn ungrouped<'a>(
        &'a self,
        team: &TeamId,
        head: &HistoryHead,
    ) -> impl Iterator<Item = (u64, &'a HistoryEntry)> + 'a {
        let from = head.upto;
        let entries = self.ungrouped.get(team).into_iter().flat_map(|t| t.entries.iter());
        let newer = entries.filter(move |(at, _)| at.0 > from).map(|(_, (e, _))| e);
        (head.entries..).zip(newer)
    }

    /// The group of a team's history that is due, if any; a record may have at most `max_bytes` bytes. The head must
    /// be covered.
    pub fn next_group(
        &self,
        team: &TeamId,
        head: &HistoryHead,
        max_bytes: usize,
    ) -> Option<GroupWrite> {
        let (_, to) = self.read_range?;
        let is_lagging = to.saturating_sub(head.upto) >= MAX_HEAD_LAG;
        let ungrouped = self.ungrouped.get(team);
        let newer = || {
            let entries = ungrouped.into_iter().flat_map(|t| t.entries.iter());
            entries.filter(|(at, _)| at.0 > head.upto)
        };
        let (mut entries, mut next) = (Vec::new(), head.clone());
        let (mut length, mut is_full) = (0, false);
        for ((version, _), (entry, entry_length)) in newer() {
            // Jobs that ended in the same change stay in one group: the head's revision could not separate them.
            let is_boundary = *version > next.upto;
            let is_long_enough =
                length + entry_length > max_bytes / 2 || entries.len() >= MAX_GROUP_ENTRIES;
            if is_boundary && is_long_enough && !entries.is_empty() {
                is_full = true;
                break;
            }
            length += entry_length;
            next.upto = *version;
            next.entries += 1;
            entries.push(entry);
        }
        if !is_full {
            next.upto = to.max(head.upto);
        }
        (is_full || is_lagging || entries.len() >= MIN_GROUP_ENTRIES).then(|| GroupWrite {
            entries: entries.into_iter().cloned().collect(),
            head: next,
            is_urgent: is_lagging,
        })
    }
}

impl UngroupedEntries {
    fn insert(&mut self, end: JobEnd) {
        let at = (end.version, end.entry.job.clone());
        self.entries.entry(at).or_insert_with(|| {
            let length = end.entry.encoded_len();
            (end.entry, length)
        });
    }
}
