//! Users that submit one-task jobs four a second and cancel a quarter of them.

use super::{team_id, Asked, BTreeMap, JobId, JobState, Ms, Request, Rng, SimulationEvent, World};

const EVERY_MS: u64 = 250;
/// A user comes again after so long without an answer, and gives a submission up after a minute.
const AGAIN_MS: u64 = 1_000;
const GIVES_UP_MS: u64 = 60_000;
const CANCELLED: f64 = 0.25;
/// When a job is cancelled: right after it was accepted, soon, or as it runs or ends.
const CANCELLED_AFTER_MS: [std::ops::Range<u64>; 3] = [0..1, 1..3_000, 3_000..25_000];

#[derive(Default)]
pub struct SmallJobs {
    until: Ms,
    /// Jobs whose users have not been told yet how they ended.
    open: BTreeMap<JobId, SmallJob>,
    pub submitted: u32,
    /// Cancellations that were asked for.
    pub cancelled: u32,
}

struct SmallJob {
    since: Ms,
    /// How long after its acceptance it is cancelled, if it is.
    cancel_after_ms: Option<u64>,
    asked: Ms,
}

/// What a job's user does now.
enum Next {
    Submits,
    Cancels,
    Waits,
    Leaves,
}

impl World {
    /// Until then one-task jobs come four a second; their users go on until they are told.
    pub fn small_jobs(&mut self, until: Ms) {
        let already = self.small.until > self.now || !self.small.open.is_empty();
        self.small.until = self.small.until.max(until);
        self.over_at(until);
        if !already {
            self.at(EVERY_MS, SimulationEvent::SmallJobs);
        }
    }

    pub(super) fn small_jobs_go_on(&mut self) {
        let goes_on = self.now < self.small.until;
        if !goes_on && self.small.open.is_empty() {
            return;
        }
        self.at(EVERY_MS, SimulationEvent::SmallJobs);
        if goes_on {
            self.submit_small_job();
        }
        for id in self.small.open.keys().cloned().collect::<Vec<_>>() {
            self.small_job_user(&id);
        }
    }

    fn submit_small_job(&mut self) {
        let mut spec = self.some_job();
        (spec.tasks, spec.cpus, spec.one_zone, spec.spread) = (1, 1.0, false, false);
        spec.team = team_id(usize::from(self.size.teams > 1 && self.rng.random_bool(0.2)));
        // A job's first task runs half of that.
        spec.estimate_s = self.rng.random_range(4.0..40.0);
        let cancelled = self.rng.random_bool(CANCELLED);
        let kind = self.rng.random_range(0..CANCELLED_AFTER_MS.len());
        let after_ms = self.rng.random_range(CANCELLED_AFTER_MS[kind].clone());
        let cancel_after_ms = cancelled.then_some(after_ms);
        let job = SmallJob { since: self.now, cancel_after_ms, asked: self.now };
        self.small.submitted += 1;
        self.small.open.insert(spec.id.clone(), job);
        match self.users_node() {
            Some(controller) => {
                self.submit(controller, spec);
            }
            None => self.know(&spec),
        }
    }

    fn small_job_next(&self, id: &JobId) -> Next {
        let (Some(watch), Some(job)) = (self.jobs.get(id), self.small.open.get(id)) else {
            return Next::Leaves;
        };
        let again = self.now.since(job.asked) >= AGAIN_MS;
        let Some(accepted_at) = watch.accepted_at else {
            return match again {
                _ if self.now.since(job.since) > GIVES_UP_MS => Next::Leaves,
                true => Next::Submits,
                false => Next::Waits,
            };
        };
        let due = job.cancel_after_ms.is_some_and(|ms| self.now.since(accepted_at) >= ms);
        match watch.answered_state.is_some_and(JobState::is_final) {
            true => Next::Leaves,
            false if due && (again || !watch.cancel_asked) => Next::Cancels,
            false => Next::Waits,
        }
    }

    fn small_job_user(&mut self, id: &JobId) {
        let next = self.small_job_next(id);
        if let Next::Leaves = next {
            self.small.open.remove(id);
            return;
        }
        let Some(controller) = self.users_node() else { return };
        let Some(watch) = self.jobs.get_mut(id) else { return };
        let (asked, request) = match next {
            Next::Submits => {
                let Some(spec) = watch.spec.clone() else { return };
                (Asked::Submit(id.clone()), Request::Submit(Box::new(spec)))
            }
            Next::Cancels => {
                self.small.cancelled += u32::from(!watch.cancel_asked);
                watch.cancel_asked = true;
                (Asked::Withdraw(id.clone()), Request::Withdraw(id.clone()))
            }
            Next::Waits | Next::Leaves => return,
        };
        if let Some(job) = self.small.open.get_mut(id) {
            job.asked = self.now;
        }
        self.ask(controller, asked, request);
    }
}
