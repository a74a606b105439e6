//! Step reports of elastic jobs: admission, answers, and completion of jobs.
//!
//! A job's reports are redirected to its *coordinator*, one of the live controllers, so that they
//! are batched and do not conflict with each other. The coordinator is only a hint: a member may
//! insist, and then any controller accepts its report. Safety rests on the transaction, which is
//! guarded by the version of the job's record, which holds the members' claims, and by the version
//! of each part of the progress that it changes. If a member's claim has ended in the meantime the
//! transaction fails, and its reports are evaluated again.

use crate::controller::{Controller, WaitReason};
use crate::effects::Response;
use crate::jobs::step_reports::MemberReport;
use crate::store::cache::CachedJob;
use cleatfold_elastic::Verdict;
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::{ControllerId, JobId};

/// A report that has not been recorded after this time is answered 503.
const REPORT_TIMEOUT_MS: u64 = 4000;
/// Interval between checks for jobs that have completed.
const COMPLETION_CHECK_INTERVAL_MS: u64 = 250;

impl Controller {
    /// The job's coordinator, by rendezvous hashing over the live controllers: as few jobs as
    /// possible change their coordinator when a controller joins or leaves, and controllers that
    /// know the same members agree.
    fn coordinator(&self, job: &JobId) -> ControllerId {
        let rank = |controller: &ControllerId| {
            xxhash_rust::xxh3::xxh3_64(format!("{job}@{controller}").as_bytes())
        };
        let controllers = self.cache.controllers.keys();
        controllers
            .max_by_key(|n| rank(n))
            .cloned()
            .unwrap_or_else(|| self.cfg.controller_id.clone())
    }

    /// Handles a step report of a member.
    pub(crate) fn on_step_report(&mut self, rid: u64, report: Box<StepReport>) {
        let coordinator = self.coordinator(&report.member.job);
        if coordinator != self.cfg.controller_id && !report.require_answer {
            return self.reply(rid, Response::Redirect(Some(coordinator)));
        }
        if self.is_store_unavailable() {
            return self.reply(rid, Response::store_unavailable());
        }
        self.admit_step_report(rid, report, false);
    }

    /// Queues a report to be recorded if the member holds its claim, and refuses it otherwise.
    /// `read_since_arrival`: the cache was read from the state service after the report arrived.
    pub(crate) fn admit_step_report(
        &mut self,
        rid: u64,
        report: Box<StepReport>,
        read_since_arrival: bool,
    ) {
        let job = report.member.job.clone();
        let cached = self.cache.jobs.get(&job);
        let claim = cached.and_then(|cached| {
            let mut tasks = cached.record.table.claims.iter().flat_map(|g| &g.tasks);
            tasks.find(|t| t.0 == report.member.ix).map(|t| t.1)
        });
        let is_current = claim == Some(report.attempt)
            && cached.is_some_and(|job| !job.record.aborted && job.steps_left.is_some());
        if !is_current && !read_since_arrival {
            // The member's claim may not be in the cache yet.
            return self.wait_for_read(rid, job, WaitReason::Steps(report));
        }
        let why = match cached {
            None if self.terminal_jobs.get(&job).is_some() => Some("the job has ended"),
            None => Some("no such job among those that run"),
            Some(cached) if cached.record.aborted => Some("the job is cancelled"),
            Some(cached) if cached.steps_left.is_none() => Some("the job is not elastic"),
            Some(_) if claim.is_none() => Some("the claim of this member is over"),
            Some(_) if claim > Some(report.attempt) => {
                Some("a later attempt has this member's place")
            }
            Some(_) if claim < Some(report.attempt) => Some("no such attempt"),
            Some(_) => None,
        };
        if let Some(why) = why {
            tracing::info!(member = %report.member, attempt = report.attempt.0, why, "step report refused");
            return self.reply(rid, Response::rejection(409, why));
        }
        let idle = report.wants > 0 && self.finishes_held_steps(&report);
        let arrived = self.now;
        self.job_state(&job).member_reports.push(MemberReport { rid, report, arrived, idle });
        self.mark_pending_updates(&job);
    }

    /// Whether the member holds no unfinished steps apart from those that it reports as finished.
    fn finishes_held_steps(&self, report: &StepReport) -> bool {
        let parts = self.cache.progress.get(&report.member.job).into_iter().flatten();
        let held = parts.flat_map(|(_, part)| part.value.held.iter());
        let own = held.filter(|h| h.member == report.member.ix && h.attempt == report.attempt);
        let reported = |s: u32| report.finished.iter().any(|r| r.0 <= s && s < r.1);
        !own.flat_map(|h| h.from..h.to).any(|s| !reported(s))
    }

    /// Answers evaluated reports.
    pub(crate) fn answer_step_reports(&mut self, verdicts: Vec<(MemberReport, Verdict)>) {
        for (member_report, verdict) in verdicts {
            let response = match verdict {
                Verdict::Accepted(reply) => Response::Steps(reply),
                Verdict::Rejected(why) => {
                    let member = &member_report.report.member;
                    tracing::info!(%member, attempt = member_report.report.attempt.0, why, "step report refused");
                    Response::rejection(409, why)
                }
            };
            self.reply(member_report.rid, response);
        }
    }

    /// Removes the reports that have waited too long, or all reports if the state service is
    /// unavailable, and returns their request ids.
    pub(crate) fn take_expired_step_reports(&mut self, store_unavailable: bool) -> Vec<u64> {
        let now = self.now;
        let mut expired = Vec::new();
        for job_state in self.job_states.values_mut().filter(|s| !s.member_reports.is_empty()) {
            job_state.member_reports.retain(|r| {
                let give_up = store_unavailable || now.since(r.arrived) > REPORT_TIMEOUT_MS;
                if give_up {
                    expired.push(r.rid);
                }
                !give_up
            });
        }
        expired
    }

    /// Ends jobs that have completed without any transaction recording it; done by the coordinator.
    ///
    /// An elastic job ends when all steps are finished and its last claim has ended, but the
    /// controller that records the end of that claim may not have read the last step yet. A
    /// cancelled job in parts ends with its last claim: when two owners concurrently record the
    /// last claim ends in different parts, each still sees the other's claim, and the job would
    /// never end.
    pub(crate) fn end_completed_jobs(&mut self) {
        if self.now.since(self.completion_checked_at) < COMPLETION_CHECK_INTERVAL_MS {
            return;
        }
        self.completion_checked_at = self.now;
        let unclaimed = |id: &JobId| self.cache.jobs.get(id).filter(|job| job.claimed == 0);
        let elastic = self.cache.progress.keys();
        let elastic = elastic
            .filter(|id| unclaimed(id).is_some_and(|job| job.is_complete() && !job.record.aborted));
        // Not looked up by part: a job that is cancelled before its first claim has no part
        // records.
        let cancelled =
            |job: &CachedJob| job.record.aborted && job.record.in_parts() && job.claimed == 0;
        let in_parts = self.cache.jobs.iter().filter(|(_, job)| cancelled(job)).map(|(id, _)| id);
        let completed: Vec<JobId> = elastic
            .chain(in_parts)
            .filter(|id| self.coordinator(id) == self.cfg.controller_id)
            .cloned()
            .collect();
        for job in completed {
            self.job_state(&job).completion_pending = true;
            self.mark_pending_updates(&job);
        }
    }
}
