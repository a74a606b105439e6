//! Changes to a job's records: ends, claims and cancellation, each one guarded transaction.
//!
//! One transaction per job is under way at a time. An unknown outcome is met by sending the
//! very same transaction again: if it was executed, its guards fail now, and the next reading
//! shows what stands. Until then nothing is built on it.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, Effect, Response, StoreReply};
use crate::jobs::state::{part_of, ClaimEnd, JobTransaction, LocalJobState, Outcome};
use crate::jobs::step_reports::{judge, JudgedReports};
use crate::store::cache::PartMap;
use crate::store::records::{
    archive_key, job_key, part_key, pool_key, status, ArchiveRecord, JobRecord, Table, PART,
};
use crate::store::sent::Sent;
use cleatfold_elastic::Verdict;
use cleatfold_wire::job::{JobState, Kind};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::worker::Exit;
use cleatfold_wire::{Attempt, FencingToken, JobId, MachineId, PoolId, TaskIx, Version, ZoneId};
use cleatfold_write_batching::{claim_order, Selection};
use std::collections::{BTreeMap, BTreeSet};

/// Guards that the state service takes in one transaction, per change that it takes.
const GUARDS_PER_CHANGE: usize = 4;

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
    parts.and_then(|p| p.get(&part)).map(|p| p.0).unwrap_or_default()
}

/// The transaction fails if any part of the job has changed: a claim in a part does not change the job's record, so
/// one that we have not read would go unnoticed. False if that takes more guards than a transaction may have.
fn guard_parts(txn: &mut Txn, record: &JobRecord, parts: Option<&PartMap>, most: usize) -> bool {
    if !record.in_parts() {
        return true;
    }
    let open: Vec<u32> =
        (0..record.part_count()).filter(|part| !record.parts_done.contains(part)).collect();
    if txn.guards.len() + open.len() > most {
        return false;
    }
    for part in open {
        guard_once(txn, part_key(&record.spec.id, part), version_of_part(parts, part));
    }
    true
}

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

    pub(crate) fn build(
        &mut self,
        job: &JobId,
        selection: Option<Selection>,
    ) -> Option<JobTransaction> {
        let (rank, of) = self.rank();
        let (pausing, mut most) = match self.cache.jobs.get(job) {
            Some(live) => self.claimable(job, live),
            None => Default::default(),
        };
        let job_state = self.job_states.get_mut(job)?;
        let placement_requests = std::mem::take(&mut job_state.placement_requests);
        let Some(live) = self.cache.jobs.get(job) else {
            // Gone meanwhile: what it still wanted is moot.
            job_state.ends.clear();
            job_state.abort = false;
            return None;
        };
        let mut record = live.record.clone();
        // From now on the record's version is another: its place in the queue stays.
        record.place = Some(live.place());
        let parts = self.cache.parts.get(job);
        let mut touched: BTreeMap<u32, Table> = BTreeMap::new();
        let mut txn = Txn::default();
        txn.guard(job_key(job), live.version);
        let mut head_changed = false;
        let (mut done, mut claimed) = (live.done, live.claimed);
        // Each touched part is one change; the head, the archive and a part's end need some.
        let room = self.cfg.txn_ops.saturating_sub(4).max(1).min(self.rate_limiter.affords());

        fn table_of<'a>(
            record: &'a mut JobRecord,
            touched: &'a mut BTreeMap<u32, Table>,
            parts: Option<&PartMap>,
            part: Option<u32>,
        ) -> &'a mut Table {
            match part {
                None => &mut record.table,
                Some(part) => touched.entry(part).or_insert_with(|| {
                    parts.and_then(|p| p.get(&part)).map(|p| p.1.clone()).unwrap_or_default()
                }),
            }
        }

        let mut ended = Vec::new();
        let mut void = Vec::new();
        // Ends of parts that are written anyway are told with the claims, further down.
        let mut later = Vec::new();
        for end in &job_state.ends {
            if let Some((pool, token)) = &end.fence {
                if self.owned_since.get(pool).map(|o| o.0) != Some(*token) {
                    void.push(end.clone());
                    continue;
                }
            }
            let part = part_of(&record, end.ix);
            if let Some(part) = part.filter(|p| !touched.contains_key(p)) {
                let chosen = selection.as_ref().is_none_or(|s| s.contains(part));
                if !chosen || touched.len() >= room {
                    later.push(end.clone());
                    continue;
                }
            }
            let table = table_of(&mut record, &mut touched, parts, part);
            if table.end(&end.machine, end.ix, end.attempt, end.done) {
                head_changed |= part.is_none();
                claimed -= 1;
                table.ran_ms += end.ran_ms;
                done += u32::from(end.done);
                if let Some(cause) = end.loss() {
                    let lost = (end.ix, end.attempt);
                    table.losses.note(&end.machine, cause, self.wall_ms, lost);
                }
                if let Some((pool, token)) = &end.fence {
                    guard_pool(&mut txn, pool, *token);
                }
                ended.push(end.clone());
            } else {
                void.push(end.clone());
            }
        }
        let mut steps = JudgedReports::default();
        let known = self.cache.progress.get(job);
        if let Some(progress) = self.cache.progress_of(job) {
            if record.aborted {
                // What stays here would be looked at for ever.
                let cancelled = Verdict::Lost("the job is cancelled");
                steps.verdicts =
                    job_state.member_reports.drain(..).map(|a| (a, cancelled.clone())).collect();
                steps.finished = progress.finished();
            } else if job_state.abort {
                steps.finished = progress.finished();
            } else {
                steps = judge(progress, &record, &mut job_state.member_reports, room);
                crate::jobs::step_reports::write(&mut txn, job, known, &steps);
            }
        }
        job_state.over = false;

        let mut claims = Vec::new();
        if !record.aborted && !job_state.abort {
            let tasks = record.spec.tasks;
            let half = tasks.div_ceil(2);
            // A quarter is left for pools and whatever else claims are guarded by.
            let most_guards = self.cfg.txn_ops * (GUARDS_PER_CHANGE - 1);
            let mut by_zone: BTreeMap<ZoneId, u32> = BTreeMap::new();
            if record.spec.spread {
                for table in self.cache.tables(job) {
                    for group in &table.claims {
                        *by_zone.entry(group.pool.zone.clone()).or_default() +=
                            group.tasks.len() as u32;
                    }
                }
            }
            let before = (record.clone(), touched.clone(), txn.guards.len(), head_changed);
            let free_before = tasks - done - claimed;
            for placement in placement_requests {
                if self.owned_since.get(&placement.pool).map(|o| o.0) != Some(placement.token) {
                    continue;
                }
                let zone = &placement.pool.zone;
                if record.spec.one_zone {
                    match &record.zone {
                        Some(bound) if bound == zone => {}
                        // Bound while any task of it may run; then it may go on elsewhere. (A job whose zone
                        // had no machine left waited for ever beside free ones of other zones.)
                        Some(_)
                            if claimed > 0
                                || !guard_parts(&mut txn, &record, parts, most_guards) =>
                        {
                            continue
                        }
                        _ => {
                            record.zone = Some(zone.clone());
                            head_changed = true;
                        }
                    }
                }
                let mut want = placement.tasks.min(most);
                if record.spec.spread {
                    let here = by_zone.entry(zone.clone()).or_default();
                    want = want.min(half.saturating_sub(*here));
                    *here += want;
                }
                let pool = placement.pool.clone();
                let mut made = Vec::new();
                if record.in_parts() {
                    for part in claim_order(record.part_count(), rank, of) {
                        if made.len() as u32 >= want {
                            break;
                        }
                        if record.parts_done.contains(&part)
                            || (!touched.contains_key(&part) && touched.len() >= room)
                        {
                            continue;
                        }
                        let (from, to) = record.part_range(part);
                        let known = parts.and_then(|p| p.get(&part)).map(|p| &p.1);
                        let current = touched.get(&part).or(known);
                        let free = match current {
                            Some(t) => t.free(from, to),
                            None => (from..to).map(TaskIx).collect::<Vec<_>>(),
                        };
                        let free: Vec<TaskIx> =
                            free.into_iter().filter(|ix| !pausing.contains(ix)).collect();
                        if free.is_empty() {
                            continue;
                        }
                        let table = table_of(&mut record, &mut touched, parts, Some(part));
                        table.begun_ms.get_or_insert(self.wall_ms);
                        for ix in free.into_iter().take((want as usize) - made.len()) {
                            made.push((
                                ix,
                                table.claim(&placement.machine, placement.token, &pool, ix),
                            ));
                        }
                    }
                    // Guards of other claims of a spread or one-zone job must notice this one.
                    head_changed |= record.spec.spread;
                } else {
                    let table = &mut record.table;
                    let free = table.free(0, tasks).into_iter().filter(|ix| !pausing.contains(ix));
                    for ix in free.take(want as usize) {
                        made.push((
                            ix,
                            table.claim(&placement.machine, placement.token, &pool, ix),
                        ));
                    }
                    if !made.is_empty() {
                        table.begun_ms.get_or_insert(self.wall_ms);
                    }
                    head_changed |= !made.is_empty();
                }
                if !made.is_empty() {
                    most = most.saturating_sub(made.len() as u32);
                    claimed += made.len() as u32;
                    guard_pool(&mut txn, &placement.pool, placement.token);
                    claims.push((placement, made));
                }
            }
            let made: u32 = claims.iter().map(|c| c.1.len() as u32).sum();
            if record.spec.kind == Kind::Gang && made > 0 && made < free_before {
                // A gang is claimed whole or not at all.
                claims.clear();
                claimed -= made;
                (record, touched) = (before.0, before.1);
                txn.guards.truncate(before.2);
                head_changed = before.3;
            }
        }
        for end in later.into_iter().filter(|e| e.done) {
            let part = end.ix.0 / PART;
            let Some(table) = touched.get_mut(&part) else { continue };
            if table.end(&end.machine, end.ix, end.attempt, true) {
                table.ran_ms += end.ran_ms;
                claimed -= 1;
                done += 1;
                ended.push(end);
            } else {
                void.push(end);
            }
        }
        // What no longer stands in the record was settled by someone else.
        job_state.ends.retain(|e| !void.contains(e));
        if job_state.abort && !record.aborted && done < record.spec.tasks {
            record.aborted = true;
            head_changed = true;
        }
        // Of an elastic job what has to be done are its steps; its members must be gone, for
        // as long as one is on a machine it counts against its team's limit.
        let all_done = match record.spec.elastic {
            Some(_) => steps.complete && claimed == 0,
            None => done >= record.spec.tasks,
        };
        let finished = all_done && !record.aborted;
        // A claim in a part does not change the head. Whoever cancels may not have read one that was made
        // before; once the cancelled head itself was read none is missing, and none can be added.
        let all_read =
            !record.in_parts() || (live.record.aborted && live.version <= self.cache.applied);
        let over = finished || (record.aborted && claimed == 0 && all_read);
        for (part, table) in touched {
            let version = version_of_part(parts, part);
            guard_once(&mut txn, part_key(job, part), version);
            let (from, to) = record.part_range(part);
            if table.done_count() == to - from {
                // The part's record goes; what it lost stays with the job.
                record.table.losses.take(table.losses);
                record.table.ran_ms += table.ran_ms;
                record.table.begun_ms =
                    record.table.begun_ms.into_iter().chain(table.begun_ms).min();
                record.parts_done.push(part);
                head_changed = true;
                if version > Version(0) {
                    txn.delete(part_key(job, part));
                }
            } else {
                txn.put(part_key(job, part), &table, None);
            }
        }
        let withdrawals =
            if job_state.abort { std::mem::take(&mut job_state.withdrawals) } else { vec![] };
        let result = if over {
            let state = if finished { JobState::Done } else { JobState::Aborted };
            let done = record.spec.elastic.as_ref().map_or(done, |_| steps.finished);
            let mut losses = record.table.losses.clone();
            for table in self.cache.parts.get(job).into_iter().flat_map(|p| p.values()) {
                losses.take(table.1.losses.clone());
            }
            let team = record.spec.team.clone();
            let summary = Some(self.cache.summary(job, &record, self.wall_ms));
            let archive = ArchiveRecord { state, done, team, losses, summary };
            txn.put(archive_key(job), &archive, None);
            txn.delete(job_key(job));
            Outcome::Ended(archive)
        } else {
            if !head_changed && txn.changes.is_empty() {
                let verdicts = std::mem::take(&mut steps.verdicts);
                // Nothing left to say (an abort of an aborted job, an end that was settled).
                job_state.abort = false;
                let state = if record.aborted { JobState::Aborted } else { JobState::Queued };
                let body = status(job, state, done, claimed);
                for rid in withdrawals {
                    self.out.push(Effect::Reply {
                        rid,
                        response: Response::Status { code: 200, status: body.clone() },
                    });
                }
                // What these steps rest on was read from the state service: it is durable.
                self.answer_steps(verdicts);
                return None;
            }
            if head_changed {
                txn.put(job_key(job), &record, None);
            }
            Outcome::Active { aborted: record.aborted }
        };
        Some(JobTransaction {
            job: job.clone(),
            txn,
            doubtful: false,
            sent: Sent::now(self.now),
            ends: ended,
            claims,
            withdrawals,
            result,
            steps,
        })
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
                    tracing::debug!(job = %tx.job, "conflict");
                    self.want_sync = true;
                    if tx.doubtful {
                        // It may have been executed after all: its claims count against the
                        // team's limit, but only the next reading shows them.
                        self.limits.blind = Some(event);
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
        let job = tx.job;
        for end in &tx.ends {
            tracing::info!(
                job = %job, task = end.ix.0, attempt = end.attempt.0, machine = %end.machine,
                why = end.why, "task ended"
            );
        }
        for (placement, tasks) in &tx.claims {
            tracing::info!(
                job = %job, tasks = tasks.len(), machine = %placement.machine, pool = %placement.pool,
                token = placement.token.0, "claimed"
            );
        }
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
        let mut state = JobState::Aborted;
        let (mut done, mut claimed) = (0, 0);
        match tx.result {
            Outcome::Active { aborted } => {
                if !aborted {
                    state = JobState::Running;
                }
                if let Some(live) = self.cache.jobs.get(&job) {
                    (done, claimed) = (live.done, live.claimed);
                }
            }
            Outcome::Ended(archive) => {
                tracing::info!(job = %job, state = ?archive.state, "job ended");
                state = archive.state;
                done = archive.done;
                self.find_ended_losses(&job, &archive);
                self.terminal_jobs.insert(job.clone(), archive);
            }
        }
        if state == JobState::Aborted {
            self.note_confirmed(&job);
        }
        let body = status(&job, state, done, claimed);
        for rid in tx.withdrawals {
            self.reply(rid, Response::Status { code: 200, status: body.clone() });
        }
        let gone = !self.cache.jobs.contains_key(&job);
        let job_state = self.job_state(&job);
        job_state.busy = false;
        let over: BTreeSet<(TaskIx, Attempt)> = tx.ends.iter().map(|e| (e.ix, e.attempt)).collect();
        job_state.ends.retain(|e| !over.contains(&(e.ix, e.attempt)));
        if state == JobState::Aborted {
            job_state.abort = false;
        }
        if gone {
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

    /// A worker's exit as an end of the claim.
    pub(crate) fn exit_end(
        machine: &MachineId,
        ix: TaskIx,
        attempt: Attempt,
        exit: Exit,
        ran_ms: u64,
    ) -> ClaimEnd {
        let why = match exit {
            Exit::Done => "done",
            Exit::Stopped => "stopped",
            Exit::Error => "error",
            Exit::InsufficientResources => "no room",
            Exit::Busy => "busy",
            Exit::Unknown => "unknown job",
            Exit::Other => "other",
        };
        let done = exit == Exit::Done;
        ClaimEnd { machine: machine.clone(), ix, attempt, done, why, ran_ms, fence: None }
    }
}
