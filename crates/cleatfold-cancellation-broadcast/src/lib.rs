//! The broadcast of cancellations: which ones a controller knows to be durable, and which peers have not
//! acknowledged them.
//!
//! An owner that cannot read the state service goes on answering its workers for a while. A peer that knows of a
//! cancellation tells it, again and again until that is acknowledged or the peer is known to have read the state
//! service since. Whoever is told passes it on. A cancellation is final, so it may be acted on without a reading; a
//! peer that is never reached is covered by the bound on how long it answers (`docs/safety.md`), never by this.
//!
//! Pure: no I/O and no clock.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

use cleatfold_wire::{ControllerId, JobId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// A peer that has not acknowledged a cancellation is told again after this time.
const RETRY_MS: u64 = 500;
/// Most peers read in the state service what we read, and say so each second; the others are told after this time.
const READ_GRACE_MS: u64 = 2_000;
/// Cancellations of one message at most.
const MESSAGE_JOBS: usize = 256;
/// Cancellations that one controller remembers at most; the oldest are forgotten first.
const KNOWN_JOBS: usize = 4_096;

/// A cancellation that some peer has not acknowledged.
#[derive(Clone, Debug)]
struct Unacknowledged {
    /// The cancellation was durable by then.
    durable_at: Ms,
    /// Peers that may not know of it, and when each is told next.
    peers: BTreeMap<ControllerId, Ms>,
}

/// What one controller knows of cancelled jobs, and whom it has still to tell.
#[derive(Clone, Debug, Default)]
pub struct CancellationBroadcast {
    known: BTreeMap<JobId, Ms>,
    by_age: BTreeSet<(Ms, JobId)>,
    /// Of the known cancellations, those that some peer may not know of.
    open: BTreeMap<JobId, Unacknowledged>,
}

impl CancellationBroadcast {
    /// Our own change has cancelled the job: whoever holds tasks of it (`owners`) is told at once, the others
    /// unless they read it meanwhile.
    pub fn confirmed<'a>(
        &mut self,
        job: &JobId,
        owners: &[ControllerId],
        peers: impl Iterator<Item = &'a ControllerId>,
        now: Ms,
    ) {
        let first =
            |n: &ControllerId| if owners.contains(n) { now } else { now.plus(READ_GRACE_MS) };
        self.note(job, now, peers, first);
    }

    /// The state service says so.
    pub fn read<'a>(
        &mut self,
        job: &JobId,
        peers: impl Iterator<Item = &'a ControllerId>,
        now: Ms,
    ) {
        self.note(job, now, peers, |_| now.plus(READ_GRACE_MS));
    }

    /// A peer says so, which therefore knows. True if it is news.
    pub fn received<'a>(
        &mut self,
        job: &JobId,
        from: &ControllerId,
        peers: impl Iterator<Item = &'a ControllerId>,
        now: Ms,
    ) -> bool {
        let is_new = self.note(job, now, peers, |_| now);
        self.acknowledged(from, job);
        is_new
    }

    fn note<'a>(
        &mut self,
        job: &JobId,
        now: Ms,
        peers: impl Iterator<Item = &'a ControllerId>,
        first: impl Fn(&ControllerId) -> Ms,
    ) -> bool {
        if self.known.contains_key(job) {
            return false;
        }
        let peers = peers.map(|n| (n.clone(), first(n))).collect();
        self.known.insert(job.clone(), now);
        self.by_age.insert((now, job.clone()));
        self.open.insert(job.clone(), Unacknowledged { durable_at: now, peers });
        if self.known.len() > KNOWN_JOBS {
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

    /// The peer knows of the cancellation.
    pub fn acknowledged(&mut self, peer: &ControllerId, job: &JobId) {
        if let Some(cancellation) = self.open.get_mut(job) {
            cancellation.peers.remove(peer);
            if cancellation.peers.is_empty() {
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
        read: impl Fn(&ControllerId) -> Option<Ms>,
    ) -> BTreeMap<ControllerId, Vec<JobId>> {
        while self.by_age.first().is_some_and(|(at, _)| now.since(*at) > keep_ms) {
            self.forget_oldest();
        }
        let mut due: BTreeMap<ControllerId, Vec<JobId>> = BTreeMap::new();
        self.open.retain(|job, cancellation| {
            let durable_at = cancellation.durable_at;
            cancellation.peers.retain(|peer, _| read(peer).is_none_or(|r| r <= durable_at));
            let due_peers = cancellation.peers.iter_mut().filter(|(_, next)| **next <= now);
            for (peer, next) in due_peers {
                let jobs = due.entry(peer.clone()).or_default();
                if jobs.len() < MESSAGE_JOBS {
                    *next = now.plus(RETRY_MS);
                    jobs.push(job.clone());
                }
            }
            !cancellation.peers.is_empty()
        });
        due
    }
}
