//! What a team asks of its workspace: its jobs, its queue, its history.
//!
//! Any controller answers. Jobs and queue are told from a reading that was sent after the question came,
//! as polls are; history from the groups in the state service and, beyond them, from what has ended by such
//! a reading. A team is told of nobody else: no ids, no names, no numbers.

use crate::controller::{Controller, EventNumber, Pending};
use crate::effects::{CallPriority, Response, StoreReply, StoreRequest, TeamAnswer, TeamAsk};
use crate::namespaces::question_state::{HistoryRead, Question, Ranks};
use crate::namespaces::workspace_state::read_group;
use crate::store::cache::CachedJob;
use crate::store::records::{history_group_key, history_head_key, history_prefix};
use cleatfold_wire::team::{
    EndedJob, Holdup, LiveJob, TeamHistory, TeamJobs, TeamQueue, WaitingJob,
};
use cleatfold_wire::{JobId, PoolId, TeamId};
use cleatfold_workspace::page::{by_place, AnswerPage};
use cleatfold_workspace::GROUP_MOST;
use std::collections::BTreeSet;

/// Groups of a history that are read at once.
const GROUPS: u32 = 12;

impl Controller {
    /// What a team's question is answered with at once, if it cannot be answered now.
    pub(crate) fn refuse_team(&self, team: &TeamId) -> Option<Response> {
        if self.cfg.team(team).is_none() {
            return Some(Response::refuse(404, "no such team"));
        }
        self.store_away().then(Response::store_unavailable)
    }

    pub(crate) fn on_team(&mut self, rid: u64, team: TeamId, what: TeamAsk, since: u64) {
        if let Some(refusal) = self.refuse_team(&team) {
            return self.reply(rid, refusal);
        }
        if self.teams.is_full(&team) {
            return self.reply(rid, Response::later("too many such questions"));
        }
        let (arrived, arrived_at) = (self.now, self.event);
        let question = Question { rid, team, what, since, arrived, arrived_at, upto: None };
        self.teams.waiting.push(question);
        self.session.sync_wanted = true;
        self.sync_if_due();
    }

    pub(crate) fn late_questions(&mut self, away: bool) -> Vec<u64> {
        self.teams.take_late(self.now, away)
    }

    /// A reading sent at event `sent_at` is in (none: more is known of what has ended).
    pub(crate) fn answer_teams(&mut self, sent_at: Option<EventNumber>) {
        if self.teams.waiting.is_empty() {
            return;
        }
        let applied = self.cache.applied.0;
        let read = self.workspaces.ended.to();
        let mut behind = false;
        for mut question in std::mem::take(&mut self.teams.waiting) {
            if question.upto.is_none() && sent_at.is_some_and(|s| question.arrived_at <= s) {
                question.upto = Some(applied);
            }
            match (question.upto, question.what) {
                (Some(_), TeamAsk::Jobs) => {
                    let jobs = self.team_jobs(&question.team, question.since);
                    self.reply(question.rid, Response::Team(TeamAnswer::Jobs(jobs)));
                }
                (Some(_), TeamAsk::Queue) => {
                    let queue = self.team_queue(&question.team, question.since);
                    self.reply(question.rid, Response::Team(TeamAnswer::Queue(queue)));
                }
                (Some(upto), TeamAsk::History) if read.is_some_and(|r| r >= upto) => {
                    self.tell_history(question)
                }
                (ripe, _) => {
                    behind |= ripe.is_some();
                    self.teams.waiting.push(question);
                }
            }
        }
        if behind {
            self.archive.stale = true;
            self.follow_archive();
        }
    }

    /// The team's live jobs from a place on.
    fn live_jobs(
        &self,
        team: &TeamId,
        since: u64,
    ) -> impl Iterator<Item = (u64, &JobId, &CachedJob)> {
        let jobs = self.cache.by_team.get(team).into_iter();
        let jobs = jobs.flat_map(move |j| j.range((since, JobId::new(""))..));
        jobs.filter_map(|(place, id)| Some((*place, id, self.cache.jobs.get(id)?)))
    }

    fn team_jobs(&self, team: &TeamId, since: u64) -> TeamJobs {
        let jobs = self.live_jobs(team, since).filter_map(|(place, id, cached)| {
            let status = self.live_status(id)?;
            let spec = &cached.record.spec;
            let job = LiveJob {
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
        let (jobs, next, more) = by_place(since, jobs, |job| job.why = None);
        TeamJobs { jobs, next, more }
    }

    fn team_queue(&mut self, team: &TeamId, since: u64) -> TeamQueue {
        self.rank_queue();
        let full = self.is_limit_full(team);
        let sizes = self.inventory.sizes();
        let up: BTreeSet<&PoolId> = sizes.iter().filter(|s| *s.1 > 0).map(|s| *s.0).collect();
        let waits = |cached: &CachedJob| !cached.record.aborted && cached.unclaimed() > 0;
        let jobs = self.live_jobs(team, since).filter(|j| waits(j.2)).map(|(place, id, cached)| {
            let spec = &cached.record.spec;
            let rank = self.teams.ranks.get(id);
            let (holdup, why) = self.holdup(id, cached, rank, full, &up);
            let job = WaitingJob {
                place,
                id: id.clone(),
                class: spec.class.clone(),
                urgency: spec.urgency,
                rank,
                tasks: cached.unclaimed(),
                holdup,
                why: Some(why),
            };
            (place, job)
        });
        let (waiting, next, more) = by_place(since, jobs, |job| job.why = None);
        TeamQueue { waiting, next, more }
    }

    /// Of its own team only: what keeps a job from starting.
    fn holdup(
        &self,
        id: &JobId,
        cached: &CachedJob,
        rank: Option<u32>,
        limit_full: bool,
        up: &BTreeSet<&PoolId>,
    ) -> (Holdup, String) {
        if self.may_start(id, cached, cached.unclaimed()) == 0 {
            let why = self.why(id, cached).unwrap_or_else(|| "its failed tasks pause".into());
            return (Holdup::Pause, why);
        }
        if limit_full {
            return (Holdup::Limit, "its team's limit is used up".into());
        }
        if !up.iter().any(|pool| self.can_run_in(cached, pool)) {
            return (Holdup::Machines, "no machine that it may run on is up yet".into());
        }
        let before = rank.map_or(0, |r| r.saturating_sub(1));
        let why = match before {
            0 => "what goes before it has the room".into(),
            n => format!("{n} of its team's jobs go before it"),
        };
        (Holdup::Order, why)
    }

    fn is_limit_full(&self, team: &TeamId) -> bool {
        let Some(limit) = self.cfg.team(team).filter(|t| t.is_limited()) else { return false };
        let (mut cpus, mut gpus, mut least) = (0.0, 0.0, (f64::MAX, f64::MAX));
        for (_, _, cached) in self.live_jobs(team, 0) {
            let spec = &cached.record.spec;
            cpus += spec.cpus * f64::from(cached.claimed);
            gpus += spec.gpus * f64::from(cached.claimed);
            if cached.unclaimed() > 0 {
                least = (least.0.min(spec.cpus), least.1.min(spec.gpus));
            }
        }
        let full = |max: f64, used: f64, least: f64| max > 0.0 && used + least > max + 1e-9;
        full(limit.cpus_max, cpus, least.0) || full(limit.gpus_max, gpus, least.1)
    }

    fn rank_queue(&mut self) {
        if !self.teams.ranks.are_due(self.now) {
            return;
        }
        let queue = self.queue();
        let waiting = queue.iter().filter(|queued| !queued.is_growth);
        let teams = waiting.filter_map(|queued| {
            let cached = self.cache.jobs.get(&queued.job)?;
            Some((&queued.job, &cached.record.spec.team))
        });
        self.teams.ranks = Ranks::of_queue(self.now, teams);
    }

    // ---- history ----

    fn tell_history(&mut self, question: Question) {
        let Question { rid, team, since, .. } = question;
        let head = self.head(&team).value;
        let unreadable = self.cache.unreadable.contains(&history_head_key(&team));
        if unreadable || !self.workspaces.ended.covers(&team, &head) {
            return self.reply(rid, Response::later("the history is being brought up to date"));
        }
        let since = since.max(head.first);
        if since >= head.entries {
            let history = self.beyond_groups(&team, since, AnswerPage::default());
            return self.reply(rid, Response::Team(TeamAnswer::History(history)));
        }
        // The group that has it begins at most so far before it.
        let from = since.checked_sub(GROUP_MOST as u64);
        let from = from.map(|number| history_group_key(&team, number));
        self.read_history_page(HistoryRead { rid, team, since, entries: head.entries }, from);
    }

    fn read_history_page(&mut self, read: HistoryRead, from: Option<String>) {
        let prefix = history_prefix(&read.team);
        let request = StoreRequest::List { prefix, from, most: Some(GROUPS) };
        self.store(CallPriority::Poll, request, Pending::TeamHistory(Box::new(read)));
    }

    pub(crate) fn on_team_history(&mut self, read: HistoryRead, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            return self.reply(read.rid, Response::store_unavailable());
        };
        let mut answer_page = AnswerPage::default();
        let mut next = read.since;
        for item in &page.items {
            // What cannot be read is left out; the numbers show it.
            let Some((number, group)) = read_group(item) else { continue };
            for (number, entry) in (number..).zip(&group.entries) {
                if number < next {
                    continue;
                }
                if answer_page.fit(vec![entry.to_ended_job(number)]).is_err() {
                    let history = TeamHistory { ended: answer_page.entries, next, more: true };
                    let answer = Response::Team(TeamAnswer::History(history));
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
            return self.reply(read.rid, Response::Team(TeamAnswer::History(history)));
        }
        let history = self.beyond_groups(&read.team, next.max(read.entries), answer_page);
        self.reply(read.rid, Response::Team(TeamAnswer::History(history)));
    }

    /// What has ended and is in no group yet, from `next` on. Every controller numbers it alike.
    fn beyond_groups(
        &self,
        team: &TeamId,
        next: u64,
        mut answer_page: AnswerPage<EndedJob>,
    ) -> TeamHistory {
        let head = self.head(team).value;
        let mut next = next;
        // A group was written since the groups were read, or the reading was lost: asked again.
        let mut more = head.entries > next || !self.workspaces.ended.covers(team, &head);
        if !more {
            for (number, entry) in self.workspaces.ended.beyond(team, &head) {
                if number < next {
                    continue;
                }
                if answer_page.fit(vec![entry.to_ended_job(number)]).is_err() {
                    more = true;
                    break;
                }
                next = number + 1;
            }
        }
        TeamHistory { ended: answer_page.entries, next, more }
    }
}
