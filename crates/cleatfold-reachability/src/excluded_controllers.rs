//! Controllers that are temporarily excluded from owning a zone's pools because the zone's workers
//! left them.

use cleatfold_wire::{ControllerId, Ms, ZoneId};
use std::collections::BTreeMap;

const FIRST_EXCLUSION_MS: u64 = 15_000;
const MAX_EXCLUSION_MS: u64 = 240_000;

#[derive(Clone, Copy, Debug)]
struct Exclusion {
    since: Ms,
    duration_ms: u64,
}

/// Controllers that may not own a zone's pools because its workers left them: for 15 s, doubled
/// each time it happens again within four minutes after the previous exclusion, at most 4 min.
/// (Without the exclusion the leader assigned the pool to the same controller again, since that
/// owned the fewest, and the workers left it again, every ten seconds while the partition lasted.)
#[derive(Clone, Debug, Default)]
pub struct ExcludedControllers {
    exclusions: BTreeMap<(ControllerId, ZoneId), Exclusion>,
}

impl ExcludedControllers {
    /// Records that the zone's workers left the controller.
    pub fn record_workers_left(&mut self, controller: &ControllerId, zone: &ZoneId, now: Ms) {
        let key = (controller.clone(), zone.clone());
        let previous = self.exclusions.get(&key).copied();
        let duration_ms = match previous {
            // Another pool of the zone moved during the exclusion: the same event.
            Some(previous) if now.since(previous.since) < previous.duration_ms => return,
            Some(previous)
                if now.since(previous.since) < previous.duration_ms + MAX_EXCLUSION_MS =>
            {
                (previous.duration_ms * 2).min(MAX_EXCLUSION_MS)
            }
            _ => FIRST_EXCLUSION_MS,
        };
        self.exclusions.insert(key, Exclusion { since: now, duration_ms });
    }

    /// Whether the controller is excluded from the zone now.
    pub fn is_excluded(&self, controller: &ControllerId, zone: &ZoneId, now: Ms) -> bool {
        let key = (controller.clone(), zone.clone());
        self.exclusions.get(&key).is_some_and(|e| now.since(e.since) < e.duration_ms)
    }
}
