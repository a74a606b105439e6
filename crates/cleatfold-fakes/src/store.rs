//! The state service: versions, guarded transactions, leases, changes.

use cleatfold_wire::store::{Change, Event, Events, Item, Page, Txn};
use cleatfold_wire::{LeaseId, Ms, Version};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

struct Entry {
    value: Box<RawValue>,
    version: Version,
    lease: Option<LeaseId>,
}

/// A fake of the state service.
#[derive(Default)]
pub struct Store {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    log: Vec<Event>,
    leases: BTreeMap<LeaseId, (u64, Ms)>,
    next_lease: u64,
}

/// Why a transaction was not committed.
#[derive(Debug, PartialEq)]
pub enum Refusal {
    /// The keys whose versions are not as guarded.
    Conflict(Vec<String>),
    /// A change is under a lease that has ended.
    NoSuchLease,
}

impl Store {
    /// One key, if it is there.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.entries.get(key).map(|e| Item {
            key: key.to_string(),
            value: e.value.clone(),
            version: e.version,
        })
    }

    /// How many leases are held.
    pub fn leases(&self) -> usize {
        self.leases.len()
    }

    /// The number of the last change.
    pub fn revision(&self) -> Version {
        Version(self.revision)
    }

    /// A page of the keys with this prefix, after `from`.
    pub fn list(&self, prefix: &str, from: Option<&str>, limit: usize) -> Page {
        let mut items: Vec<Item> = self
            .entries
            .range(prefix.to_string()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(k, _)| from.is_none_or(|f| k.as_str() > f))
            .take(limit + 1)
            .map(|(k, e)| Item { key: k.clone(), value: e.value.clone(), version: e.version })
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        Page { items, more, revision: self.revision() }
    }

    /// The changes with this prefix after `from`.
    pub fn changes(&self, prefix: &str, from: Version) -> Events {
        // The log is in the order of its revisions.
        let known = self.log.partition_point(|e| e.version <= from);
        let events = self.log[known..]
            .iter()
            .filter(|e| e.put.as_ref().or(e.delete.as_ref()).is_some_and(|k| k.starts_with(prefix)))
            .cloned()
            .collect();
        Events { revision: self.revision(), events }
    }

    /// Commits a transaction, all or nothing.
    ///
    /// # Errors
    ///
    /// A guard that does not hold, or a lease that has ended.
    pub fn txn(&mut self, txn: &Txn) -> Result<Version, Refusal> {
        let leases: Vec<LeaseId> = txn.changes.iter().filter_map(|c| c.lease).collect();
        if leases.iter().any(|l| !self.leases.contains_key(l)) {
            return Err(Refusal::NoSuchLease);
        }
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| {
                self.entries.get(&g.key).map(|e| e.version).unwrap_or_default() != g.version
            })
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(Refusal::Conflict(failed));
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
            for change in &txn.changes {
                self.change(change);
            }
        }
        Ok(self.revision())
    }

    fn change(&mut self, change: &Change) {
        let version = self.revision();
        if let (Some(key), Some(value)) = (&change.put, &change.value) {
            let entry = Entry { value: value.clone(), version, lease: change.lease };
            self.entries.insert(key.clone(), entry);
            self.log.push(Event {
                put: Some(key.clone()),
                delete: None,
                value: Some(value.clone()),
                version,
            });
        } else if let Some(key) = &change.delete {
            if self.entries.remove(key).is_some() {
                self.log.push(Event { put: None, delete: Some(key.clone()), value: None, version });
            }
        }
    }

    /// Keys whose lease has ended.
    pub fn keys_of_ended_leases(&self) -> impl Iterator<Item = &str> {
        let ended = |e: &Entry| e.lease.is_some_and(|l| !self.leases.contains_key(&l));
        self.entries.iter().filter(move |(_, e)| ended(e)).map(|(k, _)| k.as_str())
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Ms, ttl_ms: u64) -> LeaseId {
        self.next_lease += 1;
        let lease = LeaseId(self.next_lease);
        self.leases.insert(lease, (ttl_ms, now.plus(ttl_ms)));
        lease
    }

    /// Renews a lease; `false` if it has ended.
    pub fn extend(&mut self, now: Ms, lease: LeaseId) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = now.plus(*ttl);
                true
            }
            None => false,
        }
    }

    /// After an outage every lease has its full time again.
    pub fn renew_all_leases(&mut self, now: Ms) {
        for (ttl, until) in self.leases.values_mut() {
            *until = now.plus(*ttl);
        }
    }

    /// Ends leases whose time is over, and deletes their keys.
    pub fn expire(&mut self, now: Ms) {
        let over: Vec<LeaseId> =
            self.leases.iter().filter(|(_, l)| l.1 < now).map(|(id, _)| *id).collect();
        for lease in over {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .entries
                .iter()
                .filter(|(_, e)| e.lease == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.change(&Change { put: None, value: None, lease: None, delete: Some(key) });
            }
        }
    }
}
