//! Which job's news is recorded next.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreRequest};
use crate::jobs::state::{part_of, LocalJobState};
use crate::store::cache::CachedJob;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::JobId;
use cleatfold_write_batching::{PendingPartUpdates, PendingUpdates, Selection};
use std::collections::BTreeMap;

/// Completed tasks of a job that goes on are kept back for as long as one of them takes, within
/// these bounds. Their workers keep them; what a controller's death costs is reading them again.
const LEAST_WAIT_MS: u64 = 30_000;
const MOST_WAIT_MS: u64 = 90_000;

impl Controller {
    /// Sends what is due, as far as our part of the state service's changes goes: what weighs
    /// most goes first, the rest gathers until its turn.
    pub(crate) fn flush(&mut self) {
        let controllers = if self.in_contact() { self.cache.controllers.len() } else { 0 };
        let controllers = if controllers == 0 { self.cfg.peers.len() + 1 } else { controllers };
        self.rate_limiter.refill(self.now.0, self.cfg.changes_per_s, controllers);
        while self.rate_limiter.is_open() {
            let due = if self.session.is_loaded { self.weightiest() } else { None };
            // Submissions first, but a flood of them leaves the jobs every other change.
            if self.submitting.ahead == 0 || due.is_none() {
                let sent = self.flush_submissions();
                if sent > 0 {
                    // Only what went ahead of a job that waited is owed to the jobs. (Counted
                    // while none waited, a busy hour's submissions would have held up later ones.)
                    self.submitting.ahead += if due.is_some() { self.owed(sent) } else { 0 };
                    continue;
                }
            }
            let Some(job) = due else { return };
            self.submitting.ahead = self.submitting.ahead.saturating_sub(1);
            self.send_job_tx(job);
        }
    }

    /// The job whose change is worth most now: how many starts and ends it would record, how
    /// long they have waited and how urgent they are. Long waits win in the end, so nothing
    /// starves.
    fn weightiest(&mut self) -> Option<JobId> {
        let now = self.now;
        let ample = self.rate_limiter.is_ample();
        let mut best: Option<((bool, u64), JobId)> = None;
        let mut unsent = std::mem::take(&mut self.unsent);
        unsent.retain(|id| self.job_states.get(id).is_some_and(|l| l.busy || l.has_updates()));
        for id in &unsent {
            let Some(job_state) = self.job_states.get_mut(id) else { continue };
            if job_state.busy || job_state.stale_since.is_some() || job_state.not_before > now {
                continue;
            }
            let waited = now.since(*job_state.unsent_since.get_or_insert(now));
            let job_state = &self.job_states[id];
            // Gone meanwhile, or to be cancelled: at once.
            let pending_updates = match self.cache.jobs.get(id) {
                Some(cached) => self.pending_updates(id, job_state, cached),
                None => PendingUpdates { cancel_requested: true, ..PendingUpdates::default() },
            };
            let pressing = pending_updates.is_due(waited);
            // Steps gather even while changes are plenty: nobody waits for these.
            let only_steps = pending_updates.member_reports > 0 && job_state.ends.is_empty();
            if !pressing && (!ample || only_steps) {
                continue;
            }
            let weight = (pressing, pending_updates.priority(waited));
            if best.as_ref().is_none_or(|b| weight > b.0) {
                best = Some((weight, id.clone()));
            }
        }
        self.unsent = unsent;
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
        let mine: u32 = cached
            .by_pool
            .iter()
            .filter(|(p, _)| self.pools.owned.contains_key(p))
            .map(|p| p.1)
            .sum();
        let finishes = cached.done + done >= spec.tasks;
        let changes = match cached.record.in_parts() {
            true => self.touched(job_state, cached) + u32::from(starts > 0),
            // The archive's record and the end of its own.
            false => 1 + u32::from(finishes),
        };
        // Nothing of it may start before its pause is over: its failures can gather too.
        let lost = job_state.ends.len() as u32 - done;
        let (done, lost) =
            if lost > 0 && self.is_suspect(id, cached) { (done + lost, 0) } else { (done, lost) };
        let limited = self.cfg.team(&spec.team).is_some_and(|t| t.is_limited());
        let most = if limited { LEAST_WAIT_MS } else { MOST_WAIT_MS };
        PendingUpdates {
            done,
            lost,
            claims: starts,
            member_reports: job_state.member_reports.len() as u32,
            idle_members: job_state.member_reports.iter().filter(|a| a.idle).count() as u32,
            cancel_requested: job_state.abort,
            work_done: job_state.over,
            completes_job: finishes,
            running_here: mine.saturating_sub(job_state.ends.len() as u32),
            unclaimed: cached.unclaimed(),
            record_writes: changes,
            urgency: match spec.urgency {
                Urgency::Critical => 4,
                Urgency::High => 3,
                Urgency::Normal => 2,
                Urgency::BestEffort => 1,
            },
            max_delay_ms: ((spec.estimate_s * 1000.0) as u64).clamp(LEAST_WAIT_MS, most),
            can_batch_reports: crate::jobs::step_reports::can_gather(
                &job_state.member_reports,
                self.now,
            ),
        }
    }

    fn touched(&self, job_state: &LocalJobState, cached: &CachedJob) -> u32 {
        let mut parts: Vec<u32> =
            job_state.ends.iter().filter_map(|e| part_of(&cached.record, e.ix)).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.len() as u32
    }

    /// Of a job in parts, whose ends are worth their changes now.
    fn select(&self, job: &JobId, job_state: &LocalJobState) -> Option<Selection> {
        let cached = self.cache.jobs.get(job).filter(|l| l.record.in_parts())?;
        let mut parts: BTreeMap<u32, PendingPartUpdates> = BTreeMap::new();
        for end in &job_state.ends {
            let part = parts.entry(end.ix.0 / crate::store::records::PART).or_default();
            *if end.done { &mut part.done } else { &mut part.lost } += 1;
        }
        let tables = self.cache.parts.get(job);
        for (number, pending_updates) in &mut parts {
            let Some(part) = tables.and_then(|t| t.get(number)) else { continue };
            let table = &part.value;
            let claims = |mine: bool| -> u32 {
                let groups = table.claims.iter();
                let groups = groups.filter(|g| !mine || self.pools.owned.contains_key(&g.pool));
                groups.map(|g| g.tasks.len() as u32).sum()
            };
            let (from, to) = cached.record.part_range(*number);
            pending_updates.unclaimed =
                (to - from).saturating_sub(table.done_count() + claims(false));
            pending_updates.running_here =
                claims(true).saturating_sub(pending_updates.done + pending_updates.lost);
        }
        let waited = job_state.unsent_since.map_or(0, |s| self.now.since(s));
        let pending_updates = self.pending_updates(job, job_state, cached);
        let everything = pending_updates.is_final()
            || waited >= pending_updates.max_delay_ms
            || self.rate_limiter.is_ample();
        Some(Selection::new(&parts, everything, self.rate_limiter.max_changes()))
    }

    /// Our place among the live controllers, and how many there are.
    pub(crate) fn rank(&self) -> (usize, usize) {
        let controllers = &self.cache.controllers;
        let rank = controllers.keys().position(|n| *n == self.cfg.me).unwrap_or(0);
        (rank, controllers.len())
    }

    /// Something of the job waits to be recorded.
    pub(crate) fn note_unsent(&mut self, job: &JobId) {
        self.flush_due = true;
        if !self.unsent.contains(job) {
            self.unsent.insert(job.clone());
        }
    }

    fn send_job_tx(&mut self, job: JobId) {
        let selection = self.job_states.get(&job).and_then(|l| self.select(&job, l));
        let Some(tx) = self.build(&job, selection) else {
            // Nothing of it can be said now; looked at again at once it would keep us here.
            let again = self.now.plus(100);
            if let Some(job_state) = self.job_states.get_mut(&job).filter(|l| l.has_updates()) {
                job_state.not_before = job_state.not_before.max(again);
            }
            return;
        };
        let Some(job_state) = self.job_states.get_mut(&job) else {
            return;
        };
        job_state.busy = true;
        job_state.unsent_since = None;
        let txn = tx.txn.clone();
        self.store(CallPriority::Claim, StoreRequest::Txn(txn), Pending::Job(Box::new(tx)));
    }
}
