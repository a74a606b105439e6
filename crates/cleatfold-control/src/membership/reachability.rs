//! Reachability between controllers and workers: evidence from heartbeats and peers, probes of
//! workers in zones without recent contact, and moving a pool to a controller that its workers
//! reach. `cleatfold_reachability` makes the decisions.

use crate::controller::Controller;
use crate::effects::{Effect, Response};
use cleatfold_reachability::{ReleaseDecision, TakeoverDecision, ZoneContact};
use cleatfold_wire::cloud::MachineState;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::worker::RawHeartbeat;
use cleatfold_wire::{AgentEpoch, ControllerId, MachineId, Ms, PoolId, Seq, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

const CHECK_INTERVAL_MS: u64 = 500;
/// The state service ends a lease with a delay of up to 100 ms; the rest allows for clock drift.
const LEASE_EXPIRY_MARGIN_MS: u64 = 300;
/// Peers send a message every second.
const PEER_TIMEOUT_MS: u64 = 3_000;

impl Controller {
    /// Probes workers in zones without recent contact, and sends the zone contacts to the peers.
    pub(crate) fn maintain_reachability(&mut self) {
        if self.now.since(self.reachability.last_checked) < CHECK_INTERVAL_MS {
            return;
        }
        self.reachability.last_checked = self.now;
        // By zone: running machines, and how many of them send heartbeats to this controller.
        let mut zones: BTreeMap<&ZoneId, (Vec<MachineId>, usize)> = BTreeMap::new();
        for (id, m) in &self.inventory.machines {
            let is_up = m.heartbeat.is_some() || m.state == Some(MachineState::Running);
            if m.endpoint.is_none() || m.deleting || !is_up {
                continue;
            }
            let zone = zones.entry(&m.pool.zone).or_default();
            zone.0.push(id.clone());
            let owned_token = self.pools.owned.get(&m.pool).map(|owned| owned.token);
            zone.1 += usize::from(
                owned_token.is_some() && m.heartbeat.as_ref().map(|last| last.token) == owned_token,
            );
        }
        let zones = zones
            .iter()
            .map(|(zone, (machines, reporting))| (*zone, machines.as_slice(), *reporting));
        for probe in self.reachability.view.due_probes(self.now, zones) {
            let endpoint =
                self.inventory.machines.get(&probe.machine).and_then(|m| m.endpoint.clone());
            if let Some(endpoint) = endpoint {
                self.effects.push(Effect::Probe { machine: probe.machine, endpoint });
            }
        }
        let lost_zones: BTreeSet<ZoneId> = self
            .reachability
            .view
            .zone_contacts()
            .filter(|(_, contact)| contact.lost)
            .map(|(zone, _)| zone.clone())
            .collect();
        let changed = lost_zones != self.reachability.lost_zones;
        if changed {
            tracing::info!(zones = ?lost_zones, "zones unreachable");
            self.reachability.lost_zones = lost_zones;
        }
        if changed || self.now.since(self.reachability.contacts_sent_at) >= 1000 {
            self.reachability.contacts_sent_at = self.now;
            let to_message = |(zone, contact): (&ZoneId, ZoneContact)| {
                (zone.to_string(), self.now.since(contact.at), contact.lost)
            };
            let zones = self.reachability.view.zone_contacts().map(to_message).collect();
            self.send_to_peers(None, Message::ZoneContact { zones });
        }
    }

    /// Records a peer's zone contacts.
    pub(crate) fn on_zone_contacts(
        &mut self,
        from: &ControllerId,
        zones: Vec<(String, u64, bool)>,
    ) {
        let now = self.now;
        let zone_contact =
            |age_ms, lost| ZoneContact { at: Ms(now.0.saturating_sub(age_ms)), lost };
        let zones = zones
            .into_iter()
            .map(|(zone, age_ms, lost)| (ZoneId::new(zone), zone_contact(age_ms, lost)));
        self.reachability.view.peers.record_zone_contacts(from, zones.collect(), now);
    }

    /// Handles the result of a probe; may take over the pool of a misdirected worker.
    pub(crate) fn on_probed(&mut self, machine: MachineId, answer: Option<(AgentEpoch, Seq)>) {
        if let Some(m) = self.inventory.machines.get(&machine) {
            self.reachability.view.record_probe_result(
                &m.pool.zone,
                &machine,
                answer.is_some(),
                self.now,
            );
        }
        let (view, now) = (&mut self.reachability.view, self.now);
        let max_contact_age_ms = self.cfg.heartbeat_interval_ms * 5 / 4 + 1000;
        let (peers, misdirected_workers) = (&view.peers, &mut view.misdirected_workers);
        let owner_has_contact = |pool: &PoolId, owner: &ControllerId| {
            let contact = peers.zone_contact(owner, &pool.zone, now);
            contact
                .is_some_and(|contact| !contact.lost && now.since(contact.at) <= max_contact_age_ms)
        };
        if let Some((pool, owner)) =
            misdirected_workers.on_probe_result(&machine, answer, owner_has_contact, now)
        {
            let is_still_owner =
                self.cache.pools.get(&pool).is_some_and(|ownership| ownership.owner == owner);
            if is_still_owner && !self.pools.superseded_by.contains_key(&pool) {
                self.take_over_pool(pool, &owner);
            }
        }
    }

    /// Handles a heartbeat from a worker whose pool another controller owns: may probe the worker,
    /// as the first step of taking its pool over.
    pub(crate) fn on_misdirected_worker(
        &mut self,
        heartbeat: &RawHeartbeat,
        pool: &PoolId,
        owner: &ControllerId,
    ) {
        let machines = self.inventory.machines.values().filter(|m| m.pool == *pool).count();
        let last_message = self.reachability.view.peers.last_message(owner);
        let lease_ms = self.cfg.controller_lease_ms;
        let sender = (&heartbeat.machine, (heartbeat.agent_epoch, heartbeat.seq));
        let misdirected_workers = &mut self.reachability.view.misdirected_workers;
        let decision = misdirected_workers.on_report(
            sender,
            pool,
            machines,
            (owner, last_message),
            lease_ms,
            self.now,
        );
        let endpoint = heartbeat.endpoint.clone().filter(|_| decision == TakeoverDecision::Probe);
        if let Some(endpoint) = endpoint {
            self.effects.push(Effect::Probe { machine: heartbeat.machine.clone(), endpoint });
        }
    }

    /// The redirect for a worker of an owned pool, if it is to be released. Workers are released
    /// while this controller's lease has expired and neither the state service nor a peer is heard:
    /// one that does not return, or returns with a higher token, shows that another controller
    /// serves the pool.
    pub(crate) fn release_worker(
        &mut self,
        heartbeat: &RawHeartbeat,
        pool: &PoolId,
    ) -> Option<Response> {
        // The lease was last renewed no later than the last sync: contact after the sync would have
        // led to another one.
        let lease_ms = self.cfg.controller_lease_ms + LEASE_EXPIRY_MARGIN_MS;
        let lease_expired =
            self.session.last_read.is_none_or(|read| self.now.since(read) > lease_ms);
        // If peers are heard, but nothing shows that other controllers serve the pools, the peers
        // are in the same outage.
        let no_peer_heard =
            !self.reachability.view.peers.receives_from_any_peer(self.now, PEER_TIMEOUT_MS);
        if !lease_expired
            || !(no_peer_heard || self.reachability.view.worker_release.any_pool_served_elsewhere())
        {
            return None;
        }
        let peers: Vec<ControllerId> = self.cfg.peers.iter().map(|p| p.0.clone()).collect();
        let is_idle = !heartbeat.has_tasks();
        let worker_release = &mut self.reachability.view.worker_release;
        match worker_release.on_heartbeat(pool, &heartbeat.machine, is_idle, &peers, self.now) {
            ReleaseDecision::Keep => None,
            ReleaseDecision::Release(to) => Some(Response::Redirect(to)),
        }
    }

    /// Compares the owners of the pools with those of the last sync. If a pool moved away from a
    /// live controller and this controller did not assign it, its workers could not reach that
    /// owner.
    pub(crate) fn compare_pool_owners(&mut self) {
        for (pool, ownership) in &self.cache.pools {
            self.reachability.view.misdirected_workers.record_token(
                pool,
                ownership.token,
                self.now,
            );
            let before = self.reachability.pool_owners.get(pool);
            if before == Some(&ownership.owner) {
                continue;
            }
            if let Some(before) = before {
                let is_own_assignment =
                    self.reachability.own_assignments.get(pool) == Some(&ownership.owner);
                if !is_own_assignment && self.cache.controllers.contains_key(before) {
                    self.reachability.view.record_workers_left(before, &pool.zone, self.now);
                    // The move counts as recent for the minimum time between assignments.
                    self.leadership.pool_assigned_at.insert(pool.clone(), self.now);
                }
            }
            self.reachability.pool_owners.insert(pool.clone(), ownership.owner.clone());
        }
    }

    /// Whether the controller may own pools in a zone: no evidence shows that it does not reach the
    /// zone's workers.
    pub(crate) fn may_own_pools_in(&self, controller: &ControllerId, zone: &ZoneId) -> bool {
        self.reachability.view.may_own_pools_in(&self.cfg.controller_id, controller, zone, self.now)
    }

    /// Controllers that reach the pool's workers while its live owner does not.
    pub(crate) fn alternative_owners(
        &self,
        owner: &ControllerId,
        pool: &PoolId,
    ) -> BTreeSet<ControllerId> {
        let (view, me) = (&self.reachability.view, &self.cfg.controller_id);
        let reaches = |other: &&ControllerId| {
            view.is_alternative_owner(me, other, owner, &pool.zone, self.now)
        };
        self.cache.controllers.keys().filter(reaches).cloned().collect()
    }
}
