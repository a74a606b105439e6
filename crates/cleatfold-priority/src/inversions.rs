//! Priority inversions: a task starts while a job of higher urgency waits that would have fitted there.

use cleatfold_backfill::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{JobId, Ms, TypeId, ZoneId};
use std::collections::BTreeSet;

/// Start of a task on a machine, planned or done.
#[derive(Clone, Debug)]
pub struct TaskStart {
    /// The job.
    pub job: JobId,
    /// The job's urgency.
    pub urgency: Urgency,
    /// The machine's type.
    pub machine_type: TypeId,
    /// The machine's zone.
    pub zone: ZoneId,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Resources free on the machine before the start.
    pub free: Resources,
}

/// A job with tasks that are not claimed on any machine.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// The job's urgency.
    pub urgency: Urgency,
    /// When it began to wait: on acceptance, or when one of its tasks lost its machine.
    pub since: Ms,
    /// Resources of one task.
    pub task_resources: Resources,
    /// Machine types that it may run on; any if none is given.
    pub types: Option<Vec<TypeId>>,
    /// The only zone that it may run in, if restricted to one.
    pub zone: Option<ZoneId>,
    /// Zones in which it may start no further tasks.
    pub excluded_zones: BTreeSet<ZoneId>,
    /// Whether it may run on spot machines.
    pub spot: bool,
    /// Whether one more task fits its team's limit.
    pub within_limit: bool,
    /// Whether its tasks have to start together; that one of them fits does not show that the job could start.
    pub gang: bool,
}

/// Whether the start is a priority inversion of the waiting job. A job that has waited for at most one
/// heartbeat interval does not count: a decision takes up to that long to reach a worker.
pub fn is_inversion(
    start: &TaskStart,
    waiting: &WaitingJob,
    now: Ms,
    heartbeat_interval_ms: u64,
) -> bool {
    waiting.job != start.job
        && waiting.urgency < start.urgency
        && !waiting.gang
        && waiting.within_limit
        && now.since(waiting.since) > heartbeat_interval_ms
        && (waiting.spot || !start.spot)
        && waiting.zone.as_ref().is_none_or(|z| *z == start.zone)
        && !waiting.excluded_zones.contains(&start.zone)
        && waiting.types.as_ref().is_none_or(|t| t.contains(&start.machine_type))
        && start.free.fitting_tasks(&waiting.task_resources, 1) > 0
}

/// Counts task starts and priority inversions.
#[derive(Clone, Debug, Default)]
pub struct Inversions {
    /// Number of all starts.
    pub starts: u32,
    /// Number of starts that were inversions.
    pub inverted: u32,
    /// The first inversions, for diagnosis.
    pub examples: Vec<(Ms, TaskStart, WaitingJob)>,
}

impl Inversions {
    /// Counts a start that happens while the given jobs wait.
    pub fn record_start<'a>(
        &mut self,
        start: &TaskStart,
        waiting: impl IntoIterator<Item = &'a WaitingJob>,
        now: Ms,
        heartbeat_interval_ms: u64,
    ) {
        self.starts += 1;
        let Some(waiting_job) =
            waiting.into_iter().find(|w| is_inversion(start, w, now, heartbeat_interval_ms))
        else {
            return;
        };
        self.inverted += 1;
        if self.examples.len() < 8 {
            self.examples.push((now, start.clone(), waiting_job.clone()));
        }
    }
}
