//! What is submitted and waits to be made durable, team by team.

use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct Waiting<T> {
    arrived: u64,
    item: T,
}

/// Submissions by team, each team's turn coming round as long as it has any. (In one queue for all,
/// one team's many single jobs had every team's submissions refused: three of four, for
/// a minute.)
///
/// While a team's are served in time, its oldest goes first. When its oldest is past half of its
/// asker's patience, its newest does: the oldest would be too late in any case.
#[derive(Debug)]
pub struct SubmissionQueue<K, T> {
    teams: BTreeMap<K, VecDeque<Waiting<T>>>,
    /// Whose turn was last.
    last: Option<K>,
    patience_ms: u64,
}

impl<K: Ord + Clone, T> SubmissionQueue<K, T> {
    /// Submissions of users who wait for so long.
    pub fn new(patience_ms: u64) -> Self {
        Self { teams: BTreeMap::new(), last: None, patience_ms }
    }

    /// Adds a submission of a team.
    pub fn push(&mut self, team: K, arrived: u64, item: T) {
        self.teams.entry(team).or_default().push_back(Waiting { arrived, item });
    }

    /// What could not go after all comes back as the next of its team.
    pub fn put_back(&mut self, team: K, arrived: u64, item: T) {
        self.teams.entry(team).or_default().push_front(Waiting { arrived, item });
    }

    /// How many submissions wait.
    pub fn len(&self) -> usize {
        self.teams.values().map(VecDeque::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// The next team's next, with when it arrived.
    pub fn pop(&mut self, now: u64) -> Option<(u64, T)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last.as_ref().and_then(|last| {
            self.teams.range((Excluded(last), Unbounded)).next().map(|(k, _)| k.clone())
        });
        let team = after.or_else(|| self.teams.keys().next().cloned())?;
        let queue = self.teams.get_mut(&team)?;
        let oldest = queue.front().map_or(0, |w| now.saturating_sub(w.arrived));
        let next = if oldest > self.patience_ms / 2 { queue.pop_back() } else { queue.pop_front() };
        if queue.is_empty() {
            self.teams.remove(&team);
        }
        self.last = Some(team);
        next.map(|w| (w.arrived, w.item))
    }

    /// How many seconds one more of this team would wait at so many a second in all.
    pub fn wait_s(&self, team: &K, per_s: f64) -> f64 {
        let mine = self.teams.get(team).map_or(0, VecDeque::len);
        // Of every other team as many go before it as it has itself, if they have so many.
        let others =
            self.teams.iter().filter(|(k, _)| *k != team).map(|(_, q)| q.len().min(mine + 1));
        (mine + others.sum::<usize>()) as f64 / per_s.max(1e-9)
    }

    /// Takes out whatever `late` says so of.
    pub fn take_late(&mut self, mut late: impl FnMut(u64) -> bool) -> Vec<T> {
        let mut gone = Vec::new();
        for queue in self.teams.values_mut() {
            let (out, rest): (Vec<_>, Vec<_>) =
                std::mem::take(queue).into_iter().partition(|w| late(w.arrived));
            queue.extend(rest);
            gone.extend(out.into_iter().map(|w| w.item));
        }
        self.teams.retain(|_, q| !q.is_empty());
        gone
    }
}
