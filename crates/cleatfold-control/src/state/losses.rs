//! What is known of the teams' logs of lost starts: what is in them, and what has still to be written.

use crate::records::*;
use cleatfold_wire::losses::Loss;
use cleatfold_wire::*;
use std::collections::{BTreeMap, BTreeSet};

/// What is kept in memory of what is in a log, and of what is not in it yet. What is above
/// is still told by its job.
pub(crate) const KNOWN: usize = 20_000;

/// One start of a task.
pub(crate) type Start = (JobId, TaskIx, Attempt);

/// A team's log, under its workspace's token.
#[derive(Default)]
pub(crate) struct Log {
    pub token: Version,
    /// What is in it already is asked for, and has been read.
    pub asked: bool,
    pub read: bool,
    pub known: BTreeSet<Start>,
    /// In the order in which they were found.
    pub waiting: Vec<(Ms, Loss)>,
    pub writing: bool,
}

/// The logs of the teams whose workspaces we keep.
#[derive(Default)]
pub(crate) struct Losses {
    pub looked: Ms,
    pub reading: bool,
    /// How jobs ended is to be read once more from a while back on.
    pub back: bool,
    pub logs: BTreeMap<TeamId, Log>,
}

impl Log {
    pub fn find(&mut self, now: Ms, job: &JobId, list: &LossList) {
        for loss in list.told(job) {
            let start = (job.clone(), loss.task.ix, loss.attempt);
            if self.known.len() < KNOWN && self.known.insert(start) {
                self.waiting.push((now, loss));
            }
        }
    }

    /// The losses of a record of the log are in it.
    pub fn note_logged(&mut self, losses: &[Loss]) {
        for loss in losses {
            self.known.insert((loss.task.job.clone(), loss.task.ix, loss.attempt));
        }
    }

    pub fn waited(&self, now: Ms) -> u64 {
        self.waiting.first().map_or(0, |(at, _)| now.since(*at))
    }
}
