//! What the state service holds. Short field names: values are small there.
//!
//! A job of up to `PART` tasks lives in one record, `cf/j/<job>`. A larger one keeps its
//! tasks in parts, `cf/p/<job>/<part>`, which come into being with their first claim; its
//! head names the parts that are complete. Ended jobs move to `ar/<job>`, outside of what
//! controllers read at start and follow.

pub use super::loss_records::*;

use cleatfold_backfill::Resources;
pub use cleatfold_image_distribution::{OriginRecord, SpreadRecord};
pub use cleatfold_priority::{PreemptionPlan, PreemptionRecord};
use cleatfold_roles::Role;
use cleatfold_wire::job::{JobSpec, JobState, JobStatus};
use cleatfold_wire::{
    Attempt, ControllerId, FencingToken, ImageId, JobId, MachineId, PoolId, TaskIx, TeamId, ZoneId,
};
pub use cleatfold_workspace::{Entry, Group as HistoryGroup, HistoryHead, Summary};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Tasks of one record. A record full of claims stays under 8 KiB.
pub const PART: u32 = 256;

/// The prefix of all that controllers read at their start and follow.
pub const LIVE: &str = "cf/";
/// Ended jobs, outside of what controllers read at their start.
pub const ARCHIVE: &str = "ar/";
const JOBS: &str = "cf/j/";
const PARTS: &str = "cf/p/";
const PROGRESS: &str = "cf/e/";
const POOLS: &str = "cf/pool/";
const CONTROLLERS: &str = "cf/node/";
const SLICES: &str = "cf/slice/";
const LOSS_HEADS: &str = "cf/loss/";
const WORKSPACES: &str = "cf/ws/";
const HISTORIES: &str = "cf/hist/";
const PREEMPTIONS: &str = "cf/made/";
const IMAGE_HOLDERS: &str = "cf/w/";
/// Groups of teams' histories, outside of what controllers read at their start.
pub const HISTORY_LOG: &str = "hist/";
/// Which version of the records these are.
pub const FORMAT_KEY: &str = "cf/format";
/// What was asked of the cloud, or is about to be.
pub const SCALE_OUT_KEY: &str = "cf/rents";
/// The shares under overload.
pub const OVERLOAD_QUOTA_KEY: &str = "cf/allotment";
/// Who fetches from the origin of images.
pub const ORIGIN_KEY: &str = "cf/origin";

/// The record of a job that has not ended.
pub fn job_key(job: &JobId) -> String {
    format!("{JOBS}{job}")
}
/// The record of an ended job.
pub fn archive_key(job: &JobId) -> String {
    format!("{ARCHIVE}{job}")
}
/// A part of a large job's tasks.
pub fn part_key(job: &JobId, part: u32) -> String {
    format!("{PARTS}{job}/{part:05}")
}
/// Progress of an elastic job. Apart from its record, so that neither what finishes steps nor
/// what claims members makes the other write in vain.
pub fn progress_key(job: &JobId, part: u32) -> String {
    format!("{PROGRESS}{job}/{part:05}")
}
/// Who owns a pool. Its version is the fencing token.
pub fn pool_key(pool: &PoolId) -> String {
    format!("{POOLS}{pool}")
}
/// A live controller, under its lease.
pub fn controller_key(controller: &ControllerId) -> String {
    format!("{CONTROLLERS}{controller}")
}
/// How long a team's log of losses is.
pub fn loss_head_key(team: &TeamId) -> String {
    format!("{LOSS_HEADS}{team}")
}
/// Who owns a team's workspace. Its version is the token of all the owner writes.
pub fn workspace_key(team: &TeamId) -> String {
    format!("{WORKSPACES}{team}")
}
/// How far a team's history is written.
pub fn history_head_key(team: &TeamId) -> String {
    format!("{HISTORIES}{team}")
}
/// The beginning of the keys of a team's history.
pub fn history_prefix(team: &TeamId) -> String {
    format!("{HISTORY_LOG}{team}/")
}
/// A group is named by the number of its first entry.
pub fn history_group_key(team: &TeamId, number: u64) -> String {
    format!("{HISTORY_LOG}{team}/{number:012}")
}
/// Room that is being made in a pool.
pub fn preemption_key(pool: &PoolId) -> String {
    format!("{PREEMPTIONS}{pool}")
}
/// An image that is being spread.
pub fn image_holders_key(image: &ImageId) -> String {
    format!("{IMAGE_HOLDERS}{image}")
}
/// How a team's limit is cut into slices.
pub fn slice_key(team: &TeamId) -> String {
    format!("{SLICES}{team}")
}

/// What a key of the live prefix is about.
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
    /// A live controller.
    Controller(ControllerId),
    /// The slices of a team's limit.
    Slice(TeamId),
    /// The head of a team's log of losses.
    LossHead(TeamId),
    /// The owner of a team's workspace.
    Workspace(TeamId),
    /// The head of a team's history.
    History(TeamId),
    /// Preemptions under way in a pool.
    Preemption(PoolId),
    /// Who holds an image that many want.
    ImageHolders(ImageId),
    /// The holder of a role.
    Role(Role),
    /// What was asked of the cloud.
    ScaleOutIntents,
    /// The shares under overload.
    OverloadQuota,
    /// Who fetches from the origin of images.
    Origin,
}

/// What a key of the live prefix is about; none if it is unknown.
pub fn parse_key(key: &str) -> Option<Key> {
    if let Some(id) = key.strip_prefix(JOBS) {
        Some(Key::Job(JobId::new(id)))
    } else if let Some(rest) = key.strip_prefix(PARTS) {
        let (id, part) = rest.rsplit_once('/')?;
        Some(Key::Part(JobId::new(id), part.parse().ok()?))
    } else if let Some(rest) = key.strip_prefix(PROGRESS) {
        let (id, part) = rest.rsplit_once('/')?;
        Some(Key::Progress(JobId::new(id), part.parse().ok()?))
    } else if let Some(id) = key.strip_prefix(POOLS) {
        Some(Key::Pool(PoolId::parse(id)?))
    } else if let Some(id) = key.strip_prefix(CONTROLLERS) {
        Some(Key::Controller(ControllerId::new(id)))
    } else if let Some(id) = key.strip_prefix(SLICES) {
        Some(Key::Slice(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(LOSS_HEADS) {
        Some(Key::LossHead(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(WORKSPACES) {
        Some(Key::Workspace(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(HISTORIES) {
        Some(Key::History(TeamId::new(id)))
    } else if let Some(id) = key.strip_prefix(PREEMPTIONS) {
        Some(Key::Preemption(PoolId::parse(id)?))
    } else if let Some(id) = key.strip_prefix(IMAGE_HOLDERS) {
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

/// Who owns a pool, or holds a role. The incarnation tells a restarted owner from the one that was assigned the
/// pool: a restart gets a new token, so nothing of the former life can speak for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The controller that owns or holds it.
    #[serde(rename = "o")]
    pub owner: ControllerId,
    /// The life of that controller.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// A live controller's own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The life of that controller.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// A team's limit, cut into the part of each pool and what is still free.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Thousandths of CPUs and GPUs per pool.
    #[serde(rename = "p")]
    pub pools: BTreeMap<PoolId, (i64, i64)>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArchiveRecord {
    /// `done` or `aborted`.
    #[serde(rename = "e")]
    pub state: JobState,
    /// How many of its tasks, or steps, are done.
    #[serde(rename = "n")]
    pub done: u32,
    /// Its team.
    #[serde(rename = "q")]
    pub team: TeamId,
    /// Starts that were lost.
    #[serde(rename = "l", default, skip_serializing_if = "LossList::is_empty")]
    pub losses: LossList,
    /// For its team's history; records of earlier versions have none.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
}

impl ArchiveRecord {
    /// As its team's history has it.
    pub fn entry(&self, job: &JobId) -> Entry {
        let lost = self.losses.entries(job);
        let (done, total) = (self.done, self.losses.total);
        Entry::new(job.clone(), self.state, done, self.summary.clone(), total, lost)
    }
}

/// The claims on one machine under one token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// The machine that they run on.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// The fencing token under which they were made.
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
pub struct Table {
    /// Tasks that are done, as ranges [from, to).
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Claims, by machine and token.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimGroup>,
    /// The highest attempt of tasks that are neither claimed nor done.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<(TaskIx, Attempt)>,
    /// Starts that were lost.
    #[serde(rename = "l", default, skip_serializing_if = "LossList::is_empty")]
    pub losses: LossList,
    /// Time of day of its first claim, in milliseconds.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub begun_ms: Option<u64>,
    /// Run time of all its starts that have ended, in milliseconds.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub ran_ms: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl Table {
    /// Whether the task is done.
    pub fn is_done(&self, ix: TaskIx) -> bool {
        let i = self.done.partition_point(|r| r.1 <= ix.0);
        self.done.get(i).is_some_and(|r| r.0 <= ix.0)
    }

    /// How many tasks are done.
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

    /// Ends a claim, if it stands exactly so. Returns whether it did.
    pub fn end(&mut self, machine: &MachineId, ix: TaskIx, attempt: Attempt, done: bool) -> bool {
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

    /// Tasks of `from..to` that may be claimed.
    pub fn free(&self, from: u32, to: u32) -> Vec<TaskIx> {
        let mut taken: Vec<u32> =
            self.claims.iter().flat_map(|g| g.tasks.iter().map(|t| t.0 .0)).collect();
        taken.sort_unstable();
        (from..to)
            .map(TaskIx)
            .filter(|ix| taken.binary_search(&ix.0).is_err() && !self.is_done(*ix))
            .collect()
    }

    /// Claims a free task with an attempt above all earlier ones.
    pub fn claim(
        &mut self,
        machine: &MachineId,
        token: FencingToken,
        pool: &PoolId,
        ix: TaskIx,
    ) -> Attempt {
        let last = self.attempts.iter().filter(|a| a.0 == ix).map(|a| a.1).max();
        self.attempts.retain(|a| a.0 != ix);
        let attempt = Attempt(last.unwrap_or_default().0 + 1);
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
    /// Time of day of acceptance, in milliseconds. Only orders the queue.
    #[serde(rename = "at")]
    pub accepted_ms: u64,
    /// The revision at which it was accepted, once the record has been written again.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<u64>,
    /// It is cancelled.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub aborted: bool,
    /// Of a one-zone job: where its first claim bound it.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// Parts that are complete and have no record any more.
    #[serde(rename = "pd", default, skip_serializing_if = "Vec::is_empty")]
    pub parts_done: Vec<u32>,
    /// The tasks, where the job has just one part.
    #[serde(rename = "u", default)]
    pub table: Table,
}

impl JobRecord {
    /// The record of a job that has just been accepted.
    pub fn new(spec: JobSpec, accepted_ms: u64) -> Self {
        Self {
            spec,
            accepted_ms,
            place: None,
            aborted: false,
            zone: None,
            parts_done: Vec::new(),
            table: Table::default(),
        }
    }
    /// What one task takes.
    pub fn each(&self) -> Resources {
        Resources::new(self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
    }
    /// Whether its tasks are kept in parts.
    pub fn in_parts(&self) -> bool {
        self.spec.tasks > PART
    }
    /// How many parts it has, if it is kept in parts.
    pub fn part_count(&self) -> u32 {
        self.spec.tasks.div_ceil(PART)
    }
    /// The tasks of a part, as a range [from, to).
    pub fn part_range(&self, part: u32) -> (u32, u32) {
        (part * PART, ((part + 1) * PART).min(self.spec.tasks))
    }
}

/// A job's status as users are told it, without details.
pub fn status(id: &JobId, state: JobState, done: u32, running: u32) -> JobStatus {
    JobStatus { id: id.clone(), state, done, running, why: None, steps: None, losses: None }
}
