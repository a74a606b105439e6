//! The broadcast of cancellations over the mesh, beside the reading of the state service. `cleatfold_cancellation_broadcast`
//! decides whom to tell.
//!
//! A broadcast cancellation makes an owner stop a job's tasks earlier than its next reading would; it records nothing, answers no
//! user, and renews no worker's lease. How long an owner may answer without a reading stays as it is.

use crate::controller::Controller;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::{ControllerId, JobId};

const BROADCAST_INTERVAL_MS: u64 = 250;

impl Controller {
    fn peers(&self) -> impl Iterator<Item = &ControllerId> {
        self.cfg.peers.iter().map(|p| &p.0)
    }

    /// Cancelled, by what a peer told or by what we did or read.
    pub(crate) fn is_cancelled(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_some_and(|j| j.record.aborted)
            || self.cancellations.broadcast.is_cancelled(job)
    }

    /// Our transaction has cancelled the job.
    pub(crate) fn note_confirmed(&mut self, job: &JobId) {
        let cached = self.cache.jobs.get(job);
        let pools = cached.into_iter().flat_map(|l| &l.by_pool).filter(|p| p.1 > 0);
        let holders = pools.filter_map(|p| self.cache.pools.get(&p.0));
        let owners: Vec<ControllerId> = holders.map(|h| h.owner.clone()).collect();
        let mut broadcast = std::mem::take(&mut self.cancellations.broadcast);
        broadcast.confirmed(job, &owners, self.peers(), self.now);
        self.cancellations.broadcast = broadcast;
        self.tell_cancelled();
    }

    /// Cancellations that a reading brought.
    pub(crate) fn note_read_cancellations(&mut self) {
        let read = std::mem::take(&mut self.cache.cancelled);
        if read.is_empty() {
            return;
        }
        let mut broadcast = std::mem::take(&mut self.cancellations.broadcast);
        read.iter().for_each(|job| broadcast.read_from_store(job, self.peers(), self.now));
        self.cancellations.broadcast = broadcast;
    }

    /// At each tick.
    pub(crate) fn keep_cancellations(&mut self) {
        if self.now.since(self.cancellations.last_checked) >= BROADCAST_INTERVAL_MS {
            self.cancellations.last_checked = self.now;
            self.tell_cancelled();
        }
    }

    fn tell_cancelled(&mut self) {
        let (peers, keep_ms) = (&self.reachability.view.peers, self.cfg.cancel_ms);
        let due =
            self.cancellations.broadcast.messages_due(self.now, keep_ms, |n| peers.contact(n));
        for (peer, jobs) in due {
            let jobs = jobs.iter().map(|j| j.to_string()).collect();
            self.tell(Some(peer), Message::Cancelled { jobs });
        }
    }

    pub(crate) fn on_cancelled(&mut self, from: ControllerId, jobs: Vec<String>) {
        let mut broadcast = std::mem::take(&mut self.cancellations.broadcast);
        for job in jobs.iter().map(JobId::new) {
            if broadcast.received(&job, &from, self.peers(), self.now) {
                // Its machines' reports call for orders now, though they say what they said before.
                self.cache.restamp(&job);
            }
        }
        self.cancellations.broadcast = broadcast;
        self.tell(Some(from), Message::CancelledAck { jobs });
        self.tell_cancelled();
    }

    pub(crate) fn on_cancelled_ack(&mut self, from: &ControllerId, jobs: &[String]) {
        jobs.iter()
            .for_each(|job| self.cancellations.broadcast.acknowledged(from, &JobId::new(job)));
    }
}
