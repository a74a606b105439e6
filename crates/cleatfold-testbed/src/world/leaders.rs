//! Leaders that end again and again, and controllers that are all away at the same time.

use super::{controller_id, BTreeMap, Fault, MachineId, Ms, Rng, SimulationEvent, Version, World};
use cleatfold_control::records::HolderRecord;
use cleatfold_roles::Role;

/// A leader ends at most so often in one trouble.
const MOST_ENDS: u32 = 10;
/// From one end to the next.
const BETWEEN_ENDS_MS: std::ops::Range<u64> = 4_000..14_000;
/// A leader that ended is back after so long.
const BACK_MS: std::ops::Range<u64> = 50..6_000;
/// Where nobody leads, it is looked again so much later.
const QUERY_INTERVAL_MS: u64 = 50;

#[derive(Default)]
pub struct Leaders {
    /// How often a leader was ended, and when.
    pub ended: Vec<Ms>,
    /// Every holding of the role, by its epoch, and the controller that took it.
    pub epochs: BTreeMap<Version, usize>,
    /// Controllers that stay away, until when.
    away: BTreeMap<usize, Ms>,
    /// How long no controller was there at all, and since when that is so.
    pub longest_away_ms: u64,
    none_since: Option<Ms>,
}

impl World {
    /// Who deals pools, and since which epoch, as the state service has it.
    pub fn leader(&self) -> Option<(usize, Version)> {
        let item = self.store.get(Role::PoolAssignment.key())?;
        let holder: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
        let controller = (0..self.controllers.len()).find(|i| controller_id(*i) == holder.owner)?;
        Some((controller, item.version))
    }

    /// Which controller a machine reports to.
    pub fn links_to(&self, machine: &MachineId) -> Option<usize> {
        self.links.get(machine).map(|link| link.target)
    }

    /// Until then whoever leads ends, up to ten times, and is back within seconds.
    pub fn ten_leaders(&mut self, until: Ms) {
        self.over_at(until.plus(BACK_MS.end));
        self.leader_ends(MOST_ENDS, until);
    }

    /// Ends the process of whoever leads. In an outage nobody else can take the role over, so it is the same
    /// controller again, whose new process leads no more than any other.
    pub(super) fn leader_ends(&mut self, left: u32, until: Ms) {
        if left == 0 || self.now >= until {
            return;
        }
        let there = |(controller, _): &(usize, Version)| self.controllers[*controller].is_some();
        let Some((leader, epoch)) = self.leader().filter(there) else {
            return self.at(QUERY_INTERVAL_MS, SimulationEvent::LeaderEnds { left, until });
        };
        self.leaders.epochs.insert(epoch, leader);
        self.leaders.ended.push(self.now);
        let back_ms = self.rng.random_range(BACK_MS);
        self.crash(leader, back_ms);
        let next_ms = self.rng.random_range(BETWEEN_ENDS_MS);
        self.at(next_ms, SimulationEvent::LeaderEnds { left: left - 1, until });
    }

    /// All controllers end now. The first is back after `away_ms`, each other one `apart_ms` after the one before.
    pub fn all_away(&mut self, away_ms: u64, apart_ms: u64) {
        let count = self.controllers.len();
        let first = self.rng.random_range(0..count);
        for place in 0..count {
            let controller = (first + place) % count;
            let back_ms = away_ms + apart_ms * place as u64;
            let back = self.now.plus(back_ms);
            self.leaders.away.insert(controller, back);
            self.crash(controller, back_ms);
            self.over_at(back);
        }
        self.leaders.none_since = Some(self.now);
    }

    /// A controller that stays away is started later than something else would have it.
    pub(super) fn stays_away(&mut self, controller: usize) -> bool {
        let back = self.leaders.away.get(&controller).copied().unwrap_or_default();
        if back > self.now {
            self.at(back.since(self.now), SimulationEvent::Restart(controller));
            return true;
        }
        if let Some(since) = self.leaders.none_since.take() {
            let away_ms = self.now.since(since);
            self.leaders.longest_away_ms = self.leaders.longest_away_ms.max(away_ms);
        }
        false
    }

    /// One of these troubles, drawn in all that is left open.
    pub(super) fn leader_trouble(&mut self, kind: Fault, until: Ms) {
        if kind == Fault::TenLeaders {
            return self.ten_leaders(until);
        }
        let away_ms = self.size.lease_ms + self.rng.random_range(500..15_000);
        let at_once = self.rng.random_bool(0.5);
        let apart_ms = match at_once {
            true => self.rng.random_range(0..300),
            false => self.rng.random_range(1_000..8_000),
        };
        self.all_away(away_ms, apart_ms);
    }
}
