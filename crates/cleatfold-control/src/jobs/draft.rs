//! The draft of one transaction on a job's records.
//!
//! A [`Draft`] starts from what the cache holds of a job, records ends and claims in copies of its
//! records, and collects the guards under which the copies may replace what stands. Each changed
//! part of a large job is one change; the job's own record (its head) is written only if it changed.

use crate::jobs::state::{part_of, ClaimEnd, Fence, PlacementRequest};
use crate::store::cache::{CachedJob, PartMap};
use crate::store::records::{job_key, part_key, pool_key, JobRecord, TaskTable};
use cleatfold_wire::job::Kind;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{Attempt, FencingToken, JobId, PoolId, TaskIx, Version, ZoneId};
use cleatfold_write_batching::{claim_order, Selection};
use std::collections::{BTreeMap, BTreeSet};

/// What became of the ends of claims that wait to be recorded.
#[derive(Debug, Default)]
pub(super) struct RecordedEnds {
    /// Part of this transaction.
    pub recorded: Vec<ClaimEnd>,
    /// Settled by somebody else, or without proof by now: to be forgotten.
    pub void: Vec<ClaimEnd>,
    /// Of parts that this transaction does not change, so far.
    pub postponed: Vec<ClaimEnd>,
}

/// Claims made for one placement request.
pub(super) type Claimed = (PlacementRequest, Vec<(TaskIx, Attempt)>);

/// What bounds the claims of one transaction.
#[derive(Debug)]
pub(super) struct ClaimBounds {
    /// Tasks that must not be claimed now.
    pub pausing: BTreeSet<TaskIx>,
    /// How many of the others may be.
    pub max_tasks: u32,
    /// Guards that claims may add up to.
    pub max_guards: usize,
    /// This controller's place among the live ones, and their number.
    pub rank: (usize, usize),
    /// Tasks of a spread job by zone.
    pub by_zone: BTreeMap<ZoneId, u32>,
}

/// A transaction on one job's records that is being put together.
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
    /// Tables of parts as they will be.
    touched: BTreeMap<u32, TaskTable>,
    /// How many parts this transaction may change.
    max_parts: usize,
    wall_ms: u64,
}

fn guard_once(txn: &mut Txn, key: String, version: Version) {
    if !txn.guards.iter().any(|g| g.key == key) {
        txn.guard(key, version);
    }
}

/// The transaction fails unless the pool is still ours.
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
        // From now on the record's version is another: its place in the queue stays.
        record.accepted_revision = Some(cached.accepted_revision());
        let mut txn = Txn::default();
        txn.guard(job_key(job), cached.version);
        let (done, claimed) = (cached.done, cached.claimed);
        let touched = BTreeMap::new();
        Self {
            job,
            parts,
            record,
            txn,
            head_changed: false,
            done,
            claimed,
            touched,
            max_parts,
            wall_ms,
        }
    }

    // ---- ends ----

    /// Records the ends whose proof still holds, as far as their parts may be changed: those in
    /// `selection`, all without one.
    pub(super) fn record_ends(
        &mut self,
        ends: &[ClaimEnd],
        selection: Option<&Selection>,
        owns: impl Fn(&PoolId, FencingToken) -> bool,
    ) -> RecordedEnds {
        let mut outcome = RecordedEnds::default();
        for end in ends {
            let unproven = end.fence.as_ref().is_some_and(|fence| !owns(&fence.pool, fence.token));
            if unproven {
                outcome.void.push(end.clone());
            } else if !self.may_change_part_of(end, selection) {
                outcome.postponed.push(end.clone());
            } else {
                self.record_end(end.clone(), &mut outcome);
            }
        }
        outcome
    }

    /// Records completed tasks of parts that are changed in any case.
    pub(super) fn record_postponed(&mut self, outcome: &mut RecordedEnds) {
        for end in std::mem::take(&mut outcome.postponed).into_iter().filter(|e| e.done) {
            let part = part_of(&self.record, end.ix);
            if part.is_some_and(|part| self.touched.contains_key(&part)) {
                self.record_end(end, outcome);
            }
        }
    }

    fn may_change_part_of(&self, end: &ClaimEnd, selection: Option<&Selection>) -> bool {
        let Some(part) = part_of(&self.record, end.ix) else { return true };
        let selected = selection.is_none_or(|s| s.contains(part));
        self.touched.contains_key(&part) || (selected && self.touched.len() < self.max_parts)
    }

    fn record_end(&mut self, end: ClaimEnd, outcome: &mut RecordedEnds) {
        let part = part_of(&self.record, end.ix);
        let wall_ms = self.wall_ms;
        let table = self.table_mut(part);
        if !table.end_claim(&end.machine, end.ix, end.attempt, end.done) {
            outcome.void.push(end);
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

    /// The table of a part, or of a job in one record, to be changed.
    fn table_mut(&mut self, part: Option<u32>) -> &mut TaskTable {
        let Some(part) = part else { return &mut self.record.table };
        let known = || self.parts.and_then(|p| p.get(&part)).map(|p| p.value.clone());
        self.touched.entry(part).or_insert_with(|| known().unwrap_or_default())
    }

    // ---- claims ----

    /// Makes the claims that the placement requests ask for, in their order, within the bounds.
    /// A gang is claimed whole or not at all.
    pub(super) fn claim(
        &mut self,
        placements: Vec<PlacementRequest>,
        mut bounds: ClaimBounds,
        owns: impl Fn(&PoolId, FencingToken) -> bool,
    ) -> Vec<Claimed> {
        let unclaimed = self.record.spec.tasks - self.done - self.claimed;
        let is_gang = self.record.spec.kind == Kind::Gang;
        let before = is_gang.then(|| {
            (self.record.clone(), self.touched.clone(), self.txn.guards.len(), self.head_changed)
        });
        let mut claims = Vec::new();
        for placement in placements {
            let zone = &placement.pool.zone;
            let placeable = owns(&placement.pool, placement.token)
                && (!self.record.spec.one_zone || self.bind_to_zone(zone, bounds.max_guards));
            if !placeable {
                continue;
            }
            let tasks = self.claim_one(&placement, &mut bounds);
            if !tasks.is_empty() {
                let count = tasks.len() as u32;
                bounds.max_tasks = bounds.max_tasks.saturating_sub(count);
                self.claimed += count;
                guard_pool(&mut self.txn, &placement.pool, placement.token);
                claims.push((placement, tasks));
            }
        }
        let made: u32 = claims.iter().map(|c| c.1.len() as u32).sum();
        if let Some((record, touched, guards, head_changed)) = before {
            if made > 0 && made < unclaimed {
                claims.clear();
                self.claimed -= made;
                (self.record, self.touched, self.head_changed) = (record, touched, head_changed);
                self.txn.guards.truncate(guards);
            }
        }
        claims
    }

    /// Whether tasks of a one-zone job may be claimed in this zone; then the job is bound to it.
    ///
    /// It is bound while any task of it may run; then it may go on elsewhere. (A job whose zone had
    /// no machine left waited for ever beside free ones of other zones.)
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

    /// The transaction fails if any part of the job has changed: a claim in a part does not change
    /// the job's record, so one that we have not read would go unnoticed. False if that takes more
    /// guards than a transaction may have.
    fn guard_parts(&mut self, max_guards: usize) -> bool {
        if !self.record.in_parts() {
            return true;
        }
        let open = |part: &u32| !self.record.parts_done.contains(part);
        let open: Vec<u32> = (0..self.record.part_count()).filter(open).collect();
        if self.txn.guards.len() + open.len() > max_guards {
            return false;
        }
        for part in open {
            guard_once(&mut self.txn, part_key(self.job, part), version_of_part(self.parts, part));
        }
        true
    }

    fn claim_one(
        &mut self,
        placement: &PlacementRequest,
        bounds: &mut ClaimBounds,
    ) -> Vec<(TaskIx, Attempt)> {
        let mut wanted = placement.tasks.min(bounds.max_tasks);
        if self.record.spec.spread {
            // At most half of the tasks, rounded up, may be in one zone.
            let half = self.record.spec.tasks.div_ceil(2);
            let here = bounds.by_zone.entry(placement.pool.zone.clone()).or_default();
            wanted = wanted.min(half.saturating_sub(*here));
            *here += wanted;
        }
        if self.record.in_parts() {
            self.claim_in_parts(placement, wanted, bounds)
        } else {
            self.claim_in_record(placement, wanted, &bounds.pausing)
        }
    }

    fn claim_in_record(
        &mut self,
        placement: &PlacementRequest,
        wanted: u32,
        pausing: &BTreeSet<TaskIx>,
    ) -> Vec<(TaskIx, Attempt)> {
        let tasks = self.record.spec.tasks;
        let wall_ms = self.wall_ms;
        let table = &mut self.record.table;
        let free = table.claimable_tasks(0, tasks).into_iter().filter(|ix| !pausing.contains(ix));
        let mut made = Vec::new();
        for ix in free.take(wanted as usize) {
            let attempt = table.claim(&placement.machine, placement.token, &placement.pool, ix);
            made.push((ix, attempt));
        }
        if !made.is_empty() {
            table.begun_ms.get_or_insert(wall_ms);
        }
        self.head_changed |= !made.is_empty();
        made
    }

    fn claim_in_parts(
        &mut self,
        placement: &PlacementRequest,
        wanted: u32,
        bounds: &ClaimBounds,
    ) -> Vec<(TaskIx, Attempt)> {
        let (rank, controllers) = bounds.rank;
        let mut made = Vec::new();
        for part in claim_order(self.record.part_count(), rank, controllers) {
            let missing = wanted as usize - made.len();
            if missing == 0 {
                break;
            }
            let full = self.touched.len() >= self.max_parts;
            let closed = full && !self.touched.contains_key(&part);
            if self.record.parts_done.contains(&part) || closed {
                continue;
            }
            let mut free = self.free_in_part(part);
            free.retain(|ix| !bounds.pausing.contains(ix));
            if free.is_empty() {
                continue;
            }
            let wall_ms = self.wall_ms;
            let table = self.table_mut(Some(part));
            table.begun_ms.get_or_insert(wall_ms);
            for ix in free.into_iter().take(missing) {
                let attempt = table.claim(&placement.machine, placement.token, &placement.pool, ix);
                made.push((ix, attempt));
            }
        }
        // Guards of other claims of a spread job must notice this one.
        self.head_changed |= self.record.spec.spread;
        made
    }

    fn free_in_part(&self, part: u32) -> Vec<TaskIx> {
        let (from, to) = self.record.part_range(part);
        let known = self.parts.and_then(|p| p.get(&part)).map(|p| &p.value);
        match self.touched.get(&part).or(known) {
            Some(table) => table.claimable_tasks(from, to),
            None => (from..to).map(TaskIx).collect(),
        }
    }

    // ---- what is written ----

    /// Writes the changed parts. A part whose tasks are all done goes; what it lost and how long it
    /// ran stays with the job.
    pub(super) fn write_parts(&mut self) {
        for (part, table) in std::mem::take(&mut self.touched) {
            let key = part_key(self.job, part);
            let version = version_of_part(self.parts, part);
            guard_once(&mut self.txn, key.clone(), version);
            let (from, to) = self.record.part_range(part);
            if table.done_count() < to - from {
                self.txn.put(key, &table, None);
                continue;
            }
            let own = &mut self.record.table;
            own.losses.merge(table.losses);
            own.ran_ms += table.ran_ms;
            own.begun_ms = own.begun_ms.into_iter().chain(table.begun_ms).min();
            self.record.parts_done.push(part);
            self.head_changed = true;
            if version > Version(0) {
                self.txn.delete(key);
            }
        }
    }

    /// Whether there is nothing to be written.
    pub(super) fn is_empty(&self) -> bool {
        !self.head_changed && self.txn.changes.is_empty()
    }
}
