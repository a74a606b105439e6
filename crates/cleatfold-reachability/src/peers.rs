//! What is heard of the other controllers, and what they say of themselves.

use cleatfold_wire::{ControllerId, Ms, ZoneId};
use std::collections::BTreeMap;

/// What a peer says of itself is forgotten after so long.
const PEER_STATE_TTL_MS: u64 = 6_000;
/// A peer that read the state service so lately can serve users that we can't.
const READS_MS: u64 = 4_000;

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When it last said that it had read the state service.
    contact: Option<Ms>,
    /// When anything last came from it.
    last_message: Option<Ms>,
    /// What it says of the zones, and when it said so.
    zones: Option<(Ms, BTreeMap<ZoneId, ZoneContact>)>,
}

/// What a controller hears of one zone's workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneContact {
    /// When it last heard of any, on the steady clock of whoever keeps this.
    pub at: Ms,
    /// It has asked them in vain since.
    pub lost: bool,
}

/// The other controllers, by name.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<ControllerId, Peer>,
}

impl Peers {
    fn peer(&mut self, controller: &ControllerId) -> &mut Peer {
        self.peers.entry(controller.clone()).or_default()
    }

    /// Something came from the peer.
    pub fn note_message(&mut self, controller: &ControllerId, now: Ms) {
        self.peer(controller).last_message = Some(now);
    }

    /// It read the state service at that moment.
    pub fn read(&mut self, controller: &ControllerId, at: Ms) {
        self.peer(controller).contact = Some(at);
    }

    /// The peer says which zones' workers it hears.
    pub fn note_zone_contacts(
        &mut self,
        controller: &ControllerId,
        zones: BTreeMap<ZoneId, ZoneContact>,
        now: Ms,
    ) {
        self.peer(controller).zones = Some((now, zones));
    }

    /// When anything last came from the peer.
    pub fn last_message(&self, controller: &ControllerId) -> Option<Ms> {
        self.peers.get(controller).and_then(|p| p.last_message)
    }

    /// When it last read the state service, by its own word.
    pub fn contact(&self, controller: &ControllerId) -> Option<Ms> {
        self.peers.get(controller).and_then(|p| p.contact)
    }

    /// Some peer was heard of within the last `ms`.
    pub fn receives_from_any_peer(&self, now: Ms, ms: u64) -> bool {
        self.peers.values().any(|p| p.last_message.is_some_and(|at| now.since(at) <= ms))
    }

    /// Some peer reads the state service.
    pub fn someone_reads(&self, now: Ms) -> bool {
        self.peers.values().any(|p| p.contact.is_some_and(|c| now.since(c) < READS_MS))
    }

    /// What it has said lately of the zone's workers.
    pub fn of_zone(
        &self,
        controller: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> Option<ZoneContact> {
        let (at, zones) = self.peers.get(controller)?.zones.as_ref()?;
        zones.get(zone).filter(|_| now.since(*at) <= PEER_STATE_TTL_MS).copied()
    }

    /// Some peer has lost the zone's workers.
    pub fn someone_lost(&self, zone: &ZoneId, now: Ms) -> bool {
        self.peers.keys().any(|n| self.of_zone(n, zone, now).is_some_and(|h| h.lost))
    }

    /// We stood still: what they said before that is old.
    pub fn forget(&mut self) {
        for peer in self.peers.values_mut() {
            *peer = Peer::default();
        }
    }
}
