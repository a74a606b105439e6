//! Watching the machines of this controller's pools: silent ones, idle ones, those that are returned,
//! and those that only their claims tell of.

use crate::controller::{Controller, Pending};
use crate::effects::CloudRequest;
use crate::jobs::state::{ClaimEnd, EndReason, Fence};
use crate::machines::inventory::Machine;
use crate::store::cache::CachedJob;
use cleatfold_wire::cloud::MachineState;
use cleatfold_wire::{FencingToken, MachineId, Ms, PoolId, TeamId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Looking at every machine costs by their number; nothing it finds is in a hurry.
const WATCH_INTERVAL_MS: u64 = 250;
/// A machine that never reports is returned after so many boot times, and a moment.
const MAX_BOOT_TIMES: u64 = 4;
const BOOT_GRACE_MS: u64 = 30_000;
/// Machines that one call to the cloud may delete, by the protocol.
const MAX_DELETED_PER_CALL: usize = 100;
/// So few silent machines of a zone are dead machines; more of them may be a cut.
const MAX_SINGLE_FAILURES: usize = 2;

/// A pool of ours, as its machines are watched by.
struct WatchedPool {
    token: FencingToken,
    /// Since when it is ours.
    since: Ms,
    boot_ms: u64,
    /// Of one machine.
    cpus: f64,
    /// Processors that waiting jobs may use of its ordinary and of its spot machines.
    useful: [f64; 2],
}

/// Times after which something is concluded about a machine.
struct WatchTimes {
    now: Ms,
    /// Without a heartbeat for so long its lease may have expired.
    quiet_ms: u64,
    /// Without a heartbeat for so long it is given up.
    given_up_ms: u64,
    lease_ms: u64,
    idle_ms: u64,
}

impl WatchTimes {
    /// A worker's lease is over for certain after so long: it may be renewed late, and clocks drift.
    fn certain_lease_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms / 500 + 500
    }
}

/// Machines of one zone that are ours.
#[derive(Clone, Copy, Default)]
struct ZoneCount {
    unresponsive: usize,
    responsive: usize,
}

impl ZoneCount {
    /// Many of one zone at once is a cut, or us: deleting them would make it worse. (Counted
    /// over all of an owner's machines, a cut zone passed for a few dead ones among many.)
    fn looks_cut(self) -> bool {
        self.unresponsive > MAX_SINGLE_FAILURES && self.unresponsive * 2 > self.responsive
    }
}

/// A machine that has sent no heartbeat for so long that it is given up.
struct SilentMachine {
    id: MachineId,
    zone: ZoneId,
    silent_ms: u64,
}

/// A machine that sends heartbeats and receives nothing.
struct PartitionedMachine {
    id: MachineId,
    zone: ZoneId,
}

/// A machine whose lease has provably expired, under the ownership that proves it.
struct ExpiredMachine {
    id: MachineId,
    fence: Fence,
}

/// What one look at the machines has found.
#[derive(Default)]
struct Findings {
    /// To be deleted, whatever else is found.
    delete: Vec<MachineId>,
    silent: Vec<SilentMachine>,
    partitioned: Vec<PartitionedMachine>,
    expired: Vec<ExpiredMachine>,
    zones: BTreeMap<ZoneId, ZoneCount>,
}

impl Findings {
    /// Looks at one machine. `is_needed`: not to be returned for idleness.
    fn inspect(
        &mut self,
        id: &MachineId,
        machine: &mut Machine,
        pool: &mut WatchedPool,
        times: &WatchTimes,
        has_claims: bool,
        is_needed: impl FnOnce() -> bool,
    ) {
        if machine.listed == Some(MachineState::Failed) {
            self.delete.push(id.clone());
            return;
        }
        if machine.last_heartbeat().is_none() && !has_claims {
            self.inspect_booting(id, machine, pool, times);
            return;
        }
        if !self.inspect_liveness(id, machine, pool, times, has_claims) {
            return;
        }
        if has_claims || machine.runs_something() {
            machine.idle_since = None;
            return;
        }
        let idle_since = *machine.idle_since.get_or_insert(times.now);
        let useful = &mut pool.useful[usize::from(machine.spot)];
        let is_useless = *useful <= 0.0;
        *useful -= pool.cpus;
        let is_idle = times.now.since(idle_since) > times.idle_ms;
        let is_unused = is_idle && is_useless && !is_needed();
        if machine.draining || is_unused {
            self.delete.push(id.clone());
        }
    }

    /// Booting, or never coming up.
    fn inspect_booting(
        &mut self,
        id: &MachineId,
        machine: &Machine,
        pool: &WatchedPool,
        times: &WatchTimes,
    ) {
        let age_ms = times.now.since(machine.born);
        let owned_ms = times.now.since(pool.since);
        if age_ms > pool.boot_ms * MAX_BOOT_TIMES + BOOT_GRACE_MS && owned_ms > BOOT_GRACE_MS {
            self.delete.push(id.clone());
        }
    }

    /// Whether the machine reports and receives what it is told.
    fn inspect_liveness(
        &mut self,
        id: &MachineId,
        machine: &mut Machine,
        pool: &WatchedPool,
        times: &WatchTimes,
        has_claims: bool,
    ) -> bool {
        let now = times.now;
        let last = machine.last_heartbeat().unwrap_or(machine.known);
        let quiet_ms = now.since(last.max(machine.known).max(pool.since));
        if quiet_ms > times.quiet_ms {
            // Its own lease: the last answer it can have had came from us, under the token it has
            // seen, so nobody else can have renewed it.
            let seen = machine.heartbeat.as_ref().is_some_and(|h| h.token == pool.token);
            let answered = machine.answered.is_some_and(|(at, token)| {
                token == pool.token && now.since(at) > times.certain_lease_ms()
            });
            if seen && answered && !machine.expired {
                machine.expired = true;
                let fence = Fence { pool: machine.pool.clone(), token: pool.token };
                self.expired.push(ExpiredMachine { id: id.clone(), fence });
            }
        }
        let zone = &machine.pool.zone;
        let count = match self.zones.get_mut(zone) {
            Some(count) => count,
            None => self.zones.entry(zone.clone()).or_default(),
        };
        if quiet_ms > times.given_up_ms {
            count.unresponsive += 1;
            let silent = SilentMachine { id: id.clone(), zone: zone.clone(), silent_ms: quiet_ms };
            self.silent.push(silent);
            return false;
        }
        // It reports, but receives nothing: no sign that the zone is reached, and of no use.
        if machine.partition_detector.is_partitioned() {
            count.unresponsive += 1;
            let partitioned_ms = machine.partition_detector.partitioned_ms(now);
            if !has_claims && partitioned_ms > 2 * times.lease_ms {
                self.partitioned.push(PartitionedMachine { id: id.clone(), zone: zone.clone() });
            }
            return false;
        }
        count.responsive += 1;
        true
    }

    fn zone(&self, zone: &ZoneId) -> ZoneCount {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Every machine that is to be deleted.
    fn to_delete(&self, lease_ms: u64) -> Vec<MachineId> {
        let mut delete = self.delete.clone();
        let is_given_up =
            |m: &&SilentMachine| !self.zone(&m.zone).looks_cut() || m.silent_ms > lease_ms * 2;
        delete.extend(self.silent.iter().filter(is_given_up).map(|m| m.id.clone()));
        let partitioned = self.partitioned.iter().filter(|m| !self.zone(&m.zone).looks_cut());
        delete.extend(partitioned.map(|m| m.id.clone()));
        delete
    }
}

impl Controller {
    /// Looks at our machines: releases the claims of those that are gone, and deletes those that are
    /// failed, silent or idle.
    pub(crate) fn watch_machines(&mut self) {
        // Cut off, we would take our own silence for the machines'. Others may hear them.
        let is_due = self.now.since(self.watched) >= WATCH_INTERVAL_MS * self.backpressure;
        if !self.in_contact() || !is_due {
            return;
        }
        self.watched = self.now;
        self.adopt_claimed_machines();
        self.judge_machines();
        let times = WatchTimes {
            now: self.now,
            quiet_ms: self.heartbeat_timeout_ms(),
            given_up_ms: self.cfg.given_up_ms(),
            lease_ms: self.cfg.lease_ms,
            idle_ms: (self.cfg.idle_return_s * 1000.0) as u64,
        };
        let mut pools = self.watched_pools();
        let mut findings = Findings::default();
        for (id, machine) in &mut self.inventory.machines {
            let watched = pools.get_mut(&machine.pool).filter(|_| !machine.deleting);
            let Some(pool) = watched else { continue };
            let has_claims = self.cache.claims.get(id).is_some_and(|c| !c.is_empty());
            let is_needed = || self.image_distribution.needs(id);
            findings.inspect(id, machine, pool, &times, has_claims, is_needed);
        }
        for ExpiredMachine { id, fence } in &findings.expired {
            // Claims made since are on no machine either: they were never ordered.
            if self.cache.claims.contains_key(id) {
                self.on_machine_gone(id, EndReason::LeaseExpired, Some(fence.clone()));
            }
        }
        self.replan_needed |= !findings.silent.is_empty();
        self.delete(findings.to_delete(times.lease_ms));
    }

    fn watched_pools(&self) -> BTreeMap<PoolId, WatchedPool> {
        let headroom = self.team_headroom(|_| 1.0);
        // The same for every pool.
        let waiting: Vec<&CachedJob> = self
            .cache
            .jobs
            .iter()
            .filter(|(_, job)| !job.record.aborted && job.unclaimed() > 0)
            .filter(|(id, job)| self.may_start(id, job, 1) > 0)
            .map(|(_, job)| job)
            .collect();
        let watched = self.pools.owned.iter().map(|(pool, owned)| {
            let kind = self.inventory.types.get(&pool.machine_type);
            let useful = |spot| self.useful_cpus(pool, spot, &waiting, &headroom);
            let watched = WatchedPool {
                token: owned.token,
                since: owned.since,
                boot_ms: kind.map_or(60_000.0, |t| t.boot_s * 1000.0) as u64,
                cpus: kind.map_or(1.0, |t| t.cpus),
                useful: [useful(false), useful(true)],
            };
            (pool.clone(), watched)
        });
        watched.collect()
    }

    /// Processors that waiting jobs may use of a pool's ordinary or spot machines.
    fn useful_cpus(
        &self,
        pool: &PoolId,
        spot: bool,
        waiting: &[&CachedJob],
        headroom: &BTreeMap<TeamId, f64>,
    ) -> f64 {
        let mut teams: BTreeMap<&TeamId, f64> = BTreeMap::new();
        for job in waiting {
            let spec = &job.record.spec;
            if (spot && !spec.spot) || !self.can_run_in(job, pool) {
                continue;
            }
            // What waits for its team's limit alone keeps no idle machine. (Hundreds
            // stood idle for a team that could not start anything.)
            if !headroom.contains_key(&spec.team) {
                return f64::INFINITY;
            }
            *teams.entry(&spec.team).or_default() += spec.cpus * f64::from(job.unclaimed());
        }
        teams.into_iter().map(|(team, waits)| waits.min(headroom[team]).max(0.0)).sum()
    }

    /// All claims on a machine that is provably gone are over.
    pub(super) fn on_machine_gone(
        &mut self,
        id: &MachineId,
        reason: EndReason,
        fence: Option<Fence>,
    ) {
        let claims = self.cache.claims.get(id).cloned().unwrap_or_default();
        tracing::info!(machine = %id, tasks = claims.len(), reason = %reason, "machine gone");
        for ((job, ix), claim) in claims {
            let (machine, attempt, fence) = (id.clone(), claim.attempt, fence.clone());
            let started =
                self.inventory.machines.get(id).and_then(|m| m.started.get(&(job.clone(), ix)));
            let ran_ms = started.map_or(0, |s| self.now.since(*s));
            self.end(&job, ClaimEnd { machine, ix, attempt, done: false, reason, ran_ms, fence });
        }
    }

    fn delete(&mut self, ids: Vec<MachineId>) {
        // One call at a time, up to a hundred machines each: a call a machine kept the cloud's
        // rate busy for a minute after a wave of losses, and proofs came late.
        if self.calls.pending.values().any(|p| matches!(p, Pending::Delete { .. })) {
            return;
        }
        let mut batch = Vec::new();
        for id in ids {
            let promised = self
                .job_states
                .values()
                .any(|l| l.placement_requests.iter().any(|w| w.machine == id))
                || self
                    .calls
                    .pending
                    .values()
                    .any(|p| matches!(p, Pending::Job(tx) if tx.names(&id)));
            if promised || batch.len() >= MAX_DELETED_PER_CALL {
                continue;
            }
            if let Some(m) = self.inventory.machines.get_mut(&id) {
                m.deleting = true;
                m.draining = true;
                batch.push(id);
            }
        }
        if !batch.is_empty() {
            tracing::info!(machines = ?batch, "deleting machines");
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
                    self.on_machine_gone(&id, EndReason::MachineDeleted, None);
                }
            } else {
                let now = self.now;
                self.inventory.machines.entry(id).or_insert_with(|| Machine::new(pool, false, now));
            }
        }
    }
}
