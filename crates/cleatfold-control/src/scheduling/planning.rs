//! From the cache and the deployment to reservations, promises and claims.

use crate::controller::Controller;
use crate::effects::Effect;
use crate::jobs::state::{LocalJobState, PlacementRequest};
use crate::machines::inventory::Machine;
use crate::quota::{Binding, Usage};
use crate::scheduling::evictions::YIELD_MS;
use crate::scheduling::queue::Queued;
use crate::store::cache::CachedJob;
use cleatfold_backfill::profile::FOREVER;
use cleatfold_backfill::{AvailabilityProfile, MachineProfile, Request, Reservation};
use cleatfold_priority::{is_promise_trusted, min_wait_benefit_ms};
use cleatfold_wire::cloud::MachineType;
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::mesh::{Message, Promise};
use cleatfold_wire::{FencingToken, JobId, MachineId, Ms, PoolId, TaskIx, ZoneId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Reservations per pool and planning. What lies beyond waits unreserved until the next one.
const MAX_RESERVATIONS: usize = 400;
/// Between two plannings, at least.
const PLAN_INTERVAL_MS: u64 = 100;
/// Between two messages that tell the peers what our pools promise.
const PROMISE_INTERVAL_MS: u64 = 500;
/// Jobs that one such message names, and finishes that it names of each.
const MAX_PROMISED_JOBS: usize = 200;
const MAX_PROMISED_FINISHES: usize = 6;

type Finishes = Vec<(Ms, u32)>;
type Promises<'a> = HashMap<&'a JobId, Vec<(Option<usize>, Ms, u32)>>;

#[derive(Default)]
pub(crate) struct Plans {
    planned: Ms,
    sent_at: Ms,
    /// Promises of other controllers' pools: when they came, and per job when tasks finish.
    remote: BTreeMap<PoolId, (FencingToken, Ms, BTreeMap<JobId, Finishes>)>,
}

impl Plans {
    pub(crate) fn remote(
        &mut self,
        pool: PoolId,
        token: FencingToken,
        now: Ms,
        promises: Vec<Promise>,
    ) {
        let jobs = promises
            .into_iter()
            .map(|p| {
                let finishes = p.finishes.iter().map(|&(ms, n)| (now.plus(ms), n)).collect();
                (JobId::new(p.job), finishes)
            })
            .collect();
        self.remote.insert(pool, (token, now, jobs));
    }
}

/// One own pool's profile as planned.
pub(crate) struct PoolPlan {
    pub pool: PoolId,
    pub token: FencingToken,
    pub machines: Vec<MachineId>,
    pub open: Vec<bool>,
    pub jobs: Vec<JobId>,
    /// By request, whether it is growth.
    pub growth: Vec<bool>,
    pub requests: Vec<Request>,
    pub reservations: Vec<Reservation>,
}

/// A reservation that starts now.
struct DueStart<'a> {
    /// Its pool's plan, by number.
    pool: usize,
    plan: &'a PoolPlan,
    reservation: &'a Reservation,
    /// Tasks of its request that start now in this pool.
    due_tasks: u32,
    /// Tasks of the job that other pools promise to finish clearly earlier.
    elsewhere: u32,
}

impl DueStart<'_> {
    fn job(&self) -> &JobId {
        &self.plan.jobs[self.reservation.request]
    }
}

impl Controller {
    pub(crate) fn plan_if_due(&mut self) {
        // Deciding faster than decisions can be recorded only costs.
        // Nor is there much to decide between the reports that tell of what has ended.
        let least = PLAN_INTERVAL_MS.max(self.cfg.heartbeat_interval_ms / 15);
        let interval = least.max(2 * self.rate_limiter.ms_per_change()) * self.backpressure;
        if !self.replan_needed || self.now.since(self.plans.planned) < interval {
            return;
        }
        self.plans.planned = self.now;
        self.replan_needed = false;
        // What is not on its way yet is wished anew, by what is known now.
        for job in &self.unsent {
            if let Some(job_state) = self.job_states.get_mut(job) {
                job_state.placement_requests.clear();
            }
        }
        if self.pools.owned.is_empty() {
            return;
        }
        let (queue, guaranteed) = self.queue_and_guaranteed();
        self.refresh_priority(&queue);
        let usage = self.limited_usage();
        let plans = self.plan_pools(&queue, &usage);
        self.start_what_is_due(&queue, &plans, usage);
        self.plan_preemptions(&plans, &guaranteed);
        self.tell_promises(&plans);
    }

    fn plan_pools(&self, queue: &[Queued], usage: &Usage) -> Vec<PoolPlan> {
        let mut plans = Vec::new();
        let by_pool = self.inventory.by_pool();
        let long = self.long_work();
        for (pool, token) in self.pools.undisputed() {
            let members = by_pool.get(pool).map(Vec::as_slice).unwrap_or_default();
            let mut binding = self.binding_limits(pool, members.len(), usage, &long.limits);
            let (machines, mut profiles) = self.profiles(pool, token, members, &mut binding);
            if machines.is_empty() {
                continue;
            }
            let mut limits: Vec<AvailabilityProfile> =
                binding.iter().map(|b| b.over_time(self.now)).collect();
            let open = profiles.iter().map(|c| c.open).collect();
            let mut plan = PoolPlan {
                pool: pool.clone(),
                token,
                machines,
                open,
                jobs: Vec::new(),
                growth: Vec::new(),
                requests: Vec::new(),
                reservations: Vec::new(),
            };
            self.requests_for(&mut plan, queue, &binding, &long.later);
            plan.reservations = cleatfold_backfill::plan(
                &mut profiles,
                &mut limits,
                &plan.requests,
                MAX_RESERVATIONS,
            );
            plans.push(plan);
        }
        plans
    }

    /// A silent machine gets nothing new.
    pub(crate) fn silent_ms(&self) -> u64 {
        self.cfg.heartbeat_interval_ms * 5 / 2 + 500
    }

    /// The machines of a pool that may get work, and what is free on each over time. What comes back
    /// to the limits in `binding` as their tasks end is noted there.
    fn profiles(
        &self,
        pool: &PoolId,
        token: FencingToken,
        members: &[(&MachineId, &Machine)],
        binding: &mut [Binding],
    ) -> (Vec<MachineId>, Vec<MachineProfile>) {
        let Some(kind) = self.inventory.types.get(&pool.machine_type) else {
            return (vec![], vec![]);
        };
        let mut ids = Vec::new();
        let mut profiles = Vec::new();
        for &(id, machine) in members.iter().filter(|(_, machine)| machine.takes_work()) {
            let Some(mut profile) = self.empty_profile(machine, kind, token) else { continue };
            self.carve_claims(id, machine, kind, &mut profile, binding);
            ids.push(id.clone());
            profiles.push(profile);
        }
        (ids, profiles)
    }

    /// A machine without its tasks; none for one that is silent.
    fn empty_profile(
        &self,
        machine: &Machine,
        kind: &MachineType,
        token: FencingToken,
    ) -> Option<MachineProfile> {
        let now = self.now;
        let total = self.inventory.total(&kind.name);
        let mut profile = match &machine.heartbeat {
            Some(last) if now.since(last.at) > self.silent_ms() => return None,
            // This worker has seen our token, so nobody else commands it.
            Some(last) => MachineProfile::new(now, total, machine.spot, last.token == token),
            None => {
                let overdue_ms = (kind.boot_s * 3000.0) as u64 + 10_000;
                if now.since(machine.born) > overdue_ms {
                    return None;
                }
                let booted = machine.born.plus_s(kind.boot_s * 1.2).max(now.plus(2000));
                MachineProfile::new(booted, total, machine.spot, false)
            }
        };
        profile.fetch_gb_per_s = kind.fetch_gb_per_s;
        let price = if machine.spot { kind.spot_price } else { kind.price };
        profile.cost = (price / kind.cpus.max(0.001) * 1e6) as u64;
        profile.images = machine.images.iter().map(|(image, _)| (image.clone(), now)).collect();
        Some(profile)
    }

    /// Takes what the claims on a machine use out of its profile.
    fn carve_claims(
        &self,
        id: &MachineId,
        machine: &Machine,
        kind: &MachineType,
        profile: &mut MachineProfile,
        binding: &mut [Binding],
    ) {
        let now = self.now;
        // Claims come sorted by job: one look-up serves all of a job's.
        let mut known: Option<(&JobId, &CachedJob, Option<&LocalJobState>, Option<usize>)> = None;
        let mut noted: Option<&JobId> = None;
        for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
            let (cached, job_state, limit) = match known {
                Some((last, cached, job_state, limit)) if last == job => (cached, job_state, limit),
                _ => {
                    let Some(cached) = self.cache.jobs.get(job) else { continue };
                    let limit = binding.iter().position(|b| b.binds(&cached.record.spec));
                    (cached, self.job_states.get(job), limit)
                }
            };
            known = Some((job, cached, job_state, limit));
            // Its room is free though its end is not recorded yet. (Waiting for the record
            // left every place empty for seconds when changes run short.)
            if job_state.is_some_and(|l| l.is_ending(*ix, claim.attempt)) {
                if let Some(limit) = limit {
                    binding[limit].ends(now, now.plus(1000), cached.each);
                }
                continue;
            }
            let end = self.expected_end(id, machine, (job, *ix), cached, job_state);
            if let Some(limit) = limit {
                binding[limit].ends(now, end, cached.each);
            }
            profile.allocate(now, end, cached.each);
            let image = &cached.record.spec.image;
            if noted != Some(job) && !profile.images.iter().any(|(i, _)| i == image) {
                let ready = now.plus_s(cached.record.spec.image_gb / kind.fetch_gb_per_s);
                profile.images.push((image.clone(), ready));
            }
            noted = Some(job);
        }
    }

    fn run_ms(&self, cached: &CachedJob) -> u64 {
        if cached.record.spec.kind == Kind::Service {
            return FOREVER;
        }
        if let Some(width) = cached.width() {
            return width.remaining_ms(cached.claimed.max(width.base_members()));
        }
        (cached.record.spec.estimate_s * 1000.0) as u64
    }

    /// When a claimed task should be over. Past its estimate it gets a later end: a fifth of
    /// what it has run, and never less than two seconds, from now.
    fn expected_end(
        &self,
        machine_id: &MachineId,
        machine: &Machine,
        (job, ix): (&JobId, TaskIx),
        cached: &CachedJob,
        job_state: Option<&LocalJobState>,
    ) -> Ms {
        let run = self.run_ms(cached);
        if run >= FOREVER {
            return Ms(FOREVER);
        }
        if let Some(stop) = self.evictions.get(machine_id, job, ix) {
            return stop.until.max(self.now.plus(200));
        }
        if let Some(width) = cached.width() {
            // Beyond the least width it gives way when somebody's reservation comes near, so
            // it delays none.
            let beyond = ix >= cached.beyond;
            return self.now.plus(if beyond { width.release_delay_ms(YIELD_MS) } else { run });
        }
        let saved = job_state.and_then(|l| l.saved.get(&ix)).copied().unwrap_or(0);
        let run = run.saturating_sub(saved);
        match machine.started.get(&(job.clone(), ix)) {
            Some(start) => {
                let end = start.plus(run);
                if end > self.now {
                    end
                } else {
                    let ran = self.now.since(*start);
                    self.now.plus((ran / 5).max(2000))
                }
            }
            None => self.now.plus(run + self.cfg.heartbeat_interval_ms),
        }
    }

    pub(crate) fn may_use(&self, cached: &CachedJob, pool: &PoolId) -> bool {
        let spec = &cached.record.spec;
        spec.types.as_ref().is_none_or(|t| t.contains(&pool.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == pool.zone)
            && cached.bound_zone().is_none_or(|z| *z == pool.zone)
            && cached.each.is_within(&self.inventory.total(&pool.machine_type))
    }

    fn requests_for(
        &self,
        plan: &mut PoolPlan,
        queue: &[Queued],
        limited: &[Binding],
        later: &BTreeSet<JobId>,
    ) {
        let pool = &plan.pool;
        for Queued { job: id, urgency, tasks: unclaimed, growth } in queue {
            let Some(cached) = self.cache.jobs.get(id) else {
                continue;
            };
            if !self.may_use(cached, pool) || later.contains(id) {
                continue;
            }
            let job_state = self.job_states.get(id);
            if job_state.is_some_and(|l| l.hold_until > self.now) {
                continue;
            }
            // Not sent anywhere yet (a new job, or no leader): any pool may plan for it.
            let sent = job_state.map(|l| l.pools.as_slice()).unwrap_or_default();
            if !self.priority.considers(*urgency, id, sent, pool, self.now) {
                continue;
            }
            let spec = &cached.record.spec;
            let mut tasks = *unclaimed;
            if spec.spread {
                let here = self.claimed_in_zone(id, &pool.zone);
                tasks = tasks.min(spec.tasks.div_ceil(2).saturating_sub(here));
            }
            // A gang whose tasks are not all free waits for those that are being given up.
            if tasks == 0 || (spec.kind == Kind::Gang && cached.claimed > 0) {
                continue;
            }
            plan.jobs.push(id.clone());
            plan.growth.push(*growth);
            plan.requests.push(Request {
                each: cached.each,
                tasks,
                // A member beyond the base may leave at the end of any step.
                run_ms: cached
                    .width()
                    .filter(|_| *growth)
                    .map_or(self.run_ms(cached), |w| w.step_ms),
                image: spec.image.clone(),
                image_gb: spec.image_gb,
                spot: spec.spot,
                gang: spec.kind == Kind::Gang,
                limit: limited.iter().position(|b| b.binds(spec)),
                min_wait_benefit_ms: min_wait_benefit_ms(*urgency, spec.estimate_s),
                avoid: self.barred(id, *urgency, plan),
            });
        }
    }

    /// Machines on which the job has failed, or on which room is kept for others.
    fn barred(&self, id: &JobId, urgency: Urgency, plan: &PoolPlan) -> Vec<usize> {
        let mut barred = self.avoided(id, &plan.machines);
        barred.extend(self.priority.kept_from(&plan.pool, (id, urgency), &plan.machines));
        barred
    }

    fn claimed_in_zone(&self, job: &JobId, zone: &ZoneId) -> u32 {
        self.cache
            .tables(job)
            .flat_map(|t| &t.claims)
            .filter(|g| g.pool.zone == *zone)
            .map(|g| g.tasks.len() as u32)
            .sum()
    }

    /// Turns reservations that start now into placement requests, soonest finish first, unless
    /// the other pools promise to have all that is left of the job done earlier.
    fn start_what_is_due(&mut self, queue: &[Queued], plans: &[PoolPlan], mut usage: Usage) {
        let mut left: BTreeMap<JobId, u32> = BTreeMap::new();
        for queued in queue {
            *left.entry(queued.job.clone()).or_default() += queued.tasks;
        }
        self.quota.short.clear();
        self.note_soon(plans);
        for start in self.due_starts(plans) {
            let remaining = left.get(start.job()).copied().unwrap_or(0);
            if remaining == 0 || !self.may_start_now(&start, remaining) {
                continue;
            }
            let tasks = self.request_placement(&start, remaining, &mut usage);
            left.insert(start.job().clone(), remaining - tasks);
        }
    }

    /// The reservations that start now, soonest finish first.
    fn due_starts<'a>(&self, plans: &'a [PoolPlan]) -> Vec<DueStart<'a>> {
        let promises = self.promises(plans);
        let mut starts = Vec::new();
        for (pool, plan) in plans.iter().enumerate() {
            let is_due = |r: &&Reservation| r.start <= self.now && plan.open[r.machine];
            let due: Vec<&Reservation> = plan.reservations.iter().filter(is_due).collect();
            let mut due_tasks: BTreeMap<usize, u32> = BTreeMap::new();
            for reservation in &due {
                *due_tasks.entry(reservation.request).or_default() += reservation.tasks;
            }
            starts.extend(due.into_iter().map(|reservation| {
                let job = &plan.jobs[reservation.request];
                DueStart {
                    pool,
                    plan,
                    reservation,
                    due_tasks: due_tasks[&reservation.request],
                    elsewhere: self.promised_elsewhere(&promises, pool, job, reservation.finish),
                }
            }));
        }
        starts.sort_by_key(|start| {
            let r = start.reservation;
            (r.finish, start.pool, r.request, r.machine)
        });
        starts
    }

    /// Whether tasks of the job may be requested now, of `remaining` that are left of it.
    fn may_start_now(&mut self, start: &DueStart, remaining: u32) -> bool {
        let is_blocked = |state: &LocalJobState| {
            state.busy || state.stale_since.is_some() || state.not_before > self.now
        };
        if self.job_states.get(start.job()).is_some_and(is_blocked) {
            // One transaction per job at a time; the plan comes round again.
            self.replan_needed = true;
            return false;
        }
        if start.elsewhere >= remaining {
            return false;
        }
        let Some(cached) = self.cache.jobs.get(start.job()) else { return false };
        // Something more urgent may be unread in a pool that has just come.
        if cached.record.spec.urgency > self.priority.lowest(&start.plan.pool) {
            self.replan_needed = true;
            return false;
        }
        // Of a gang, all starts are due or none is.
        let is_gang = cached.record.spec.kind == Kind::Gang;
        !is_gang || (start.due_tasks >= cached.unclaimed() && cached.claimed == 0)
    }

    /// Requests placement of as many tasks as the team's quota holds. Returns how many.
    fn request_placement(&mut self, start: &DueStart, remaining: u32, usage: &mut Usage) -> u32 {
        let (plan, job) = (start.plan, start.job().clone());
        let Some(cached) = self.cache.jobs.get(&job) else { return 0 };
        let wanted = start.reservation.tasks.min(remaining);
        let (team, each) = (cached.record.spec.team.clone(), cached.each);
        let tasks = self.within_slice(&team, &plan.pool, usage, each, wanted);
        if tasks < wanted {
            let short = self.quota.short.entry((team, plan.pool.clone())).or_default();
            *short += each.times(wanted - tasks);
        }
        if tasks == 0 {
            return 0;
        }
        if plan.growth[start.reservation.request] {
            tracing::debug!(%job, tasks, pool = %plan.pool, "elastic job grows");
        }
        let placement = PlacementRequest {
            machine: plan.machines[start.reservation.machine].clone(),
            pool: plan.pool.clone(),
            token: plan.token,
            tasks,
        };
        self.job_state(&job).placement_requests.push(placement);
        self.note_unsent(&job);
        tasks
    }

    /// What every pool promises, by job: the number of an own pool (none for others' pools),
    /// when tasks finish and how many. Gathered once: looking through all reservations for each
    /// start took a third of the processor in a large deployment.
    fn promises<'a>(&'a self, plans: &'a [PoolPlan]) -> Promises<'a> {
        let mut promises = Promises::new();
        for (p, plan) in plans.iter().enumerate() {
            for r in &plan.reservations {
                let known = promises.entry(&plan.jobs[r.request]).or_default();
                known.push((Some(p), r.finish, r.tasks));
            }
        }
        for (pool, (token, at, jobs)) in &self.plans.remote {
            let current = self.cache.pools.get(pool).is_some_and(|h| h.token <= *token)
                && !self.pools.owned.contains_key(pool);
            if current {
                let (age_ms, lives) = (self.now.since(*at), self.priority.lives(pool));
                for (job, finishes) in jobs {
                    let cached = self.cache.jobs.get(job);
                    let urgency = cached.map_or(Urgency::BestEffort, |l| l.record.spec.urgency);
                    if !is_promise_trusted(urgency, age_ms, lives) {
                        continue;
                    }
                    let known = promises.entry(job).or_default();
                    known.extend(finishes.iter().map(|&(at, n)| (None, at, n)));
                }
            }
        }
        promises
    }

    /// How many of the job's tasks other pools promise to finish clearly before `finish`.
    fn promised_elsewhere(&self, promises: &Promises, here: usize, job: &JobId, finish: Ms) -> u32 {
        // Estimates are rough: an earlier finish must be clearly earlier.
        let slack = 1000 + finish.since(self.now) / 10;
        let before = Ms(finish.0.saturating_sub(slack));
        let known = promises.get(job).map(Vec::as_slice).unwrap_or_default();
        known.iter().filter(|(p, at, _)| *p != Some(here) && *at <= before).map(|p| p.2).sum()
    }

    fn tell_promises(&mut self, plans: &[PoolPlan]) {
        if self.now.since(self.plans.sent_at) < PROMISE_INTERVAL_MS * self.backpressure.min(4) {
            return;
        }
        self.plans.sent_at = self.now;
        for plan in plans {
            let mut jobs: BTreeMap<&JobId, Vec<(u64, u32)>> = BTreeMap::new();
            for r in &plan.reservations {
                if plan.growth[r.request] {
                    continue;
                }
                let finishes = jobs.entry(&plan.jobs[r.request]).or_default();
                if finishes.len() < MAX_PROMISED_FINISHES {
                    finishes.push((r.finish.since(self.now), r.tasks));
                }
            }
            let promises = jobs
                .into_iter()
                .take(MAX_PROMISED_JOBS)
                .map(|(job, finishes)| Promise { job: job.to_string(), finishes })
                .collect();
            let message =
                Message::Promises { pool: plan.pool.to_string(), token: plan.token.0, promises };
            self.out.push(Effect::Mesh { to: None, message });
        }
    }
}
