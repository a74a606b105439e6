//! Tasks on this controller's machines: when they began, how they ended, and when those on a machine
//! that the cloud takes away are stopped.

use crate::controller::Controller;
use crate::jobs::state::{ClaimEnd, EndReason};
use cleatfold_wire::worker::{Command, Exit, TaskReport, TaskState};
use cleatfold_wire::{Attempt, MachineId, Ms, TaskId};

impl Controller {
    /// Notes when a task was first seen running, and that its machine has its image.
    pub(super) fn note_running(&mut self, id: &MachineId, task: &TaskId) {
        let Some(cached) = self.cache.jobs.get(&task.job) else {
            return;
        };
        let (image, gb) = (cached.record.spec.image.clone(), cached.record.spec.image_gb);
        let now = self.now;
        let Some(machine) = self.inventory.machines.get_mut(id) else {
            return;
        };
        let key = (task.job.clone(), task.ix);
        if machine.started.contains_key(&key) {
            return;
        }
        machine.started.insert(key, now);
        let cache = self
            .inventory
            .types
            .get(&machine.pool.machine_type)
            .map_or(f64::INFINITY, |t| t.cache_gb);
        machine.use_image(&image, gb, cache);
    }

    /// The cloud takes the machine at `at`: a task that can save and has still to be told to
    /// is stopped in time; one that cannot runs on, for it may end before.
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
            // It ends its step if there is time, says so and begins no other one.
            let grace_s = at.since(self.now) as f64 / 2000.0;
            let is_due = grace_s <= elastic.step_s + two_intervals_s;
            return is_due.then(|| stop(grace_s))?;
        }
        // The notice may be half of what it says, and the next heartbeat is a while off.
        let is_due = left_s / 2.0 <= spec.save_s + two_intervals_s + 1.0;
        let saves = spec.checkpoint_s > 0.0;
        (saves && is_due).then(|| stop(spec.save_s + 1.0))?
    }

    /// An exit that a worker has reported ends its claim.
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
            .and_then(|m| m.started.remove(&(task.job.clone(), task.ix)));
        let Some(cached) = self.cache.jobs.get(&task.job) else {
            return;
        };
        let interval = (cached.record.spec.checkpoint_s * 1000.0) as u64;
        if self.is_ending(&task.job, task.ix, attempt) {
            return;
        }
        let elastic = cached.record.spec.elastic.is_some();
        let job_state = self.job_state(&task.job);
        if exit != Exit::Done && interval > 0 {
            let ran = started.map_or(0, |s| now.since(s));
            let kept = if saved { ran } else { ran / interval * interval };
            *job_state.saved.entry(task.ix).or_default() += kept;
        }
        match exit {
            Exit::Error => {
                self.note_failed(id, task, attempt);
            }
            Exit::Unknown => {
                self.job_state(&task.job).hold_until = now.plus(2000);
            }
            Exit::Done => {
                if let Some(machine) = self.inventory.machines.get_mut(id) {
                    machine.suspicion.record_completion();
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
            // A member that leaves frees its place; what is done of its job are steps.
            done: exit == Exit::Done && !elastic,
            reason: EndReason::Exit(exit),
            ran_ms,
            fence: None,
        };
        self.end(&task.job, end);
    }
}
