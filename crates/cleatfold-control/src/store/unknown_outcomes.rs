//! Transactions whose answer is missing, settled within a user's second.
//!
//! The client gives a call up after a time that suits readings and slow days; a user who waits for an acceptance or a
//! cancellation has long counted it as late by then. Two things settle a transaction earlier, both safe whatever became
//! of it:
//!
//! - A reading that shows a key of its guards at a later version. The transaction can't be carried out any more, and
//!   if it was, all it changed is part of that reading: what stands is known, and the job goes on from there.
//! - Sending it again, once. Its guards let only one of the two be carried out. From then on a conflict may be the work
//!   of the first, as after an answer "unknown".
//!
//! A transaction is sent again only after a reading that was sent later than it has been answered, so a service that is
//! slow for all is not asked twice; and only while changes are plenty, so what waits for its turn is not doubled.

use crate::controller::{Controller, Pending, Submission, WaitReason};
use crate::effects::{CallPriority, Effect, Response, StoreRequest};
use crate::jobs::state::JobTransaction;
use crate::store::records::job_key;
use crate::store::sent::{Sent, UnansweredAction, UNANSWERED_AFTER_MS};
use cleatfold_wire::store::Txn;
use cleatfold_wire::Version;

fn txn_of(pending: &Pending) -> Option<(&Txn, Sent)> {
    match pending {
        Pending::Submit { txn, sent, .. } => Some((txn, *sent)),
        Pending::Job(tx) => Some((&tx.txn, tx.sent)),
        _ => None,
    }
}

impl Controller {
    /// A reading shows a key of the guards at a later version than the transaction needs.
    fn is_decided(&self, txn: &Txn) -> bool {
        txn.guards.iter().any(|guard| self.cache.has_moved(&guard.key, guard.version))
    }

    /// At each tick and after each reading: takes care of transactions that have no answer yet.
    pub(crate) fn resolve_unanswered(&mut self) {
        if !self.session.is_loaded {
            return;
        }
        let mut steps = Vec::new();
        for (op, pending) in &self.calls.pending {
            let Some((txn, sent)) = txn_of(pending) else { continue };
            if self.now.since(sent.at) < UNANSWERED_AFTER_MS {
                continue;
            }
            let step = sent.step(self.now, self.session.last_read, self.is_decided(txn));
            if step != UnansweredAction::Wait {
                steps.push((*op, step));
            }
        }
        for (op, step) in steps {
            match step {
                UnansweredAction::Read => {
                    self.session.sync_wanted = true;
                    self.mark(op, |sent| sent.queried = true);
                }
                UnansweredAction::Resend if self.rate_limiter.is_ample() => self.send_once_more(op),
                UnansweredAction::Resolve => self.resolve_by_reading(op),
                UnansweredAction::Resend | UnansweredAction::Wait => {}
            }
        }
    }

    fn mark(&mut self, op: u64, change: impl FnOnce(&mut Sent)) {
        match self.calls.pending.get_mut(&op) {
            Some(Pending::Submit { sent, .. }) => change(sent),
            Some(Pending::Job(tx)) => change(&mut tx.sent),
            _ => {}
        }
    }

    /// The same transaction under the same number: whichever answer comes first counts.
    fn send_once_more(&mut self, op: u64) {
        self.mark(op, |sent| sent.resent = true);
        let (priority, txn) = match self.calls.pending.get_mut(&op) {
            Some(Pending::Submit { txn, .. }) => (CallPriority::Submission, txn.clone()),
            Some(Pending::Job(tx)) => {
                tx.maybe_executed = true;
                (CallPriority::Claim, tx.txn.clone())
            }
            _ => return,
        };
        if self.calls.is_resent_later(op) {
            return;
        }
        self.rate_limiter.spend(txn.changes.len());
        self.out.push(Effect::Store { op, priority, request: StoreRequest::Txn(txn) });
    }

    /// What became of it was read. An answer that still comes finds nobody who waits for it.
    fn resolve_by_reading(&mut self, op: u64) {
        self.calls.forget_resend(op);
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
            } else if self.cache.has_moved(&job_key(&job), Version(0)) {
                // It was accepted and has ended since; the archive tells how.
                self.wait_for_read(submission.rid, job, WaitReason::Known(submission.spec));
            } else {
                self.submitting.put_back(submission);
            }
        }
    }

    fn resolve_job(&mut self, tx: JobTransaction) {
        tracing::debug!(job = %tx.job, "unknown outcome resolved by a reading");
        let JobTransaction { job, mut withdrawals, steps, .. } = tx;
        let job_state = self.job_state(&job);
        job_state.transaction_in_flight = false;
        job_state.withdrawals.append(&mut withdrawals);
        // Members are judged anew by what stands now.
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
