//! This controller's copy of the live prefix of the state service.
//!
//! It is fed from three sides: the listing at the start, the changes read since, and our own
//! transactions. Each key's version only ever grows here, so a late or repeated piece of news
//! cannot turn a key back.

use crate::store::records::{
    parse_key, ControllerRecord, HistoryHead, HolderRecord, JobRecord, Key, LossHead, OriginRecord,
    PreemptionRecord, SliceRecord, SpreadRecord, Summary, Table,
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

/// Keys whose removal is remembered.
const MAX_REMOVED_KEYS: usize = 500;

pub(crate) type PartMap = BTreeMap<u32, Versioned<Table>>;
pub(crate) type ProgressMap = BTreeMap<u32, Versioned<ProgressPart>>;

#[derive(Clone, Debug)]
pub(crate) struct CachedJob {
    pub record: JobRecord,
    pub version: Version,
    pub each: Resources,
    pub done: u32,
    pub claimed: u32,
    /// Of an elastic job: steps that are not finished.
    pub steps_left: Option<u32>,
    /// Of an elastic job: members from this one on are beyond its least width.
    pub beyond: TaskIx,
    /// How many of its claims stand in each pool.
    pub by_pool: Vec<(PoolId, u32)>,
}

impl CachedJob {
    /// Where it stands among jobs of its kind: the revision at which it was accepted.
    pub(crate) fn place(&self) -> u64 {
        cleatfold_priority::acceptance_revision(self.record.place, self.version)
    }

    /// Where a one-zone job has to stay while any task of it may run.
    pub(crate) fn bound_zone(&self) -> Option<&ZoneId> {
        self.record.zone.as_ref().filter(|_| self.claimed > 0)
    }

    /// How wide an elastic job should run.
    pub(crate) fn width(&self) -> Option<ElasticWidth> {
        let elastic = self.record.spec.elastic.as_ref()?;
        Some(ElasticWidth {
            min_members: elastic.least,
            max_members: self.record.spec.tasks,
            remaining_steps: self.steps_left?,
            step_ms: ((elastic.step_s * 1000.0) as u64).max(1),
        })
    }

    /// Tasks that are not done; of an elastic job the members it could still use.
    pub(crate) fn unfinished(&self) -> u32 {
        match self.width() {
            Some(width) => width.max_useful_members(),
            None => self.record.spec.tasks.saturating_sub(self.done),
        }
    }

    /// Tasks that wait for a place in the queue's order. What an elastic job may grow by beyond
    /// that only takes holes.
    pub(crate) fn unclaimed(&self) -> u32 {
        match self.width() {
            Some(width) => width.base_members().saturating_sub(self.claimed),
            None => self.record.spec.tasks.saturating_sub(self.done + self.claimed),
        }
    }

    /// Every step of an elastic job is finished: its members have nothing more to do.
    pub(crate) fn is_complete(&self) -> bool {
        self.steps_left == Some(0)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct PoolOwnership {
    pub owner: ControllerId,
    pub incarnation: u64,
    pub token: FencingToken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    pub attempt: Attempt,
    pub token: FencingToken,
}

/// The claims on one machine.
#[derive(Clone, Debug, Default)]
pub struct MachineClaims {
    tasks: BTreeMap<(JobId, TaskIx), Claim>,
    /// Tells two states of them apart: the number of the cache's last change to them.
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

#[derive(Debug, Default)]
pub(crate) struct StateCache {
    /// Every change up to this revision is in.
    pub applied: Version,
    pub jobs: BTreeMap<JobId, CachedJob>,
    pub parts: BTreeMap<JobId, PartMap>,
    pub progress: BTreeMap<JobId, ProgressMap>,
    pub pools: BTreeMap<PoolId, PoolOwnership>,
    /// Live controllers, each with its incarnation.
    pub controllers: BTreeMap<ControllerId, Versioned<ControllerRecord>>,
    /// Who holds what, and under which epoch.
    pub roles: BTreeMap<Role, Versioned<HolderRecord>>,
    /// What was asked of the cloud, or is about to be.
    pub scale_out_intents: Versioned<ScaleOutIntents>,
    pub slices: BTreeMap<TeamId, Versioned<SliceRecord>>,
    /// What is agreed on while there is overload.
    pub overload_quota: Versioned<OverloadQuota>,
    pub loss_heads: BTreeMap<TeamId, Versioned<LossHead>>,
    /// Who keeps each team's workspace, and under which token.
    pub workspaces: BTreeMap<TeamId, Versioned<HolderRecord>>,
    pub histories: BTreeMap<TeamId, Versioned<HistoryHead>>,
    /// Room that is being made, by pool.
    pub preemptions: BTreeMap<PoolId, Versioned<PreemptionRecord>>,
    /// Images that are being spread.
    pub image_holders: BTreeMap<ImageId, Versioned<SpreadRecord>>,
    /// The live jobs of each team, by place in the queue.
    pub by_team: BTreeMap<TeamId, BTreeSet<(u64, JobId)>>,
    /// Keys whose last value cannot be read: nobody acts on what they held before, nor writes over them.
    pub unreadable: BTreeSet<String>,
    /// Who fetches from the origin.
    pub origin: Versioned<OriginRecord>,
    /// Live jobs that have lost some run.
    pub lossy: BTreeSet<JobId>,
    /// All claims, by machine.
    pub claims: BTreeMap<MachineId, MachineClaims>,
    stamps: u64,
    /// Elastic jobs among the live ones.
    elastic: usize,
    /// Versions of keys that are gone, newest last, against late news about them.
    removed: BTreeMap<String, Version>,
    removed_order: VecDeque<String>,
    /// Jobs that went since this was last looked at, and those that became cancelled.
    pub gone: Vec<JobId>,
    pub cancelled: Vec<JobId>,
}

impl StateCache {
    /// Forgets everything, to be read again. Stamps go on: a report that was settled by one of before must not pass
    /// for settled by a new one of the same number.
    pub(crate) fn begin_anew(&mut self) {
        *self = StateCache { stamps: self.stamps, ..StateCache::default() };
    }

    /// Of a listing, which tells what stands now: also what has not changed since it began.
    pub(crate) fn apply_item(&mut self, item: &Item) {
        self.put(&item.key, item.value.get(), item.version);
    }

    pub(crate) fn apply_event(&mut self, event: &Event) {
        if event.version <= self.applied {
            return;
        }
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            self.set(key, value.get(), event.version);
        } else if let Some(key) = &event.delete {
            self.remove(key, event.version);
        }
    }

    /// Everything up to `applied` is in, and what has gone since is gone: an answer to a change of ours that comes
    /// after a reading that showed it would put back parts and claims that others have ended meanwhile.
    pub(crate) fn is_newer(&self, version: Version) -> bool {
        version > self.applied
    }

    fn version_of(&self, key: &str, parsed: &Key) -> Version {
        let live = match parsed {
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
        live.or_else(|| self.removed.get(key).copied()).unwrap_or_default()
    }

    /// A reading has shown the key at a later version than this one, or gone since. (What our own changes alone have
    /// shown does not count: all that was done before is known of what was read.)
    pub(crate) fn has_moved(&self, key: &str, since: Version) -> bool {
        let Some(parsed) = parse_key(key) else { return false };
        let known = self.version_of(key, &parsed);
        known > since && known <= self.applied
    }

    pub(crate) fn set(&mut self, key: &str, value: &str, version: Version) {
        if self.is_newer(version) {
            self.put(key, value, version);
        }
    }

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
        self.note_removed(key, version);
    }

    /// Remembers at which version a key went, against late news about it.
    fn note_removed(&mut self, key: &str, version: Version) {
        if self.removed.insert(key.to_string(), version).is_none() {
            self.removed_order.push_back(key.to_string());
        }
        while self.removed_order.len() > MAX_REMOVED_KEYS {
            if let Some(old) = self.removed_order.pop_front() {
                self.removed.remove(&old);
            }
        }
    }

    fn remove_job(&mut self, id: JobId) {
        // What is left of it in parts is over.
        self.restamp(&id);
        if let Some(cached) = self.jobs.remove(&id) {
            self.leave_team(&id, &cached);
            self.elastic -= usize::from(cached.record.spec.elastic.is_some());
            self.unindex(&id, &cached.record.table);
            self.lossy.remove(&id);
            self.gone.push(id);
        }
    }

    fn remove_part(&mut self, id: &JobId, part: u32) {
        let known = self.parts.get_mut(id).and_then(|parts| parts.remove(&part));
        if let Some(known) = known {
            self.unindex(id, &known.value);
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
        let mut aborted = false;
        if let Some(old) = self.jobs.remove(&id) {
            aborted = old.record.aborted;
            self.elastic -= usize::from(old.record.spec.elastic.is_some());
            self.unindex(&id, &old.record.table);
            self.leave_team(&id, &old);
        }
        self.elastic += usize::from(record.spec.elastic.is_some());
        self.index(&id, &record.table);
        if !record.table.losses.is_empty() {
            self.lossy.insert(id.clone());
        }
        let each = record.each();
        let live = CachedJob {
            record,
            version,
            each,
            done: 0,
            claimed: 0,
            steps_left: None,
            beyond: TaskIx(u32::MAX),
            by_pool: Vec::new(),
        };
        let team = live.record.spec.team.clone();
        self.by_team.entry(team).or_default().insert((live.place(), id.clone()));
        let cancelled = live.record.aborted && !aborted;
        self.jobs.insert(id.clone(), live);
        self.recount(&id);
        // The claims of a job in parts are not in the record that says so.
        if cancelled {
            self.restamp(&id);
            self.cancelled.push(id);
        }
    }

    fn leave_team(&mut self, id: &JobId, live: &CachedJob) {
        if let Some(jobs) = self.by_team.get_mut(&live.record.spec.team) {
            jobs.remove(&(live.place(), id.clone()));
        }
    }

    pub(crate) fn install_part(&mut self, id: JobId, part: u32, table: Table, version: Version) {
        self.index_replacing(&id, part, &table);
        if !table.losses.is_empty() {
            self.lossy.insert(id.clone());
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

    pub(crate) fn any_elastic(&self) -> bool {
        self.elastic > 0
    }

    /// All that is known of an elastic job's steps.
    pub(crate) fn progress_of(&self, id: &JobId) -> Option<Progress> {
        let steps = self.jobs.get(id)?.record.spec.elastic.as_ref()?.steps;
        let mut progress = Progress::new(steps);
        for (number, part) in self.progress.get(id).into_iter().flatten() {
            progress.parts.insert(*number, part.value.clone());
        }
        Some(progress)
    }

    fn index_replacing(&mut self, id: &JobId, part: u32, table: &Table) {
        let old = self.parts.get_mut(id).and_then(|p| p.remove(&part));
        if let Some(old) = old {
            self.unindex(id, &old.value);
        }
        self.index(id, table);
    }

    fn recount(&mut self, id: &JobId) {
        let Some(live) = self.jobs.get_mut(id) else {
            return;
        };
        let (mut done, mut claimed) = (0, 0);
        for part in &live.record.parts_done {
            let (from, to) = live.record.part_range(*part);
            done += to - from;
        }
        live.by_pool.clear();
        let parts = self.parts.get(id).into_iter().flat_map(|p| p.values().map(|p| &p.value));
        for table in std::iter::once(&live.record.table).chain(parts) {
            done += table.done_count();
            for group in &table.claims {
                let tasks = group.tasks.len() as u32;
                claimed += tasks;
                match live.by_pool.iter_mut().find(|(pool, _)| *pool == group.pool) {
                    Some((_, known)) => *known += tasks,
                    None => live.by_pool.push((group.pool.clone(), tasks)),
                }
            }
        }
        (live.done, live.claimed) = (done, claimed);
        let Some(elastic) = &live.record.spec.elastic else { return };
        let parts = self.progress.get(id).into_iter().flat_map(|p| p.values());
        let finished: u64 = parts.map(|part| part.value.finished.len()).sum();
        live.steps_left = Some(elastic.steps.saturating_sub(finished as u32));
        let claims = live.record.table.claims.iter();
        let mut members: Vec<TaskIx> = claims.flat_map(|g| g.tasks.iter().map(|t| t.0)).collect();
        members.sort_unstable();
        live.beyond = members.get(elastic.least as usize).copied().unwrap_or(TaskIx(u32::MAX));
    }

    fn index(&mut self, id: &JobId, table: &Table) {
        for group in &table.claims {
            let on = self.claims.entry(group.machine.clone()).or_default();
            self.stamps += 1;
            on.stamp = self.stamps;
            for (ix, attempt) in &group.tasks {
                on.tasks.insert((id.clone(), *ix), Claim { attempt: *attempt, token: group.token });
            }
        }
    }

    fn unindex(&mut self, id: &JobId, table: &Table) {
        for group in &table.claims {
            if let Some(on) = self.claims.get_mut(&group.machine) {
                self.stamps += 1;
                on.stamp = self.stamps;
                for (ix, _) in &group.tasks {
                    on.tasks.remove(&(id.clone(), *ix));
                }
                if on.is_empty() {
                    self.claims.remove(&group.machine);
                }
            }
        }
    }

    /// The job's claims call for something else than before, though none of them changed: whoever compares
    /// stamps has to look at their machines again.
    pub(crate) fn restamp(&mut self, id: &JobId) {
        let Some(live) = self.jobs.get(id) else { return };
        let parts = self.parts.get(id).into_iter().flat_map(|p| p.values()).map(|p| &p.value);
        for group in std::iter::once(&live.record.table).chain(parts).flat_map(|t| &t.claims) {
            if let Some(on) = self.claims.get_mut(&group.machine) {
                self.stamps += 1;
                on.stamp = self.stamps;
            }
        }
    }

    /// Changes whenever the claims on a machine do, or what they call for; 0: there are none.
    pub(crate) fn claims_stamp(&self, machine: &MachineId) -> u64 {
        self.claims.get(machine).map_or(0, |c| c.stamp)
    }

    pub(crate) fn claim(&self, machine: &MachineId, task: &TaskId) -> Option<Claim> {
        self.claims.get(machine)?.get(&(task.job.clone(), task.ix)).copied()
    }

    /// What an ended job's record keeps for its team's history. `record` is as it will be; parts that end
    /// with it are in it already.
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

    /// Every table of a job: its own, or its parts'.
    pub(crate) fn tables<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a Table> + 'a {
        let own = self.jobs.get(id).map(|j| &j.record.table);
        let parts = self.parts.get(id).into_iter().flat_map(|p| p.values().map(|p| &p.value));
        own.into_iter().chain(parts)
    }
}
