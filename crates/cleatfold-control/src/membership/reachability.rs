//! Reachability between controllers and workers: evidence from heartbeats and peers, probes of workers
//! in zones without recent contact, and moving a pool to a controller that its workers reach.
//! `cleatfold_reachability` makes the decisions.

use crate::controller::Controller;
use crate::effects::{Effect, Response};
use cleatfold_reachability::{Answer, Came, ZoneContact};
use cleatfold_wire::cloud::MachineState;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::worker::RawHeartbeat;
use cleatfold_wire::{AgentEpoch, ControllerId, MachineId, Ms, PoolId, Seq, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

const CONTACT_INTERVAL_MS: u64 = 500;
/// A lease ends up to 100 ms late; the rest allows for clock drift.
const LEASE_OVER_MS: u64 = 300;
/// Peers send a message every second.
const SILENT_MS: u64 = 3_000;

impl Controller {
    /// Probes workers in zones without recent contact, and sends the zone contacts to the peers.
    pub(crate) fn maintain_reachability(&mut self) {
        if self.now.since(self.reachability.last_checked) < CONTACT_INTERVAL_MS {
            return;
        }
        self.reachability.last_checked = self.now;
        // By zone: running machines, and how many of them send heartbeats to this controller.
        let mut zones: BTreeMap<&ZoneId, (Vec<MachineId>, usize)> = BTreeMap::new();
        for (id, m) in &self.inventory.machines {
            let up = m.heartbeat.is_some() || m.state == Some(MachineState::Running);
            if m.endpoint.is_none() || m.deleting || !up {
                continue;
            }
            let zone = zones.entry(&m.pool.zone).or_default();
            zone.0.push(id.clone());
            let ours = self.pools.owned.get(&m.pool).map(|owned| owned.token);
            zone.1 += usize::from(ours.is_some() && m.heartbeat.as_ref().map(|r| r.token) == ours);
        }
        let zones = zones.iter().map(|(z, (machines, own))| (*z, machines.as_slice(), *own));
        for probe in self.reachability.view.probe(self.now, zones) {
            let endpoint =
                self.inventory.machines.get(&probe.machine).and_then(|m| m.endpoint.clone());
            if let Some(endpoint) = endpoint {
                self.out.push(Effect::Probe { machine: probe.machine, endpoint });
            }
        }
        let lost: BTreeSet<ZoneId> = self
            .reachability
            .view
            .zone_contacts()
            .filter(|(_, h)| h.lost)
            .map(|(z, _)| z.clone())
            .collect();
        let changed = lost != self.reachability.lost;
        if changed {
            tracing::info!(zones = ?lost, "zones unreachable");
            self.reachability.lost = lost;
        }
        if changed || self.now.since(self.reachability.contacts_sent_at) >= 1000 {
            self.reachability.contacts_sent_at = self.now;
            let contact =
                |(z, h): (&ZoneId, ZoneContact)| (z.to_string(), self.now.since(h.at), h.lost);
            let zones = self.reachability.view.zone_contacts().map(contact).collect();
            self.tell(None, Message::ZoneContact { zones });
        }
    }

    /// Records a peer's zone contacts.
    pub(crate) fn on_zone_contacts(
        &mut self,
        from: &ControllerId,
        zones: Vec<(String, u64, bool)>,
    ) {
        let now = self.now;
        let contact = |age_ms, lost| ZoneContact { at: Ms(now.0.saturating_sub(age_ms)), lost };
        let zones =
            zones.into_iter().map(|(z, age_ms, lost)| (ZoneId::new(z), contact(age_ms, lost)));
        self.reachability.view.peers.note_zone_contacts(from, zones.collect(), now);
    }

    /// Handles the result of a probe; may take over the pool of a misdirected worker.
    pub(crate) fn on_probed(&mut self, machine: MachineId, answer: Option<(AgentEpoch, Seq)>) {
        if let Some(m) = self.inventory.machines.get(&machine) {
            self.reachability.view.probed(&m.pool.zone, &machine, answer.is_some(), self.now);
        }
        let (view, now) = (&mut self.reachability.view, self.now);
        let young = self.cfg.heartbeat_interval_ms * 5 / 4 + 1000;
        let (peers, misdirected_workers) = (&view.peers, &mut view.misdirected_workers);
        let owner_has_contact = |pool: &PoolId, owner: &ControllerId| {
            let last_heartbeat = peers.of_zone(owner, &pool.zone, now);
            last_heartbeat.is_some_and(|h| !h.lost && now.since(h.at) <= young)
        };
        if let Some((pool, owner)) =
            misdirected_workers.answered(&machine, answer, owner_has_contact, now)
        {
            let owned = self.cache.pools.get(&pool).is_some_and(|h| h.owner == owner);
            if owned && !self.pools.superseded_by.contains_key(&pool) {
                self.take_over(pool, &owner);
            }
        }
    }

    /// Handles a heartbeat from a worker whose pool another controller owns: may probe the worker, as
    /// the first step of taking its pool over.
    pub(crate) fn on_misdirected_worker(
        &mut self,
        heartbeat: &RawHeartbeat,
        pool: &PoolId,
        owner: &ControllerId,
    ) {
        let machines = self.inventory.machines.values().filter(|m| m.pool == *pool).count();
        let last_heartbeat = self.reachability.view.peers.last_message(owner);
        let lease_ms = self.cfg.controller_lease_ms;
        let who = (&heartbeat.machine, (heartbeat.agent_epoch, heartbeat.seq));
        let misdirected_workers = &mut self.reachability.view.misdirected_workers;
        let came = misdirected_workers.came(
            who,
            pool,
            machines,
            (owner, last_heartbeat),
            lease_ms,
            self.now,
        );
        let endpoint = heartbeat.endpoint.clone().filter(|_| came == Came::Ask);
        if let Some(endpoint) = endpoint {
            self.out.push(Effect::Probe { machine: heartbeat.machine.clone(), endpoint });
        }
    }

    /// Whether to redirect a worker of an owned pool while this controller's lease has expired and neither the state
    /// service nor a peer answers: what becomes of the worker shows whether another controller serves the pool.
    pub(crate) fn release_worker(
        &mut self,
        heartbeat: &RawHeartbeat,
        pool: &PoolId,
    ) -> Option<Response> {
        // The lease was last renewed no later than the last sync: contact after the sync would have
        // led to another one.
        let lease_ms = self.cfg.controller_lease_ms + LEASE_OVER_MS;
        let over = self.session.last_read.is_none_or(|f| self.now.since(f) > lease_ms);
        // Peers that do not show that the pools are served elsewhere are in the same outage.
        let alone = !self.reachability.view.peers.receives_from_any_peer(self.now, SILENT_MS);
        if !over || !(alone || self.reachability.view.worker_release.others_serve()) {
            return None;
        }
        let peers: Vec<ControllerId> = self.cfg.peers.iter().map(|p| p.0.clone()).collect();
        let idle = !heartbeat.lists_tasks();
        let worker_release = &mut self.reachability.view.worker_release;
        match worker_release.reports(pool, &heartbeat.machine, idle, &peers, self.now) {
            Answer::Keep => None,
            Answer::Release(to) => Some(Response::Redirect(to)),
        }
    }

    /// Compares the owners of the pools with those of the last sync. If a pool moved away from a live
    /// controller and this controller did not assign it, its workers could not reach that owner.
    pub(crate) fn note_holders(&mut self) {
        for (pool, holding) in &self.cache.pools {
            self.reachability.view.misdirected_workers.see_token(pool, holding.token, self.now);
            let before = self.reachability.holders.get(pool);
            if before == Some(&holding.owner) {
                continue;
            }
            if let Some(before) = before {
                let ours = self.reachability.assigned_to.get(pool) == Some(&holding.owner);
                if !ours && self.cache.controllers.contains_key(before) {
                    self.reachability.view.left(before, &pool.zone, self.now);
                    // The move counts as recent for the minimum time between assignments.
                    self.leadership.pool_assigned_at.insert(pool.clone(), self.now);
                }
            }
            self.reachability.holders.insert(pool.clone(), holding.owner.clone());
        }
    }

    /// Whether the controller may own pools in a zone: no evidence shows that it does not reach the zone's workers.
    pub(crate) fn may_hold(&self, controller: &ControllerId, zone: &ZoneId) -> bool {
        self.reachability.view.may_hold(&self.cfg.me, controller, zone, self.now)
    }

    /// Controllers that reach the pool's workers while its live owner does not.
    pub(crate) fn takers(&self, owner: &ControllerId, pool: &PoolId) -> BTreeSet<ControllerId> {
        let (view, me) = (&self.reachability.view, &self.cfg.me);
        let takes = |n: &&ControllerId| view.reaches_instead(me, n, owner, &pool.zone, self.now);
        self.cache.controllers.keys().filter(takes).cloned().collect()
    }
}
