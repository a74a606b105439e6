//! This controller's copy of the live prefix of the state service.
//!
//! It is filled from three sources: the listing at the start, the changes read since, and this
//! controller's own transactions. The version of each key only increases, so a late or repeated
//! update cannot revert a key.

use crate::store::records::{
    parse_key, ControllerRecord, HistoryHead, HolderRecord, ImageHoldersRecord, JobRecord, Key,
    LossHead, OriginRecord, PreemptionRecord, SliceRecord, Summary, TaskTable,
};
use cleatfold_admission::OverloadQuota;
use cleatfold_backfill::Resources;
use cleatfold_elastic::{ElasticWidth, Progress, ProgressPart, ProgressPartRecord};
use cleatfold_roles::{Role, ScaleOutIntents};
use cleatfold_wire::store::{Event, Item};
use cleatfold_wire::{
    Attempt, ControllerId, FencingToken, ImageId, JobId, MachineId, PoolId, TaskId, TaskIx, TeamId,
    Version, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A record's value, and the revision of its last change.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Versioned<T> {
    pub(crate) version: Version,
    pub(crate) value: T,
}

impl<T> Versioned<T> {
    pub(crate) fn new(version: Version, value: T) -> Self {
        Self { version, value }
    }
}

/// Maximum number of removed keys whose last version is kept.
const MAX_REMOVED_KEYS: usize = 500;

/// Task tables of a job by part.
pub(crate) type PartMap = BTreeMap<u32, Versioned<TaskTable>>;
/// Progress of an elastic job by part.
pub(crate) type ProgressMap = BTreeMap<u32, Versioned<ProgressPart>>;

/// A job that has not ended, with totals over all its parts.
#[derive(Clone, Debug)]
pub(crate) struct CachedJob {
    pub record: JobRecord,
    pub version: Version,
    pub task_resources: Resources,
    pub done: u32,
    pub claimed: u32,
    /// Unfinished steps of an elastic job.
    pub steps_left: Option<u32>,
    /// Of an elastic job: the first member beyond the job's minimum width.
    pub first_surplus_member: TaskIx,
    /// Number of claims in each pool.
    pub claims_by_pool: Vec<(PoolId, u32)>,
}

impl CachedJob {
    /// The job's queue position among jobs of its kind: the revision at which it was accepted.
    pub(crate) fn accepted_revision(&self) -> u64 {
        cleatfold_priority::acceptance_revision(self.record.accepted_revision, self.version)
    }

    /// The zone in which a one-zone job has to stay while any of its tasks may run.
    pub(crate) fn bound_zone(&self) -> Option<&ZoneId> {
        self.record.zone.as_ref().filter(|_| self.claimed > 0)
    }

    /// The width at which an elastic job should run.
    pub(crate) fn width(&self) -> Option<ElasticWidth> {
        let elastic = self.record.spec.elastic.as_ref()?;
        Some(ElasticWidth {
            min_members: elastic.min_members,
            max_members: self.record.spec.tasks,
            remaining_steps: self.steps_left?,
            step_ms: ((elastic.step_s * 1000.0) as u64).max(1),
        })
    }

    /// Tasks that are not done; of an elastic job, the members that it can still use.
    pub(crate) fn unfinished(&self) -> u32 {
        match self.width() {
            Some(width) => width.max_useful_members(),
            None => self.record.spec.tasks.saturating_sub(self.done),
        }
    }

    /// Tasks that wait for placement in queue order. Members by which an elastic job may grow
    /// beyond that only fill gaps.
    pub(crate) fn unclaimed(&self) -> u32 {
        match self.width() {
            Some(width) => width.base_members().saturating_sub(self.claimed),
            None => self.record.spec.tasks.saturating_sub(self.done + self.claimed),
        }
    }

    /// Whether every step of an elastic job is finished, so that its members are no longer needed.
    pub(crate) fn is_complete(&self) -> bool {
        self.steps_left == Some(0)
    }
}

/// The owner of a pool and its fencing token.
#[derive(Clone, Debug)]
pub(crate) struct PoolOwnership {
    pub owner: ControllerId,
    pub incarnation: u64,
    pub token: FencingToken,
}

/// The claim of a task: its attempt and the fencing token under which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    pub attempt: Attempt,
    pub token: FencingToken,
}

/// The claims on one machine.
#[derive(Clone, Debug, Default)]
pub struct MachineClaims {
    tasks: BTreeMap<(JobId, TaskIx), Claim>,
    /// Number of the last change to these claims in the cache; it distinguishes two states of them.
    pub stamp: u64,
}

impl std::ops::Deref for MachineClaims {
    type Target = BTreeMap<(JobId, TaskIx), Claim>;
    fn deref(&self) -> &Self::Target {
        &self.tasks
    }
}

impl IntoIterator for MachineClaims {
    type Item = ((JobId, TaskIx), Claim);
    type IntoIter = std::collections::btree_map::IntoIter<(JobId, TaskIx), Claim>;
    fn into_iter(self) -> Self::IntoIter {
        self.tasks.into_iter()
    }
}

impl<'a> IntoIterator for &'a MachineClaims {
    type Item = (&'a (JobId, TaskIx), &'a Claim);
    type IntoIter = std::collections::btree_map::Iter<'a, (JobId, TaskIx), Claim>;
    fn into_iter(self) -> Self::IntoIter {
        self.tasks.iter()
    }
}

/// The cached records of the live prefix, with indexes over them.
#[derive(Debug, Default)]
pub(crate) struct StateCache {
    /// Every change up to this revision is included.
    pub applied_revision: Version,
    pub jobs: BTreeMap<JobId, CachedJob>,
    pub parts: BTreeMap<JobId, PartMap>,
    pub progress: BTreeMap<JobId, ProgressMap>,
    pub pools: BTreeMap<PoolId, PoolOwnership>,
    /// Registered controllers, each with its incarnation.
    pub controllers: BTreeMap<ControllerId, Versioned<ControllerRecord>>,
    /// The holder of each role, and its epoch.
    pub roles: BTreeMap<Role, Versioned<HolderRecord>>,
    /// Requests that were sent to the cloud or are about to be.
    pub scale_out_intents: Versioned<ScaleOutIntents>,
    pub slices: BTreeMap<TeamId, Versioned<SliceRecord>>,
    /// The team shares under overload.
    pub overload_quota: Versioned<OverloadQuota>,
    pub loss_heads: BTreeMap<TeamId, Versioned<LossHead>>,
    /// The owner of each team's workspace, and its token.
    pub workspaces: BTreeMap<TeamId, Versioned<HolderRecord>>,
    pub histories: BTreeMap<TeamId, Versioned<HistoryHead>>,
    /// Preemptions in progress, by pool.
    pub preemptions: BTreeMap<PoolId, Versioned<PreemptionRecord>>,
    /// Holders of the images that are being distributed.
    pub image_holders: BTreeMap<ImageId, Versioned<ImageHoldersRecord>>,
    /// Each team's jobs that have not ended, by queue position.
    pub by_team: BTreeMap<TeamId, BTreeSet<(u64, JobId)>>,
    /// Keys whose last value cannot be parsed: their previous values are not acted on, and they are
    /// not overwritten.
    pub unreadable: BTreeSet<String>,
    /// Slots for fetches from the image origin.
    pub origin: Versioned<OriginRecord>,
    /// Jobs that have not ended and have losses.
    pub jobs_with_losses: BTreeSet<JobId>,
    /// All claims, by machine.
    pub claims: BTreeMap<MachineId, MachineClaims>,
    /// The newest stamp of any machine's claims.
    last_stamp: u64,
    /// Number of elastic jobs that have not ended.
    elastic_jobs: usize,
    /// Versions at which keys were removed, against late updates of them.
    removed: BTreeMap<String, Version>,
    /// The same keys, newest last.
    removed_order: VecDeque<String>,
    /// Jobs whose record was removed since this list was last taken.
    pub removed_jobs: Vec<JobId>,
    /// Jobs that became cancelled since this list was last taken.
    pub newly_cancelled: Vec<JobId>,
}

impl StateCache {
    /// Clears the cache for a reload. Stamps continue to increase: a heartbeat that required no
    /// action under an old stamp must not be taken as requiring none because a new stamp has the
    /// same number.
    pub(crate) fn clear_for_reload(&mut self) {
        *self = StateCache { last_stamp: self.last_stamp, ..StateCache::default() };
    }

    /// Applies an item of a listing. A listing also contains items that have not changed since its
    /// first page, whose revision `applied_revision` is, so the item need not be newer than that.
    pub(crate) fn apply_item(&mut self, item: &Item) {
        self.put(&item.key, item.value.get(), item.version);
    }

    /// Applies a change that was read.
    pub(crate) fn apply_event(&mut self, event: &Event) {
        if event.version <= self.applied_revision {
            return;
        }
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            self.set(key, value.get(), event.version);
        } else if let Some(key) = &event.delete {
            self.remove(key, event.version);
        }
    }

    /// Whether a change is newer than the last read. The cache includes every change up to
    /// `applied_revision`, removals as well: the reply to a transaction of this controller that
    /// arrives after the read that included it would restore parts and claims that other
    /// controllers have ended since.
    pub(crate) fn is_newer(&self, version: Version) -> bool {
        version > self.applied_revision
    }

    /// The version at which a key was last changed or removed, as far as it is known.
    fn version_of(&self, key: &str, parsed: &Key) -> Version {
        let cached = match parsed {
            Key::Job(id) => self.jobs.get(id).map(|j| j.version),
            Key::Part(id, part) => self.parts.get(id).and_then(|p| p.get(part)).map(|p| p.version),
            Key::Progress(id, part) => {
                self.progress.get(id).and_then(|p| p.get(part)).map(|p| p.version)
            }
            Key::Pool(id) => self.pools.get(id).map(|p| Version(p.token.0)),
            Key::Controller(id) => self.controllers.get(id).map(|n| n.version),
            Key::Slice(team) => self.slices.get(team).map(|s| s.version),
            Key::LossHead(team) => self.loss_heads.get(team).map(|h| h.version),
            Key::Role(role) => self.roles.get(role).map(|h| h.version),
            Key::Workspace(team) => self.workspaces.get(team).map(|h| h.version),
            Key::History(team) => self.histories.get(team).map(|h| h.version),
            Key::Preemption(pool) => self.preemptions.get(pool).map(|h| h.version),
            Key::ImageHolders(image) => self.image_holders.get(image).map(|h| h.version),
            Key::ScaleOutIntents => {
                Some(self.scale_out_intents.version).filter(|v| *v > Version(0))
            }
            Key::OverloadQuota => Some(self.overload_quota.version).filter(|v| *v > Version(0)),
            Key::Origin => Some(self.origin.version).filter(|v| *v > Version(0)),
        };
        cached.or_else(|| self.removed.get(key).copied()).unwrap_or_default()
    }

    /// Whether a read has shown the key at a later version than `since`, or its removal. Versions
    /// known only from this controller's transactions do not count: only a read guarantees that
    /// every earlier change is known as well.
    pub(crate) fn changed_since(&self, key: &str, since: Version) -> bool {
        let Some(parsed) = parse_key(key) else { return false };
        let known = self.version_of(key, &parsed);
        known > since && known <= self.applied_revision
    }

    /// Applies a write of a key if it is newer than the last read.
    pub(crate) fn set(&mut self, key: &str, value: &str, version: Version) {
        if self.is_newer(version) {
            self.put(key, value, version);
        }
    }

    /// Applies a write of a key if it is newer than the key's known version.
    fn put(&mut self, key: &str, value: &str, version: Version) {
        let Some(parsed) = parse_key(key) else { return };
        if version <= self.version_of(key, &parsed) {
            return;
        }
        match self.install(parsed, value, version) {
            Err(error) => {
                if self.unreadable.insert(key.to_string()) {
                    tracing::error!(key, %error, "unreadable record");
                }
            }
            Ok(()) if self.unreadable.is_empty() => {}
            Ok(()) => drop(self.unreadable.remove(key)),
        }
    }

    fn install(&mut self, key: Key, value: &str, version: Version) -> serde_json::Result<()> {
        use serde_json::from_str;
        match key {
            Key::Job(id) => self.install_job(id, from_str(value)?, version),
            Key::Part(id, part) => self.install_part(id, part, from_str(value)?, version),
            Key::Progress(id, part) => {
                let record: ProgressPartRecord = from_str(value)?;
                match ProgressPart::from_record(&record) {
                    Ok(progress) => self.install_progress(id, part, progress, version),
                    Err(error) => tracing::error!(job = %id, part, %error, "unreadable progress"),
                }
            }
            Key::Pool(id) => {
                let HolderRecord { owner, incarnation } = from_str(value)?;
                let token = FencingToken(version.0);
                self.pools.insert(id, PoolOwnership { owner, incarnation, token });
            }
            Key::Controller(id) => {
                self.controllers.insert(id, Versioned::new(version, from_str(value)?));
            }
            Key::Role(role) => {
                self.roles.insert(role, Versioned::new(version, from_str(value)?));
            }
            Key::Slice(team) => {
                self.slices.insert(team, Versioned::new(version, from_str(value)?));
            }
            Key::LossHead(team) => {
                self.loss_heads.insert(team, Versioned::new(version, from_str(value)?));
            }
            Key::Workspace(team) => {
                self.workspaces.insert(team, Versioned::new(version, from_str(value)?));
            }
            Key::History(team) => {
                self.histories.insert(team, Versioned::new(version, from_str(value)?));
            }
            Key::Preemption(pool) => {
                self.preemptions.insert(pool, Versioned::new(version, from_str(value)?));
            }
            Key::ImageHolders(image) => {
                self.image_holders.insert(image, Versioned::new(version, from_str(value)?));
            }
            Key::ScaleOutIntents => {
                self.scale_out_intents = Versioned::new(version, from_str(value)?)
            }
            Key::OverloadQuota => self.overload_quota = Versioned::new(version, from_str(value)?),
            Key::Origin => self.origin = Versioned::new(version, from_str(value)?),
        }
        Ok(())
    }

    /// Applies the removal of a key if it is newer than the last read.
    pub(crate) fn remove(&mut self, key: &str, version: Version) {
        let Some(parsed) = parse_key(key) else { return };
        if !self.is_newer(version) || version <= self.version_of(key, &parsed) {
            return;
        }
        self.unreadable.remove(key);
        match parsed {
            Key::Job(id) => self.remove_job(id),
            Key::Part(id, part) => self.remove_part(&id, part),
            Key::Progress(id, part) => self.remove_progress(&id, part),
            Key::Pool(id) => drop(self.pools.remove(&id)),
            Key::Controller(id) => drop(self.controllers.remove(&id)),
            Key::Slice(team) => drop(self.slices.remove(&team)),
            Key::LossHead(team) => drop(self.loss_heads.remove(&team)),
            Key::Role(role) => drop(self.roles.remove(&role)),
            Key::Workspace(team) => drop(self.workspaces.remove(&team)),
            Key::History(team) => drop(self.histories.remove(&team)),
            Key::Preemption(pool) => drop(self.preemptions.remove(&pool)),
            Key::ImageHolders(image) => drop(self.image_holders.remove(&image)),
            Key::ScaleOutIntents => self.scale_out_intents = Default::default(),
            Key::OverloadQuota => self.overload_quota = Default::default(),
            Key::Origin => self.origin = Default::default(),
        }
        self.record_removal(key, version);
    }

    /// Keeps the version at which a key was removed, against late updates of it.
    fn record_removal(&mut self, key: &str, version: Version) {
        if self.removed.insert(key.to_string(), version).is_none() {
            self.removed_order.push_back(key.to_string());
        }
        while self.removed_order.len() > MAX_REMOVED_KEYS {
            if let Some(oldest) = self.removed_order.pop_front() {
                self.removed.remove(&oldest);
            }
        }
    }

    fn remove_job(&mut self, id: JobId) {
        // Claims that remain in the job's parts are no longer valid.
        self.renew_stamps(&id);
        if let Some(cached) = self.jobs.remove(&id) {
            self.remove_from_team(&id, &cached);
            self.elastic_jobs -= usize::from(cached.record.spec.elastic.is_some());
            self.unindex_claims(&id, &cached.record.table);
            self.jobs_with_losses.remove(&id);
            self.removed_jobs.push(id);
        }
    }

    fn remove_part(&mut self, id: &JobId, part: u32) {
        let known = self.parts.get_mut(id).and_then(|parts| parts.remove(&part));
        if let Some(known) = known {
            self.unindex_claims(id, &known.value);
        }
        if self.parts.get(id).is_some_and(|parts| parts.is_empty()) {
            self.parts.remove(id);
        }
        self.recount(id);
    }

    fn remove_progress(&mut self, id: &JobId, part: u32) {
        if let Some(parts) = self.progress.get_mut(id) {
            parts.remove(&part);
            if parts.is_empty() {
                self.progress.remove(id);
            }
        }
        self.recount(id);
    }

    pub(crate) fn install_job(&mut self, id: JobId, record: JobRecord, version: Version) {
        let mut was_aborted = false;
        if let Some(old) = self.jobs.remove(&id) {
            was_aborted = old.record.aborted;
            self.elastic_jobs -= usize::from(old.record.spec.elastic.is_some());
            self.unindex_claims(&id, &old.record.table);
            self.remove_from_team(&id, &old);
        }
        self.elastic_jobs += usize::from(record.spec.elastic.is_some());
        self.index_claims(&id, &record.table);
        if !record.table.losses.is_empty() {
            self.jobs_with_losses.insert(id.clone());
        }
        let task_resources = record.task_resources();
        let cached = CachedJob {
            record,
            version,
            task_resources,
            done: 0,
            claimed: 0,
            steps_left: None,
            first_surplus_member: TaskIx(u32::MAX),
            claims_by_pool: Vec::new(),
        };
        let team = cached.record.spec.team.clone();
        self.by_team.entry(team).or_default().insert((cached.accepted_revision(), id.clone()));
        let newly_cancelled = cached.record.aborted && !was_aborted;
        self.jobs.insert(id.clone(), cached);
        self.recount(&id);
        // The claims of a job in parts are not in the record that marks the job as cancelled.
        if newly_cancelled {
            self.renew_stamps(&id);
            self.newly_cancelled.push(id);
        }
    }

    fn remove_from_team(&mut self, id: &JobId, cached: &CachedJob) {
        if let Some(jobs) = self.by_team.get_mut(&cached.record.spec.team) {
            jobs.remove(&(cached.accepted_revision(), id.clone()));
        }
    }

    pub(crate) fn install_part(
        &mut self,
        id: JobId,
        part: u32,
        table: TaskTable,
        version: Version,
    ) {
        self.replace_indexed_part(&id, part, &table);
        if !table.losses.is_empty() {
            self.jobs_with_losses.insert(id.clone());
        }
        self.parts.entry(id.clone()).or_default().insert(part, Versioned::new(version, table));
        self.recount(&id);
    }

    pub(crate) fn install_progress(
        &mut self,
        id: JobId,
        part: u32,
        progress: ProgressPart,
        version: Version,
    ) {
        self.progress
            .entry(id.clone())
            .or_default()
            .insert(part, Versioned::new(version, progress));
        self.recount(&id);
    }

    /// Whether any job that has not ended is elastic.
    pub(crate) fn any_elastic(&self) -> bool {
        self.elastic_jobs > 0
    }

    /// The progress of an elastic job over all its parts.
    pub(crate) fn progress_of(&self, id: &JobId) -> Option<Progress> {
        let steps = self.jobs.get(id)?.record.spec.elastic.as_ref()?.steps;
        let mut progress = Progress::new(steps);
        for (number, part) in self.progress.get(id).into_iter().flatten() {
            progress.parts.insert(*number, part.value.clone());
        }
        Some(progress)
    }

    fn replace_indexed_part(&mut self, id: &JobId, part: u32, table: &TaskTable) {
        let old = self.parts.get_mut(id).and_then(|p| p.remove(&part));
        if let Some(old) = old {
            self.unindex_claims(id, &old.value);
        }
        self.index_claims(id, table);
    }

    /// Recomputes the totals of a job from its record and its parts.
    fn recount(&mut self, id: &JobId) {
        let Some(cached) = self.jobs.get_mut(id) else {
            return;
        };
        let (mut done, mut claimed) = (0, 0);
        for part in &cached.record.parts_done {
            let (from, to) = cached.record.part_range(*part);
            done += to - from;
        }
        cached.claims_by_pool.clear();
        let parts = self.parts.get(id).into_iter().flat_map(|p| p.values().map(|p| &p.value));
        for table in std::iter::once(&cached.record.table).chain(parts) {
            done += table.done_count();
            for group in &table.claims {
                let tasks = group.tasks.len() as u32;
                claimed += tasks;
                match cached.claims_by_pool.iter_mut().find(|(pool, _)| *pool == group.pool) {
                    Some((_, claims)) => *claims += tasks,
                    None => cached.claims_by_pool.push((group.pool.clone(), tasks)),
                }
            }
        }
        (cached.done, cached.claimed) = (done, claimed);
        let Some(elastic) = &cached.record.spec.elastic else { return };
        let parts = self.progress.get(id).into_iter().flat_map(|p| p.values());
        let finished: u64 = parts.map(|part| part.value.finished.len()).sum();
        cached.steps_left = Some(elastic.steps.saturating_sub(finished as u32));
        let claims = cached.record.table.claims.iter();
        let mut members: Vec<TaskIx> = claims.flat_map(|g| g.tasks.iter().map(|t| t.0)).collect();
        members.sort_unstable();
        cached.first_surplus_member =
            members.get(elastic.min_members as usize).copied().unwrap_or(TaskIx(u32::MAX));
    }

    fn index_claims(&mut self, id: &JobId, table: &TaskTable) {
        for group in &table.claims {
            let machine_claims = self.claims.entry(group.machine.clone()).or_default();
            self.last_stamp += 1;
            machine_claims.stamp = self.last_stamp;
            for (ix, attempt) in &group.tasks {
                machine_claims
                    .tasks
                    .insert((id.clone(), *ix), Claim { attempt: *attempt, token: group.token });
            }
        }
    }

    fn unindex_claims(&mut self, id: &JobId, table: &TaskTable) {
        for group in &table.claims {
            if let Some(machine_claims) = self.claims.get_mut(&group.machine) {
                self.last_stamp += 1;
                machine_claims.stamp = self.last_stamp;
                for (ix, _) in &group.tasks {
                    machine_claims.tasks.remove(&(id.clone(), *ix));
                }
                if machine_claims.is_empty() {
                    self.claims.remove(&group.machine);
                }
            }
        }
    }

    /// Gives the claims of a job new stamps. They require other actions than before although none
    /// of them changed, so their machines have to be examined again.
    pub(crate) fn renew_stamps(&mut self, id: &JobId) {
        let Some(cached) = self.jobs.get(id) else { return };
        let parts = self.parts.get(id).into_iter().flat_map(|p| p.values()).map(|p| &p.value);
        for group in std::iter::once(&cached.record.table).chain(parts).flat_map(|t| &t.claims) {
            if let Some(machine_claims) = self.claims.get_mut(&group.machine) {
                self.last_stamp += 1;
                machine_claims.stamp = self.last_stamp;
            }
        }
    }

    /// A number that changes whenever the claims on a machine, or the actions they require, change;
    /// 0: no claims.
    pub(crate) fn claims_stamp(&self, machine: &MachineId) -> u64 {
        self.claims.get(machine).map_or(0, |c| c.stamp)
    }

    pub(crate) fn claim(&self, machine: &MachineId, task: &TaskId) -> Option<Claim> {
        self.claims.get(machine)?.get(&(task.job.clone(), task.ix)).copied()
    }

    /// The summary that an ended job's archive record keeps for the team's history. `record` is the
    /// job's final record, which already includes the parts that end with it.
    pub(crate) fn summary(&self, id: &JobId, record: &JobRecord, wall_ms: u64) -> Summary {
        let parts = self.parts.get(id).into_iter().flatten();
        let parts =
            parts.filter(|(part, _)| !record.parts_done.contains(part)).map(|(_, p)| &p.value);
        let tables = || std::iter::once(&record.table).chain(parts.clone());
        let ran_ms: u64 = tables().map(|t| t.ran_ms).sum();
        Summary {
            class: record.spec.class.clone(),
            urgency: record.spec.urgency,
            tasks: record.spec.tasks,
            accepted_ms: record.accepted_ms,
            begun_ms: tables().filter_map(|t| t.begun_ms).min(),
            ended_ms: wall_ms.max(record.accepted_ms),
            cpu_ms: (ran_ms as f64 * record.spec.cpus) as u64,
        }
    }

    /// Every task table of a job: its own, or those of its parts.
    pub(crate) fn tables<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a TaskTable> + 'a {
        let own = self.jobs.get(id).map(|j| &j.record.table);
        let parts = self.parts.get(id).into_iter().flat_map(|p| p.values().map(|p| &p.value));
        own.into_iter().chain(parts)
    }
}
