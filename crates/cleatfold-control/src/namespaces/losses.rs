//! Nothing vanishes: which starts of tasks were lost, with what, when and why.
//!
//! A loss is recorded in the job's own record by the very change that ends the claim, so it costs
//! none of its own and outlives every controller. For a team to hear of its losses without
//! asking for each job, its workspace's owner copies them into the team's log, many in one record,
//! when there are changes to spare: told late rather than never, and at least once (a new owner reads
//! what is there and adds what is missing).

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, Response, StoreReply, StoreRequest};
use crate::store::cache::Versioned;
use crate::store::records::{
    loss_head_key, loss_log_key, loss_log_prefix, workspace_key, ArchiveRecord, LossHead, LOSS_LOG,
};
use cleatfold_wire::losses::{Loss, TeamLosses};
use cleatfold_wire::store::Txn;
use cleatfold_wire::{JobId, TeamId, Version};
use std::collections::BTreeMap;

/// An owner looks for losses that are not in the log yet so often.
const LOSS_SCAN_INTERVAL_MS: u64 = 5000;
/// Losses that have waited so long go even where changes are short.
const WAIT_MS: u64 = 60_000;
/// Of one record of the log; some 100 bytes each.
const GROUP: usize = 100;
/// A new owner reads back so many revisions of the logs, and of jobs that ended before it looked; the
/// service keeps 10,000.
const BACK: u64 = 9000;
const BACK_ENDED: u64 = 3000;

impl Controller {
    /// Whose logs are ours to write, and under which token.
    pub(crate) fn note_logs(&mut self, mine: &BTreeMap<TeamId, Version>) {
        self.loss_logs.own(mine);
    }

    /// Now and then, once we serve.
    pub(crate) fn keep_losses(&mut self) {
        if self.loss_logs.begin_reading() {
            let from = Version(self.cache.applied.0.saturating_sub(BACK));
            let request = StoreRequest::Changes { prefix: LOSS_LOG.into(), from };
            self.store(CallPriority::Poll, request, Pending::LossLog);
        }
        if self.loss_logs.back && !self.archive.following {
            // What ended while nobody kept the team.
            self.loss_logs.back = false;
            let back = Version(self.cache.applied.0.saturating_sub(BACK_ENDED));
            self.archive.read_to = self.archive.read_to.min(back);
            self.archive.stale = true;
            self.follow_archive();
        }
        let now = self.now;
        if now.since(self.loss_logs.last_checked) >= LOSS_SCAN_INTERVAL_MS {
            self.loss_logs.last_checked = now;
            for id in &self.cache.lossy {
                let Some(cached) = self.cache.jobs.get(id) else { continue };
                let Some(log) = self.loss_logs.log(&cached.record.spec.team) else { continue };
                for table in self.cache.tables(id) {
                    log.find(now, id, &table.losses);
                }
            }
            self.loss_logs.forget_written();
        }
        self.write_losses();
    }

    /// An ended job's losses, as its archive record has them.
    pub(crate) fn record_ended_job_losses(&mut self, job: &JobId, archive: &ArchiveRecord) {
        if let Some(log) = self.loss_logs.log(&archive.team) {
            log.find(self.now, job, &archive.losses);
        }
    }

    fn write_losses(&mut self) {
        if !self.rate_limiter.is_open() {
            return;
        }
        let now = self.now;
        // One that cannot be read is not written over, and keeps no other team waiting.
        let unreadable = &self.cache.unreadable;
        let logs = self.loss_logs.logs.iter_mut().filter(|(team, log)| {
            let readable = unreadable.is_empty() || !unreadable.contains(&loss_head_key(team));
            !log.writing && !log.waiting.is_empty() && readable
        });
        let Some((team, log)) = logs.max_by_key(|(_, l)| l.waited(now)) else { return };
        let pressing = log.waited(now) >= WAIT_MS;
        if !pressing && (!self.rate_limiter.is_ample() || self.loss_logs.last_checked != now) {
            return;
        }
        let (team, token) = (team.clone(), log.token);
        let Versioned { version, value: head } =
            self.cache.loss_heads.get(&team).cloned().unwrap_or_default();
        let group: Vec<Loss> = log.waiting.iter().take(GROUP).map(|(_, l)| l.clone()).collect();
        log.writing = true;
        let mut txn = Txn::default();
        txn.guard(workspace_key(&team), token);
        txn.guard(loss_head_key(&team), version);
        txn.put(loss_head_key(&team), &LossHead { next: head.next + 1 }, None);
        txn.put(loss_log_key(&team, head.next), &group, None);
        let pending = Pending::LossGroup { team, token, count: group.len(), txn: txn.clone() };
        self.store(CallPriority::Poll, StoreRequest::Txn(txn), pending);
    }

    pub(crate) fn on_loss_logs_read(&mut self, reply: StoreReply) {
        match reply {
            StoreReply::Events(events) => self.loss_logs.note_read(&events.events),
            // What stands in the records now is told again.
            StoreReply::TooOld => self.loss_logs.note_read(&[]),
            _ => self.loss_logs.reading = false,
        }
    }

    pub(crate) fn on_loss_group_written(
        &mut self,
        op: u64,
        (team, token): (TeamId, Version),
        count: usize,
        txn: Txn,
        reply: StoreReply,
    ) {
        let Some(log) = self.loss_logs.logs.get_mut(&team).filter(|l| l.token == token) else {
            return;
        };
        match reply {
            StoreReply::Committed(_) => {
                tracing::info!(%team, losses = count, "losses logged");
                log.waiting.drain(..count.min(log.waiting.len()));
            }
            // Perhaps it is there: the same again, its guard decides. If it was there the guard
            // fails and the group is written once more under the next number.
            StoreReply::Unknown => {
                let pending = Pending::LossGroup { team, token, count, txn: txn.clone() };
                return self.again(op, CallPriority::Poll, txn, pending, 500);
            }
            _ => {}
        }
        log.writing = false;
        self.session.sync_wanted = true;
    }

    // ---- what a team asks ----

    pub(crate) fn on_team_losses_query(&mut self, rid: u64, team: TeamId, since: u64) {
        if let Some(refusal) = self.refuse_team(&team) {
            return self.reply(rid, refusal);
        }
        let prefix = loss_log_prefix(&team);
        let from = since.checked_sub(1).map(|last| loss_log_key(&team, last));
        self.store(
            CallPriority::Poll,
            StoreRequest::List { prefix, from, most: None },
            Pending::TeamLosses { rid, since },
        );
    }

    pub(crate) fn on_team_losses_read(&mut self, rid: u64, since: u64, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            return self.reply(rid, Response::store_unavailable());
        };
        // Whoever has heard all goes on from where he was.
        let mut answer = TeamLosses { losses: Vec::new(), next: since, more: page.more };
        for item in &page.items {
            // No line of an answer may be longer than the protocol allows.
            if answer.losses.len() >= 4 * GROUP {
                answer.more = true;
                break;
            }
            if let Ok(group) = serde_json::from_str::<Vec<Loss>>(item.value.get()) {
                answer.losses.extend(group);
            }
            let number = item.key.rsplit('/').next().and_then(|n| n.parse::<u64>().ok());
            answer.next = number.map_or(answer.next, |n| n + 1);
        }
        self.reply(rid, Response::Losses(answer));
    }
}
