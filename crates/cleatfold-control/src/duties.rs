//! Taking duties, giving them back, and the small ones themselves.

use crate::controller::{Controller, Pending};
use crate::effects::*;
use crate::records::*;
use cleatfold_roles::Duty;
use cleatfold_wire::store::Txn;
use cleatfold_wire::*;
use std::collections::BTreeSet;

impl Controller {
    /// Ours, by what was read last. Whatever is done under it outside the state service has to be
    /// durable there first.
    pub(crate) fn holds(&self, duty: Duty) -> bool {
        self.epoch(duty).is_some()
    }

    /// The version of a duty's key while it is ours: every transaction of the duty is guarded by it.
    pub(crate) fn epoch(&self, duty: Duty) -> Option<Version> {
        let (holder, version) = self.cache.duties.get(&duty)?;
        let ours = holder.owner == self.cfg.me && Some(holder.incarnation) == self.incarnation;
        ours.then_some(*version)
    }

    /// A key of ours from before we were restarted: nobody acts under it any more. What was done
    /// under it is not known here, so it is taken anew, under a new epoch, rather than gone on with.
    fn former_life(&self, duty: Duty) -> Option<Version> {
        let (holder, version) = self.cache.duties.get(&duty)?;
        let former = holder.owner == self.cfg.me && Some(holder.incarnation) != self.incarnation;
        former.then_some(*version)
    }

    pub(crate) fn keep_duties(&mut self) {
        let now = self.now;
        let former: Vec<(Duty, Version)> =
            Duty::ALL.iter().filter_map(|d| Some((*d, self.former_life(*d)?))).collect();
        let duties = &self.cache.duties;
        let controllers = self.cache.controllers.keys();
        self.roster.see(now, &self.cfg.me, controllers, |d| duties.contains_key(&d));
        if self.in_contact() {
            if let (Some(lease), Some(incarnation)) = (self.lease, self.incarnation) {
                let former_of = |d: Duty| former.iter().find(|f| f.0 == d).map(|f| f.1);
                let mine_before = |d: Duty| former_of(d).is_some();
                if let Some(duty) = self.roster.take(now, &self.cfg.me, mine_before) {
                    let holder = HolderRecord { owner: self.cfg.me.clone(), incarnation };
                    let mut txn = Txn::default();
                    txn.guard(duty.key(), former_of(duty).unwrap_or_default());
                    txn.put(duty.key(), &holder, Some(lease));
                    self.store(Lane::Renewal, StoreRequest::Txn(txn), Pending::Duty(duty));
                }
            }
            let mine: Vec<Duty> = Duty::ALL.into_iter().filter(|d| self.holds(*d)).collect();
            if let Some(duty) = self.roster.give(now, &self.cfg.me, |d| mine.contains(&d)) {
                self.give_back(duty);
            }
        }
        self.lead();
        self.keep_renting();
        if self.holds(Duty::Tidy) {
            self.clean_up();
        }
        self.keep_admission();
    }

    /// Lets whoever should hold it have it: guarded, so it is only ever our own holding that ends.
    fn give_back(&mut self, duty: Duty) {
        let Some(epoch) = self.epoch(duty) else { return };
        tracing::info!(duty = duty.key(), "giving back");
        let mut txn = Txn::default();
        txn.guard(duty.key(), epoch);
        txn.delete(duty.key());
        self.store(Lane::Renewal, StoreRequest::Txn(txn), Pending::Duty(duty));
    }

    /// Whatever came of it, the next reading tells.
    pub(crate) fn on_duty(&mut self, duty: Duty, reply: StoreReply) {
        self.roster.settled(duty);
        self.want_sync = true;
        if matches!(reply, StoreReply::Committed(_)) {
            self.tell(None, cleatfold_wire::mesh::Message::Changed);
        }
    }

    /// Parts whose job is gone are removed a few at a time. That it is gone is guarded: what is there of a
    /// job that we have only not read yet holds its claims.
    fn clean_up(&mut self) {
        if self.cleanup_inflight || !self.in_contact() {
            return;
        }
        let parts = self.cache.parts.iter().flat_map(|(id, parts)| {
            parts.iter().map(move |(part, record)| (id, part_key(id, *part), record.0))
        });
        let progress = self.cache.progress.iter().flat_map(|(id, parts)| {
            parts.iter().map(move |(part, record)| (id, progress_key(id, *part), record.0))
        });
        let gone = parts.chain(progress).filter(|(id, ..)| !self.cache.jobs.contains_key(*id));
        let mut txn = Txn::default();
        let mut jobs = BTreeSet::new();
        for (id, key, version) in gone.take(self.cfg.txn_ops.min(8)) {
            if jobs.insert(id) {
                txn.guard(job_key(id), Version(0));
            }
            txn.guard(key.clone(), version);
            txn.delete(key);
        }
        if !txn.changes.is_empty() {
            let Some(epoch) = self.epoch(Duty::Tidy) else { return };
            txn.guard(Duty::Tidy.key(), epoch);
            self.cleanup_inflight = true;
            self.store(Lane::Poll, StoreRequest::Txn(txn), Pending::Cleanup);
        }
    }
}
