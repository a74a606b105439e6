//! User requests: submissions, polls and cancellations.

use crate::controller::{Controller, EventNumber, Pending, Submission, WaitReason, WaitingRequest};
use crate::effects::{CallPriority, Request, Response, StoreReply, StoreRequest};
use crate::jobs::archive::{AnsweredLookup, JoinOutcome};
use crate::jobs::submissions::SUBMISSION_TIMEOUT_MS;
use crate::store::records::{archive_key, job_status, ArchiveRecord, LossList, ARCHIVE_PREFIX};
use cleatfold_wire::job::{JobState, JobStatus, StepCount};
use cleatfold_wire::{JobId, Ms, Version};
use std::collections::{BTreeMap, VecDeque};

/// Bounded cache of archive records. Final states never change; the archive holds all of them.
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
            let mut status = job_status(job, archive.state, archive.done, 0);
            status.losses = archive.losses.to_job_losses(job, archive.state == JobState::Done);
            status
        })
    }
}

/// How long a poll waits before it is answered 503.
const POLL_TIMEOUT_MS: u64 = 1700;
/// How long any other request waits before it is answered 503.
const REQUEST_TIMEOUT_MS: u64 = 4000;

impl Controller {
    /// Handles a user request.
    pub(crate) fn on_request(&mut self, rid: u64, request: Request) {
        if let Request::Ready = request {
            let response = if self.is_ready() {
                Response::Ready
            } else {
                Response::retry_later("this node is not ready")
            };
            return self.reply(rid, response);
        }
        if !self.is_serving() {
            return self.reply(rid, Response::retry_later("this node is starting"));
        }
        match request {
            Request::Submit(spec) => self.on_submit(rid, spec),
            Request::Poll(job) => match self.terminal_jobs.get(&job) {
                Some(status) => self.reply(rid, Response::Status { code: 200, status }),
                None => self.wait_for_read(rid, job, WaitReason::Poll),
            },
            Request::Withdraw(job) => match self.terminal_jobs.get(&job) {
                Some(status) => self.reply(rid, Response::Status { code: 200, status }),
                None => self.wait_for_read(rid, job, WaitReason::Withdraw),
            },
            Request::Steps(report) => self.on_step_report(rid, report),
            Request::TeamLosses { team, since } => self.on_team_losses_query(rid, team, since),
            Request::Workspace { team, view, since } => self.on_team_query(rid, team, view, since),
            Request::Ready => unreachable!("answered above"),
        }
    }

    /// Whether the state service has failed recently and not answered since. Requests that need it
    /// are then answered 503 with a retry time at once.
    pub(crate) fn is_store_unavailable(&self) -> bool {
        match (self.session.last_failure, self.session.last_read) {
            (Some(failure), Some(read)) => failure > read && self.now.since(read) > 1500,
            (failure, None) => failure.is_some(),
            _ => false,
        }
    }

    /// Queues a request until a read of the state service that is sent after it arrived.
    pub(crate) fn wait_for_read(&mut self, rid: u64, job: JobId, kind: WaitReason) {
        if self.is_store_unavailable() {
            return self.reply(rid, Response::retry_later("the state service does not answer"));
        }
        let (arrived, arrival_event) = (self.now, self.event);
        self.waiting_requests.push(WaitingRequest { rid, job, arrived, arrival_event, kind });
        self.sync_if_due();
    }

    /// Answers requests that have waited too long with 503.
    pub(crate) fn expire_waiting_requests(&mut self) {
        let store_unavailable = self.is_store_unavailable();
        let now = self.now;
        let mut expired = Vec::new();
        self.waiting_requests.retain(|w| {
            let limit = if matches!(w.kind, WaitReason::Poll) {
                POLL_TIMEOUT_MS
            } else {
                REQUEST_TIMEOUT_MS
            };
            let give_up = store_unavailable || now.since(w.arrived) > limit;
            if give_up {
                expired.push(w.rid);
            }
            !give_up
        });
        // Drop submissions whose users have timed out: they have retried, most likely at another
        // controller. If both controllers kept a submission, each batch would contain jobs that the
        // other had accepted and would fail as a whole: the more retries, the fewer acceptances,
        // and the system would not recover.
        let expired_submissions = self
            .submitting
            .submission_queue
            .take_expired(|at| store_unavailable || now.since(Ms(at)) > SUBMISSION_TIMEOUT_MS);
        expired.extend(expired_submissions.into_iter().map(|s| s.rid));
        expired.extend(self.take_expired_step_reports(store_unavailable));
        expired.extend(self.take_expired_team_queries(store_unavailable));
        expired.extend(self.archive.remove_expired(|w| {
            let limit = if matches!(w.kind, WaitReason::Poll) {
                POLL_TIMEOUT_MS
            } else {
                REQUEST_TIMEOUT_MS
            };
            now.since(w.arrived) > limit
        }));
        for rid in expired {
            self.reply(rid, Response::retry_later("the state service does not answer"));
        }
    }

    /// Answers the requests that arrived at or before event `sent_event`, at which a read was sent
    /// whose reply is now applied. Ordered by event, not by clock: a user whose request arrives
    /// later in the same millisecond may already have seen, through another controller, a change
    /// that this read does not show.
    pub(crate) fn answer_waiting_requests(&mut self, sent_event: EventNumber) {
        let (answerable, rest) = std::mem::take(&mut self.waiting_requests)
            .into_iter()
            .partition(|w| w.arrival_event <= sent_event);
        self.waiting_requests = rest;
        let mut unknown: BTreeMap<JobId, Vec<WaitingRequest>> = BTreeMap::new();
        for w in answerable {
            let w: WaitingRequest = w;
            if let WaitReason::Steps(report) = w.kind {
                // The read was sent after the report arrived: a claim that it does not show is not
                // held.
                self.admit_step_report(w.rid, report, true);
            } else if let Some(status) = self.terminal_jobs.get(&w.job) {
                self.reply(w.rid, Response::Status { code: 200, status });
            } else if self.cache.jobs.contains_key(&w.job) {
                self.answer_from_live_record(w);
            } else {
                unknown.entry(w.job.clone()).or_default().push(w);
            }
        }
        for (job, waiting) in unknown {
            self.look_up_in_archive(job, waiting);
        }
        self.answer_team_queries(Some(sent_event));
    }

    /// Status of a job from its live records; `None` if it has none.
    pub(crate) fn live_status(&self, job: &JobId) -> Option<JobStatus> {
        let cached = self.cache.jobs.get(job)?;
        let state = match (cached.record.aborted, cached.claimed) {
            (true, _) => JobState::Aborted,
            (false, 0) => JobState::Queued,
            _ => JobState::Running,
        };
        let mut status = job_status(job, state, cached.done, cached.claimed);
        if let (Some(elastic), Some(left)) = (&cached.record.spec.elastic, cached.steps_left) {
            let finished = elastic.steps.saturating_sub(left);
            status.done = finished;
            status.steps = Some(StepCount { finished, total: elastic.steps });
        }
        status.why = self.failure_summary(job, cached);
        if self.cache.jobs_with_losses.contains(job) {
            let mut losses = LossList::default();
            self.cache.tables(job).for_each(|t| losses.merge(t.losses.clone()));
            status.losses = losses.to_job_losses(job, state != JobState::Aborted);
        }
        Some(status)
    }

    fn answer_from_live_record(&mut self, w: WaitingRequest) {
        let Some(status) = self.live_status(&w.job) else {
            return;
        };
        if matches!(w.kind, WaitReason::Withdraw) && status.state != JobState::Aborted {
            let job_state = self.job_state(&w.job);
            job_state.cancel_requested = true;
            job_state.withdrawals.push(w.rid);
            self.mark_pending_updates(&w.job);
            return;
        }
        self.reply(w.rid, Response::Status { code: 200, status });
    }

    /// Looks up a job without live records in the archive.
    fn look_up_in_archive(&mut self, job: JobId, waiting: Vec<WaitingRequest>) {
        for w in &waiting {
            tracing::debug!(
                %job, arrival_event = w.arrival_event.0, read_event = self.event.0,
                "no live record of job"
            );
        }
        match self.archive.join_or_start(&job, waiting, self.event) {
            JoinOutcome::Started => {
                let request = StoreRequest::Get(archive_key(&job));
                self.call_store(CallPriority::Poll, request, Pending::ArchivedJob { job });
            }
            JoinOutcome::Joined => {}
            JoinOutcome::Full(waiting) => {
                for w in waiting {
                    self.reply(w.rid, Response::retry_later("too many such questions"));
                }
            }
        }
    }

    /// Handles the reply to an archive lookup.
    pub(crate) fn on_archive_record(&mut self, job: JobId, reply: StoreReply) {
        let AnsweredLookup { sent_event, waiting, next } = self.archive.finish(&job);
        match reply {
            StoreReply::Item(item) => {
                self.cache_archive_record(&job, item.value.get());
                for w in waiting.into_iter().chain(next) {
                    let response = match self.terminal_jobs.get(&job) {
                        Some(status) => Response::Status { code: 200, status },
                        None => Response::retry_later("the job's record cannot be read"),
                    };
                    self.reply(w.rid, response);
                }
            }
            StoreReply::Missing => {
                self.answer_absent(&job, sent_event, waiting);
                if !next.is_empty() {
                    self.look_up_in_archive(job, next);
                }
            }
            _ => {
                for w in waiting.into_iter().chain(next) {
                    self.reply(w.rid, Response::retry_later("the state service does not answer"));
                }
            }
        }
    }

    /// Answers requests about a job that neither the live records nor the archive have. The lookup
    /// in the archive was sent at `lookup_event`.
    fn answer_absent(
        &mut self,
        job: &JobId,
        lookup_event: EventNumber,
        waiting: Vec<WaitingRequest>,
    ) {
        let is_known = self.cache.jobs.contains_key(job) || self.terminal_jobs.get(job).is_some();
        for w in waiting {
            // The job has been accepted since: wait for another read.
            if is_known {
                self.waiting_requests.push(w);
                continue;
            }
            tracing::debug!(
                %job, arrival_event = w.arrival_event.0, lookup_event = lookup_event.0,
                "no record of job"
            );
            match w.kind {
                WaitReason::Impossible(why) => self.reply(w.rid, Response::rejection(422, why)),
                WaitReason::Known(spec) => {
                    let (rid, arrived) = (w.rid, w.arrived);
                    self.submitting.push(Submission { rid, spec, arrived });
                }
                _ => self.reply(w.rid, Response::rejection(404, "no such job")),
            }
        }
    }

    /// Caches an archive record unless it is unreadable.
    fn cache_archive_record(&mut self, job: &JobId, record: &str) {
        match serde_json::from_str::<ArchiveRecord>(record) {
            Ok(archive) => {
                self.record_ended_job_losses(job, &archive);
                self.terminal_jobs.insert(job.clone(), archive);
            }
            Err(error) => {
                tracing::error!(job = %job, %error, "unreadable archive record");
            }
        }
    }

    /// Reads in bulk how jobs ended that other controllers removed from the live records, so that
    /// polls need no lookup each.
    pub(crate) fn read_archive_changes(&mut self) {
        if !self.archive.start_changes_read(&self.cache.applied_revision) {
            return;
        }
        let from = self.archive.read_revision;
        let request = StoreRequest::Changes { prefix: ARCHIVE_PREFIX.into(), from };
        self.call_store(CallPriority::Poll, request, Pending::EndedJobs { from });
    }

    /// Handles the reply to a read of the archive's changes.
    pub(crate) fn on_archive_changes(&mut self, from: Version, reply: StoreReply) {
        self.archive.read_in_flight = false;
        let StoreReply::Events(events) = reply else {
            match reply {
                // The changes are no longer available: polls are answered by individual lookups.
                StoreReply::TooOld => self.on_ended_jobs_too_old(from),
                _ => self.archive.is_stale = true,
            }
            return;
        };
        for event in &events.events {
            let job =
                event.put.as_deref().and_then(|k| k.strip_prefix(ARCHIVE_PREFIX)).map(JobId::new);
            if let (Some(job), Some(value)) = (job, &event.value) {
                self.cache_archive_record(&job, value.get());
            }
        }
        self.archive.read_revision = events.revision;
        self.record_ended_jobs(from, &events);
        self.answer_team_queries(None);
    }
}
