//! Steps of elastic jobs: members' reports to transactions and answers.
//!
//! A job's reports go to its *coordinator*, one of the live controllers, so that they gather and do not
//! make each other fail. Who coordinates a job is a hint: any controller that is asked insistently
//! decides as well. What counts is the transaction. It is guarded by the version of the job's
//! record, which holds the members' claims, and of each part of the progress that it changes:
//! a report of a member whose claim has ended meanwhile fails, and is judged anew.

use crate::controller::{Controller, WaitReason};
use crate::effects::Response;
use crate::jobs::step_reports::MemberReport;
use crate::store::cache::CachedJob;
use cleatfold_elastic::Verdict;
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::{ControllerId, JobId};

/// A report that could not be recorded for so long is answered 503.
const ASK_MS: u64 = 4000;
const COMPLETE_MS: u64 = 250;

impl Controller {
    /// Rendezvous hashing over the live controllers: as few jobs as possible change their coordinator when
    /// a controller comes or goes, and all controllers that know the same members agree.
    fn coordinator(&self, job: &JobId) -> ControllerId {
        let rank = |controller: &ControllerId| {
            xxhash_rust::xxh3::xxh3_64(format!("{job}@{controller}").as_bytes())
        };
        let cached = self.cache.controllers.keys();
        cached.max_by_key(|n| rank(n)).cloned().unwrap_or_else(|| self.cfg.me.clone())
    }

    pub(crate) fn on_steps(&mut self, rid: u64, report: Box<StepReport>) {
        let coordinator = self.coordinator(&report.member.job);
        if coordinator != self.cfg.me && !report.generate_load {
            return self.reply(rid, Response::Redirect(Some(coordinator)));
        }
        if self.store_away() {
            return self.reply(rid, Response::store_unavailable());
        }
        self.take_steps(rid, report, false);
    }

    /// `read`: what stands was read after the report came.
    pub(crate) fn take_steps(&mut self, rid: u64, report: Box<StepReport>, read: bool) {
        let job = report.member.job.clone();
        let cached = self.cache.jobs.get(&job);
        let claim = cached.and_then(|cached| {
            let mut tasks = cached.record.table.claims.iter().flat_map(|g| &g.tasks);
            tasks.find(|t| t.0 == report.member.ix).map(|t| t.1)
        });
        let stands = claim == Some(report.attempt)
            && cached.is_some_and(|l| !l.record.aborted && l.steps_left.is_some());
        if !stands && !read {
            // Its claim may be one that we have not read yet.
            return self.wait(rid, job, WaitReason::Steps(report));
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
            return self.reply(rid, Response::refuse(409, why));
        }
        let idle = report.wants > 0 && self.runs_out(&report);
        let arrived = self.now;
        self.job_state(&job).member_reports.push(MemberReport { rid, report, arrived, idle });
        self.note_unsent(&job);
    }

    /// Whether the member has no unfinished step left beside those that it reports.
    fn runs_out(&self, report: &StepReport) -> bool {
        let parts = self.cache.progress.get(&report.member.job).into_iter().flatten();
        let held = parts.flat_map(|(_, part)| part.value.held.iter());
        let mine = held.filter(|h| h.member == report.member.ix && h.attempt == report.attempt);
        let reported = |s: u32| report.finished.iter().any(|r| r.0 <= s && s < r.1);
        !mine.flat_map(|h| h.from..h.to).any(|s| !reported(s))
    }

    pub(crate) fn answer_steps(&mut self, verdicts: Vec<(MemberReport, Verdict)>) {
        for (member_reports, verdict) in verdicts {
            let response = match verdict {
                Verdict::Accepted(reply) => Response::Steps(reply),
                Verdict::Rejected(why) => {
                    let member = &member_reports.report.member;
                    tracing::info!(%member, attempt = member_reports.report.attempt.0, why, "step report refused");
                    Response::refuse(409, why)
                }
            };
            self.reply(member_reports.rid, response);
        }
    }

    /// Reports that waited too long, or have nothing to wait for.
    pub(crate) fn late_steps(&mut self, away: bool) -> Vec<u64> {
        let now = self.now;
        let mut late = Vec::new();
        for job_state in self.job_states.values_mut().filter(|l| !l.member_reports.is_empty()) {
            job_state.member_reports.retain(|a| {
                let give_up = away || now.since(a.arrived) > ASK_MS;
                if give_up {
                    late.push(a.rid);
                }
                !give_up
            });
        }
        late
    }

    /// Jobs whose steps are all finished end when their last member is gone; whoever recorded that need not
    /// have known of the last step. And a cancelled job in parts is over with its last claim: two owners that
    /// ended the last ones in different parts at the same time each still saw the other's, and the job stayed
    /// for ever. So its coordinator looks.
    pub(crate) fn complete_jobs(&mut self) {
        if self.now.since(self.completed_at) < COMPLETE_MS {
            return;
        }
        self.completed_at = self.now;
        let cached = |id: &JobId| self.cache.jobs.get(id).filter(|l| l.claimed == 0);
        let steps = self.cache.progress.keys();
        let steps =
            steps.filter(|id| cached(id).is_some_and(|l| l.is_complete() && !l.record.aborted));
        // Whether any part of it has a record or not: cancelled before its first claim, it has none.
        let cancelled = |l: &CachedJob| l.record.aborted && l.record.in_parts() && l.claimed == 0;
        let parts = self.cache.jobs.iter().filter(|(_, l)| cancelled(l)).map(|(id, _)| id);
        let over: Vec<JobId> =
            steps.chain(parts).filter(|id| self.coordinator(id) == self.cfg.me).cloned().collect();
        for job in over {
            self.job_state(&job).over = true;
            self.note_unsent(&job);
        }
    }
}
