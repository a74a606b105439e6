//! Calls to the state service and the cloud that have no answer yet.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, CloudRequest, Effect, StoreRequest};
use cleatfold_wire::store::Txn;
use cleatfold_wire::Ms;
use std::collections::BTreeMap;

/// A transaction that is to be sent once more.
#[derive(Debug)]
struct Resend {
    at: Ms,
    op: u64,
    priority: CallPriority,
    txn: Txn,
}

/// Calls without an answer, by number.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last_op: u64,
    pub pending: BTreeMap<u64, Pending>,
    resends: Vec<Resend>,
}

impl Calls {
    fn begin(&mut self, pending: Pending) -> u64 {
        self.last_op += 1;
        self.pending.insert(self.last_op, pending);
        self.last_op
    }

    /// Whether the call waits to be sent once more.
    pub(crate) fn is_resent_later(&self, op: u64) -> bool {
        self.resends.iter().any(|resend| resend.op == op)
    }

    /// Its outcome is known: it is not sent once more.
    pub(crate) fn forget_resend(&mut self, op: u64) {
        self.resends.retain(|resend| resend.op != op);
    }
}

impl Controller {
    /// Calls the state service; returns the call's number.
    pub(crate) fn store(
        &mut self,
        priority: CallPriority,
        request: StoreRequest,
        pending: Pending,
    ) -> u64 {
        let op = self.calls.begin(pending);
        if let StoreRequest::Txn(txn) = &request {
            self.rate_limiter.spend(txn.changes.len());
        }
        self.out.push(Effect::Store { op, priority, request });
        op
    }

    /// Calls the cloud.
    pub(crate) fn cloud(&mut self, request: CloudRequest, pending: Pending) {
        let op = self.calls.begin(pending);
        let spacing_ms = self.cloud_call_interval_ms();
        self.out.push(Effect::Cloud { op, request, spacing_ms });
    }

    /// Sends a transaction with an unknown outcome once more: the same guards decide.
    pub(crate) fn again(
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

    /// At each tick: sends what is due to be sent once more.
    pub(crate) fn resend_due(&mut self) {
        let resends = std::mem::take(&mut self.calls.resends);
        let (due, later) = resends.into_iter().partition(|resend| resend.at <= self.now);
        self.calls.resends = later;
        let due: Vec<Resend> = due;
        for Resend { op, priority, txn, .. } in due {
            self.rate_limiter.spend(txn.changes.len());
            let request = StoreRequest::Txn(txn);
            self.out.push(Effect::Store { op, priority, request });
        }
    }
}
