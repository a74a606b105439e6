//! Keys and values of the records in the state service. Serialized field names are short because
//! the service limits the size of a value.
//!
//! A job of up to `TASKS_PER_PART` tasks is stored in one record, `cf/j/<job>`. A larger one keeps
//! its tasks in parts, `cf/p/<job>/<part>`, which are created with their first claim; its head
//! record lists the parts that are complete. Ended jobs move to `ar/<job>`, outside of what
//! controllers load at start and follow.

pub use super::loss_records::*;

use cleatfold_backfill::Resources;
pub use cleatfold_image_distribution::{ImageHoldersRecord, OriginRecord};
pub use cleatfold_priority::{PreemptionPlan, PreemptionRecord};
use cleatfold_roles::Role;
use cleatfold_wire::job::{JobSpec, JobState, JobStatus};
use cleatfold_wire::{
    Attempt, ControllerId, FencingToken, ImageId, JobId, MachineId, PoolId, TaskIx, TeamId, ZoneId,
};
pub use cleatfold_workspace::{Entry, Group as HistoryGroup, HistoryHead, Summary};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of tasks in one record. A record full of claims stays under 8 KiB.
pub const TASKS_PER_PART: u32 = 256;

/// Prefix of the keys that controllers load at start and follow.
pub const LIVE_PREFIX: &str = "cf/";
/// Prefix of ended jobs, outside of what controllers load at start.
pub const ARCHIVE_PREFIX: &str = "ar/";
const JOB_PREFIX: &str = "cf/j/";
const PART_PREFIX: &str = "cf/p/";
const PROGRESS_PREFIX: &str = "cf/e/";
const POOL_PREFIX: &str = "cf/pool/";
const CONTROLLER_PREFIX: &str = "cf/node/";
const SLICE_PREFIX: &str = "cf/slice/";
const LOSS_HEAD_PREFIX: &str = "cf/loss/";
const WORKSPACE_PREFIX: &str = "cf/ws/";
const HISTORY_HEAD_PREFIX: &str = "cf/hist/";
const PREEMPTION_PREFIX: &str = "cf/made/";
const IMAGE_HOLDERS_PREFIX: &str = "cf/w/";
/// Prefix of the groups of teams' histories, outside of what controllers load at start.
pub const HISTORY_LOG_PREFIX: &str = "hist/";
/// Key of the format version of the records.
pub const FORMAT_KEY: &str = "cf/format";
/// Key of the requests that were sent to the cloud or are about to be.
pub const SCALE_OUT_KEY: &str = "cf/rents";
/// Key of the team shares under overload.
pub const OVERLOAD_QUOTA_KEY: &str = "cf/allotment";
/// Key of the slots for fetches from the image origin.
pub const ORIGIN_KEY: &str = "cf/origin";

/// Key of a job that has not ended.
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Key of an ended job.
pub fn archive_key(job: &JobId) -> String {
    format!("{ARCHIVE_PREFIX}{job}")
}

/// Key of a part of a large job's tasks.
pub fn part_key(job: &JobId, part: u32) -> String {
    format!("{PART_PREFIX}{job}/{part:05}")
}

/// Key of a part of an elastic job's progress. It is separate from the job's record so that
/// transactions that finish steps and transactions that claim members do not conflict.
pub fn progress_key(job: &JobId, part: u32) -> String {
    format!("{PROGRESS_PREFIX}{job}/{part:05}")
}

/// Key of the owner of a pool. Its version is the fencing token.
pub fn pool_key(pool: &PoolId) -> String {
    format!("{POOL_PREFIX}{pool}")
}

/// Key of a registered controller, attached to its lease.
pub fn controller_key(controller: &ControllerId) -> String {
    format!("{CONTROLLER_PREFIX}{controller}")
}

/// Key of the length of a team's loss log.
pub fn loss_head_key(team: &TeamId) -> String {
    format!("{LOSS_HEAD_PREFIX}{team}")
}

/// Key of the owner of a team's workspace. Its version is the fencing token of the owner's writes.
pub fn workspace_key(team: &TeamId) -> String {
    format!("{WORKSPACE_PREFIX}{team}")
}

/// Key of the head of a team's history, which records how far it is written.
pub fn history_head_key(team: &TeamId) -> String {
    format!("{HISTORY_HEAD_PREFIX}{team}")
}

/// Prefix of the keys of a team's history.
pub fn history_prefix(team: &TeamId) -> String {
    format!("{HISTORY_LOG_PREFIX}{team}/")
}

/// Key of a group of a team's history, numbered by its first entry.
pub fn history_group_key(team: &TeamId, number: u64) -> String {
    format!("{HISTORY_LOG_PREFIX}{team}/{number:012}")
}

/// Key of the preemptions in progress in a pool.
pub fn preemption_key(pool: &PoolId) -> String {
    format!("{PREEMPTION_PREFIX}{pool}")
}

/// Key of the holders of an image that is being distributed.
pub fn image_holders_key(image: &ImageId) -> String {
    format!("{IMAGE_HOLDERS_PREFIX}{image}")
}

/// Key of the division of a team's limit into slices.
pub fn slice_key(team: &TeamId) -> String {
    format!("{SLICE_PREFIX}{team}")
}

/// A parsed key of the live prefix.
#[derive(Debug, PartialEq)]
pub enum Key {
    /// A job's record.
    Job(JobId),
    /// A part of a job's tasks.
    Part(JobId, u32),
    /// A part of an elastic job's progress.
    Progress(JobId, u32),
    /// The owner of a pool.
    Pool(PoolId),
    /// A registered controller.
    Controller(ControllerId),
    /// The slices of a team's limit.
    Slice(TeamId),
    /// The head of a team's loss log.
    LossHead(TeamId),
    /// The owner of a team's workspace.
    Workspace(TeamId),
    /// The head of a team's history.
    History(TeamId),
    /// Preemptions in progress in a pool.
    Preemption(PoolId),
    /// The holders of an image that is being distributed.
    ImageHolders(ImageId),
    /// The holder of a role.
    Role(Role),
    /// Requests that were sent to the cloud or are about to be.
    ScaleOutIntents,
    /// The team shares under overload.
    OverloadQuota,
    /// Slots for fetches from the image origin.
    Origin,
}

/// Parses a key of the live prefix; none if it is unknown.
pub fn parse_key(key: &str) -> Option<Key> {
    if let Some(id) = key.strip_prefix(JOB_PREFIX) {
        Some(Key::Job(JobId::new(id)))
    } else if let Some(rest) = key.strip_prefix(PART_PREFIX) {
        let (id, part) = rest.rsplit_once('/')?;
        Some(Key::Part(JobId::new(id), part.parse().ok()?))
    } else if let Some(rest) = key.strip_prefix(PROGRESS_PREFIX) {
        let (id, part) = rest.rsplit_once('/')?;
        Some(Key::Progress(JobId::new(id), part.parse().ok()?))
    } else if let Some(id) = key.strip_prefix(POOL_PREFIX) {
        Some(Key::Pool(PoolId::parse(id)?))
    } else if let Some(id) = key.strip_prefix(CONTROLLER_PREFIX) {
        Some(Key::Controller(ControllerId::new(id)))
    } else if let Some(id) = key.strip_prefix(SLICE_PREFIX) {
        Some(Key::Slice(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(LOSS_HEAD_PREFIX) {
        Some(Key::LossHead(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(WORKSPACE_PREFIX) {
        Some(Key::Workspace(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(HISTORY_HEAD_PREFIX) {
        Some(Key::History(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(PREEMPTION_PREFIX) {
        Some(Key::Preemption(PoolId::parse(id)?))
    } else if let Some(id) = key.strip_prefix(IMAGE_HOLDERS_PREFIX) {
        Some(Key::ImageHolders(ImageId::new(id)))
    } else if let Some(role) = Role::from_key(key) {
        Some(Key::Role(role))
    } else if key == SCALE_OUT_KEY {
        Some(Key::ScaleOutIntents)
    } else if key == OVERLOAD_QUOTA_KEY {
        Some(Key::OverloadQuota)
    } else if key == ORIGIN_KEY {
        Some(Key::Origin)
    } else {
        None
    }
}

/// The owner of a pool or the holder of a role. The incarnation distinguishes a restarted owner
/// from the one that was assigned the pool: a restarted owner gets a new fencing token, so messages
/// of its former incarnation are not valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The controller that owns the pool or holds the role.
    #[serde(rename = "o")]
    pub owner: ControllerId,
    /// The incarnation of that controller.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// The record of a registered controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The incarnation of the controller.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// The division of a team's limit into a slice for each pool; the remainder is free.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Slice of each pool in thousandths of CPUs and of GPUs.
    #[serde(rename = "p")]
    pub pools: BTreeMap<PoolId, (i64, i64)>,
}

/// The record of an ended job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArchiveRecord {
    /// `done` or `aborted`.
    #[serde(rename = "e")]
    pub state: JobState,
    /// Number of tasks, or of steps of an elastic job, that are done.
    #[serde(rename = "n")]
    pub done: u32,
    /// The job's team.
    #[serde(rename = "q")]
    pub team: TeamId,
    /// Starts that were lost.
    #[serde(rename = "l", default, skip_serializing_if = "LossList::is_empty")]
    pub losses: LossList,
    /// Summary for the team's history; records of earlier versions have none.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
}

impl ArchiveRecord {
    /// The job's entry in its team's history.
    pub fn history_entry(&self, job: &JobId) -> Entry {
        let lost = self.losses.entries(job);
        let (done, total) = (self.done, self.losses.total);
        Entry::new(job.clone(), self.state, done, self.summary.clone(), total, lost)
    }
}

/// The claims on one machine under one fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// The machine that the tasks run on.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// The fencing token under which the claims were made.
    #[serde(rename = "k")]
    pub token: FencingToken,
    /// The machine's pool.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// Tasks with their attempts.
    #[serde(rename = "t")]
    pub tasks: Vec<(TaskIx, Attempt)>,
}

/// The tasks of a job, or of a part of one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskTable {
    /// Tasks that are done, as ranges [from, to).
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Claims, grouped by machine and fencing token.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimGroup>,
    /// The highest attempt of tasks that are neither claimed nor done.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<(TaskIx, Attempt)>,
    /// Starts that were lost.
    #[serde(rename = "l", default, skip_serializing_if = "LossList::is_empty")]
    pub losses: LossList,
    /// Wall-clock time of the first claim, in milliseconds.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    /// Total run time of all ended starts, in milliseconds.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub ran_ms: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl TaskTable {
    /// Whether the task is done.
    pub fn is_done(&self, ix: TaskIx) -> bool {
        let i = self.done.partition_point(|r| r.1 <= ix.0);
        self.done.get(i).is_some_and(|r| r.0 <= ix.0)
    }

    /// Number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|r| r.1 - r.0).sum()
    }

    fn mark_done(&mut self, ix: TaskIx) {
        let n = ix.0;
        let i = self.done.partition_point(|r| r.1 < n);
        match self.done.get_mut(i) {
            Some(r) if r.0 <= n && n < r.1 => return,
            Some(r) if r.1 == n => r.1 = n + 1,
            Some(r) if r.0 == n + 1 => r.0 = n,
            _ => self.done.insert(i, (n, n + 1)),
        }
        if i + 1 < self.done.len() && self.done[i].1 == self.done[i + 1].0 {
            self.done[i].1 = self.done[i + 1].1;
            self.done.remove(i + 1);
        }
    }

    /// Ends the claim with exactly this machine, task and attempt. Returns whether it existed.
    pub fn end_claim(
        &mut self,
        machine: &MachineId,
        ix: TaskIx,
        attempt: Attempt,
        done: bool,
    ) -> bool {
        let mut found = false;
        for group in &mut self.claims {
            if group.machine == *machine {
                let before = group.tasks.len();
                group.tasks.retain(|t| *t != (ix, attempt));
                found |= group.tasks.len() < before;
            }
        }
        if found {
            self.claims.retain(|g| !g.tasks.is_empty());
            if done {
                self.mark_done(ix);
            } else {
                self.attempts.push((ix, attempt));
            }
        }
        found
    }

    /// Tasks of `from..to` that are neither claimed nor done.
    pub fn claimable_tasks(&self, from: u32, to: u32) -> Vec<TaskIx> {
        let mut claimed: Vec<u32> =
            self.claims.iter().flat_map(|g| g.tasks.iter().map(|t| t.0 .0)).collect();
        claimed.sort_unstable();
        (from..to)
            .map(TaskIx)
            .filter(|ix| claimed.binary_search(&ix.0).is_err() && !self.is_done(*ix))
            .collect()
    }

    /// Claims a task that is neither claimed nor done, with an attempt above all earlier ones.
    pub fn claim(
        &mut self,
        machine: &MachineId,
        token: FencingToken,
        pool: &PoolId,
        ix: TaskIx,
    ) -> Attempt {
        let last_attempt = self.attempts.iter().filter(|a| a.0 == ix).map(|a| a.1).max();
        self.attempts.retain(|a| a.0 != ix);
        let attempt = Attempt(last_attempt.unwrap_or_default().0 + 1);
        match self.claims.iter_mut().find(|g| g.machine == *machine && g.token == token) {
            Some(group) => group.tasks.push((ix, attempt)),
            None => self.claims.push(ClaimGroup {
                machine: machine.clone(),
                token,
                pool: pool.clone(),
                tasks: vec![(ix, attempt)],
            }),
        }
        attempt
    }
}

/// The record of a job that is not yet archived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as it was submitted.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// Wall-clock time of acceptance, in milliseconds. It only orders the queue.
    #[serde(rename = "at")]
    pub accepted_ms: u64,
    /// The revision at which it was accepted, once the record has been written again.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub accepted_revision: Option<u64>,
    /// Whether the job is cancelled.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub aborted: bool,
    /// Of a one-zone job: the zone of its first claim.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// Parts that are complete and whose records were removed.
    #[serde(rename = "pd", default, skip_serializing_if = "Vec::is_empty")]
    pub parts_done: Vec<u32>,
    /// The tasks of a job that is not kept in parts.
    #[serde(rename = "u", default)]
    pub table: TaskTable,
}

impl JobRecord {
    /// The record of a job that has just been accepted.
    pub fn new(spec: JobSpec, accepted_ms: u64) -> Self {
        Self {
            spec,
            accepted_ms,
            accepted_revision: None,
            aborted: false,
            zone: None,
            parts_done: Vec::new(),
            table: TaskTable::default(),
        }
    }

    /// Resources of one task.
    pub fn task_resources(&self) -> Resources {
        Resources::new(self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
    }

    /// Whether the job's tasks are kept in parts.
    pub fn in_parts(&self) -> bool {
        self.spec.tasks > TASKS_PER_PART
    }

    /// Number of parts of a job whose tasks are kept in parts.
    pub fn part_count(&self) -> u32 {
        self.spec.tasks.div_ceil(TASKS_PER_PART)
    }

    /// The tasks of a part, as a range [from, to).
    pub fn part_range(&self, part: u32) -> (u32, u32) {
        (part * TASKS_PER_PART, ((part + 1) * TASKS_PER_PART).min(self.spec.tasks))
    }
}

/// A job's status as returned to users, without details.
pub fn job_status(id: &JobId, state: JobState, done: u32, running: u32) -> JobStatus {
    JobStatus { id: id.clone(), state, done, running, why: None, steps: None, losses: None }
}
