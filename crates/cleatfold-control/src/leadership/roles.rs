//! Acquiring and releasing roles, and running the work of the held ones.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::store::cache::Versioned;
use crate::store::records::{job_key, part_key, progress_key, HolderRecord};
use cleatfold_roles::Role;
use cleatfold_wire::store::Txn;
use cleatfold_wire::Version;
use std::collections::BTreeSet;

impl Controller {
    /// Whether this controller holds the role, as last read. An action under the role that takes
    /// effect outside of the state service must be recorded there durably first.
    pub(crate) fn holds(&self, role: Role) -> bool {
        self.epoch(role).is_some()
    }

    /// The version of a role's key while this controller holds the role; it guards every
    /// transaction of the role.
    pub(crate) fn epoch(&self, role: Role) -> Option<Version> {
        let Versioned { version, value: holder } = self.cache.roles.get(&role)?;
        let is_held = holder.owner == self.cfg.controller_id
            && Some(holder.incarnation) == self.session.incarnation;
        is_held.then_some(*version)
    }

    /// The epoch of a role that an earlier incarnation of this controller holds. That incarnation
    /// no longer acts, and what it did under the epoch is unknown, so the role is acquired again
    /// under a new epoch.
    fn previous_incarnation_epoch(&self, role: Role) -> Option<Version> {
        let Versioned { version, value: holder } = self.cache.roles.get(&role)?;
        let is_previous = holder.owner == self.cfg.controller_id
            && Some(holder.incarnation) != self.session.incarnation;
        is_previous.then_some(*version)
    }

    /// Acquires and releases roles, and runs the work of those held.
    pub(crate) fn maintain_roles(&mut self) {
        let now = self.now;
        let previous: Vec<(Role, Version)> = Role::ALL
            .iter()
            .filter_map(|role| Some((*role, self.previous_incarnation_epoch(*role)?)))
            .collect();
        let roles = &self.cache.roles;
        let controllers = self.cache.controllers.keys();
        self.leadership
            .roles
            .observe(now, &self.cfg.controller_id, controllers, |role| roles.contains_key(&role));
        if self.has_store_contact() {
            if let (Some(lease), Some(incarnation)) = (self.session.lease, self.session.incarnation)
            {
                let previous_epoch =
                    |role: Role| previous.iter().find(|held| held.0 == role).map(|held| held.1);
                let was_mine = |role: Role| previous_epoch(role).is_some();
                if let Some(role) =
                    self.leadership.roles.next_to_acquire(now, &self.cfg.controller_id, was_mine)
                {
                    let holder =
                        HolderRecord { owner: self.cfg.controller_id.clone(), incarnation };
                    let mut txn = Txn::default();
                    txn.guard(role.key(), previous_epoch(role).unwrap_or_default());
                    txn.put(role.key(), &holder, Some(lease));
                    self.call_store(
                        CallPriority::Renewal,
                        StoreRequest::Txn(txn),
                        Pending::Role(role),
                    );
                }
            }
            let held: Vec<Role> = Role::ALL.into_iter().filter(|role| self.holds(*role)).collect();
            if let Some(role) =
                self.leadership
                    .roles
                    .next_to_release(now, &self.cfg.controller_id, |role| held.contains(&role))
            {
                self.release_role(role);
            }
        }
        self.run_assignment_role();
        self.maintain_scale_out();
        if self.holds(Role::GarbageCollection) {
            self.collect_garbage();
        }
        self.maintain_admission();
    }

    /// Releases a role to the controller that should hold it; guarded by the epoch, so that only
    /// this controller's own tenure can end.
    fn release_role(&mut self, role: Role) {
        let Some(epoch) = self.epoch(role) else { return };
        tracing::info!(role = role.key(), "releasing role");
        let mut txn = Txn::default();
        txn.guard(role.key(), epoch);
        txn.delete(role.key());
        self.call_store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::Role(role));
    }

    /// The write of a role was answered; its outcome is read with the next sync.
    pub(crate) fn on_role_written(&mut self, role: Role, reply: StoreReply) {
        self.leadership.roles.request_completed(role);
        self.session.sync_wanted = true;
        if matches!(reply, StoreReply::Committed(_)) {
            self.send_to_peers(None, cleatfold_wire::mesh::Message::Changed);
        }
    }

    /// Deletes part and progress records of removed jobs, a few at a time. The transaction is
    /// guarded by the job key's absence, because the parts of a job that has merely not been read
    /// yet hold its claims.
    fn collect_garbage(&mut self) {
        if self.leadership.garbage_collection_in_flight || !self.has_store_contact() {
            return;
        }
        let parts = self.cache.parts.iter().flat_map(|(id, parts)| {
            parts.iter().map(move |(part, record)| (id, part_key(id, *part), record.version))
        });
        let progress = self.cache.progress.iter().flat_map(|(id, parts)| {
            parts.iter().map(move |(part, record)| (id, progress_key(id, *part), record.version))
        });
        let orphaned = parts.chain(progress).filter(|(id, ..)| !self.cache.jobs.contains_key(*id));
        let mut txn = Txn::default();
        let mut jobs = BTreeSet::new();
        for (id, key, version) in orphaned.take(self.cfg.max_txn_changes.min(8)) {
            if jobs.insert(id) {
                txn.guard(job_key(id), Version(0));
            }
            txn.guard(key.clone(), version);
            txn.delete(key);
        }
        if !txn.changes.is_empty() {
            let Some(epoch) = self.epoch(Role::GarbageCollection) else { return };
            txn.guard(Role::GarbageCollection.key(), epoch);
            self.leadership.garbage_collection_in_flight = true;
            self.call_store(CallPriority::Poll, StoreRequest::Txn(txn), Pending::GarbageCollection);
        }
    }

    /// The deletion was answered; its outcome is read with the next sync.
    pub(crate) fn on_garbage_collected(&mut self) {
        self.leadership.garbage_collection_in_flight = false;
        self.session.sync_wanted = true;
    }
}
