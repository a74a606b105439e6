//! Queries of teams about their workspaces that have no answer yet.

use crate::effects::WorkspaceView;
use crate::event_number::EventNumber;
use cleatfold_wire::{JobId, Ms, TeamId};
use std::collections::BTreeMap;

/// Queries of one team that wait at a time. Further ones are refused, to be retried later.
const MAX_WAITING_PER_TEAM: usize = 64;
/// How long a query waits for its answer.
const QUERY_TIMEOUT_MS: u64 = 4000;

/// The shortest interval between two computations of the ranks.
const RANK_INTERVAL_MS: u64 = 1000;

/// A team's query that waits for a read of the state service.
#[derive(Debug)]
pub(crate) struct PendingTeamQuery {
    pub rid: u64,
    pub team: TeamId,
    pub view: WorkspaceView,
    pub since: u64,
    pub arrived: Ms,
    /// The event that brought the query.
    pub arrival_event: EventNumber,
    /// The revision up to which ended jobs must have been read before a history query is answered:
    /// that of the first read of the live records that was sent at or after the query's arrival.
    pub required_revision: Option<u64>,
}

/// The waiting queries of all teams, and the ranks of jobs that answers to queue queries contain.
#[derive(Default)]
pub(crate) struct TeamQueries {
    pub waiting: Vec<PendingTeamQuery>,
    pub ranks: TeamRanks,
}

/// Each job's rank among the jobs of its own team, in the order of the scheduling queue.
#[derive(Default)]
pub(crate) struct TeamRanks {
    computed_at: Ms,
    by_job: BTreeMap<JobId, u32>,
}

impl TeamRanks {
    /// Counts through the queue, whose items are each a job and its team.
    pub(crate) fn from_queue<'a>(
        now: Ms,
        queue: impl Iterator<Item = (&'a JobId, &'a TeamId)>,
    ) -> Self {
        let mut counts: BTreeMap<&TeamId, u32> = BTreeMap::new();
        let mut by_job = BTreeMap::new();
        for (job, team) in queue {
            let count = counts.entry(team).or_default();
            *count += 1;
            by_job.insert(job.clone(), *count);
        }
        Self { computed_at: now, by_job }
    }

    /// Whether the ranks are to be computed again.
    pub(crate) fn are_stale(&self, now: Ms) -> bool {
        now.since(self.computed_at) >= RANK_INTERVAL_MS || self.by_job.is_empty()
    }

    /// The job's rank among the waiting jobs of its team; the first is 1.
    pub(crate) fn get(&self, job: &JobId) -> Option<u32> {
        self.by_job.get(job).copied()
    }
}

impl TeamQueries {
    /// Whether the team has as many waiting queries as it may have.
    pub(crate) fn is_full(&self, team: &TeamId) -> bool {
        self.waiting.iter().filter(|query| query.team == *team).count() >= MAX_WAITING_PER_TEAM
    }

    /// Removes the queries that have timed out, or all if the state service is unavailable. Returns
    /// their request ids.
    pub(crate) fn take_expired(&mut self, now: Ms, store_unavailable: bool) -> Vec<u64> {
        let is_expired = |query: &PendingTeamQuery| {
            store_unavailable || now.since(query.arrived) > QUERY_TIMEOUT_MS
        };
        let (expired, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(is_expired);
        self.waiting = waiting;
        expired.into_iter().map(|query| query.rid).collect()
    }
}

/// A history query whose groups are being read.
#[derive(Debug)]
pub(crate) struct HistoryRead {
    pub rid: u64,
    pub team: TeamId,
    pub since: u64,
    /// How many entries the groups held when the read was sent.
    pub grouped_entries: u64,
}
