//! The configuration of a controller, combined from the platform's and the operator's settings.

use cleatfold_admission::AdmissionRules;
use cleatfold_wire::{ClassId, ControllerId, TeamId, ZoneId};

/// A team that submits jobs, with its guaranteed share and its limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// The team's name.
    pub name: TeamId,
    /// Guaranteed CPUs; 0: none.
    pub cpus: f64,
    /// Guaranteed GPUs; 0: none.
    pub gpus: f64,
    /// Upper limit of CPUs in use; 0: no limit.
    pub cpus_max: f64,
    /// Upper limit of GPUs in use; 0: no limit.
    pub gpus_max: f64,
}

impl Team {
    /// Whether the team has a limit on CPUs or GPUs.
    pub fn is_limited(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

/// The operator's objective for a class of jobs, as far as it affects scheduling decisions.
#[derive(Clone, Debug)]
pub struct ServiceLevelObjective {
    /// The class of jobs.
    pub class: ClassId,
    /// The objective.
    pub kind: ObjectiveKind,
}

/// The time by which a job should have started or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObjectiveKind {
    /// Done within this many seconds.
    Finished(f64),
    /// Done within this multiple of its own deadline.
    Deadline(f64),
    /// Started within this many seconds.
    Wait(f64),
}

/// The settings of one controller. Times are in milliseconds where the name ends in `_ms`.
#[derive(Clone, Debug)]
pub struct Config {
    /// The id of this controller.
    pub controller_id: ControllerId,
    /// The zone that this controller runs in.
    pub zone: ZoneId,
    /// The other controllers and their zones.
    pub peers: Vec<(ControllerId, ZoneId)>,
    /// All teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
    /// Duration of a worker's lease. A worker that receives no response for this long stops its
    /// tasks.
    pub lease_ms: u64,
    /// All tasks of a cancelled job must have stopped within this time.
    pub cancel_ms: u64,
    /// Maximum number of operations in one transaction.
    pub max_txn_changes: usize,
    /// Changes per second that the state service accepts from all controllers together.
    pub changes_per_s: f64,
    /// Maximum size of one record.
    pub max_value_bytes: usize,
    /// Calls per second that the cloud accepts from all controllers together.
    pub cloud_calls_per_s: f64,
    /// Maximum lag of the cloud's machine list behind its actual state.
    pub list_lag_ms: u64,
    /// Number of pools that a job is assigned to.
    pub pools_per_job: usize,
    /// Time between two reads of the state service when no request is waiting for one.
    pub read_interval_ms: u64,
    /// Time to live of a controller's own lease without renewal.
    pub controller_lease_ms: u64,
    /// The operator's objectives for classes of jobs.
    pub objectives: Vec<ServiceLevelObjective>,
    /// Target start time for jobs whose class has no objective.
    pub usual_wait_s: f64,
    /// A machine that was idle for this long is returned to the cloud.
    pub idle_return_s: f64,
    /// Whether ordinary jobs are preempted for jobs that the protocol ranks above them, where that
    /// meets an objective. Members of elastic jobs can be preempted in any case.
    pub preempt: bool,
    /// Target start time for jobs within their team's guaranteed share.
    pub guarantee_wait_s: Option<f64>,
    /// Admission rules under sustained overload; none: jobs are ordered by arrival and urgency
    /// alone.
    pub admission: Option<AdmissionRules>,
    /// Retention of each team's history.
    pub history: cleatfold_workspace::HistoryRetention,
    /// Staged distribution of images that many machines need at once; none: each machine fetches
    /// from the origin.
    pub image_distribution: Option<cleatfold_image_distribution::Settings>,
}

impl Config {
    /// Losses listed in a job's status; the team's loss log holds more.
    pub const MAX_REPORTED_LOSSES: usize = 16;

    /// The team with this name.
    pub fn team(&self, name: &TeamId) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == *name)
    }

    /// A machine without a heartbeat for this long is deleted; the deletion proves that its tasks
    /// have stopped. At least two heartbeats must have failed, and a worker that lost its
    /// controller must have had time to try every other one: a request that times out takes it
    /// 4 s, the pause before the next controller 1 s. With a timeout of 6 s, an owner deleted a
    /// pool whose workers were still searching for it.
    pub fn machine_timeout_ms(&self) -> u64 {
        let full_round_ms = 5000 * (self.peers.len() as u64 + 1);
        (self.heartbeat_interval_ms * 5 / 2 + 4000).max(full_round_ms)
    }

    /// Age of the last read of the state service beyond which an owner stops answering workers.
    /// A job may have been cancelled through another controller right after that read, so the
    /// workers' leases must expire before `cancel_s` has passed. The margin covers 0.05% of clock
    /// drift on either side, responses in transit, and late timers.
    pub fn stale_read_limit_ms(&self) -> u64 {
        let clock_drift_ms = self.cancel_ms / 1000;
        self.cancel_ms.saturating_sub(self.lease_ms).saturating_sub(2000 + clock_drift_ms)
    }
}
