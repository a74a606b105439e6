//! What is heard of the other controllers, and what they say of themselves.

use cleatfold_wire::{Ms, NodeId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// What a peer says of itself is forgotten after so long.
const SAID_MS: u64 = 6_000;
/// A peer that read the state service so lately can serve users that we can't.
const READS_MS: u64 = 4_000;

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When it last said that it had read the state service.
    contact: Option<Ms>,
    /// When anything last came from it.
    heard: Option<Ms>,
    /// Zones that it says it does not reach, and when it said so.
    unreached: Option<(Ms, BTreeSet<ZoneId>)>,
}

#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<NodeId, Peer>,
}

impl Peers {
    fn peer(&mut self, node: &NodeId) -> &mut Peer {
        if !self.peers.contains_key(node) {
            self.peers.insert(node.clone(), Peer::default());
        }
        self.peers.get_mut(node).expect("just seen to be there")
    }

    pub fn heard_of(&mut self, node: &NodeId, now: Ms) {
        self.peer(node).heard = Some(now);
    }

    /// It read the state service at that moment.
    pub fn read(&mut self, node: &NodeId, at: Ms) {
        self.peer(node).contact = Some(at);
    }

    pub fn unreached(&mut self, node: &NodeId, zones: BTreeSet<ZoneId>, now: Ms) {
        self.peer(node).unreached = Some((now, zones));
    }

    pub fn heard(&self, node: &NodeId) -> Option<Ms> {
        self.peers.get(node).and_then(|p| p.heard)
    }

    /// Some peer reads the state service.
    pub fn someone_reads(&self, now: Ms) -> bool {
        self.peers.values().any(|p| p.contact.is_some_and(|c| now.since(c) < READS_MS))
    }

    /// It has said lately that it does not reach the zone's workers.
    pub fn says_cut(&self, node: &NodeId, zone: &ZoneId, now: Ms) -> bool {
        let said = self.peers.get(node).and_then(|p| p.unreached.as_ref());
        said.is_some_and(|(at, zones)| now.since(*at) <= SAID_MS && zones.contains(zone))
    }

    /// We stood still: what they said before that is old.
    pub fn forget(&mut self) {
        for peer in self.peers.values_mut() {
            *peer = Peer::default();
        }
    }
}
