//! State that the other controllers report about themselves.

use cleatfold_wire::{ControllerId, Ms, ZoneId};
use std::collections::BTreeMap;

/// Zone contacts reported by a peer expire after this time.
const PEER_STATE_TTL_MS: u64 = 6_000;
/// A peer that read the state service within this time can serve users when this controller cannot.
const STORE_READ_TTL_MS: u64 = 4_000;

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When it last read the state service, as it reports.
    last_store_read: Option<Ms>,
    /// When the last message from it arrived.
    last_message: Option<Ms>,
    /// The zone contacts that it reported, and when the report arrived.
    zone_contacts: Option<(Ms, BTreeMap<ZoneId, ZoneContact>)>,
}

/// A controller's contact with one zone's workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneContact {
    /// Time of the last contact, on the monotonic clock of the controller that keeps this value.
    pub at: Ms,
    /// Whether probes since then went unanswered, so that the zone counts as lost.
    pub lost: bool,
}

/// The state of the other controllers, by id.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<ControllerId, Peer>,
}

impl Peers {
    fn peer(&mut self, controller: &ControllerId) -> &mut Peer {
        self.peers.entry(controller.clone()).or_default()
    }

    /// Records that a message from the peer arrived.
    pub fn record_message(&mut self, controller: &ControllerId, now: Ms) {
        self.peer(controller).last_message = Some(now);
    }

    /// Records that the peer read the state service at `at`.
    pub fn record_store_read(&mut self, controller: &ControllerId, at: Ms) {
        self.peer(controller).last_store_read = Some(at);
    }

    /// Records the zone contacts that the peer reported.
    pub fn record_zone_contacts(
        &mut self,
        controller: &ControllerId,
        zones: BTreeMap<ZoneId, ZoneContact>,
        now: Ms,
    ) {
        self.peer(controller).zone_contacts = Some((now, zones));
    }

    /// When the last message from the peer arrived.
    pub fn last_message(&self, controller: &ControllerId) -> Option<Ms> {
        self.peers.get(controller).and_then(|p| p.last_message)
    }

    /// When the peer last read the state service, as it reports.
    pub fn last_store_read(&self, controller: &ControllerId) -> Option<Ms> {
        self.peers.get(controller).and_then(|p| p.last_store_read)
    }

    /// Whether a message from any peer arrived within the last `window_ms`.
    pub fn receives_from_any_peer(&self, now: Ms, window_ms: u64) -> bool {
        self.peers.values().any(|p| p.last_message.is_some_and(|at| now.since(at) <= window_ms))
    }

    /// Whether any peer has read the state service recently.
    pub fn any_peer_reads_store(&self, now: Ms) -> bool {
        self.peers
            .values()
            .any(|p| p.last_store_read.is_some_and(|at| now.since(at) < STORE_READ_TTL_MS))
    }

    /// The peer's contact with the zone's workers, if it was reported recently.
    pub fn zone_contact(
        &self,
        controller: &ControllerId,
        zone: &ZoneId,
        now: Ms,
    ) -> Option<ZoneContact> {
        let (at, zones) = self.peers.get(controller)?.zone_contacts.as_ref()?;
        zones.get(zone).filter(|_| now.since(*at) <= PEER_STATE_TTL_MS).copied()
    }

    /// Whether any peer reports the zone as lost.
    pub fn any_peer_lost_zone(&self, zone: &ZoneId, now: Ms) -> bool {
        self.peers.keys().any(|id| self.zone_contact(id, zone, now).is_some_and(|c| c.lost))
    }

    /// Discards all state after this process was paused: it is outdated.
    pub fn reset(&mut self) {
        for peer in self.peers.values_mut() {
            *peer = Peer::default();
        }
    }
}
