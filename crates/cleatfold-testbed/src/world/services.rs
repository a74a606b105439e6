//! The state service and the cloud of the region.

use super::{
    written, CloudReply, CloudRequest, Ms, SimulationEvent, StoreReply, StoreRequest, TxnError,
    World,
};
use cleatfold_wire::cloud::ScaleOutRequest;

impl World {
    pub(super) fn execute(&mut self, request: StoreRequest) -> StoreReply {
        let now = self.now;
        match request {
            StoreRequest::Get(key) => {
                self.archive_reads +=
                    u64::from(key.starts_with(cleatfold_control::records::ARCHIVE_PREFIX));
                self.store.get(&key).map_or(StoreReply::Missing, StoreReply::Item)
            }
            StoreRequest::List { prefix, from, limit } => {
                let limit = limit.map_or(20, |m| m as usize);
                StoreReply::Page(self.store.list(&prefix, from.as_deref(), limit))
            }
            StoreRequest::Txn(txn) => {
                assert!(txn.changes.len() <= 16 && txn.guards.len() <= 64, "within the limits");
                if self.refuses(txn.changes.len()) {
                    return StoreReply::Refused;
                }
                self.changes.push((now, txn.changes.len()));
                let (unfenced, absences) = self.releases(&txn);
                let left = self.ends_with_claims(&txn);
                let steps = self.steps.judge(&self.store, &txn);
                let kinds = written::kinds(&self.store, &txn);
                match self.store.txn(&txn) {
                    Ok(version) => {
                        self.written.add(kinds);
                        self.steps.note(steps);
                        self.broken.append(&mut self.steps.broken);
                        self.broken.extend(unfenced);
                        self.broken.extend(left);
                        self.absences += absences;
                        StoreReply::Committed(version)
                    }
                    Err(TxnError::Conflict(failed)) => {
                        self.conflicts += 1;
                        self.written.add_conflict(&txn);
                        StoreReply::Conflict(failed)
                    }
                    Err(TxnError::NoSuchLease) => StoreReply::Invalid("no such lease".into()),
                }
            }
            StoreRequest::Grant { ttl_ms } => StoreReply::Granted(self.store.grant(now, ttl_ms)),
            StoreRequest::Extend(lease) => {
                if self.store.extend(now, lease) {
                    StoreReply::Extended
                } else {
                    StoreReply::Missing
                }
            }
            StoreRequest::Changes { from, .. } if from.0 + self.keeps < self.store.revision().0 => {
                self.too_old += 1;
                StoreReply::TooOld
            }
            StoreRequest::Changes { prefix, from } => {
                let events = self.store.changes(&prefix, from);
                let values = events.events.iter().filter_map(|e| e.value.as_ref());
                self.bytes_read += values.map(|v| v.get().len() as u64).sum::<u64>();
                StoreReply::Events(events)
            }
        }
    }

    pub(super) fn execute_cloud(&mut self, request: CloudRequest) -> CloudReply {
        match request {
            _ if self.cloud_off => CloudReply::Failed,
            CloudRequest::Types => CloudReply::Types(self.cloud.types.clone()),
            CloudRequest::List { .. } => {
                CloudReply::List { machines: self.cloud.list(self.now), more: false }
            }
            CloudRequest::ScaleOut(request) => {
                // The same request may be sent again, but its name must never mean another one.
                let reused = |a: &&(Ms, ScaleOutRequest, usize)| {
                    a.1.request == request.request && a.1 != request
                };
                if let Some(before) = self.cloud.scale_out_log.iter().find(reused) {
                    let what =
                        format!("{:?} name used again: {:?} {request:?}", self.now, before.1);
                    self.broken.push(what);
                }
                self.rented(request)
            }
            CloudRequest::Delete(ids) => {
                self.cloud.delete(&ids);
                for id in ids {
                    self.handle_event(SimulationEvent::Die(id));
                }
                CloudReply::Deleted
            }
        }
    }

    fn rented(&mut self, request: ScaleOutRequest) -> CloudReply {
        match self.cloud.scale_out(self.now, &request) {
            None => CloudReply::NoCapacity,
            Some(names) => {
                for id in &names {
                    // A request that is sent again has the same answer and rents nothing, whatever
                    // has become of the machines.
                    if self.ever_up.insert(id.clone()) {
                        self.boot(id.clone(), &request.machine_type, &request.zone, request.spot);
                    }
                }
                CloudReply::Created(names)
            }
        }
    }

    /// Whether a transaction is refused for the rate, where the region is to have that.
    fn refuses(&mut self, changes: usize) -> bool {
        let above = self.spend(changes);
        above && self.refuses_above_rate
    }

    /// Counts what the real service would refuse: it allows a second's worth at once. Tells whether this is.
    fn spend(&mut self, changes: usize) -> bool {
        let rate = self.size.changes_per_s;
        let passed = self.now.since(self.budget.0) as f64 / 1000.0;
        let level = (self.budget.1 + rate * passed).min(rate);
        let refused = level < changes as f64;
        self.refused_changes += if refused { changes as u64 } else { 0 };
        self.budget = (self.now, if refused { level } else { level - changes as f64 });
        refused
    }
}
