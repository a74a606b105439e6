//! What users ask: submissions, polls, cancellations.

use crate::archive::Joined;
use crate::effects::*;
use crate::node::{Node, Pending, Submission, Wait, Waiting};
use crate::records::*;
use cleatfold_plan::Resources;
use cleatfold_wire::job::{JobSpec, JobState, JobStatus, Kind, StepCount};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::*;
use std::collections::{BTreeMap, VecDeque};

/// Answers that are final may be kept: they never change. Bounded; the archive has them all.
#[derive(Default)]
pub(crate) struct Terminal {
    states: BTreeMap<JobId, ArchiveRecord>,
    order: VecDeque<JobId>,
}

impl Terminal {
    const KEPT: usize = 4000;

    pub fn insert(&mut self, job: JobId, archive: ArchiveRecord) {
        if self.states.insert(job.clone(), archive).is_none() {
            self.order.push_back(job);
        }
        while self.order.len() > Self::KEPT {
            if let Some(old) = self.order.pop_front() {
                self.states.remove(&old);
            }
        }
    }

    pub fn get(&self, job: &JobId) -> Option<JobStatus> {
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

/// After so long whoever submits has left, and asks again.
const SUBMIT_MS: u64 = 4500;
/// Submissions for more than so long are not kept waiting but sent away at once.
const SUBMIT_QUEUE_S: f64 = 3.0;

/// What a claim takes of a record, alone on its machine, with its share of the description.
const CLAIM_BYTES: usize = 120;

impl Node {
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
            Request::Poll(job) => match self.terminal.get(&job) {
                Some(status) => self.reply(rid, Response::Status { code: 200, status }),
                None => self.wait(rid, job, Wait::Poll),
            },
            Request::Withdraw(job) => match self.terminal.get(&job) {
                Some(status) => self.reply(rid, Response::Status { code: 200, status }),
                None => self.wait(rid, job, Wait::Withdraw),
            },
            Request::Steps(report) => self.on_steps(rid, report),
            Request::TeamLosses { team, since } => self.on_team_losses(rid, team, since),
            Request::Ready => unreachable!("answered above"),
        }
    }

    /// The state service has just failed and not answered since: requests that need it are
    /// told so at once, with the time to come back.
    pub(crate) fn store_away(&self) -> bool {
        match (self.store_failed, self.fresh) {
            (Some(failed), Some(fresh)) => failed > fresh && self.now.since(fresh) > 1500,
            (failed, None) => failed.is_some(),
            _ => false,
        }
    }

    pub(crate) fn wait(&mut self, rid: u64, job: JobId, kind: Wait) {
        if self.store_away() {
            return self.reply(rid, Response::later("the state service does not answer"));
        }
        self.waiting.push(Waiting { rid, job, arrived: self.now, kind });
        self.sync_if_due();
    }

    /// Whoever has waited too long is told to come back.
    pub(crate) fn fail_stale_waits(&mut self) {
        let away = self.store_away();
        let now = self.now;
        let mut late = Vec::new();
        self.waiting.retain(|w| {
            let limit = if matches!(w.kind, Wait::Poll) { POLL_MS } else { REQUEST_MS };
            let give_up = away || now.since(w.arrived) > limit;
            if give_up {
                late.push(w.rid);
            }
            !give_up
        });
        // Work whose asker has left is not done: he has asked again, most likely another node.
        // (Both kept it, each batch met jobs that the other had accepted, and failed as a whole;
        // so the more had asked again the fewer were accepted, for good.)
        self.submissions.retain(|s| {
            let give_up = away || now.since(s.arrived) > SUBMIT_MS;
            if give_up {
                late.push(s.rid);
            }
            !give_up
        });
        late.extend(self.late_steps(away));
        late.extend(self.archive.give_up(|w| {
            let limit = if matches!(w.kind, Wait::Poll) { POLL_MS } else { REQUEST_MS };
            now.since(w.arrived) > limit
        }));
        for rid in late {
            self.reply(rid, Response::later("the state service does not answer"));
        }
    }

    /// A reading sent at `sent` is in: it answers everyone who asked before.
    pub(crate) fn answer_waiting(&mut self, sent: Ms) {
        let (ripe, rest) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| w.arrived <= sent);
        self.waiting = rest;
        let mut unknown: BTreeMap<JobId, Vec<Waiting>> = BTreeMap::new();
        for w in ripe {
            let w: Waiting = w;
            if let Wait::Steps(report) = w.kind {
                // What is not claimed by a reading sent after it came is not claimed.
                self.take_steps(w.rid, report, true);
            } else if let Some(status) = self.terminal.get(&w.job) {
                self.reply(w.rid, Response::Status { code: 200, status });
            } else if self.mirror.jobs.contains_key(&w.job) {
                self.answer_live(w);
            } else {
                unknown.entry(w.job.clone()).or_default().push(w);
            }
        }
        for (job, waiting) in unknown {
            self.look_up(job, waiting);
        }
    }

    fn live_status(&self, job: &JobId) -> Option<JobStatus> {
        let live = self.mirror.jobs.get(job)?;
        let state = match (live.record.aborted, live.claimed) {
            (true, _) => JobState::Aborted,
            (false, 0) => JobState::Queued,
            _ => JobState::Running,
        };
        let mut status = status(job, state, live.done, live.claimed);
        if let (Some(elastic), Some(left)) = (&live.record.spec.elastic, live.steps_left) {
            let finished = elastic.steps.saturating_sub(left);
            status.done = finished;
            status.steps = Some(StepCount { finished, total: elastic.steps });
        }
        status.why = self.why(job, live);
        if self.mirror.lossy.contains(job) {
            let mut losses = LossList::default();
            self.mirror.tables(job).for_each(|t| losses.take(t.losses.clone()));
            status.losses = losses.answer(job, state != JobState::Aborted);
        }
        Some(status)
    }

    fn answer_live(&mut self, w: Waiting) {
        let Some(status) = self.live_status(&w.job) else {
            return;
        };
        if matches!(w.kind, Wait::Withdraw) && status.state != JobState::Aborted {
            let local = self.local(&w.job);
            local.abort = true;
            local.withdrawals.push(w.rid);
            self.note_unsent(&w.job);
            return;
        }
        self.reply(w.rid, Response::Status { code: 200, status });
    }

    /// Asks the archive about a job that is not among the live ones.
    fn look_up(&mut self, job: JobId, waiting: Vec<Waiting>) {
        match self.archive.join(&job, waiting, self.now) {
            Joined::Ask => {
                let request = StoreRequest::Get(archive_key(&job));
                self.store(Lane::Poll, request, Pending::Archive { job });
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
        let (sent, waiting) = self.archive.leave(&job);
        match reply {
            StoreReply::Item(item) => {
                if !self.note_archived(&job, item.value.get()) {
                    return;
                }
                for w in waiting {
                    if let Some(status) = self.terminal.get(&job) {
                        self.reply(w.rid, Response::Status { code: 200, status });
                    }
                }
            }
            StoreReply::Missing => {
                for w in waiting {
                    // It may have been accepted since we looked: then it waits once more.
                    let later = w.arrived > sent;
                    let known =
                        self.mirror.jobs.contains_key(&job) || self.terminal.get(&job).is_some();
                    if later || known {
                        self.waiting.push(w);
                        continue;
                    }
                    match w.kind {
                        Wait::Impossible(why) => self.reply(w.rid, Response::refuse(422, why)),
                        Wait::Known(spec) => self.submissions.push_back(Submission {
                            rid: w.rid,
                            spec,
                            arrived: w.arrived,
                        }),
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
                self.find_ended_losses(job, &archive);
                self.terminal.insert(job.clone(), archive);
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
        if !self.archive.follow(&self.mirror.applied) {
            return;
        }
        let from = self.archive.read_to;
        let request = StoreRequest::Changes { prefix: ARCHIVE.into(), from };
        self.store(Lane::Poll, request, Pending::Ended);
    }

    pub(crate) fn on_ended(&mut self, reply: StoreReply) {
        self.archive.following = false;
        let StoreReply::Events(events) = reply else {
            match reply {
                // Too much has changed since: whoever asks is answered one by one.
                StoreReply::TooOld => self.archive.read_to = self.mirror.applied,
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
    }

    // ---- submissions ----

    fn on_submit(&mut self, rid: u64, spec: Box<JobSpec>) {
        let job = spec.id.clone();
        if let Some(status) = self.terminal.get(&job) {
            return self.reply(rid, Response::Status { code: 200, status });
        }
        if self.mirror.jobs.contains_key(&job) {
            return self.wait(rid, job, Wait::Known(spec));
        }
        if let Some(why) = self.impossible(&spec) {
            return self.wait(rid, job, Wait::Impossible(why));
        }
        if self.store_away() {
            return self.reply(rid, Response::later("the state service does not answer"));
        }
        let wait_s = self.submissions.len() as f64 / self.submissions_per_s();
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
        self.submissions.push_back(Submission { rid, spec, arrived: self.now });
        self.flush_due = true;
    }

    /// What goes to submissions of our changes when jobs have use for the rest.
    fn submissions_per_s(&self) -> f64 {
        (self.pace.rate() / 2.0).max(1.0)
    }

    /// Why a job can never run here, if so.
    fn impossible(&self, spec: &JobSpec) -> Option<String> {
        let Some(team) = self.cfg.team(&spec.team) else {
            return Some(format!("unknown team {}", spec.team));
        };
        let each = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let fits = self.fleet.types.values().any(|t| {
            spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && each.within(&self.fleet.total(&t.name))
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
        if spec.elastic.is_some() && spec.tasks as usize * CLAIM_BYTES > self.cfg.value_bytes {
            let most = self.cfg.value_bytes / CLAIM_BYTES;
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
        if self.submit_inflight || self.submissions.is_empty() {
            return 0;
        }
        let mut batch: Vec<Submission> = Vec::new();
        let mut txn = Txn::default();
        let mut size = 0;
        // Each costs a change whether alone or not, and one that is known already fails them all:
        // no more at a time than half a second's worth.
        let most = (self.submissions_per_s().ceil() as usize).clamp(2, self.cfg.txn_ops);
        while batch.len() < most {
            // Where the oldest will have left before their turn, the newest are served in time.
            let pressed =
                self.submissions.front().is_some_and(|s| self.now.since(s.arrived) > SUBMIT_MS / 2);
            let next =
                if pressed { self.submissions.pop_back() } else { self.submissions.pop_front() };
            let Some(next) = next else { break };
            let job = next.spec.id.clone();
            if let Some(status) = self.terminal.get(&job) {
                self.reply(next.rid, Response::Status { code: 200, status });
                continue;
            }
            // Accepted elsewhere since it came.
            if self.mirror.jobs.contains_key(&job) {
                self.wait(next.rid, job, Wait::Known(next.spec));
                continue;
            }
            let record = JobRecord::new((*next.spec).clone(), self.wall_ms);
            // Long names and type lists count; 48 KiB leave room for the guards.
            let length = serde_json::to_string(&record).map_or(0, |s| s.len()) + 200;
            if size + length > 48 * 1024 && !batch.is_empty() {
                self.submissions.push_front(next);
                break;
            }
            if length > self.cfg.value_bytes {
                self.reply(next.rid, Response::refuse(400, "the description is too long"));
                continue;
            }
            if batch.iter().any(|b| b.spec.id == job) {
                self.wait(next.rid, job, Wait::Known(next.spec));
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
        self.submit_inflight = true;
        let changes = txn.changes.len();
        let request = StoreRequest::Txn(txn.clone());
        self.store(Lane::Submission, request, Pending::Submit { batch, txn });
        changes
    }

    pub(crate) fn on_submitted(&mut self, batch: Vec<Submission>, txn: Txn, reply: StoreReply) {
        self.submit_inflight = false;
        match reply {
            StoreReply::Committed(version) => {
                for (submission, change) in batch.into_iter().zip(txn.changes) {
                    let job = submission.spec.id.clone();
                    let (Some(key), Some(value)) = (change.put, change.value) else {
                        continue;
                    };
                    self.mirror.set(&key, value.get(), version);
                    self.local(&job);
                    let spec = &submission.spec;
                    tracing::info!(
                        %job, class = %spec.class, team = %spec.team, tasks = spec.tasks,
                        estimate_s = spec.estimate_s, "accepted"
                    );
                    let status = status(&job, JobState::Queued, 0, 0);
                    self.reply(submission.rid, Response::Status { code: 201, status });
                }
                self.dirty = true;
                self.tell(None, Message::Changed);
            }
            StoreReply::Conflict(failed) => {
                // Those that are known get their state; the others go again.
                for submission in batch.into_iter().rev() {
                    let job = submission.spec.id.clone();
                    let known = [job_key(&job), archive_key(&job)];
                    if failed.iter().any(|f| known.contains(f)) {
                        self.wait(submission.rid, job, Wait::Known(submission.spec));
                    } else {
                        self.submissions.push_front(submission);
                    }
                }
            }
            StoreReply::Unknown => {
                // It may be accepted yet; the users are told to ask again, which will tell.
                for submission in &batch {
                    self.reply(submission.rid, Response::later("the outcome is not known yet"));
                }
                self.want_sync = true;
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
