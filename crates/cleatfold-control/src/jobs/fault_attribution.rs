//! Failed tasks: what the records and the machines' owners know of them, as `cleatfold_fault_attribution` judges.

use crate::controller::Controller;
use crate::jobs::state::{EndReason, LocalJobState};
use crate::store::cache::CachedJob;
use cleatfold_fault_attribution::{job_health, retry_backoff_ms, Evidence, Failure, JobHealth};
use cleatfold_wire::job::{JobState, Kind};
use cleatfold_wire::worker::Exit;
use cleatfold_wire::{Attempt, JobId, MachineId, TaskId, TaskIx};
use std::collections::BTreeSet;

impl Controller {
    /// The job's failed starts: those in its record, which every controller reads, and those that
    /// are on their way there.
    fn failures(&self, id: &JobId, job_state: Option<&LocalJobState>) -> Vec<Failure> {
        let mut failures = Vec::new();
        if self.cache.lossy.contains(id) {
            self.cache.tables(id).for_each(|t| failures.extend(t.losses.failures()));
        }
        for end in job_state
            .iter()
            .flat_map(|l| &l.ends)
            .filter(|e| e.reason == EndReason::Exit(Exit::Error))
        {
            let at_ms = job_state.map_or(0, |l| l.failed_ms);
            let (machine, task, attempt) = (end.machine.clone(), end.ix, end.attempt);
            failures.push(Failure { machine, task, attempt, at_ms });
        }
        failures
    }

    /// What is to be thought of a job, if anything of it has failed.
    fn verdict(
        &self,
        id: &JobId,
        cached: &CachedJob,
        job_state: Option<&LocalJobState>,
    ) -> Option<JobHealth> {
        let failures = self.failures(id, job_state);
        (!failures.is_empty()).then(|| self.judged(&failures, cached, job_state))
    }

    fn judged(
        &self,
        failures: &[Failure],
        cached: &CachedJob,
        job_state: Option<&LocalJobState>,
    ) -> JobHealth {
        let done =
            cached.done + job_state.map_or(0, |l| l.ends.iter().filter(|e| e.done).count() as u32);
        job_health(failures, done, |id| self.is_faulty(id), self.wall_ms)
    }

    /// How many of `tasks` that wait may be planned and rented for now. What pauses waits for its
    /// turn or its user: it holds no place, nothing is rented for it, and no idle machine kept.
    pub(crate) fn may_start(&self, id: &JobId, cached: &CachedJob, tasks: u32) -> u32 {
        if tasks == 0 {
            return 0;
        }
        let verdict = self.verdict(id, cached, self.job_states.get(id));
        verdict.map_or(tasks, |s| self.startable(&s, cached, tasks))
    }

    fn startable(&self, verdict: &JobHealth, cached: &CachedJob, tasks: u32) -> u32 {
        let may = verdict.startable_tasks(tasks, cached.claimed, self.wall_ms);
        let pauses =
            matches!(verdict, JobHealth::Healthy { backing_off: pausing } if !pausing.is_empty());
        match cached.record.spec.kind {
            // Whole or not at all.
            Kind::Gang if may > 0 && !pauses => tasks,
            Kind::Gang => 0,
            _ => may,
        }
    }

    /// The tasks that must not be claimed now, and how many may be of the others.
    pub(crate) fn claimable(&self, id: &JobId, cached: &CachedJob) -> (BTreeSet<TaskIx>, u32) {
        let tasks = cached.record.spec.tasks;
        let Some(verdict) = self.verdict(id, cached, self.job_states.get(id)) else {
            return (BTreeSet::new(), tasks);
        };
        let most = self.startable(&verdict, cached, tasks);
        match verdict {
            JobHealth::Healthy { backing_off: pausing } => (pausing, most),
            JobHealth::Suspect { .. } => (BTreeSet::new(), most),
        }
    }

    /// It fails wherever it runs, and its record says so.
    pub(crate) fn is_suspect(&self, id: &JobId, cached: &CachedJob) -> bool {
        self.cache.lossy.contains(id)
            && matches!(self.verdict(id, cached, None), Some(JobHealth::Suspect { .. }))
    }

    /// Machines of a plan (by index) that a job should not be tried on again: those that it failed
    /// on, unless that is all of them.
    pub(crate) fn avoided(&self, id: &JobId, machines: &[MachineId]) -> Vec<usize> {
        let failures = self.failures(id, self.job_states.get(id));
        let failed = |m: &MachineId| failures.iter().any(|f| f.machine == *m);
        let avoid: Vec<usize> = match failures.is_empty() {
            true => vec![],
            false => (0..machines.len()).filter(|&i| failed(&machines[i])).collect(),
        };
        if avoid.len() < machines.len() {
            avoid
        } else {
            vec![]
        }
    }

    /// Why tasks of a job failed, since when, and what comes of it.
    pub(crate) fn why(&self, id: &JobId, cached: &CachedJob) -> Option<String> {
        let job_state = self.job_states.get(id);
        let mut failures = self.failures(id, job_state);
        failures.sort_by_key(|f| f.at_ms);
        let (first, last) = (failures.first()?, failures.last()?);
        let machines: BTreeSet<&MachineId> = failures.iter().map(|f| &f.machine).collect();
        let since = self.wall_ms.saturating_sub(first.at_ms) / 1000;
        let mut why = format!(
            "task {} failed on {}; {} failed starts on {} machines since {since} s ago",
            last.task,
            last.machine,
            failures.len(),
            machines.len()
        );
        if let JobHealth::Suspect { retry_at_ms: until_ms } =
            self.judged(&failures, cached, job_state)
        {
            let next = until_ms.saturating_sub(self.wall_ms) / 1000;
            why += &format!("; it fails wherever it runs, next try in {next} s");
        }
        Some(why)
    }

    /// A task has failed on one of our machines.
    pub(crate) fn note_failed(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        let wall_ms = self.wall_ms;
        self.job_state(&task.job).failed_ms = wall_ms;
        let pause_s = retry_backoff_ms(attempt) / 1000;
        tracing::info!(job = %task.job, task = task.ix.0, attempt = attempt.0, %machine, pause_s, "task failed");
        if let Some(machine) = self.inventory.machines.get_mut(machine) {
            machine.suspicion.record_failure(task.job.clone(), task.ix);
        }
    }

    /// Returns machines that are at fault, by what is known of the jobs by now.
    pub(crate) fn judge_machines(&mut self) {
        let mut suspects = Vec::new();
        for (id, m) in &mut self.inventory.machines {
            if !m.suspicion.is_empty() && !m.faulty && self.pools.owned.contains_key(&m.pool) {
                suspects.push((id.clone(), std::mem::take(&mut m.suspicion)));
            }
        }
        for (id, mut suspicion) in suspects {
            let faulty = suspicion.is_faulty(|job, task| self.evidence(&id, job, task));
            let Some(m) = self.inventory.machines.get_mut(&id) else { continue };
            m.suspicion = suspicion;
            if faulty {
                tracing::info!(machine = %id, "machine at fault: returning it");
                (m.faulty, m.draining) = (true, true);
                self.replan_needed = true;
            }
        }
    }

    fn evidence(&self, machine: &MachineId, job: &JobId, task: TaskIx) -> Evidence {
        let Some(cached) = self.cache.jobs.get(job) else {
            let done = self.terminal_jobs.get(job).is_some_and(|s| s.state == JobState::Done);
            return if done { Evidence::WorksElsewhere } else { Evidence::NoEvidence };
        };
        let job_state = self.job_states.get(job);
        let elsewhere =
            |f: &Failure| f.task == task && f.machine != *machine && !self.is_faulty(&f.machine);
        if self.failures(job, job_state).iter().any(elsewhere) {
            return Evidence::NoEvidence;
        }
        let ends = job_state.iter().flat_map(|l| &l.ends);
        if cached.done > 0 || ends.into_iter().any(|e| e.done) {
            return Evidence::WorksElsewhere;
        }
        Evidence::Undetermined
    }

    fn is_faulty(&self, machine: &MachineId) -> bool {
        self.inventory.machines.get(machine).is_some_and(|m| m.faulty)
    }
}
