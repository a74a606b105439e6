//! What tests need to bring two troubles together at a moment.

use super::*;
use cleatfold_control::records::{self, Key, Table};

#[derive(Default)]
pub struct Meetings {
    /// Controllers whose transactions are answered late, by up to so much, until when. Readings are not.
    pub late_commits: BTreeMap<usize, (u64, Ms)>,
}

impl World {
    /// How much later than usual the state service's answer to a request reaches the controller.
    pub(super) fn commit_late(&mut self, node: usize, is_txn: bool) -> u64 {
        match self.meetings.late_commits.get(&node) {
            Some((most, until)) if is_txn && *until > self.now => self.rng.random_range(0..*most),
            _ => 0,
        }
    }

    /// A job that leaves the live records leaves no claim behind: whoever counts what its team uses, or what
    /// is to be stopped, goes by claims.
    pub(super) fn ends_with_claims(&self, txn: &Txn) -> Vec<String> {
        let mut broken = Vec::new();
        for key in txn.changes.iter().filter_map(|c| c.delete.as_deref()) {
            let Some(Key::Job(job)) = records::parse_key(key) else { continue };
            for item in self.store.list(&format!("cf/p/{job}/"), None, 500).items {
                let written = |c: &&cleatfold_wire::store::Change| {
                    c.put.as_deref() == Some(&item.key) || c.delete.as_deref() == Some(&item.key)
                };
                let change = txn.changes.iter().find(written);
                let value = match change {
                    Some(change) => change.value.as_ref(),
                    None => Some(&item.value),
                };
                let table = value.and_then(|v| serde_json::from_str::<Table>(v.get()).ok());
                if table.is_some_and(|t| !t.claims.is_empty()) {
                    broken.push(format!("{:?} {} ended with claims in it", self.now, item.key));
                }
            }
        }
        broken
    }
}
