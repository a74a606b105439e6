//! What teams have asked of their workspaces and is not answered yet.

use crate::effects::TeamAsk;
use crate::event_number::EventNumber;
use cleatfold_wire::{JobId, Ms, TeamId};
use std::collections::BTreeMap;

/// Questions of one team that wait at a time; a team that asks more is told to come back.
const QUESTIONS: usize = 64;
/// How long a question waits for its answer, in milliseconds.
const WAIT_MS: u64 = 4000;

/// The order of the queue is worked out for the teams at most so often.
const RANKS_MS: u64 = 1000;

/// A team's question that waits for a reading.
#[derive(Debug)]
pub(crate) struct Question {
    pub rid: u64,
    pub team: TeamId,
    pub what: TeamAsk,
    pub since: u64,
    pub arrived: Ms,
    /// The event that brought it.
    pub arrived_at: EventNumber,
    /// What must have been read of the archive: all that had ended by the reading that counts for it.
    pub upto: Option<u64>,
}

/// The teams' questions, and the order of the queue that answers them.
#[derive(Default)]
pub(crate) struct TeamQueries {
    pub waiting: Vec<Question>,
    pub ranks: Ranks,
}

/// The places of each team's jobs among the team's own, in the queue's order.
#[derive(Default)]
pub(crate) struct Ranks {
    /// When the queue had this order.
    at: Ms,
    by_job: BTreeMap<JobId, u32>,
}

impl Ranks {
    /// Counts through the queue, of which each job comes with its team.
    pub(crate) fn of_queue<'a>(
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
        Self { at: now, by_job }
    }

    /// Whether the order is to be worked out anew.
    pub(crate) fn are_due(&self, now: Ms) -> bool {
        now.since(self.at) >= RANKS_MS || self.by_job.is_empty()
    }

    /// The job's place among those of its team that wait; the first is 1.
    pub(crate) fn get(&self, job: &JobId) -> Option<u32> {
        self.by_job.get(job).copied()
    }
}

impl TeamQueries {
    /// Whether as many questions of the team wait as may.
    pub(crate) fn is_full(&self, team: &TeamId) -> bool {
        self.waiting.iter().filter(|question| question.team == *team).count() >= QUESTIONS
    }

    /// Takes out the questions that have waited too long, or all if the state service is away.
    pub(crate) fn take_late(&mut self, now: Ms, away: bool) -> Vec<u64> {
        let is_late = |question: &Question| away || now.since(question.arrived) > WAIT_MS;
        let (late, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(is_late);
        self.waiting = waiting;
        late.into_iter().map(|question| question.rid).collect()
    }
}

/// A history that is being read.
#[derive(Debug)]
pub(crate) struct HistoryRead {
    pub rid: u64,
    pub team: TeamId,
    pub since: u64,
    /// How many entries were in groups when the reading was sent.
    pub entries: u64,
}
