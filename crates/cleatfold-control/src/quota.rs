//! Quota slices: how much of each team's limit an owned pool may use, and how much of that is left.
//!
//! Only a pool's owner changes the pool's slice, guarded by the pool's version. So the slices never
//! add up to more than the limit, and a pool never uses more than its slice.

use crate::controller::{Controller, EventNumber, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::scheduling::planning::PoolPlan;
use crate::store::cache::{CachedJob, Versioned};
use crate::store::records::{pool_key, slice_key, SliceRecord};
use cleatfold_admission::long_work_limit::LongWorkLimit;
use cleatfold_backfill::profile::FOREVER;
use cleatfold_backfill::{AvailabilityProfile, Resources, SliceDemand};
use cleatfold_ingress::{Backoff, PacerLimits, WritePacer, WritePurpose};
use cleatfold_wire::job::{JobSpec, Kind};
use cleatfold_wire::store::Txn;
use cleatfold_wire::{ControllerId, FencingToken, MachineId, Ms, PoolId, TeamId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Resources by team and pool.
pub(crate) type Usage = BTreeMap<(TeamId, PoolId), Resources>;

/// Stands for no limit; small enough that sums do not overflow.
const UNLIMITED: i64 = i64::MAX / 8;

/// A slice is kept for what a pool has reserved to start within this time, in milliseconds.
const SLICE_KEEP_MS: u64 = 10_000;

/// Time between two checks whether slices should be resized, in milliseconds.
const SLICE_INTERVAL_MS: u64 = 250;

/// Limits on writes of slices. They use at most `share` of the controller's change rate, and in
/// addition what other writes leave unused. A write that was refused or met a conflict is retried
/// after a quarter to half of a second, after further failures with a pause of up to four seconds.
const PACER_LIMITS: PacerLimits = PacerLimits {
    share: 0.35,
    burst_s: 2.0,
    min_burst: 4.0,
    backoff: Backoff { first_ms: 500, max_ms: 4_000 },
    return_delay_ms: 3_000,
};

/// A change of a team's slices that the owned pools need.
struct SliceResize {
    team: TeamId,
    purpose: WritePurpose,
    txn: Txn,
    record: SliceRecord,
}

/// A change of a team's slices that was sent to the state service.
#[derive(Debug)]
pub(crate) struct SliceWrite {
    pub team: TeamId,
    txn: Txn,
    record: SliceRecord,
    /// Whether an earlier sending may have been executed, or may still be.
    outcome_unknown: bool,
}

/// This controller's state about quota slices.
#[derive(Debug)]
pub(crate) struct QuotaState {
    /// When slices may be written.
    pacer: WritePacer<TeamId>,
    /// Teams with a write of their slices in flight.
    pub writes_in_flight: BTreeSet<TeamId>,
    pub last_checked: Ms,
    /// What the last planning pass could have started if the pool's slice were larger.
    pub shortfall: Usage,
    /// What the last planning pass reserved to start soon; slices are kept for it.
    pub reserved_soon: Usage,
    /// Set when claims may exist that are not read yet: no claims for limited teams until a read
    /// that was sent at this event or later is applied.
    pub unread_claims_since: Option<EventNumber>,
}

impl QuotaState {
    pub(crate) fn new(me: &ControllerId) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(me.as_str().as_bytes());
        Self {
            pacer: WritePacer::new(seed, PACER_LIMITS),
            writes_in_flight: BTreeSet::new(),
            last_checked: Ms::default(),
            shortfall: Usage::new(),
            reserved_soon: Usage::new(),
            unread_claims_since: None,
        }
    }
}

/// A limit that the machines of a pool could exceed, and what is left of it in that pool.
pub(crate) struct BindingLimit {
    pub team: TeamId,
    /// The limit applies only to tasks of the team that run longer than this.
    pub longer_than_s: f64,
    remaining: Resources,
    /// Resources that are released when running tasks end, by the second from now in which they are
    /// expected to.
    releases: BTreeMap<u64, Resources>,
}

impl BindingLimit {
    /// Whether the limit applies to the job's tasks.
    pub(crate) fn applies_to(&self, spec: &JobSpec) -> bool {
        self.team == spec.team && spec.estimate_s > self.longer_than_s
    }

    /// Records that a task of the team in this pool is expected to end, and so to release
    /// `task_resources`.
    pub(crate) fn add_release(&mut self, now: Ms, end: Ms, task_resources: Resources) {
        if end.0 < FOREVER {
            *self.releases.entry(end.since(now).div_ceil(1000)).or_default() += task_resources;
        }
    }

    /// What is left of the limit over time.
    pub(crate) fn availability(&self, now: Ms) -> AvailabilityProfile {
        let releases = self.releases.iter().map(|(s, what)| (now.plus(s * 1000), *what));
        AvailabilityProfile::with_releases(now, self.remaining, releases)
    }
}

impl Controller {
    /// What limited teams use in the owned pools. Counts every claim until it is proven to have
    /// ended, and every claim that is requested or being written.
    pub(crate) fn limited_usage(&self) -> Usage {
        let mut usage = Usage::new();
        // Only the slices of owned pools matter here; most claims are in other pools.
        let own: Vec<&PoolId> = self.pools.owned.keys().collect();
        let teams: Vec<&TeamId> =
            self.cfg.teams.iter().filter(|t| t.is_limited()).map(|t| &t.name).collect();
        let mut used = vec![Resources::default(); own.len() * teams.len()];
        for (id, cached) in &self.cache.jobs {
            let team = teams.iter().position(|t| **t == cached.record.spec.team);
            let Some(team) = team.filter(|_| cached.claimed > 0) else { continue };
            for group in self.cache.tables(id).flat_map(|t| &t.claims) {
                if let Some(pool) = own.iter().position(|p| **p == group.pool) {
                    used[team * own.len() + pool] +=
                        cached.task_resources.times(group.tasks.len() as u32);
                }
            }
        }
        for (i, used) in used.into_iter().enumerate() {
            let (team, pool) = (teams[i / own.len()], own[i % own.len()]);
            usage.insert((team.clone(), pool.clone()), used);
        }
        for (id, job_state) in &self.job_states {
            for placement in &job_state.placement_requests {
                if let Some(cached) = self.cache.jobs.get(id) {
                    let key = (cached.record.spec.team.clone(), placement.pool.clone());
                    *usage.entry(key).or_default() += cached.task_resources.times(placement.tasks);
                }
            }
        }
        for pending in self.calls.pending.values() {
            let Pending::Job(tx) = pending else { continue };
            let Some(cached) = self.cache.jobs.get(&tx.job) else {
                continue;
            };
            for (pool, tasks) in tx.claimed_by_pool() {
                let key = (cached.record.spec.team.clone(), pool);
                *usage.entry(key).or_default() += cached.task_resources.times(tasks);
            }
        }
        usage
    }

    /// The limits that the pool's machines could exceed. What is left is counted from the pool's
    /// slice plus the unassigned rest of the limit, which the pool may get when it grows its slice.
    pub(crate) fn binding_limits(
        &self,
        pool: &PoolId,
        machines: usize,
        usage: &Usage,
        long_work: &BTreeMap<TeamId, LongWorkLimit>,
    ) -> Vec<BindingLimit> {
        let capacity = self.inventory.machine_resources(&pool.machine_type).times(machines as u32);
        let mut binding = Vec::new();
        for team in self.cfg.teams.iter().filter(|t| t.is_limited()) {
            let (slice, unassigned) = self.slice_and_unassigned(team, pool);
            let obtainable = slice + unassigned;
            if capacity.cpus <= obtainable.cpus && capacity.gpus <= obtainable.gpus {
                continue;
            }
            let used = usage.get(&(team.name.clone(), pool.clone())).copied().unwrap_or_default();
            let remaining = obtainable - Resources { memory: 0, ..used };
            let (team, releases) = (team.name.clone(), BTreeMap::new());
            binding.push(BindingLimit { team, longer_than_s: -1.0, remaining, releases });
        }
        for (team, limit) in long_work {
            let mut remaining = Resources { memory: UNLIMITED, gpus: UNLIMITED, ..capacity };
            remaining.cpus = (capacity.cpus as f64 * limit.capacity_share) as i64
                - self.long_work_usage(team, limit, pool);
            let (team, releases) = (team.clone(), BTreeMap::new());
            binding.push(BindingLimit {
                team,
                longer_than_s: limit.longer_than_s,
                remaining,
                releases,
            });
        }
        binding
    }

    /// Processors that a team's long work uses in a pool, claims being written included, in
    /// thousandths.
    fn long_work_usage(&self, team: &TeamId, limit: &LongWorkLimit, pool: &PoolId) -> i64 {
        let long = |cached: &&CachedJob| {
            let spec = &cached.record.spec;
            spec.team == *team && limit.is_long(spec.estimate_s)
        };
        let mut used = 0;
        for (id, cached) in self.cache.jobs.iter().filter(|(_, l)| long(l)) {
            let claimed = cached.claims_by_pool.iter().find(|(p, _)| p == pool).map_or(0, |p| p.1);
            // Ended tasks hold no resources, even if their end is not recorded yet.
            let ends = self.job_states.get(id).into_iter().flat_map(|l| &l.ends);
            let in_pool =
                |m: &MachineId| self.inventory.machines.get(m).is_some_and(|m| m.pool == *pool);
            let ended = ends.filter(|e| in_pool(&e.machine)).count() as u32;
            used += cached.task_resources.times(claimed.saturating_sub(ended)).cpus;
        }
        for pending in self.calls.pending.values() {
            let Pending::Job(tx) = pending else { continue };
            let Some(cached) = self.cache.jobs.get(&tx.job).filter(long) else { continue };
            let requested = tx.claimed_by_pool().filter(|(p, _)| p == pool).map(|p| p.1);
            used += cached.task_resources.times(requested.sum()).cpus;
        }
        used
    }

    /// The pool's slice of a team's limit, and the part of the limit that is in no pool's slice.
    fn slice_and_unassigned(
        &self,
        team: &crate::config::Team,
        pool: &PoolId,
    ) -> (Resources, Resources) {
        let record = self.cache.slices.get(&team.name).map(|s| &s.value);
        let slices = || record.iter().flat_map(|r| &r.pools);
        let slice = slices().find(|(p, _)| *p == pool).map(|p| *p.1).unwrap_or_default();
        let taken = slices().fold((0, 0), |a, (_, s)| (a.0 + s.0, a.1 + s.1));
        let max = Resources::new(team.cpus_max, team.gpus_max, 0.0);
        let of = |max: i64, slice: i64, taken: i64| match max {
            0 => (UNLIMITED, 0),
            max => (slice, (max - taken).max(0)),
        };
        let (cpus, gpus) = (of(max.cpus, slice.0, taken.0), of(max.gpus, slice.1, taken.1));
        (
            Resources { cpus: cpus.0, gpus: gpus.0, memory: UNLIMITED },
            Resources { cpus: cpus.1, gpus: gpus.1, memory: 0 },
        )
    }

    /// Records what the reservations of limited teams will start within `SLICE_KEEP_MS`.
    pub(crate) fn record_reserved_soon(&mut self, plans: &[PoolPlan]) {
        let mut reserved_soon = Usage::new();
        let until = self.now.plus(SLICE_KEEP_MS);
        for plan in plans {
            for r in plan.reservations.iter().filter(|r| r.start > self.now && r.start <= until) {
                let Some(cached) = self.cache.jobs.get(&plan.jobs[r.request]) else { continue };
                let team = &cached.record.spec.team;
                if self.cfg.team(team).is_some_and(|t| t.is_limited()) {
                    let key = (team.clone(), plan.pool.clone());
                    *reserved_soon.entry(key).or_default() += cached.task_resources.times(r.tasks);
                }
            }
        }
        self.quota.reserved_soon = reserved_soon;
    }

    /// How many more processors each limited team may use in the whole region. `weight` is the
    /// fraction of a job's claims that counts as used.
    pub(crate) fn team_headroom(
        &self,
        weight: impl Fn(&CachedJob) -> f64,
    ) -> BTreeMap<TeamId, f64> {
        let limited = self.cfg.teams.iter().filter(|t| t.cpus_max > 0.0);
        let mut headroom: BTreeMap<TeamId, f64> =
            limited.map(|t| (t.name.clone(), t.cpus_max)).collect();
        for cached in self.cache.jobs.values().filter(|l| l.claimed > 0) {
            if let Some(left) = headroom.get_mut(&cached.record.spec.team) {
                *left -= cached.record.spec.cpus * f64::from(cached.claimed) * weight(cached);
            }
        }
        headroom
    }

    /// How many of `tasks` fit into what is left of the pool's slice of the team's limit. Adds them
    /// to `usage`.
    pub(crate) fn take_from_slice(
        &self,
        team: &TeamId,
        pool: &PoolId,
        usage: &mut Usage,
        task_resources: Resources,
        tasks: u32,
    ) -> u32 {
        let Some(limit) = self.cfg.team(team) else {
            return 0;
        };
        if !limit.is_limited() {
            return tasks;
        }
        if self.quota.unread_claims_since.is_some() || self.quota.writes_in_flight.contains(team) {
            return 0;
        }
        let slice = self.cache.slices.get(team).and_then(|s| s.value.pools.get(pool)).copied();
        let (cpus, gpus) = slice.unwrap_or_default();
        let used = usage.entry((team.clone(), pool.clone())).or_default();
        let no_limit = i64::MAX / 4;
        let remaining = Resources {
            cpus: if limit.cpus_max > 0.0 { cpus - used.cpus } else { no_limit },
            gpus: if limit.gpus_max > 0.0 { gpus - used.gpus } else { no_limit },
            memory: no_limit,
        };
        let count = remaining.fitting_tasks(&task_resources, tasks);
        *used += task_resources.times(count);
        count
    }

    /// Resizes the slices of the owned pools. A slice grows only for what could start right now.
    /// When it grew for all waiting tasks, a pool whose machines the waiting jobs could not use
    /// kept the whole limit, and none of the team's tasks could start.
    pub(crate) fn maintain_slices(&mut self) {
        if self.now.since(self.quota.last_checked) < SLICE_INTERVAL_MS || !self.has_store_contact()
        {
            return;
        }
        self.quota.last_checked = self.now;
        if self.quota.unread_claims_since.is_some() {
            return;
        }
        let resizes = self.needed_slice_resizes();
        let wanted: Vec<(TeamId, WritePurpose)> =
            resizes.iter().map(|m| (m.team.clone(), m.purpose)).collect();
        self.quota.pacer.refill(self.now.0, self.rate_limiter.rate());
        let admitted =
            self.quota.pacer.admit(self.now.0, &wanted, self.rate_limiter.spare_changes());
        let mut resizes: BTreeMap<TeamId, SliceResize> =
            resizes.into_iter().map(|m| (m.team.clone(), m)).collect();
        for team in admitted {
            let Some(SliceResize { team, txn, record, .. }) = resizes.remove(&team) else {
                continue;
            };
            self.quota.writes_in_flight.insert(team.clone());
            let request = StoreRequest::Txn(txn.clone());
            let sent = SliceWrite { team, txn, record, outcome_unknown: false };
            self.call_store(CallPriority::Claim, request, Pending::QuotaSlice(Box::new(sent)));
        }
    }

    /// The resizes that the owned pools need, regardless of the change rate.
    fn needed_slice_resizes(&self) -> Vec<SliceResize> {
        let usage = self.limited_usage();
        let sizes = self.inventory.machine_counts();
        let own: Vec<(PoolId, FencingToken, Resources)> = self
            .pools
            .not_superseded()
            .map(|(p, token)| {
                let n = sizes.get(p).copied().unwrap_or(0) as u32;
                (p.clone(), token, self.inventory.machine_resources(&p.machine_type).times(n))
            })
            .collect();
        let largest_needs = self.largest_needs();
        let mut resizes = Vec::new();
        let limited = self.cfg.teams.iter().filter(|t| t.is_limited());
        for team in limited.filter(|t| !self.quota.writes_in_flight.contains(&t.name)) {
            let Versioned { version, value: record } =
                self.cache.slices.get(&team.name).cloned().unwrap_or_default();
            let max = Resources::new(team.cpus_max, team.gpus_max, 0.0);
            let taken = record.pools.values().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
            let mut free = (max.cpus - taken.0, max.gpus - taken.1);
            let largest_need = largest_needs.get(&team.name).copied().unwrap_or_default();
            let mut new_record = record.clone();
            let mut txn = Txn::default();
            let mut grows = false;
            for (pool, token, capacity) in &own {
                let key = (team.name.clone(), pool.clone());
                let of = |amounts: &Usage| amounts.get(&key).copied().unwrap_or_default();
                let (used, shortfall, reserved_soon) =
                    (of(&usage), of(&self.quota.shortfall), of(&self.quota.reserved_soon));
                let demand = |amount: fn(&Resources) -> i64| SliceDemand {
                    used: amount(&used),
                    shortfall: amount(&shortfall),
                    reserved_soon: amount(&reserved_soon),
                    capacity: amount(capacity),
                    limit: amount(&max),
                    largest_need: amount(&largest_need),
                };
                let old_slice = record.pools.get(pool).copied().unwrap_or_default();
                let slice = (
                    demand(|r| r.cpus).resize(old_slice.0, &mut free.0),
                    demand(|r| r.gpus).resize(old_slice.1, &mut free.1),
                );
                if slice != old_slice {
                    grows |= slice.0 > old_slice.0 || slice.1 > old_slice.1;
                    new_record.pools.insert(pool.clone(), slice);
                    txn.guard(pool_key(pool), Version(token.0));
                }
            }
            if new_record == record {
                continue;
            }
            new_record.pools.retain(|_, s| *s != (0, 0));
            txn.guard(slice_key(&team.name), version);
            txn.put(slice_key(&team.name), &new_record, None);
            let purpose = if grows { WritePurpose::Start } else { WritePurpose::Return };
            resizes.push(SliceResize { team: team.name.clone(), purpose, txn, record: new_record });
        }
        resizes
    }

    /// By limited team, the most that one of its waiting tasks or gangs needs at once to start.
    fn largest_needs(&self) -> BTreeMap<TeamId, Resources> {
        let mut largest_needs: BTreeMap<TeamId, Resources> = BTreeMap::new();
        for cached in self.cache.jobs.values().filter(|l| l.unclaimed() > 0) {
            let spec = &cached.record.spec;
            if self.cfg.team(&spec.team).is_some_and(|t| t.is_limited()) {
                let at_once = if spec.kind == Kind::Gang { spec.tasks } else { 1 };
                let at_once_resources = cached.task_resources.times(at_once);
                let largest_need = largest_needs.entry(spec.team.clone()).or_default();
                (largest_need.cpus, largest_need.gpus) = (
                    largest_need.cpus.max(at_once_resources.cpus),
                    largest_need.gpus.max(at_once_resources.gpus),
                );
            }
        }
        largest_needs
    }

    /// Handles the outcome of a write of a team's slices.
    pub(crate) fn on_slice_written(&mut self, op: u64, mut sent: SliceWrite, reply: StoreReply) {
        match reply {
            StoreReply::Committed(version) => {
                let SliceWrite { team, record, .. } = sent;
                self.quota.writes_in_flight.remove(&team);
                self.quota.pacer.succeeded(&team);
                let current = self.cache.slices.get(&team).map(|s| s.version).unwrap_or_default();
                if current < version {
                    self.cache.slices.insert(team, Versioned::new(version, record));
                }
                self.replan_needed = true;
            }
            // It may still be executed: no claims for the team until the outcome is known.
            StoreReply::Unknown => {
                sent.outcome_unknown = true;
                self.resend_slice(op, sent);
            }
            // This sending was not executed, but an earlier one may still be.
            StoreReply::Refused if sent.outcome_unknown => self.resend_slice(op, sent),
            // Certainly not executed: a later check decides again what is needed.
            StoreReply::Refused => {
                self.quota.writes_in_flight.remove(&sent.team);
                self.quota.pacer.failed(self.now.0, &sent.team);
                self.replan_needed = true;
            }
            _ => {
                // The stored slices and claims are known only after the next sync.
                self.quota.writes_in_flight.remove(&sent.team);
                self.quota.pacer.failed(self.now.0, &sent.team);
                self.quota.unread_claims_since = Some(self.event);
                self.session.sync_wanted = true;
            }
        }
    }

    /// Sends a write with an unknown outcome once more, with the same guards.
    fn resend_slice(&mut self, op: u64, sent: SliceWrite) {
        let pause_ms = self.quota.pacer.resend(&sent.team);
        let txn = sent.txn.clone();
        self.schedule_resend(
            op,
            CallPriority::Claim,
            txn,
            Pending::QuotaSlice(Box::new(sent)),
            pause_ms,
        );
    }
}
