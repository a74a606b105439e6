//! The teams' logs of lost task starts: which starts are known to be logged, and which are still to
//! be written.

use crate::store::records::{LossList, LOSS_LOG_PREFIX};
use cleatfold_wire::losses::Loss;
use cleatfold_wire::store::Event;
use cleatfold_wire::{Attempt, JobId, Ms, TaskIx, TeamId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// The number of starts of one log that are held in memory, logged or unwritten. Losses beyond it
/// are not logged meanwhile; the answers about their jobs still contain them.
const MAX_KNOWN_STARTS: usize = 20_000;

/// One start of a task.
type TaskStart = (JobId, TaskIx, Attempt);

/// One team's log, under the fencing token of its workspace.
#[derive(Default)]
pub(crate) struct LossLog {
    pub token: Version,
    /// The content of the log has been requested.
    read_requested: bool,
    /// The content of the log has been read.
    is_loaded: bool,
    known_starts: BTreeSet<TaskStart>,
    /// Losses that are still to be written, in the order in which they were found, each with the
    /// time at which it was found.
    pub unwritten: Vec<(Ms, Loss)>,
    pub write_in_flight: bool,
}

/// The logs of the teams whose workspaces this controller owns.
#[derive(Default)]
pub(crate) struct LossLogs {
    pub scanned_at: Ms,
    pub read_in_flight: bool,
    /// The archive is to be read again from some revisions back.
    pub archive_reread_due: bool,
    pub logs: BTreeMap<TeamId, LossLog>,
}

impl LossLogs {
    /// Sets the teams whose workspaces this controller owns, each with the workspace's token. A log
    /// whose token has changed starts empty.
    pub(crate) fn set_owned(&mut self, owned: &BTreeMap<TeamId, Version>) {
        self.logs.retain(|team, log| owned.get(team) == Some(&log.token));
        for (team, token) in owned {
            if !self.logs.contains_key(team) {
                let log = LossLog { token: *token, ..LossLog::default() };
                self.logs.insert(team.clone(), log);
            }
        }
    }

    /// Whether the logs' content is to be read now. If so, the read counts as in flight.
    pub(crate) fn begin_read_if_due(&mut self) -> bool {
        let is_due = !self.read_in_flight && self.logs.values().any(|log| !log.is_loaded);
        if is_due {
            self.read_in_flight = true;
            self.logs.values_mut().for_each(|log| log.read_requested = true);
        }
        is_due
    }

    /// Takes the changes of the logs that a read returned as the logs' content.
    pub(crate) fn apply_read(&mut self, events: &[Event]) {
        self.read_in_flight = false;
        for event in events {
            let value = event.value.as_ref().filter(|_| event.put.is_some());
            let group = value.and_then(|v| serde_json::from_str::<Vec<Loss>>(v.get()).ok());
            let key = event.put.as_deref().and_then(|k| k.strip_prefix(LOSS_LOG_PREFIX));
            let team = key.and_then(|k| k.rsplit_once('/')).map(|(team, _)| TeamId::new(team));
            let log = team.and_then(|team| self.logs.get_mut(&team));
            if let (Some(log), Some(group)) = (log, group) {
                log.mark_logged(&group);
            }
        }
        for log in self.logs.values_mut().filter(|log| log.read_requested) {
            log.is_loaded = true;
        }
        self.archive_reread_due = true;
    }

    /// The team's log, if this controller owns it and has read its content.
    pub(crate) fn loaded_log(&mut self, team: &TeamId) -> Option<&mut LossLog> {
        self.logs.get_mut(team).filter(|log| log.is_loaded)
    }

    /// Clears the known starts of logs that have reached the limit and have nothing left to write.
    /// Losses that a scan finds again are then logged again.
    pub(crate) fn clear_full(&mut self) {
        for log in self.logs.values_mut() {
            if log.known_starts.len() >= MAX_KNOWN_STARTS && log.unwritten.is_empty() {
                log.known_starts.clear();
            }
        }
    }
}

impl LossLog {
    /// Adds those of a job's losses that are not known yet to the unwritten ones.
    pub(crate) fn add_new_losses(&mut self, now: Ms, job: &JobId, list: &LossList) {
        for loss in list.entries(job) {
            let start = (job.clone(), loss.task.ix, loss.attempt);
            if self.known_starts.len() < MAX_KNOWN_STARTS && self.known_starts.insert(start) {
                self.unwritten.push((now, loss));
            }
        }
    }

    /// Marks the losses of a group of the log as known.
    fn mark_logged(&mut self, losses: &[Loss]) {
        for loss in losses {
            self.known_starts.insert((loss.task.job.clone(), loss.task.ix, loss.attempt));
        }
    }

    /// How long the oldest unwritten loss has waited, in milliseconds.
    pub(crate) fn oldest_wait_ms(&self, now: Ms) -> u64 {
        self.unwritten.first().map_or(0, |(found_at, _)| now.since(*found_at))
    }
}
