//! Transactions on a job's records. Claim ends, new claims, step reports and cancellation are
//! written in one guarded transaction.
//!
//! At most one transaction per job is in flight. After an unknown outcome the same transaction is
//! sent again: if it had been executed, its guards now fail, and the next read shows the current
//! records. Until then no decision depends on its outcome.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, Response, StoreReply};
use crate::jobs::draft::{ClaimLimits, Draft};
use crate::jobs::state::{ClaimEnd, JobOutcome, JobTransaction, LocalJobState};
use crate::jobs::step_reports::{evaluate_reports, write_progress, EvaluatedReports};
use crate::store::cache::{CachedJob, ProgressMap, StateCache};
use crate::store::records::{archive_key, job_key, job_status, ArchiveRecord};
use crate::store::send_status::SendStatus;
use cleatfold_elastic::{Progress, Verdict};
use cleatfold_wire::job::{JobState, JobStatus};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::{Attempt, JobId, MachineId, PoolId, TaskIx, Version, ZoneId};
use cleatfold_write_batching::Selection;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of guards in a transaction, per change that the state service accepts in one.
const GUARDS_PER_CHANGE: usize = 4;
/// Changes of a transaction that are reserved for the head, the archive record and completed parts.
const RESERVED_CHANGES: usize = 4;

impl Controller {
    /// The local state of the job, created if it is missing.
    pub(crate) fn job_state(&mut self, job: &JobId) -> &mut LocalJobState {
        self.job_states.entry(job.clone()).or_default()
    }

    /// Drops the local state of a job that has no live record any more. Requests that wait for it
    /// are answered from the archive.
    pub(crate) fn discard_job_state(&mut self, job: &JobId) {
        let Some(job_state) = self.job_states.get_mut(job) else {
            return;
        };
        let rids = std::mem::take(&mut job_state.withdrawals);
        let member_reports = std::mem::take(&mut job_state.member_reports);
        if !job_state.transaction_in_flight {
            self.job_states.remove(job);
        }
        for r in member_reports {
            self.wait_for_read(r.rid, job.clone(), crate::controller::WaitReason::Steps(r.report));
        }
        for rid in rids {
            self.wait_for_read(rid, job.clone(), crate::controller::WaitReason::Withdraw);
        }
    }

    /// Whether the claim's end is proven and waits to be recorded: the task runs on no machine any
    /// more.
    pub(crate) fn is_ending(&self, job: &JobId, ix: TaskIx, attempt: Attempt) -> bool {
        self.job_states.get(job).is_some_and(|s| s.is_ending(ix, attempt))
    }

    /// Queues the end of a claim to be recorded.
    pub(crate) fn queue_claim_end(&mut self, job: &JobId, end: ClaimEnd) {
        self.mark_pending_updates(job);
        let job_state = self.job_state(job);
        match job_state.ends.iter_mut().find(|e| e.ix == end.ix && e.attempt == end.attempt) {
            // A final proof replaces one that depends on this controller's ownership of the pool.
            Some(queued) if queued.fence.is_some() && end.fence.is_none() => *queued = end,
            Some(_) => {}
            None => job_state.ends.push(end),
        }
    }

    /// Builds the transaction that records a job's pending updates: claim ends, step reports,
    /// claims and cancellation. None if there is nothing to write; waiting requests are then
    /// answered.
    pub(crate) fn build_job_transaction(
        &mut self,
        job: &JobId,
        selection: Option<Selection>,
    ) -> Option<JobTransaction> {
        let limits = self.claim_limits(job);
        // Each changed part is one change; some are reserved for other records.
        let max_parts = self.cfg.max_txn_changes.saturating_sub(RESERVED_CHANGES).max(1);
        let max_parts = max_parts.min(self.rate_limiter.max_changes());
        let job_state = self.job_states.get_mut(job)?;
        let placements = std::mem::take(&mut job_state.placement_requests);
        let Some(cached) = self.cache.jobs.get(job) else {
            // The job has ended in the meantime; its pending updates are obsolete.
            job_state.ends.clear();
            job_state.cancel_requested = false;
            return None;
        };
        let parts = self.cache.parts.get(job);
        let mut draft = Draft::new(job, cached, parts, max_parts, self.wall_ms);
        let pools = &self.pools;
        let owns = |pool: &PoolId, token| pools.owns(pool, token);

        let mut ends = draft.record_ends(&job_state.ends, selection.as_ref(), owns);
        let mut steps =
            self.cache.progress_of(job).map_or_else(EvaluatedReports::default, |progress| {
                let cached = self.cache.progress.get(job);
                evaluate_step_reports(&mut draft, job_state, progress, cached, max_parts)
            });
        job_state.completion_pending = false;
        let mut claims = Vec::new();
        if !draft.record.aborted && !job_state.cancel_requested {
            claims = draft.claim(placements, limits, owns);
        }
        draft.record_postponed(&mut ends);
        // Claims that are no longer in the record were ended by another controller.
        job_state.ends.retain(|e| !ends.obsolete.contains(e));
        if job_state.cancel_requested
            && !draft.record.aborted
            && draft.done < draft.record.spec.tasks
        {
            draft.record.aborted = true;
            draft.head_changed = true;
        }
        let final_state = final_state(&draft, cached, &steps, self.cache.applied_revision);
        draft.write_parts();

        let mut withdrawals = Vec::new();
        if job_state.cancel_requested {
            withdrawals = std::mem::take(&mut job_state.withdrawals);
        }
        if final_state.is_none() && draft.is_empty() {
            // Nothing to write: for example the job is already cancelled, or the claim end is
            // already recorded.
            job_state.cancel_requested = false;
            let state = if draft.record.aborted { JobState::Aborted } else { JobState::Queued };
            let status = job_status(job, state, draft.done, draft.claimed);
            self.answer_withdrawals(withdrawals, &status);
            // The verdicts on the reports depend only on records read from the state service, which
            // are durable.
            self.answer_step_reports(std::mem::take(&mut steps.verdicts));
            return None;
        }
        let outcome = write_outcome(&mut draft, final_state, &steps, &self.cache, self.wall_ms);
        Some(JobTransaction {
            job: job.clone(),
            txn: draft.txn,
            maybe_executed: false,
            sent: SendStatus::new(self.now),
            ends: ends.recorded,
            claims,
            withdrawals,
            outcome,
            steps,
        })
    }

    /// Limits on the claims of the job's next transaction.
    fn claim_limits(&self, job: &JobId) -> ClaimLimits {
        let cached = self.cache.jobs.get(job);
        let (backing_off, max_tasks) =
            cached.map_or_else(Default::default, |cached| self.claim_restrictions(job, cached));
        ClaimLimits {
            backing_off,
            max_tasks,
            // A quarter is reserved for pools and other records that claims are guarded by.
            max_guards: self.cfg.max_txn_changes * (GUARDS_PER_CHANGE - 1),
            controller_rank: self.controller_rank(),
            claimed_by_zone: self.claimed_by_zone(job),
        }
    }

    /// Claimed tasks of a spread job by zone; empty for other jobs.
    fn claimed_by_zone(&self, job: &JobId) -> BTreeMap<ZoneId, u32> {
        let mut claimed: BTreeMap<ZoneId, u32> = BTreeMap::new();
        if self.cache.jobs.get(job).is_some_and(|cached| cached.record.spec.spread) {
            for group in self.cache.tables(job).flat_map(|table| &table.claims) {
                *claimed.entry(group.pool.zone.clone()).or_default() += group.tasks.len() as u32;
            }
        }
        claimed
    }

    fn answer_withdrawals(&mut self, rids: Vec<u64>, status: &JobStatus) {
        for rid in rids {
            self.reply(rid, Response::Status { code: 200, status: status.clone() });
        }
    }

    /// Handles the reply to a job transaction.
    pub(crate) fn on_job_transaction(
        &mut self,
        op: u64,
        mut tx: JobTransaction,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Committed(version) => self.on_job_committed(tx, version),
            StoreReply::Unknown => {
                tx.maybe_executed = true;
                let txn = tx.txn.clone();
                self.schedule_resend(op, CallPriority::Claim, txn, Pending::Job(Box::new(tx)), 200);
            }
            // This send was not executed, but an earlier one may still be.
            StoreReply::Refused if tx.maybe_executed => {
                let txn = tx.txn.clone();
                self.schedule_resend(op, CallPriority::Claim, txn, Pending::Job(Box::new(tx)), 500);
            }
            reply => {
                let conflict = matches!(reply, StoreReply::Conflict(_));
                let (now, event) = (self.now, self.event);
                if conflict {
                    tracing::debug!(job = %tx.job, "transaction conflict");
                    self.session.sync_wanted = true;
                    if tx.maybe_executed {
                        // An earlier send may have been executed: its claims would count against
                        // the team's limit, but only the next read shows them.
                        self.quota.unread_claims_since = Some(event);
                    }
                }
                let in_contact = self.has_store_contact();
                let job_state = self.job_state(&tx.job);
                job_state.transaction_in_flight = false;
                if conflict {
                    job_state.stale_since = Some(event);
                } else {
                    job_state.not_before = now.plus(500);
                }
                if !tx.withdrawals.is_empty() {
                    if conflict || in_contact {
                        job_state.withdrawals.append(&mut tx.withdrawals);
                    } else {
                        // The state service is unavailable: answer now; the user retries.
                        job_state.cancel_requested = false;
                    }
                }
                // The reports are evaluated again on the records that are current then.
                job_state
                    .member_reports
                    .extend(tx.steps.verdicts.into_iter().map(|(member_report, _)| member_report));
                for rid in tx.withdrawals {
                    self.reply(rid, Response::retry_later("the state service does not answer"));
                }
                self.mark_pending_updates(&tx.job);
                if !self.cache.jobs.contains_key(&tx.job) {
                    self.discard_job_state(&tx.job);
                }
                self.replan_needed = true;
            }
        }
    }

    fn on_job_committed(&mut self, tx: JobTransaction, version: Version) {
        log_committed(&tx);
        let job = tx.job;
        // Apply each change by version: a read may already have shown a later change or deletion of
        // the key. (Restoring a deleted part would count its completed tasks twice.)
        for change in &tx.txn.changes {
            match (&change.put, &change.value, &change.delete) {
                (Some(key), Some(value), _) => self.cache.set(key, value.get(), version),
                (_, _, Some(key)) => self.cache.remove(key, version),
                _ => {}
            }
        }
        self.answer_step_reports(tx.steps.verdicts);
        let status = self.apply_outcome(&job, tx.outcome);
        if status.state == JobState::Aborted {
            self.on_cancellation_committed(&job);
        }
        self.answer_withdrawals(tx.withdrawals, &status);
        let has_ended = !self.cache.jobs.contains_key(&job);
        let job_state = self.job_state(&job);
        job_state.transaction_in_flight = false;
        let recorded: BTreeSet<(TaskIx, Attempt)> =
            tx.ends.iter().map(|e| (e.ix, e.attempt)).collect();
        job_state.ends.retain(|e| !recorded.contains(&(e.ix, e.attempt)));
        if status.state == JobState::Aborted {
            job_state.cancel_requested = false;
        }
        if has_ended {
            self.discard_job_state(&job);
        }
        for other in std::mem::take(&mut self.cache.removed_jobs) {
            self.discard_job_state(&other);
        }
        let claimed: Vec<MachineId> = tx.claims.iter().map(|c| c.0.machine.clone()).collect();
        self.answer_long_polls(&claimed);
        self.replan_needed = true;
        self.send_to_peers(None, Message::Changed);
    }

    /// Applies the outcome of a committed transaction and returns the job's status.
    fn apply_outcome(&mut self, job: &JobId, outcome: JobOutcome) -> JobStatus {
        match outcome {
            JobOutcome::Active { aborted } => {
                let state = if aborted { JobState::Aborted } else { JobState::Running };
                let cached = self.cache.jobs.get(job);
                let (done, claimed) = cached.map_or((0, 0), |cached| (cached.done, cached.claimed));
                job_status(job, state, done, claimed)
            }
            JobOutcome::Ended(archive) => {
                tracing::info!(%job, state = ?archive.state, "job ended");
                let status = job_status(job, archive.state, archive.done, 0);
                self.record_ended_job_losses(job, &archive);
                self.terminal_jobs.insert(job.clone(), archive);
                status
            }
        }
    }
}

fn log_committed(tx: &JobTransaction) {
    for end in &tx.ends {
        tracing::info!(
            job = %tx.job, task = end.ix.0, attempt = end.attempt.0, machine = %end.machine,
            why = %end.reason, "task ended"
        );
    }
    for (placement, tasks) in &tx.claims {
        tracing::info!(
            job = %tx.job, tasks = tasks.len(), machine = %placement.machine,
            pool = %placement.pool, fencing_token = placement.token.0, "claimed"
        );
    }
}

/// Evaluates the step reports of an elastic job's members, and adds their changes to the draft.
fn evaluate_step_reports(
    draft: &mut Draft,
    job_state: &mut LocalJobState,
    progress: Progress,
    cached: Option<&ProgressMap>,
    max_parts: usize,
) -> EvaluatedReports {
    let finished = progress.finished();
    if draft.record.aborted {
        // Refuse all reports: any that stayed queued would keep the job due for writing forever.
        let cancelled = Verdict::Rejected("the job is cancelled");
        let reports = job_state.member_reports.drain(..);
        let verdicts = reports.map(|report| (report, cancelled.clone())).collect();
        return EvaluatedReports { verdicts, finished, ..EvaluatedReports::default() };
    }
    if job_state.cancel_requested {
        return EvaluatedReports { finished, ..EvaluatedReports::default() };
    }
    let steps = evaluate_reports(progress, &draft.record, &mut job_state.member_reports, max_parts);
    write_progress(&mut draft.txn, &draft.record.spec.id, cached, &steps);
    steps
}

/// Writes the job's record, or its archive record if the job ends.
fn write_outcome(
    draft: &mut Draft,
    final_state: Option<JobState>,
    steps: &EvaluatedReports,
    cache: &StateCache,
    wall_ms: u64,
) -> JobOutcome {
    let key = job_key(&draft.record.spec.id);
    let Some(state) = final_state else {
        if draft.head_changed {
            draft.txn.put(key, &draft.record, None);
        }
        return JobOutcome::Active { aborted: draft.record.aborted };
    };
    let archive = archive_record(draft, state, steps, cache, wall_ms);
    draft.txn.put(archive_key(&draft.record.spec.id), &archive, None);
    draft.txn.delete(key);
    JobOutcome::Ended(archive)
}

/// The final state of the job if it ends with this draft.
fn final_state(
    draft: &Draft,
    cached: &CachedJob,
    steps: &EvaluatedReports,
    applied: Version,
) -> Option<JobState> {
    let record = &draft.record;
    // An elastic job is done when all its steps are finished and no member is claimed any more: as
    // long as a member is on a machine it counts against its team's limit.
    let all_done = match record.spec.elastic {
        Some(_) => steps.complete && draft.claimed == 0,
        None => draft.done >= record.spec.tasks,
    };
    if all_done && !record.aborted {
        return Some(JobState::Done);
    }
    // A claim in a part does not change the head, so the cancelling controller may not have read an
    // earlier claim. Once a read has shown the cancelled head, no claim is missing from the cache
    // and none can be added.
    let all_claims_read =
        !record.in_parts() || (cached.record.aborted && cached.version <= applied);
    (record.aborted && draft.claimed == 0 && all_claims_read).then_some(JobState::Aborted)
}

fn archive_record(
    draft: &Draft,
    state: JobState,
    steps: &EvaluatedReports,
    cache: &StateCache,
    wall_ms: u64,
) -> ArchiveRecord {
    let record = &draft.record;
    let job = &record.spec.id;
    let mut losses = record.table.losses.clone();
    for part in cache.parts.get(job).into_iter().flat_map(|p| p.values()) {
        losses.merge(part.value.losses.clone());
    }
    ArchiveRecord {
        state,
        done: record.spec.elastic.as_ref().map_or(draft.done, |_| steps.finished),
        team: record.spec.team.clone(),
        losses,
        summary: Some(cache.summary(job, record, wall_ms)),
    }
}
