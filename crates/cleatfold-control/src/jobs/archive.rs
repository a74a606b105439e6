//! Lookups of ended jobs in the archive.
//!
//! A request about a job is answered that there is none only by two readings, each sent after the one before was answered: a
//! read of the live records sent after the request arrived, and a look-up in the archive sent after that read. A look-up that is
//! already in flight was sent before, and the job may have ended in between, so a request that comes to it waits for the next.
//!
//! A poll for an ended job that is not cached here needs a read of the job's archive record, at the
//! lowest call priority. Requests about the same job share reads, the number of reads in
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

/// The read of one job's archive record that is in flight.
struct Lookup {
    /// The event at which it was sent.
    sent_event: EventNumber,
    /// The requests that it answers: a read of the live records that lacked the job had been
    /// answered for them before.
    waiting: Vec<WaitingRequest>,
    /// The requests for which that happened since. If this lookup finds nothing, they need another.
    next: Vec<WaitingRequest>,
}

/// What waited for a lookup that has been answered.
#[derive(Default)]
pub(crate) struct AnsweredLookup {
    /// The event at which it was sent.
    pub sent_event: EventNumber,
    /// The requests that it answers, whatever it found.
    pub waiting: Vec<WaitingRequest>,
    /// The requests that it answers only if it found the record.
    pub next: Vec<WaitingRequest>,
}

/// Archive lookups in flight, and how far the archive's changes have been read.
#[derive(Default)]
pub(crate) struct ArchiveLookups {
    in_flight: BTreeMap<JobId, Lookup>,
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
    /// Starts a lookup for the requests, whose read is sent at `event`, or lets them wait until the
    /// one in flight is answered. A read of the live records that lacked the job has just been
    /// answered for them.
    pub(crate) fn join_or_start(
        &mut self,
        job: &JobId,
        waiting: Vec<WaitingRequest>,
        event: EventNumber,
    ) -> JoinOutcome {
        if let Some(lookup) = self.in_flight.get_mut(job) {
            lookup.next.extend(waiting);
            return JoinOutcome::Joined;
        }
        if self.in_flight.len() >= MAX_LOOKUPS_IN_FLIGHT {
            return JoinOutcome::Full(waiting);
        }
        let lookup = Lookup { sent_event: event, waiting, next: Vec::new() };
        self.in_flight.insert(job.clone(), lookup);
        JoinOutcome::Started
    }

    /// Ends the job's lookup.
    pub(crate) fn finish(&mut self, job: &JobId) -> AnsweredLookup {
        let lookup = self.in_flight.remove(job);
        lookup.map_or_else(AnsweredLookup::default, |Lookup { sent_event, waiting, next }| {
            AnsweredLookup { sent_event, waiting, next }
        })
    }

    /// Removes the requests for which `is_expired` holds, and returns their ids.
    pub(crate) fn remove_expired(
        &mut self,
        mut is_expired: impl FnMut(&WaitingRequest) -> bool,
    ) -> Vec<u64> {
        let mut removed = Vec::new();
        let lookups = self.in_flight.values_mut();
        for requests in lookups.flat_map(|lookup| [&mut lookup.waiting, &mut lookup.next]) {
            requests.retain(|w| {
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
