//! What a controller is told at its start, from the platform's settings and the operator's.

use cleatfold_admission::AdmissionRules;
use cleatfold_wire::{ClassId, ControllerId, TeamId, ZoneId};

/// A team that submits jobs, with its guarantee and its limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// The team's name.
    pub name: TeamId,
    /// Guaranteed; 0: none.
    pub cpus: f64,
    /// Guaranteed GPUs; 0: none.
    pub gpus: f64,
    /// Never more than this; 0: no limit.
    pub cpus_max: f64,
    /// Never more GPUs than this; 0: no limit.
    pub gpus_max: f64,
}

impl Team {
    /// Whether it may use only so much of anything.
    pub fn is_limited(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

/// What the operators expect of a class of jobs, as far as it bears on decisions.
#[derive(Clone, Debug)]
pub struct ServiceLevelObjective {
    /// The class of jobs.
    pub class: ClassId,
    /// What is expected of it.
    pub kind: ObjectiveKind,
}

/// By when a job should have started or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObjectiveKind {
    /// Done within so many seconds.
    Finished(f64),
    /// Done within so many times its own deadline.
    Deadline(f64),
    /// Started within so many seconds.
    Wait(f64),
}

/// The settings of one controller. Times are in milliseconds where the name ends in `_ms`.
#[derive(Clone, Debug)]
pub struct Config {
    /// This controller, and the zone that it is in.
    pub me: ControllerId,
    /// The zone that this controller is in.
    pub zone: ZoneId,
    /// The other controllers.
    pub peers: Vec<(ControllerId, ZoneId)>,
    /// All teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Time between two reports of a worker.
    pub heartbeat_interval_ms: u64,
    /// The lease of a worker: without an answer for so long a worker stops its tasks.
    pub lease_ms: u64,
    /// All tasks of a cancelled job are gone within this time.
    pub cancel_ms: u64,
    /// Operations of one transaction at most.
    pub max_txn_changes: usize,
    /// Changes a second that the state service takes from all controllers together.
    pub changes_per_s: f64,
    /// Bytes of one record at most.
    pub max_value_bytes: usize,
    /// Calls a second that the cloud takes from all controllers together.
    pub cloud_calls_per_s: f64,
    /// How far the cloud's list of machines lags behind.
    pub list_lag_ms: u64,
    /// Pools that a job is sent to.
    pub pools_per_job: usize,
    /// Time between readings of the state service when nothing presses.
    pub read_interval_ms: u64,
    /// How long a controller's own lease lasts without renewal.
    pub controller_lease_ms: u64,
    /// What the operators expect of each class of jobs.
    pub objectives: Vec<ServiceLevelObjective>,
    /// Without an aim for its class, a job should start within this time.
    pub usual_wait_s: f64,
    /// A machine with nothing to do for this long is returned.
    pub idle_return_s: f64,
    /// Ordinary work is stopped for work that the protocol puts before it, where that meets an
    /// aim. Members of elastic jobs give way in any case.
    pub preempt: bool,
    /// Work within its team's guarantee should start within this time.
    pub guarantee_wait_s: Option<f64>,
    /// What is done about overload that lasts; none: arrival and urgency alone decide.
    pub admission: Option<AdmissionRules>,
    /// How much of each team's history is kept.
    pub history: cleatfold_workspace::Keep,
    /// Images that many want at once are fetched in stages; none: each machine for itself.
    pub image_distribution: Option<cleatfold_image_distribution::Settings>,
}

impl Config {
    /// Losses that a job's answer names; the team's log has more.
    pub const MAX_REPORTED_LOSSES: usize = 16;

    /// The team of this name, if there is one.
    pub fn team(&self, name: &TeamId) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == *name)
    }

    /// A machine silent for so long is given up and deleted, which proves it gone. Two reports
    /// must have failed, and a worker that lost its controller have had the time to try every other
    /// one: an answer that does not come costs it 4 s, the pause before the next controller 1 s. (After
    /// six seconds an owner once deleted a pool whose workers were still looking for it.)
    pub fn given_up_ms(&self) -> u64 {
        let round = 5000 * (self.peers.len() as u64 + 1);
        (self.heartbeat_interval_ms * 5 / 2 + 4000).max(round)
    }

    /// After so long without the state service an owner stops answering workers. A job may
    /// have been cancelled elsewhere right after our last reading; the workers' lease must
    /// have run out before `cancel_s` has. The margin covers 0.05% of clock drift on either
    /// side, the answer that was on its way, and late timers.
    pub fn stale_read_limit_ms(&self) -> u64 {
        let drift = self.cancel_ms / 1000;
        self.cancel_ms.saturating_sub(self.lease_ms).saturating_sub(2000 + drift)
    }
}
