//! Controllers whose workers left them.

use cleatfold_wire::{ControllerId, Ms, ZoneId};
use std::collections::BTreeMap;

const FIRST_MS: u64 = 15_000;
const MOST_MS: u64 = 240_000;

#[derive(Clone, Copy, Debug)]
struct Left {
    at: Ms,
    pause_ms: u64,
}

/// For how long controllers get nothing of a zone whose workers left them: 15 s, twice as long each
/// time it happens again within four minutes after that, at most 4 min. (Without, the leader gave a
/// pool back to the controller that its workers had just left, since that had fewest, and they left
/// it again, every ten seconds for as long as the cut lasted.)
#[derive(Clone, Debug, Default)]
pub struct ShunnedControllers {
    left: BTreeMap<(ControllerId, ZoneId), Left>,
}

impl ShunnedControllers {
    /// The zone's workers have left the controller.
    pub fn left(&mut self, controller: &ControllerId, zone: &ZoneId, now: Ms) {
        let key = (controller.clone(), zone.clone());
        let known = self.left.get(&key).copied();
        let pause_ms = match known {
            // Another pool of the zone, a moment later: the same occasion.
            Some(known) if now.since(known.at) < known.pause_ms => return,
            Some(known) if now.since(known.at) < known.pause_ms + MOST_MS => {
                (known.pause_ms * 2).min(MOST_MS)
            }
            _ => FIRST_MS,
        };
        self.left.insert(key, Left { at: now, pause_ms });
    }

    /// Whether the controller gets nothing of the zone now.
    pub fn is_shunned(&self, controller: &ControllerId, zone: &ZoneId, now: Ms) -> bool {
        let key = (controller.clone(), zone.clone());
        self.left.get(&key).is_some_and(|l| now.since(l.at) < l.pause_ms)
    }
}
