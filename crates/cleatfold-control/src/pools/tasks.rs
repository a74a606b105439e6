//! Tasks on this controller's machines: their starts and exits, and stopping them before the cloud
//! reclaims their machine.

use crate::controller::Controller;
use crate::jobs::state::{ClaimEnd, EndReason};
use cleatfold_wire::worker::{Command, Exit, TaskReport, TaskState};
use cleatfold_wire::{Attempt, MachineId, Ms, TaskId};

impl Controller {
    /// Records when a task was first seen running, and that its machine holds the task's image.
    pub(super) fn record_task_start(&mut self, id: &MachineId, task: &TaskId) {
        let Some(cached) = self.cache.jobs.get(&task.job) else {
            return;
        };
        let (image, image_gb) = (cached.record.spec.image.clone(), cached.record.spec.image_gb);
        let now = self.now;
        let Some(machine) = self.inventory.machines.get_mut(id) else {
            return;
        };
        let key = (task.job.clone(), task.ix);
        if machine.task_started_at.contains_key(&key) {
            return;
        }
        machine.task_started_at.insert(key, now);
        let cache_gb = self
            .inventory
            .types
            .get(&machine.pool.machine_type)
            .map_or(f64::INFINITY, |t| t.cache_gb);
        machine.use_image(&image, image_gb, cache_gb);
    }

    /// The stop command for a task whose machine the cloud reclaims at `at`, once it is due. A task
    /// with checkpoints is stopped in time to save one; a task without them continues to run, since
    /// it may finish first.
    pub(super) fn stop_before_reclaim(&self, task: &TaskReport, at: Ms) -> Option<Command> {
        let cached = self.cache.jobs.get(&task.task.job)?;
        let spec = &cached.record.spec;
        let two_intervals_s = 2.0 * self.cfg.heartbeat_interval_ms as f64 / 1000.0;
        let left_s = at.since(self.now) as f64 / 1000.0;
        let stop = |grace_s| {
            let (task, attempt) = (task.task.clone(), task.attempt);
            Some(Command::Stop { task, attempt, grace_s })
        };
        if task.state == TaskState::Fetching {
            return stop(0.0);
        }
        if let Some(elastic) = &spec.elastic {
            // The member finishes its step if there is time, reports it and begins no further one.
            let grace_s = at.since(self.now) as f64 / 2000.0;
            let is_due = grace_s <= elastic.step_s + two_intervals_s;
            return is_due.then(|| stop(grace_s))?;
        }
        // Only half of the notice is relied on, and the next command can be sent only with the next
        // heartbeat.
        let is_due = left_s / 2.0 <= spec.save_s + two_intervals_s + 1.0;
        let has_checkpoints = spec.checkpoint_s > 0.0;
        (has_checkpoints && is_due).then(|| stop(spec.save_s + 1.0))?
    }

    /// Ends the claim of an attempt whose exit a worker has reported.
    pub(crate) fn on_exit(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        exit: Exit,
        saved: bool,
    ) {
        let now = self.now;
        let started = self
            .inventory
            .machines
            .get_mut(id)
            .and_then(|m| m.task_started_at.remove(&(task.job.clone(), task.ix)));
        let Some(cached) = self.cache.jobs.get(&task.job) else {
            return;
        };
        let checkpoint_ms = (cached.record.spec.checkpoint_s * 1000.0) as u64;
        if self.is_ending(&task.job, task.ix, attempt) {
            return;
        }
        let is_elastic = cached.record.spec.elastic.is_some();
        let job_state = self.job_state(&task.job);
        if exit != Exit::Done && checkpoint_ms > 0 {
            let ran_ms = started.map_or(0, |s| now.since(s));
            let saved_ms = if saved { ran_ms } else { ran_ms / checkpoint_ms * checkpoint_ms };
            *job_state.saved_run_ms.entry(task.ix).or_default() += saved_ms;
        }
        match exit {
            Exit::Error => {
                self.record_task_failure(id, task, attempt);
            }
            Exit::Unknown => {
                self.job_state(&task.job).no_placement_before = now.plus(2000);
            }
            Exit::Done => {
                if let Some(machine) = self.inventory.machines.get_mut(id) {
                    machine.failures.record_completion();
                }
            }
            _ => {}
        }
        let ran_ms = started.map_or(0, |s| now.since(s));
        self.evictions.remove(id, &task.job, task.ix);
        let end = ClaimEnd {
            machine: id.clone(),
            ix: task.ix,
            attempt,
            // The exit of an elastic member only makes its number available to a new member; the
            // job's progress is counted in steps.
            done: exit == Exit::Done && !is_elastic,
            reason: EndReason::Exit(exit),
            ran_ms,
            fence: None,
        };
        self.queue_claim_end(&task.job, end);
    }
}
