//! What users ask: submissions, polls, cancellations.

use crate::controller::{Controller, EventNumber, Pending, Submission, WaitReason, WaitingRequest};
use crate::effects::{CallPriority, Request, Response, StoreReply, StoreRequest};
use crate::jobs::archive::Joined;
use crate::jobs::submissions::SUBMIT_MS;
use crate::store::records::{archive_key, status, ArchiveRecord, LossList, ARCHIVE};
use cleatfold_wire::job::{JobState, JobStatus, StepCount};
use cleatfold_wire::{JobId, Ms, Version};
use std::collections::{BTreeMap, VecDeque};

/// Answers that are final may be kept: they never change. Bounded; the archive has them all.
#[derive(Default)]
pub(crate) struct TerminalJobCache {
    states: BTreeMap<JobId, ArchiveRecord>,
    order: VecDeque<JobId>,
}

impl TerminalJobCache {
    const MAX_CACHED_JOBS: usize = 4000;

    pub(crate) fn insert(&mut self, job: JobId, archive: ArchiveRecord) {
        if self.states.insert(job.clone(), archive).is_none() {
            self.order.push_back(job);
        }
        while self.order.len() > Self::MAX_CACHED_JOBS {
            if let Some(old) = self.order.pop_front() {
                self.states.remove(&old);
            }
        }
    }

    pub(crate) fn record(&self, job: &JobId) -> Option<&ArchiveRecord> {
        self.states.get(job)
    }

    pub(crate) fn get(&self, job: &JobId) -> Option<JobStatus> {
        self.states.get(job).map(|archive| {
            let mut status = status(job, archive.state, archive.done, 0);
            status.losses = archive.losses.answer(job, archive.state == JobState::Done);
            status
        })
    }
}

/// How long a user waits for the answer to a poll and to the other requests.
const POLL_MS: u64 = 1700;
const REQUEST_MS: u64 = 4000;

impl Controller {
    pub(crate) fn on_request(&mut self, rid: u64, request: Request) {
        if let Request::Ready = request {
            let response = if self.is_ready() {
                Response::Ready
            } else {
                Response::later("this node is not ready")
            };
            return self.reply(rid, response);
        }
        if !self.serving() {
            return self.reply(rid, Response::later("this node is starting"));
        }
        match request {
            Request::Submit(spec) => self.on_submit(rid, spec),
            Request::Poll(job) => match self.terminal_jobs.get(&job) {
                Some(status) => self.reply(rid, Response::Status { code: 200, status }),
                None => self.wait(rid, job, WaitReason::Poll),
            },
            Request::Withdraw(job) => match self.terminal_jobs.get(&job) {
                Some(status) => self.reply(rid, Response::Status { code: 200, status }),
                None => self.wait(rid, job, WaitReason::Withdraw),
            },
            Request::Steps(report) => self.on_steps(rid, report),
            Request::TeamLosses { team, since } => self.on_team_losses_query(rid, team, since),
            Request::Team { team, what, since } => self.on_team_query(rid, team, what, since),
            Request::Ready => unreachable!("answered above"),
        }
    }

    /// The state service has just failed and not answered since: requests that need it are
    /// told so at once, with the time to come back.
    pub(crate) fn store_away(&self) -> bool {
        match (self.session.last_failure, self.session.last_read) {
            (Some(failed), Some(fresh)) => failed > fresh && self.now.since(fresh) > 1500,
            (failed, None) => failed.is_some(),
            _ => false,
        }
    }

    pub(crate) fn wait(&mut self, rid: u64, job: JobId, kind: WaitReason) {
        if self.store_away() {
            return self.reply(rid, Response::later("the state service does not answer"));
        }
        let (arrived, arrived_at) = (self.now, self.event);
        self.waiting.push(WaitingRequest { rid, job, arrived, arrived_at, kind });
        self.sync_if_due();
    }

    /// Whoever has waited too long is told to come back.
    pub(crate) fn fail_stale_waits(&mut self) {
        let away = self.store_away();
        let now = self.now;
        let mut late = Vec::new();
        self.waiting.retain(|w| {
            let limit = if matches!(w.kind, WaitReason::Poll) { POLL_MS } else { REQUEST_MS };
            let give_up = away || now.since(w.arrived) > limit;
            if give_up {
                late.push(w.rid);
            }
            !give_up
        });
        // Work whose asker has left is not done: he has asked again, most likely another controller.
        // (Both kept it, each batch met jobs that the other had accepted, and failed as a whole;
        // so the more had asked again the fewer were accepted, for good.)
        let gone =
            self.submitting.submission_queue.take_late(|at| away || now.since(Ms(at)) > SUBMIT_MS);
        late.extend(gone.into_iter().map(|s| s.rid));
        late.extend(self.late_steps(away));
        late.extend(self.take_expired_team_queries(away));
        late.extend(self.archive.give_up(|w| {
            let limit = if matches!(w.kind, WaitReason::Poll) { POLL_MS } else { REQUEST_MS };
            now.since(w.arrived) > limit
        }));
        for rid in late {
            self.reply(rid, Response::later("the state service does not answer"));
        }
    }

    /// A reading sent at event `sent_at` is in: it answers everyone who asked before. By events, not by the clock: who
    /// asks later in the same millisecond may have been told by another controller of what this reading does not show.
    pub(crate) fn answer_waiting(&mut self, sent_at: EventNumber) {
        let (ripe, rest) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| w.arrived_at <= sent_at);
        self.waiting = rest;
        let mut unknown: BTreeMap<JobId, Vec<WaitingRequest>> = BTreeMap::new();
        for w in ripe {
            let w: WaitingRequest = w;
            if let WaitReason::Steps(report) = w.kind {
                // What is not claimed by a reading sent after it came is not claimed.
                self.take_steps(w.rid, report, true);
            } else if let Some(status) = self.terminal_jobs.get(&w.job) {
                self.reply(w.rid, Response::Status { code: 200, status });
            } else if self.cache.jobs.contains_key(&w.job) {
                self.answer_live(w);
            } else {
                unknown.entry(w.job.clone()).or_default().push(w);
            }
        }
        for (job, waiting) in unknown {
            self.query_archive(job, waiting);
        }
        self.answer_team_queries(Some(sent_at));
    }

    pub(crate) fn live_status(&self, job: &JobId) -> Option<JobStatus> {
        let cached = self.cache.jobs.get(job)?;
        let state = match (cached.record.aborted, cached.claimed) {
            (true, _) => JobState::Aborted,
            (false, 0) => JobState::Queued,
            _ => JobState::Running,
        };
        let mut status = status(job, state, cached.done, cached.claimed);
        if let (Some(elastic), Some(left)) = (&cached.record.spec.elastic, cached.steps_left) {
            let finished = elastic.steps.saturating_sub(left);
            status.done = finished;
            status.steps = Some(StepCount { finished, total: elastic.steps });
        }
        status.why = self.why(job, cached);
        if self.cache.lossy.contains(job) {
            let mut losses = LossList::default();
            self.cache.tables(job).for_each(|t| losses.take(t.losses.clone()));
            status.losses = losses.answer(job, state != JobState::Aborted);
        }
        Some(status)
    }

    fn answer_live(&mut self, w: WaitingRequest) {
        let Some(status) = self.live_status(&w.job) else {
            return;
        };
        if matches!(w.kind, WaitReason::Withdraw) && status.state != JobState::Aborted {
            let job_state = self.job_state(&w.job);
            job_state.abort = true;
            job_state.withdrawals.push(w.rid);
            self.note_unsent(&w.job);
            return;
        }
        self.reply(w.rid, Response::Status { code: 200, status });
    }

    /// Asks the archive about a job that is not among the live ones.
    fn query_archive(&mut self, job: JobId, waiting: Vec<WaitingRequest>) {
        match self.archive.join(&job, waiting, self.event) {
            Joined::Ask => {
                let request = StoreRequest::Get(archive_key(&job));
                self.store(CallPriority::Poll, request, Pending::Archive { job });
            }
            Joined::UnderWay => {}
            Joined::Full(waiting) => {
                for w in waiting {
                    self.reply(w.rid, Response::later("too many such questions"));
                }
            }
        }
    }

    pub(crate) fn on_archive(&mut self, job: JobId, reply: StoreReply) {
        let (sent_at, waiting) = self.archive.leave(&job);
        match reply {
            StoreReply::Item(item) => {
                if !self.note_archived(&job, item.value.get()) {
                    return;
                }
                for w in waiting {
                    if let Some(status) = self.terminal_jobs.get(&job) {
                        self.reply(w.rid, Response::Status { code: 200, status });
                    }
                }
            }
            StoreReply::Missing => {
                for w in waiting {
                    // It may have been accepted since we looked: then it waits once more.
                    let later = w.arrived_at > sent_at;
                    let known = self.cache.jobs.contains_key(&job)
                        || self.terminal_jobs.get(&job).is_some();
                    if later || known {
                        self.waiting.push(w);
                        continue;
                    }
                    match w.kind {
                        WaitReason::Impossible(why) => {
                            self.reply(w.rid, Response::refuse(422, why))
                        }
                        WaitReason::Known(spec) => {
                            let (rid, arrived) = (w.rid, w.arrived);
                            self.submitting.push(Submission { rid, spec, arrived });
                        }
                        _ => self.reply(w.rid, Response::refuse(404, "no such job")),
                    }
                }
            }
            _ => {
                for w in waiting {
                    self.reply(w.rid, Response::later("the state service does not answer"));
                }
            }
        }
    }

    fn note_archived(&mut self, job: &JobId, record: &str) -> bool {
        match serde_json::from_str::<ArchiveRecord>(record) {
            Ok(archive) => {
                self.record_ended_job_losses(job, &archive);
                self.terminal_jobs.insert(job.clone(), archive);
            }
            Err(error) => {
                tracing::error!(job = %job, %error, "unreadable archive record");
                return false;
            }
        }
        true
    }

    /// Jobs left the live records by others' hands: reads how they ended, all of them at once, so
    /// that no poll has to ask for each.
    pub(crate) fn follow_archive(&mut self) {
        if !self.archive.follow(&self.cache.applied) {
            return;
        }
        let from = self.archive.read_to;
        let request = StoreRequest::Changes { prefix: ARCHIVE.into(), from };
        self.store(CallPriority::Poll, request, Pending::Ended { from });
    }

    pub(crate) fn on_ended(&mut self, from: Version, reply: StoreReply) {
        self.archive.following = false;
        let StoreReply::Events(events) = reply else {
            match reply {
                // Too much has changed since: whoever asks is answered one by one.
                StoreReply::TooOld => self.on_ended_jobs_too_old(from),
                _ => self.archive.stale = true,
            }
            return;
        };
        for event in &events.events {
            let job = event.put.as_deref().and_then(|k| k.strip_prefix(ARCHIVE)).map(JobId::new);
            if let (Some(job), Some(value)) = (job, &event.value) {
                self.note_archived(&job, value.get());
            }
        }
        self.archive.read_to = events.revision;
        self.record_ended_jobs(from, &events);
        self.answer_team_queries(None);
    }
}
