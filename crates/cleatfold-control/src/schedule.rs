//! From the mirror and the fleet to reservations, promises and claims.

use crate::cache::Live;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::inventory::Machine;
use crate::limits::{Binding, Usage};
use crate::queue::Queued;
use crate::state::jobs::{Local, Wish};
use crate::state::stops::YIELD_MS;
use cleatfold_backfill::chart::FOREVER;
use cleatfold_backfill::{MachineChart, Request, Reservation, Timeline};
use cleatfold_priority::{believed, prompt_ms};
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::mesh::{Message, Promise};
use cleatfold_wire::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Reservations per pool and planning. What lies beyond waits unreserved.
const CHUNKS: usize = 400;
const PLAN_MS: u64 = 100;
const PROMISE_MS: u64 = 500;

type Finishes = Vec<(Ms, u32)>;
type Promises<'a> = HashMap<&'a JobId, Vec<(Option<usize>, Ms, u32)>>;

#[derive(Default)]
pub(crate) struct Plans {
    planned: Ms,
    told: Ms,
    /// Promises of other nodes' pools: when they came, and per job when tasks finish.
    remote: BTreeMap<PoolId, (FencingToken, Ms, BTreeMap<JobId, Finishes>)>,
}

impl Plans {
    pub fn remote(&mut self, pool: PoolId, token: FencingToken, now: Ms, promises: Vec<Promise>) {
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

/// One own pool's chart as planned.
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

impl Controller {
    pub(crate) fn plan_if_due(&mut self) {
        // Deciding faster than decisions can be recorded only costs.
        // Nor is there much to decide between the reports that tell of what has ended.
        let least = PLAN_MS.max(self.cfg.report_ms / 15);
        let interval = least.max(2 * self.pace.ms_per_change()) * self.stretch;
        if !self.dirty || self.now.since(self.plans.planned) < interval {
            return;
        }
        self.plans.planned = self.now;
        self.dirty = false;
        // What is not on its way yet is wished anew, by what is known now.
        for job in &self.unsent {
            if let Some(local) = self.locals.get_mut(job) {
                local.wishes.clear();
            }
        }
        if self.owned_since.is_empty() {
            return;
        }
        let (queue, guaranteed) = self.queue_and_guaranteed();
        self.see_lanes(&queue);
        let usage = self.limited_usage();
        let plans = self.chart_pools(&queue, &usage);
        self.start_what_is_due(&queue, &plans, usage);
        self.make_room(&plans, &guaranteed);
        self.tell_promises(&plans);
    }

    fn chart_pools(&self, queue: &[Queued], usage: &Usage) -> Vec<PoolPlan> {
        let pools: Vec<(PoolId, FencingToken)> = self
            .owned_since
            .iter()
            .filter(|(p, _)| !self.hinted.contains_key(p))
            .map(|(p, o)| (p.clone(), o.0))
            .collect();
        let mut plans = Vec::new();
        let by_pool = self.inventory.by_pool();
        let long = self.long_work();
        for (pool, token) in pools {
            let members = by_pool.get(&pool).map(Vec::as_slice).unwrap_or_default();
            let mut binding = self.binding_limits(&pool, members.len(), usage, &long.rooms);
            let (machines, mut charts) = self.charts(&pool, token, members, &mut binding);
            if machines.is_empty() {
                continue;
            }
            let mut limits: Vec<Timeline> = binding.iter().map(|b| b.over_time(self.now)).collect();
            let open = charts.iter().map(|c| c.open).collect();
            let mut plan = PoolPlan {
                pool,
                token,
                machines,
                open,
                jobs: Vec::new(),
                growth: Vec::new(),
                requests: Vec::new(),
                reservations: Vec::new(),
            };
            self.requests_for(&mut plan, queue, &binding, &long.later);
            plan.reservations =
                cleatfold_backfill::plan(&mut charts, &mut limits, &plan.requests, CHUNKS);
            plans.push(plan);
        }
        plans
    }

    /// A silent machine gets nothing new.
    pub(crate) fn silent_ms(&self) -> u64 {
        self.cfg.report_ms * 5 / 2 + 500
    }

    fn charts(
        &self,
        pool: &PoolId,
        token: FencingToken,
        members: &[(&MachineId, &Machine)],
        binding: &mut [Binding],
    ) -> (Vec<MachineId>, Vec<MachineChart>) {
        let now = self.now;
        let total = self.inventory.total(&pool.machine_type);
        let Some(kind) = self.inventory.types.get(&pool.machine_type) else {
            return (vec![], vec![]);
        };
        let mut ids = Vec::new();
        let mut charts = Vec::new();
        for &(id, m) in members {
            if !m.takes_work() {
                continue;
            }
            let mut chart = match &m.report {
                Some(r) => {
                    if now.since(r.at) > self.silent_ms() {
                        continue;
                    }
                    // The gate: this worker has seen our token, so nobody else commands it.
                    MachineChart::new(now, total, m.spot, r.token == token)
                }
                None => {
                    let booted = m.born.plus_s(kind.boot_s * 1.2);
                    if now.since(m.born) > (kind.boot_s * 3000.0) as u64 + 10_000 {
                        continue;
                    }
                    MachineChart::new(booted.max(now.plus(2000)), total, m.spot, false)
                }
            };
            chart.fetch_gb_per_s = kind.fetch_gb_per_s;
            let price = if m.spot { kind.spot_price } else { kind.price };
            chart.cost = (price / kind.cpus.max(0.001) * 1e6) as u64;
            chart.images = m.images.iter().map(|(image, _)| (image.clone(), now)).collect();
            // Claims come sorted by job: one look-up serves all of a job's.
            let mut known: Option<(&JobId, &Live, Option<&Local>, Option<usize>)> = None;
            let mut noted: Option<&JobId> = None;
            for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
                let (live, local, limit) = match known {
                    Some((last, live, local, limit)) if last == job => (live, local, limit),
                    _ => {
                        let Some(live) = self.cache.jobs.get(job) else { continue };
                        let limit = binding.iter().position(|b| b.binds(&live.record.spec));
                        (live, self.locals.get(job), limit)
                    }
                };
                known = Some((job, live, local, limit));
                // Its room is free though its end is not recorded yet. (Waiting for the record
                // left every place empty for seconds when changes run short.)
                if local.is_some_and(|l| l.is_ending(*ix, claim.attempt)) {
                    if let Some(limit) = limit {
                        binding[limit].ends(now, now.plus(1000), live.each);
                    }
                    continue;
                }
                let end = self.expected_end(id, m, (job, *ix), live, local);
                if let Some(limit) = limit {
                    binding[limit].ends(now, end, live.each);
                }
                chart.carve(now, end, live.each);
                let image = &live.record.spec.image;
                if noted != Some(job) && !chart.images.iter().any(|(i, _)| i == image) {
                    let ready = now.plus_s(live.record.spec.image_gb / kind.fetch_gb_per_s);
                    chart.images.push((image.clone(), ready));
                }
                noted = Some(job);
            }
            ids.push((*id).clone());
            charts.push(chart);
        }
        (ids, charts)
    }

    fn run_ms(&self, live: &Live) -> u64 {
        if live.record.spec.kind == Kind::Service {
            return FOREVER;
        }
        if let Some(width) = live.width() {
            return width.rest_ms(live.claimed.max(width.base()));
        }
        (live.record.spec.estimate_s * 1000.0) as u64
    }

    /// When a claimed task should be over. Past its estimate it gets a later end: a fifth of
    /// what it has run, and never less than two seconds, from now.
    fn expected_end(
        &self,
        machine_id: &MachineId,
        machine: &crate::inventory::Machine,
        (job, ix): (&JobId, TaskIx),
        live: &Live,
        local: Option<&Local>,
    ) -> Ms {
        let run = self.run_ms(live);
        if run >= FOREVER {
            return Ms(FOREVER);
        }
        if let Some(stop) = self.stops.get(machine_id, job, ix) {
            return stop.until.max(self.now.plus(200));
        }
        if let Some(width) = live.width() {
            // Beyond the least width it gives way when somebody's reservation comes near, so
            // it delays none.
            let beyond = ix >= live.beyond;
            return self.now.plus(if beyond { width.yield_ms(YIELD_MS) } else { run });
        }
        let saved = local.and_then(|l| l.saved.get(&ix)).copied().unwrap_or(0);
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
            None => self.now.plus(run + self.cfg.report_ms),
        }
    }

    pub(crate) fn may_use(&self, live: &Live, pool: &PoolId) -> bool {
        let spec = &live.record.spec;
        spec.types.as_ref().is_none_or(|t| t.contains(&pool.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == pool.zone)
            && live.bound_zone().is_none_or(|z| *z == pool.zone)
            && live.each.within(&self.inventory.total(&pool.machine_type))
    }

    fn requests_for(
        &self,
        plan: &mut PoolPlan,
        queue: &[Queued],
        limited: &[Binding],
        later: &BTreeSet<JobId>,
    ) {
        let pool = &plan.pool;
        for Queued { job: id, lane, tasks: unclaimed, growth } in queue {
            let Some(live) = self.cache.jobs.get(id) else {
                continue;
            };
            if !self.may_use(live, pool) || later.contains(id) {
                continue;
            }
            let local = self.locals.get(id);
            if local.is_some_and(|l| l.hold_until > self.now) {
                continue;
            }
            // Not sent anywhere yet (a new job, or no leader): any pool may plan for it.
            let sent = local.map(|l| l.pools.as_slice()).unwrap_or_default();
            if !self.lanes.considers(*lane, id, sent, pool, self.now) {
                continue;
            }
            let spec = &live.record.spec;
            let mut tasks = *unclaimed;
            if spec.spread {
                let here = self.claimed_in_zone(id, &pool.zone);
                tasks = tasks.min(spec.tasks.div_ceil(2).saturating_sub(here));
            }
            // A gang whose tasks are not all free waits for those that are being given up.
            if tasks == 0 || (spec.kind == Kind::Gang && live.claimed > 0) {
                continue;
            }
            plan.jobs.push(id.clone());
            plan.growth.push(*growth);
            plan.requests.push(Request {
                each: live.each,
                tasks,
                // A member beyond the base may leave at the end of any step.
                run_ms: live.width().filter(|_| *growth).map_or(self.run_ms(live), |w| w.step_ms),
                image: spec.image.clone(),
                image_gb: spec.image_gb,
                spot: spec.spot,
                gang: spec.kind == Kind::Gang,
                limit: limited.iter().position(|b| b.binds(spec)),
                prompt_ms: prompt_ms(*lane, spec.estimate_s),
                avoid: self.barred(id, *lane, plan),
            });
        }
    }

    /// Machines on which the job has failed, or on which room is kept for others.
    fn barred(&self, id: &JobId, lane: Urgency, plan: &PoolPlan) -> Vec<usize> {
        let mut barred = self.avoided(id, &plan.machines);
        barred.extend(self.lanes.kept_from(&plan.pool, (id, lane), &plan.machines));
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

    /// Turns reservations that start now into wishes to claim, soonest finish first, unless
    /// the other pools promise to have all that is left of the job done earlier.
    fn start_what_is_due(&mut self, queue: &[Queued], plans: &[PoolPlan], mut usage: Usage) {
        let mut left: BTreeMap<&JobId, u32> = BTreeMap::new();
        for q in queue {
            *left.entry(&q.job).or_default() += q.tasks;
        }
        let mut due: Vec<(usize, &Reservation)> = Vec::new();
        for (p, plan) in plans.iter().enumerate() {
            due.extend(
                plan.reservations
                    .iter()
                    .filter(|r| r.start <= self.now && plan.open[r.machine])
                    .map(|r| (p, r)),
            );
        }
        // Of a gang, all starts are due or none is.
        let mut due_tasks: BTreeMap<(usize, usize), u32> = BTreeMap::new();
        for (p, r) in &due {
            *due_tasks.entry((*p, r.request)).or_default() += r.tasks;
        }
        due.sort_by_key(|(p, r)| (r.finish, *p, r.request, r.machine));
        self.limits.short.clear();
        self.note_soon(plans);
        let elsewhere: Vec<u32> = {
            let promises = self.promises(plans);
            due.iter()
                .map(|(p, r)| {
                    let job = &plans[*p].jobs[r.request];
                    self.promised_elsewhere(&promises, *p, job, r.finish)
                })
                .collect()
        };
        for ((p, r), elsewhere) in due.into_iter().zip(elsewhere) {
            let plan = &plans[p];
            let job = &plan.jobs[r.request];
            let remaining = left.get(job).copied().unwrap_or(0);
            if remaining == 0 {
                continue;
            }
            let local = self.locals.get(job);
            if local.is_some_and(|l| l.busy || l.stale_since.is_some() || l.not_before > self.now) {
                // One transaction per job at a time; the plan comes round again.
                self.dirty = true;
                continue;
            }
            if elsewhere >= remaining {
                continue;
            }
            let Some(live) = self.cache.jobs.get(job) else {
                continue;
            };
            // Something above its lane may be unread in a pool that has just come.
            if live.record.spec.urgency > self.lanes.lowest(&plan.pool) {
                self.dirty = true;
                continue;
            }
            let mut tasks = r.tasks.min(remaining);
            if live.record.spec.kind == Kind::Gang {
                let gang = due_tasks.get(&(p, r.request)).copied().unwrap_or(0);
                if gang < live.unclaimed() || live.claimed > 0 {
                    continue;
                }
            }
            let team = live.record.spec.team.clone();
            let each = live.each;
            let fits = self.within_slice(&team, &plan.pool, &mut usage, each, tasks);
            if fits < tasks {
                let key = (team, plan.pool.clone());
                *self.limits.short.entry(key).or_default() += each.times(tasks - fits);
            }
            tasks = fits;
            if tasks == 0 {
                continue;
            }
            left.insert(job, remaining - tasks);
            let wish = Wish {
                machine: plan.machines[r.machine].clone(),
                pool: plan.pool.clone(),
                token: plan.token,
                tasks,
            };
            let job = job.clone();
            if plan.growth[r.request] {
                tracing::debug!(job = %job, tasks = wish.tasks, pool = %wish.pool, "growing");
            }
            self.local(&job).wishes.push(wish);
            self.note_unsent(&job);
        }
    }

    /// What every pool promises, by job: the number of an own pool (none for others' pools),
    /// when tasks finish and how many. Gathered once: looking through all reservations for each
    /// start took a third of the processor in a large fleet.
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
                && !self.owned_since.contains_key(pool);
            if current {
                let (told_ms, lives) = (self.now.since(*at), self.lanes.lives(pool));
                for (job, finishes) in jobs {
                    let live = self.cache.jobs.get(job);
                    let lane = live.map_or(Urgency::BestEffort, |l| l.record.spec.urgency);
                    if !believed(lane, told_ms, lives) {
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
        if self.now.since(self.plans.told) < PROMISE_MS * self.stretch.min(4) {
            return;
        }
        self.plans.told = self.now;
        for plan in plans {
            let mut jobs: BTreeMap<&JobId, Vec<(u64, u32)>> = BTreeMap::new();
            for r in &plan.reservations {
                if plan.growth[r.request] {
                    continue;
                }
                let finishes = jobs.entry(&plan.jobs[r.request]).or_default();
                if finishes.len() < 6 {
                    finishes.push((r.finish.since(self.now), r.tasks));
                }
            }
            let promises = jobs
                .into_iter()
                .take(200)
                .map(|(job, finishes)| Promise { job: job.to_string(), finishes })
                .collect();
            let message =
                Message::Promises { pool: plan.pool.to_string(), token: plan.token.0, promises };
            self.out.push(Effect::Mesh { to: None, message });
        }
    }
}
