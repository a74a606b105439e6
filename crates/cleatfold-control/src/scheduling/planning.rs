//! Backfill planning for the owned pools: reservations in queue order, placement requests for those
//! that can start now, and promises of expected finishes to the other controllers.

use crate::controller::Controller;
use crate::effects::Effect;
use crate::jobs::state::{LocalJobState, PlacementRequest};
use crate::machines::inventory::Machine;
use crate::quota::{BindingLimit, Usage};
use crate::scheduling::evictions::YIELD_GRACE_MS;
use crate::scheduling::occupancy::RunTime;
use crate::scheduling::queue::QueuedTasks;
use crate::store::cache::CachedJob;
use cleatfold_backfill::profile::FOREVER;
use cleatfold_backfill::{AvailabilityProfile, MachineProfile, Request, Reservation};
use cleatfold_priority::{is_promise_trusted, min_wait_benefit_ms};
use cleatfold_wire::cloud::MachineType;
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::mesh::{Message, Promise};
use cleatfold_wire::{FencingToken, JobId, MachineId, Ms, PoolId, TaskIx, ZoneId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Reservations per pool and planning pass. Jobs beyond that have no reservation in this pass.
const MAX_RESERVATIONS: usize = 400;
/// Minimum time between two planning passes.
const PLAN_INTERVAL_MS: u64 = 100;
/// Minimum time between two broadcasts of the owned pools' promises.
const PROMISE_INTERVAL_MS: u64 = 500;
/// Jobs per promise message at most.
const MAX_PROMISED_JOBS: usize = 200;
/// Finishes per job in a promise message at most.
const MAX_PROMISED_FINISHES: usize = 6;

/// When tasks are expected to finish, and how many then.
type Finishes = Vec<(Ms, u32)>;
/// By job: the index of the owned pool's plan (none for a pool of another controller), when tasks
/// are expected to finish, and how many then.
type Promises<'a> = HashMap<&'a JobId, Vec<(Option<usize>, Ms, u32)>>;

/// When this controller last planned, and what the other controllers have promised.
#[derive(Default)]
pub(crate) struct PlanningState {
    last_planned: Ms,
    promises_sent_at: Ms,
    /// Promises of other controllers' pools: their fencing token, when they arrived, and by job
    /// when tasks are expected to finish.
    remote_promises: BTreeMap<PoolId, (FencingToken, Ms, BTreeMap<JobId, Finishes>)>,
}

impl PlanningState {
    /// Records the promises that the owner of another pool has sent.
    pub(crate) fn record_remote_promises(
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
        self.remote_promises.insert(pool, (token, now, jobs));
    }
}

/// The plan of one owned pool.
pub(crate) struct PoolPlan {
    pub pool: PoolId,
    pub token: FencingToken,
    pub machines: Vec<MachineId>,
    /// By machine, whether tasks can be started there now.
    pub can_start: Vec<bool>,
    /// By request, the job that it belongs to.
    pub jobs: Vec<JobId>,
    /// By request, whether it is for members beyond an elastic job's base.
    pub is_growth: Vec<bool>,
    pub requests: Vec<Request>,
    pub reservations: Vec<Reservation>,
}

/// A reservation that starts now.
struct DueStart<'a> {
    /// Index of its pool's plan.
    pool: usize,
    plan: &'a PoolPlan,
    reservation: &'a Reservation,
    /// How many tasks of its request start now in this pool.
    due_tasks: u32,
    /// How many tasks of the job other pools promise to finish clearly earlier.
    promised_elsewhere: u32,
}

impl DueStart<'_> {
    fn job(&self) -> &JobId {
        &self.plan.jobs[self.reservation.request]
    }
}

impl Controller {
    /// Runs a planning pass if something has changed and the last pass was long enough ago.
    pub(crate) fn plan_if_due(&mut self) {
        // Planning faster than claims can be written to the state service only costs processor
        // time, and little changes between the heartbeats that report which tasks have ended.
        let min_interval = PLAN_INTERVAL_MS.max(self.cfg.heartbeat_interval_ms / 15);
        let interval = min_interval.max(2 * self.rate_limiter.ms_per_change()) * self.backpressure;
        if !self.replan_needed || self.now.since(self.planning.last_planned) < interval {
            return;
        }
        self.planning.last_planned = self.now;
        self.replan_needed = false;
        // Requests that are not sent yet are replaced by those of this pass.
        for job in &self.dirty_jobs {
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
        self.request_due_placements(&queue, &plans, usage);
        self.plan_preemptions(&plans, &guaranteed);
        self.broadcast_promises(&plans);
    }

    /// Plans each owned pool whose ownership is undisputed.
    fn plan_pools(&self, queue: &[QueuedTasks], usage: &Usage) -> Vec<PoolPlan> {
        let mut plans = Vec::new();
        let by_pool = self.inventory.machines_by_pool();
        let long_work = self.long_work();
        for (pool, token) in self.pools.not_superseded() {
            let pool_machines = by_pool.get(pool).map(Vec::as_slice).unwrap_or_default();
            let mut binding =
                self.binding_limits(pool, pool_machines.len(), usage, &long_work.limits);
            let (machines, mut profiles) =
                self.machine_profiles(pool, token, pool_machines, &mut binding);
            if machines.is_empty() {
                continue;
            }
            let mut limits: Vec<AvailabilityProfile> =
                binding.iter().map(|limit| limit.availability(self.now)).collect();
            let can_start = profiles.iter().map(|profile| profile.open).collect();
            let mut plan = PoolPlan {
                pool: pool.clone(),
                token,
                machines,
                can_start,
                jobs: Vec::new(),
                is_growth: Vec::new(),
                requests: Vec::new(),
                reservations: Vec::new(),
            };
            self.add_requests(&mut plan, queue, &binding, &long_work.deferred);
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

    /// A machine without a heartbeat for longer than this gets no new tasks.
    pub(crate) fn heartbeat_timeout_ms(&self) -> u64 {
        self.cfg.heartbeat_interval_ms * 5 / 2 + 500
    }

    /// The machines of a pool that may get tasks, with the availability profile of each. Also
    /// records in `binding` what their running tasks give back to those limits when they end.
    fn machine_profiles(
        &self,
        pool: &PoolId,
        token: FencingToken,
        pool_machines: &[(&MachineId, &Machine)],
        binding: &mut [BindingLimit],
    ) -> (Vec<MachineId>, Vec<MachineProfile>) {
        let Some(machine_type) = self.inventory.types.get(&pool.machine_type) else {
            return (vec![], vec![]);
        };
        let mut ids = Vec::new();
        let mut profiles = Vec::new();
        for &(id, machine) in pool_machines.iter().filter(|(_, machine)| machine.is_schedulable()) {
            let Some(mut profile) = self.idle_profile(machine, machine_type, token) else {
                continue;
            };
            self.subtract_claims(id, machine, machine_type, &mut profile, binding);
            ids.push(id.clone());
            profiles.push(profile);
        }
        (ids, profiles)
    }

    /// The profile of a machine without its tasks; none if its heartbeat or its boot is overdue.
    fn idle_profile(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        token: FencingToken,
    ) -> Option<MachineProfile> {
        let now = self.now;
        let total = self.inventory.machine_resources(&machine_type.name);
        let mut profile = match &machine.heartbeat {
            Some(last) if now.since(last.received_at) > self.heartbeat_timeout_ms() => return None,
            // A worker that has seen our fencing token takes no commands from a former owner.
            Some(last) => MachineProfile::new(now, total, machine.spot, last.token == token),
            None => {
                let overdue_ms = (machine_type.boot_s * 3000.0) as u64 + 10_000;
                if now.since(machine.created_at) > overdue_ms {
                    return None;
                }
                let booted =
                    machine.created_at.plus_s(machine_type.boot_s * 1.2).max(now.plus(2000));
                MachineProfile::new(booted, total, machine.spot, false)
            }
        };
        profile.fetch_gb_per_s = machine_type.fetch_gb_per_s;
        let price = if machine.spot { machine_type.spot_price } else { machine_type.price };
        profile.cost = (price / machine_type.cpus.max(0.001) * 1e6) as u64;
        profile.images = machine.images.iter().map(|(image, _)| (image.clone(), now)).collect();
        Some(profile)
    }

    /// Subtracts the resources of the claims on a machine from its profile.
    fn subtract_claims(
        &self,
        id: &MachineId,
        machine: &Machine,
        machine_type: &MachineType,
        profile: &mut MachineProfile,
        binding: &mut [BindingLimit],
    ) {
        let now = self.now;
        // Claims are sorted by job, so one look-up serves all claims of a job.
        let mut current: Option<(&JobId, &CachedJob, Option<&LocalJobState>, Option<usize>)> = None;
        let mut image_noted_for: Option<&JobId> = None;
        for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
            let (cached, job_state, limit) = match current {
                Some((last, cached, job_state, limit)) if last == job => (cached, job_state, limit),
                _ => {
                    let Some(cached) = self.cache.jobs.get(job) else { continue };
                    let limit =
                        binding.iter().position(|limit| limit.applies_to(&cached.record.spec));
                    (cached, self.job_states.get(job), limit)
                }
            };
            current = Some((job, cached, job_state, limit));
            // An ended task holds no resources even if its end is not recorded yet. Waiting for the
            // record left slots empty for seconds when the change rate was limited.
            if job_state.is_some_and(|l| l.is_ending(*ix, claim.attempt)) {
                if let Some(limit) = limit {
                    binding[limit].add_release(now, now.plus(1000), cached.task_resources);
                }
                continue;
            }
            let end = self.expected_end(id, machine, (job, *ix), cached, job_state);
            if let Some(limit) = limit {
                binding[limit].add_release(now, end, cached.task_resources);
            }
            profile.allocate(now, end, cached.task_resources);
            let image = &cached.record.spec.image;
            if image_noted_for != Some(job) && !profile.images.iter().any(|(i, _)| i == image) {
                let ready = now.plus_s(cached.record.spec.image_gb / machine_type.fetch_gb_per_s);
                profile.images.push((image.clone(), ready));
            }
            image_noted_for = Some(job);
        }
    }

    /// When a claimed task is expected to end. A task past its estimate is expected to run on for a
    /// fifth of its run time so far, at least two seconds.
    fn expected_end(
        &self,
        machine_id: &MachineId,
        machine: &Machine,
        (job, ix): (&JobId, TaskIx),
        cached: &CachedJob,
        job_state: Option<&LocalJobState>,
    ) -> Ms {
        let RunTime::Ms(run_ms) = cached.run_time() else { return Ms(FOREVER) };
        if let Some(eviction) = self.evictions.get(machine_id, job, ix) {
            return eviction.free_at.max(self.now.plus(200));
        }
        if let Some(width) = cached.width() {
            // A member beyond the least width is evicted for a reservation, so it delays none.
            let is_beyond_least = ix >= cached.first_surplus_member;
            return self.now.plus(if is_beyond_least {
                width.release_delay_ms(YIELD_GRACE_MS)
            } else {
                run_ms
            });
        }
        let saved_ms = job_state.and_then(|l| l.saved_run_ms.get(&ix)).copied().unwrap_or(0);
        let run_ms = run_ms.saturating_sub(saved_ms);
        match machine.task_started_at.get(&(job.clone(), ix)) {
            Some(start) => {
                let end = start.plus(run_ms);
                if end > self.now {
                    end
                } else {
                    let ran_ms = self.now.since(*start);
                    self.now.plus((ran_ms / 5).max(2000))
                }
            }
            None => self.now.plus(run_ms + self.cfg.heartbeat_interval_ms),
        }
    }

    /// Whether the job may run on machines of the pool, by its constraints and the size of a task.
    pub(crate) fn can_run_in(&self, cached: &CachedJob, pool: &PoolId) -> bool {
        let spec = &cached.record.spec;
        spec.types.as_ref().is_none_or(|t| t.contains(&pool.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == pool.zone)
            && cached.bound_zone().is_none_or(|z| *z == pool.zone)
            && cached
                .task_resources
                .is_within(&self.inventory.machine_resources(&pool.machine_type))
    }

    /// Adds the requests of the queued jobs that the pool plans for.
    fn add_requests(
        &self,
        plan: &mut PoolPlan,
        queue: &[QueuedTasks],
        limits: &[BindingLimit],
        deferred: &BTreeSet<JobId>,
    ) {
        let pool = &plan.pool;
        for QueuedTasks { job: id, urgency, tasks: unclaimed, is_growth } in queue {
            let Some(cached) = self.cache.jobs.get(id) else {
                continue;
            };
            if !self.can_run_in(cached, pool) || deferred.contains(id) {
                continue;
            }
            let job_state = self.job_states.get(id);
            if job_state.is_some_and(|l| l.no_placement_before > self.now) {
                continue;
            }
            // A job that was assigned to no pool (it is new, or there is no leader) may be planned
            // by any pool.
            let assigned_pools = job_state.map(|l| l.assigned_pools.as_slice()).unwrap_or_default();
            if !self.priority.plans_for(*urgency, id, assigned_pools, pool, self.now) {
                continue;
            }
            let spec = &cached.record.spec;
            let mut tasks = *unclaimed;
            if spec.spread {
                let claimed = self.claimed_in_zone(id, &pool.zone);
                tasks = tasks.min(spec.tasks.div_ceil(2).saturating_sub(claimed));
            }
            // A gang starts as a whole: it waits until its earlier claims are released.
            if tasks == 0 || (spec.kind == Kind::Gang && cached.claimed > 0) {
                continue;
            }
            plan.jobs.push(id.clone());
            plan.is_growth.push(*is_growth);
            plan.requests.push(Request {
                task_resources: cached.task_resources,
                tasks,
                // A member beyond the base can be evicted at the end of any step.
                run_ms: cached
                    .width()
                    .filter(|_| *is_growth)
                    .map_or(cached.run_time().ms(), |w| w.step_ms),
                image: spec.image.clone(),
                image_gb: spec.image_gb,
                spot: spec.spot,
                gang: spec.kind == Kind::Gang,
                limit: limits.iter().position(|limit| limit.applies_to(spec)),
                min_wait_benefit_ms: min_wait_benefit_ms(*urgency, spec.estimate_s),
                avoid: self.excluded_machines(id, *urgency, plan),
            });
        }
    }

    /// Machines on which the job has failed, or that hold freed resources for other jobs.
    fn excluded_machines(&self, id: &JobId, urgency: Urgency, plan: &PoolPlan) -> Vec<usize> {
        let mut avoid = self.machines_to_avoid(id, &plan.machines);
        avoid.extend(self.priority.reserved_for_others(&plan.pool, (id, urgency), &plan.machines));
        avoid
    }

    /// How many tasks of the job are claimed in the zone.
    pub(crate) fn claimed_in_zone(&self, job: &JobId, zone: &ZoneId) -> u32 {
        self.cache
            .tables(job)
            .flat_map(|t| &t.claims)
            .filter(|g| g.pool.zone == *zone)
            .map(|g| g.tasks.len() as u32)
            .sum()
    }

    /// Turns reservations that start now into placement requests, earliest finish first, unless
    /// other pools promise to finish all remaining tasks of the job earlier.
    fn request_due_placements(
        &mut self,
        queue: &[QueuedTasks],
        plans: &[PoolPlan],
        mut usage: Usage,
    ) {
        let mut remaining_tasks: BTreeMap<JobId, u32> = BTreeMap::new();
        for queued in queue {
            *remaining_tasks.entry(queued.job.clone()).or_default() += queued.tasks;
        }
        self.quota.shortfall.clear();
        self.record_reserved_soon(plans);
        for start in self.due_starts(plans) {
            let remaining = remaining_tasks.get(start.job()).copied().unwrap_or(0);
            if remaining == 0 || !self.may_start_now(&start, remaining) {
                continue;
            }
            let tasks = self.request_placement(&start, remaining, &mut usage);
            remaining_tasks.insert(start.job().clone(), remaining - tasks);
        }
    }

    /// The reservations that start now, earliest finish first.
    fn due_starts<'a>(&self, plans: &'a [PoolPlan]) -> Vec<DueStart<'a>> {
        let promises = self.collect_promises(plans);
        let mut starts = Vec::new();
        for (pool, plan) in plans.iter().enumerate() {
            let is_due = |r: &&Reservation| r.start <= self.now && plan.can_start[r.machine];
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
                    promised_elsewhere: self.promised_elsewhere(
                        &promises,
                        pool,
                        job,
                        reservation.finish,
                    ),
                }
            }));
        }
        starts.sort_by_key(|start| {
            let r = start.reservation;
            (r.finish, start.pool, r.request, r.machine)
        });
        starts
    }

    /// Whether tasks of the job may be requested now; `remaining` of its tasks are not requested
    /// yet.
    fn may_start_now(&mut self, start: &DueStart, remaining: u32) -> bool {
        let is_blocked = |state: &LocalJobState| {
            state.transaction_in_flight
                || state.stale_since.is_some()
                || state.not_before > self.now
        };
        if self.job_states.get(start.job()).is_some_and(is_blocked) {
            // One transaction per job at a time: the next planning pass tries again.
            self.replan_needed = true;
            return false;
        }
        if start.promised_elsewhere >= remaining {
            return false;
        }
        let Some(cached) = self.cache.jobs.get(start.job()) else { return false };
        // In a newly acquired pool there may be more urgent work that is not read yet.
        if cached.record.spec.urgency > self.priority.lowest_urgency(&start.plan.pool) {
            self.replan_needed = true;
            return false;
        }
        // A gang starts only if all of its tasks can start now.
        let is_gang = cached.record.spec.kind == Kind::Gang;
        !is_gang || (start.due_tasks >= cached.unclaimed() && cached.claimed == 0)
    }

    /// Requests placement of as many tasks as the team's quota allows. Returns how many.
    fn request_placement(&mut self, start: &DueStart, remaining: u32, usage: &mut Usage) -> u32 {
        let (plan, job) = (start.plan, start.job().clone());
        let Some(cached) = self.cache.jobs.get(&job) else { return 0 };
        let wanted = start.reservation.tasks.min(remaining);
        let (team, task_resources) = (cached.record.spec.team.clone(), cached.task_resources);
        let tasks = self.take_from_slice(&team, &plan.pool, usage, task_resources, wanted);
        if tasks < wanted {
            let shortfall = self.quota.shortfall.entry((team, plan.pool.clone())).or_default();
            *shortfall += task_resources.times(wanted - tasks);
        }
        if tasks == 0 {
            return 0;
        }
        if plan.is_growth[start.reservation.request] {
            tracing::debug!(%job, tasks, pool = %plan.pool, "elastic job grows");
        }
        let placement = PlacementRequest {
            machine: plan.machines[start.reservation.machine].clone(),
            pool: plan.pool.clone(),
            token: plan.token,
            tasks,
        };
        self.job_state(&job).placement_requests.push(placement);
        self.mark_pending_updates(&job);
        tasks
    }

    /// The promises of all pools, by job. Collected once per pass: searching all reservations for
    /// each start took a third of the processor time in a large deployment.
    fn collect_promises<'a>(&'a self, plans: &'a [PoolPlan]) -> Promises<'a> {
        let mut promises = Promises::new();
        for (p, plan) in plans.iter().enumerate() {
            for r in &plan.reservations {
                let known = promises.entry(&plan.jobs[r.request]).or_default();
                known.push((Some(p), r.finish, r.tasks));
            }
        }
        for (pool, (token, at, jobs)) in &self.planning.remote_promises {
            let current = self.cache.pools.get(pool).is_some_and(|h| h.token <= *token)
                && !self.pools.owned.contains_key(pool);
            if current {
                let (age_ms, is_live) = (self.now.since(*at), self.priority.has_live_owner(pool));
                for (job, finishes) in jobs {
                    let cached = self.cache.jobs.get(job);
                    let urgency = cached.map_or(Urgency::BestEffort, |l| l.record.spec.urgency);
                    if !is_promise_trusted(urgency, age_ms, is_live) {
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
    fn promised_elsewhere(
        &self,
        promises: &Promises,
        own_pool: usize,
        job: &JobId,
        finish: Ms,
    ) -> u32 {
        // Estimates are rough, so only a clearly earlier finish counts.
        let slack = 1000 + finish.since(self.now) / 10;
        let before = Ms(finish.0.saturating_sub(slack));
        let known = promises.get(job).map(Vec::as_slice).unwrap_or_default();
        known.iter().filter(|(p, at, _)| *p != Some(own_pool) && *at <= before).map(|p| p.2).sum()
    }

    /// Broadcasts when the owned pools expect to finish tasks of each job. Growth of elastic jobs
    /// is left out.
    fn broadcast_promises(&mut self, plans: &[PoolPlan]) {
        if self.now.since(self.planning.promises_sent_at)
            < PROMISE_INTERVAL_MS * self.backpressure.min(4)
        {
            return;
        }
        self.planning.promises_sent_at = self.now;
        for plan in plans {
            let mut jobs: BTreeMap<&JobId, Vec<(u64, u32)>> = BTreeMap::new();
            for r in &plan.reservations {
                if plan.is_growth[r.request] {
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
            self.effects.push(Effect::Mesh { to: None, message });
        }
    }
}
