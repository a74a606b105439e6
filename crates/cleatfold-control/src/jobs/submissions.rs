//! Submissions: who may, in what order they are made durable, and what became of them.

use crate::controller::{Controller, Pending, Submission, WaitReason};
use crate::effects::{CallPriority, Response, StoreReply, StoreRequest};
use crate::store::records::{archive_key, job_key, status, JobRecord};
use crate::store::sent::Sent;
use cleatfold_backfill::Resources;
use cleatfold_ingress::SubmissionQueue;
use cleatfold_wire::job::{JobSpec, JobState, Kind};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{TeamId, Version};

/// After so long whoever submits has left, and asks again.
pub(crate) const SUBMIT_MS: u64 = 4500;
/// Submissions for more than so long are not kept waiting but sent away at once.
const SUBMIT_QUEUE_S: f64 = 3.0;

/// What a claim takes of a record, alone on its machine, with its share of the description.
const CLAIM_BYTES: usize = 120;

pub(crate) struct Submitting {
    pub submission_queue: SubmissionQueue<TeamId, Submission>,
    inflight: bool,
    /// Changes that submissions were ahead of the jobs' own.
    pub ahead: usize,
}

impl Default for Submitting {
    fn default() -> Self {
        Self { submission_queue: SubmissionQueue::new(SUBMIT_MS), inflight: false, ahead: 0 }
    }
}

impl Submitting {
    pub(crate) fn push(&mut self, submission: Submission) {
        self.submission_queue.push(submission.spec.team.clone(), submission.arrived.0, submission);
    }

    pub(crate) fn put_back(&mut self, submission: Submission) {
        self.submission_queue.put_back(
            submission.spec.team.clone(),
            submission.arrived.0,
            submission,
        );
    }

    /// The last batch is decided; the next may go.
    pub(crate) fn settled(&mut self) {
        self.inflight = false;
    }

    /// More than a second's worth of half of our changes waits.
    fn are_many(&self, rate: f64) -> bool {
        self.submission_queue.len() as f64 > rate / 2.0
    }
}

impl Controller {
    pub(crate) fn on_submit(&mut self, rid: u64, spec: Box<JobSpec>) {
        let job = spec.id.clone();
        if let Some(status) = self.terminal_jobs.get(&job) {
            return self.reply(rid, Response::Status { code: 200, status });
        }
        if self.cache.jobs.contains_key(&job) {
            return self.wait(rid, job, WaitReason::Known(spec));
        }
        if let Some(why) = self.impossible(&spec) {
            return self.wait(rid, job, WaitReason::Impossible(why));
        }
        if self.store_away() {
            return self.reply(rid, Response::later("the state service does not answer"));
        }
        let wait_s = self.submitting.submission_queue.wait_s(&spec.team, self.submissions_per_s());
        if wait_s > SUBMIT_QUEUE_S {
            // Spread by the job, or all would be back together.
            let spread = xxhash_rust::xxh3::xxh3_64(job.as_str().as_bytes()) % 4;
            let why = "more is submitted than can be accepted now".to_string();
            let retry_after_s = Some((wait_s as u32 + spread as u32).clamp(1, 15));
            return self.reply(rid, Response::Refusal { code: 503, why, retry_after_s });
        }
        if let Some(retry_after_s) = self.refused_for_now(&spec) {
            let why = "more of this kind waits than can be done in time".to_string();
            let retry_after_s = Some(retry_after_s);
            return self.reply(rid, Response::Refusal { code: 429, why, retry_after_s });
        }
        self.submitting.push(Submission { rid, spec, arrived: self.now });
        self.flush_due = true;
    }

    /// What goes to submissions of our changes when jobs have use for the rest: every other one, and
    /// three of four while they wait long. A job that is not accepted in time is late already, and
    /// whoever has to come back costs another request.
    fn submissions_per_s(&self) -> f64 {
        let part = if self.submitting.are_many(self.rate_limiter.rate()) { 0.75 } else { 0.5 };
        (self.rate_limiter.rate() * part).max(1.0)
    }

    /// So many changes are owed to the jobs after submissions took some before them.
    pub(crate) fn owed(&self, sent: usize) -> usize {
        if self.submitting.are_many(self.rate_limiter.rate()) {
            sent.div_ceil(3)
        } else {
            sent
        }
    }

    /// Why a job can never run here, if so.
    fn impossible(&self, spec: &JobSpec) -> Option<String> {
        let Some(team) = self.cfg.team(&spec.team) else {
            return Some(format!("unknown team {}", spec.team));
        };
        let each = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let fits = self.inventory.types.values().any(|t| {
            spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && each.is_within(&self.inventory.total(&t.name))
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let n = match &spec.elastic {
            Some(elastic) => f64::from(elastic.least.max(1)),
            None if spec.kind == Kind::Array => 1.0,
            None => f64::from(spec.tasks),
        };
        let over = |need: f64, max: f64| max > 0.0 && need * n > max + 1e-9;
        // Each member's claim takes its room in the one record that fences them all.
        if spec.elastic.is_some() && spec.tasks as usize * CLAIM_BYTES > self.cfg.max_value_bytes {
            let most = self.cfg.max_value_bytes / CLAIM_BYTES;
            return Some(format!("an elastic job may have at most {most} members here"));
        }
        if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return Some(format!("more than the limit of team {}", team.name));
        }
        None
    }

    /// Group commit: what came in while the last batch was under way goes together.
    /// Returns the number of changes.
    pub(crate) fn flush_submissions(&mut self) -> usize {
        if self.submitting.inflight || self.submitting.submission_queue.is_empty() {
            return 0;
        }
        let mut batch: Vec<Submission> = Vec::new();
        let mut txn = Txn::default();
        let mut size = 0;
        // Each costs a change whether alone or not, and one that is known already fails them all:
        // no more at a time than half a second's worth.
        let most = (self.submissions_per_s().ceil() as usize).clamp(2, self.cfg.max_txn_changes);
        while batch.len() < most {
            let Some((_, next)) = self.submitting.submission_queue.pop(self.now.0) else { break };
            let job = next.spec.id.clone();
            if let Some(status) = self.terminal_jobs.get(&job) {
                self.reply(next.rid, Response::Status { code: 200, status });
                continue;
            }
            // Accepted elsewhere since it came.
            if self.cache.jobs.contains_key(&job) {
                self.wait(next.rid, job, WaitReason::Known(next.spec));
                continue;
            }
            let record = JobRecord::new((*next.spec).clone(), self.wall_ms);
            // Long names and type lists count; 48 KiB leave room for the guards.
            let length = serde_json::to_string(&record).map_or(0, |s| s.len()) + 200;
            if size + length > 48 * 1024 && !batch.is_empty() {
                self.submitting.put_back(next);
                break;
            }
            if length > self.cfg.max_value_bytes {
                self.reply(next.rid, Response::refuse(400, "the description is too long"));
                continue;
            }
            if batch.iter().any(|b| b.spec.id == job) {
                self.wait(next.rid, job, WaitReason::Known(next.spec));
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
        self.submitting.inflight = true;
        let changes = txn.changes.len();
        let request = StoreRequest::Txn(txn.clone());
        self.store(
            CallPriority::Submission,
            request,
            Pending::Submit { batch, txn, sent: Sent::now(self.now) },
        );
        changes
    }

    /// The acceptance at `version` is durable. Where its answer was slow, others may have run, ended or cancelled the job
    /// by now and told its user so: what we have read of that is told instead of what stood at first.
    fn answer_accepted(&mut self, submission: Submission, version: Version) {
        let Submission { rid, spec, .. } = submission;
        let job = spec.id.clone();
        let accepted = |status| Response::Status { code: 201, status };
        if self.cache.jobs.get(&job).is_some_and(|cached| cached.version == version) {
            self.reply(rid, accepted(status(&job, JobState::Queued, 0, 0)));
        } else if let Some(status) = self.terminal_jobs.get(&job).or_else(|| self.live_status(&job))
        {
            self.reply(rid, accepted(status));
        } else {
            self.wait(rid, job, WaitReason::Known(spec));
        }
    }

    pub(crate) fn on_submitted(&mut self, batch: Vec<Submission>, txn: Txn, reply: StoreReply) {
        self.submitting.settled();
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
                self.tell(None, Message::Changed);
            }
            StoreReply::Conflict(failed) => {
                // Those that are known get their state; the others go again.
                for submission in batch.into_iter().rev() {
                    let job = submission.spec.id.clone();
                    let known = [job_key(&job), archive_key(&job)];
                    if failed.iter().any(|f| known.contains(f)) {
                        self.wait(submission.rid, job, WaitReason::Known(submission.spec));
                    } else {
                        self.submitting.put_back(submission);
                    }
                }
            }
            StoreReply::Unknown => {
                // It may be accepted yet; the users are told to ask again, which will tell.
                for submission in &batch {
                    self.reply(submission.rid, Response::later("the outcome is not known yet"));
                }
                self.session.sync_wanted = true;
            }
            StoreReply::Bad(why) => {
                for submission in batch {
                    self.reply(submission.rid, Response::refuse(503, why.clone()));
                }
            }
            _ => {
                for submission in batch {
                    self.reply(
                        submission.rid,
                        Response::later("the state service does not answer"),
                    );
                }
            }
        }
    }
}
