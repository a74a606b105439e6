//! Ownership of the teams' workspaces, and the histories of their ended jobs. The decisions are
//! made in `cleatfold_workspace`.
//!
//! Every write of an owner is guarded by the version of the workspace's key, so a replaced owner
//! can no longer write, however late its transaction is executed. Ended jobs are read from the
//! archive, where each is written once: a history is a copy of the archive's records in the order
//! of their revisions, and a new owner continues after the revision named in the history's head.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::namespaces::workspace_state::{
    parse_history_group, ArchiveScan, HistoryWrite, OwnedWorkspace,
};
use crate::store::cache::Versioned;
use crate::store::records::{
    history_group_key, history_head_key, history_prefix, workspace_key, ArchiveRecord,
    HistoryGroup, HistoryHead, HolderRecord, ARCHIVE_PREFIX,
};
use cleatfold_wire::store::{Events, Item, Txn};
use cleatfold_wire::{JobId, TeamId, Version};
use cleatfold_workspace::{owner, JobEnd, MIN_GROUP_ENTRIES};
use std::collections::BTreeMap;

/// Interval between two checks for workspaces without an owner.
const OWNERSHIP_INTERVAL_MS: u64 = 200;
/// Interval between two checks for histories and loss logs to be written.
const HISTORY_INTERVAL_MS: u64 = 1000;
/// Interval between two reads of the archive for jobs that this controller ended itself, unless a
/// query requests one earlier.
const ARCHIVE_READ_INTERVAL_MS: u64 = 2000;
/// Interval between two checks for history groups that are past their retention.
const RETENTION_INTERVAL_MS: u64 = 3_600_000;
/// The number of oldest groups that one retention check reads.
const GROUPS_PER_RETENTION_CHECK: u32 = 12;
/// How many revisions of the archive are read back once the cache is loaded. The state service
/// keeps 10,000.
const MAX_READ_BACK_REVISIONS: u64 = 9000;
/// Ownership of up to this many workspaces is written with the priority of a renewal, ahead of
/// claims.
const MAX_WORKSPACES_AT_RENEWAL_PRIORITY: usize = 4;

fn job_end(job: &JobId, archive: &ArchiveRecord, version: Version) -> JobEnd {
    JobEnd { version: version.0, team: archive.team.clone(), entry: archive.history_entry(job) }
}

/// Parses an archived job from a stored item. Every controller skips an unreadable record, so they
/// all assign the same numbers to the entries of a history. A poll for such a job gets no reply.
fn parse_archived_job(item: &Item) -> Option<(JobId, ArchiveRecord)> {
    let job = item.key.strip_prefix(ARCHIVE_PREFIX)?;
    Some((JobId::new(job), serde_json::from_str(item.value.get()).ok()?))
}

impl Controller {
    /// Maintains ownership, histories and loss logs. Called at each tick once the controller
    /// serves.
    pub(crate) fn maintain_workspaces(&mut self) {
        if self.now.since(self.workspaces.ownership_checked_at) < OWNERSHIP_INTERVAL_MS {
            return;
        }
        self.workspaces.ownership_checked_at = self.now;
        self.maintain_ownership();
        self.refresh_owned_workspaces();
        if self.now.since(self.workspaces.histories_checked_at) >= HISTORY_INTERVAL_MS {
            self.workspaces.histories_checked_at = self.now;
            self.maintain_ended_jobs();
            self.maintain_histories();
            self.maintain_loss_logs();
        }
    }

    /// The fencing token of a workspace that this controller owns, according to the cache.
    pub(crate) fn workspace_token(&self, team: &TeamId) -> Option<Version> {
        let Versioned { version, value: holder } = self.cache.workspaces.get(team)?;
        let is_owner = holder.owner == self.cfg.controller_id
            && Some(holder.incarnation) == self.session.incarnation;
        (is_owner && self.is_readable(&workspace_key(team))).then_some(*version)
    }

    fn is_readable(&self, key: &str) -> bool {
        self.cache.unreadable.is_empty() || !self.cache.unreadable.contains(key)
    }

    // ---- ownership ----

    fn maintain_ownership(&mut self) {
        let (now, me) = (self.now, self.cfg.controller_id.clone());
        let teams: Vec<TeamId> = self.cfg.teams.iter().map(|t| t.name.clone()).collect();
        let mut tracker = std::mem::take(&mut self.workspaces.ownership_tracker);
        let cache = &self.cache;
        // As with pools, the record's owner holds the workspace as long as the incarnation that the
        // record names is registered. An unreadable record counts as held, so it is never
        // overwritten.
        let is_held = |team: &TeamId| {
            let holder = cache.workspaces.get(team).map(|w| &w.value);
            holder.is_some_and(|h| {
                cache
                    .controllers
                    .get(&h.owner)
                    .is_some_and(|c| c.value.incarnation == h.incarnation)
            }) || !self.is_readable(&workspace_key(team))
        };
        tracker.observe(now, &me, cache.controllers.keys(), teams.iter(), is_held);
        let registered = cache.controllers.get(&me).map(|c| c.value.incarnation);
        let is_uncertain = self
            .workspaces
            .ownership_uncertain_at
            .is_some_and(|at| !self.session.has_read_since(at));
        let incarnation =
            self.session.incarnation.filter(|i| registered == Some(*i) && !is_uncertain);
        if let Some(incarnation) =
            incarnation.filter(|_| self.has_store_contact() && self.rate_limiter.has_token())
        {
            self.workspaces.ownership_uncertain_at = None;
            let rank = |team: &TeamId, live: &_| owner::owner_rank(team, &me, live);
            let owned_before_restart = |team: &TeamId| {
                let holder = cache.workspaces.get(team).map(|w| &w.value);
                holder.is_some_and(|h| h.owner == me && h.incarnation != incarnation)
                    && self.is_readable(&workspace_key(team))
            };
            let max_changes = self.cfg.max_txn_changes.min(self.rate_limiter.max_changes());
            let taken =
                tracker.next_to_acquire(now, max_changes, teams.iter(), rank, owned_before_restart);
            if !taken.is_empty() {
                let holder = HolderRecord { owner: me.clone(), incarnation };
                self.write_owners(taken, holder);
            }
            let owned = &self.workspaces.owned;
            let idle = owned.iter().filter(|(_, w)| !w.write_in_flight).map(|(team, _)| team);
            if let Some(team) = tracker.next_to_release(now, idle, rank) {
                let preferred = owner::preferred_owner(&team, tracker.live().iter()).cloned();
                let preferred = preferred.filter(|controller| *controller != me);
                let holder = preferred.and_then(|owner| {
                    let incarnation = self.cache.controllers.get(&owner)?.value.incarnation;
                    Some(HolderRecord { owner, incarnation })
                });
                match holder {
                    Some(holder) => {
                        tracing::info!(%team, to = %holder.owner, "handing over workspace ownership");
                        self.write_owners(vec![team], holder);
                    }
                    None => tracker.request_completed(&team),
                }
            }
        }
        self.workspaces.ownership_tracker = tracker;
    }

    /// Writes the owner of these workspaces, guarded by the versions of their present records.
    fn write_owners(&mut self, teams: Vec<TeamId>, holder: HolderRecord) {
        let mut txn = Txn::default();
        for team in &teams {
            let version = self.cache.workspaces.get(team).map(|w| w.version).unwrap_or_default();
            txn.guard(workspace_key(team), version);
            txn.put(workspace_key(team), &holder, None);
        }
        let priority = if teams.len() <= MAX_WORKSPACES_AT_RENEWAL_PRIORITY {
            CallPriority::Renewal
        } else {
            CallPriority::Claim
        };
        self.call_store(priority, StoreRequest::Txn(txn), Pending::Workspaces(teams, holder));
    }

    pub(crate) fn on_workspace_owners_written(
        &mut self,
        teams: Vec<TeamId>,
        holder: HolderRecord,
        reply: StoreReply,
    ) {
        let committed = match reply {
            StoreReply::Committed(version) => Some(version),
            _ => {
                // The write may have been executed, or another controller's may have: the next read
                // of the state service shows which.
                self.workspaces.ownership_uncertain_at = Some(self.event);
                None
            }
        };
        for team in teams {
            self.workspaces.ownership_tracker.request_completed(&team);
            let cached = self.cache.workspaces.get(&team).map(|w| w.version).unwrap_or_default();
            if let Some(version) = committed.filter(|v| *v > cached) {
                self.cache.workspaces.insert(team, Versioned::new(version, holder.clone()));
            }
        }
        self.session.sync_wanted = true;
        if committed.is_some() {
            self.send_to_peers(None, cleatfold_wire::mesh::Message::Changed);
        }
    }

    /// Updates the set of owned workspaces and their tokens from the cache.
    fn refresh_owned_workspaces(&mut self) {
        let mut tokens = BTreeMap::new();
        for team in &self.cfg.teams {
            if let Some(token) = self.workspace_token(&team.name) {
                tokens.insert(team.name.clone(), token);
            }
        }
        self.workspaces.owned.retain(|team, owned| tokens.get(team) == Some(&owned.token));
        for (team, token) in &tokens {
            if self.workspaces.owned.contains_key(team) {
                continue;
            }
            tracing::info!(%team, fencing_token = token.0, "workspace ownership acquired");
            let owned = OwnedWorkspace {
                token: *token,
                write_in_flight: false,
                history_uncertain_at: None,
                retention_checked_at: self.now,
                retention_running: false,
                expired_groups: Default::default(),
            };
            self.workspaces.owned.insert(team.clone(), owned);
        }
        self.set_owned_loss_logs(&tokens);
    }

    // ---- ended jobs ----

    /// Sets the revision from which ended jobs are read, once the cache is loaded: the lowest that
    /// a history's head names, among those that the state service surely still keeps.
    pub(crate) fn init_ended_jobs(&mut self) {
        let applied = self.cache.applied_revision.0;
        let upto = |t: &crate::config::Team| self.history_head(&t.name).value.upto;
        let in_reach =
            self.cfg.teams.iter().map(upto).filter(|u| u + MAX_READ_BACK_REVISIONS >= applied);
        let from = in_reach.min().unwrap_or(applied).min(applied);
        self.archive.read_revision = Version(from);
        self.archive.is_stale = true;
        self.workspaces.ended_jobs.add_revisions(from, from, []);
    }

    /// Handles a refused read of ended jobs: the state service no longer keeps the changes since
    /// `from`.
    pub(crate) fn on_ended_jobs_too_old(&mut self, from: Version) {
        // These changes had been read before and were only read again: continue after the last one.
        if let Some(to) = self.workspaces.ended_jobs.read_up_to().filter(|to| *to > from.0) {
            self.archive.read_revision = Version(to);
            self.archive.is_stale = true;
            return;
        }
        let applied = self.cache.applied_revision;
        self.archive.read_revision = applied;
        self.workspaces.ended_jobs.add_revisions(applied.0, applied.0, []);
    }

    /// Adds the ended jobs of a read of the archive's changes since `from`.
    pub(crate) fn record_ended_jobs(&mut self, from: Version, events: &Events) {
        let records = events.events.iter().filter_map(|e| {
            let job = JobId::new(e.put.as_deref()?.strip_prefix(ARCHIVE_PREFIX)?);
            // Most have just been put into the cache of ended jobs and need no second parsing.
            let archive = match self.terminal_jobs.record(&job) {
                Some(cached) => return Some(job_end(&job, cached, e.version)),
                None => serde_json::from_str::<ArchiveRecord>(e.value.as_ref()?.get()).ok()?,
            };
            Some(job_end(&job, &archive, e.version))
        });
        self.workspaces.ended_jobs.add_revisions(from.0, events.revision.0, records);
    }

    fn maintain_ended_jobs(&mut self) {
        for (team, head) in &self.cache.histories {
            self.workspaces.ended_jobs.remove_grouped(team, &head.value);
        }
        let is_behind = self
            .workspaces
            .ended_jobs
            .read_up_to()
            .is_none_or(|to| to < self.cache.applied_revision.0);
        if is_behind
            && self.now.since(self.workspaces.archive_requested_at) >= ARCHIVE_READ_INTERVAL_MS
        {
            self.workspaces.archive_requested_at = self.now;
            self.archive.is_stale = true;
            self.read_archive_changes();
        }
    }

    /// Scans the whole archive for teams whose jobs that ended since their history's head was
    /// written are not all known: the records are of an earlier version, or the workspace has had
    /// no owner for thousands of changes.
    fn scan_archive(&mut self, uncovered: Vec<TeamId>) {
        if self.workspaces.archive_scan.is_none() && !uncovered.is_empty() {
            let teams = uncovered.into_iter().map(|team| {
                let from = self.history_head(&team).value.upto;
                tracing::info!(%team, from, "scanning archive");
                (team, (from, BTreeMap::new()))
            });
            let teams = teams.collect();
            self.workspaces.archive_scan = Some(ArchiveScan { teams, ..ArchiveScan::default() });
        }
        if let Some(scan) = self.workspaces.archive_scan.as_mut().filter(|s| !s.page_requested) {
            scan.page_requested = true;
            let (prefix, from) = (ARCHIVE_PREFIX.to_string(), scan.next_page_from.clone());
            let request = StoreRequest::List { prefix, from, limit: None };
            self.call_store(CallPriority::Poll, request, Pending::ArchivePage);
        }
    }

    pub(crate) fn on_archive_page(&mut self, reply: StoreReply) {
        let max_jobs = self.cfg.history.jobs as usize;
        let Some(scan) = &mut self.workspaces.archive_scan else { return };
        scan.page_requested = false;
        // On any other reply the same page is requested again, one second later.
        let StoreReply::Page(page) = reply else { return };
        scan.first_page_revision.get_or_insert(page.revision.0);
        for item in &page.items {
            let Some((job, archive)) = parse_archived_job(item) else { continue };
            let Some((from, found)) = scan.teams.get_mut(&archive.team) else { continue };
            if item.version.0 > *from {
                found.insert((item.version.0, job.clone()), job_end(&job, &archive, item.version));
                // The oldest entries beyond the retention limit would be deleted again at once.
                if found.len() > max_jobs {
                    found.pop_first();
                }
            }
        }
        scan.next_page_from =
            page.items.last().map(|i| i.key.clone()).or(scan.next_page_from.take());
        if page.more {
            return self.scan_archive(vec![]);
        }
        let Some(scan) = self.workspaces.archive_scan.take() else { return };
        let revision = scan.first_page_revision.unwrap_or_default();
        for (team, (from, found)) in scan.teams {
            let jobs = found.len();
            let is_contiguous = self.workspaces.ended_jobs.add_archive_listing(
                &team,
                from,
                revision,
                found.into_values().collect(),
            );
            tracing::info!(%team, jobs, joins = is_contiguous, "archive scanned");
        }
    }

    // ---- histories ----

    pub(crate) fn history_head(&self, team: &TeamId) -> Versioned<HistoryHead> {
        self.cache.histories.get(team).cloned().unwrap_or_default()
    }

    fn maintain_histories(&mut self) {
        let mut uncovered = Vec::new();
        let teams: Vec<TeamId> = self.workspaces.owned.keys().cloned().collect();
        for team in teams {
            // An unreadable head stops the history of this team only; the cache has logged the
            // error.
            if !self.is_readable(&history_head_key(&team)) {
                continue;
            }
            let Versioned { version, value: head } = self.history_head(&team);
            let session = &self.session;
            let Some(owned) = self.workspaces.owned.get_mut(&team) else { continue };
            if owned.write_in_flight
                || owned.history_uncertain_at.is_some_and(|at| !session.has_read_since(at))
            {
                continue;
            }
            owned.history_uncertain_at = None;
            if !self.workspaces.ended_jobs.covers(&team, &head) {
                uncovered.push(team);
                continue;
            }
            self.apply_retention(&team, &head);
            self.write_history(team, version, head);
        }
        self.scan_archive(uncovered);
    }

    fn write_history(&mut self, team: TeamId, version: Version, head: HistoryHead) {
        let piece = self.workspaces.ended_jobs.next_group(&team, &head, self.cfg.max_value_bytes);
        let is_urgent = piece.as_ref().is_some_and(|p| p.is_urgent);
        if !self.rate_limiter.has_token() || !(is_urgent || self.rate_limiter.has_spare_changes()) {
            return;
        }
        let Some(owned) = self.workspaces.owned.get_mut(&team) else { return };
        let (expired, first) = std::mem::take(&mut owned.expired_groups);
        if piece.is_none() && expired.is_empty() {
            return;
        }
        let (entries, mut next) = piece.map_or((vec![], head.clone()), |p| (p.entries, p.head));
        next.first = head.first.max(first);
        let mut txn = Txn::default();
        txn.guard(workspace_key(&team), owned.token);
        txn.guard(history_head_key(&team), version);
        txn.put(history_head_key(&team), &next, None);
        if !entries.is_empty() {
            let group = HistoryGroup { entries };
            txn.put(history_group_key(&team, head.entries), &group, None);
        }
        expired.iter().for_each(|number| txn.delete(history_group_key(&team, *number)));
        owned.write_in_flight = true;
        let write = HistoryWrite { token: owned.token, team, head: next, txn: txn.clone() };
        self.call_store(
            CallPriority::Poll,
            StoreRequest::Txn(txn),
            Pending::History(Box::new(write)),
        );
    }

    pub(crate) fn on_history_written(&mut self, op: u64, write: HistoryWrite, reply: StoreReply) {
        let event = self.event;
        match reply {
            StoreReply::Committed(version) => {
                if self.history_head(&write.team).version < version {
                    tracing::info!(
                        team = %write.team, entries = write.head.entries, upto = write.head.upto,
                        "history written"
                    );
                    self.workspaces.ended_jobs.remove_grouped(&write.team, &write.head);
                    self.cache
                        .histories
                        .insert(write.team.clone(), Versioned::new(version, write.head));
                }
            }
            // The write may have been executed. Sending it again is safe: its guards fail if it
            // was.
            StoreReply::Unknown if self.workspace_token(&write.team) == Some(write.token) => {
                let txn = write.txn.clone();
                let pending = Pending::History(Box::new(write));
                return self.schedule_resend(op, CallPriority::Poll, txn, pending, 500);
            }
            _ => {
                if let Some(owned) = self.workspaces.owned.get_mut(&write.team) {
                    owned.history_uncertain_at = Some(event);
                }
                self.session.sync_wanted = true;
            }
        }
        if let Some(owned) = self.workspaces.owned.get_mut(&write.team) {
            owned.write_in_flight &= owned.token != write.token;
        }
    }

    /// Requests the oldest groups of a history if it has too many entries or the last check is long
    /// ago.
    fn apply_retention(&mut self, team: &TeamId, head: &HistoryHead) {
        let max_entries = self.cfg.history.jobs.saturating_add(MIN_GROUP_ENTRIES as u64);
        let Some(owned) = self.workspaces.owned.get_mut(team) else { return };
        let since_check = self.now.since(owned.retention_checked_at);
        let is_oversized = head.entries - head.first.min(head.entries) > max_entries
            && since_check >= 10 * HISTORY_INTERVAL_MS;
        if owned.retention_running
            || !owned.expired_groups.0.is_empty()
            || !(is_oversized || since_check >= RETENTION_INTERVAL_MS)
        {
            return;
        }
        (owned.retention_running, owned.retention_checked_at) = (true, self.now);
        let pending = Pending::OldestHistory { team: team.clone(), token: owned.token };
        let prefix = history_prefix(team);
        self.call_store(
            CallPriority::Poll,
            StoreRequest::List { prefix, from: None, limit: Some(GROUPS_PER_RETENTION_CHECK) },
            pending,
        );
    }

    pub(crate) fn on_oldest_groups_listed(
        &mut self,
        team: TeamId,
        token: Version,
        reply: StoreReply,
    ) {
        let head = self.history_head(&team).value;
        let Some(owned) = self.workspaces.owned.get_mut(&team) else { return };
        if owned.token != token {
            return;
        }
        owned.retention_running = false;
        let StoreReply::Page(page) = reply else { return };
        let mut oldest = Vec::new();
        for item in &page.items {
            // An unreadable group is kept, and so are all groups after it.
            let Some((number, group)) = parse_history_group(item) else { break };
            let summaries = group.entries.iter().filter_map(|e| e.summary.as_ref());
            let last_ended_ms = summaries.map(|s| s.ended_ms).max();
            oldest.push((number, group.entries.len() as u64, last_ended_ms));
        }
        oldest.truncate(self.cfg.max_txn_changes.saturating_sub(2));
        owned.expired_groups = self.cfg.history.expired_groups(&head, &oldest, self.wall_ms);
    }
}
