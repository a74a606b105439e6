//! Cancellations that a controller knows to be durable, and who of the others may not have heard of them.
//!
//! An owner that cannot read the state service goes on answering its workers for a while. A peer that knows of a
//! cancellation tells it, again and again until that is acknowledged or the peer is known to have read the state
//! service since. Whoever is told passes it on. A cancellation is final, so it may be acted on without a reading; a
//! peer that is never reached is covered by the bound on how long it answers (`docs/safety.md`), never by this.
//!
//! Pure: no I/O and no clock.

use cleatfold_wire::{JobId, Ms, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// A peer that has not acknowledged is told again after so long.
const REPEAT_MS: u64 = 500;
/// What was read in the state service most peers read as well: they say so each second.
const PATIENCE_MS: u64 = 2_000;
/// Of one message.
const TOLD: usize = 256;
/// Of one controller; the oldest are forgotten first.
const KEPT: usize = 4_096;

#[derive(Clone, Debug)]
struct Notice {
    /// It was durable by then.
    at: Ms,
    /// Peers that may not know, and when each is told next.
    owed: BTreeMap<NodeId, Ms>,
}

#[derive(Clone, Debug, Default)]
pub struct Notices {
    known: BTreeMap<JobId, Ms>,
    by_age: BTreeSet<(Ms, JobId)>,
    /// Of those that are known, what some peer may not have heard.
    open: BTreeMap<JobId, Notice>,
}

impl Notices {
    /// Our own change has cancelled the job: whoever holds tasks of it (`owners`) is told at once, the others
    /// unless they read it meanwhile.
    pub fn confirmed<'a>(
        &mut self,
        job: &JobId,
        owners: &[NodeId],
        peers: impl Iterator<Item = &'a NodeId>,
        now: Ms,
    ) {
        let first = |n: &NodeId| if owners.contains(n) { now } else { now.plus(PATIENCE_MS) };
        self.note(job, now, peers, first);
    }

    /// The state service says so.
    pub fn read<'a>(&mut self, job: &JobId, peers: impl Iterator<Item = &'a NodeId>, now: Ms) {
        self.note(job, now, peers, |_| now.plus(PATIENCE_MS));
    }

    /// A peer says so, which therefore knows. True if it is news.
    pub fn told<'a>(
        &mut self,
        job: &JobId,
        from: &NodeId,
        peers: impl Iterator<Item = &'a NodeId>,
        now: Ms,
    ) -> bool {
        let news = self.note(job, now, peers, |_| now);
        self.acknowledged(from, job);
        news
    }

    fn note<'a>(
        &mut self,
        job: &JobId,
        now: Ms,
        peers: impl Iterator<Item = &'a NodeId>,
        first: impl Fn(&NodeId) -> Ms,
    ) -> bool {
        if self.known.contains_key(job) {
            return false;
        }
        let owed = peers.map(|n| (n.clone(), first(n))).collect();
        self.known.insert(job.clone(), now);
        self.by_age.insert((now, job.clone()));
        self.open.insert(job.clone(), Notice { at: now, owed });
        if self.known.len() > KEPT {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        if let Some((_, job)) = self.by_age.pop_first() {
            self.known.remove(&job);
            self.open.remove(&job);
        }
    }

    pub fn acknowledged(&mut self, peer: &NodeId, job: &JobId) {
        if let Some(notice) = self.open.get_mut(job) {
            notice.owed.remove(peer);
            if notice.owed.is_empty() {
                self.open.remove(job);
            }
        }
    }

    /// Cancelled, as far as we know from anybody.
    pub fn knows(&self, job: &JobId) -> bool {
        self.known.contains_key(job)
    }

    /// Whom to tell of what now. `read` is when a peer last read the state service: what was durable before that it
    /// knows. After `keep_ms` nothing of the job can be on a machine any more.
    pub fn due(
        &mut self,
        now: Ms,
        keep_ms: u64,
        read: impl Fn(&NodeId) -> Option<Ms>,
    ) -> BTreeMap<NodeId, Vec<JobId>> {
        while self.by_age.first().is_some_and(|(at, _)| now.since(*at) > keep_ms) {
            self.forget_oldest();
        }
        let mut due: BTreeMap<NodeId, Vec<JobId>> = BTreeMap::new();
        self.open.retain(|job, notice| {
            let at = notice.at;
            notice.owed.retain(|peer, _| read(peer).is_none_or(|r| r <= at));
            for (peer, next) in notice.owed.iter_mut().filter(|(_, next)| **next <= now) {
                let jobs = due.entry(peer.clone()).or_default();
                if jobs.len() < TOLD {
                    *next = now.plus(REPEAT_MS);
                    jobs.push(job.clone());
                }
            }
            !notice.owed.is_empty()
        });
        due
    }
}
