//! Preemption, to make room on machines that are full: members of elastic jobs give way, and ordinary tasks
//! are preempted where the protocol allows it and it makes a difference.
//!
//! Whom to stop is decided in `cleatfold_backfill::victims`. What is kept here may be lost with the
//! controller: a task whose stop is forgotten just runs on.

use crate::config::ObjectiveKind;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machines::inventory::Machine;
use crate::scheduling::evictions::{Eviction, YIELD_MS};
use crate::scheduling::planning::PoolPlan;
use crate::store::cache::CachedJob;
use cleatfold_backfill::preemption::{
    self, MachineLoad, Preemption, PreemptionRequest, RunningTask,
};
use cleatfold_priority::{PreemptionPlan, Victim};
use cleatfold_wire::job::Kind;
use cleatfold_wire::worker::{Command, Exit, Heartbeat, Orders, TaskReport, TaskState};
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, Ms, PoolId, TaskId, TaskIx};
use std::collections::HashSet;

/// What waits for a member's place should start within this time of its acceptance.
const START_MS: u64 = 5000;
/// From a stop to the next task at work there, without what the stop itself takes: the exit's
/// report, the claim and the answer that orders it.
const CHANGE_MS: u64 = 900;
/// A job that gave way looks for more machines again only after so long.
const GROW_AGAIN_MS: u64 = 4000;
/// A task that was stopped is left alone until it has run for so long, times its stops.
const GAIN_MS: u64 = 15_000;
/// The pool that makes room for a job changes so often.
const TURN_MS: u64 = 3000;

/// What of one job waits in a pool's plan.
struct Wait {
    request: usize,
    tasks: u32,
    /// The soonest of its reservations.
    start: Ms,
}

impl Controller {
    /// Members that an elastic job could use beyond its base.
    pub(crate) fn growth(&self, id: &JobId, cached: &CachedJob) -> u32 {
        let Some(width) = cached.width() else { return 0 };
        let job_state = self.job_states.get(id);
        if job_state.is_some_and(|l| l.shrunk.is_some_and(|at| self.now.since(at) < GROW_AGAIN_MS))
        {
            return 0;
        }
        let fetch = self.inventory.types.values().map(|t| t.fetch_gb_per_s).fold(0.001, f64::max);
        let start = self.cfg.heartbeat_interval_ms
            + 1000
            + (cached.record.spec.image_gb / fetch * 1e3) as u64;
        width.growth(cached.claimed, start)
    }

    /// Looks through the plan for what has to wait, in the queue's order, and makes room for it
    /// where somebody should give way.
    pub(crate) fn plan_preemptions(&mut self, plans: &[PoolPlan], within: &HashSet<JobId>) {
        let claims = &self.cache.claims;
        self.evictions.prune(self.now, claims);
        if !self.cfg.preempt && self.cache.progress.is_empty() && !self.cache.any_elastic() {
            return;
        }
        let elastic = self.cache.any_elastic();
        for plan in plans {
            let waits = waits(plan, self.now);
            if waits.is_empty() {
                continue;
            }
            let mut loads: Option<(Vec<MachineLoad>, Vec<Named>)> = None;
            for wait in waits {
                let Some((need, save_ms)) = self.need(plan, &wait, within) else { continue };
                // Nobody could be stopped for it. (Every waiting job looked through a copy of all
                // that runs in the pool, the larger part of planning in a full region.)
                if !need.preempts && !elastic {
                    continue;
                }
                let tasks = self.part_here(plan, &wait);
                if tasks == 0 {
                    continue;
                }
                let (loads, names) = loads.get_or_insert_with(|| self.loads(plan, within, save_ms));
                let usable = &plan.requests[wait.request];
                let mut here: Vec<MachineLoad> = loads
                    .iter()
                    .enumerate()
                    .map(|(i, s)| {
                        let spot = self.is_spot(&plan.machines[i]);
                        let barred = (spot && !usable.spot) || usable.avoid.contains(&i);
                        // A machine that has to fetch its image first is no place in time.
                        let cold = need.preempts && !self.has_image(&plan.machines[i], usable);
                        if barred || cold {
                            MachineLoad { free: Default::default(), running: vec![] }
                        } else {
                            s.clone()
                        }
                    })
                    .collect();
                let choices = preemption::choose_preemptions(&need, &mut here, tasks);
                for choice in choices {
                    loads[choice.machine] = here[choice.machine].clone();
                    if !choice.victims.is_empty() {
                        self.evict_for(plan, &wait, &choice, names, save_ms);
                    }
                }
            }
            self.write_preemptions(&plan.pool, plan.token);
        }
    }

    /// What may be done for a job that waits, and how long a victim may take to save.
    fn need(
        &self,
        plan: &PoolPlan,
        wait: &Wait,
        within: &HashSet<JobId>,
    ) -> Option<(PreemptionRequest, u64)> {
        let job = &plan.jobs[wait.request];
        let cached = self.cache.jobs.get(job)?;
        let spec = &cached.record.spec;
        let within_guarantee = within.contains(job);
        let time = self.time_that_counts(cached, within_guarantee, wait.start);
        // While more is asked for than can be done, every stop is work done twice and two changes
        // more, and saves nobody a wait that somebody else does not get.
        let preempts =
            self.cfg.preempt && time.is_some() && self.cache.overload_quota.value.is_empty();
        // Stopping what has run long costs more than a start that is in time gives: a whole run
        // time as the bound lost kerbrev's rough days 0.03, a quarter of it nothing.
        let worth = if preempts {
            (spec.estimate_s * 250.0) as u64 * cached.each.cpus.max(1) as u64 / 1000
        } else {
            u64::MAX
        };
        let need = PreemptionRequest {
            each: cached.each,
            urgency: spec.urgency,
            team: spec.team.clone(),
            within_guarantee,
            preempts,
            max_loss: worth,
        };
        Some((need, time.unwrap_or(0)))
    }

    /// The time in milliseconds that is left for stopping somebody, where that would meet an aim
    /// that the reservation would miss. An aim that is lost anyway costs nobody its place.
    fn time_that_counts(&self, cached: &CachedJob, within: bool, start: Ms) -> Option<u64> {
        let spec = &cached.record.spec;
        let elapsed = self.wall_ms.saturating_sub(cached.record.accepted_ms) as f64;
        let objectives = self.cfg.objectives.iter().filter(|a| a.class == spec.class);
        // Objectives on completion are left to the order of the queue: preempting for them lost as
        // much work in the evicted jobs as it gained.
        let waits = objectives.filter_map(|a| match a.kind {
            ObjectiveKind::Wait(within) => Some(within),
            ObjectiveKind::Finished(_) | ObjectiveKind::Deadline(_) => None,
        });
        let guarantee = self.cfg.guarantee_wait_s.filter(|_| within);
        let soonest = elapsed + CHANGE_MS as f64;
        let planned = elapsed + start.since(self.now) as f64;
        waits
            .chain(guarantee)
            .map(|s| s * 1000.0)
            .filter(|by| soonest <= *by && *by < planned)
            .map(|by| (by - soonest) as u64)
            .max()
    }

    /// The pool's part of what waits, without the places that are on their way there.
    fn part_here(&self, plan: &PoolPlan, wait: &Wait) -> u32 {
        let job = &plan.jobs[wait.request];
        let pools = self.job_states.get(job).map(|l| l.pools.as_slice()).unwrap_or_default();
        let part = part_of_pool(job, pools, &plan.pool, wait.tasks, self.wall_ms);
        part.saturating_sub(self.coming(job, &plan.pool))
    }

    fn is_spot(&self, id: &MachineId) -> bool {
        self.inventory.machines.get(id).is_some_and(|m| m.spot)
    }

    fn has_image(&self, id: &MachineId, request: &cleatfold_backfill::Request) -> bool {
        let machine = self.inventory.machines.get(id);
        request.image_gb <= 0.0
            || machine.is_some_and(|m| m.images.iter().any(|i| i.0 == request.image))
    }

    /// The pool's machines as the chooser of victims sees them.
    fn loads(
        &self,
        plan: &PoolPlan,
        within: &HashSet<JobId>,
        save_ms: u64,
    ) -> (Vec<MachineLoad>, Vec<Named>) {
        let mut names: Vec<Named> = Vec::new();
        let mut loads = Vec::new();
        let total = self.inventory.total(&plan.pool.machine_type);
        for (i, id) in plan.machines.iter().enumerate() {
            let mut seat = MachineLoad { free: total, running: vec![] };
            let machine = self.inventory.machines.get(id).filter(|_| plan.open[i]);
            let Some(machine) = machine else {
                seat.free = Default::default();
                loads.push(seat);
                continue;
            };
            for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
                let Some(cached) = self.cache.jobs.get(job) else { continue };
                if self.is_ending(job, *ix, claim.attempt) {
                    continue;
                }
                seat.free -= cached.each;
                let task = Named { job: job.clone(), ix: *ix, attempt: claim.attempt };
                let mut running = self.as_victim(id, machine, cached, &task, save_ms);
                running.beyond_guarantee = !within.contains(job);
                running.id = names.len();
                names.push(task);
                seat.running.push(running);
            }
            loads.push(seat);
        }
        // What starts now has its place already.
        for r in plan.reservations.iter().filter(|r| r.start <= self.now) {
            loads[r.machine].free -= plan.requests[r.request].each.times(r.tasks);
        }
        (loads, names)
    }

    fn as_victim(
        &self,
        id: &MachineId,
        machine: &Machine,
        cached: &CachedJob,
        task: &Named,
        save_ms: u64,
    ) -> RunningTask {
        let spec = &cached.record.spec;
        let evictions = self
            .job_states
            .get(&task.job)
            .and_then(|l| l.stopped.get(&task.ix))
            .copied()
            .unwrap_or(0);
        let started = machine.started.get(&(task.job.clone(), task.ix));
        let ran = started.map_or(0, |s| self.now.since(*s));
        let yields = cached.width().is_some() && task.ix >= cached.beyond;
        let gained = yields || evictions == 0 || ran >= GAIN_MS * u64::from(evictions + 1);
        let interval = (spec.checkpoint_s * 1000.0) as u64;
        let lost_ms = match cached.width() {
            Some(width) if width.step_ms <= YIELD_MS => 0,
            Some(width) => width.step_ms / 2,
            None if interval > 0 && saves_in_time(spec.save_s, save_ms) => 0,
            None => ran % interval.max(u64::from(interval == 0) * u64::MAX),
        };
        RunningTask {
            id: 0,
            each: cached.each,
            urgency: spec.urgency,
            team: spec.team.clone(),
            beyond_guarantee: true,
            is_surplus_member: yields,
            stoppable: gained
                && spec.kind == Kind::Array
                && !cached.record.aborted
                && self.evictions.get(id, &task.job, task.ix).is_none(),
            loss: lost_ms * cached.each.cpus.max(1) as u64 / 1000,
        }
    }

    /// How long members may still go on when their places are wanted for this job: the less the
    /// longer it has waited, say for an owner that was gone.
    fn patience_ms(&self, job: &JobId) -> u64 {
        let cached = self.cache.jobs.get(job);
        let waited = cached.map_or(0, |l| self.wall_ms.saturating_sub(l.record.accepted_ms));
        START_MS.saturating_sub(waited + 3 * CHANGE_MS / 2).min(YIELD_MS)
    }

    fn evict_for(
        &mut self,
        plan: &PoolPlan,
        wait: &Wait,
        choice: &Preemption,
        names: &[Named],
        save_ms: u64,
    ) {
        let now = self.now;
        let patience = self.patience_ms(&plan.jobs[wait.request]);
        let id = plan.machines[choice.machine].clone();
        let mut leaving = Vec::new();
        let mut last = 0;
        let mut preempts = false;
        for task in choice.victims.iter().filter_map(|v| names.get(*v)) {
            let Some(cached) = self.cache.jobs.get(&task.job) else { continue };
            let spec = &cached.record.spec;
            let grace_ms = match cached.width() {
                Some(width) => width.release_delay_ms(patience),
                None if spec.checkpoint_s > 0.0 && saves_in_time(spec.save_s, save_ms) => {
                    (spec.save_s * 1000.0) as u64 + 500
                }
                None => 0,
            };
            last = last.max(grace_ms + CHANGE_MS / 2);
            preempts |= cached.width().is_none();
            leaving.push((Victim(task.job.clone(), task.ix, task.attempt), grace_ms));
        }
        let job = plan.jobs[wait.request].clone();
        let had = self.claims_on(&id, &job);
        let choice = PreemptionPlan {
            job: job.clone(),
            machine: id,
            tasks: choice.tasks,
            claimed_before: had,
            until_ms: self.wall_ms + last + CHANGE_MS + self.preemption_hold_ms(),
            grace_ms: leaving.iter().map(|l| l.1).max().unwrap_or(0),
            victims: leaving.into_iter().map(|l| l.0).collect(),
        };
        let until = now.plus(last + CHANGE_MS);
        self.evictions.expect(job, plan.pool.clone(), choice.tasks, until);
        // Members give way to everything, and grow behind everything: their places can't go back to
        // them. What is preempted could take its place again from a successor that knows nothing of it.
        if preempts {
            self.priority.new_preemptions.push(choice);
        } else {
            self.evict(plan.token, choice);
        }
    }

    /// Tells those who make room to leave.
    pub(crate) fn evict(&mut self, token: FencingToken, choice: PreemptionPlan) {
        let id = choice.machine;
        let mut commands = Vec::new();
        for Victim(job, ix, attempt) in choice.victims {
            let Some(cached) = self.cache.jobs.get(&job) else { continue };
            let elastic = cached.width().is_some();
            let grace_s = choice.grace_ms as f64 / 1000.0;
            let until = self.now.plus(choice.grace_ms + CHANGE_MS / 2);
            let eviction = Eviction { attempt, until, grace_s };
            self.evictions.insert(&id, &job, ix, eviction);
            let now = self.now;
            let job_state = self.job_state(&job);
            if elastic {
                job_state.shrunk = Some(now);
            } else {
                *job_state.stopped.entry(ix).or_default() += 1;
            }
            tracing::info!(
                %job, task = ix.0, machine = %id, grace_s, preempting_job = %choice.job, "evicting task"
            );
            commands.push(Command::Stop { task: TaskId { job, ix }, attempt, grace_s });
        }
        let Some(machine) = self.inventory.machines.get(&id) else { return };
        let (Some(endpoint), Some(heartbeat)) = (machine.endpoint.clone(), &machine.heartbeat)
        else {
            return;
        };
        // At the next report it would be as safe, but up to an interval later.
        let orders = Orders { token, agent_epoch: heartbeat.agent_epoch, commands };
        self.out.push(Effect::Order { machine: id, endpoint, orders });
    }

    /// What the answer to a report says to a task that is to leave: told once more, for direct
    /// orders may be lost, and in the end without grace.
    pub(crate) fn repeated_eviction(&self, id: &MachineId, t: &TaskReport) -> Option<Command> {
        self.evictions.repeat(id, t, self.now)
    }

    /// A worker has executed direct orders: the exits in its answer are facts. Nothing else is
    /// taken from it, for an answer to a report may be on its way to the worker: what this does
    /// not list may be about to start.
    pub(crate) fn on_ordered(&mut self, id: MachineId, heartbeat: Option<Heartbeat>) {
        let (Some(heartbeat), Some(machine)) = (heartbeat, self.inventory.machines.get(&id)) else {
            return;
        };
        let newer = machine.heartbeat.as_ref().is_some_and(|known| {
            known.agent_epoch == heartbeat.agent_epoch
                && known.seq < heartbeat.seq
                && heartbeat.machine == id
        });
        if !newer || self.my_token(&machine.pool).is_none_or(|t| t != heartbeat.token) {
            return;
        }
        let alive: HashSet<TaskId> = heartbeat
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited)
            .map(|t| t.task.clone())
            .collect();
        for t in heartbeat.tasks.iter().filter(|t| t.state == TaskState::Exited) {
            let ours = self.cache.claim(&id, &t.task).is_some_and(|c| c.attempt == t.attempt);
            if ours && !alive.contains(&t.task) {
                let exit = t.why.unwrap_or(Exit::Other);
                self.on_exit(&id, &t.task, t.attempt, exit, t.saved == Some(true));
            }
        }
        self.replan_needed = true;
    }
}

/// What does not start now, by request, in order.
fn waits(plan: &PoolPlan, now: Ms) -> Vec<Wait> {
    let mut waits: Vec<Wait> = Vec::new();
    for reservation in &plan.reservations {
        let request = reservation.request;
        if reservation.start <= now || plan.growth[request] || plan.requests[request].gang {
            continue;
        }
        match waits.last_mut().filter(|wait| wait.request == request) {
            Some(wait) => {
                wait.tasks += reservation.tasks;
                wait.start = wait.start.min(reservation.start);
            }
            None => {
                let (tasks, start) = (reservation.tasks, reservation.start);
                waits.push(Wait { request, tasks, start });
            }
        }
    }
    waits
}

/// How many of a job's waiting tasks a pool makes room for: each of the job's pools takes a part in turn,
/// or all of them would make room for the same tasks.
fn part_of_pool(job: &JobId, pools: &[PoolId], pool: &PoolId, tasks: u32, wall_ms: u64) -> u32 {
    let parts = pools.len().max(1) as u64;
    let turn = xxhash_rust::xxh3::xxh3_64(job.as_str().as_bytes()) / 2 + wall_ms / TURN_MS;
    let position = pools.iter().position(|p| p == pool).unwrap_or(0) as u64;
    let part = (position + turn) % parts;
    let tasks = u64::from(tasks);
    (tasks * (part + 1) / parts - tasks * part / parts) as u32
}

/// Whether what a task saves is saved within this time.
fn saves_in_time(save_s: f64, time_ms: u64) -> bool {
    save_s * 1000.0 + 500.0 <= time_ms as f64
}

/// A claim, as the chooser of victims names it.
struct Named {
    job: JobId,
    ix: TaskIx,
    attempt: Attempt,
}
