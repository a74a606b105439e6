//! Fake of the state service: versioned keys, guarded transactions, leases and a change log.

use cleatfold_wire::store::{Change, Event, Events, Item, Page, Txn};
use cleatfold_wire::{LeaseId, Ms, Version};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// The value of a key.
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
    change_log: Vec<Event>,
    /// The TTL in milliseconds and the expiry time of each lease.
    leases: BTreeMap<LeaseId, (u64, Ms)>,
    last_lease: u64,
}

/// Why a transaction was not committed.
#[derive(Debug, PartialEq)]
pub enum TxnError {
    /// The keys whose versions differ from the guards.
    Conflict(Vec<String>),
    /// A change refers to a lease that does not exist or has expired.
    NoSuchLease,
}

impl Store {
    /// Returns a key's value and version, if the key exists.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.entries.get(key).map(|e| Item {
            key: key.to_string(),
            value: e.value.clone(),
            version: e.version,
        })
    }

    /// Number of leases that have not expired.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// The revision of the last transaction or lease expiry.
    pub fn revision(&self) -> Version {
        Version(self.revision)
    }

    /// Returns a page of up to `limit` keys with this prefix that come after `from`.
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

    /// Returns the changes after revision `from` to keys with this prefix.
    pub fn changes(&self, prefix: &str, from: Version) -> Events {
        // The log is ordered by revision.
        let first_new = self.change_log.partition_point(|e| e.version <= from);
        let events = self.change_log[first_new..]
            .iter()
            .filter(|e| e.put.as_ref().or(e.delete.as_ref()).is_some_and(|k| k.starts_with(prefix)))
            .cloned()
            .collect();
        Events { revision: self.revision(), events }
    }

    /// Commits a transaction atomically.
    ///
    /// # Errors
    ///
    /// Fails if a guard does not match or a lease has expired.
    pub fn txn(&mut self, txn: &Txn) -> Result<Version, TxnError> {
        let leases: Vec<LeaseId> = txn.changes.iter().filter_map(|c| c.lease).collect();
        if leases.iter().any(|l| !self.leases.contains_key(l)) {
            return Err(TxnError::NoSuchLease);
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
            return Err(TxnError::Conflict(failed));
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
            for change in &txn.changes {
                self.apply_change(change);
            }
        }
        Ok(self.revision())
    }

    /// Applies one change at the current revision and logs it.
    fn apply_change(&mut self, change: &Change) {
        let version = self.revision();
        if let (Some(key), Some(value)) = (&change.put, &change.value) {
            let entry = Entry { value: value.clone(), version, lease: change.lease };
            self.entries.insert(key.clone(), entry);
            self.change_log.push(Event {
                put: Some(key.clone()),
                delete: None,
                value: Some(value.clone()),
                version,
            });
        } else if let Some(key) = &change.delete {
            if self.entries.remove(key).is_some() {
                self.change_log.push(Event {
                    put: None,
                    delete: Some(key.clone()),
                    value: None,
                    version,
                });
            }
        }
    }

    /// Keys that refer to an expired lease. There must be none.
    pub fn keys_of_expired_leases(&self) -> impl Iterator<Item = &str> {
        let is_expired = |e: &Entry| e.lease.is_some_and(|l| !self.leases.contains_key(&l));
        self.entries.iter().filter(move |(_, e)| is_expired(e)).map(|(k, _)| k.as_str())
    }

    /// Grants a new lease.
    pub fn grant(&mut self, now: Ms, ttl_ms: u64) -> LeaseId {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        self.leases.insert(lease, (ttl_ms, now.plus(ttl_ms)));
        lease
    }

    /// Renews a lease. Returns `false` if it has expired.
    pub fn extend(&mut self, now: Ms, lease: LeaseId) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease) {
            Some((ttl_ms, expires_at)) => {
                *expires_at = now.plus(*ttl_ms);
                true
            }
            None => false,
        }
    }

    /// Renews all leases, as the service does after an outage.
    pub fn renew_all_leases(&mut self, now: Ms) {
        for (ttl_ms, expires_at) in self.leases.values_mut() {
            *expires_at = now.plus(*ttl_ms);
        }
    }

    /// Removes expired leases and deletes their keys.
    pub fn expire(&mut self, now: Ms) {
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, l)| l.1 < now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .entries
                .iter()
                .filter(|(_, e)| e.lease == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.apply_change(&Change {
                    put: None,
                    value: None,
                    lease: None,
                    delete: Some(key),
                });
            }
        }
    }
}
