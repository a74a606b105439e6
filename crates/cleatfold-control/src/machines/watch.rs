//! Monitors the machines of this controller's pools: detects failed, unresponsive and idle
//! machines, deletes them, and adds machines that are known only from claims.

use crate::controller::{Controller, Pending};
use crate::effects::CloudRequest;
use crate::jobs::state::{ClaimEnd, EndReason, Fence};
use crate::machines::inventory::Machine;
use crate::store::cache::CachedJob;
use cleatfold_wire::cloud::MachineState;
use cleatfold_wire::{FencingToken, MachineId, Ms, PoolId, TeamId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The cost of a check grows with the number of machines, and none of its results is urgent.
const WATCH_INTERVAL_MS: u64 = 250;
/// A machine that never sends a heartbeat is deleted after this multiple of its type's boot time,
/// plus `BOOT_GRACE_MS`.
const MAX_BOOT_TIME_FACTOR: u64 = 4;
const BOOT_GRACE_MS: u64 = 30_000;
/// Machines that one call to the cloud may delete, by its protocol.
const MAX_DELETED_PER_CALL: usize = 100;
/// Up to this many unresponsive machines in a zone count as machine failures; more of them may be a
/// network partition.
const MAX_INDEPENDENT_FAILURES: usize = 2;

/// What the check of a machine needs to know of its pool.
struct WatchedPool {
    token: FencingToken,
    /// When this controller's ownership was first read.
    acquired_at: Ms,
    boot_ms: u64,
    /// Processors of one machine.
    cpus: f64,
    /// Processors that waiting jobs can use on its on-demand machines and on its spot machines.
    usable_cpus_left: [f64; 2],
}

/// The time of a check, and its thresholds.
struct WatchThresholds {
    now: Ms,
    /// Without a heartbeat for longer than this, the worker's lease may have expired.
    lease_check_ms: u64,
    /// Without a heartbeat for longer than this, the machine counts as unresponsive.
    machine_timeout_ms: u64,
    lease_ms: u64,
    idle_ms: u64,
}

impl WatchThresholds {
    /// The time after which a worker's lease has certainly expired: the worker may receive the
    /// renewal late, and clocks drift.
    fn max_lease_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms / 500 + 500
    }
}

/// Machines of the owned pools in one zone, by whether this controller reaches them.
#[derive(Clone, Copy, Default)]
struct ZoneReachability {
    unreachable: usize,
    reachable: usize,
}

impl ZoneReachability {
    /// Whether so many machines of the zone are unreachable at once that a network partition, or a
    /// fault of this controller, is the likely cause; deleting them would make it worse. Counted
    /// per zone, because among all machines of an owner a partitioned zone looks like a few
    /// failures.
    fn may_be_partitioned(self) -> bool {
        self.unreachable > MAX_INDEPENDENT_FAILURES && self.unreachable * 2 > self.reachable
    }
}

/// A machine that has sent no heartbeat for longer than the threshold.
struct UnresponsiveMachine {
    id: MachineId,
    zone: ZoneId,
    silence_ms: u64,
}

/// A machine that sends heartbeats but receives no responses.
struct PartitionedMachine {
    id: MachineId,
    zone: ZoneId,
}

/// A machine whose worker's lease has provably expired, with the pool ownership that proves it.
struct ExpiredMachine {
    id: MachineId,
    fence: Fence,
}

/// Results of one check of all machines.
#[derive(Default)]
struct CheckResults {
    /// Machines to be deleted regardless of the state of their zone.
    to_delete: Vec<MachineId>,
    unresponsive: Vec<UnresponsiveMachine>,
    partitioned: Vec<PartitionedMachine>,
    expired: Vec<ExpiredMachine>,
    zones: BTreeMap<ZoneId, ZoneReachability>,
}

impl CheckResults {
    /// Checks one machine. `is_needed` returns whether it must be kept even when idle.
    fn check(
        &mut self,
        id: &MachineId,
        machine: &mut Machine,
        pool: &mut WatchedPool,
        thresholds: &WatchThresholds,
        has_claims: bool,
        is_needed: impl FnOnce() -> bool,
    ) {
        if machine.state == Some(MachineState::Failed) {
            self.to_delete.push(id.clone());
            return;
        }
        if machine.last_heartbeat_at().is_none() && !has_claims {
            self.check_booting(id, machine, pool, thresholds);
            return;
        }
        if !self.check_responsiveness(id, machine, pool, thresholds, has_claims) {
            return;
        }
        if has_claims || machine.has_running_tasks() {
            machine.idle_since = None;
            return;
        }
        let idle_since = *machine.idle_since.get_or_insert(thresholds.now);
        let usable_cpus_left = &mut pool.usable_cpus_left[usize::from(machine.spot)];
        let is_unneeded = *usable_cpus_left <= 0.0;
        *usable_cpus_left -= pool.cpus;
        let is_idle = thresholds.now.since(idle_since) > thresholds.idle_ms;
        let is_unused = is_idle && is_unneeded && !is_needed();
        if machine.draining || is_unused {
            self.to_delete.push(id.clone());
        }
    }

    /// Checks a machine that has not sent a heartbeat yet: it is deleted if it takes too long to
    /// boot.
    fn check_booting(
        &mut self,
        id: &MachineId,
        machine: &Machine,
        pool: &WatchedPool,
        thresholds: &WatchThresholds,
    ) {
        let age_ms = thresholds.now.since(machine.created_at);
        let owned_ms = thresholds.now.since(pool.acquired_at);
        if age_ms > pool.boot_ms * MAX_BOOT_TIME_FACTOR + BOOT_GRACE_MS && owned_ms > BOOT_GRACE_MS
        {
            self.to_delete.push(id.clone());
        }
    }

    /// Returns whether the machine sends heartbeats and receives responses; records it if it does
    /// not, or if its lease has expired.
    fn check_responsiveness(
        &mut self,
        id: &MachineId,
        machine: &mut Machine,
        pool: &WatchedPool,
        thresholds: &WatchThresholds,
        has_claims: bool,
    ) -> bool {
        let now = thresholds.now;
        let last = machine.last_heartbeat_at().unwrap_or(machine.observed_since);
        let silence_ms = now.since(last.max(machine.observed_since).max(pool.acquired_at));
        if silence_ms > thresholds.lease_check_ms {
            // The worker has seen this controller's token, so it accepts no response of an earlier
            // owner: only this controller's last response can have renewed its lease.
            let token_seen = machine.heartbeat.as_ref().is_some_and(|h| h.token == pool.token);
            let renewal_expired = machine.last_answer.is_some_and(|(at, token)| {
                token == pool.token && now.since(at) > thresholds.max_lease_ms()
            });
            if token_seen && renewal_expired && !machine.lease_expired {
                machine.lease_expired = true;
                let fence = Fence { pool: machine.pool.clone(), token: pool.token };
                self.expired.push(ExpiredMachine { id: id.clone(), fence });
            }
        }
        let zone = &machine.pool.zone;
        let count = match self.zones.get_mut(zone) {
            Some(count) => count,
            None => self.zones.entry(zone.clone()).or_default(),
        };
        if silence_ms > thresholds.machine_timeout_ms {
            count.unreachable += 1;
            let unresponsive =
                UnresponsiveMachine { id: id.clone(), zone: zone.clone(), silence_ms };
            self.unresponsive.push(unresponsive);
            return false;
        }
        // It sends heartbeats but receives no responses: this does not show that the zone is
        // reachable, and the machine cannot be used.
        if machine.partition_detector.is_partitioned() {
            count.unreachable += 1;
            let partitioned_ms = machine.partition_detector.partitioned_ms(now);
            if !has_claims && partitioned_ms > 2 * thresholds.lease_ms {
                self.partitioned.push(PartitionedMachine { id: id.clone(), zone: zone.clone() });
            }
            return false;
        }
        count.reachable += 1;
        true
    }

    fn zone_reachability(&self, zone: &ZoneId) -> ZoneReachability {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// All machines to be deleted.
    fn deletions(&self, lease_ms: u64) -> Vec<MachineId> {
        let mut deletions = self.to_delete.clone();
        let is_failed = |m: &&UnresponsiveMachine| {
            !self.zone_reachability(&m.zone).may_be_partitioned() || m.silence_ms > lease_ms * 2
        };
        deletions.extend(self.unresponsive.iter().filter(is_failed).map(|m| m.id.clone()));
        let partitioned = self
            .partitioned
            .iter()
            .filter(|m| !self.zone_reachability(&m.zone).may_be_partitioned());
        deletions.extend(partitioned.map(|m| m.id.clone()));
        deletions
    }
}

impl Controller {
    /// Checks the machines of the owned pools: releases the claims of those whose lease has
    /// expired, and deletes failed, unresponsive and idle ones.
    pub(crate) fn watch_machines(&mut self) {
        // While this controller is cut off from the state service, its own isolation would look
        // like failures of the machines, which other controllers may still reach.
        let is_due =
            self.now.since(self.machines_checked_at) >= WATCH_INTERVAL_MS * self.backpressure;
        if !self.has_store_contact() || !is_due {
            return;
        }
        self.machines_checked_at = self.now;
        self.adopt_claimed_machines();
        self.return_faulty_machines();
        let thresholds = WatchThresholds {
            now: self.now,
            lease_check_ms: self.heartbeat_timeout_ms(),
            machine_timeout_ms: self.cfg.machine_timeout_ms(),
            lease_ms: self.cfg.lease_ms,
            idle_ms: (self.cfg.idle_return_s * 1000.0) as u64,
        };
        let mut pools = self.watched_pools();
        let mut results = CheckResults::default();
        for (id, machine) in &mut self.inventory.machines {
            let watched = pools.get_mut(&machine.pool).filter(|_| !machine.deleting);
            let Some(pool) = watched else { continue };
            let has_claims = self.cache.claims.get(id).is_some_and(|c| !c.is_empty());
            let is_needed = || self.image_distribution.blocks_idle_return(id);
            results.check(id, machine, pool, &thresholds, has_claims, is_needed);
        }
        for ExpiredMachine { id, fence } in &results.expired {
            // Claims made after the expiry can be released too: their tasks were never started.
            if self.cache.claims.contains_key(id) {
                self.end_machine_claims(id, EndReason::LeaseExpired, Some(fence.clone()));
            }
        }
        self.replan_needed |= !results.unresponsive.is_empty();
        self.delete_machines(results.deletions(thresholds.lease_ms));
    }

    /// Collects the data of the owned pools for the check.
    fn watched_pools(&self) -> BTreeMap<PoolId, WatchedPool> {
        let headroom = self.team_headroom(|_| 1.0);
        // Collected once, since it is the same for every pool.
        let waiting: Vec<&CachedJob> = self
            .cache
            .jobs
            .iter()
            .filter(|(_, job)| !job.record.aborted && job.unclaimed() > 0)
            .filter(|(id, job)| self.startable_tasks(id, job, 1) > 0)
            .map(|(_, job)| job)
            .collect();
        let watched = self.pools.owned.iter().map(|(pool, owned)| {
            let machine_type = self.inventory.types.get(&pool.machine_type);
            let usable_cpus = |spot| self.usable_cpus(pool, spot, &waiting, &headroom);
            let watched = WatchedPool {
                token: owned.token,
                acquired_at: owned.acquired_at,
                boot_ms: machine_type.map_or(60_000.0, |t| t.boot_s * 1000.0) as u64,
                cpus: machine_type.map_or(1.0, |t| t.cpus),
                usable_cpus_left: [usable_cpus(false), usable_cpus(true)],
            };
            (pool.clone(), watched)
        });
        watched.collect()
    }

    /// Processors that waiting jobs can use on the pool's on-demand or spot machines.
    fn usable_cpus(
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
            // Tasks that wait only because of their team's limit do not keep idle machines:
            // otherwise hundreds stay idle for a team that cannot start anything.
            if !headroom.contains_key(&spec.team) {
                return f64::INFINITY;
            }
            *teams.entry(&spec.team).or_default() += spec.cpus * f64::from(job.unclaimed());
        }
        teams.into_iter().map(|(team, cpus)| cpus.min(headroom[team]).max(0.0)).sum()
    }

    /// Ends all claims on a machine that provably runs no tasks any more.
    pub(super) fn end_machine_claims(
        &mut self,
        id: &MachineId,
        reason: EndReason,
        fence: Option<Fence>,
    ) {
        let claims = self.cache.claims.get(id).cloned().unwrap_or_default();
        tracing::info!(machine = %id, tasks = claims.len(), reason = %reason, "machine gone");
        for ((job, ix), claim) in claims {
            let (machine, attempt, fence) = (id.clone(), claim.attempt, fence.clone());
            let started = self
                .inventory
                .machines
                .get(id)
                .and_then(|m| m.task_started_at.get(&(job.clone(), ix)));
            let ran_ms = started.map_or(0, |s| self.now.since(*s));
            self.queue_claim_end(
                &job,
                ClaimEnd { machine, ix, attempt, done: false, reason, ran_ms, fence },
            );
        }
    }

    /// Requests the deletion of machines that no claim in flight names.
    fn delete_machines(&mut self, ids: Vec<MachineId>) {
        // One call at a time, with up to a hundred machines: one call per machine used up the
        // cloud's rate limit for a minute after many machines had failed, which delayed the proofs
        // of deletion.
        if self.calls.pending.values().any(|p| matches!(p, Pending::Delete { .. })) {
            return;
        }
        let mut batch = Vec::new();
        for id in ids {
            let has_claim_in_flight = self
                .job_states
                .values()
                .any(|state| state.placement_requests.iter().any(|w| w.machine == id))
                || self
                    .calls
                    .pending
                    .values()
                    .any(|p| matches!(p, Pending::Job(tx) if tx.claims_on(&id)));
            if has_claim_in_flight || batch.len() >= MAX_DELETED_PER_CALL {
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
            self.call_cloud(CloudRequest::Delete(batch), pending);
        }
    }

    /// Adds machines that are known only from claims (those of a former owner) to the inventory,
    /// and ends the claims of those that are already deleted.
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
                // The claims remain until their ends are recorded; the ends are reported only once.
                let claims = self.cache.claims.get(&id).into_iter().flatten();
                let mut ending = claims.map(|((job, ix), c)| self.is_ending(job, *ix, c.attempt));
                if ending.any(|is_ending| !is_ending) {
                    self.end_machine_claims(&id, EndReason::MachineDeleted, None);
                }
            } else {
                let now = self.now;
                self.inventory.machines.entry(id).or_insert_with(|| Machine::new(pool, false, now));
            }
        }
    }
}
