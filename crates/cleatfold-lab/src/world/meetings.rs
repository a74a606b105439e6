//! What tests need to bring two troubles together at a moment.

use super::*;

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
}
