//! Requests and responses of the state service. Values are raw JSON; their formats are defined by the code
//! that stores them.

use crate::ids::{LeaseId, Version};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A key with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value, as JSON.
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    /// The revision of the last change.
    #[serde(rename = "derniereRetouche")]
    pub version: Version,
}

/// A page of keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// The keys with their values, in key order.
    pub items: Vec<Item>,
    /// Whether more keys follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The revision of the state service.
    #[serde(rename = "revisionRegistre")]
    pub revision: Version,
}

/// A key and the version that it must have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The revision of the last change.
    #[serde(rename = "derniereRetouche")]
    pub version: Version,
}

/// One change: either `put` with a value, or `delete`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// The key that is set.
    #[serde(rename = "set", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The value, as JSON.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
    /// The lease.
    #[serde(rename = "bail", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseId>,
    /// The key that is removed.
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
}

/// `POST /multi`: changes that are applied atomically if all guards hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions of the transaction.
    #[serde(rename = "guards")]
    pub guards: Vec<Guard>,
    /// Changes that are applied if all guards hold.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds a guard; version 0: the key must not exist.
    pub fn guard(&mut self, key: impl Into<String>, version: Version) {
        self.guards.push(Guard { key: key.into(), version });
    }
    /// Sets a key, optionally under a lease.
    pub fn put(&mut self, key: impl Into<String>, value: &impl Serialize, lease: Option<LeaseId>) {
        #[expect(clippy::expect_used, reason = "records are plain JSON")]
        let value = serde_json::value::to_raw_value(value).expect("records are plain JSON");
        self.changes.push(Change {
            put: Some(key.into()),
            value: Some(value),
            lease,
            delete: None,
        });
    }
    /// Removes a key.
    pub fn delete(&mut self, key: impl Into<String>) {
        self.changes.push(Change { put: None, value: None, lease: None, delete: Some(key.into()) });
    }
}

/// The answer to `POST /multi`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Revision {
    /// The revision of the state service.
    #[serde(rename = "revisionRegistre")]
    pub revision: Version,
    /// Keys whose guards did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// `POST /grants`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// How long the lease lasts without renewal, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// The answer to `POST /grants`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Granted {
    /// The lease.
    #[serde(rename = "bail")]
    pub lease: LeaseId,
}

/// One change seen by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The key that is set.
    #[serde(rename = "set", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key that is removed.
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value, as JSON.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
    /// The revision of the last change.
    #[serde(rename = "derniereRetouche")]
    pub version: Version,
}

/// The response to `GET /follow`: changes since a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    /// The revision of the state service.
    #[serde(rename = "revisionRegistre")]
    pub revision: Version,
    /// In the order of their revisions.
    pub events: Vec<Event>,
}
