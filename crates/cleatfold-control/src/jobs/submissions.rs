//! Submissions of jobs: admission checks, group commit, and answers to users.

use crate::controller::{Controller, Pending, Submission, WaitReason};
use crate::effects::{CallPriority, Response, StoreReply, StoreRequest};
use crate::store::records::{archive_key, job_key, job_status, JobRecord};
use crate::store::send_status::SendStatus;
use cleatfold_backfill::Resources;
use cleatfold_ingress::SubmissionQueue;
use cleatfold_wire::job::{JobSpec, JobState, Kind};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{TeamId, Version};

/// After this time the user has given up on a submission and retries it.
pub(crate) const SUBMISSION_TIMEOUT_MS: u64 = 4500;
/// A submission that would be queued for longer than this is refused at once.
const MAX_QUEUE_WAIT_S: f64 = 3.0;

/// Size of one claim in a record if it is the only one on its machine, including its share of the
/// job description.
const CLAIM_RECORD_BYTES: usize = 120;

/// Submissions that wait to be made durable, and the batch in flight.
pub(crate) struct SubmissionState {
    pub submission_queue: SubmissionQueue<TeamId, Submission>,
    batch_in_flight: bool,
    /// Changes that updates of running jobs are owed because submissions were sent before them.
    pub changes_owed: usize,
}

impl Default for SubmissionState {
    fn default() -> Self {
        Self {
            submission_queue: SubmissionQueue::new(SUBMISSION_TIMEOUT_MS),
            batch_in_flight: false,
            changes_owed: 0,
        }
    }
}

impl SubmissionState {
    pub(crate) fn push(&mut self, submission: Submission) {
        self.submission_queue.push(submission.spec.team.clone(), submission.arrived.0, submission);
    }

    pub(crate) fn put_back(&mut self, submission: Submission) {
        self.submission_queue.requeue(
            submission.spec.team.clone(),
            submission.arrived.0,
            submission,
        );
    }

    /// The outcome of the last batch is known; the next batch may be sent.
    pub(crate) fn finish_batch(&mut self) {
        self.batch_in_flight = false;
    }

    /// Whether more submissions are queued than half of the change rate accepts in one second.
    fn is_backlogged(&self, rate: f64) -> bool {
        self.submission_queue.len() as f64 > rate / 2.0
    }
}

impl Controller {
    /// Handles a submission: answers it, refuses it or queues it.
    pub(crate) fn on_submit(&mut self, rid: u64, spec: Box<JobSpec>) {
        let job = spec.id.clone();
        if let Some(status) = self.terminal_jobs.get(&job) {
            return self.reply(rid, Response::Status { code: 200, status });
        }
        if self.cache.jobs.contains_key(&job) {
            return self.wait_for_read(rid, job, WaitReason::Known(spec));
        }
        if let Some(why) = self.rejection_reason(&spec) {
            return self.wait_for_read(rid, job, WaitReason::Impossible(why));
        }
        if self.is_store_unavailable() {
            return self.reply(rid, Response::retry_later("the state service does not answer"));
        }
        let wait_s =
            self.submitting.submission_queue.estimated_wait_s(&spec.team, self.submissions_per_s());
        if wait_s > MAX_QUEUE_WAIT_S {
            // Jitter by job id, so that refused users do not all retry at once.
            let jitter_s = xxhash_rust::xxh3::xxh3_64(job.as_str().as_bytes()) % 4;
            let why = "more is submitted than can be accepted now".to_string();
            let retry_after_s = Some((wait_s as u32 + jitter_s as u32).clamp(1, 15));
            return self.reply(rid, Response::Refusal { code: 503, why, retry_after_s });
        }
        if let Some(retry_after_s) = self.overload_retry_after_s(&spec) {
            let why = "more of this kind waits than can be done in time".to_string();
            let retry_after_s = Some(retry_after_s);
            return self.reply(rid, Response::Refusal { code: 429, why, retry_after_s });
        }
        self.submitting.push(Submission { rid, spec, arrived: self.now });
        self.flush_due = true;
    }

    /// Change rate available to submissions while updates of running jobs use the rest: every other
    /// change, and three of four while submissions are backlogged. A job that is not accepted in
    /// time is already late, and a retry costs another request.
    fn submissions_per_s(&self) -> f64 {
        let share =
            if self.submitting.is_backlogged(self.rate_limiter.rate()) { 0.75 } else { 0.5 };
        (self.rate_limiter.rate() * share).max(1.0)
    }

    /// Number of changes owed to updates of running jobs after submissions used `sent` changes.
    pub(crate) fn changes_owed_for(&self, sent: usize) -> usize {
        if self.submitting.is_backlogged(self.rate_limiter.rate()) {
            sent.div_ceil(3)
        } else {
            sent
        }
    }

    /// Why the job can never run in this deployment, if so.
    fn rejection_reason(&self, spec: &JobSpec) -> Option<String> {
        let Some(team) = self.cfg.team(&spec.team) else {
            return Some(format!("unknown team {}", spec.team));
        };
        let per_task = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let fits = self.inventory.types.values().any(|t| {
            spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && per_task.is_within(&self.inventory.machine_resources(&t.name))
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let min_tasks = match &spec.elastic {
            Some(elastic) => f64::from(elastic.min_members.max(1)),
            None if spec.kind == Kind::Array => 1.0,
            None => f64::from(spec.tasks),
        };
        let exceeds = |per_task: f64, max: f64| max > 0.0 && per_task * min_tasks > max + 1e-9;
        // The claims of all members must fit into the one record that fences them.
        if spec.elastic.is_some()
            && spec.tasks as usize * CLAIM_RECORD_BYTES > self.cfg.max_value_bytes
        {
            let max_members = self.cfg.max_value_bytes / CLAIM_RECORD_BYTES;
            return Some(format!("an elastic job may have at most {max_members} members here"));
        }
        if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
            return Some(format!("more than the limit of team {}", team.name));
        }
        None
    }

    /// Group commit: sends the submissions that arrived while the last batch was in flight as one
    /// transaction. Returns the number of changes.
    pub(crate) fn flush_submissions(&mut self) -> usize {
        if self.submitting.batch_in_flight || self.submitting.submission_queue.is_empty() {
            return 0;
        }
        let mut batch: Vec<Submission> = Vec::new();
        let mut txn = Txn::default();
        let mut size = 0;
        // Batching saves no changes, and one job that is already accepted fails the whole batch:
        // limit a batch to about half a second's worth of all changes.
        let max_batch =
            (self.submissions_per_s().ceil() as usize).clamp(2, self.cfg.max_txn_changes);
        while batch.len() < max_batch {
            let Some((_, next)) = self.submitting.submission_queue.pop(self.now.0) else { break };
            let job = next.spec.id.clone();
            if let Some(status) = self.terminal_jobs.get(&job) {
                self.reply(next.rid, Response::Status { code: 200, status });
                continue;
            }
            // Accepted by another controller in the meantime.
            if self.cache.jobs.contains_key(&job) {
                self.wait_for_read(next.rid, job, WaitReason::Known(next.spec));
                continue;
            }
            let record = JobRecord::new((*next.spec).clone(), self.wall_ms);
            // Long names and type lists add up; 48 KiB leaves room for the guards.
            let length = serde_json::to_string(&record).map_or(0, |s| s.len()) + 200;
            if size + length > 48 * 1024 && !batch.is_empty() {
                self.submitting.put_back(next);
                break;
            }
            if length > self.cfg.max_value_bytes {
                self.reply(next.rid, Response::rejection(400, "the description is too long"));
                continue;
            }
            if batch.iter().any(|b| b.spec.id == job) {
                self.wait_for_read(next.rid, job, WaitReason::Known(next.spec));
                continue;
            }
            size += length;
            txn.guard(job_key(&job), Version(0));
            txn.guard(archive_key(&job), Version(0));
            txn.put(job_key(&job), &record, None);
            batch.push(next);
        }
        if batch.is_empty() {
            return 0;
        }
        self.submitting.batch_in_flight = true;
        let changes = txn.changes.len();
        let request = StoreRequest::Txn(txn.clone());
        self.call_store(
            CallPriority::Submission,
            request,
            Pending::Submit { batch, txn, sent: SendStatus::new(self.now) },
        );
        changes
    }

    /// Answers a submission whose acceptance at `version` is durable. If the state service replied
    /// late, other controllers may have started, ended or cancelled the job and reported that to
    /// the user, so a later state that this controller has read takes precedence over the initial
    /// one.
    fn answer_accepted(&mut self, submission: Submission, version: Version) {
        let Submission { rid, spec, .. } = submission;
        let job = spec.id.clone();
        let accepted = |status| Response::Status { code: 201, status };
        if self.cache.jobs.get(&job).is_some_and(|cached| cached.version == version) {
            self.reply(rid, accepted(job_status(&job, JobState::Queued, 0, 0)));
        } else if let Some(status) = self.terminal_jobs.get(&job).or_else(|| self.live_status(&job))
        {
            self.reply(rid, accepted(status));
        } else {
            self.wait_for_read(rid, job, WaitReason::Known(spec));
        }
    }

    /// Handles the outcome of a batch.
    pub(crate) fn on_submitted(&mut self, batch: Vec<Submission>, txn: Txn, reply: StoreReply) {
        self.submitting.finish_batch();
        match reply {
            StoreReply::Committed(version) => {
                for (submission, change) in batch.into_iter().zip(txn.changes) {
                    let job = submission.spec.id.clone();
                    let (Some(key), Some(value)) = (change.put, change.value) else {
                        continue;
                    };
                    self.cache.set(&key, value.get(), version);
                    self.job_state(&job);
                    let spec = &submission.spec;
                    tracing::info!(
                        %job, class = %spec.class, team = %spec.team, tasks = spec.tasks,
                        estimate_s = spec.estimate_s, cpus = spec.cpus,
                        urgency = ?spec.urgency, "accepted"
                    );
                    self.answer_accepted(submission, version);
                }
                self.replan_needed = true;
                self.send_to_peers(None, Message::Changed);
            }
            StoreReply::Conflict(failed) => {
                // Jobs that are already known are answered with their state; the others are
                // retried.
                for submission in batch.into_iter().rev() {
                    let job = submission.spec.id.clone();
                    let known = [job_key(&job), archive_key(&job)];
                    if failed.iter().any(|f| known.contains(f)) {
                        self.wait_for_read(submission.rid, job, WaitReason::Known(submission.spec));
                    } else {
                        self.submitting.put_back(submission);
                    }
                }
            }
            StoreReply::Unknown => {
                // The batch may still be accepted; the users retry and then learn the outcome.
                for submission in &batch {
                    self.reply(
                        submission.rid,
                        Response::retry_later("the outcome is not known yet"),
                    );
                }
                self.session.sync_wanted = true;
            }
            StoreReply::Invalid(why) => {
                for submission in batch {
                    self.reply(submission.rid, Response::rejection(503, why.clone()));
                }
            }
            _ => {
                for submission in batch {
                    self.reply(
                        submission.rid,
                        Response::retry_later("the state service does not answer"),
                    );
                }
            }
        }
    }
}
