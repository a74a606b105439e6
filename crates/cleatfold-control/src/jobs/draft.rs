//! Builder for one transaction on a job's records.
//!
//! A [`Draft`] starts from the cached records of a job, records claim ends and new claims in copies
//! of them, and collects the guards under which the copies may replace the stored records. Each
//! changed part of a large job is one change; the job's own record (its head) is written only if it
//! changed.

use crate::jobs::state::{part_of, ClaimEnd, Fence, PlacementRequest};
use crate::store::cache::{CachedJob, PartMap};
use crate::store::records::{job_key, part_key, pool_key, JobRecord, TaskTable};
use cleatfold_wire::job::Kind;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{Attempt, FencingToken, JobId, PoolId, TaskIx, Version, ZoneId};
use cleatfold_write_batching::{claim_order, Selection};
use std::collections::{BTreeMap, BTreeSet};

/// How a draft handled the claim ends that were waiting to be recorded.
#[derive(Debug, Default)]
pub(super) struct ClaimEndOutcomes {
    /// Recorded by this transaction.
    pub recorded: Vec<ClaimEnd>,
    /// Already recorded by another controller, or no longer proven: to be dropped.
    pub obsolete: Vec<ClaimEnd>,
    /// In parts that this transaction does not change so far.
    pub postponed: Vec<ClaimEnd>,
}

/// The claims that were made for one placement request.
pub(super) type PlacementClaims = (PlacementRequest, Vec<(TaskIx, Attempt)>);

/// Limits on the claims of one transaction.
#[derive(Debug)]
pub(super) struct ClaimLimits {
    /// Tasks that must not be claimed now because they are in backoff after a failure.
    pub backing_off: BTreeSet<TaskIx>,
    /// Maximum number of other tasks that may be claimed.
    pub max_tasks: u32,
    /// Maximum number of guards of the transaction after claims have added theirs.
    pub max_guards: usize,
    /// Rank of this controller among the live controllers, and their number.
    pub controller_rank: (usize, usize),
    /// Claimed tasks of a spread job by zone.
    pub claimed_by_zone: BTreeMap<ZoneId, u32>,
}

/// A transaction on one job's records that is being built.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    job: &'a JobId,
    parts: Option<&'a PartMap>,
    pub record: JobRecord,
    pub txn: Txn,
    /// Whether the job's own record has to be written.
    pub head_changed: bool,
    pub done: u32,
    pub claimed: u32,
    /// New tables of the parts that this transaction changes.
    changed_parts: BTreeMap<u32, TaskTable>,
    /// Maximum number of parts that this transaction may change.
    max_parts: usize,
    wall_ms: u64,
}

fn guard_once(txn: &mut Txn, key: String, version: Version) {
    if !txn.guards.iter().any(|g| g.key == key) {
        txn.guard(key, version);
    }
}

/// Guards the transaction by the pool's record: it fails unless the pool still has this owner.
fn guard_pool(txn: &mut Txn, pool: &PoolId, token: FencingToken) {
    guard_once(txn, pool_key(pool), Version(token.0));
}

fn version_of_part(parts: Option<&PartMap>, part: u32) -> Version {
    parts.and_then(|p| p.get(&part)).map(|p| p.version).unwrap_or_default()
}

impl<'a> Draft<'a> {
    /// An empty draft, guarded by the version of the job's record.
    pub(super) fn new(
        job: &'a JobId,
        cached: &CachedJob,
        parts: Option<&'a PartMap>,
        max_parts: usize,
        wall_ms: u64,
    ) -> Self {
        let mut record = cached.record.clone();
        // The queue position is the revision of the acceptance. This write changes the version, so
        // the revision is stored in the record.
        record.accepted_revision = Some(cached.accepted_revision());
        let mut txn = Txn::default();
        txn.guard(job_key(job), cached.version);
        let (done, claimed) = (cached.done, cached.claimed);
        let changed_parts = BTreeMap::new();
        Self {
            job,
            parts,
            record,
            txn,
            head_changed: false,
            done,
            claimed,
            changed_parts,
            max_parts,
            wall_ms,
        }
    }

    // ---- claim ends ----

    /// Records the claim ends whose proof still holds and whose parts may be changed: the parts in
    /// `selection`, or all parts if there is none.
    pub(super) fn record_ends(
        &mut self,
        ends: &[ClaimEnd],
        selection: Option<&Selection>,
        owns: impl Fn(&PoolId, FencingToken) -> bool,
    ) -> ClaimEndOutcomes {
        let mut outcome = ClaimEndOutcomes::default();
        for end in ends {
            let is_unproven =
                end.fence.as_ref().is_some_and(|fence| !owns(&fence.pool, fence.token));
            if is_unproven {
                outcome.obsolete.push(end.clone());
            } else if !self.may_change_part_of(end, selection) {
                outcome.postponed.push(end.clone());
            } else {
                self.record_end(end.clone(), &mut outcome);
            }
        }
        outcome
    }

    /// Records postponed completions of tasks whose part is changed by this transaction anyway.
    pub(super) fn record_postponed(&mut self, outcome: &mut ClaimEndOutcomes) {
        for end in std::mem::take(&mut outcome.postponed).into_iter().filter(|e| e.done) {
            let part = part_of(&self.record, end.ix);
            if part.is_some_and(|part| self.changed_parts.contains_key(&part)) {
                self.record_end(end, outcome);
            }
        }
    }

    fn may_change_part_of(&self, end: &ClaimEnd, selection: Option<&Selection>) -> bool {
        let Some(part) = part_of(&self.record, end.ix) else { return true };
        let selected = selection.is_none_or(|s| s.contains(part));
        self.changed_parts.contains_key(&part)
            || (selected && self.changed_parts.len() < self.max_parts)
    }

    fn record_end(&mut self, end: ClaimEnd, outcome: &mut ClaimEndOutcomes) {
        let part = part_of(&self.record, end.ix);
        let wall_ms = self.wall_ms;
        let table = self.table_mut(part);
        if !table.end_claim(&end.machine, end.ix, end.attempt, end.done) {
            outcome.obsolete.push(end);
            return;
        }
        table.ran_ms += end.ran_ms;
        if let Some(cause) = end.loss() {
            table.losses.record(&end.machine, cause, wall_ms, (end.ix, end.attempt));
        }
        self.head_changed |= part.is_none();
        self.claimed -= 1;
        self.done += u32::from(end.done);
        if let Some(Fence { pool, token }) = &end.fence {
            guard_pool(&mut self.txn, pool, *token);
        }
        outcome.recorded.push(end);
    }

    /// The mutable table of a part, or of the job itself if it is stored in one record.
    fn table_mut(&mut self, part: Option<u32>) -> &mut TaskTable {
        let Some(part) = part else { return &mut self.record.table };
        let cached = || self.parts.and_then(|p| p.get(&part)).map(|p| p.value.clone());
        self.changed_parts.entry(part).or_insert_with(|| cached().unwrap_or_default())
    }

    // ---- claims ----

    /// Makes the requested claims in the order of the placement requests, within `limits`.
    /// A gang is claimed as a whole or not at all.
    pub(super) fn claim(
        &mut self,
        placements: Vec<PlacementRequest>,
        mut limits: ClaimLimits,
        owns: impl Fn(&PoolId, FencingToken) -> bool,
    ) -> Vec<PlacementClaims> {
        let unclaimed = self.record.spec.tasks - self.done - self.claimed;
        let is_gang = self.record.spec.kind == Kind::Gang;
        let rollback_state = is_gang.then(|| {
            (
                self.record.clone(),
                self.changed_parts.clone(),
                self.txn.guards.len(),
                self.head_changed,
            )
        });
        let mut claims = Vec::new();
        for placement in placements {
            let zone = &placement.pool.zone;
            let placeable = owns(&placement.pool, placement.token)
                && (!self.record.spec.one_zone || self.bind_to_zone(zone, limits.max_guards));
            if !placeable {
                continue;
            }
            let tasks = self.claim_for_placement(&placement, &mut limits);
            if !tasks.is_empty() {
                let count = tasks.len() as u32;
                limits.max_tasks = limits.max_tasks.saturating_sub(count);
                self.claimed += count;
                guard_pool(&mut self.txn, &placement.pool, placement.token);
                claims.push((placement, tasks));
            }
        }
        let claimed_now: u32 = claims.iter().map(|c| c.1.len() as u32).sum();
        if let Some((record, changed_parts, guards, head_changed)) = rollback_state {
            if claimed_now > 0 && claimed_now < unclaimed {
                claims.clear();
                self.claimed -= claimed_now;
                (self.record, self.changed_parts, self.head_changed) =
                    (record, changed_parts, head_changed);
                self.txn.guards.truncate(guards);
            }
        }
        claims
    }

    /// Binds a one-zone job to the zone. False if it is bound to another zone and cannot move yet.
    ///
    /// The binding lasts while any task of the job may be running; after that the job may move to
    /// another zone. Otherwise a job whose zone has no machines left would wait forever while other
    /// zones have free machines.
    fn bind_to_zone(&mut self, zone: &ZoneId, max_guards: usize) -> bool {
        if self.record.zone.as_ref() == Some(zone) {
            return true;
        }
        let is_bound = self.record.zone.is_some();
        if is_bound && (self.claimed > 0 || !self.guard_parts(max_guards)) {
            return false;
        }
        self.record.zone = Some(zone.clone());
        self.head_changed = true;
        true
    }

    /// Guards the transaction by every part of the job that is not done. A claim in a part does not
    /// change the job's record, so without these guards a claim that is not in the cache would go
    /// undetected. False if that takes more guards than a transaction may have.
    fn guard_parts(&mut self, max_guards: usize) -> bool {
        if !self.record.in_parts() {
            return true;
        }
        let unfinished = |part: &u32| !self.record.parts_done.contains(part);
        let unfinished: Vec<u32> = (0..self.record.part_count()).filter(unfinished).collect();
        if self.txn.guards.len() + unfinished.len() > max_guards {
            return false;
        }
        for part in unfinished {
            guard_once(&mut self.txn, part_key(self.job, part), version_of_part(self.parts, part));
        }
        true
    }

    fn claim_for_placement(
        &mut self,
        placement: &PlacementRequest,
        limits: &mut ClaimLimits,
    ) -> Vec<(TaskIx, Attempt)> {
        let mut wanted = placement.tasks.min(limits.max_tasks);
        if self.record.spec.spread {
            // At most half of the tasks, rounded up, may be in one zone.
            let half = self.record.spec.tasks.div_ceil(2);
            let in_zone = limits.claimed_by_zone.entry(placement.pool.zone.clone()).or_default();
            wanted = wanted.min(half.saturating_sub(*in_zone));
            *in_zone += wanted;
        }
        if self.record.in_parts() {
            self.claim_in_parts(placement, wanted, limits)
        } else {
            self.claim_in_record(placement, wanted, &limits.backing_off)
        }
    }

    fn claim_in_record(
        &mut self,
        placement: &PlacementRequest,
        wanted: u32,
        backing_off: &BTreeSet<TaskIx>,
    ) -> Vec<(TaskIx, Attempt)> {
        let tasks = self.record.spec.tasks;
        let wall_ms = self.wall_ms;
        let table = &mut self.record.table;
        let free =
            table.claimable_tasks(0, tasks).into_iter().filter(|ix| !backing_off.contains(ix));
        let mut claimed = Vec::new();
        for ix in free.take(wanted as usize) {
            let attempt = table.claim(&placement.machine, placement.token, &placement.pool, ix);
            claimed.push((ix, attempt));
        }
        if !claimed.is_empty() {
            table.begun_ms.get_or_insert(wall_ms);
        }
        self.head_changed |= !claimed.is_empty();
        claimed
    }

    fn claim_in_parts(
        &mut self,
        placement: &PlacementRequest,
        wanted: u32,
        limits: &ClaimLimits,
    ) -> Vec<(TaskIx, Attempt)> {
        let (rank, controllers) = limits.controller_rank;
        let mut claimed = Vec::new();
        for part in claim_order(self.record.part_count(), rank, controllers) {
            let missing = wanted as usize - claimed.len();
            if missing == 0 {
                break;
            }
            let at_limit = self.changed_parts.len() >= self.max_parts;
            let excluded = at_limit && !self.changed_parts.contains_key(&part);
            if self.record.parts_done.contains(&part) || excluded {
                continue;
            }
            let mut free = self.free_in_part(part);
            free.retain(|ix| !limits.backing_off.contains(ix));
            if free.is_empty() {
                continue;
            }
            let wall_ms = self.wall_ms;
            let table = self.table_mut(Some(part));
            table.begun_ms.get_or_insert(wall_ms);
            for ix in free.into_iter().take(missing) {
                let attempt = table.claim(&placement.machine, placement.token, &placement.pool, ix);
                claimed.push((ix, attempt));
            }
        }
        // Changing the head makes concurrent claims of a spread job conflict; together they could
        // exceed the limit per zone.
        self.head_changed |= self.record.spec.spread;
        claimed
    }

    fn free_in_part(&self, part: u32) -> Vec<TaskIx> {
        let (from, to) = self.record.part_range(part);
        let cached = self.parts.and_then(|p| p.get(&part)).map(|p| &p.value);
        match self.changed_parts.get(&part).or(cached) {
            Some(table) => table.claimable_tasks(from, to),
            None => (from..to).map(TaskIx).collect(),
        }
    }

    // ---- writes ----

    /// Writes the changed parts. A part whose tasks are all done is deleted; its losses and run
    /// time move to the job's record.
    pub(super) fn write_parts(&mut self) {
        for (part, table) in std::mem::take(&mut self.changed_parts) {
            let key = part_key(self.job, part);
            let version = version_of_part(self.parts, part);
            guard_once(&mut self.txn, key.clone(), version);
            let (from, to) = self.record.part_range(part);
            if table.done_count() < to - from {
                self.txn.put(key, &table, None);
                continue;
            }
            let job_table = &mut self.record.table;
            job_table.losses.merge(table.losses);
            job_table.ran_ms += table.ran_ms;
            job_table.begun_ms = job_table.begun_ms.into_iter().chain(table.begun_ms).min();
            self.record.parts_done.push(part);
            self.head_changed = true;
            if version > Version(0) {
                self.txn.delete(key);
            }
        }
    }

    /// Whether the draft changes no record.
    pub(super) fn is_empty(&self) -> bool {
        !self.head_changed && self.txn.changes.is_empty()
    }
}
