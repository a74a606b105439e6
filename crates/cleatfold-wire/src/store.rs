//! The state service's calls. Values stay raw JSON here; their shape belongs to whoever
//! stores them.

use crate::ids::{LeaseId, Version};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    #[serde(rename = "derniereRetouche")]
    pub version: Version,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    pub items: Vec<Item>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "revisionRegistre")]
    pub revision: Version,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "derniereRetouche")]
    pub version: Version,
}

/// One change: either `put` with a value, or `delete`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    #[serde(rename = "set", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "bail", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseId>,
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "guards")]
    pub guards: Vec<Guard>,
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Txn {
    pub fn guard(&mut self, key: impl Into<String>, version: Version) {
        self.guards.push(Guard { key: key.into(), version });
    }
    pub fn put(&mut self, key: impl Into<String>, value: &impl Serialize, lease: Option<LeaseId>) {
        #[expect(clippy::expect_used, reason = "records are plain JSON")]
        let value = serde_json::value::to_raw_value(value).expect("our records are plain JSON");
        self.changes.push(Change {
            put: Some(key.into()),
            value: Some(value),
            lease,
            delete: None,
        });
    }
    pub fn delete(&mut self, key: impl Into<String>) {
        self.changes.push(Change { put: None, value: None, lease: None, delete: Some(key.into()) });
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "revisionRegistre")]
    pub revision: Version,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Granted {
    #[serde(rename = "bail")]
    pub lease: LeaseId,
}

/// One change seen by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    #[serde(rename = "set", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "derniereRetouche")]
    pub version: Version,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    #[serde(rename = "revisionRegistre")]
    pub revision: Version,
    pub events: Vec<Event>,
}
