//! Queries of a team about its workspace: its live jobs, its queue, its history.
//!
//! Every controller answers them. Like polls, queries for jobs and queue are answered from the
//! cache once it reflects a read that was sent after the query arrived. A history is read from its
//! groups in the state service, followed by the jobs in no group yet that had ended as of such a
//! read. An answer reveals nothing about other teams: no ids, no names, no counts.

use crate::controller::{Controller, EventNumber, Pending};
use crate::effects::{
    CallPriority, Response, StoreReply, StoreRequest, WorkspaceContents, WorkspaceView,
};
use crate::namespaces::team_query_state::{HistoryRead, PendingTeamQuery, TeamRanks};
use crate::namespaces::workspace_state::parse_history_group;
use crate::store::cache::CachedJob;
use crate::store::records::{history_group_key, history_head_key, history_prefix};
use cleatfold_wire::team::{
    ActiveJob, EndedJob, TeamHistory, TeamJobs, TeamQueue, WaitCause, WaitingJob,
};
use cleatfold_wire::{JobId, PoolId, TeamId};
use cleatfold_workspace::page::{page_by_place, AnswerPage};
use cleatfold_workspace::MAX_GROUP_ENTRIES;
use std::collections::BTreeSet;

/// The number of history groups in one read.
const GROUPS_PER_READ: u32 = 12;

impl Controller {
    /// The immediate refusal of a team's query, if it cannot be answered now.
    pub(crate) fn team_query_refusal(&self, team: &TeamId) -> Option<Response> {
        if self.cfg.team(team).is_none() {
            return Some(Response::rejection(404, "no such team"));
        }
        self.is_store_unavailable().then(Response::store_unavailable)
    }

    pub(crate) fn on_team_query(
        &mut self,
        rid: u64,
        team: TeamId,
        view: WorkspaceView,
        since: u64,
    ) {
        if let Some(refusal) = self.team_query_refusal(&team) {
            return self.reply(rid, refusal);
        }
        if self.team_queries.is_full(&team) {
            return self.reply(rid, Response::retry_later("too many such questions"));
        }
        let (arrived, arrival_event) = (self.now, self.event);
        let query = PendingTeamQuery {
            rid,
            team,
            view,
            since,
            arrived,
            arrival_event,
            required_revision: None,
        };
        self.team_queries.waiting.push(query);
        self.session.sync_wanted = true;
        self.sync_if_due();
    }

    pub(crate) fn take_expired_team_queries(&mut self, store_unavailable: bool) -> Vec<u64> {
        self.team_queries.take_expired(self.now, store_unavailable)
    }

    /// Answers the queries that can be answered after a read of the live records that was sent at
    /// the event `sent_event`, or, if that is `None`, after a read of the archive.
    pub(crate) fn answer_team_queries(&mut self, sent_event: Option<EventNumber>) {
        if self.team_queries.waiting.is_empty() {
            return;
        }
        let applied = self.cache.applied_revision.0;
        let ended_jobs_revision = self.workspaces.ended_jobs.read_up_to();
        let mut is_archive_behind = false;
        for mut query in std::mem::take(&mut self.team_queries.waiting) {
            if query.required_revision.is_none()
                && sent_event.is_some_and(|sent_event| query.arrival_event <= sent_event)
            {
                query.required_revision = Some(applied);
            }
            match (query.required_revision, query.view) {
                (Some(_), WorkspaceView::Jobs) => {
                    let jobs = self.team_jobs(&query.team, query.since);
                    self.reply(query.rid, Response::Workspace(WorkspaceContents::Jobs(jobs)));
                }
                (Some(_), WorkspaceView::Queue) => {
                    let queue = self.team_queue(&query.team, query.since);
                    self.reply(query.rid, Response::Workspace(WorkspaceContents::Queue(queue)));
                }
                (Some(required), WorkspaceView::History)
                    if ended_jobs_revision.is_some_and(|revision| revision >= required) =>
                {
                    self.answer_history_query(query)
                }
                (required, _) => {
                    is_archive_behind |= required.is_some();
                    self.team_queries.waiting.push(query);
                }
            }
        }
        if is_archive_behind {
            self.archive.is_stale = true;
            self.read_archive_changes();
        }
    }

    /// The team's live jobs whose queue position, the revision of their acceptance, is at least
    /// `since`.
    fn live_jobs(
        &self,
        team: &TeamId,
        since: u64,
    ) -> impl Iterator<Item = (u64, &JobId, &CachedJob)> {
        let jobs = self.cache.by_team.get(team).into_iter();
        let jobs = jobs.flat_map(move |jobs| jobs.range((since, JobId::new(""))..));
        jobs.filter_map(|(place, id)| Some((*place, id, self.cache.jobs.get(id)?)))
    }

    fn team_jobs(&self, team: &TeamId, since: u64) -> TeamJobs {
        let jobs = self.live_jobs(team, since).filter_map(|(place, id, cached)| {
            let status = self.live_status(id)?;
            let spec = &cached.record.spec;
            let job = ActiveJob {
                place,
                id: id.clone(),
                class: spec.class.clone(),
                urgency: spec.urgency,
                state: status.state,
                tasks: spec.tasks,
                done: status.done,
                running: status.running,
                accepted_ms: cached.record.accepted_ms,
                begun_ms: self.cache.tables(id).filter_map(|t| t.begun_ms).min(),
                why: status.why,
            };
            Some((place, job))
        });
        let (jobs, next, more) = page_by_place(since, jobs, |job| job.why = None);
        TeamJobs { jobs, next, more }
    }

    fn team_queue(&mut self, team: &TeamId, since: u64) -> TeamQueue {
        self.refresh_ranks();
        let limit_exhausted = self.is_limit_exhausted(team);
        let sizes = self.inventory.machine_counts();
        let pools: BTreeSet<&PoolId> = sizes.iter().filter(|s| *s.1 > 0).map(|s| *s.0).collect();
        let is_waiting = |cached: &CachedJob| !cached.record.aborted && cached.unclaimed() > 0;
        let jobs =
            self.live_jobs(team, since).filter(|j| is_waiting(j.2)).map(|(place, id, cached)| {
                let spec = &cached.record.spec;
                let rank = self.team_queries.ranks.get(id);
                let (wait_cause, why) = self.wait_cause(id, cached, rank, limit_exhausted, &pools);
                let job = WaitingJob {
                    place,
                    id: id.clone(),
                    class: spec.class.clone(),
                    urgency: spec.urgency,
                    rank,
                    tasks: cached.unclaimed(),
                    wait_cause,
                    why: Some(why),
                };
                (place, job)
            });
        let (waiting, next, more) = page_by_place(since, jobs, |job| job.why = None);
        TeamQueue { waiting, next, more }
    }

    /// What keeps a job from starting, in terms of its own team only. `pools` are those that have
    /// machines.
    fn wait_cause(
        &self,
        id: &JobId,
        cached: &CachedJob,
        rank: Option<u32>,
        limit_exhausted: bool,
        pools: &BTreeSet<&PoolId>,
    ) -> (WaitCause, String) {
        if self.startable_tasks(id, cached, cached.unclaimed()) == 0 {
            let why =
                self.failure_summary(id, cached).unwrap_or_else(|| "its failed tasks pause".into());
            return (WaitCause::Pause, why);
        }
        if limit_exhausted {
            return (WaitCause::Limit, "its team's limit is used up".into());
        }
        if !pools.iter().any(|pool| self.can_run_in(cached, pool)) {
            return (WaitCause::Machines, "no machine that it may run on is up yet".into());
        }
        let jobs_before = rank.map_or(0, |rank| rank.saturating_sub(1));
        let why = match jobs_before {
            0 => "what goes before it has the room".into(),
            n => format!("{n} of its team's jobs go before it"),
        };
        (WaitCause::Order, why)
    }

    /// Whether what is left of the team's limit is too small for any of its waiting tasks.
    fn is_limit_exhausted(&self, team: &TeamId) -> bool {
        let Some(limit) = self.cfg.team(team).filter(|t| t.is_limited()) else { return false };
        let (mut cpus, mut gpus, mut smallest) = (0.0, 0.0, (f64::MAX, f64::MAX));
        for (_, _, cached) in self.live_jobs(team, 0) {
            let spec = &cached.record.spec;
            cpus += spec.cpus * f64::from(cached.claimed);
            gpus += spec.gpus * f64::from(cached.claimed);
            if cached.unclaimed() > 0 {
                smallest = (smallest.0.min(spec.cpus), smallest.1.min(spec.gpus));
            }
        }
        let is_exhausted =
            |max: f64, used: f64, smallest: f64| max > 0.0 && used + smallest > max + 1e-9;
        is_exhausted(limit.cpus_max, cpus, smallest.0)
            || is_exhausted(limit.gpus_max, gpus, smallest.1)
    }

    fn refresh_ranks(&mut self) {
        if !self.team_queries.ranks.are_stale(self.now) {
            return;
        }
        let queue = self.queue();
        let waiting = queue.iter().filter(|queued| !queued.is_growth);
        let jobs_with_team = waiting.filter_map(|queued| {
            let cached = self.cache.jobs.get(&queued.job)?;
            Some((&queued.job, &cached.record.spec.team))
        });
        self.team_queries.ranks = TeamRanks::from_queue(self.now, jobs_with_team);
    }

    // ---- history ----

    fn answer_history_query(&mut self, query: PendingTeamQuery) {
        let PendingTeamQuery { rid, team, since, .. } = query;
        let head = self.history_head(&team).value;
        let is_unreadable = self.cache.unreadable.contains(&history_head_key(&team));
        if is_unreadable || !self.workspaces.ended_jobs.covers(&team, &head) {
            return self
                .reply(rid, Response::retry_later("the history is being brought up to date"));
        }
        let since = since.max(head.first);
        if since >= head.entries {
            let history = self.append_ungrouped(&team, since, AnswerPage::default());
            return self.reply(rid, Response::Workspace(WorkspaceContents::History(history)));
        }
        // A group has at most `MAX_GROUP_ENTRIES` entries, so the one that contains `since` begins after
        // this.
        let from = since.checked_sub(MAX_GROUP_ENTRIES as u64);
        let from = from.map(|number| history_group_key(&team, number));
        self.read_history_page(
            HistoryRead { rid, team, since, grouped_entries: head.entries },
            from,
        );
    }

    fn read_history_page(&mut self, read: HistoryRead, from: Option<String>) {
        let prefix = history_prefix(&read.team);
        let request = StoreRequest::List { prefix, from, limit: Some(GROUPS_PER_READ) };
        self.call_store(CallPriority::Poll, request, Pending::TeamHistory(Box::new(read)));
    }

    pub(crate) fn on_team_history_read(&mut self, read: HistoryRead, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            return self.reply(read.rid, Response::store_unavailable());
        };
        let mut answer_page = AnswerPage::default();
        let mut next = read.since;
        for item in &page.items {
            // An unreadable group is left out. The gap in the entries' numbers shows that.
            let Some((number, group)) = parse_history_group(item) else { continue };
            for (number, entry) in (number..).zip(&group.entries) {
                if number < next {
                    continue;
                }
                if answer_page.try_extend(vec![entry.to_ended_job(number)]).is_err() {
                    let history = TeamHistory { ended: answer_page.entries, next, more: true };
                    let answer = Response::Workspace(WorkspaceContents::History(history));
                    return self.reply(read.rid, answer);
                }
                next = number + 1;
            }
        }
        if page.more {
            if answer_page.entries.is_empty() {
                let from = page.items.last().map(|i| i.key.clone());
                return self.read_history_page(read, from);
            }
            let history = TeamHistory { ended: answer_page.entries, next, more: true };
            return self.reply(read.rid, Response::Workspace(WorkspaceContents::History(history)));
        }
        let history =
            self.append_ungrouped(&read.team, next.max(read.grouped_entries), answer_page);
        self.reply(read.rid, Response::Workspace(WorkspaceContents::History(history)));
    }

    /// Completes an answer with the ended jobs that are in no group yet, from the number `next` on.
    /// Every controller numbers them alike.
    fn append_ungrouped(
        &self,
        team: &TeamId,
        next: u64,
        mut answer_page: AnswerPage<EndedJob>,
    ) -> TeamHistory {
        let head = self.history_head(team).value;
        let mut next = next;
        // If a group was written since the groups were read, or ended jobs since the head was
        // written are not all known, the client has to ask again.
        let mut more = head.entries > next || !self.workspaces.ended_jobs.covers(team, &head);
        if !more {
            for (number, entry) in self.workspaces.ended_jobs.ungrouped(team, &head) {
                if number < next {
                    continue;
                }
                if answer_page.try_extend(vec![entry.to_ended_job(number)]).is_err() {
                    more = true;
                    break;
                }
                next = number + 1;
            }
        }
        TeamHistory { ended: answer_page.entries, next, more }
    }
}
