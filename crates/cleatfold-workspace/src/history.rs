//! The stored history of ended jobs and its retention.

use cleatfold_wire::job::Urgency;
use cleatfold_wire::ClassId;
use serde::{Deserialize, Serialize};

/// The part of an ended job's archive record that its team's history shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The job's class.
    #[serde(rename = "c")]
    pub class: ClassId,
    /// Its urgency.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// How many tasks it had.
    #[serde(rename = "t")]
    pub tasks: u32,
    /// Time of day of its acceptance, in milliseconds.
    #[serde(rename = "a")]
    pub accepted_ms: u64,
    /// Time of day when one of its tasks was first claimed, in milliseconds; `None`: never.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    /// Time of day of its end, in milliseconds.
    #[serde(rename = "z")]
    pub ended_ms: u64,
    /// Processor time of all its attempts, including lost ones, in milliseconds.
    #[serde(rename = "r", default)]
    pub cpu_ms: u64,
}

/// The extent of a team's stored history: the entries `first..entries` are stored in groups that are named by
/// the number of their first entry. They include every job of the team that ended up to the revision `upto` of
/// the state service and has not expired. Jobs are ordered by the revisions that ended them, so every controller
/// that knows a head and all jobs that ended since assigns them the same numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryHead {
    /// The number of the oldest retained entry.
    #[serde(rename = "f", default)]
    pub first: u64,
    /// The number of the next entry. Entries are numbered without gaps.
    #[serde(rename = "e", default)]
    pub entries: u64,
    /// Jobs that ended up to this revision are included.
    #[serde(rename = "v", default)]
    pub upto: u64,
}

/// How much of each team's history is retained: `history { ... }` in the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename = "Keep", deny_unknown_fields, default)]
pub struct HistoryRetention {
    /// Number of retained jobs of each team. Older ones are deleted in whole groups.
    pub jobs: u64,
    /// Age in days after which jobs are deleted in any case.
    pub days: f64,
}

impl Default for HistoryRetention {
    fn default() -> Self {
        Self { jobs: 100_000, days: 400.0 }
    }
}

impl HistoryRetention {
    /// Selects the groups to delete. `oldest` lists the oldest groups: the number of the first entry, the
    /// length, and when the last job ended, if known. Returns the names of the expired groups and the number of
    /// the first entry that is retained.
    pub fn expired_groups(
        &self,
        head: &HistoryHead,
        oldest: &[(u64, u64, Option<u64>)],
        now_ms: u64,
    ) -> (Vec<u64>, u64) {
        let mut names = Vec::new();
        let mut first = head.first;
        let age_ms = (self.days * 86_400_000.0) as u64;
        for &(name, length, ended_ms) in oldest {
            let end = name + length;
            // Only whole groups are deleted, and only if none of their entries has to be retained.
            let exceeds_count = head.entries.saturating_sub(end) >= self.jobs;
            let exceeds_age = ended_ms.is_some_and(|e| e.saturating_add(age_ms) < now_ms);
            // Groups before the first entry remain from a delete whose outcome was unknown.
            if !(exceeds_count || exceeds_age || end <= head.first) {
                break;
            }
            names.push(name);
            first = first.max(end);
        }
        (names, first)
    }
}
