//! Users that keep a region busy and go on cancelling, whatever befalls it.

use super::{
    Asked, BTreeMap, BTreeSet, Controller, JobId, JobSpec, JobState, JobWatch, Ms, Request, Rng,
    SimulationEvent, World,
};

/// They hold on for so long after the last trouble.
const AFTER_MS: u64 = 5_000;
/// Jobs of theirs that have not ended, at most.
const OPEN: usize = 24;

#[derive(Default)]
pub struct LoadGenerator {
    until: Ms,
    mine: BTreeSet<JobId>,
    /// Cancellations that were asked for.
    pub asked: u32,
}

impl World {
    /// Until then and while troubles last, users submit jobs of all lengths, cancel some that run and
    /// repeat that until they are told.
    pub fn keep_busy(&mut self, until: Ms) {
        self.load_generator.until = until;
        self.at(3_000, SimulationEvent::GenerateLoad);
    }

    /// A controller that users come to: mostly one that is ready, at times one that a connection
    /// was left open to.
    pub(super) fn users_node(&mut self) -> Option<usize> {
        let there = |i: &usize| self.cut[*i] <= self.now && self.controllers[*i].is_some();
        let all: Vec<usize> = (0..self.controllers.len()).filter(there).collect();
        let ready = |i: &usize| {
            !self.faults.stands_still(*i, self.now)
                && self.controllers[*i].as_ref().is_some_and(Controller::is_ready)
        };
        let ready: Vec<usize> = all.iter().copied().filter(ready).collect();
        let of = if ready.is_empty() || self.rng.random_bool(0.15) { all } else { ready };
        (!of.is_empty()).then(|| of[self.rng.random_range(0..of.len())])
    }

    pub(super) fn generate_load(&mut self) {
        let open: Vec<JobId> =
            self.load_generator.mine.iter().filter(|id| !self.is_answered(id)).cloned().collect();
        let goes_on = self.now < self.load_generator.until.max(self.faults_over().plus(AFTER_MS));
        if !goes_on && open.is_empty() {
            return;
        }
        let pause = self.rng.random_range(400..1_200);
        self.at(pause, SimulationEvent::GenerateLoad);
        if goes_on && open.len() < OPEN && self.rng.random_bool(0.7) {
            let spec = self.longer_job();
            self.load_generator.mine.insert(spec.id.clone());
            if let Some(controller) = self.users_node() {
                self.submit(controller, spec);
            }
        }
        // What was not answered is asked again.
        for id in open {
            let watch = &self.jobs[&id];
            let (accepted, cancel) = (watch.accepted, watch.cancel_asked);
            if !(cancel || !accepted && goes_on) || !self.rng.random_bool(0.5) {
                continue;
            }
            let Some(controller) = self.users_node() else { continue };
            match watch_spec(&self.jobs, &id) {
                Some(spec) if !accepted && !cancel => {
                    self.ask(controller, Asked::Submit(id), Request::Submit(Box::new(spec)))
                }
                _ => self.ask(controller, Asked::Withdraw(id.clone()), Request::Withdraw(id)),
            }
        }
        if goes_on && self.rng.random_bool(0.3) {
            self.cancels_one();
        }
    }

    /// Every job has ended, its user has been told, and the last cancellation is so long ago.
    pub fn is_settled(&self, ms: u64) -> bool {
        let ended = |id: &JobId| !self.jobs[id].accepted || self.is_answered(id);
        let last = self.jobs.values().filter_map(|w| w.cancel_confirmed).max().unwrap_or_default();
        self.now.since(last) > ms && self.jobs.keys().all(ended) && self.unfinished().is_empty()
    }

    fn is_answered(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_none_or(|w| w.answered_state.is_some_and(JobState::is_final))
    }

    /// Cancels a job that runs.
    fn cancels_one(&mut self) {
        let runs = |id: &&JobId| {
            let open = |w: &JobWatch| {
                w.accepted && !w.cancel_asked && w.answered_state.is_none_or(|t| !t.is_final())
            };
            self.running.keys().any(|t| t.job == **id) && self.jobs.get(*id).is_some_and(open)
        };
        let of: Vec<JobId> = self.load_generator.mine.iter().filter(runs).cloned().collect();
        if of.is_empty() {
            return;
        }
        let id = of[self.rng.random_range(0..of.len())].clone();
        let Some(controller) = self.users_node() else { return };
        self.load_generator.asked += 1;
        if let Some(watch) = self.jobs.get_mut(&id) {
            watch.cancel_asked = true;
        }
        self.ask(controller, Asked::Withdraw(id.clone()), Request::Withdraw(id));
    }

    /// Mostly of a few tasks, whose ends are far apart; many outlast a change of owners.
    fn longer_job(&mut self) -> JobSpec {
        let mut spec = self.some_job();
        spec.tasks = match self.rng.random_range(0..4) {
            0 | 1 => self.rng.random_range(2..4),
            _ => self.rng.random_range(1..9),
        };
        spec.cpus = [1.0, 2.0][self.rng.random_range(0..2)];
        spec.estimate_s = [4.0, 15.0, 40.0, 70.0][self.rng.random_range(0..4)];
        spec
    }
}

fn watch_spec(jobs: &BTreeMap<JobId, JobWatch>, id: &JobId) -> Option<JobSpec> {
    jobs.get(id).and_then(|w| w.spec.clone())
}
