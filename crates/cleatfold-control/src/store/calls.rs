//! Pending calls to the state service and the cloud, and scheduled resends of transactions.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, CloudRequest, Effect, StoreRequest};
use cleatfold_wire::store::Txn;
use cleatfold_wire::Ms;
use std::collections::BTreeMap;

/// A transaction that will be sent again.
#[derive(Debug)]
struct Resend {
    at: Ms,
    op: u64,
    priority: CallPriority,
    txn: Txn,
}

/// Pending calls by id.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last_op: u64,
    pub pending: BTreeMap<u64, Pending>,
    resends: Vec<Resend>,
}

impl Calls {
    /// Stores a pending call under a new id.
    fn register(&mut self, pending: Pending) -> u64 {
        self.last_op += 1;
        self.pending.insert(self.last_op, pending);
        self.last_op
    }

    /// Whether a resend of the call is scheduled.
    pub(crate) fn is_resend_scheduled(&self, op: u64) -> bool {
        self.resends.iter().any(|resend| resend.op == op)
    }

    /// Cancels a scheduled resend of a call whose outcome is known.
    pub(crate) fn cancel_resend(&mut self, op: u64) {
        self.resends.retain(|resend| resend.op != op);
    }
}

impl Controller {
    /// Calls the state service and returns the id of the call.
    pub(crate) fn call_store(
        &mut self,
        priority: CallPriority,
        request: StoreRequest,
        pending: Pending,
    ) -> u64 {
        let op = self.calls.register(pending);
        if let StoreRequest::Txn(txn) = &request {
            self.rate_limiter.spend(txn.changes.len());
        }
        self.effects.push(Effect::Store { op, priority, request });
        op
    }

    /// Calls the cloud.
    pub(crate) fn call_cloud(&mut self, request: CloudRequest, pending: Pending) {
        let op = self.calls.register(pending);
        let spacing_ms = self.cloud_call_interval_ms();
        self.effects.push(Effect::Cloud { op, request, spacing_ms });
    }

    /// Schedules a resend of a transaction with an unknown outcome. This is safe because the guards
    /// let it be applied only once.
    pub(crate) fn schedule_resend(
        &mut self,
        op: u64,
        priority: CallPriority,
        txn: Txn,
        pending: Pending,
        pause_ms: u64,
    ) {
        self.calls.pending.insert(op, pending);
        let at = self.now.plus(pause_ms);
        self.calls.resends.push(Resend { at, op, priority, txn });
    }

    /// At each tick: sends the scheduled resends that are due.
    pub(crate) fn resend_due(&mut self) {
        let resends = std::mem::take(&mut self.calls.resends);
        let (due, later) = resends.into_iter().partition(|resend| resend.at <= self.now);
        self.calls.resends = later;
        let due: Vec<Resend> = due;
        for Resend { op, priority, txn, .. } in due {
            self.rate_limiter.spend(txn.changes.len());
            let request = StoreRequest::Txn(txn);
            self.effects.push(Effect::Store { op, priority, request });
        }
    }
}
