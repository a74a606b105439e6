//! What users are told, in order: users that look closely at all controllers within milliseconds, answers of the state
//! service that are lost though their transactions were carried out, cancellations as a job ends, and odd requests;
//! with what watches that nobody is told anything older than what somebody was told before.

use super::{
    team_id, Asked, BTreeMap, Event, Fault, JobId, JobSpec, JobState, JobWatch, Kind, Ms, Request,
    Response, Rng, SimulationEvent, StoreRequest, TaskId, TeamId, TypeId, World, ZoneId,
};
use cleatfold_control::records;

/// What a user does about a job that has just changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    Polls,
    /// It submits the job once more.
    Repeats,
    Cancels,
}

/// So often each controller is asked about a job that has just been accepted, has ended or was cancelled, and within
/// how many milliseconds.
const LOOKS: u32 = 3;
const QUERY_WINDOW_MS: u64 = 6;
/// So often each controller is asked about a job around its submission, and within how many milliseconds.
const EARLY_QUESTIONS: u32 = 8;
const EARLY_WINDOW_MS: u64 = 500;
/// Of these jobs, so many are cancelled in that time.
const CANCELLED_EARLY: f64 = 0.7;
/// Of the jobs that were just accepted, so many are cancelled at once.
const CANCELLED_AT_ONCE: f64 = 0.15;
/// Users that cancel as a job ends do so within this time after its last task.
const END_MS: u64 = 1_500;
const ODD_EVERY_MS: std::ops::Range<u64> = 150..500;

/// A share of something, until a time.
#[derive(Clone, Copy)]
struct Share {
    of_all: f64,
    until: Ms,
}

/// What users knew of a job when one of them asked.
struct Known {
    accepted: bool,
    end: Option<JobState>,
}

#[derive(Default)]
pub struct Answers {
    close_looks: Ms,
    lost: Option<Share>,
    cancel_at_end: Option<Share>,
    odd: Ms,
    known: BTreeMap<u64, Known>,
    /// Submissions of jobs that can't run, by request.
    odd_asked: BTreeMap<u64, JobId>,
    /// The last answer about each job: its code and the state it told.
    pub last: BTreeMap<JobId, (u16, Option<JobState>)>,
    /// When each job was first submitted.
    pub submitted: BTreeMap<JobId, Ms>,
    pub looks: u32,
    /// Calls to the state service.
    pub store_calls: u64,
    /// Transactions whose answers were lost.
    pub lost_answers: u32,
    pub cancelled_at_end: u32,
    /// What submissions of jobs that can't run were answered, by code.
    pub odd_answers: BTreeMap<u16, u32>,
    /// Requests that lack a field.
    pub malformed: u32,
}

fn status_of(response: &Response) -> (u16, Option<JobState>) {
    match response {
        Response::Status { code, status } => (*code, Some(status.state)),
        Response::Refusal { code, .. } => (*code, None),
        _ => (200, None),
    }
}

impl World {
    /// Until then users ask at all controllers right after a job was accepted, has ended or was cancelled, submit it
    /// once more, and cancel some that were just accepted.
    pub fn query_repeatedly_until(&mut self, until: Ms) {
        self.answers.close_looks = until;
        self.over_at(until);
    }

    /// Users ask all controllers about a job from before its submission on, and may cancel it.
    pub fn ask_around_submission(&mut self, id: &JobId) {
        for controller in 0..self.controllers.len() {
            for _ in 0..EARLY_QUESTIONS {
                self.query_within(controller, id, Query::Polls, EARLY_WINDOW_MS);
            }
        }
        if self.rng.random_bool(CANCELLED_EARLY) {
            let controller = self.rng.random_range(0..self.controllers.len());
            self.query_within(controller, id, Query::Cancels, EARLY_WINDOW_MS);
        }
    }

    /// Until then the answers to so large a share of transactions are lost, which are carried out at once.
    pub fn lose_answers(&mut self, of_all: f64, until: Ms) {
        self.answers.lost = Some(Share { of_all, until });
        self.over_at(until);
    }

    /// Until then users cancel so large a share of jobs as their last tasks end.
    pub fn cancel_at_end(&mut self, of_all: f64, until: Ms) {
        self.answers.cancel_at_end = Some(Share { of_all, until });
        self.over_at(until);
    }

    /// Until then users repeat submissions of unfinished jobs, cancel jobs that are done, and submit what can't run
    /// or lacks a field.
    pub fn odd_requests(&mut self, until: Ms) {
        if self.answers.odd <= self.now {
            self.at(1, SimulationEvent::Odd);
        }
        self.answers.odd = until;
        self.over_at(until);
    }

    pub(super) fn answers_trouble(&mut self, kind: Fault, until: Ms) {
        match kind {
            Fault::CloseLooks => self.query_repeatedly_until(until),
            Fault::AnswersLost => {
                let share = [0.1, 0.25, 0.6][self.rng.random_range(0..3)];
                self.lose_answers(share, until);
            }
            Fault::CancelAtEnd => {
                let share = self.rng.random_range(0.2..1.0);
                self.cancel_at_end(share, until);
            }
            Fault::OddRequests => self.odd_requests(until),
            _ => {}
        }
    }

    /// Whether the state service's answer to this request is lost.
    pub(super) fn answer_lost(&mut self, request: &StoreRequest) -> bool {
        self.answers.store_calls += 1;
        let Some(share) = self.answers.lost.filter(|s| s.until > self.now) else { return false };
        let lost =
            matches!(request, StoreRequest::Txn(_)) && self.rng.random_bool(share.of_all.min(1.0));
        self.answers.lost_answers += u32::from(lost);
        lost
    }

    pub(super) fn note_known(&mut self, rid: u64, asked: &Asked) {
        let (Asked::Submit(id) | Asked::Poll(id, ..) | Asked::Withdraw(id)) = asked else { return };
        if matches!(asked, Asked::Submit(_)) {
            self.answers.submitted.entry(id.clone()).or_insert(self.now);
        }
        let Some(watch) = self.jobs.get(id) else { return };
        let end = watch.answered_state.filter(|t| t.is_final());
        self.answers.known.insert(rid, Known { accepted: watch.accepted, end });
    }

    /// No answer is older than what any controller had told when its user asked.
    pub(super) fn judge_order(&mut self, rid: u64, asked: &Asked, response: &Response) {
        let Some(known) = self.answers.known.remove(&rid) else { return };
        let (Asked::Submit(id) | Asked::Poll(id, ..) | Asked::Withdraw(id)) = asked else { return };
        let (code, state) = status_of(response);
        let withdraws = matches!(asked, Asked::Withdraw(_));
        let wrong = match state {
            Some(state) if known.end.is_some_and(|end| end != state) => "told something older",
            Some(_) if code == 201 && known.accepted => "accepted twice",
            Some(state) if withdraws && !state.is_final() => "cancelled without an end",
            None if matches!(code, 404 | 400 | 422) && known.accepted => "refused though accepted",
            _ => "",
        };
        if !wrong.is_empty() {
            let what = format!("{:?} {wrong} {id}: {code} {state:?}", self.now);
            self.broken.push(what);
        }
        self.answers.last.insert(id.clone(), (code, state));
        let Some((watch, state)) = self.jobs.get(id).zip(state) else { return };
        let ended = state.is_final() && watch.answered_state != Some(state);
        if ended || !watch.accepted {
            self.query_repeatedly(&id.clone(), state);
        }
    }

    fn query_repeatedly(&mut self, id: &JobId, state: JobState) {
        if self.answers.close_looks <= self.now {
            return;
        }
        for controller in 0..self.controllers.len() {
            for what in [Query::Polls; LOOKS as usize].into_iter().chain([Query::Repeats]) {
                self.query_within(controller, id, what, QUERY_WINDOW_MS);
            }
        }
        if !state.is_final() && self.rng.random_bool(CANCELLED_AT_ONCE) {
            let controller = self.rng.random_range(0..self.controllers.len());
            self.query_within(controller, id, Query::Cancels, QUERY_WINDOW_MS);
        }
    }

    fn query_within(&mut self, controller: usize, job: &JobId, what: Query, within_ms: u64) {
        let ms = self.rng.random_range(0..within_ms);
        self.at(ms, SimulationEvent::Looks { controller, job: job.clone(), what });
    }

    pub(super) fn looks(&mut self, controller: usize, id: JobId, what: Query) {
        if self.controllers[controller].is_none() || self.cut[controller] > self.now {
            return;
        }
        let Some(watch) = self.jobs.get_mut(&id) else { return };
        self.answers.looks += 1;
        let (asked, request) = match what {
            Query::Polls => {
                let asked = Asked::Poll(id.clone(), watch.answered_state, watch.accepted);
                (asked, Request::Poll(id))
            }
            Query::Repeats => {
                let Some(spec) = watch.spec.clone() else { return };
                (Asked::Submit(id), Request::Submit(Box::new(spec)))
            }
            Query::Cancels => {
                watch.cancel_asked = true;
                (Asked::Withdraw(id.clone()), Request::Withdraw(id))
            }
        };
        self.ask(controller, asked, request);
    }

    /// A task has completed; if it was its job's last, users may cancel the job just then.
    pub(super) fn see_completed(&mut self, task: &TaskId) {
        let Some(share) = self.answers.cancel_at_end.filter(|s| s.until > self.now) else { return };
        let Some(watch) = self.jobs.get(&task.job) else { return };
        let all = watch.spec.as_ref().map_or(u32::MAX, |s| s.tasks);
        let last = watch.accepted && watch.done.len() as u32 == all;
        if !last || !self.rng.random_bool(share.of_all.min(1.0)) {
            return;
        }
        self.answers.cancelled_at_end += 1;
        for controller in 0..self.controllers.len() {
            for what in [Query::Cancels, Query::Repeats, Query::Polls] {
                let within = [20, 300, END_MS][self.rng.random_range(0..3)];
                self.query_within(controller, &task.job, what, within);
            }
        }
    }

    pub(super) fn odd(&mut self) {
        if self.answers.odd <= self.now {
            return;
        }
        let pause = self.rng.random_range(ODD_EVERY_MS);
        self.at(pause, SimulationEvent::Odd);
        let controller = self.rng.random_range(0..self.controllers.len());
        match self.rng.random_range(0..4) {
            0 => {
                let open =
                    |w: &JobWatch| w.accepted && w.answered_state.is_none_or(|t| !t.is_final());
                if let Some(job) = self.some_known(open) {
                    self.looks(controller, job, Query::Repeats);
                }
            }
            1 => {
                // Nobody has asked for its cancellation in time, so it must stay done.
                if let Some(job) = self.some_known(|w| w.answered_state == Some(JobState::Done)) {
                    if self.controllers[controller].is_some() && self.cut[controller] <= self.now {
                        self.ask(controller, Asked::Withdraw(job.clone()), Request::Withdraw(job));
                    }
                }
            }
            2 => {
                let spec = self.impossible_job();
                self.submit_odd(controller, spec);
            }
            _ => self.lacks_a_field(),
        }
    }

    fn some_known(&mut self, which: impl Fn(&JobWatch) -> bool) -> Option<JobId> {
        let of: Vec<JobId> = self.jobs.iter().filter(|j| which(j.1)).map(|j| j.0.clone()).collect();
        (!of.is_empty()).then(|| of[self.rng.random_range(0..of.len())].clone())
    }

    /// A job that no machine type, zone or team has room for.
    pub fn impossible_job(&mut self) -> JobSpec {
        let mut spec = self.some_job();
        (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
        match self.rng.random_range(0..7) {
            0 => spec.team = TeamId::new("nobody"),
            1 => spec.cpus = 10_000.0,
            2 => spec.gpus = 64.0,
            3 => spec.types = Some(vec![TypeId::new("unheard-of")]),
            4 => spec.types = Some(Vec::new()),
            5 => spec.zone = Some(ZoneId::new("nowhere")),
            _ => {
                (spec.kind, spec.team, spec.cpus) = (Kind::Service, team_id(1), 4.0);
                spec.tasks = (self.size.limit_cpus / 4.0) as u32 + 1;
            }
        }
        spec
    }

    /// Submits what can't run. It is nobody's job: whatever but a refusal is wrong.
    pub fn submit_odd(&mut self, controller: usize, spec: JobSpec) {
        if self.controllers[controller].is_none() || self.cut[controller] > self.now {
            return;
        }
        self.next_rid += 1;
        let rid = self.next_rid;
        self.answers.odd_asked.insert(rid, spec.id.clone());
        self.give(controller, Event::Request { rid, request: Request::Submit(Box::new(spec)) });
    }

    pub(super) fn judge_odd(&mut self, rid: u64, response: &Response) {
        let Some(id) = self.answers.odd_asked.remove(&rid) else { return };
        let (code, _) = status_of(response);
        *self.answers.odd_answers.entry(code).or_default() += 1;
        self.answers.last.insert(id.clone(), (code, None));
        let written = self.store.get(&records::job_key(&id)).is_some();
        if !matches!(code, 422 | 429 | 503) || written {
            let what = format!("{:?} {id} can't run and was answered {code}", self.now);
            self.broken.push(what);
        }
    }

    /// A submission without one of the fields that every job has.
    fn lacks_a_field(&mut self) {
        let spec = self.some_job();
        let Ok(serde_json::Value::Object(mut body)) = serde_json::to_value(&spec) else { return };
        let may_lack = ["gabaritsMachine", "site", "echeanceS", "elastique"];
        let fields: Vec<String> =
            body.keys().filter(|k| !may_lack.contains(&k.as_str())).cloned().collect();
        let field = &fields[self.rng.random_range(0..fields.len())];
        match self.rng.random_bool(0.5) {
            true => body.remove(field),
            false => body.insert(field.clone(), serde_json::Value::Null),
        };
        self.answers.malformed += 1;
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        if JobSpec::from_json(&bytes).is_ok() {
            self.broken.push(format!("{:?} taken for a job though it lacks {field}", self.now));
        }
    }

    /// Of the jobs first submitted within this time, how many, and how many were accepted within so long.
    pub fn accepted_within(&self, ms: u64, from: Ms, until: Ms) -> (usize, usize) {
        let asked = self.answers.submitted.iter().filter(|s| *s.1 >= from && *s.1 < until);
        let mut all = (0, 0);
        for (id, at) in asked {
            let accepted = self.jobs.get(id).and_then(|w| w.accepted_at);
            all.0 += 1;
            all.1 += usize::from(accepted.is_some_and(|a| a.since(*at) <= ms));
        }
        all
    }
}
