//! Changes to a job's records: ends, claims and cancellation, each one guarded transaction.
//!
//! One transaction per job is under way at a time. An unknown outcome is met by sending the
//! very same transaction again: if it was executed, its guards fail now, and the next reading
//! shows what stands. Until then nothing is built on it.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, Response, StoreReply};
use crate::jobs::draft::{ClaimBounds, Draft};
use crate::jobs::state::{ClaimEnd, JobTransaction, LocalJobState, Outcome};
use crate::jobs::step_reports::{judge, write, JudgedReports};
use crate::store::cache::{CachedJob, ProgressMap, StateCache};
use crate::store::records::{archive_key, job_key, status, ArchiveRecord};
use crate::store::sent::Sent;
use cleatfold_elastic::{Progress, Verdict};
use cleatfold_wire::job::{JobState, JobStatus};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::{Attempt, JobId, MachineId, PoolId, TaskIx, Version, ZoneId};
use cleatfold_write_batching::Selection;
use std::collections::{BTreeMap, BTreeSet};

/// Guards that the state service takes in one transaction, per change that it takes.
const GUARDS_PER_CHANGE: usize = 4;
/// Changes of a transaction that are kept for the head, the archive and the end of a part.
const RESERVED_CHANGES: usize = 4;

impl Controller {
    pub(crate) fn job_state(&mut self, job: &JobId) -> &mut LocalJobState {
        self.job_states.entry(job.clone()).or_default()
    }

    /// The job left the live records: answer who waits by the archive.
    pub(crate) fn discard_job_state(&mut self, job: &JobId) {
        let Some(job_state) = self.job_states.get_mut(job) else {
            return;
        };
        let rids = std::mem::take(&mut job_state.withdrawals);
        let member_reports = std::mem::take(&mut job_state.member_reports);
        if !job_state.busy {
            self.job_states.remove(job);
        }
        for a in member_reports {
            self.wait(a.rid, job.clone(), crate::controller::WaitReason::Steps(a.report));
        }
        for rid in rids {
            self.wait(rid, job.clone(), crate::controller::WaitReason::Withdraw);
        }
    }

    /// A claim whose end is proven and waits to be recorded: the task is on no machine any more.
    pub(crate) fn is_ending(&self, job: &JobId, ix: TaskIx, attempt: Attempt) -> bool {
        self.job_states.get(job).is_some_and(|l| l.is_ending(ix, attempt))
    }

    pub(crate) fn end(&mut self, job: &JobId, end: ClaimEnd) {
        self.note_unsent(job);
        let job_state = self.job_state(job);
        match job_state.ends.iter_mut().find(|e| e.ix == end.ix && e.attempt == end.attempt) {
            // A proof for ever replaces one that needs our token.
            Some(known) if known.fence.is_some() && end.fence.is_none() => *known = end,
            Some(_) => {}
            None => job_state.ends.push(end),
        }
    }

    /// Builds the transaction that records what waits of a job: ends, reports of steps, claims and a
    /// cancellation. None if there is nothing to be written, whatever waits then being answered.
    pub(crate) fn build(
        &mut self,
        job: &JobId,
        selection: Option<Selection>,
    ) -> Option<JobTransaction> {
        let bounds = self.claim_bounds(job);
        // Each touched part is one change; the head, the archive and a part's end need some.
        let max_parts = self.cfg.max_txn_changes.saturating_sub(RESERVED_CHANGES).max(1);
        let max_parts = max_parts.min(self.rate_limiter.max_changes());
        let job_state = self.job_states.get_mut(job)?;
        let placements = std::mem::take(&mut job_state.placement_requests);
        let Some(cached) = self.cache.jobs.get(job) else {
            // Gone meanwhile: what it still wanted is moot.
            job_state.ends.clear();
            job_state.abort = false;
            return None;
        };
        let parts = self.cache.parts.get(job);
        let mut draft = Draft::new(job, cached, parts, max_parts, self.wall_ms);
        let pools = &self.pools;
        let owns = |pool: &PoolId, token| pools.owns(pool, token);

        let mut ends = draft.record_ends(&job_state.ends, selection.as_ref(), owns);
        let mut steps =
            self.cache.progress_of(job).map_or_else(JudgedReports::default, |progress| {
                let known = self.cache.progress.get(job);
                judge_steps(&mut draft, job_state, progress, known, max_parts)
            });
        job_state.over = false;
        let mut claims = Vec::new();
        if !draft.record.aborted && !job_state.abort {
            claims = draft.claim(placements, bounds, owns);
        }
        draft.record_postponed(&mut ends);
        // What no longer stands in the record was settled by someone else.
        job_state.ends.retain(|e| !ends.void.contains(e));
        if job_state.abort && !draft.record.aborted && draft.done < draft.record.spec.tasks {
            draft.record.aborted = true;
            draft.head_changed = true;
        }
        let end = final_state(&draft, cached, &steps, self.cache.applied);
        draft.write_parts();

        let mut withdrawals = Vec::new();
        if job_state.abort {
            withdrawals = std::mem::take(&mut job_state.withdrawals);
        }
        if end.is_none() && draft.is_empty() {
            // Nothing left to say (an abort of an aborted job, an end that was settled).
            job_state.abort = false;
            let state = if draft.record.aborted { JobState::Aborted } else { JobState::Queued };
            let status = status(job, state, draft.done, draft.claimed);
            self.answer_withdrawals(withdrawals, &status);
            // What these steps rest on was read from the state service: it is durable.
            self.answer_steps(std::mem::take(&mut steps.verdicts));
            return None;
        }
        let result = finish(&mut draft, end, &steps, &self.cache, self.wall_ms);
        Some(JobTransaction {
            job: job.clone(),
            txn: draft.txn,
            doubtful: false,
            sent: Sent::now(self.now),
            ends: ends.recorded,
            claims,
            withdrawals,
            result,
            steps,
        })
    }

    /// What bounds the claims of the job's next transaction.
    fn claim_bounds(&self, job: &JobId) -> ClaimBounds {
        let cached = self.cache.jobs.get(job);
        let (pausing, max_tasks) =
            cached.map_or_else(Default::default, |cached| self.claimable(job, cached));
        ClaimBounds {
            pausing,
            max_tasks,
            // A quarter is left for pools and whatever else claims are guarded by.
            max_guards: self.cfg.max_txn_changes * (GUARDS_PER_CHANGE - 1),
            rank: self.rank(),
            by_zone: self.spread_by_zone(job),
        }
    }

    /// Of a spread job, how many of its tasks are claimed in each zone.
    fn spread_by_zone(&self, job: &JobId) -> BTreeMap<ZoneId, u32> {
        let mut by_zone: BTreeMap<ZoneId, u32> = BTreeMap::new();
        if self.cache.jobs.get(job).is_some_and(|cached| cached.record.spec.spread) {
            for group in self.cache.tables(job).flat_map(|table| &table.claims) {
                *by_zone.entry(group.pool.zone.clone()).or_default() += group.tasks.len() as u32;
            }
        }
        by_zone
    }

    fn answer_withdrawals(&mut self, rids: Vec<u64>, status: &JobStatus) {
        for rid in rids {
            self.reply(rid, Response::Status { code: 200, status: status.clone() });
        }
    }

    pub(crate) fn on_job_tx(&mut self, op: u64, mut tx: JobTransaction, reply: StoreReply) {
        match reply {
            StoreReply::Committed(version) => self.on_job_committed(tx, version),
            StoreReply::Unknown => {
                tx.doubtful = true;
                let txn = tx.txn.clone();
                self.again(op, CallPriority::Claim, txn, Pending::Job(Box::new(tx)), 200);
            }
            // Not executed this time, but an earlier sending may yet be.
            StoreReply::Refused if tx.doubtful => {
                let txn = tx.txn.clone();
                self.again(op, CallPriority::Claim, txn, Pending::Job(Box::new(tx)), 500);
            }
            reply => {
                let conflict = matches!(reply, StoreReply::Conflict(_));
                let (now, event) = (self.now, self.event);
                if conflict {
                    tracing::debug!(job = %tx.job, "transaction conflict");
                    self.session.sync_wanted = true;
                    if tx.doubtful {
                        // It may have been executed after all: its claims count against the
                        // team's limit, but only the next reading shows them.
                        self.quota.blind = Some(event);
                    }
                }
                let contact = self.in_contact();
                let job_state = self.job_state(&tx.job);
                job_state.busy = false;
                if conflict {
                    job_state.stale_since = Some(event);
                } else {
                    job_state.not_before = now.plus(500);
                }
                if !tx.withdrawals.is_empty() {
                    if conflict || contact {
                        job_state.withdrawals.append(&mut tx.withdrawals);
                    } else {
                        // The state service is away: say so now; the user comes back.
                        job_state.abort = false;
                    }
                }
                // Members are judged anew by what stands then.
                job_state.member_reports.extend(
                    tx.steps.verdicts.into_iter().map(|(member_reports, _)| member_reports),
                );
                for rid in tx.withdrawals {
                    self.reply(rid, Response::later("the state service does not answer"));
                }
                self.note_unsent(&tx.job);
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
        // Each key by its version, like any news: a reading may have shown what others made of it since, also
        // that it is gone. (A part that came back so counted its completed tasks twice.)
        for change in &tx.txn.changes {
            match (&change.put, &change.value, &change.delete) {
                (Some(key), Some(value), _) => self.cache.set(key, value.get(), version),
                (_, _, Some(key)) => self.cache.remove(key, version),
                _ => {}
            }
        }
        self.answer_steps(tx.steps.verdicts);
        let status = self.note_outcome(&job, tx.result);
        if status.state == JobState::Aborted {
            self.note_confirmed(&job);
        }
        self.answer_withdrawals(tx.withdrawals, &status);
        let is_gone = !self.cache.jobs.contains_key(&job);
        let job_state = self.job_state(&job);
        job_state.busy = false;
        let recorded: BTreeSet<(TaskIx, Attempt)> =
            tx.ends.iter().map(|e| (e.ix, e.attempt)).collect();
        job_state.ends.retain(|e| !recorded.contains(&(e.ix, e.attempt)));
        if status.state == JobState::Aborted {
            job_state.abort = false;
        }
        if is_gone {
            self.discard_job_state(&job);
        }
        for other in std::mem::take(&mut self.cache.gone) {
            self.discard_job_state(&other);
        }
        let claimed: Vec<MachineId> = tx.claims.iter().map(|c| c.0.machine.clone()).collect();
        self.answer_long_polls(&claimed);
        self.replan_needed = true;
        self.tell(None, Message::Changed);
    }

    /// What the job's user is told after a transaction.
    fn note_outcome(&mut self, job: &JobId, outcome: Outcome) -> JobStatus {
        match outcome {
            Outcome::Active { aborted } => {
                let state = if aborted { JobState::Aborted } else { JobState::Running };
                let cached = self.cache.jobs.get(job);
                let (done, claimed) = cached.map_or((0, 0), |cached| (cached.done, cached.claimed));
                status(job, state, done, claimed)
            }
            Outcome::Ended(archive) => {
                tracing::info!(%job, state = ?archive.state, "job ended");
                let status = status(job, archive.state, archive.done, 0);
                self.find_ended_losses(job, &archive);
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

/// Judges the reports of an elastic job's members, and adds what they change to the draft.
fn judge_steps(
    draft: &mut Draft,
    job_state: &mut LocalJobState,
    progress: Progress,
    known: Option<&ProgressMap>,
    max_parts: usize,
) -> JudgedReports {
    let finished = progress.finished();
    if draft.record.aborted {
        // What stays here would be looked at for ever.
        let cancelled = Verdict::Rejected("the job is cancelled");
        let reports = job_state.member_reports.drain(..);
        let verdicts = reports.map(|report| (report, cancelled.clone())).collect();
        return JudgedReports { verdicts, finished, ..JudgedReports::default() };
    }
    if job_state.abort {
        return JudgedReports { finished, ..JudgedReports::default() };
    }
    let steps = judge(progress, &draft.record, &mut job_state.member_reports, max_parts);
    write(&mut draft.txn, &draft.record.spec.id, known, &steps);
    steps
}

/// Writes how the job stands, or how it has ended.
fn finish(
    draft: &mut Draft,
    end: Option<JobState>,
    steps: &JudgedReports,
    cache: &StateCache,
    wall_ms: u64,
) -> Outcome {
    let key = job_key(&draft.record.spec.id);
    let Some(state) = end else {
        if draft.head_changed {
            draft.txn.put(key, &draft.record, None);
        }
        return Outcome::Active { aborted: draft.record.aborted };
    };
    let archive = archive_record(draft, state, steps, cache, wall_ms);
    draft.txn.put(archive_key(&draft.record.spec.id), &archive, None);
    draft.txn.delete(key);
    Outcome::Ended(archive)
}

/// How the job ends with this draft, if it does.
fn final_state(
    draft: &Draft,
    cached: &CachedJob,
    steps: &JudgedReports,
    applied: Version,
) -> Option<JobState> {
    let record = &draft.record;
    // Of an elastic job what has to be done are its steps; its members must be gone, for
    // as long as one is on a machine it counts against its team's limit.
    let all_done = match record.spec.elastic {
        Some(_) => steps.complete && draft.claimed == 0,
        None => draft.done >= record.spec.tasks,
    };
    if all_done && !record.aborted {
        return Some(JobState::Done);
    }
    // A claim in a part does not change the head. Whoever cancels may not have read one that was made
    // before; once the cancelled head itself was read none is missing, and none can be added.
    let all_read = !record.in_parts() || (cached.record.aborted && cached.version <= applied);
    (record.aborted && draft.claimed == 0 && all_read).then_some(JobState::Aborted)
}

fn archive_record(
    draft: &Draft,
    state: JobState,
    steps: &JudgedReports,
    cache: &StateCache,
    wall_ms: u64,
) -> ArchiveRecord {
    let record = &draft.record;
    let job = &record.spec.id;
    let mut losses = record.table.losses.clone();
    for part in cache.parts.get(job).into_iter().flat_map(|p| p.values()) {
        losses.take(part.value.losses.clone());
    }
    ArchiveRecord {
        state,
        done: record.spec.elastic.as_ref().map_or(draft.done, |_| steps.finished),
        team: record.spec.team.clone(),
        losses,
        summary: Some(cache.summary(job, record, wall_ms)),
    }
}
