//! The teams' logs of lost task starts: the machine, the time and the cause of each.
//!
//! A loss is recorded in the job's own record by the same change that ends the claim, so it costs
//! no change of its own and survives every controller. So that a team can learn of its losses
//! without a query for each job, the owner of its workspace copies them into the team's log, many
//! in one record, when the change rate leaves capacity. Delivery is at least once and may be late:
//! a new owner reads the log and adds what is missing.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, Response, StoreReply, StoreRequest};
use crate::store::cache::Versioned;
use crate::store::records::{
    loss_head_key, loss_log_key, loss_log_prefix, workspace_key, ArchiveRecord, LossHead,
    LOSS_LOG_PREFIX,
};
use cleatfold_wire::losses::{Loss, TeamLosses};
use cleatfold_wire::store::Txn;
use cleatfold_wire::{JobId, TeamId, Version};
use std::collections::BTreeMap;

/// Interval between an owner's scans for losses that are not in the log yet.
const LOSS_SCAN_INTERVAL_MS: u64 = 5000;
/// A loss that has waited this long is written even if the change rate leaves no spare capacity.
const MAX_WRITE_DELAY_MS: u64 = 60_000;
/// Losses in one record of the log, about 100 bytes each.
const LOSSES_PER_GROUP: usize = 100;
/// How many revisions of the logs a new owner reads back. The state service keeps 10,000.
const LOG_READ_BACK_REVISIONS: u64 = 9000;
/// How many revisions of the archive a new owner reads back, for jobs that ended before it owned
/// their team's log.
const ARCHIVE_READ_BACK_REVISIONS: u64 = 3000;

impl Controller {
    /// Sets the teams whose logs this controller writes, each with its workspace's token.
    pub(crate) fn set_owned_loss_logs(&mut self, tokens: &BTreeMap<TeamId, Version>) {
        self.loss_logs.set_owned(tokens);
    }

    /// Reads the logs if needed, collects new losses and writes them. Called periodically once the
    /// controller serves.
    pub(crate) fn maintain_loss_logs(&mut self) {
        if self.loss_logs.begin_read_if_due() {
            let from =
                Version(self.cache.applied_revision.0.saturating_sub(LOG_READ_BACK_REVISIONS));
            let request = StoreRequest::Changes { prefix: LOSS_LOG_PREFIX.into(), from };
            self.call_store(CallPriority::Poll, request, Pending::LossLog);
        }
        if self.loss_logs.archive_reread_due && !self.archive.read_in_flight {
            // Finds the losses of jobs that ended while the team's workspace had no owner.
            self.loss_logs.archive_reread_due = false;
            let from =
                Version(self.cache.applied_revision.0.saturating_sub(ARCHIVE_READ_BACK_REVISIONS));
            self.archive.read_revision = self.archive.read_revision.min(from);
            self.archive.is_stale = true;
            self.read_archive_changes();
        }
        let now = self.now;
        if now.since(self.loss_logs.scanned_at) >= LOSS_SCAN_INTERVAL_MS {
            self.loss_logs.scanned_at = now;
            for id in &self.cache.jobs_with_losses {
                let Some(cached) = self.cache.jobs.get(id) else { continue };
                let Some(log) = self.loss_logs.loaded_log(&cached.record.spec.team) else {
                    continue;
                };
                for table in self.cache.tables(id) {
                    log.add_new_losses(now, id, &table.losses);
                }
            }
            self.loss_logs.clear_full();
        }
        self.write_loss_group();
    }

    /// Collects an ended job's losses from its archive record.
    pub(crate) fn record_ended_job_losses(&mut self, job: &JobId, archive: &ArchiveRecord) {
        if let Some(log) = self.loss_logs.loaded_log(&archive.team) {
            log.add_new_losses(self.now, job, &archive.losses);
        }
    }

    /// Writes one group of losses: of the team whose oldest unwritten loss has waited longest.
    fn write_loss_group(&mut self) {
        if !self.rate_limiter.has_token() {
            return;
        }
        let now = self.now;
        // A log with an unreadable head is not overwritten, and does not delay the other teams'
        // logs.
        let unreadable = &self.cache.unreadable;
        let logs = self.loss_logs.logs.iter_mut().filter(|(team, log)| {
            let is_readable = unreadable.is_empty() || !unreadable.contains(&loss_head_key(team));
            !log.write_in_flight && !log.unwritten.is_empty() && is_readable
        });
        let Some((team, log)) = logs.max_by_key(|(_, log)| log.oldest_wait_ms(now)) else { return };
        let is_urgent = log.oldest_wait_ms(now) >= MAX_WRITE_DELAY_MS;
        if !is_urgent
            && (!self.rate_limiter.has_spare_changes() || self.loss_logs.scanned_at != now)
        {
            return;
        }
        let (team, token) = (team.clone(), log.token);
        let Versioned { version, value: head } =
            self.cache.loss_heads.get(&team).cloned().unwrap_or_default();
        let group: Vec<Loss> =
            log.unwritten.iter().take(LOSSES_PER_GROUP).map(|(_, loss)| loss.clone()).collect();
        log.write_in_flight = true;
        let mut txn = Txn::default();
        txn.guard(workspace_key(&team), token);
        txn.guard(loss_head_key(&team), version);
        txn.put(loss_head_key(&team), &LossHead { next: head.next + 1 }, None);
        txn.put(loss_log_key(&team, head.next), &group, None);
        let pending = Pending::LossGroup { team, token, count: group.len(), txn: txn.clone() };
        self.call_store(CallPriority::Poll, StoreRequest::Txn(txn), pending);
    }

    pub(crate) fn on_loss_logs_read(&mut self, reply: StoreReply) {
        match reply {
            StoreReply::Events(events) => self.loss_logs.apply_read(&events.events),
            // The logs' content remains unknown, so the losses in the records are logged once more.
            StoreReply::TooOld => self.loss_logs.apply_read(&[]),
            _ => self.loss_logs.read_in_flight = false,
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
        let Some(log) = self.loss_logs.logs.get_mut(&team).filter(|log| log.token == token) else {
            return;
        };
        match reply {
            StoreReply::Committed(_) => {
                tracing::info!(%team, losses = count, "losses logged");
                log.unwritten.drain(..count.min(log.unwritten.len()));
            }
            // The write may have been executed. Sending it again is safe: if it was executed the
            // guard fails, and the group is written a second time under the next number.
            StoreReply::Unknown => {
                let pending = Pending::LossGroup { team, token, count, txn: txn.clone() };
                return self.schedule_resend(op, CallPriority::Poll, txn, pending, 500);
            }
            _ => {}
        }
        log.write_in_flight = false;
        self.session.sync_wanted = true;
    }

    // ---- team queries ----

    pub(crate) fn on_team_losses_query(&mut self, rid: u64, team: TeamId, since: u64) {
        if let Some(refusal) = self.team_query_refusal(&team) {
            return self.reply(rid, refusal);
        }
        let prefix = loss_log_prefix(&team);
        let from = since.checked_sub(1).map(|previous| loss_log_key(&team, previous));
        self.call_store(
            CallPriority::Poll,
            StoreRequest::List { prefix, from, limit: None },
            Pending::TeamLosses { rid, since },
        );
    }

    pub(crate) fn on_team_losses_read(&mut self, rid: u64, since: u64, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            return self.reply(rid, Response::store_unavailable());
        };
        // A client that has received all groups keeps its position.
        let mut answer = TeamLosses { losses: Vec::new(), next: since, more: page.more };
        for item in &page.items {
            // The answer is one line, whose length the protocol limits.
            if answer.losses.len() >= 4 * LOSSES_PER_GROUP {
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
