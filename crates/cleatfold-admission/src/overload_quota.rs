//! The quota that all controllers apply while the region is overloaded.

use crate::size_classes::SizeClassQuota;
use cleatfold_wire::{ClassId, TeamId, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The jobs of one team and class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// The team.
    pub team: TeamId,
    /// The class of its jobs.
    pub class: ClassId,
}

/// The quota of a group whose jobs would not start in time in the ordinary queue order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaEntry {
    /// The team.
    #[serde(rename = "q")]
    pub team: TeamId,
    /// The class of its jobs.
    #[serde(rename = "c")]
    pub class: ClassId,
    /// Guaranteed minimum of the group's small jobs, in thousandths of processors; up to it they precede all other jobs.
    #[serde(rename = "f")]
    pub floor: i64,
    /// Work of the group's median job, in processor-seconds.
    #[serde(rename = "t")]
    pub median_work: u64,
    /// Time within which a job is useful to its users, in milliseconds, by the most lenient of its objectives.
    #[serde(rename = "p")]
    pub patience_ms: u64,
    /// Delay of the group's jobs in the queue order relative to others of the same urgency, in milliseconds, because its
    /// team submits far more than an equal share.
    #[serde(rename = "l", default)]
    pub delay_ms: u64,
    /// New jobs with more work than this, in processor-seconds, are refused for now.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub max_new_work: Option<u64>,
    /// The size classes and the guaranteed minimums of the upper two; `floor` is that of the small jobs. `None` in
    /// records written before size classes existed.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub sizes: Option<SizeClassQuota>,
}

impl QuotaEntry {
    fn floors(&self) -> [i64; 3] {
        let upper_floors = self.sizes.as_ref().map_or((0, 0), |s| (s.middle_floor, s.large_floor));
        [self.floor, upper_floors.0, upper_floors.1]
    }
}

/// The quotas of all groups under overload. Without overload there are no entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OverloadQuota {
    /// Increases with every decision.
    #[serde(rename = "g")]
    pub generation: u64,
    /// Version of the role's key under which the quota was decided.
    #[serde(rename = "h", default)]
    pub epoch: Version,
    /// One entry for each group that is not served in time.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<QuotaEntry>,
}

impl OverloadQuota {
    /// The entry of a group.
    pub fn entry(&self, team: &TeamId, class: &ClassId) -> Option<&QuotaEntry> {
        self.entries.iter().find(|e| e.team == *team && e.class == *class)
    }

    /// Whether there is no overload.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether `next` differs enough to be written to the state service.
    pub fn differs(&self, next: &[QuotaEntry]) -> bool {
        let current: BTreeMap<_, _> =
            self.entries.iter().map(|e| ((&e.team, &e.class), e)).collect();
        current.len() != next.len()
            || next.iter().any(|new| {
                current.get(&(&new.team, &new.class)).is_none_or(|old| {
                    let delay_changed = old.delay_ms.abs_diff(new.delay_ms) > new.patience_ms / 2;
                    // A change of at most one processor is not significant.
                    let is_significant = |(a, b): (i64, i64)| {
                        let (a, b) = (a.max(1) as f64, b.max(1) as f64);
                        !(0.8..=1.25).contains(&(a / b)) && (a - b).abs() > 1000.0
                    };
                    let floor_changed =
                        old.floors().into_iter().zip(new.floors()).any(is_significant);
                    let sizes_changed = old.sizes.is_some() != new.sizes.is_some();
                    floor_changed
                        || delay_changed
                        || sizes_changed
                        || old.max_new_work.is_some() != new.max_new_work.is_some()
                })
            })
    }
}
