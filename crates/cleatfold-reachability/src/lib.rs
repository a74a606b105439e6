//! Reachability: which zones' workers each controller reaches, since when, on what evidence, and
//! which controllers may therefore own pools in a zone.
//!
//! All results are hints: the state service decides who owns a pool, guarded by fencing tokens.
//! This crate only decides which ownership changes to attempt. See `docs/reachability.md`.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod excluded_controllers;
mod misdirected_workers;
mod one_way_partition;
mod peers;
mod worker_release;
mod zone_monitor;

pub use excluded_controllers::ExcludedControllers;
pub use misdirected_workers::{MisdirectedWorkers, TakeoverDecision};
pub use one_way_partition::OneWayPartitionDetector;
pub use peers::{Peers, ZoneContact};
pub use worker_release::{ReleaseDecision, WorkerRelease};
pub use zone_monitor::{Probe, ProbeTiming, ZoneMonitor};

use cleatfold_wire::{ControllerId, MachineId, Ms, ZoneId};
use std::collections::BTreeMap;

/// How much later than the owner's last contact another controller's contact with a zone must be
/// for it to count as newer. Covers message delay and clock differences.
const MIN_CONTACT_LEAD_MS: u64 = 1_500;

/// One controller's view of which controllers reach which zones.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    timing: ProbeTiming,
    zones: BTreeMap<ZoneId, ZoneMonitor>,
    /// State reported by the other controllers.
    pub peers: Peers,
    /// Workers that report to this controller although another one owns their pool.
    pub misdirected_workers: MisdirectedWorkers,
    /// Decides which workers to release while neither the state service nor a peer can be reached.
    pub worker_release: WorkerRelease,
    excluded: ExcludedControllers,
}

impl Reachability {
    /// Creates a view without any evidence.
    pub fn new(timing: ProbeTiming) -> Self {
        Self { timing, ..Self::default() }
    }

    /// Records contact with a worker of the zone. Valid evidence is a heartbeat newer than all
    /// earlier ones, under this controller's token, from a worker that receives answers; or an
    /// answer to a probe. (Delayed copies of old heartbeats would make a lost zone look reachable.)
    pub fn record_contact(&mut self, zone: &ZoneId, now: Ms) {
        self.zones.entry(zone.clone()).or_default().record_contact(now);
    }

    /// Records whether a machine of the zone answered a probe.
    pub fn record_probe_result(
        &mut self,
        zone: &ZoneId,
        machine: &MachineId,
        answered: bool,
        now: Ms,
    ) {
        let zone_monitor = self.zones.entry(zone.clone()).or_default();
        if answered {
            zone_monitor.record_contact(now);
        } else {
            zone_monitor.record_unanswered(machine);
        }
    }

    /// The probes to send now, to zones without recent contact. Each zone comes with its machines,
    /// in a stable order, and the number of them that report to this controller.
    pub fn due_probes<'a>(
        &mut self,
        now: Ms,
        zones: impl IntoIterator<Item = (&'a ZoneId, &'a [MachineId], usize)>,
    ) -> Vec<Probe> {
        let mut probes = Vec::new();
        for (zone, machines, reporting) in zones {
            let peer_lost_zone = self.peers.any_peer_lost_zone(zone, now);
            let zone_monitor = self.zones.entry(zone.clone()).or_default();
            probes.extend(zone_monitor.next_probe(
                &self.timing,
                now,
                zone,
                machines,
                reporting,
                peer_lost_zone,
            ));
        }
        probes
    }

    /// This controller's contact with each zone's workers.
    pub fn zone_contacts(&self) -> impl Iterator<Item = (&ZoneId, ZoneContact)> {
        self.zones.iter().map(|(z, m)| (z, ZoneContact { at: m.last_contact(), lost: m.is_lost() }))
    }

    /// Discards the evidence after this process was paused: missing messages during the pause do
    /// not show that anything else failed.
    pub fn reset_after_pause(&mut self, now: Ms) {
        self.zones.values_mut().for_each(|m| m.reset(now));
        self.peers.reset();
    }

    /// Records that a zone's workers left a live controller and another one took over their pool.
    pub fn record_workers_left(&mut self, controller: &ControllerId, zone: &ZoneId, now: Ms) {
        self.excluded.record_workers_left(controller, zone, now);
    }

    fn zone_contact(
        &self,
        me: &ControllerId,
        controller: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> Option<ZoneContact> {
        if controller == me {
            let zone_monitor = self.zones.get(zone);
            return zone_monitor.map(|m| ZoneContact { at: m.last_contact(), lost: m.is_lost() });
        }
        self.peers.zone_contact(controller, zone, now)
    }

    /// Whether the controller may own pools in the zone.
    pub fn may_own_pools_in(
        &self,
        me: &ControllerId,
        controller: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> bool {
        let lost = self.zone_contact(me, controller, zone, now).is_some_and(|c| c.lost);
        !lost && !self.excluded.is_excluded(controller, zone, now)
    }

    /// Whether `candidate` reaches the zone's workers while `owner`, a live controller, does not:
    /// `candidate` had contact with them after `owner` last did. (When machines fail, every
    /// controller loses them, and the owner first because it probes first. Without the comparison
    /// of times such a pool moved from owner to owner, and each new owner waited for the full
    /// timeout before it gave the machines up.)
    pub fn is_alternative_owner(
        &self,
        me: &ControllerId,
        candidate: &ControllerId,
        owner: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> bool {
        let Some(owner_contact) = self.zone_contact(me, owner, zone, now).filter(|c| c.lost) else {
            return false;
        };
        let contact = self.zone_contact(me, candidate, zone, now);
        let has_newer_contact =
            contact.is_some_and(|c| !c.lost && c.at > owner_contact.at.plus(MIN_CONTACT_LEAD_MS));
        has_newer_contact && candidate != owner && self.may_own_pools_in(me, candidate, zone, now)
    }
}
