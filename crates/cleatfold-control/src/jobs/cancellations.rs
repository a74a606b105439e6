//! Broadcast of cancellations to the peers over the mesh, in addition to reads of the state
//! service. `cleatfold_cancellation_broadcast` decides which peers receive which cancellations.
//!
//! A broadcast lets a pool owner stop a job's tasks before its next read of the state service. It
//! records nothing, answers no user and renews no worker's lease, and it does not extend how long
//! an owner may answer its workers without a read.

use crate::controller::Controller;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::{ControllerId, JobId};

/// Interval between checks for cancellations that are due to be sent again.
const BROADCAST_INTERVAL_MS: u64 = 250;

impl Controller {
    fn peers(&self) -> impl Iterator<Item = &ControllerId> {
        self.cfg.peers.iter().map(|p| &p.0)
    }

    /// Whether the job is known to be cancelled, from the cache or from a broadcast.
    pub(crate) fn is_cancelled(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_some_and(|j| j.record.aborted)
            || self.cancellations.broadcast.is_cancelled(job)
    }

    /// A transaction of this controller has cancelled the job: broadcasts it, first to the owners
    /// of pools in which the job has claims.
    pub(crate) fn on_cancellation_committed(&mut self, job: &JobId) {
        let cached = self.cache.jobs.get(job);
        let pools = cached.into_iter().flat_map(|job| &job.claims_by_pool).filter(|p| p.1 > 0);
        let pool_records = pools.filter_map(|p| self.cache.pools.get(&p.0));
        let owners: Vec<ControllerId> = pool_records.map(|r| r.owner.clone()).collect();
        let mut broadcast = std::mem::take(&mut self.cancellations.broadcast);
        broadcast.confirmed(job, &owners, self.peers(), self.now);
        self.cancellations.broadcast = broadcast;
        self.send_due_cancellations();
    }

    /// Broadcasts the cancellations that a read of the state service showed.
    pub(crate) fn on_cancellations_read(&mut self) {
        let read = std::mem::take(&mut self.cache.newly_cancelled);
        if read.is_empty() {
            return;
        }
        let mut broadcast = std::mem::take(&mut self.cancellations.broadcast);
        read.iter().for_each(|job| broadcast.read_from_store(job, self.peers(), self.now));
        self.cancellations.broadcast = broadcast;
    }

    /// At each tick: sends cancellations that peers have not acknowledged in time.
    pub(crate) fn resend_cancellations(&mut self) {
        if self.now.since(self.cancellations.last_checked) >= BROADCAST_INTERVAL_MS {
            self.cancellations.last_checked = self.now;
            self.send_due_cancellations();
        }
    }

    fn send_due_cancellations(&mut self) {
        let (peers, keep_ms) = (&self.reachability.view.peers, self.cfg.cancel_ms);
        let due = self
            .cancellations
            .broadcast
            .messages_due(self.now, keep_ms, |n| peers.last_store_read(n));
        for (peer, jobs) in due {
            let jobs = jobs.iter().map(|j| j.to_string()).collect();
            self.send_to_peers(Some(peer), Message::Cancelled { jobs });
        }
    }

    /// Handles cancellations that a peer has broadcast, and acknowledges them.
    pub(crate) fn on_cancellation(&mut self, from: ControllerId, jobs: Vec<String>) {
        let mut broadcast = std::mem::take(&mut self.cancellations.broadcast);
        for job in jobs.iter().map(JobId::new) {
            if broadcast.received(&job, &from, self.peers(), self.now) {
                // The next heartbeats of its machines need a new response even if they are
                // unchanged.
                self.cache.renew_stamps(&job);
            }
        }
        self.cancellations.broadcast = broadcast;
        self.send_to_peers(Some(from), Message::CancelledAck { jobs });
        self.send_due_cancellations();
    }

    /// Handles a peer's acknowledgement.
    pub(crate) fn on_cancellation_ack(&mut self, from: &ControllerId, jobs: &[String]) {
        jobs.iter()
            .for_each(|job| self.cancellations.broadcast.acknowledged(from, &JobId::new(job)));
    }
}
