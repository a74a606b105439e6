//! Questions to the archive of ended jobs.
//!
//! A poll for an ended job that this controller does not know of needs a request of its own to the
//! state service, behind everything else. Each poll once sent one. When requests ran short they
//! came so late that every asker had left, and asked again: the queue only grew, a deployment with
//! two thirds of its processors idle told a fifth of its finished jobs as done, and it stayed
//! so after the load was over. So there is one question a job at a time, its askers are
//! answered in time whatever comes of it, and their number is bounded; and what others ended is
//! read for all jobs at once (`follow`), so that hardly anybody has to ask.

use crate::pending::{EventNumber, WaitingRequest};
use cleatfold_wire::{JobId, Version};
use std::collections::BTreeMap;

/// Questions under way at one time.
const MOST: usize = 128;

#[derive(Default)]
pub(crate) struct ArchiveLookups {
    /// By job: when its question was sent, and who waits for the answer.
    asked: BTreeMap<JobId, (EventNumber, Vec<WaitingRequest>)>,
    /// Ends up to this revision have been read.
    pub read_revision: Version,
    pub read_in_flight: bool,
    /// Jobs have gone since whose end we have not read.
    pub is_stale: bool,
}

pub(crate) enum Joined {
    /// The caller sends the question.
    Ask,
    UnderWay,
    /// Too many are under way.
    Full(Vec<WaitingRequest>),
}

impl ArchiveLookups {
    pub(crate) fn join(
        &mut self,
        job: &JobId,
        waiting: Vec<WaitingRequest>,
        now: EventNumber,
    ) -> Joined {
        if let Some((_, known)) = self.asked.get_mut(job) {
            known.extend(waiting);
            return Joined::UnderWay;
        }
        if self.asked.len() >= MOST {
            return Joined::Full(waiting);
        }
        self.asked.insert(job.clone(), (now, waiting));
        Joined::Ask
    }

    /// The answer is here: when its question was sent, and who waits for it.
    pub(crate) fn leave(&mut self, job: &JobId) -> (EventNumber, Vec<WaitingRequest>) {
        self.asked.remove(job).unwrap_or_default()
    }

    /// Takes out whoever has waited too long.
    pub(crate) fn give_up(&mut self, mut late: impl FnMut(&WaitingRequest) -> bool) -> Vec<u64> {
        let mut gone = Vec::new();
        for (_, waiting) in self.asked.values_mut() {
            waiting.retain(|w| {
                let late = late(w);
                if late {
                    gone.push(w.rid);
                }
                !late
            });
        }
        gone
    }

    /// Whether to read now how jobs ended; then that is under way.
    pub(crate) fn follow(&mut self, applied: &Version) -> bool {
        let due = self.is_stale && !self.read_in_flight && self.read_revision < *applied;
        if due {
            (self.is_stale, self.read_in_flight) = (false, true);
        }
        due
    }
}
