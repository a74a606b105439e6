//! Taking roles, giving them back, and the small ones themselves.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::store::cache::Versioned;
use crate::store::records::{job_key, part_key, progress_key, HolderRecord};
use cleatfold_roles::Role;
use cleatfold_wire::store::Txn;
use cleatfold_wire::Version;
use std::collections::BTreeSet;

impl Controller {
    /// Ours, by what was read last. Whatever is done under it outside the state service has to be
    /// durable there first.
    pub(crate) fn holds(&self, role: Role) -> bool {
        self.epoch(role).is_some()
    }

    /// The version of a role's key while it is ours: every transaction of the role is guarded by it.
    pub(crate) fn epoch(&self, role: Role) -> Option<Version> {
        let Versioned { version, value: holder } = self.cache.roles.get(&role)?;
        let ours =
            holder.owner == self.cfg.me && Some(holder.incarnation) == self.session.incarnation;
        ours.then_some(*version)
    }

    /// A key of ours from before we were restarted: nobody acts under it any more. What was done
    /// under it is not known here, so it is taken anew, under a new epoch, rather than gone on with.
    fn former_life(&self, role: Role) -> Option<Version> {
        let Versioned { version, value: holder } = self.cache.roles.get(&role)?;
        let former =
            holder.owner == self.cfg.me && Some(holder.incarnation) != self.session.incarnation;
        former.then_some(*version)
    }

    pub(crate) fn maintain_roles(&mut self) {
        let now = self.now;
        let former: Vec<(Role, Version)> =
            Role::ALL.iter().filter_map(|d| Some((*d, self.former_life(*d)?))).collect();
        let roles = &self.cache.roles;
        let controllers = self.cache.controllers.keys();
        self.leadership.roles.observe(now, &self.cfg.me, controllers, |d| roles.contains_key(&d));
        if self.in_contact() {
            if let (Some(lease), Some(incarnation)) = (self.session.lease, self.session.incarnation)
            {
                let former_of = |d: Role| former.iter().find(|f| f.0 == d).map(|f| f.1);
                let mine_before = |d: Role| former_of(d).is_some();
                if let Some(role) =
                    self.leadership.roles.next_to_acquire(now, &self.cfg.me, mine_before)
                {
                    let holder = HolderRecord { owner: self.cfg.me.clone(), incarnation };
                    let mut txn = Txn::default();
                    txn.guard(role.key(), former_of(role).unwrap_or_default());
                    txn.put(role.key(), &holder, Some(lease));
                    self.store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::Role(role));
                }
            }
            let mine: Vec<Role> = Role::ALL.into_iter().filter(|d| self.holds(*d)).collect();
            if let Some(role) =
                self.leadership.roles.next_to_release(now, &self.cfg.me, |d| mine.contains(&d))
            {
                self.give_back(role);
            }
        }
        self.lead();
        self.maintain_scale_out();
        if self.holds(Role::GarbageCollection) {
            self.collect_garbage();
        }
        self.keep_admission();
    }

    /// Lets whoever should hold it have it: guarded, so it is only ever our own holding that ends.
    fn give_back(&mut self, role: Role) {
        let Some(epoch) = self.epoch(role) else { return };
        tracing::info!(role = role.key(), "releasing role");
        let mut txn = Txn::default();
        txn.guard(role.key(), epoch);
        txn.delete(role.key());
        self.store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::Role(role));
    }

    /// Whatever came of it, the next reading tells.
    pub(crate) fn on_role_written(&mut self, role: Role, reply: StoreReply) {
        self.leadership.roles.request_completed(role);
        self.session.sync_wanted = true;
        if matches!(reply, StoreReply::Committed(_)) {
            self.tell(None, cleatfold_wire::mesh::Message::Changed);
        }
    }

    /// Parts whose job is gone are removed a few at a time. That it is gone is guarded: what is there of a
    /// job that we have only not read yet holds its claims.
    fn collect_garbage(&mut self) {
        if self.leadership.garbage_collection_inflight || !self.in_contact() {
            return;
        }
        let parts = self.cache.parts.iter().flat_map(|(id, parts)| {
            parts.iter().map(move |(part, record)| (id, part_key(id, *part), record.version))
        });
        let progress = self.cache.progress.iter().flat_map(|(id, parts)| {
            parts.iter().map(move |(part, record)| (id, progress_key(id, *part), record.version))
        });
        let gone = parts.chain(progress).filter(|(id, ..)| !self.cache.jobs.contains_key(*id));
        let mut txn = Txn::default();
        let mut jobs = BTreeSet::new();
        for (id, key, version) in gone.take(self.cfg.max_txn_changes.min(8)) {
            if jobs.insert(id) {
                txn.guard(job_key(id), Version(0));
            }
            txn.guard(key.clone(), version);
            txn.delete(key);
        }
        if !txn.changes.is_empty() {
            let Some(epoch) = self.epoch(Role::GarbageCollection) else { return };
            txn.guard(Role::GarbageCollection.key(), epoch);
            self.leadership.garbage_collection_inflight = true;
            self.store(CallPriority::Poll, StoreRequest::Txn(txn), Pending::GarbageCollection);
        }
    }

    /// Whatever came of it, the next reading tells.
    pub(crate) fn on_garbage_collected(&mut self) {
        self.leadership.garbage_collection_inflight = false;
        self.session.sync_wanted = true;
    }
}
