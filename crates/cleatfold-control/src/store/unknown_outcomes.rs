//! Resolution of transactions whose reply is missing, within the second in which users expect a
//! response.
//!
//! The client's timeout suits reads and a slow service; a user who waits for an acceptance or a
//! cancellation counts it as late well before that. Two measures resolve a transaction earlier,
//! both safe whatever its outcome was:
//!
//! - A read that shows a guarded key at a later version. The transaction can no longer be applied,
//!   and if it was, the read includes all its changes: the job continues from the state that was
//!   read.
//! - One resend. The guards let only one of the two copies be applied. After that, a conflict may
//!   be caused by the first copy, as after an unknown outcome.
//!
//! A transaction is resent only after a read that was sent later than the transaction has been
//! answered, so a service that is slow for all calls does not get the load twice; and only while
//! the change rate limit has ample budget, so that queued transactions are not duplicated.

use crate::controller::{Controller, Pending, Submission, WaitReason};
use crate::effects::{CallPriority, Effect, Response, StoreRequest};
use crate::jobs::state::JobTransaction;
use crate::store::records::job_key;
use crate::store::send_status::{SendStatus, UnansweredAction, UNANSWERED_AFTER_MS};
use cleatfold_wire::store::Txn;
use cleatfold_wire::Version;

/// The transaction of a pending call that may be resolved early.
fn resolvable_txn(pending: &Pending) -> Option<(&Txn, SendStatus)> {
    match pending {
        Pending::Submit { txn, sent, .. } => Some((txn, *sent)),
        Pending::Job(tx) => Some((&tx.txn, tx.sent)),
        _ => None,
    }
}

impl Controller {
    /// Whether a read shows a guarded key at a later version than the guard requires.
    fn is_decided(&self, txn: &Txn) -> bool {
        txn.guards.iter().any(|guard| self.cache.changed_since(&guard.key, guard.version))
    }

    /// At each tick and after each read: takes the next action for transactions without a reply.
    pub(crate) fn resolve_unanswered(&mut self) {
        if !self.session.is_loaded {
            return;
        }
        let mut actions = Vec::new();
        for (op, pending) in &self.calls.pending {
            let Some((txn, sent)) = resolvable_txn(pending) else { continue };
            if self.now.since(sent.at) < UNANSWERED_AFTER_MS {
                continue;
            }
            let action = sent.next_action(self.now, self.session.last_read, self.is_decided(txn));
            if action != UnansweredAction::Wait {
                actions.push((*op, action));
            }
        }
        for (op, action) in actions {
            match action {
                UnansweredAction::Read => {
                    self.session.sync_wanted = true;
                    self.update_sent(op, |sent| sent.queried = true);
                }
                UnansweredAction::Resend if self.rate_limiter.has_spare_changes() => {
                    self.resend_unanswered(op)
                }
                UnansweredAction::Resolve => self.resolve_from_cache(op),
                UnansweredAction::Resend | UnansweredAction::Wait => {}
            }
        }
    }

    fn update_sent(&mut self, op: u64, update: impl FnOnce(&mut SendStatus)) {
        match self.calls.pending.get_mut(&op) {
            Some(Pending::Submit { sent, .. }) => update(sent),
            Some(Pending::Job(tx)) => update(&mut tx.sent),
            _ => {}
        }
    }

    /// Resends the transaction under the same call id: the first reply counts.
    fn resend_unanswered(&mut self, op: u64) {
        self.update_sent(op, |sent| sent.resent = true);
        let (priority, txn) = match self.calls.pending.get_mut(&op) {
            Some(Pending::Submit { txn, .. }) => (CallPriority::Submission, txn.clone()),
            Some(Pending::Job(tx)) => {
                tx.maybe_executed = true;
                (CallPriority::Claim, tx.txn.clone())
            }
            _ => return,
        };
        if self.calls.is_resend_scheduled(op) {
            return;
        }
        self.rate_limiter.spend(txn.changes.len());
        self.effects.push(Effect::Store { op, priority, request: StoreRequest::Txn(txn) });
    }

    /// Resolves a transaction whose outcome is in the cache. A reply that still arrives is ignored.
    fn resolve_from_cache(&mut self, op: u64) {
        self.calls.cancel_resend(op);
        match self.calls.pending.remove(&op) {
            Some(Pending::Submit { batch, .. }) => self.resolve_submissions(batch),
            Some(Pending::Job(tx)) => self.resolve_job(*tx),
            _ => {}
        }
        self.flush_due = true;
    }

    fn resolve_submissions(&mut self, batch: Vec<Submission>) {
        self.submitting.finish_batch();
        for submission in batch.into_iter().rev() {
            let job = submission.spec.id.clone();
            let known = self.terminal_jobs.get(&job).or_else(|| self.live_status(&job));
            if let Some(status) = known {
                self.reply(submission.rid, Response::Status { code: 200, status });
            } else if self.cache.changed_since(&job_key(&job), Version(0)) {
                // The job was accepted and has ended since; its state is in the archive.
                self.wait_for_read(submission.rid, job, WaitReason::Known(submission.spec));
            } else {
                self.submitting.put_back(submission);
            }
        }
    }

    fn resolve_job(&mut self, tx: JobTransaction) {
        tracing::debug!(job = %tx.job, "unknown outcome resolved by a read");
        let JobTransaction { job, mut withdrawals, steps, .. } = tx;
        let job_state = self.job_state(&job);
        job_state.transaction_in_flight = false;
        job_state.withdrawals.append(&mut withdrawals);
        // Step reports are evaluated again against the current state.
        job_state
            .member_reports
            .extend(steps.verdicts.into_iter().map(|(member_reports, _)| member_reports));
        self.mark_pending_updates(&job);
        if !self.cache.jobs.contains_key(&job) {
            self.discard_job_state(&job);
        }
        self.replan_needed = true;
    }
}
