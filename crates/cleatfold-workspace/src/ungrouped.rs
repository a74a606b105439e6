//! What has ended and is in no group yet, and when it becomes one.

use crate::{HistoryEntry, HistoryHead};
use cleatfold_wire::{JobId, TeamId};
use std::collections::BTreeMap;

/// So many jobs make a group that may be written as soon as there are changes to spare.
pub const MIN_GROUP_ENTRIES: usize = 40;
/// No group has more. Whoever looks for an entry's group looks so far back.
pub const MAX_GROUP_ENTRIES: usize = 200;
/// A head that lags so many revisions behind is brought up even for few jobs, or none: whoever keeps the
/// team next then reads what has ended since, of which the state service keeps 10,000 changes.
pub const MAX_HEAD_LAG: u64 = 3000;
/// Of a team that nobody keeps so many are held in memory.
const MAX_UNOWNED_ENTRIES: usize = 20_000;

/// Ended jobs of one team, in order.
#[derive(Debug, Default)]
struct UngroupedEntries {
    entries: BTreeMap<(u64, JobId), (HistoryEntry, usize)>,
    /// Complete from this revision on; none: from where everything is.
    from: Option<u64>,
}

/// An ended job, as the archive's record has it, and the record's version.
#[derive(Clone, Debug)]
pub struct JobEnd {
    /// The revision that ended the job.
    pub version: u64,
    /// Its team.
    pub team: TeamId,
    /// Its entry in the history.
    pub entry: HistoryEntry,
}

/// What has ended, of all teams, without gaps between two revisions. What is in a team's groups is let go.
#[derive(Debug, Default)]
pub struct UngroupedHistory {
    /// Everything that ended after the first and up to the second revision has been read.
    read: Option<(u64, u64)>,
    ungrouped: BTreeMap<TeamId, UngroupedEntries>,
}

/// A piece of a tail that becomes a group: the next head, and how many jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupWrite {
    /// What is to be written.
    pub entries: Vec<HistoryEntry>,
    /// The head as it will be.
    pub head: HistoryHead,
    /// It goes even where changes are short.
    pub is_urgent: bool,
}

impl UngroupedHistory {
    /// All that ended after `from`, read at the revision `to`. Where it does not join what was read
    /// before, all of that is dropped: a gap would be a job without a number.
    pub fn add_revisions(&mut self, from: u64, to: u64, ends: impl IntoIterator<Item = JobEnd>) {
        match &mut self.read {
            Some((least, most)) if from <= *most && to >= *least => {
                *least = from.min(*least);
                *most = to.max(*most);
            }
            _ => {
                self.read = Some((from, to));
                self.ungrouped.clear();
            }
        }
        for end in ends {
            self.ungrouped.entry(end.team.clone()).or_default().insert(end);
        }
        let to = self.read.map_or(0, |r| r.1);
        for ungrouped in self
            .ungrouped
            .values_mut()
            .filter(|t| t.entries.len() > MAX_UNOWNED_ENTRIES && t.from.is_none())
        {
            ungrouped.entries.clear();
            ungrouped.from = Some(to);
        }
    }

    /// All that ended after `from` of one team, found by going through the whole archive from the
    /// revision `at` on. Only of use where what ended since `at` has been read.
    pub fn add_archive_listing(
        &mut self,
        team: &TeamId,
        from: u64,
        at: u64,
        ends: Vec<JobEnd>,
    ) -> bool {
        if self.read.is_none_or(|r| r.0 > at) {
            return false;
        }
        let ungrouped = self.ungrouped.entry(team.clone()).or_default();
        ends.into_iter().for_each(|end| ungrouped.insert(end));
        ungrouped.from = Some(from);
        true
    }

    /// Up to where everything has been read.
    pub fn read_up_to(&self) -> Option<u64> {
        self.read.map(|r| r.1)
    }

    /// From which revision on ends are known.
    pub fn read_since(&self) -> Option<u64> {
        self.read.map(|r| r.0)
    }

    /// What has ended since this head was written is known to the last job.
    pub fn covers(&self, team: &TeamId, head: &HistoryHead) -> bool {
        let Some((from, _)) = self.read else { return false };
        let from = self.ungrouped.get(team).and_then(|t| t.from).unwrap_or(from);
        from <= head.upto
    }

    /// What is in groups need not be held.
    pub fn remove_grouped(&mut self, team: &TeamId, head: &HistoryHead) {
        let Some(ungrouped) = self.ungrouped.get_mut(team) else { return };
        while ungrouped.entries.first_key_value().is_some_and(|(at, _)| at.0 <= head.upto) {
            ungrouped.entries.pop_first();
        }
    }

    /// Ended jobs that are in no group by this head, with their numbers.
    pub fn ungrouped<'a>(
        &'a self,
        team: &TeamId,
        head: &HistoryHead,
    ) -> impl Iterator<Item = (u64, &'a HistoryEntry)> + 'a {
        let from = head.upto;
        let entries = self.ungrouped.get(team).into_iter().flat_map(|t| t.entries.iter());
        let beyond = entries.filter(move |(at, _)| at.0 > from).map(|(_, (e, _))| e);
        (head.entries..).zip(beyond)
    }

    /// What is to be written of a team's history now, `bytes` being what a record may have. Only for
    /// a head that is covered.
    pub fn next_group(
        &self,
        team: &TeamId,
        head: &HistoryHead,
        bytes: usize,
    ) -> Option<GroupWrite> {
        let (_, to) = self.read?;
        let lags = to.saturating_sub(head.upto) >= MAX_HEAD_LAG;
        let ungrouped = self.ungrouped.get(team);
        let beyond = || {
            let entries = ungrouped.into_iter().flat_map(|t| t.entries.iter());
            entries.filter(|(at, _)| at.0 > head.upto)
        };
        let (mut entries, mut next) = (Vec::new(), head.clone());
        let (mut length, mut full) = (0, false);
        for ((version, _), (entry, own)) in beyond() {
            // Never between two that ended in the same change: the head could not say where it stands.
            let boundary = *version > next.upto;
            let enough = length + own > bytes / 2 || entries.len() >= MAX_GROUP_ENTRIES;
            if boundary && enough && !entries.is_empty() {
                full = true;
                break;
            }
            length += own;
            next.upto = *version;
            next.entries += 1;
            entries.push(entry);
        }
        if !full {
            next.upto = to.max(head.upto);
        }
        (full || lags || entries.len() >= MIN_GROUP_ENTRIES).then(|| GroupWrite {
            entries: entries.into_iter().cloned().collect(),
            head: next,
            is_urgent: lags,
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
