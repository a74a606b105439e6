//! Reachability: which zones' workers each controller reaches, since when not, by what evidence,
//! and which controller may therefore be given a share of a zone's machines.
//!
//! Hints, all of it: who owns a pool is decided in the state service, under tokens. What is decided
//! here is only whom it is worth asking. `docs/reachability.md` weighs and argues.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod contact;
mod misdirected_workers;
mod one_way_partition;
mod peers;
mod shunned;
mod worker_release;

pub use contact::{Contact, Probe, Timing};
pub use misdirected_workers::{Came, MisdirectedWorkers};
pub use one_way_partition::OneWayPartitionDetector;
pub use peers::{Peers, ZoneContact};
pub use shunned::ShunnedControllers;
pub use worker_release::{Answer, WorkerRelease};

use cleatfold_wire::{ControllerId, MachineId, Ms, ZoneId};
use std::collections::BTreeMap;

/// Who has heard of a zone so much later than its owner reaches what that does not. Covers the way
/// of what they tell, and clocks.
const SINCE_MS: u64 = 1_500;

/// One controller's view of who reaches whom.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    timing: Timing,
    zones: BTreeMap<ZoneId, Contact>,
    /// What is heard of the other controllers.
    pub peers: Peers,
    /// Workers that come here in vain.
    pub misdirected_workers: MisdirectedWorkers,
    /// Which workers to let go while nothing is heard of anybody else.
    pub worker_release: WorkerRelease,
    shunned: ShunnedControllers,
}

impl Reachability {
    /// A view in which nothing is known yet.
    pub fn new(timing: Timing) -> Self {
        Self { timing, ..Self::default() }
    }

    /// A worker of the zone has just spoken to us, by evidence: a report newer than all before under our
    /// token from a worker that hears us, or its answer to a question. (Copies of old reports once made
    /// a lost zone look reached.)
    pub fn note_contact(&mut self, zone: &ZoneId, now: Ms) {
        self.zones.entry(zone.clone()).or_default().note_contact(now);
    }

    /// A question to a machine of the zone was answered, or was not.
    pub fn probed(&mut self, zone: &ZoneId, machine: &MachineId, answered: bool, now: Ms) {
        let contact = self.zones.entry(zone.clone()).or_default();
        if answered {
            contact.note_contact(now);
        } else {
            contact.unanswered(machine);
        }
    }

    /// Which machine should be asked now, if any: of zones that have not been heard of for a while.
    /// `machines` are a zone's, in any order that stays; `own` says in which zones workers report to us.
    pub fn probe<'a>(
        &mut self,
        now: Ms,
        zones: impl IntoIterator<Item = (&'a ZoneId, &'a [MachineId], usize)>,
    ) -> Vec<Probe> {
        let mut probes = Vec::new();
        for (zone, machines, own) in zones {
            let doubted = self.peers.someone_lost(zone, now);
            let contact = self.zones.entry(zone.clone()).or_default();
            probes.extend(contact.probe(&self.timing, now, zone, machines, own, doubted));
        }
        probes
    }

    /// What we hear of each zone's workers.
    pub fn zone_contacts(&self) -> impl Iterator<Item = (&ZoneId, ZoneContact)> {
        self.zones.iter().map(|(z, c)| (z, ZoneContact { at: c.last_contact(), lost: c.is_lost() }))
    }

    /// We stood still for so long: our silence says nothing about anybody else.
    pub fn stood_still(&mut self, now: Ms) {
        self.zones.values_mut().for_each(|c| c.begin_anew(now));
        self.peers.forget();
    }

    /// A zone's workers left a controller that was alive, and another took them over.
    pub fn left(&mut self, controller: &ControllerId, zone: &ZoneId, now: Ms) {
        self.shunned.left(controller, zone, now);
    }

    fn of_zone(
        &self,
        me: &ControllerId,
        controller: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> Option<ZoneContact> {
        if controller == me {
            let contact = self.zones.get(zone);
            return contact.map(|c| ZoneContact { at: c.last_contact(), lost: c.is_lost() });
        }
        self.peers.of_zone(controller, zone, now)
    }

    /// Whether a share of the zone's machines may be given to the controller.
    pub fn may_own_pools_in(
        &self,
        me: &ControllerId,
        controller: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> bool {
        let lost = self.of_zone(me, controller, zone, now).is_some_and(|h| h.lost);
        !lost && !self.shunned.is_shunned(controller, zone, now)
    }

    /// Whether `other` reaches the zone's workers where `owner`, a live controller, does not: it has heard of
    /// them since the owner last did. (Machines that have died are lost for everybody, first for
    /// their owner, who asks first: their pools went round, and each new owner waited anew before it
    /// gave them up.)
    pub fn reaches_instead(
        &self,
        me: &ControllerId,
        other: &ControllerId,
        owner: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> bool {
        let Some(lost) = self.of_zone(me, owner, zone, now).filter(|h| h.lost) else {
            return false;
        };
        let contact = self.of_zone(me, other, zone, now);
        let since = contact.is_some_and(|h| !h.lost && h.at > lost.at.plus(SINCE_MS));
        since && other != owner && self.may_own_pools_in(me, other, zone, now)
    }
}
