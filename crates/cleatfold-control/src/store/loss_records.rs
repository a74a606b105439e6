//! Losses as the records hold them.

use crate::config::Config;
use cleatfold_fault_attribution::Failure;
use cleatfold_wire::losses::{JobLosses, Loss, LossCause};
use cleatfold_wire::{Attempt, JobId, MachineId, TaskId, TaskIx, TeamId};
use serde::{Deserialize, Serialize};

/// The teams' logs; outside of what controllers read at start and follow.
pub const LOSS_LOG: &str = "lo/";

/// The beginning of the keys of a team's log of losses.
pub fn loss_log_prefix(team: &TeamId) -> String {
    format!("{LOSS_LOG}{team}/")
}
/// A group of a team's log of losses.
pub fn loss_log_key(team: &TeamId, number: u64) -> String {
    format!("{LOSS_LOG}{team}/{number:010}")
}

/// How long a team's log is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LossHead {
    /// The number of the next group.
    #[serde(rename = "n")]
    pub next: u64,
}

/// What was lost with one machine at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Group {
    #[serde(rename = "m")]
    machine: MachineId,
    #[serde(rename = "w")]
    cause: LossCause,
    #[serde(rename = "at")]
    at_ms: u64,
    #[serde(rename = "t")]
    tasks: Vec<(TaskIx, Attempt)>,
}

/// The lost starts of a table's tasks: all counted, the latest kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LossList {
    /// All lost starts, also those that are not kept by name.
    #[serde(rename = "n", default)]
    pub total: u32,
    #[serde(rename = "g", default)]
    groups: Vec<Group>,
}

impl LossList {
    /// Starts that are kept by name; a record that is full of claims still has room for them.
    pub const MAX_KEPT: usize = 96;

    /// Whether nothing was lost.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Adds a lost start.
    pub fn note(
        &mut self,
        machine: &MachineId,
        cause: LossCause,
        at_ms: u64,
        task: (TaskIx, Attempt),
    ) {
        self.total += 1;
        match self.groups.last_mut() {
            Some(g) if g.machine == *machine && g.cause == cause && at_ms < g.at_ms + 1000 => {
                g.tasks.push(task)
            }
            _ => self.groups.push(Group {
                machine: machine.clone(),
                cause,
                at_ms,
                tasks: vec![task],
            }),
        }
        self.trim();
    }

    /// Adds what another table of the same job lost.
    pub fn take(&mut self, other: LossList) {
        self.total += other.total;
        self.groups.extend(other.groups);
        self.groups.sort_by_key(|g| g.at_ms);
        self.trim();
    }

    fn trim(&mut self) {
        let mut kept: usize = self.groups.iter().map(|g| g.tasks.len()).sum();
        while kept > Self::MAX_KEPT {
            let Some(oldest) = self.groups.first_mut() else { return };
            oldest.tasks.remove(0);
            kept -= 1;
            if oldest.tasks.is_empty() {
                self.groups.remove(0);
            }
        }
    }

    /// The kept ones by name, oldest first.
    pub fn entries<'a>(&'a self, job: &'a JobId) -> impl Iterator<Item = Loss> + 'a {
        self.groups.iter().flat_map(move |g| {
            g.tasks.iter().map(move |(ix, attempt)| Loss {
                task: TaskId { job: job.clone(), ix: *ix },
                attempt: *attempt,
                machine: g.machine.clone(),
                cause: g.cause,
                at_ms: g.at_ms,
            })
        })
    }

    /// The kept starts whose task failed, in no order that matters.
    pub fn failures(&self) -> impl Iterator<Item = Failure> + '_ {
        let failed = self.groups.iter().filter(|g| g.cause == LossCause::Failed);
        failed.flat_map(|g| {
            g.tasks.iter().map(|(task, attempt)| Failure {
                machine: g.machine.clone(),
                task: *task,
                attempt: *attempt,
                at_ms: g.at_ms,
            })
        })
    }

    /// As part of a job's answer.
    pub fn answer(&self, job: &JobId, again: bool) -> Option<JobLosses> {
        (!self.is_empty()).then(|| {
            let mut recent: Vec<Loss> = self.entries(job).collect();
            recent.drain(..recent.len().saturating_sub(Config::MAX_REPORTED_LOSSES));
            JobLosses { total: self.total, again, recent }
        })
    }
}
