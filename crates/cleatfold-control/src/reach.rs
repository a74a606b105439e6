//! Who reaches whom: what workers and peers show of it, questions to workers that have been quiet, and
//! pools that follow the workers. `cleatfold_reachability` decides.

use crate::controller::Controller;
use crate::effects::{Effect, Response};
use cleatfold_reachability::{Answer, Came, Hears};
use cleatfold_wire::cloud::MachineState;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::worker::RawReport;
use cleatfold_wire::*;
use std::collections::{BTreeMap, BTreeSet};

const LOOK_MS: u64 = 500;
/// A lease ends up to 100 ms late; the rest is for clocks.
const LEASE_OVER_MS: u64 = 300;
/// Peers say something each second.
const SILENT_MS: u64 = 3_000;

impl Controller {
    /// Asks workers of zones that have been quiet, and tells the others what we do not reach.
    pub(crate) fn keep_reach(&mut self) {
        if self.now.since(self.reach.looked) < LOOK_MS {
            return;
        }
        self.reach.looked = self.now;
        // By zone: machines that are up, and how many of them report to us.
        let mut zones: BTreeMap<&ZoneId, (Vec<MachineId>, usize)> = BTreeMap::new();
        for (id, m) in &self.inventory.machines {
            let up = m.report.is_some() || m.listed == Some(MachineState::Running);
            if m.endpoint.is_none() || m.deleting || !up {
                continue;
            }
            let zone = zones.entry(&m.pool.zone).or_default();
            zone.0.push(id.clone());
            let ours = self.owned_since.get(&m.pool).map(|o| o.0);
            zone.1 += usize::from(ours.is_some() && m.report.as_ref().map(|r| r.token) == ours);
        }
        let zones = zones.iter().map(|(z, (machines, own))| (*z, machines.as_slice(), *own));
        for probe in self.reach.view.probe(self.now, zones) {
            let endpoint =
                self.inventory.machines.get(&probe.machine).and_then(|m| m.endpoint.clone());
            if let Some(endpoint) = endpoint {
                self.out.push(Effect::Probe { machine: probe.machine, endpoint });
            }
        }
        let lost: BTreeSet<ZoneId> =
            self.reach.view.hears().filter(|(_, h)| h.lost).map(|(z, _)| z.clone()).collect();
        let changed = lost != self.reach.lost;
        if changed {
            tracing::info!(zones = ?lost, "workers not reached");
            self.reach.lost = lost;
        }
        if changed || self.now.since(self.reach.told) >= 1000 {
            self.reach.told = self.now;
            let told = |(z, h): (&ZoneId, Hears)| (z.to_string(), self.now.since(h.at), h.lost);
            let zones = self.reach.view.hears().map(told).collect();
            self.tell(None, Message::Hears { zones });
        }
    }

    pub(crate) fn on_hears(&mut self, from: &ControllerId, zones: Vec<(String, u64, bool)>) {
        let now = self.now;
        let hears = |age_ms, lost| Hears { at: Ms(now.0.saturating_sub(age_ms)), lost };
        let zones =
            zones.into_iter().map(|(z, age_ms, lost)| (ZoneId::new(z), hears(age_ms, lost)));
        self.reach.view.peers.hears(from, zones.collect(), now);
    }

    pub(crate) fn on_probed(&mut self, machine: MachineId, said: Option<(AgentEpoch, Seq)>) {
        if let Some(m) = self.inventory.machines.get(&machine) {
            self.reach.view.probed(&m.pool.zone, &machine, said.is_some(), self.now);
        }
        let (view, now) = (&mut self.reach.view, self.now);
        let young = self.cfg.report_ms * 5 / 4 + 1000;
        let (peers, strays) = (&view.peers, &mut view.strays);
        let hears = |pool: &PoolId, owner: &ControllerId| {
            let heard = peers.of_zone(owner, &pool.zone, now);
            heard.is_some_and(|h| !h.lost && now.since(h.at) <= young)
        };
        if let Some((pool, owner)) = strays.answered(&machine, said, hears, now) {
            let owned = self.cache.pools.get(&pool).is_some_and(|h| h.owner == owner);
            if owned && !self.hinted.contains_key(&pool) {
                self.take_over(pool, &owner);
            }
        }
    }

    /// A worker came here that should be at the owner's: perhaps its pool should come after it.
    pub(crate) fn on_stray(&mut self, report: &RawReport, pool: &PoolId, owner: &ControllerId) {
        let machines = self.inventory.machines.values().filter(|m| m.pool == *pool).count();
        let heard = self.reach.view.peers.heard(owner);
        let lease_ms = self.cfg.controller_lease_ms;
        let who = (&report.machine, (report.agent_epoch, report.seq));
        let strays = &mut self.reach.view.strays;
        let came = strays.came(who, pool, machines, (owner, heard), lease_ms, self.now);
        let endpoint = report.endpoint.clone().filter(|_| came == Came::Ask);
        if let Some(endpoint) = endpoint {
            self.out.push(Effect::Probe { machine: report.machine.clone(), endpoint });
        }
    }

    /// Our lease is over and nothing is heard of the state service nor of another controller: whether to let a
    /// worker of ours go, so that it shows whether somebody else serves.
    pub(crate) fn let_go(&mut self, report: &RawReport, pool: &PoolId) -> Option<Response> {
        // It was renewed no later than the state service was last read, or we would have read since.
        let lease_ms = self.cfg.controller_lease_ms + LEASE_OVER_MS;
        let over = self.fresh.is_none_or(|f| self.now.since(f) > lease_ms);
        // Peers that say nothing better than we know are in the same outage.
        let alone = !self.reach.view.peers.hear_anyone(self.now, SILENT_MS);
        if !over || !(alone || self.reach.view.letting.others_serve()) {
            return None;
        }
        let peers: Vec<ControllerId> = self.cfg.peers.iter().map(|p| p.0.clone()).collect();
        let idle = !report.lists_tasks();
        let letting = &mut self.reach.view.letting;
        match letting.reports(pool, &report.machine, idle, &peers, self.now) {
            Answer::Keep => None,
            Answer::LetGo(to) => Some(Response::Redirect(to)),
        }
    }

    /// Sees who holds the pools now. Where one went from a controller that lives to another and it was not
    /// us who dealt it so, its workers have left the first.
    pub(crate) fn note_holders(&mut self) {
        for (pool, holding) in &self.cache.pools {
            self.reach.view.strays.see_token(pool, holding.token, self.now);
            let before = self.reach.holders.get(pool);
            if before == Some(&holding.owner) {
                continue;
            }
            if let Some(before) = before {
                let ours = self.reach.dealt.get(pool) == Some(&holding.owner);
                if !ours && self.cache.controllers.contains_key(before) {
                    self.reach.view.left(before, &pool.zone, self.now);
                    // And it has only just moved.
                    self.dealt.insert(pool.clone(), self.now);
                }
            }
            self.reach.holders.insert(pool.clone(), holding.owner.clone());
        }
    }

    /// Whether the controller may be given a share of a zone's machines: as far as we know it reaches them.
    pub(crate) fn may_hold(&self, controller: &ControllerId, zone: &ZoneId) -> bool {
        self.reach.view.may_hold(&self.cfg.me, controller, zone, self.now)
    }

    /// Controllers that reach the pool's workers where its owner, that lives, does not.
    pub(crate) fn takers(&self, owner: &ControllerId, pool: &PoolId) -> BTreeSet<ControllerId> {
        let (view, me) = (&self.reach.view, &self.cfg.me);
        let takes = |n: &&ControllerId| view.reaches_instead(me, n, owner, &pool.zone, self.now);
        self.cache.controllers.keys().filter(takes).cloned().collect()
    }
}
