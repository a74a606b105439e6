//! What running tasks occupy, and for how long.
//!
//! The submitter's estimate says nothing about this for every job: a service's estimate is 0, since its replicas run
//! until the job is cancelled, and how long an elastic job runs follows from its steps. Whatever needs to know how long
//! a task holds its resources, or what is left of a machine, asks here instead of reading the estimate.

use crate::controller::Controller;
use crate::scheduling::evictions::YIELD_GRACE_MS;
use crate::store::cache::CachedJob;
use cleatfold_backfill::profile::FOREVER;
use cleatfold_backfill::Resources;
use cleatfold_wire::job::Kind;
use cleatfold_wire::{MachineId, TaskIx};
use std::collections::HashMap;

/// How long a task holds its resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunTime {
    /// Until its job is cancelled.
    UntilCancelled,
    /// For so many milliseconds.
    Ms(u64),
}

impl RunTime {
    /// In milliseconds; `FOREVER` if it has no end.
    pub(crate) fn ms(self) -> u64 {
        match self {
            RunTime::UntilCancelled => FOREVER,
            RunTime::Ms(ms) => ms,
        }
    }

    /// The fraction of the next `window_s` seconds.
    pub(crate) fn fraction_of(self, window_s: f64) -> f64 {
        match self {
            RunTime::UntilCancelled => 1.0,
            RunTime::Ms(ms) => (ms as f64 / 1000.0 / window_s).min(1.0),
        }
    }
}

impl CachedJob {
    /// Whether the job's tasks hold their resources until it is cancelled, which it is not yet.
    fn runs_until_cancelled(&self) -> bool {
        self.record.spec.kind == Kind::Service && !self.record.aborted
    }

    /// How long a task of the job runs from its start; a member of an elastic job until the steps are done.
    pub(crate) fn run_time(&self) -> RunTime {
        if self.runs_until_cancelled() {
            return RunTime::UntilCancelled;
        }
        RunTime::Ms(match self.width() {
            Some(width) => width.remaining_ms(self.claimed.max(width.base_members())),
            None => (self.record.spec.estimate_s * 1000.0) as u64,
        })
    }

    /// How much longer a running task of the job holds its resources, if it is not known when it started.
    pub(crate) fn mean_remaining_time(&self) -> RunTime {
        match self.run_time() {
            // An elastic job's run time is what remains of it.
            RunTime::Ms(ms) if self.width().is_none() => RunTime::Ms(ms / 2),
            run_time => run_time,
        }
    }

    /// The same for one task: a member beyond an elastic job's minimum yields its slot to waiting tasks.
    pub(crate) fn mean_remaining_time_of(&self, task: TaskIx) -> RunTime {
        match self.width().filter(|_| task >= self.first_surplus_member) {
            Some(width) => RunTime::Ms(width.release_delay_ms(YIELD_GRACE_MS)),
            None => self.mean_remaining_time(),
        }
    }
}

/// What tasks that run until their job is cancelled hold, by machine. Nothing else ever gets that.
#[derive(Default)]
pub(crate) struct PermanentAllocations<'a> {
    by_machine: HashMap<&'a MachineId, Resources>,
}

impl PermanentAllocations<'_> {
    /// What is left of a machine that has `total`.
    pub(crate) fn remainder(&self, machine: &MachineId, total: Resources) -> Resources {
        self.by_machine.get(machine).map_or(total, |held| total - *held)
    }
}

impl Controller {
    /// What the services that are not cancelled hold on each machine.
    pub(crate) fn permanent_allocations(&self) -> PermanentAllocations<'_> {
        let mut allocations = PermanentAllocations::default();
        let is_permanent = |job: &CachedJob| job.claimed > 0 && job.runs_until_cancelled();
        for (id, cached) in self.cache.jobs.iter().filter(|(_, job)| is_permanent(job)) {
            for group in self.cache.tables(id).flat_map(|table| &table.claims) {
                let held = allocations.by_machine.entry(&group.machine).or_default();
                *held += cached.task_resources.times(group.tasks.len() as u32);
            }
        }
        allocations
    }
}
