//! Preemption on machines that are full: members of elastic jobs yield their slots, and ordinary
//! tasks are stopped where the protocol allows it and a service level objective depends on it.
//!
//! Victims are chosen in `cleatfold_backfill::preemption`. Which tasks are being stopped is kept in
//! memory only and may be lost with the controller: a task whose stop is forgotten runs on.

use crate::config::ObjectiveKind;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machines::inventory::Machine;
use crate::scheduling::evictions::{Eviction, YIELD_GRACE_MS};
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

/// A job that is to get an elastic member's slot should start within this time of its acceptance,
/// in milliseconds.
const START_TARGET_MS: u64 = 5000;
/// Time from the exit of a stopped task to the start of the next task in its slot, in milliseconds:
/// the report of the exit, the claim, and the response that commands the start.
const SLOT_HANDOVER_MS: u64 = 900;
/// An elastic job whose members were evicted does not grow for this time, in milliseconds.
const GROWTH_COOLDOWN_MS: u64 = 4000;
/// A task that was stopped before is not stopped again until it has run for this time multiplied by
/// one more than its number of stops, in milliseconds.
const MIN_RUN_AFTER_STOP_MS: u64 = 15_000;
/// How often a job's waiting tasks are divided among its pools in another order, in milliseconds.
const SHARE_ROTATION_MS: u64 = 3000;

/// Tasks of one request that cannot start now in a pool's plan.
struct WaitingTasks {
    /// Index of the request in the plan.
    request: usize,
    tasks: u32,
    /// The earliest start of its reservations.
    start: Ms,
}

impl Controller {
    /// How many members an elastic job could use beyond its base.
    pub(crate) fn growth_tasks(&self, id: &JobId, cached: &CachedJob) -> u32 {
        let Some(width) = cached.width() else { return 0 };
        let job_state = self.job_states.get(id);
        if job_state.is_some_and(|l| {
            l.last_shrunk.is_some_and(|at| self.now.since(at) < GROWTH_COOLDOWN_MS)
        }) {
            return 0;
        }
        let fetch_gb_per_s =
            self.inventory.types.values().map(|t| t.fetch_gb_per_s).fold(0.001, f64::max);
        let start_ms = self.cfg.heartbeat_interval_ms
            + 1000
            + (cached.record.spec.image_gb / fetch_gb_per_s * 1e3) as u64;
        width.growth(cached.claimed, start_ms)
    }

    /// Frees resources for the requests that have to wait, in the queue's order, where other tasks
    /// may be stopped for them.
    pub(crate) fn plan_preemptions(&mut self, plans: &[PoolPlan], guaranteed: &HashSet<JobId>) {
        let claims = &self.cache.claims;
        self.evictions.prune(self.now, claims);
        if !self.cfg.preempt && self.cache.progress.is_empty() && !self.cache.any_elastic() {
            return;
        }
        let elastic = self.cache.any_elastic();
        for plan in plans {
            let waiting_requests = waiting_tasks(plan, self.now);
            if waiting_requests.is_empty() {
                continue;
            }
            let mut loads: Option<(Vec<MachineLoad>, Vec<ClaimedTask>)> = None;
            for waiting in waiting_requests {
                let Some((preemption_request, save_ms)) =
                    self.preemption_request(plan, &waiting, guaranteed)
                else {
                    continue;
                };
                // No task could be stopped for this request. Without this check each waiting job
                // copied and searched all running tasks of the pool, which took most of the
                // planning time in a full region.
                if !preemption_request.preempts && !elastic {
                    continue;
                }
                let tasks = self.slots_needed(plan, &waiting);
                if tasks == 0 {
                    continue;
                }
                let (loads, running) =
                    loads.get_or_insert_with(|| self.loads(plan, guaranteed, save_ms));
                let request = &plan.requests[waiting.request];
                let mut usable_loads: Vec<MachineLoad> = loads
                    .iter()
                    .enumerate()
                    .map(|(i, load)| {
                        let spot = self.is_spot(&plan.machines[i]);
                        let excluded = (spot && !request.spot) || request.avoid.contains(&i);
                        // A machine that has to fetch the image first would start the task too
                        // late.
                        let lacks_image = preemption_request.preempts
                            && !self.has_image(&plan.machines[i], request);
                        if excluded || lacks_image {
                            MachineLoad { free: Default::default(), running: vec![] }
                        } else {
                            load.clone()
                        }
                    })
                    .collect();
                let choices =
                    preemption::choose_preemptions(&preemption_request, &mut usable_loads, tasks);
                for choice in choices {
                    loads[choice.machine] = usable_loads[choice.machine].clone();
                    if !choice.victims.is_empty() {
                        self.evict_for(plan, &waiting, &choice, running, save_ms);
                    }
                }
            }
            self.write_preemptions(&plan.pool, plan.token);
        }
    }

    /// What may be stopped for a job that waits, and how long a victim may take to save its
    /// progress in milliseconds.
    fn preemption_request(
        &self,
        plan: &PoolPlan,
        waiting: &WaitingTasks,
        guaranteed: &HashSet<JobId>,
    ) -> Option<(PreemptionRequest, u64)> {
        let job = &plan.jobs[waiting.request];
        let cached = self.cache.jobs.get(job)?;
        let spec = &cached.record.spec;
        let within_guarantee = guaranteed.contains(job);
        let budget_ms = self.preemption_budget_ms(cached, within_guarantee, waiting.start);
        // Under overload a preemption does not shorten the queue: it costs the victim's lost work
        // and two more changes, and only moves the wait from one job to another.
        let preempts =
            self.cfg.preempt && budget_ms.is_some() && self.cache.overload_quota.value.is_empty();
        // Stopping a task that has run for long costs more than a start in time gains, so a victim
        // may lose a quarter of the waiting task's run time at most. Bounded by the whole run time,
        // preemption cost the deployment `kerbrev` 0.03 on its rough days; by a quarter, nothing.
        let max_loss = if preempts {
            let max_loss_ms = cached.run_time().ms() / 4;
            max_loss_ms.saturating_mul(cached.task_resources.cpus.max(1) as u64) / 1000
        } else {
            u64::MAX
        };
        let preemption_request = PreemptionRequest {
            task_resources: cached.task_resources,
            urgency: spec.urgency,
            team: spec.team.clone(),
            within_guarantee,
            preempts,
            max_loss,
        };
        Some((preemption_request, budget_ms.unwrap_or(0)))
    }

    /// How long a victim may take to stop, in milliseconds, if preemption would meet a service
    /// level objective that the reservation would miss. No task is stopped for an objective that
    /// would be missed in any case.
    fn preemption_budget_ms(
        &self,
        cached: &CachedJob,
        within_guarantee: bool,
        start: Ms,
    ) -> Option<u64> {
        let spec = &cached.record.spec;
        let elapsed_ms = self.wall_ms.saturating_sub(cached.record.accepted_ms) as f64;
        let objectives = self.cfg.objectives.iter().filter(|o| o.class == spec.class);
        // Objectives on completion are left to the queue's order: preempting for them lost as much
        // work in the evicted jobs as it gained.
        let start_targets = objectives.filter_map(|o| match o.kind {
            ObjectiveKind::Wait(within_s) => Some(within_s),
            ObjectiveKind::Finished(_) | ObjectiveKind::Deadline(_) => None,
        });
        let guarantee = self.cfg.guarantee_wait_s.filter(|_| within_guarantee);
        let earliest_ms = elapsed_ms + SLOT_HANDOVER_MS as f64;
        let planned_ms = elapsed_ms + start.since(self.now) as f64;
        start_targets
            .chain(guarantee)
            .map(|s| s * 1000.0)
            .filter(|by| earliest_ms <= *by && *by < planned_ms)
            .map(|by| (by - earliest_ms) as u64)
            .max()
    }

    /// The pool's share of the waiting tasks, less the slots that are being freed for them already.
    fn slots_needed(&self, plan: &PoolPlan, waiting: &WaitingTasks) -> u32 {
        let job = &plan.jobs[waiting.request];
        let pools =
            self.job_states.get(job).map(|l| l.assigned_pools.as_slice()).unwrap_or_default();
        let share = pool_share(job, pools, &plan.pool, waiting.tasks, self.wall_ms);
        share.saturating_sub(self.slots_being_freed(job, &plan.pool))
    }

    fn is_spot(&self, id: &MachineId) -> bool {
        self.inventory.machines.get(id).is_some_and(|m| m.spot)
    }

    /// Whether the request needs no image or the machine holds it.
    fn has_image(&self, id: &MachineId, request: &cleatfold_backfill::Request) -> bool {
        let machine = self.inventory.machines.get(id);
        request.image_gb <= 0.0
            || machine.is_some_and(|m| m.images.iter().any(|i| i.0 == request.image))
    }

    /// The load of each machine of the pool, as input to the choice of victims, and the tasks that
    /// the running tasks' ids refer to.
    fn loads(
        &self,
        plan: &PoolPlan,
        guaranteed: &HashSet<JobId>,
        save_ms: u64,
    ) -> (Vec<MachineLoad>, Vec<ClaimedTask>) {
        let mut tasks: Vec<ClaimedTask> = Vec::new();
        let mut loads = Vec::new();
        let total = self.inventory.machine_resources(&plan.pool.machine_type);
        for (i, id) in plan.machines.iter().enumerate() {
            let mut load = MachineLoad { free: total, running: vec![] };
            let machine = self.inventory.machines.get(id).filter(|_| plan.can_start[i]);
            let Some(machine) = machine else {
                load.free = Default::default();
                loads.push(load);
                continue;
            };
            for ((job, ix), claim) in self.cache.claims.get(id).into_iter().flatten() {
                let Some(cached) = self.cache.jobs.get(job) else { continue };
                if self.is_ending(job, *ix, claim.attempt) {
                    continue;
                }
                load.free -= cached.task_resources;
                let task = ClaimedTask { job: job.clone(), ix: *ix, attempt: claim.attempt };
                let mut candidate = self.preemption_candidate(id, machine, cached, &task, save_ms);
                candidate.beyond_guarantee = !guaranteed.contains(job);
                candidate.id = tasks.len();
                tasks.push(task);
                load.running.push(candidate);
            }
            loads.push(load);
        }
        // Reservations that start now use free resources.
        for r in plan.reservations.iter().filter(|r| r.start <= self.now) {
            loads[r.machine].free -= plan.requests[r.request].task_resources.times(r.tasks);
        }
        (loads, tasks)
    }

    /// A running task as input to the choice of victims: whether it may be stopped, and what is
    /// lost.
    fn preemption_candidate(
        &self,
        id: &MachineId,
        machine: &Machine,
        cached: &CachedJob,
        task: &ClaimedTask,
        save_ms: u64,
    ) -> RunningTask {
        let spec = &cached.record.spec;
        let evictions = self
            .job_states
            .get(&task.job)
            .and_then(|l| l.preemption_counts.get(&task.ix))
            .copied()
            .unwrap_or(0);
        let started = machine.task_started_at.get(&(task.job.clone(), task.ix));
        let ran = started.map_or(0, |s| self.now.since(*s));
        let yields = cached.width().is_some() && task.ix >= cached.first_surplus_member;
        let may_stop_again =
            yields || evictions == 0 || ran >= MIN_RUN_AFTER_STOP_MS * u64::from(evictions + 1);
        let checkpoint_ms = (spec.checkpoint_s * 1000.0) as u64;
        let lost_ms = match cached.width() {
            Some(width) if width.step_ms <= YIELD_GRACE_MS => 0,
            Some(width) => width.step_ms / 2,
            None if checkpoint_ms > 0 && can_save_within(spec.save_s, save_ms) => 0,
            None => ran % checkpoint_ms.max(u64::from(checkpoint_ms == 0) * u64::MAX),
        };
        RunningTask {
            id: 0,
            task_resources: cached.task_resources,
            urgency: spec.urgency,
            team: spec.team.clone(),
            beyond_guarantee: true,
            is_surplus_member: yields,
            stoppable: may_stop_again
                && spec.kind == Kind::Array
                && !cached.record.aborted
                && self.evictions.get(id, &task.job, task.ix).is_none(),
            loss: lost_ms * cached.task_resources.cpus.max(1) as u64 / 1000,
        }
    }

    /// How long elastic members may continue their step when their slots are needed for this job,
    /// in milliseconds. The longer the job has waited, for instance during a failover, the shorter.
    fn yield_grace_ms(&self, job: &JobId) -> u64 {
        let cached = self.cache.jobs.get(job);
        let waited = cached.map_or(0, |l| self.wall_ms.saturating_sub(l.record.accepted_ms));
        START_TARGET_MS.saturating_sub(waited + 3 * SLOT_HANDOVER_MS / 2).min(YIELD_GRACE_MS)
    }

    /// Stops the victims chosen for a request, or notes the preemption to be written first.
    fn evict_for(
        &mut self,
        plan: &PoolPlan,
        waiting: &WaitingTasks,
        choice: &Preemption,
        running: &[ClaimedTask],
        save_ms: u64,
    ) {
        let now = self.now;
        let yield_grace_ms = self.yield_grace_ms(&plan.jobs[waiting.request]);
        let id = plan.machines[choice.machine].clone();
        let mut victims = Vec::new();
        let mut last_exit_ms = 0;
        let mut preempts = false;
        for task in choice.victims.iter().filter_map(|v| running.get(*v)) {
            let Some(cached) = self.cache.jobs.get(&task.job) else { continue };
            let spec = &cached.record.spec;
            let grace_ms = match cached.width() {
                Some(width) => width.release_delay_ms(yield_grace_ms),
                None if spec.checkpoint_s > 0.0 && can_save_within(spec.save_s, save_ms) => {
                    (spec.save_s * 1000.0) as u64 + 500
                }
                None => 0,
            };
            last_exit_ms = last_exit_ms.max(grace_ms + SLOT_HANDOVER_MS / 2);
            preempts |= cached.width().is_none();
            victims.push((Victim(task.job.clone(), task.ix, task.attempt), grace_ms));
        }
        let job = plan.jobs[waiting.request].clone();
        let claimed_before = self.count_claims_on(&id, &job);
        let preemption = PreemptionPlan {
            job: job.clone(),
            machine: id,
            tasks: choice.tasks,
            claimed_before,
            until_ms: self.wall_ms + last_exit_ms + SLOT_HANDOVER_MS + self.preemption_hold_ms(),
            grace_ms: victims.iter().map(|l| l.1).max().unwrap_or(0),
            victims: victims.into_iter().map(|l| l.0).collect(),
        };
        let until = now.plus(last_exit_ms + SLOT_HANDOVER_MS);
        self.evictions.expect_slots(job, plan.pool.clone(), choice.tasks, until);
        // Evicted elastic members cannot get their slots back, because growth comes last in the
        // queue. A preempted task could get its slot back from a new owner of the pool that does
        // not know of the preemption, so that is written to the state service first.
        if preempts {
            self.priority.unwritten_preemptions.push(preemption);
        } else {
            self.evict(plan.token, preemption);
        }
    }

    /// Sends the victims of a preemption the command to stop.
    pub(crate) fn evict(&mut self, token: FencingToken, preemption: PreemptionPlan) {
        let id = preemption.machine;
        let mut commands = Vec::new();
        for Victim(job, ix, attempt) in preemption.victims {
            let Some(cached) = self.cache.jobs.get(&job) else { continue };
            let elastic = cached.width().is_some();
            let grace_s = preemption.grace_ms as f64 / 1000.0;
            let free_at = self.now.plus(preemption.grace_ms + SLOT_HANDOVER_MS / 2);
            let eviction = Eviction { attempt, free_at, grace_s };
            self.evictions.insert(&id, &job, ix, eviction);
            let now = self.now;
            let job_state = self.job_state(&job);
            if elastic {
                job_state.last_shrunk = Some(now);
            } else {
                *job_state.preemption_counts.entry(ix).or_default() += 1;
            }
            tracing::info!(
                %job, task = ix.0, machine = %id, grace_s, preempting_job = %preemption.job, "evicting task"
            );
            commands.push(Command::Stop { task: TaskId { job, ix }, attempt, grace_s });
        }
        let Some(machine) = self.inventory.machines.get(&id) else { return };
        let (Some(endpoint), Some(heartbeat)) = (machine.endpoint.clone(), &machine.heartbeat)
        else {
            return;
        };
        // The response to the next heartbeat could carry the commands as well, but up to one
        // heartbeat interval later.
        let orders = Orders { token, agent_epoch: heartbeat.agent_epoch, commands };
        self.effects.push(Effect::Order { machine: id, endpoint, orders });
    }

    /// The stop command that the response to a heartbeat repeats for a task that is being evicted:
    /// direct orders may be lost. Without a grace period once the stop is overdue.
    pub(crate) fn repeated_eviction(&self, id: &MachineId, t: &TaskReport) -> Option<Command> {
        self.evictions.stop_command(id, t, self.now)
    }

    /// Handles a worker's response to direct orders. Only the exits in it are used: they are final.
    /// A task that is missing from its list may still be started by a response to an earlier
    /// heartbeat that has not reached the worker yet.
    pub(crate) fn on_orders_reply(&mut self, id: MachineId, heartbeat: Option<Heartbeat>) {
        let (Some(heartbeat), Some(machine)) = (heartbeat, self.inventory.machines.get(&id)) else {
            return;
        };
        let newer = machine.heartbeat.as_ref().is_some_and(|known| {
            known.agent_epoch == heartbeat.agent_epoch
                && known.seq < heartbeat.seq
                && heartbeat.machine == id
        });
        if !newer || self.owned_pool_token(&machine.pool).is_none_or(|t| t != heartbeat.token) {
            return;
        }
        let unfinished: HashSet<TaskId> = heartbeat
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited)
            .map(|t| t.task.clone())
            .collect();
        for t in heartbeat.tasks.iter().filter(|t| t.state == TaskState::Exited) {
            let ours = self.cache.claim(&id, &t.task).is_some_and(|c| c.attempt == t.attempt);
            if ours && !unfinished.contains(&t.task) {
                let exit = t.why.unwrap_or(Exit::Other);
                self.on_exit(&id, &t.task, t.attempt, exit, t.saved == Some(true));
            }
        }
        self.replan_needed = true;
    }
}

/// The requests whose reservations do not all start now, in the queue's order. Requests
/// of gangs and for growth of elastic jobs are left out.
fn waiting_tasks(plan: &PoolPlan, now: Ms) -> Vec<WaitingTasks> {
    let mut waiting_requests: Vec<WaitingTasks> = Vec::new();
    for reservation in &plan.reservations {
        let request = reservation.request;
        if reservation.start <= now || plan.is_growth[request] || plan.requests[request].gang {
            continue;
        }
        match waiting_requests.last_mut().filter(|waiting| waiting.request == request) {
            Some(waiting) => {
                waiting.tasks += reservation.tasks;
                waiting.start = waiting.start.min(reservation.start);
            }
            None => {
                let (tasks, start) = (reservation.tasks, reservation.start);
                waiting_requests.push(WaitingTasks { request, tasks, start });
            }
        }
    }
    waiting_requests
}

/// How many of a job's waiting tasks a pool preempts for. The tasks are divided among the job's
/// pools, in an order that rotates; otherwise every pool would preempt for the same tasks.
fn pool_share(job: &JobId, pools: &[PoolId], pool: &PoolId, tasks: u32, wall_ms: u64) -> u32 {
    let shares = pools.len().max(1) as u64;
    let rotation =
        xxhash_rust::xxh3::xxh3_64(job.as_str().as_bytes()) / 2 + wall_ms / SHARE_ROTATION_MS;
    let position = pools.iter().position(|p| p == pool).unwrap_or(0) as u64;
    let share = (position + rotation) % shares;
    let tasks = u64::from(tasks);
    (tasks * (share + 1) / shares - tasks * share / shares) as u32
}

/// Whether a task can save its progress within this time.
fn can_save_within(save_s: f64, time_ms: u64) -> bool {
    save_s * 1000.0 + 500.0 <= time_ms as f64
}

/// A running task; its index in the list of tasks is its id in the choice of victims.
struct ClaimedTask {
    job: JobId,
    ix: TaskIx,
    attempt: Attempt,
}
