//! What the cloud tells of machines, and what owners see of theirs: silent ones, idle ones, those that are
//! returned, and those that only their claims tell of.

use crate::controller::{Controller, Pending};
use crate::effects::{CloudReply, CloudRequest};
use crate::jobs::state::ClaimEnd;
use crate::machines::inventory::Machine;
use crate::store::cache::CachedJob;
use cleatfold_roles::Role;
use cleatfold_wire::cloud::{ListedMachine, MachineState};
use cleatfold_wire::{FencingToken, MachineId, Ms, PoolId, TeamId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Looking at every machine costs by their number; nothing it finds is in a hurry.
const WATCH_MS: u64 = 250;

/// A pool of ours, as its machines are watched by.
struct OwnPool {
    token: FencingToken,
    since: Ms,
    boot_ms: u64,
    /// Of one machine.
    cpus: f64,
    /// Processors that waiting jobs may use of its ordinary and of its cheap machines.
    useful: [f64; 2],
}

impl Controller {
    // ---- the cloud's answers ----

    /// Half of the cloud's rate is for whoever rents, the others share the rest.
    pub(crate) fn cloud_spacing_ms(&self) -> u64 {
        let others = self.cfg.peers.len();
        let share = match (others, self.holds(Role::ScaleOut)) {
            (0, _) => 1.0,
            (_, true) => 0.5,
            (n, false) => 0.5 / n as f64,
        };
        (1000.0 / (self.cfg.cloud_calls_per_s * share).max(0.1)) as u64
    }

    /// Looking takes at most half of our calls, however many pages the list has.
    fn list_ms(&self) -> u64 {
        let pages = 1 + self.inventory.machines.len() as u64 / 500;
        (2 * pages * self.cloud_spacing_ms()).max(4000)
    }

    pub(crate) fn keep_cloud(&mut self) {
        let types_due = self.types_at.is_none_or(|at| self.now.since(at) > 60_000);
        if types_due && !self.types_asked {
            self.types_asked = true;
            self.cloud(CloudRequest::Types, Pending::Types);
        }
        let list_due = self.list_at.is_none_or(|at| self.now.since(at) > self.list_ms());
        if list_due && !self.list_asked && self.types_at.is_some() {
            self.list_asked = true;
            let sent = self.now;
            self.list_acc.clear();
            self.cloud(CloudRequest::List { from: None }, Pending::List { sent });
        }
    }

    pub(crate) fn on_cloud(&mut self, op: u64, reply: CloudReply) {
        match (self.ops.remove(&op), reply) {
            (Some(Pending::Types), reply) => {
                self.types_asked = false;
                match reply {
                    // A list of none says nothing: whoever went by it would refuse every job for good.
                    CloudReply::Types(types) if !types.is_empty() => {
                        self.inventory.types =
                            types.into_iter().map(|t| (t.name.clone(), t)).collect();
                        self.types_at = Some(self.now);
                    }
                    _ if self.types_at.is_some() => self.types_at = Some(self.now),
                    _ => {}
                }
            }
            (Some(Pending::List { sent }), CloudReply::List { machines, more }) => {
                self.list_acc.extend(machines);
                match self.list_acc.last().map(|m| m.id.clone()) {
                    Some(last) if more => {
                        self.cloud(CloudRequest::List { from: Some(last) }, Pending::List { sent })
                    }
                    _ => {
                        self.list_asked = false;
                        self.list_at = Some(self.now);
                        let list = std::mem::take(&mut self.list_acc);
                        self.on_list(list);
                    }
                }
            }
            (Some(Pending::List { .. }), _) => {
                self.list_asked = false;
                self.list_at = self.list_at.map(|_| Ms(self.now.0.saturating_sub(2500)));
            }
            (Some(Pending::ScaleOut { request, tries }), reply) => {
                self.on_scale_out(request, tries, reply)
            }
            (Some(Pending::Delete { machines }), CloudReply::Deleted) => {
                for id in machines {
                    self.on_machine_gone(&id, "machine deleted", None);
                    self.inventory.note_deleted(&id);
                }
                self.replan_needed = true;
            }
            (Some(Pending::Delete { machines }), _) => {
                for id in machines {
                    if let Some(m) = self.inventory.machines.get_mut(&id) {
                        m.deleting = false;
                    }
                }
            }
            _ => {}
        }
    }

    fn on_list(&mut self, list: Vec<ListedMachine>) {
        let now = self.now;
        self.inventory.listed_at = now;
        for listed in &list {
            if self.inventory.is_deleted(&listed.id) {
                continue;
            }
            let pool =
                PoolId { machine_type: listed.machine_type.clone(), zone: listed.zone.clone() };
            let machine = self.inventory.machines.entry(listed.id.clone()).or_insert_with(|| {
                self.replan_needed = true;
                let mut m = Machine::new(pool.clone(), listed.spot, now);
                m.born = Ms(now.0.saturating_sub((listed.age_s * 1000.0) as u64));
                m
            });
            machine.listed_at = now;
            machine.was_listed = true;
            if machine.endpoint.is_none() {
                machine.endpoint.clone_from(&listed.endpoint);
            }
            // An old list must not take a reporting machine back to booting.
            if machine.report.is_none() || listed.state == MachineState::Failed {
                machine.listed = Some(listed.state);
            }
        }
        let silent = 30_000 + 2 * self.cfg.list_lag_ms;
        let claims = &self.cache.claims;
        self.inventory.machines.retain(|id, m| {
            now.since(m.listed_at) < silent
                || m.last_heartbeat().is_some_and(|h| now.since(h) < silent)
                || claims.contains_key(id)
        });
    }

    /// Whether a machine that reports to another controller may still be there: it is in the last list, or no list has
    /// named it yet. Decides what is rented, nothing else.
    pub(crate) fn may_be_there(&self, machine: &Machine) -> bool {
        let last_heartbeat =
            machine.last_heartbeat().is_some_and(|at| self.now.since(at) <= self.silent_ms());
        let listed = machine.listed_at >= self.inventory.listed_at;
        last_heartbeat || listed || !machine.was_listed
    }

    /// All claims on a machine that is provably gone are over.
    fn on_machine_gone(
        &mut self,
        id: &MachineId,
        why: &'static str,
        fence: Option<(PoolId, FencingToken)>,
    ) {
        let claims = self.cache.claims.get(id).cloned().unwrap_or_default();
        tracing::info!(machine = %id, tasks = claims.len(), why, "machine gone");
        for ((job, ix), claim) in claims {
            let (machine, attempt, fence) = (id.clone(), claim.attempt, fence.clone());
            let started =
                self.inventory.machines.get(id).and_then(|m| m.started.get(&(job.clone(), ix)));
            let ran_ms = started.map_or(0, |s| self.now.since(*s));
            self.end(&job, ClaimEnd { machine, ix, attempt, done: false, why, ran_ms, fence });
        }
    }

    // ---- our machines ----

    pub(crate) fn watch_machines(&mut self) {
        // Cut off, we would take our own silence for the machines'. Others may hear them.
        if !self.in_contact() || self.now.since(self.watched) < WATCH_MS * self.backpressure {
            return;
        }
        self.watched = self.now;
        self.adopt_claimed_machines();
        self.judge_machines();
        let now = self.now;
        let silent_limit = self.cfg.given_up_ms();
        let quiet_limit = self.silent_ms();
        let mut silent: Vec<(MachineId, ZoneId, u64)> = Vec::new();
        // Per zone: how many of our machines are silent, and how many report.
        let mut zones: BTreeMap<ZoneId, (usize, usize)> = BTreeMap::new();
        let mut delete: Vec<MachineId> = Vec::new();
        let mut expired: Vec<(MachineId, PoolId, FencingToken)> = Vec::new();
        let mut turned_silent = false;
        let mut partitioned: Vec<(MachineId, ZoneId)> = Vec::new();
        let idle_limit = (self.cfg.idle_return_s * 1000.0) as u64;
        let mut pools: BTreeMap<PoolId, OwnPool> = BTreeMap::new();
        let headroom = self.team_headroom(|_| 1.0);
        // The same for every pool.
        let waiting: Vec<&CachedJob> = self
            .cache
            .jobs
            .iter()
            .filter(|(_, j)| !j.record.aborted && j.unclaimed() > 0)
            .filter(|(id, j)| self.may_start(id, j, 1) > 0)
            .map(|(_, j)| j)
            .collect();
        for (pool, &(token, since)) in &self.owned_since {
            let useful = |spot: bool| {
                let mut teams: BTreeMap<&TeamId, f64> = BTreeMap::new();
                for j in &waiting {
                    let spec = &j.record.spec;
                    if (spot && !spec.spot) || !self.may_use(j, pool) {
                        continue;
                    }
                    // What waits for its team's limit alone keeps no idle machine. (Hundreds
                    // stood idle for a team that could not start anything.)
                    if !headroom.contains_key(&spec.team) {
                        return f64::INFINITY;
                    }
                    *teams.entry(&spec.team).or_default() += spec.cpus * f64::from(j.unclaimed());
                }
                teams.into_iter().map(|(team, waits)| waits.min(headroom[team]).max(0.0)).sum()
            };
            let kind = self.inventory.types.get(&pool.machine_type);
            let boot_ms = kind.map_or(60_000.0, |t| t.boot_s * 1000.0) as u64;
            let cpus = kind.map_or(1.0, |t| t.cpus);
            let useful = [useful(false), useful(true)];
            let own = OwnPool { token, since, boot_ms, cpus, useful };
            pools.insert(pool.clone(), own);
        }
        let claims = &self.cache.claims;
        for (id, m) in &mut self.inventory.machines {
            let Some(own) = pools.get_mut(&m.pool).filter(|_| !m.deleting) else { continue };
            if m.listed == Some(MachineState::Failed) {
                delete.push(id.clone());
                continue;
            }
            let claimed = claims.get(id).is_some_and(|c| !c.is_empty());
            match m.last_heartbeat() {
                None if !claimed => {
                    // Booting, or never coming up.
                    let age = now.since(m.born);
                    if age > own.boot_ms * 4 + 30_000 && now.since(own.since) > 30_000 {
                        delete.push(id.clone());
                    }
                    continue;
                }
                last_heartbeat => {
                    let base = last_heartbeat.unwrap_or(m.known).max(m.known).max(own.since);
                    let quiet = now.since(base);
                    if quiet > quiet_limit {
                        // Its own lease: the last answer it can have had came from us, under
                        // the token it has seen, so nobody else can have renewed it.
                        let lease = self.cfg.lease_ms + self.cfg.lease_ms / 500 + 500;
                        let seen = m.report.as_ref().is_some_and(|r| r.token == own.token);
                        let answered = m
                            .answered
                            .is_some_and(|(at, t)| t == own.token && now.since(at) > lease);
                        if seen && answered && !m.expired {
                            m.expired = true;
                            expired.push((id.clone(), m.pool.clone(), own.token));
                        }
                    }
                    let zone = match zones.get_mut(&m.pool.zone) {
                        Some(zone) => zone,
                        None => zones.entry(m.pool.zone.clone()).or_default(),
                    };
                    if quiet > silent_limit {
                        zone.0 += 1;
                        silent.push((id.clone(), m.pool.zone.clone(), quiet));
                        turned_silent = true;
                        continue;
                    }
                    // Received, but it hears nothing: no sign that the zone is reached, and of no use.
                    if m.partition_detector.is_partitioned() {
                        zone.0 += 1;
                        if !claimed
                            && m.partition_detector.partitioned_ms(now) > 2 * self.cfg.lease_ms
                        {
                            partitioned.push((id.clone(), m.pool.zone.clone()));
                        }
                        continue;
                    }
                    zone.1 += 1;
                }
            }
            if claimed || m.runs_something() {
                m.idle_since = None;
                continue;
            }
            let idle_since = *m.idle_since.get_or_insert(now);
            let useful = &mut own.useful[usize::from(m.spot)];
            let useless = *useful <= 0.0;
            *useful -= own.cpus;
            let unused =
                now.since(idle_since) > idle_limit && useless && !self.image_distribution.needs(id);
            if m.draining || unused {
                delete.push(id.clone());
            }
        }
        // Many of one zone at once is a cut, or us: deleting them would make it worse. (Counted
        // over all of an owner's machines, a cut zone passed for a few dead ones among many.)
        for (id, zone, quiet) in silent {
            let (gone, there) = zones.get(&zone).copied().unwrap_or_default();
            let cut = gone > 2 && gone * 2 > there;
            if !cut || quiet > self.cfg.lease_ms * 2 {
                delete.push(id);
            }
        }
        for (id, zone) in partitioned {
            let (gone, there) = zones.get(&zone).copied().unwrap_or_default();
            if gone <= 2 || gone * 2 <= there {
                delete.push(id);
            }
        }
        for (id, pool, token) in expired {
            // Claims made since are on no machine either: they were never ordered.
            if self.cache.claims.contains_key(&id) {
                self.on_machine_gone(&id, "lease ran out", Some((pool, token)));
            }
        }
        if turned_silent {
            self.replan_needed = true;
        }
        self.delete(delete);
    }

    fn delete(&mut self, ids: Vec<MachineId>) {
        // One call at a time, up to a hundred machines each: a call a machine kept the cloud's
        // rate busy for a minute after a wave of losses, and proofs came late.
        if self.ops.values().any(|p| matches!(p, Pending::Delete { .. })) {
            return;
        }
        let mut batch = Vec::new();
        for id in ids {
            let promised = self
                .job_states
                .values()
                .any(|l| l.placement_requests.iter().any(|w| w.machine == id))
                || self.ops.values().any(|p| matches!(p, Pending::Job(tx) if tx.names(&id)));
            if promised || batch.len() >= 100 {
                continue;
            }
            if let Some(m) = self.inventory.machines.get_mut(&id) {
                m.deleting = true;
                m.draining = true;
                batch.push(id);
            }
        }
        if !batch.is_empty() {
            tracing::info!(machines = ?batch, "deleting");
            let pending = Pending::Delete { machines: batch.clone() };
            self.cloud(CloudRequest::Delete(batch), pending);
        }
    }

    /// Machines that only their claims tell of: taken over from a former owner, or deleted.
    fn adopt_claimed_machines(&mut self) {
        let unknown: BTreeSet<MachineId> = self
            .cache
            .claims
            .keys()
            .filter(|id| !self.inventory.machines.contains_key(*id))
            .cloned()
            .collect();
        if unknown.is_empty() {
            return;
        }
        let mut found: BTreeMap<MachineId, PoolId> = BTreeMap::new();
        for id in self.cache.jobs.keys() {
            for group in self.cache.tables(id).flat_map(|t| &t.claims) {
                if unknown.contains(&group.machine) {
                    found.insert(group.machine.clone(), group.pool.clone());
                }
            }
        }
        for (id, pool) in found {
            if self.inventory.is_deleted(&id) {
                // Until the ends are recorded its claims stand; they are told of once.
                let claims = self.cache.claims.get(&id).into_iter().flatten();
                let mut news = claims.map(|((job, ix), c)| self.is_ending(job, *ix, c.attempt));
                if news.any(|ending| !ending) {
                    self.on_machine_gone(&id, "machine deleted", None);
                }
            } else {
                let now = self.now;
                self.inventory.machines.entry(id).or_insert_with(|| Machine::new(pool, false, now));
            }
        }
    }
}
