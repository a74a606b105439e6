//! Broadcasts job cancellations between controllers and tracks which peers have not acknowledged them.
//!
//! An owner that cannot read the state service keeps answering its workers for a while. A peer that knows of a
//! cancellation sends it to that owner and retries until the owner acknowledges it or is known to have read the state
//! service since. Every receiver forwards it. A cancellation is final, so a controller may act on it without reading
//! the state service. A peer that is never reached is covered by the limit on how long it keeps answering
//! (`docs/safety.md`), not by this broadcast.
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

/// Delay before a cancellation is sent again to a peer that has not acknowledged it.
const RETRY_MS: u64 = 500;
/// Most peers read a cancellation in the state service themselves and report their last reading every second; it is
/// sent to the remaining peers after this time.
const READ_GRACE_MS: u64 = 2_000;
/// Maximum number of cancellations in one message.
const MAX_JOBS_PER_MESSAGE: usize = 256;
/// Maximum number of cancellations that one controller remembers; the oldest are dropped first.
const MAX_KNOWN_JOBS: usize = 4_096;

/// A cancellation that some peer has not acknowledged.
#[derive(Clone, Debug)]
struct Unacknowledged {
    /// Time by which the cancellation was durable.
    durable_at: Ms,
    /// Peers that may not know of the cancellation, with the time of the next message to each.
    next_send: BTreeMap<ControllerId, Ms>,
}

/// The cancellations that one controller knows, and the peers that have not acknowledged them.
#[derive(Clone, Debug, Default)]
pub struct CancellationBroadcast {
    /// Known cancellations and when this controller learned of each.
    known: BTreeMap<JobId, Ms>,
    by_age: BTreeSet<(Ms, JobId)>,
    /// The known cancellations that at least one peer may not know of.
    unacknowledged: BTreeMap<JobId, Unacknowledged>,
}

impl CancellationBroadcast {
    /// Records a cancellation committed by this controller. The controllers that own tasks of the job (`owners`) are
    /// notified at once, the other peers only if they do not read it in the state service first.
    pub fn confirmed<'a>(
        &mut self,
        job: &JobId,
        owners: &[ControllerId],
        peers: impl Iterator<Item = &'a ControllerId>,
        now: Ms,
    ) {
        let first_send = |peer: &ControllerId| {
            if owners.contains(peer) {
                now
            } else {
                now.plus(READ_GRACE_MS)
            }
        };
        self.record(job, now, peers, first_send);
    }

    /// Records a cancellation that was read in the state service.
    pub fn read_from_store<'a>(
        &mut self,
        job: &JobId,
        peers: impl Iterator<Item = &'a ControllerId>,
        now: Ms,
    ) {
        self.record(job, now, peers, |_| now.plus(READ_GRACE_MS));
    }

    /// Records a cancellation received from the peer `from`, which also acknowledges it for that peer. Returns true if
    /// this controller did not know of it.
    pub fn received<'a>(
        &mut self,
        job: &JobId,
        from: &ControllerId,
        peers: impl Iterator<Item = &'a ControllerId>,
        now: Ms,
    ) -> bool {
        let is_new = self.record(job, now, peers, |_| now);
        self.acknowledged(from, job);
        is_new
    }

    fn record<'a>(
        &mut self,
        job: &JobId,
        now: Ms,
        peers: impl Iterator<Item = &'a ControllerId>,
        first_send: impl Fn(&ControllerId) -> Ms,
    ) -> bool {
        if self.known.contains_key(job) {
            return false;
        }
        let next_send = peers.map(|peer| (peer.clone(), first_send(peer))).collect();
        self.known.insert(job.clone(), now);
        self.by_age.insert((now, job.clone()));
        self.unacknowledged.insert(job.clone(), Unacknowledged { durable_at: now, next_send });
        if self.known.len() > MAX_KNOWN_JOBS {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        if let Some((_, job)) = self.by_age.pop_first() {
            self.known.remove(&job);
            self.unacknowledged.remove(&job);
        }
    }

    /// Records that the peer knows of the cancellation.
    pub fn acknowledged(&mut self, peer: &ControllerId, job: &JobId) {
        if let Some(cancellation) = self.unacknowledged.get_mut(job) {
            cancellation.next_send.remove(peer);
            if cancellation.next_send.is_empty() {
                self.unacknowledged.remove(job);
            }
        }
    }

    /// Whether this controller knows that the job is cancelled, from any source.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        self.known.contains_key(job)
    }

    /// The cancellations to send to each peer now. `last_read` returns when a peer last read the state service; it
    /// knows every cancellation that was durable before then. Cancellations are dropped after `retention_ms`, when no
    /// task of the job can still be on a machine.
    pub fn messages_due(
        &mut self,
        now: Ms,
        retention_ms: u64,
        last_read: impl Fn(&ControllerId) -> Option<Ms>,
    ) -> BTreeMap<ControllerId, Vec<JobId>> {
        while self.by_age.first().is_some_and(|(at, _)| now.since(*at) > retention_ms) {
            self.forget_oldest();
        }
        let mut due: BTreeMap<ControllerId, Vec<JobId>> = BTreeMap::new();
        self.unacknowledged.retain(|job, cancellation| {
            let durable_at = cancellation.durable_at;
            cancellation
                .next_send
                .retain(|peer, _| last_read(peer).is_none_or(|read_at| read_at <= durable_at));
            let due_peers = cancellation.next_send.iter_mut().filter(|(_, next)| **next <= now);
            for (peer, next) in due_peers {
                let jobs = due.entry(peer.clone()).or_default();
                if jobs.len() < MAX_JOBS_PER_MESSAGE {
                    *next = now.plus(RETRY_MS);
                    jobs.push(job.clone());
                }
            }
            !cancellation.next_send.is_empty()
        });
        due
    }
}
