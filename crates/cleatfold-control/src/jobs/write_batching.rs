//! Batching of updates to job records: which job's transaction is sent next, and when.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreRequest};
use crate::jobs::state::{part_of, LocalJobState};
use crate::store::cache::CachedJob;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::JobId;
use cleatfold_write_batching::{PendingPartUpdates, PendingUpdates, Selection};
use std::collections::BTreeMap;

/// Completions of a job that still runs are batched for the estimated duration of one task, within
/// these limits. Workers keep reporting them until they are recorded, so the cost of a controller
/// failure is to read them again.
const MIN_BATCHING_DELAY_MS: u64 = 30_000;
/// Upper limit of the batching delay for jobs of teams without a resource limit.
const MAX_BATCHING_DELAY_MS: u64 = 90_000;

impl Controller {
    /// Sends due transactions, highest weight first, as long as this controller's share of the
    /// state service's change rate allows; other updates are batched until their turn.
    pub(crate) fn flush(&mut self) {
        let controllers = if self.has_store_contact() { self.cache.controllers.len() } else { 0 };
        let controllers = if controllers == 0 { self.cfg.peers.len() + 1 } else { controllers };
        self.rate_limiter.refill(self.now.0, self.cfg.changes_per_s, controllers);
        while self.rate_limiter.has_token() {
            let due = if self.session.is_loaded { self.next_job_to_write() } else { None };
            // Submissions go first, but under load every other change is left to updates of jobs.
            if self.submitting.changes_owed == 0 || due.is_none() {
                let sent = self.flush_submissions();
                if sent > 0 {
                    // Changes are owed only if a job was waiting. Otherwise the submissions of a
                    // busy hour would delay later submissions.
                    self.submitting.changes_owed +=
                        if due.is_some() { self.changes_owed_for(sent) } else { 0 };
                    continue;
                }
            }
            let Some(job) = due else { return };
            self.submitting.changes_owed = self.submitting.changes_owed.saturating_sub(1);
            self.send_job_transaction(job);
        }
    }

    /// The job whose transaction has the highest weight now, by the number of starts and ends that
    /// it records, how long they have waited, and their urgency. The weight grows with the waiting
    /// time, so no job starves.
    fn next_job_to_write(&mut self) -> Option<JobId> {
        let now = self.now;
        let ample = self.rate_limiter.has_spare_changes();
        let mut best: Option<((bool, u64), JobId)> = None;
        let mut unsent = std::mem::take(&mut self.dirty_jobs);
        unsent.retain(|id| {
            self.job_states.get(id).is_some_and(|s| s.transaction_in_flight || s.has_updates())
        });
        for id in &unsent {
            let Some(job_state) = self.job_states.get_mut(id) else { continue };
            if job_state.transaction_in_flight
                || job_state.stale_since.is_some()
                || job_state.not_before > now
            {
                continue;
            }
            let waited_ms = now.since(*job_state.pending_since.get_or_insert(now));
            let job_state = &self.job_states[id];
            // A job that has no live record any more is handled at once, like a cancellation.
            let pending_updates = match self.cache.jobs.get(id) {
                Some(cached) => self.pending_updates(id, job_state, cached),
                None => PendingUpdates { cancel_requested: true, ..PendingUpdates::default() },
            };
            let is_due = pending_updates.is_due(waited_ms);
            // Step reports are batched even while change rate is available: no user waits for them.
            let only_steps = pending_updates.member_reports > 0 && job_state.ends.is_empty();
            if !is_due && (!ample || only_steps) {
                continue;
            }
            let weight = (is_due, pending_updates.priority(waited_ms));
            if best.as_ref().is_none_or(|b| weight > b.0) {
                best = Some((weight, id.clone()));
            }
        }
        self.dirty_jobs = unsent;
        best.map(|b| b.1)
    }

    fn pending_updates(
        &self,
        id: &JobId,
        job_state: &LocalJobState,
        cached: &CachedJob,
    ) -> PendingUpdates {
        let spec = &cached.record.spec;
        let done = job_state.ends.iter().filter(|e| e.done).count() as u32;
        let starts = job_state.placement_requests.iter().map(|w| w.tasks).sum();
        let claimed_in_owned_pools: u32 = cached
            .claims_by_pool
            .iter()
            .filter(|(p, _)| self.pools.owned.contains_key(p))
            .map(|p| p.1)
            .sum();
        let completes_job = cached.done + done >= spec.tasks;
        let record_writes = match cached.record.in_parts() {
            true => self.changed_part_count(job_state, cached) + u32::from(starts > 0),
            // One more to write the archive record when the job's record is deleted.
            false => 1 + u32::from(completes_job),
        };
        // A suspect job cannot start tasks before its backoff ends, so its failures can be batched
        // too.
        let lost = job_state.ends.len() as u32 - done;
        let (done, lost) =
            if lost > 0 && self.is_suspect(id, cached) { (done + lost, 0) } else { (done, lost) };
        let limited = self.cfg.team(&spec.team).is_some_and(|t| t.is_limited());
        let max_delay_ms = if limited { MIN_BATCHING_DELAY_MS } else { MAX_BATCHING_DELAY_MS };
        PendingUpdates {
            done,
            lost,
            claims: starts,
            member_reports: job_state.member_reports.len() as u32,
            idle_members: job_state.member_reports.iter().filter(|r| r.idle).count() as u32,
            cancel_requested: job_state.cancel_requested,
            work_done: job_state.completion_pending,
            completes_job,
            running_here: claimed_in_owned_pools.saturating_sub(job_state.ends.len() as u32),
            unclaimed: cached.unclaimed(),
            record_writes,
            urgency: match spec.urgency {
                Urgency::Critical => 4,
                Urgency::High => 3,
                Urgency::Normal => 2,
                Urgency::BestEffort => 1,
            },
            max_delay_ms: ((spec.estimate_s * 1000.0) as u64)
                .clamp(MIN_BATCHING_DELAY_MS, max_delay_ms),
            can_batch_reports: crate::jobs::step_reports::can_batch(
                &job_state.member_reports,
                self.now,
            ),
        }
    }

    /// Number of parts in which claim ends wait to be recorded.
    fn changed_part_count(&self, job_state: &LocalJobState, cached: &CachedJob) -> u32 {
        let mut parts: Vec<u32> =
            job_state.ends.iter().filter_map(|e| part_of(&cached.record, e.ix)).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.len() as u32
    }

    /// The parts whose claim ends are recorded now; `None` for a job in one record.
    fn select_parts(&self, job: &JobId, job_state: &LocalJobState) -> Option<Selection> {
        let cached = self.cache.jobs.get(job).filter(|job| job.record.in_parts())?;
        let mut parts: BTreeMap<u32, PendingPartUpdates> = BTreeMap::new();
        for end in &job_state.ends {
            let part = parts.entry(end.ix.0 / crate::store::records::TASKS_PER_PART).or_default();
            *if end.done { &mut part.done } else { &mut part.lost } += 1;
        }
        let tables = self.cache.parts.get(job);
        for (number, pending_updates) in &mut parts {
            let Some(part) = tables.and_then(|t| t.get(number)) else { continue };
            let table = &part.value;
            let claimed = |only_owned: bool| -> u32 {
                let groups = table.claims.iter();
                let groups =
                    groups.filter(|g| !only_owned || self.pools.owned.contains_key(&g.pool));
                groups.map(|g| g.tasks.len() as u32).sum()
            };
            let (from, to) = cached.record.part_range(*number);
            pending_updates.unclaimed =
                (to - from).saturating_sub(table.done_count() + claimed(false));
            pending_updates.running_here =
                claimed(true).saturating_sub(pending_updates.done + pending_updates.lost);
        }
        let waited_ms = job_state.pending_since.map_or(0, |s| self.now.since(s));
        let pending_updates = self.pending_updates(job, job_state, cached);
        let select_all = pending_updates.is_final()
            || waited_ms >= pending_updates.max_delay_ms
            || self.rate_limiter.has_spare_changes();
        Some(Selection::new(&parts, select_all, self.rate_limiter.max_changes()))
    }

    /// Rank of this controller among the live controllers, and their number.
    pub(crate) fn controller_rank(&self) -> (usize, usize) {
        let controllers = &self.cache.controllers;
        let rank = controllers.keys().position(|n| *n == self.cfg.controller_id).unwrap_or(0);
        (rank, controllers.len())
    }

    /// Marks the job as having updates that wait to be recorded.
    pub(crate) fn mark_pending_updates(&mut self, job: &JobId) {
        self.flush_due = true;
        if !self.dirty_jobs.contains(job) {
            self.dirty_jobs.insert(job.clone());
        }
    }

    fn send_job_transaction(&mut self, job: JobId) {
        let selection = self.job_states.get(&job).and_then(|s| self.select_parts(&job, s));
        let Some(tx) = self.build_job_transaction(&job, selection) else {
            // Nothing can be written now. Without a delay `flush` would select the same job again
            // and never return.
            let retry_at = self.now.plus(100);
            if let Some(job_state) = self.job_states.get_mut(&job).filter(|s| s.has_updates()) {
                job_state.not_before = job_state.not_before.max(retry_at);
            }
            return;
        };
        let Some(job_state) = self.job_states.get_mut(&job) else {
            return;
        };
        job_state.transaction_in_flight = true;
        job_state.pending_since = None;
        let txn = tx.txn.clone();
        self.call_store(CallPriority::Claim, StoreRequest::Txn(txn), Pending::Job(Box::new(tx)));
    }
}
