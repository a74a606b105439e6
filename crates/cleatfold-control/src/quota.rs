//! The parts of the teams' limits: what our pools may use of them, and what of that is left.
//!
//! Only a pool's owner changes the pool's part, guarded by the pool's version; so the parts never
//! add up to more than the limit, and what a pool uses never exceeds its part.

use crate::controller::{Controller, EventNumber, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::scheduling::planning::PoolPlan;
use crate::store::cache::{CachedJob, Versioned};
use crate::store::records::{pool_key, slice_key, SliceRecord};
use cleatfold_admission::long_work_limit::LongWorkLimit;
use cleatfold_backfill::profile::FOREVER;
use cleatfold_backfill::{AvailabilityProfile, Resources, SliceDemand};
use cleatfold_ingress::{Backoff, Need, PacerLimits, WritePacer};
use cleatfold_wire::job::{JobSpec, Kind};
use cleatfold_wire::store::Txn;
use cleatfold_wire::{ControllerId, FencingToken, MachineId, Ms, PoolId, TeamId, Version};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) type Usage = BTreeMap<(TeamId, PoolId), Resources>;

/// As good as none.
const UNLIMITED: i64 = i64::MAX / 8;

/// A part is kept for what a pool has reserved to start within this time.
const KEEP_MS: u64 = 10_000;

/// How often it is looked which slices should move.
const SLICE_INTERVAL_MS: u64 = 250;

/// Slices may take this share of our changes, and what nobody else needs. A write that was refused or came too
/// late is tried again after a quarter or half of a second, later after four seconds at most.
const PACER: PacerLimits = PacerLimits {
    share: 0.35,
    burst_s: 2.0,
    least_burst: 4.0,
    backoff: Backoff { first_ms: 500, most_ms: 4_000 },
    return_delay_ms: 3_000,
};

/// A change of a team's slices that our pools want.
struct SliceMove {
    team: TeamId,
    need: Need,
    txn: Txn,
    record: SliceRecord,
}

/// A change of a team's slices that was sent.
#[derive(Debug)]
pub(crate) struct SentSlice {
    pub team: TeamId,
    txn: Txn,
    record: SliceRecord,
    /// An earlier sending may have been executed, or may yet be.
    doubtful: bool,
}

#[derive(Debug)]
pub(crate) struct QuotaState {
    /// When slices may be written.
    pacer: WritePacer<TeamId>,
    pub inflight: BTreeSet<TeamId>,
    pub last_checked: Ms,
    /// What the last planning could have started but for the pool's part of a team's limit.
    pub short: Usage,
    /// What it reserved to start soon: a part is not given back for that.
    pub soon: Usage,
    /// Claims may stand that we have not read yet; no claim for a limited team until we have.
    pub blind: Option<EventNumber>,
}

impl QuotaState {
    pub(crate) fn new(me: &ControllerId) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(me.as_str().as_bytes());
        Self {
            pacer: WritePacer::new(seed, PACER),
            inflight: BTreeSet::new(),
            last_checked: Ms::default(),
            short: Usage::new(),
            soon: Usage::new(),
            blind: None,
        }
    }
}

/// A limit that a pool's machines could exceed, and what is left of it there.
pub(crate) struct Binding {
    pub team: TeamId,
    /// It binds only the team's tasks that run longer than this.
    pub longer_than_s: f64,
    left: Resources,
    /// What comes back to it, by the second from now in which its tasks are expected to end.
    back: BTreeMap<u64, Resources>,
}

impl Binding {
    pub(crate) fn binds(&self, spec: &JobSpec) -> bool {
        self.team == spec.team && spec.estimate_s > self.longer_than_s
    }

    /// A task of the team in this pool is expected to end.
    pub(crate) fn ends(&mut self, now: Ms, end: Ms, each: Resources) {
        if end.0 < FOREVER {
            *self.back.entry(end.since(now).div_ceil(1000)).or_default() += each;
        }
    }

    pub(crate) fn over_time(&self, now: Ms) -> AvailabilityProfile {
        let back = self.back.iter().map(|(s, what)| (now.plus(s * 1000), *what));
        AvailabilityProfile::growing(now, self.left, back)
    }
}

impl Controller {
    /// What limited teams use in our pools: every claim counts until it is proven over, and
    /// so does every claim that is on its way.
    pub(crate) fn limited_usage(&self) -> Usage {
        let mut usage = Usage::new();
        // Only our own pools' parts are ours to spend, and others hold most of the claims.
        let own: Vec<&PoolId> = self.pools.owned.keys().collect();
        let teams: Vec<&TeamId> =
            self.cfg.teams.iter().filter(|t| t.is_limited()).map(|t| &t.name).collect();
        let mut used = vec![Resources::default(); own.len() * teams.len()];
        for (id, cached) in &self.cache.jobs {
            let team = teams.iter().position(|t| **t == cached.record.spec.team);
            let Some(team) = team.filter(|_| cached.claimed > 0) else { continue };
            for group in self.cache.tables(id).flat_map(|t| &t.claims) {
                if let Some(pool) = own.iter().position(|p| **p == group.pool) {
                    used[team * own.len() + pool] += cached.each.times(group.tasks.len() as u32);
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
                    *usage.entry(key).or_default() += cached.each.times(placement.tasks);
                }
            }
        }
        for pending in self.calls.pending.values() {
            let Pending::Job(tx) = pending else { continue };
            let Some(cached) = self.cache.jobs.get(&tx.job) else {
                continue;
            };
            for (pool, tasks) in tx.claimed() {
                let key = (cached.record.spec.team.clone(), pool);
                *usage.entry(key).or_default() += cached.each.times(tasks);
            }
        }
        usage
    }

    /// The limits that this pool's machines could exceed, with the pool's part and what nobody
    /// has taken yet: that much it may hope for.
    pub(crate) fn binding_limits(
        &self,
        pool: &PoolId,
        machines: usize,
        usage: &Usage,
        long_work: &BTreeMap<TeamId, LongWorkLimit>,
    ) -> Vec<Binding> {
        let capacity = self.inventory.total(&pool.machine_type).times(machines as u32);
        let mut binding = Vec::new();
        for team in self.cfg.teams.iter().filter(|t| t.is_limited()) {
            let (part, free) = self.part_and_free(team, pool);
            let hope = part + free;
            if capacity.cpus <= hope.cpus && capacity.gpus <= hope.gpus {
                continue;
            }
            let used = usage.get(&(team.name.clone(), pool.clone())).copied().unwrap_or_default();
            let left = hope - Resources { memory: 0, ..used };
            let (team, back) = (team.name.clone(), BTreeMap::new());
            binding.push(Binding { team, longer_than_s: -1.0, left, back });
        }
        for (team, room) in long_work {
            let mut left = Resources { memory: UNLIMITED, gpus: UNLIMITED, ..capacity };
            left.cpus = (capacity.cpus as f64 * room.capacity_share) as i64
                - self.long_usage(team, room, pool);
            let (team, back) = (team.clone(), BTreeMap::new());
            binding.push(Binding { team, longer_than_s: room.longer_than_s, left, back });
        }
        binding
    }

    /// Thousandths of processors that a team's long work has in a pool, or is about to.
    fn long_usage(&self, team: &TeamId, room: &LongWorkLimit, pool: &PoolId) -> i64 {
        let long = |cached: &&CachedJob| {
            let spec = &cached.record.spec;
            spec.team == *team && room.is_long(spec.estimate_s)
        };
        let mut used = 0;
        for (id, cached) in self.cache.jobs.iter().filter(|(_, l)| long(l)) {
            let here = cached.by_pool.iter().find(|(p, _)| p == pool).map_or(0, |p| p.1);
            // What has ended holds nothing, whether that is recorded or not.
            let ends = self.job_states.get(id).into_iter().flat_map(|l| &l.ends);
            let in_pool =
                |m: &MachineId| self.inventory.machines.get(m).is_some_and(|m| m.pool == *pool);
            let ended = ends.filter(|e| in_pool(&e.machine)).count() as u32;
            used += cached.each.times(here.saturating_sub(ended)).cpus;
        }
        for pending in self.calls.pending.values() {
            let Pending::Job(tx) = pending else { continue };
            let Some(cached) = self.cache.jobs.get(&tx.job).filter(long) else { continue };
            let claimed = tx.claimed().filter(|(p, _)| p == pool).map(|p| p.1);
            used += cached.each.times(claimed.sum()).cpus;
        }
        used
    }

    /// The pool's part of a team's limit, and what of the limit is no pool's.
    fn part_and_free(&self, team: &crate::config::Team, pool: &PoolId) -> (Resources, Resources) {
        let record = self.cache.slices.get(&team.name).map(|s| &s.value);
        let parts = || record.iter().flat_map(|r| &r.pools);
        let part = parts().find(|(p, _)| *p == pool).map(|p| *p.1).unwrap_or_default();
        let taken = parts().fold((0, 0), |a, (_, s)| (a.0 + s.0, a.1 + s.1));
        let max = Resources::new(team.cpus_max, team.gpus_max, 0.0);
        let of = |max: i64, part: i64, taken: i64| match max {
            0 => (UNLIMITED, 0),
            max => (part, (max - taken).max(0)),
        };
        let (cpus, gpus) = (of(max.cpus, part.0, taken.0), of(max.gpus, part.1, taken.1));
        (
            Resources { cpus: cpus.0, gpus: gpus.0, memory: UNLIMITED },
            Resources { cpus: cpus.1, gpus: gpus.1, memory: 0 },
        )
    }

    /// What limited teams' reservations will start soon.
    pub(crate) fn note_soon(&mut self, plans: &[PoolPlan]) {
        let mut soon = Usage::new();
        let until = self.now.plus(KEEP_MS);
        for plan in plans {
            for r in plan.reservations.iter().filter(|r| r.start > self.now && r.start <= until) {
                let Some(cached) = self.cache.jobs.get(&plan.jobs[r.request]) else { continue };
                let team = &cached.record.spec.team;
                if self.cfg.team(team).is_some_and(|t| t.is_limited()) {
                    let key = (team.clone(), plan.pool.clone());
                    *soon.entry(key).or_default() += cached.each.times(r.tasks);
                }
            }
        }
        self.quota.soon = soon;
    }

    /// What each limited team could still use in the whole region, `weight` being how much of a
    /// claim counts.
    pub(crate) fn team_headroom(
        &self,
        weight: impl Fn(&CachedJob) -> f64,
    ) -> BTreeMap<TeamId, f64> {
        let limited = self.cfg.teams.iter().filter(|t| t.cpus_max > 0.0);
        let mut long_work: BTreeMap<TeamId, f64> =
            limited.map(|t| (t.name.clone(), t.cpus_max)).collect();
        for cached in self.cache.jobs.values().filter(|l| l.claimed > 0) {
            if let Some(room) = long_work.get_mut(&cached.record.spec.team) {
                *room -= cached.record.spec.cpus * f64::from(cached.claimed) * weight(cached);
            }
        }
        long_work
    }

    /// How many of `tasks` the pool's slice of the team's limit still holds; books them.
    pub(crate) fn within_slice(
        &self,
        team: &TeamId,
        pool: &PoolId,
        usage: &mut Usage,
        each: Resources,
        tasks: u32,
    ) -> u32 {
        let Some(limit) = self.cfg.team(team) else {
            return 0;
        };
        if !limit.is_limited() {
            return tasks;
        }
        if self.quota.blind.is_some() || self.quota.inflight.contains(team) {
            return 0;
        }
        let slice = self.cache.slices.get(team).and_then(|s| s.value.pools.get(pool)).copied();
        let (cpus, gpus) = slice.unwrap_or_default();
        let used = usage.entry((team.clone(), pool.clone())).or_default();
        let far = i64::MAX / 4;
        let room = Resources {
            cpus: if limit.cpus_max > 0.0 { cpus - used.cpus } else { far },
            gpus: if limit.gpus_max > 0.0 { gpus - used.gpus } else { far },
            memory: far,
        };
        let n = room.fits(&each, tasks);
        *used += each.times(n);
        n
    }

    /// Moves what our pools may use of limited teams' limits. Only a pool's owner changes the
    /// pool's part, guarded by the pool's version; so the parts never add up to more than the
    /// limit, and what a pool uses never exceeds its part. A pool asks only for what it could
    /// start right now: asking for all that waits let a pool whose machines the waiting jobs
    /// could not use keep the whole limit, and the team stood still.
    pub(crate) fn keep_slices(&mut self) {
        if self.now.since(self.quota.last_checked) < SLICE_INTERVAL_MS || !self.in_contact() {
            return;
        }
        self.quota.last_checked = self.now;
        if self.quota.blind.is_some() {
            return;
        }
        let moves = self.slice_moves();
        let wanted: Vec<(TeamId, Need)> = moves.iter().map(|m| (m.team.clone(), m.need)).collect();
        self.quota.pacer.refill(self.now.0, self.rate_limiter.rate());
        let admitted = self.quota.pacer.admit(self.now.0, &wanted, self.rate_limiter.spare());
        let mut moves: BTreeMap<TeamId, SliceMove> =
            moves.into_iter().map(|m| (m.team.clone(), m)).collect();
        for team in admitted {
            let Some(SliceMove { team, txn, record, .. }) = moves.remove(&team) else { continue };
            self.quota.inflight.insert(team.clone());
            let request = StoreRequest::Txn(txn.clone());
            let sent = SentSlice { team, txn, record, doubtful: false };
            self.store(CallPriority::Claim, request, Pending::Slice(Box::new(sent)));
        }
    }

    /// Which teams' slices should move, whether or not there are changes for all of them.
    fn slice_moves(&self) -> Vec<SliceMove> {
        let usage = self.limited_usage();
        let sizes = self.inventory.sizes();
        let own: Vec<(PoolId, FencingToken, Resources)> = self
            .pools
            .undisputed()
            .map(|(p, token)| {
                let n = sizes.get(p).copied().unwrap_or(0) as u32;
                (p.clone(), token, self.inventory.total(&p.machine_type).times(n))
            })
            .collect();
        let needs = self.largest_needs();
        let mut moves = Vec::new();
        let limited = self.cfg.teams.iter().filter(|t| t.is_limited());
        for team in limited.filter(|t| !self.quota.inflight.contains(&t.name)) {
            let Versioned { version, value: record } =
                self.cache.slices.get(&team.name).cloned().unwrap_or_default();
            let max = Resources::new(team.cpus_max, team.gpus_max, 0.0);
            let taken = record.pools.values().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
            let mut free = (max.cpus - taken.0, max.gpus - taken.1);
            let need = needs.get(&team.name).copied().unwrap_or_default();
            let mut new = record.clone();
            let mut txn = Txn::default();
            let mut grows = false;
            for (pool, token, capacity) in &own {
                let key = (team.name.clone(), pool.clone());
                let of = |amounts: &Usage| amounts.get(&key).copied().unwrap_or_default();
                let (used, short, soon) = (of(&usage), of(&self.quota.short), of(&self.quota.soon));
                let demand = |amount: fn(&Resources) -> i64| SliceDemand {
                    used: amount(&used),
                    short: amount(&short),
                    soon: amount(&soon),
                    capacity: amount(capacity),
                    limit: amount(&max),
                    largest_need: amount(&need),
                };
                let old = record.pools.get(pool).copied().unwrap_or_default();
                let part = (
                    demand(|r| r.cpus).resize(old.0, &mut free.0),
                    demand(|r| r.gpus).resize(old.1, &mut free.1),
                );
                if part != old {
                    grows |= part.0 > old.0 || part.1 > old.1;
                    new.pools.insert(pool.clone(), part);
                    txn.guard(pool_key(pool), Version(token.0));
                }
            }
            if new == record {
                continue;
            }
            new.pools.retain(|_, s| *s != (0, 0));
            txn.guard(slice_key(&team.name), version);
            txn.put(slice_key(&team.name), &new, None);
            let need = if grows { Need::Start } else { Need::Return };
            moves.push(SliceMove { team: team.name.clone(), need, txn, record: new });
        }
        moves
    }

    /// By team, the most that something of it needs at once to start at all.
    fn largest_needs(&self) -> BTreeMap<TeamId, Resources> {
        let mut needs: BTreeMap<TeamId, Resources> = BTreeMap::new();
        for cached in self.cache.jobs.values().filter(|l| l.unclaimed() > 0) {
            let spec = &cached.record.spec;
            if self.cfg.team(&spec.team).is_some_and(|t| t.is_limited()) {
                let at_once = if spec.kind == Kind::Gang { spec.tasks } else { 1 };
                let each = cached.each.times(at_once);
                let need = needs.entry(spec.team.clone()).or_default();
                (need.cpus, need.gpus) = (need.cpus.max(each.cpus), need.gpus.max(each.gpus));
            }
        }
        needs
    }

    pub(crate) fn on_slice(&mut self, op: u64, mut sent: SentSlice, reply: StoreReply) {
        match reply {
            StoreReply::Committed(version) => {
                let SentSlice { team, record, .. } = sent;
                self.quota.inflight.remove(&team);
                self.quota.pacer.succeeded(&team);
                let current = self.cache.slices.get(&team).map(|s| s.version).unwrap_or_default();
                if current < version {
                    self.cache.slices.insert(team, Versioned::new(version, record));
                }
                self.replan_needed = true;
            }
            // It may yet be executed: until that is decided, nothing is claimed by it.
            StoreReply::Unknown => {
                sent.doubtful = true;
                self.resend_slice(op, sent);
            }
            // Not executed this time, but an earlier sending may yet be.
            StoreReply::Refused if sent.doubtful => self.resend_slice(op, sent),
            // Certainly not executed: what is wanted then is found out by a later look.
            StoreReply::Refused => {
                self.quota.inflight.remove(&sent.team);
                self.quota.pacer.failed(self.now.0, &sent.team);
                self.replan_needed = true;
            }
            _ => {
                // What stands is known after the next reading; until then it counts as blind.
                self.quota.inflight.remove(&sent.team);
                self.quota.pacer.failed(self.now.0, &sent.team);
                self.quota.blind = Some(self.event);
                self.session.sync_wanted = true;
            }
        }
    }

    /// Sends it once more: the same guards decide.
    fn resend_slice(&mut self, op: u64, sent: SentSlice) {
        let pause_ms = self.quota.pacer.resend(&sent.team);
        let txn = sent.txn.clone();
        self.again(op, CallPriority::Claim, txn, Pending::Slice(Box::new(sent)), pause_ms);
    }
}
