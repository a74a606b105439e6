//! What the controllers agree on while the region is overloaded.

use crate::size_classes::Sizes;
use cleatfold_wire::{ClassId, TeamId, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A team's jobs of one class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// The team.
    pub team: TeamId,
    /// The class of its jobs.
    pub class: ClassId,
}

/// One group that is not served in time by the ordinary order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The team.
    #[serde(rename = "q")]
    pub team: TeamId,
    /// The class of its jobs.
    #[serde(rename = "c")]
    pub class: ClassId,
    /// Processors in thousandths by which its class goes before everybody else.
    #[serde(rename = "f")]
    pub floor: i64,
    /// Work of its middle job, in processor-seconds.
    #[serde(rename = "t")]
    pub typical: u64,
    /// Its users' patience in milliseconds: by its most lenient aim.
    #[serde(rename = "p")]
    pub patience_ms: u64,
    /// Its jobs go so much later than others of their class: its team sends far more than an even
    /// part.
    #[serde(rename = "l", default)]
    pub later_ms: u64,
    /// New jobs with more work than this, in processor-seconds, are told to come back.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub most: Option<u64>,
    /// Its sizes apart, `floor` being the small ones'. None: as written before there were any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub sizes: Option<Sizes>,
}

impl Entry {
    fn floors(&self) -> [i64; 3] {
        let upper = self.sizes.as_ref().map_or((0, 0), |s| (s.middle, s.large));
        [self.floor, upper.0, upper.1]
    }
}

/// What is done about overload, under a number that only grows. Empty while there is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OverloadQuota {
    /// Grows with every decision.
    #[serde(rename = "g")]
    pub generation: u64,
    /// Under which version of the leader's key it was decided.
    #[serde(rename = "h", default)]
    pub epoch: Version,
    /// One for each group that is not served in time.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
}

impl OverloadQuota {
    /// The entry of a group.
    pub fn entry(&self, team: &TeamId, class: &ClassId) -> Option<&Entry> {
        self.entries.iter().find(|e| e.team == *team && e.class == *class)
    }

    /// Whether there is no overload.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a write of `next` is worth a change to the state service.
    pub fn differs(&self, next: &[Entry]) -> bool {
        let known: BTreeMap<_, _> = self.entries.iter().map(|e| ((&e.team, &e.class), e)).collect();
        known.len() != next.len()
            || next.iter().any(|n| {
                known.get(&(&n.team, &n.class)).is_none_or(|k| {
                    let later = k.later_ms.abs_diff(n.later_ms) > n.patience_ms / 2;
                    // A processor up or down is no news.
                    let moved = |(a, b): (i64, i64)| {
                        let (a, b) = (a.max(1) as f64, b.max(1) as f64);
                        !(0.8..=1.25).contains(&(a / b)) && (a - b).abs() > 1000.0
                    };
                    let floor = k.floors().into_iter().zip(n.floors()).any(moved);
                    let sizes = k.sizes.is_some() != n.sizes.is_some();
                    floor || later || sizes || k.most.is_some() != n.most.is_some()
                })
            })
    }
}
