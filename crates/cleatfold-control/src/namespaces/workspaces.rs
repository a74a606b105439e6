//! Each team's workspace: who owns it, and its history. `cleatfold_workspace` decides.
//!
//! Everything an owner writes is guarded by the version of the workspace's key, so an owner that was
//! replaced writes nothing any more, however late. Which jobs have ended is read from the archive, where
//! each is written once: a history is a copy of it in the order of its revisions, and whoever keeps the
//! team next goes on from the revision that the head names.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::namespaces::workspace_state::{read_group, Kept, Listing, Write};
use crate::store::cache::Versioned;
use crate::store::records::{
    history_group_key, history_head_key, history_prefix, workspace_key, ArchiveRecord,
    HistoryGroup, HistoryHead, HolderRecord, ARCHIVE,
};
use cleatfold_wire::store::{Events, Item, Txn};
use cleatfold_wire::{JobId, TeamId, Version};
use cleatfold_workspace::{owner, JobEnd, GROUP};
use std::collections::BTreeMap;

/// How often it is looked whether a workspace stands empty, and whether a history is to be written.
const WORKSPACE_INTERVAL_MS: u64 = 200;
const HISTORY_MS: u64 = 1000;
/// What we ended ourselves is read from the archive so often, if nobody asks earlier.
const FOLLOW_MS: u64 = 2000;
/// How often it is looked for groups that are too old.
const OLD_MS: u64 = 3_600_000;
/// Groups that are looked at then.
const OLDEST: u32 = 12;
/// A new life reads back so many revisions; the service keeps 10,000.
const BACK: u64 = 9000;
/// So many workspaces at most are taken ahead of claims.
const MAX_EARLY_WORKSPACES: usize = 4;

fn end(job: &JobId, archive: &ArchiveRecord, version: Version) -> JobEnd {
    JobEnd { version: version.0, team: archive.team.clone(), entry: archive.entry(job) }
}

/// Unreadable ones are skipped by everybody alike, so numbers agree. Whoever polls them is told nothing.
fn ended(item: &Item) -> Option<(JobId, ArchiveRecord)> {
    let job = item.key.strip_prefix(ARCHIVE)?;
    Some((JobId::new(job), serde_json::from_str(item.value.get()).ok()?))
}

impl Controller {
    /// At each tick, once we serve.
    pub(crate) fn keep_workspaces(&mut self) {
        if self.now.since(self.workspaces.last_checked) < WORKSPACE_INTERVAL_MS {
            return;
        }
        self.workspaces.last_checked = self.now;
        self.keep_ownership();
        self.note_kept();
        if self.now.since(self.workspaces.wrote) >= HISTORY_MS {
            self.workspaces.wrote = self.now;
            self.keep_ended();
            self.keep_histories();
            self.keep_losses();
        }
    }

    /// Our token for a workspace, by what was read last.
    pub(crate) fn workspace(&self, team: &TeamId) -> Option<Version> {
        let Versioned { version, value: holder } = self.cache.workspaces.get(team)?;
        let ours =
            holder.owner == self.cfg.me && Some(holder.incarnation) == self.session.incarnation;
        (ours && self.readable(&workspace_key(team))).then_some(*version)
    }

    fn readable(&self, key: &str) -> bool {
        self.cache.unreadable.is_empty() || !self.cache.unreadable.contains(key)
    }

    // ---- who keeps what ----

    fn keep_ownership(&mut self) {
        let (now, me) = (self.now, self.cfg.me.clone());
        let teams: Vec<TeamId> = self.cfg.teams.iter().map(|t| t.name.clone()).collect();
        let mut vacancies = std::mem::take(&mut self.workspaces.vacancies);
        let cache = &self.cache;
        // As pools are: an owner is whoever the record names, as long as that life of it has its key.
        // What cannot be read is nobody's to write over.
        let held = |team: &TeamId| {
            let holder = cache.workspaces.get(team).map(|w| &w.value);
            holder.is_some_and(|h| {
                cache
                    .controllers
                    .get(&h.owner)
                    .is_some_and(|n| n.value.incarnation == h.incarnation)
            }) || !self.readable(&workspace_key(team))
        };
        vacancies.observe(now, &me, cache.controllers.keys(), teams.iter(), held);
        let known = cache.controllers.get(&me).map(|n| n.value.incarnation);
        let unsure =
            self.workspaces.unsure.is_some_and(|t| self.session.last_read.is_none_or(|f| f < t));
        let incarnation = self.session.incarnation.filter(|i| known == Some(*i) && !unsure);
        if let Some(incarnation) =
            incarnation.filter(|_| self.in_contact() && self.rate_limiter.is_open())
        {
            self.workspaces.unsure = None;
            let rank = |team: &TeamId, cached: &_| owner::rank(team, &me, cached);
            let former = |team: &TeamId| {
                let holder = cache.workspaces.get(team).map(|w| &w.value);
                holder.is_some_and(|h| h.owner == me && h.incarnation != incarnation)
                    && self.readable(&workspace_key(team))
            };
            let most = self.cfg.max_txn_changes.min(self.rate_limiter.max_changes());
            let taken = vacancies.next_to_acquire(now, most, teams.iter(), rank, former);
            if !taken.is_empty() {
                let holder = HolderRecord { owner: me.clone(), incarnation };
                self.hand(taken, holder);
            }
            let kept = &self.workspaces.kept;
            let idle = kept.iter().filter(|(_, k)| !k.writing).map(|(t, _)| t);
            if let Some(team) = vacancies.next_to_release(now, idle, rank) {
                let first = owner::first(&team, vacancies.live().iter()).cloned();
                let first = first.filter(|n| *n != me);
                let holder = first.and_then(|owner| {
                    let incarnation = self.cache.controllers.get(&owner)?.value.incarnation;
                    Some(HolderRecord { owner, incarnation })
                });
                match holder {
                    Some(holder) => {
                        tracing::info!(%team, to = %holder.owner, "handing over workspace ownership");
                        self.hand(vec![team], holder);
                    }
                    None => vacancies.request_completed(&team),
                }
            }
        }
        self.workspaces.vacancies = vacancies;
    }

    /// Writes who keeps these workspaces, guarded by what stands there.
    fn hand(&mut self, teams: Vec<TeamId>, holder: HolderRecord) {
        let mut txn = Txn::default();
        for team in &teams {
            let version = self.cache.workspaces.get(team).map(|w| w.version).unwrap_or_default();
            txn.guard(workspace_key(team), version);
            txn.put(workspace_key(team), &holder, None);
        }
        let priority = if teams.len() <= MAX_EARLY_WORKSPACES {
            CallPriority::Renewal
        } else {
            CallPriority::Claim
        };
        self.store(priority, StoreRequest::Txn(txn), Pending::Workspaces(teams, holder));
    }

    pub(crate) fn on_workspaces(
        &mut self,
        teams: Vec<TeamId>,
        holder: HolderRecord,
        reply: StoreReply,
    ) {
        let committed = match reply {
            StoreReply::Committed(version) => Some(version),
            _ => {
                // Perhaps it stands, perhaps another one's: the next reading tells.
                self.workspaces.unsure = Some(self.now);
                None
            }
        };
        for team in teams {
            self.workspaces.vacancies.request_completed(&team);
            let known = self.cache.workspaces.get(&team).map(|w| w.version).unwrap_or_default();
            if let Some(version) = committed.filter(|v| *v > known) {
                self.cache.workspaces.insert(team, Versioned::new(version, holder.clone()));
            }
        }
        self.session.sync_wanted = true;
        if committed.is_some() {
            self.tell(None, cleatfold_wire::mesh::Message::Changed);
        }
    }

    /// Sees which workspaces came to us since, and under which token.
    fn note_kept(&mut self) {
        let mut mine = BTreeMap::new();
        for team in &self.cfg.teams {
            if let Some(token) = self.workspace(&team.name) {
                mine.insert(team.name.clone(), token);
            }
        }
        self.workspaces.kept.retain(|team, kept| mine.get(team) == Some(&kept.token));
        for (team, token) in &mine {
            if self.workspaces.kept.contains_key(team) {
                continue;
            }
            tracing::info!(%team, fencing_token = token.0, "workspace ownership acquired");
            let kept = Kept {
                token: *token,
                writing: false,
                unsure: None,
                retention_checked_at: self.now,
                retention_running: false,
                gone: Default::default(),
            };
            self.workspaces.kept.insert(team.clone(), kept);
        }
        self.note_logs(&mine);
    }

    // ---- what has ended ----

    /// Everything was read: what ended is read from where the histories stand, as far back as that goes.
    pub(crate) fn begin_ended(&mut self) {
        let applied = self.cache.applied.0;
        let upto = |t: &crate::config::Team| self.head(&t.name).value.upto;
        let near = self.cfg.teams.iter().map(upto).filter(|u| u + BACK >= applied);
        let from = near.min().unwrap_or(applied).min(applied);
        self.archive.read_to = Version(from);
        self.archive.stale = true;
        self.workspaces.ended.read(from, from, []);
    }

    /// More has changed since `from` than the state service keeps.
    pub(crate) fn lose_ended(&mut self, from: Version) {
        // It was only to be read once more: on from where we are.
        if let Some(to) = self.workspaces.ended.to().filter(|to| *to > from.0) {
            self.archive.read_to = Version(to);
            self.archive.stale = true;
            return;
        }
        let applied = self.cache.applied;
        self.archive.read_to = applied;
        self.workspaces.ended.read(applied.0, applied.0, []);
    }

    pub(crate) fn note_ended(&mut self, from: Version, events: &Events) {
        let records = events.events.iter().filter_map(|e| {
            let job = JobId::new(e.put.as_deref()?.strip_prefix(ARCHIVE)?);
            // Most are among those that have just been noted.
            let archive = match self.terminal_jobs.record(&job) {
                Some(known) => return Some(end(&job, known, e.version)),
                None => serde_json::from_str::<ArchiveRecord>(e.value.as_ref()?.get()).ok()?,
            };
            Some(end(&job, &archive, e.version))
        });
        self.workspaces.ended.read(from.0, events.revision.0, records);
    }

    fn keep_ended(&mut self) {
        for (team, head) in &self.cache.histories {
            self.workspaces.ended.forget(team, &head.value);
        }
        let behind = self.workspaces.ended.to().is_none_or(|to| to < self.cache.applied.0);
        if behind && self.now.since(self.workspaces.followed) >= FOLLOW_MS {
            self.workspaces.followed = self.now;
            self.archive.stale = true;
            self.follow_archive();
        }
    }

    /// Goes through the archive for teams of which it is not known what has ended since their head was
    /// written: the store is of an earlier version, or nobody has kept them for thousands of changes.
    fn list_archive(&mut self, uncovered: Vec<TeamId>) {
        if self.workspaces.listing.is_none() && !uncovered.is_empty() {
            let teams = uncovered.into_iter().map(|team| {
                let from = self.head(&team).value.upto;
                tracing::info!(%team, from, "scanning archive");
                (team, (from, BTreeMap::new()))
            });
            let teams = teams.collect();
            self.workspaces.listing = Some(Listing { teams, ..Listing::default() });
        }
        if let Some(listing) = self.workspaces.listing.as_mut().filter(|l| !l.asked) {
            listing.asked = true;
            let (prefix, from) = (ARCHIVE.to_string(), listing.from.clone());
            let request = StoreRequest::List { prefix, from, most: None };
            self.store(CallPriority::Poll, request, Pending::ArchivePage);
        }
    }

    pub(crate) fn on_archive_page(&mut self, reply: StoreReply) {
        let most = self.cfg.history.jobs as usize;
        let Some(listing) = &mut self.workspaces.listing else { return };
        listing.asked = false;
        // Anything else: the same page again, a second later.
        let StoreReply::Page(page) = reply else { return };
        listing.at.get_or_insert(page.revision.0);
        for item in &page.items {
            let Some((job, archive)) = ended(item) else { continue };
            let Some((from, found)) = listing.teams.get_mut(&archive.team) else { continue };
            if item.version.0 > *from {
                found.insert((item.version.0, job.clone()), end(&job, &archive, item.version));
                // More than is kept would go again at once.
                if found.len() > most {
                    found.pop_first();
                }
            }
        }
        listing.from = page.items.last().map(|i| i.key.clone()).or(listing.from.take());
        if page.more {
            return self.list_archive(vec![]);
        }
        let Some(listing) = self.workspaces.listing.take() else { return };
        let at = listing.at.unwrap_or_default();
        for (team, (from, found)) in listing.teams {
            let jobs = found.len();
            let joins =
                self.workspaces.ended.listed(&team, from, at, found.into_values().collect());
            tracing::info!(%team, jobs, joins, "archive scanned");
        }
    }

    // ---- histories ----

    pub(crate) fn head(&self, team: &TeamId) -> Versioned<HistoryHead> {
        self.cache.histories.get(team).cloned().unwrap_or_default()
    }

    fn keep_histories(&mut self) {
        let mut uncovered = Vec::new();
        let teams: Vec<TeamId> = self.workspaces.kept.keys().cloned().collect();
        for team in teams {
            // It stops for this team alone; the cache has said why.
            if !self.readable(&history_head_key(&team)) {
                continue;
            }
            let Versioned { version, value: head } = self.head(&team);
            let fresh = self.session.last_read;
            let Some(kept) = self.workspaces.kept.get_mut(&team) else { continue };
            if kept.writing || kept.unsure.is_some_and(|t| fresh.is_none_or(|f| f < t)) {
                continue;
            }
            kept.unsure = None;
            if !self.workspaces.ended.covers(&team, &head) {
                uncovered.push(team);
                continue;
            }
            self.apply_retention(&team, &head);
            self.write_history(team, version, head);
        }
        self.list_archive(uncovered);
    }

    fn write_history(&mut self, team: TeamId, version: Version, head: HistoryHead) {
        let piece = self.workspaces.ended.piece(&team, &head, self.cfg.max_value_bytes);
        let pressing = piece.as_ref().is_some_and(|p| p.pressing);
        if !self.rate_limiter.is_open() || !(pressing || self.rate_limiter.is_ample()) {
            return;
        }
        let Some(kept) = self.workspaces.kept.get_mut(&team) else { return };
        let (gone, first) = std::mem::take(&mut kept.gone);
        if piece.is_none() && gone.is_empty() {
            return;
        }
        let (entries, mut next) = piece.map_or((vec![], head.clone()), |p| (p.entries, p.head));
        next.first = head.first.max(first);
        let mut txn = Txn::default();
        txn.guard(workspace_key(&team), kept.token);
        txn.guard(history_head_key(&team), version);
        txn.put(history_head_key(&team), &next, None);
        if !entries.is_empty() {
            let group = HistoryGroup { entries };
            txn.put(history_group_key(&team, head.entries), &group, None);
        }
        gone.iter().for_each(|number| txn.delete(history_group_key(&team, *number)));
        kept.writing = true;
        let write = Write { token: kept.token, team, head: next, txn: txn.clone() };
        self.store(CallPriority::Poll, StoreRequest::Txn(txn), Pending::History(Box::new(write)));
    }

    pub(crate) fn on_history(&mut self, op: u64, write: Write, reply: StoreReply) {
        let now = self.now;
        match reply {
            StoreReply::Committed(version) => {
                if self.head(&write.team).version < version {
                    tracing::info!(
                        team = %write.team, entries = write.head.entries, upto = write.head.upto,
                        "history written"
                    );
                    self.workspaces.ended.forget(&write.team, &write.head);
                    self.cache
                        .histories
                        .insert(write.team.clone(), Versioned::new(version, write.head));
                }
            }
            // Perhaps it is there: the same again, its guards decide.
            StoreReply::Unknown if self.workspace(&write.team) == Some(write.token) => {
                let txn = write.txn.clone();
                let pending = Pending::History(Box::new(write));
                return self.again(op, CallPriority::Poll, txn, pending, 500);
            }
            _ => {
                if let Some(kept) = self.workspaces.kept.get_mut(&write.team) {
                    kept.unsure = Some(now);
                }
                self.session.sync_wanted = true;
            }
        }
        if let Some(kept) = self.workspaces.kept.get_mut(&write.team) {
            kept.writing &= kept.token != write.token;
        }
    }

    fn apply_retention(&mut self, team: &TeamId, head: &HistoryHead) {
        let most = self.cfg.history.jobs.saturating_add(GROUP as u64);
        let Some(kept) = self.workspaces.kept.get_mut(team) else { return };
        let since = self.now.since(kept.retention_checked_at);
        let many = head.entries - head.first.min(head.entries) > most && since >= 10 * HISTORY_MS;
        if kept.retention_running || !kept.gone.0.is_empty() || !(many || since >= OLD_MS) {
            return;
        }
        (kept.retention_running, kept.retention_checked_at) = (true, self.now);
        let pending = Pending::Oldest { team: team.clone(), token: kept.token };
        let prefix = history_prefix(team);
        self.store(
            CallPriority::Poll,
            StoreRequest::List { prefix, from: None, most: Some(OLDEST) },
            pending,
        );
    }

    pub(crate) fn on_oldest(&mut self, team: TeamId, token: Version, reply: StoreReply) {
        let head = self.head(&team).value;
        let Some(kept) = self.workspaces.kept.get_mut(&team) else { return };
        if kept.token != token {
            return;
        }
        kept.retention_running = false;
        let StoreReply::Page(page) = reply else { return };
        let mut oldest = Vec::new();
        for item in &page.items {
            // What cannot be read stays, and all after it.
            let Some((number, group)) = read_group(item) else { break };
            let ended = group.entries.iter().filter_map(|e| e.summary.as_ref());
            let ended = ended.map(|s| s.ended_ms).max();
            oldest.push((number, group.entries.len() as u64, ended));
        }
        oldest.truncate(self.cfg.max_txn_changes.saturating_sub(2));
        kept.gone = self.cfg.history.gone(&head, &oldest, self.wall_ms);
    }
}
