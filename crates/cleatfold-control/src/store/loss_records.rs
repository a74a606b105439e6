//! Records of losses: task starts that ended without the task being done.

use crate::config::Config;
use cleatfold_fault_attribution::Failure;
use cleatfold_wire::losses::{JobLosses, Loss, LossCause};
use cleatfold_wire::{Attempt, JobId, MachineId, TaskId, TaskIx, TeamId};
use serde::{Deserialize, Serialize};

/// Prefix of the teams' loss logs, outside of what controllers load at start and follow.
pub const LOSS_LOG_PREFIX: &str = "lo/";

/// Prefix of the keys of a team's loss log.
pub fn loss_log_prefix(team: &TeamId) -> String {
    format!("{LOSS_LOG_PREFIX}{team}/")
}

/// Key of a group in a team's loss log.
pub fn loss_log_key(team: &TeamId, number: u64) -> String {
    format!("{LOSS_LOG_PREFIX}{team}/{number:010}")
}

/// Length of a team's loss log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LossHead {
    /// The number of the next group.
    #[serde(rename = "n")]
    pub next: u64,
}

/// Starts that were lost on one machine within a second and for the same cause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LossGroup {
    #[serde(rename = "m")]
    machine: MachineId,
    #[serde(rename = "w")]
    cause: LossCause,
    #[serde(rename = "at")]
    at_ms: u64,
    #[serde(rename = "t")]
    tasks: Vec<(TaskIx, Attempt)>,
}

/// The lost starts of a table's tasks: the total number, and details of the latest ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LossList {
    /// Number of lost starts, including those without kept details.
    #[serde(rename = "n", default)]
    pub total: u32,
    #[serde(rename = "g", default)]
    groups: Vec<LossGroup>,
}

impl LossList {
    /// Maximum number of starts with kept details. A record that is full of claims still has room
    /// for them.
    pub const MAX_KEPT: usize = 96;

    /// Whether nothing was lost.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Adds a lost start.
    pub fn record(
        &mut self,
        machine: &MachineId,
        cause: LossCause,
        at_ms: u64,
        task: (TaskIx, Attempt),
    ) {
        self.total += 1;
        match self.groups.last_mut() {
            Some(group)
                if group.machine == *machine
                    && group.cause == cause
                    && at_ms < group.at_ms + 1000 =>
            {
                group.tasks.push(task)
            }
            _ => self.groups.push(LossGroup {
                machine: machine.clone(),
                cause,
                at_ms,
                tasks: vec![task],
            }),
        }
        self.trim();
    }

    /// Adds the losses of another table of the same job.
    pub fn merge(&mut self, other: LossList) {
        self.total += other.total;
        self.groups.extend(other.groups);
        self.groups.sort_by_key(|group| group.at_ms);
        self.trim();
    }

    /// Drops the oldest details beyond the maximum.
    fn trim(&mut self) {
        let mut kept: usize = self.groups.iter().map(|group| group.tasks.len()).sum();
        while kept > Self::MAX_KEPT {
            let Some(oldest) = self.groups.first_mut() else { return };
            oldest.tasks.remove(0);
            kept -= 1;
            if oldest.tasks.is_empty() {
                self.groups.remove(0);
            }
        }
    }

    /// The losses with kept details, oldest first.
    pub fn entries<'a>(&'a self, job: &'a JobId) -> impl Iterator<Item = Loss> + 'a {
        self.groups.iter().flat_map(move |group| {
            group.tasks.iter().map(move |(ix, attempt)| Loss {
                task: TaskId { job: job.clone(), ix: *ix },
                attempt: *attempt,
                machine: group.machine.clone(),
                cause: group.cause,
                at_ms: group.at_ms,
            })
        })
    }

    /// The kept losses whose task failed. Callers must not depend on their order.
    pub fn failures(&self) -> impl Iterator<Item = Failure> + '_ {
        let failed = self.groups.iter().filter(|group| group.cause == LossCause::Failed);
        failed.flat_map(|group| {
            group.tasks.iter().map(|(task, attempt)| Failure {
                machine: group.machine.clone(),
                task: *task,
                attempt: *attempt,
                at_ms: group.at_ms,
            })
        })
    }

    /// The losses for a job's status; none if there are none.
    pub fn to_job_losses(&self, job: &JobId, rescheduled: bool) -> Option<JobLosses> {
        (!self.is_empty()).then(|| {
            let mut recent: Vec<Loss> = self.entries(job).collect();
            recent.drain(..recent.len().saturating_sub(Config::MAX_REPORTED_LOSSES));
            JobLosses { total: self.total, rescheduled, recent }
        })
    }
}
