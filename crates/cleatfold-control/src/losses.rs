//! Nothing vanishes: which starts of tasks were lost, with what, when and why.
//!
//! A loss is recorded in the job's own record by the very change that ends the claim, so it costs
//! none of its own and outlives every controller. For a team to hear of its losses without
//! asking for each job, the leader copies them into the team's log, many in one record, when
//! there are changes to spare: told late rather than never, and at least once (a new leader reads
//! what is there and adds what is missing).

use crate::effects::*;
use crate::node::{Node, Pending};
use crate::records::*;
use cleatfold_duties::Duty;
use cleatfold_wire::losses::{Loss, TeamLosses};
use cleatfold_wire::store::Txn;
use cleatfold_wire::*;
use std::collections::{BTreeMap, BTreeSet};

/// The leader looks for losses that are not in the log yet so often.
const LOOK_MS: u64 = 5000;
/// Losses that have waited so long go even where changes are short.
const WAIT_MS: u64 = 60_000;
/// Of one record of the log; some 100 bytes each.
const GROUP: usize = 100;
/// What is kept in memory of what is in the log, and of what is not in it yet. What is above
/// is still told by its job.
const KNOWN: usize = 20_000;
/// A new leader reads back so many revisions; the service keeps 10,000.
const BACK: u64 = 9000;

type Start = (JobId, TaskIx, Attempt);

/// The leader's side of the logs.
#[derive(Default)]
pub(crate) struct Losses {
    looked: Ms,
    /// What has been read of the logs; none: nothing yet, since we do not lead.
    read: bool,
    reading: bool,
    known: BTreeSet<Start>,
    /// By team, in the order in which they were found.
    waiting: BTreeMap<TeamId, Vec<(Ms, Loss)>>,
    writing: bool,
}

impl Losses {
    fn find(&mut self, now: Ms, team: &TeamId, job: &JobId, list: &LossList) {
        for loss in list.told(job) {
            let start = (job.clone(), loss.task.ix, loss.attempt);
            if self.known.len() < KNOWN && self.known.insert(start) {
                self.waiting.entry(team.clone()).or_default().push((now, loss));
            }
        }
    }

    /// The losses of a record of the log are in it.
    fn note_logged(&mut self, losses: &[Loss]) {
        for loss in losses {
            self.known.insert((loss.task.job.clone(), loss.task.ix, loss.attempt));
        }
    }
}

impl Node {
    /// Only whoever holds the duty, at each tick.
    pub(crate) fn keep_losses(&mut self) {
        if !self.losses.read {
            if !self.losses.reading {
                self.losses.reading = true;
                let from = Version(self.mirror.applied.0.saturating_sub(BACK));
                let request = StoreRequest::Changes { prefix: LOSS_LOG.into(), from };
                self.store(Lane::Poll, request, Pending::LossLog);
            }
            return;
        }
        if self.now.since(self.losses.looked) >= LOOK_MS {
            self.losses.looked = self.now;
            let now = self.now;
            for id in &self.mirror.lossy {
                let Some(live) = self.mirror.jobs.get(id) else { continue };
                for table in self.mirror.tables(id) {
                    self.losses.find(now, &live.record.spec.team, id, &table.losses);
                }
            }
            if self.losses.known.len() >= KNOWN && self.losses.waiting.is_empty() {
                // All of it is in the logs. What is found again is told again.
                self.losses.known.clear();
            }
        }
        self.write_losses();
    }

    /// Whoever does not hold it keeps nothing.
    pub(crate) fn forget_losses(&mut self) {
        if self.losses.read && !self.losses.writing {
            self.losses = Losses::default();
        }
    }

    /// An ended job's losses, as its archive record has them.
    pub(crate) fn find_ended_losses(&mut self, job: &JobId, archive: &ArchiveRecord) {
        if self.losses.read {
            self.losses.find(self.now, &archive.team, job, &archive.losses);
        }
    }

    fn write_losses(&mut self) {
        if self.losses.writing || !self.pace.open() {
            return;
        }
        let waited = |l: &[(Ms, Loss)]| l.first().map_or(0, |(at, _)| self.now.since(*at));
        let longest = self.losses.waiting.iter().max_by_key(|(_, l)| waited(l));
        let Some((team, list)) = longest else { return };
        let pressing = waited(list) >= WAIT_MS;
        if !pressing && (!self.pace.ample() || self.losses.looked != self.now) {
            return;
        }
        let team = team.clone();
        let (version, head) = self.mirror.loss_heads.get(&team).cloned().unwrap_or_default();
        let group: Vec<Loss> = list.iter().take(GROUP).map(|(_, loss)| loss.clone()).collect();
        let Some(epoch) = self.epoch(Duty::Tell) else { return };
        let mut txn = Txn::default();
        txn.guard(Duty::Tell.key(), epoch);
        txn.guard(loss_head_key(&team), version);
        txn.put(loss_head_key(&team), &LossHead { next: head.next + 1 }, None);
        txn.put(loss_log_key(&team, head.next), &group, None);
        self.losses.writing = true;
        let pending = Pending::LossGroup { team, count: group.len(), txn: txn.clone() };
        self.store(Lane::Poll, StoreRequest::Txn(txn), pending);
    }

    pub(crate) fn on_loss_log(&mut self, reply: StoreReply) {
        self.losses.reading = false;
        match reply {
            StoreReply::Events(events) => {
                for event in &events.events {
                    let value = event.value.as_ref().filter(|_| event.put.is_some());
                    let group = value.and_then(|v| serde_json::from_str::<Vec<Loss>>(v.get()).ok());
                    self.losses.note_logged(&group.unwrap_or_default());
                }
                self.losses.read = true;
            }
            // What stands in the records now is told again.
            StoreReply::TooOld => self.losses.read = true,
            _ => {}
        }
    }

    pub(crate) fn on_loss_group(
        &mut self,
        op: u64,
        team: TeamId,
        count: usize,
        txn: Txn,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Committed(_) => {
                tracing::info!(%team, losses = count, "losses logged");
                if let Some(waiting) = self.losses.waiting.get_mut(&team) {
                    waiting.drain(..count.min(waiting.len()));
                    if waiting.is_empty() {
                        self.losses.waiting.remove(&team);
                    }
                }
            }
            // Perhaps it is there: the same again, its guard decides. If it was there the guard
            // fails and the group is written once more under the next number.
            StoreReply::Unknown => {
                let pending = Pending::LossGroup { team, count, txn: txn.clone() };
                return self.again(op, Lane::Poll, txn, pending, 500);
            }
            _ => {}
        }
        self.losses.writing = false;
        self.want_sync = true;
    }

    // ---- what a team asks ----

    pub(crate) fn on_team_losses(&mut self, rid: u64, team: TeamId, since: u64) {
        if self.cfg.team(&team).is_none() {
            return self.reply(rid, Response::refuse(404, "no such team"));
        }
        if self.store_away() {
            return self.reply(rid, Response::later("the state service does not answer"));
        }
        let prefix = loss_log_prefix(&team);
        let from = since.checked_sub(1).map(|last| loss_log_key(&team, last));
        self.store(
            Lane::Poll,
            StoreRequest::List { prefix, from },
            Pending::TeamLosses { rid, since },
        );
    }

    pub(crate) fn on_team_losses_read(&mut self, rid: u64, since: u64, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            return self.reply(rid, Response::later("the state service does not answer"));
        };
        // Whoever has heard all goes on from where he was.
        let mut told = TeamLosses { losses: Vec::new(), next: since, more: page.more };
        for item in &page.items {
            // No line of an answer may be longer than the protocol allows.
            if told.losses.len() >= 4 * GROUP {
                told.more = true;
                break;
            }
            if let Ok(group) = serde_json::from_str::<Vec<Loss>>(item.value.get()) {
                told.losses.extend(group);
            }
            let number = item.key.rsplit('/').next().and_then(|n| n.parse::<u64>().ok());
            told.next = number.map_or(told.next, |n| n + 1);
        }
        self.reply(rid, Response::Losses(told));
    }
}
