//! What is kept of ended jobs.

use cleatfold_wire::job::Urgency;
use cleatfold_wire::ClassId;
use serde::{Deserialize, Serialize};

/// What an ended job's record keeps for its team's history.
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
    /// Times of day, in milliseconds.
    #[serde(rename = "a")]
    pub accepted_ms: u64,
    /// When a task of it was first claimed; none: never.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    /// Time of day of its end, in milliseconds.
    #[serde(rename = "z")]
    pub ended_ms: u64,
    /// Processor seconds of all its starts, lost ones too, in thousandths.
    #[serde(rename = "r", default)]
    pub cpu_ms: u64,
}

/// Where a team's history stands: its entries `first..entries` are there, in groups that are named by the
/// number of their first entry, and every job of the team that ended up to the revision `upto` of the
/// state service is one of them, or was one that has gone. Ended jobs are in the order of the revisions
/// that ended them, so whoever knows a head and all that ended since numbers them alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryHead {
    /// The number of the oldest entry that is kept.
    #[serde(rename = "f", default)]
    pub first: u64,
    /// The number of the next entry: entries are numbered without gaps.
    #[serde(rename = "e", default)]
    pub entries: u64,
    /// Ends up to this revision are in it.
    #[serde(rename = "v", default)]
    pub upto: u64,
}

/// How much of each team's history is kept: `history { ... }` in the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename = "Keep", deny_unknown_fields, default)]
pub struct HistoryRetention {
    /// Ended jobs of each team, at most; the oldest go by groups.
    pub jobs: u64,
    /// Days after which they go in any case.
    pub days: f64,
}

impl Default for HistoryRetention {
    fn default() -> Self {
        Self { jobs: 100_000, days: 400.0 }
    }
}

impl HistoryRetention {
    /// What of the oldest groups goes: each a first number, a length, and when its last job ended, if
    /// that is known. Returns the names of those that go and the number of the first entry that stays.
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
            let after = name + length;
            // A group goes whole, so nothing goes that is to be kept.
            let beyond = head.entries.saturating_sub(after) >= self.jobs;
            let old = ended_ms.is_some_and(|e| e.saturating_add(age_ms) < now_ms);
            // What lies before the first is what an unknown outcome left behind.
            if !(beyond || old || after <= head.first) {
                break;
            }
            names.push(name);
            first = first.max(after);
        }
        (names, first)
    }
}
