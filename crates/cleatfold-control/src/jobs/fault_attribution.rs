//! Fault attribution: collects the evidence on failed tasks from job records and local state, and
//! applies the rules of `cleatfold_fault_attribution`.

use crate::controller::Controller;
use crate::jobs::state::{EndReason, LocalJobState};
use crate::store::cache::CachedJob;
use cleatfold_fault_attribution::{job_health, retry_backoff_ms, Evidence, Failure, JobHealth};
use cleatfold_wire::job::{JobState, Kind};
use cleatfold_wire::worker::Exit;
use cleatfold_wire::{Attempt, JobId, MachineId, TaskId, TaskIx};
use std::collections::BTreeSet;

impl Controller {
    /// The job's failed starts: those in its records, which every controller reads, and those that
    /// wait to be recorded.
    fn failures(&self, id: &JobId, job_state: Option<&LocalJobState>) -> Vec<Failure> {
        let mut failures = Vec::new();
        if self.cache.jobs_with_losses.contains(id) {
            self.cache.tables(id).for_each(|t| failures.extend(t.losses.failures()));
        }
        for end in job_state
            .iter()
            .flat_map(|s| &s.ends)
            .filter(|e| e.reason == EndReason::Exit(Exit::Error))
        {
            let at_ms = job_state.map_or(0, |s| s.last_failure_ms);
            let (machine, task, attempt) = (end.machine.clone(), end.ix, end.attempt);
            failures.push(Failure { machine, task, attempt, at_ms });
        }
        failures
    }

    /// The health of a job; `None` if no start of it has failed.
    fn current_health(
        &self,
        id: &JobId,
        cached: &CachedJob,
        job_state: Option<&LocalJobState>,
    ) -> Option<JobHealth> {
        let failures = self.failures(id, job_state);
        (!failures.is_empty()).then(|| self.health_from_failures(&failures, cached, job_state))
    }

    /// The health of a job with these failures.
    fn health_from_failures(
        &self,
        failures: &[Failure],
        cached: &CachedJob,
        job_state: Option<&LocalJobState>,
    ) -> JobHealth {
        let done =
            cached.done + job_state.map_or(0, |s| s.ends.iter().filter(|e| e.done).count() as u32);
        job_health(failures, done, |id| self.is_faulty(id), self.wall_ms)
    }

    /// How many of `tasks` unclaimed tasks may be planned now, and machines rented for them. Tasks
    /// in backoff get no reservation, no machine is rented for them, and no idle machine is kept.
    pub(crate) fn startable_tasks(&self, id: &JobId, cached: &CachedJob, tasks: u32) -> u32 {
        if tasks == 0 {
            return 0;
        }
        let health = self.current_health(id, cached, self.job_states.get(id));
        health.map_or(tasks, |health| self.startable_under(&health, cached, tasks))
    }

    /// How many of `tasks` may be started at this health of the job.
    fn startable_under(&self, health: &JobHealth, cached: &CachedJob, tasks: u32) -> u32 {
        let startable = health.startable_tasks(tasks, cached.claimed, self.wall_ms);
        let has_tasks_backing_off =
            matches!(health, JobHealth::Healthy { backing_off } if !backing_off.is_empty());
        match cached.record.spec.kind {
            // A gang starts as a whole or not at all.
            Kind::Gang if startable > 0 && !has_tasks_backing_off => tasks,
            Kind::Gang => 0,
            _ => startable,
        }
    }

    /// The tasks that must not be claimed now, and how many of the others may be.
    pub(crate) fn claim_restrictions(
        &self,
        id: &JobId,
        cached: &CachedJob,
    ) -> (BTreeSet<TaskIx>, u32) {
        let tasks = cached.record.spec.tasks;
        let Some(health) = self.current_health(id, cached, self.job_states.get(id)) else {
            return (BTreeSet::new(), tasks);
        };
        let max_tasks = self.startable_under(&health, cached, tasks);
        match health {
            JobHealth::Healthy { backing_off } => (backing_off, max_tasks),
            JobHealth::Suspect { .. } => (BTreeSet::new(), max_tasks),
        }
    }

    /// Whether the job fails on every machine according to its recorded failures.
    pub(crate) fn is_suspect(&self, id: &JobId, cached: &CachedJob) -> bool {
        self.cache.jobs_with_losses.contains(id)
            && matches!(self.current_health(id, cached, None), Some(JobHealth::Suspect { .. }))
    }

    /// Indices of the machines that the job failed on and should avoid; none if it failed on all of
    /// them.
    pub(crate) fn machines_to_avoid(&self, id: &JobId, machines: &[MachineId]) -> Vec<usize> {
        let failures = self.failures(id, self.job_states.get(id));
        let failed = |m: &MachineId| failures.iter().any(|f| f.machine == *m);
        let failed_on: Vec<usize> = match failures.is_empty() {
            true => vec![],
            false => (0..machines.len()).filter(|&i| failed(&machines[i])).collect(),
        };
        if failed_on.len() < machines.len() {
            failed_on
        } else {
            vec![]
        }
    }

    /// Status text on the failed starts of a job: the last one, their number, since when, and the
    /// next try of a suspect job.
    pub(crate) fn failure_summary(&self, id: &JobId, cached: &CachedJob) -> Option<String> {
        let job_state = self.job_states.get(id);
        let mut failures = self.failures(id, job_state);
        failures.sort_by_key(|f| f.at_ms);
        let (first, last) = (failures.first()?, failures.last()?);
        let machines: BTreeSet<&MachineId> = failures.iter().map(|f| &f.machine).collect();
        let since_s = self.wall_ms.saturating_sub(first.at_ms) / 1000;
        let mut summary = format!(
            "task {} failed on {}; {} failed starts on {} machines since {since_s} s ago",
            last.task,
            last.machine,
            failures.len(),
            machines.len()
        );
        if let JobHealth::Suspect { retry_at_ms } =
            self.health_from_failures(&failures, cached, job_state)
        {
            let next_s = retry_at_ms.saturating_sub(self.wall_ms) / 1000;
            summary += &format!("; it fails wherever it runs, next try in {next_s} s");
        }
        Some(summary)
    }

    /// Records that a task has failed on a machine of an owned pool.
    pub(crate) fn record_task_failure(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
    ) {
        let wall_ms = self.wall_ms;
        self.job_state(&task.job).last_failure_ms = wall_ms;
        let pause_s = retry_backoff_ms(attempt) / 1000;
        tracing::info!(job = %task.job, task = task.ix.0, attempt = attempt.0, %machine, pause_s, "task failed");
        if let Some(machine) = self.inventory.machines.get_mut(machine) {
            machine.failures.record_failure(task.job.clone(), task.ix);
        }
    }

    /// Drains machines that the evidence on their failed tasks shows to be faulty, to return them.
    pub(crate) fn return_faulty_machines(&mut self) {
        let mut suspects = Vec::new();
        for (id, m) in &mut self.inventory.machines {
            if !m.failures.is_empty() && !m.faulty && self.pools.owned.contains_key(&m.pool) {
                suspects.push((id.clone(), std::mem::take(&mut m.failures)));
            }
        }
        for (id, mut failures) in suspects {
            let faulty = failures.is_faulty(|job, task| self.evidence(&id, job, task));
            let Some(m) = self.inventory.machines.get_mut(&id) else { continue };
            m.failures = failures;
            if faulty {
                tracing::info!(machine = %id, "machine at fault: returning it");
                (m.faulty, m.draining) = (true, true);
                self.replan_needed = true;
            }
        }
    }

    /// Evidence that a failed task gives against its machine.
    fn evidence(&self, machine: &MachineId, job: &JobId, task: TaskIx) -> Evidence {
        let Some(cached) = self.cache.jobs.get(job) else {
            let done = self.terminal_jobs.get(job).is_some_and(|s| s.state == JobState::Done);
            return if done { Evidence::WorksElsewhere } else { Evidence::NoEvidence };
        };
        let job_state = self.job_states.get(job);
        let failed_elsewhere =
            |f: &Failure| f.task == task && f.machine != *machine && !self.is_faulty(&f.machine);
        if self.failures(job, job_state).iter().any(failed_elsewhere) {
            return Evidence::NoEvidence;
        }
        let ends = job_state.iter().flat_map(|s| &s.ends);
        if cached.done > 0 || ends.into_iter().any(|e| e.done) {
            return Evidence::WorksElsewhere;
        }
        Evidence::Undetermined
    }

    fn is_faulty(&self, machine: &MachineId) -> bool {
        self.inventory.machines.get(machine).is_some_and(|m| m.faulty)
    }
}
