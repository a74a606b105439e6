//! Submissions that wait to be stored, with round-robin between teams.

use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct Waiting<T> {
    arrived_at: u64,
    item: T,
}

/// Submissions by team; teams are served round-robin. (With one queue for all, many single jobs of
/// one team caused the rejection of three in four submissions of every team for a minute.)
///
/// A team's oldest submission is served first. Once it has waited for half of the timeout, the
/// newest is served first: the oldest would be late in any case.
#[derive(Debug)]
pub struct SubmissionQueue<K, T> {
    teams: BTreeMap<K, VecDeque<Waiting<T>>>,
    /// The team that was served last.
    last_team: Option<K>,
    timeout_ms: u64,
}

impl<K: Ord + Clone, T> SubmissionQueue<K, T> {
    /// Creates a queue for submissions whose clients time out after `timeout_ms`.
    pub fn new(timeout_ms: u64) -> Self {
        Self { teams: BTreeMap::new(), last_team: None, timeout_ms }
    }

    /// Adds a submission of a team.
    pub fn push(&mut self, team: K, arrived_at: u64, item: T) {
        self.teams.entry(team).or_default().push_back(Waiting { arrived_at, item });
    }

    /// Returns a submission that could not be processed to the front of its team's queue.
    pub fn requeue(&mut self, team: K, arrived_at: u64, item: T) {
        self.teams.entry(team).or_default().push_front(Waiting { arrived_at, item });
    }

    /// The number of waiting submissions.
    pub fn len(&self) -> usize {
        self.teams.values().map(VecDeque::len).sum()
    }

    /// Whether no submission waits.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Removes the next submission of the next team, and returns it with its time of arrival.
    pub fn pop(&mut self, now: u64) -> Option<(u64, T)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last_team.as_ref().and_then(|last| {
            self.teams.range((Excluded(last), Unbounded)).next().map(|(k, _)| k.clone())
        });
        let team = after.or_else(|| self.teams.keys().next().cloned())?;
        let queue = self.teams.get_mut(&team)?;
        let oldest_ms = queue.front().map_or(0, |w| now.saturating_sub(w.arrived_at));
        let next =
            if oldest_ms > self.timeout_ms / 2 { queue.pop_back() } else { queue.pop_front() };
        if queue.is_empty() {
            self.teams.remove(&team);
        }
        self.last_team = Some(team);
        next.map(|w| (w.arrived_at, w.item))
    }

    /// Estimates how many seconds another submission of this team would wait if `accepted_per_s`
    /// are accepted in all.
    pub fn estimated_wait_s(&self, team: &K, accepted_per_s: f64) -> f64 {
        let own = self.teams.get(team).map_or(0, VecDeque::len);
        // Of every other team at most as many are served first as of this one.
        let other_teams =
            self.teams.iter().filter(|(k, _)| *k != team).map(|(_, q)| q.len().min(own + 1));
        (own + other_teams.sum::<usize>()) as f64 / accepted_per_s.max(1e-9)
    }

    /// Removes the submissions for whose time of arrival `is_expired` returns true.
    pub fn take_expired(&mut self, mut is_expired: impl FnMut(u64) -> bool) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in self.teams.values_mut() {
            let (removed, rest): (Vec<_>, Vec<_>) =
                std::mem::take(queue).into_iter().partition(|w| is_expired(w.arrived_at));
            queue.extend(rest);
            expired.extend(removed.into_iter().map(|w| w.item));
        }
        self.teams.retain(|_, q| !q.is_empty());
        expired
    }
}
