//! Lookups of ended jobs in the archive.
//!
//! A poll for an ended job that is not cached here needs a read of the job's archive record, at the
//! lowest call priority. Concurrent lookups of the same job share one read, the number of reads in
//! flight is bounded, and waiting requests time out independently of the reply. With one read per
//! poll, reaching the request limit of the state service led to congestion collapse: replies came
//! after their users had timed out and retried, the queue kept growing even after the load had
//! passed, and a deployment with two thirds of its CPUs idle reported only a fifth of its finished
//! jobs as done. For the same reason, jobs that other controllers ended are read in bulk
//! (`start_changes_read`), so few lookups are needed.

use crate::pending::{EventNumber, WaitingRequest};
use cleatfold_wire::{JobId, Version};
use std::collections::BTreeMap;

/// Archive reads in flight at one time.
const MAX_LOOKUPS_IN_FLIGHT: usize = 128;

/// Archive lookups in flight, and how far the archive's changes have been read.
#[derive(Default)]
pub(crate) struct ArchiveLookups {
    /// By job: the event at which the read was sent, and the requests that wait for its reply.
    in_flight: BTreeMap<JobId, (EventNumber, Vec<WaitingRequest>)>,
    /// Changes of the archive up to this revision have been read.
    pub read_revision: Version,
    /// A read of the archive's changes is in flight.
    pub read_in_flight: bool,
    /// Jobs have left the cache whose archive records have not been read.
    pub is_stale: bool,
}

/// Result of adding requests to a lookup.
pub(crate) enum JoinOutcome {
    /// A new lookup: the caller sends the read.
    Started,
    /// A read for the job is already in flight.
    Joined,
    /// Too many reads are in flight; returns the requests.
    Full(Vec<WaitingRequest>),
}

impl ArchiveLookups {
    /// Adds the requests to the job's lookup, or starts one whose read is sent at `event`.
    pub(crate) fn join_or_start(
        &mut self,
        job: &JobId,
        waiting: Vec<WaitingRequest>,
        event: EventNumber,
    ) -> JoinOutcome {
        if let Some((_, requests)) = self.in_flight.get_mut(job) {
            requests.extend(waiting);
            return JoinOutcome::Joined;
        }
        if self.in_flight.len() >= MAX_LOOKUPS_IN_FLIGHT {
            return JoinOutcome::Full(waiting);
        }
        self.in_flight.insert(job.clone(), (event, waiting));
        JoinOutcome::Started
    }

    /// Ends the job's lookup. Returns the event at which its read was sent, and the waiting
    /// requests.
    pub(crate) fn finish(&mut self, job: &JobId) -> (EventNumber, Vec<WaitingRequest>) {
        self.in_flight.remove(job).unwrap_or_default()
    }

    /// Removes the requests for which `is_expired` holds, and returns their ids.
    pub(crate) fn remove_expired(
        &mut self,
        mut is_expired: impl FnMut(&WaitingRequest) -> bool,
    ) -> Vec<u64> {
        let mut removed = Vec::new();
        for (_, waiting) in self.in_flight.values_mut() {
            waiting.retain(|w| {
                let expired = is_expired(w);
                if expired {
                    removed.push(w.rid);
                }
                !expired
            });
        }
        removed
    }

    /// Whether the archive's changes have to be read now; if so, the read counts as in flight.
    pub(crate) fn start_changes_read(&mut self, applied: &Version) -> bool {
        let due = self.is_stale && !self.read_in_flight && self.read_revision < *applied;
        if due {
            (self.is_stale, self.read_in_flight) = (false, true);
        }
        due
    }
}
