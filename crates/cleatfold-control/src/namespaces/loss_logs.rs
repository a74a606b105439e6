//! What is known of the teams' logs of lost starts: what is in them, and what has still to be written.

use crate::store::records::{LossList, LOSS_LOG};
use cleatfold_wire::losses::Loss;
use cleatfold_wire::store::Event;
use cleatfold_wire::{Attempt, JobId, Ms, TaskIx, TeamId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// What is kept in memory of what is in a log, and of what is not in it yet. What is above
/// is still told by its job.
const KNOWN: usize = 20_000;

/// One start of a task.
type Start = (JobId, TaskIx, Attempt);

/// A team's log, under its workspace's token.
#[derive(Default)]
pub(crate) struct Log {
    pub token: Version,
    /// What is in it already is asked for, and has been read.
    asked: bool,
    read: bool,
    known: BTreeSet<Start>,
    /// In the order in which they were found.
    pub waiting: Vec<(Ms, Loss)>,
    pub writing: bool,
}

/// The logs of the teams whose workspaces we keep.
#[derive(Default)]
pub(crate) struct LossLogs {
    pub last_checked: Ms,
    pub reading: bool,
    /// How jobs ended is to be read once more from a while back on.
    pub back: bool,
    pub logs: BTreeMap<TeamId, Log>,
}

impl LossLogs {
    /// The workspaces of these teams are ours, each under its token; their logs are ours to write.
    pub(crate) fn own(&mut self, owned: &BTreeMap<TeamId, Version>) {
        self.logs.retain(|team, log| owned.get(team) == Some(&log.token));
        for (team, token) in owned {
            if !self.logs.contains_key(team) {
                let log = Log { token: *token, ..Log::default() };
                self.logs.insert(team.clone(), log);
            }
        }
    }

    /// Whether it is to be asked now what the logs contain; then that is under way.
    pub(crate) fn begin_reading(&mut self) -> bool {
        let due = !self.reading && self.logs.values().any(|log| !log.read);
        if due {
            self.reading = true;
            self.logs.values_mut().for_each(|log| log.asked = true);
        }
        due
    }

    /// These changes are what the logs contain.
    pub(crate) fn note_read(&mut self, events: &[Event]) {
        self.reading = false;
        for event in events {
            let value = event.value.as_ref().filter(|_| event.put.is_some());
            let group = value.and_then(|v| serde_json::from_str::<Vec<Loss>>(v.get()).ok());
            let key = event.put.as_deref().and_then(|k| k.strip_prefix(LOSS_LOG));
            let team = key.and_then(|k| k.rsplit_once('/')).map(|(team, _)| TeamId::new(team));
            let log = team.and_then(|team| self.logs.get_mut(&team));
            if let (Some(log), Some(group)) = (log, group) {
                log.note_logged(&group);
            }
        }
        for log in self.logs.values_mut().filter(|log| log.asked) {
            log.read = true;
        }
        self.back = true;
    }

    /// The log of a team, if it is ours and its content is known.
    pub(crate) fn log(&mut self, team: &TeamId) -> Option<&mut Log> {
        self.logs.get_mut(team).filter(|log| log.read)
    }

    /// Forgets full lists of which all is in the log. What is found again is told again.
    pub(crate) fn forget_written(&mut self) {
        for log in self.logs.values_mut() {
            if log.known.len() >= KNOWN && log.waiting.is_empty() {
                log.known.clear();
            }
        }
    }
}

impl Log {
    /// Adds those of a job's losses that are not known yet to what has to be written.
    pub(crate) fn find(&mut self, now: Ms, job: &JobId, list: &LossList) {
        for loss in list.entries(job) {
            let start = (job.clone(), loss.task.ix, loss.attempt);
            if self.known.len() < KNOWN && self.known.insert(start) {
                self.waiting.push((now, loss));
            }
        }
    }

    /// The losses of a record of the log are in it.
    fn note_logged(&mut self, losses: &[Loss]) {
        for loss in losses {
            self.known.insert((loss.task.job.clone(), loss.task.ix, loss.attempt));
        }
    }

    /// How long the oldest loss has waited to be written, in milliseconds.
    pub(crate) fn waited(&self, now: Ms) -> u64 {
        self.waiting.first().map_or(0, |(at, _)| now.since(*at))
    }
}
