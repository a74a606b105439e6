//! Users that ask about each job they know of until it ends, and what watches that they are told.

use super::{
    Asked, BTreeMap, BTreeSet, Controller, JobId, JobState, Ms, Request, Rng, SimulationEvent,
    World,
};

/// A job about which no question is answered for so long is forgotten, however others fare.
const FORGOTTEN_MS: u64 = 75_000;
const EVERY_MS: u64 = 5_000;
/// A user waits for an answer.
pub(super) const WAITS_MS: u64 = 2_000;

/// Whether a question about a job is turned away at the door at a time of day.
pub type TurnedAway = Box<dyn Fn(&JobId, u64) -> bool>;

#[derive(Default)]
pub struct Polls {
    pub on: bool,
    /// Stands for a door that turns questions away.
    pub turned_away: Option<TurnedAway>,
    /// When questions that have no answer yet were asked.
    pub(super) sent: BTreeMap<u64, Ms>,
    pub asked: u64,
    pub turned: u64,
    /// Jobs that were found forgotten, each told once.
    pub forgotten: BTreeSet<JobId>,
    /// The longest time for which a job's questions went unanswered after the troubles.
    pub longest_ms: u64,
}

impl World {
    /// From now on users ask about each job they know of, every 5 s or so until it ends.
    pub fn poll_everything(&mut self) {
        self.polls.on = true;
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            let first = self.rng.random_range(0..EVERY_MS);
            self.at(first, SimulationEvent::Asks(id));
        }
    }

    /// A question, at a controller that the load balancer holds for ready.
    pub(super) fn asks(&mut self, id: JobId) {
        let Some(watch) = self.jobs.get(&id) else { return };
        if watch.answered_state.is_some_and(JobState::is_final) {
            return;
        }
        let pause = self.rng.random_range(EVERY_MS * 3 / 4..EVERY_MS * 5 / 4);
        let (answered_state, accepted) = (watch.answered_state, watch.accepted);
        self.at(pause, SimulationEvent::Asks(id.clone()));
        let ready = |i: &usize| {
            let there = self.cut[*i] <= self.now && !self.faults.stands_still(*i, self.now);
            there && self.controllers[*i].as_ref().is_some_and(Controller::is_ready)
        };
        let ready: Vec<usize> = (0..self.controllers.len()).filter(ready).collect();
        if !accepted || ready.is_empty() {
            return;
        }
        let controller = ready[self.rng.random_range(0..ready.len())];
        self.polls.asked += 1;
        let wall_ms = 1_000_000 + self.now.0;
        if self.polls.turned_away.as_ref().is_some_and(|t| t(&id, wall_ms)) {
            self.polls.turned += 1;
            return;
        }
        self.polls.sent.insert(self.next_rid + 1, self.now);
        self.ask(controller, Asked::Poll(id.clone(), answered_state, accepted), Request::Poll(id));
    }

    /// Once all troubles are over, each job that is asked about is told of.
    pub(super) fn watch_answers(&mut self) {
        if !self.polls.on {
            return;
        }
        let over = self.faults_over();
        for (id, watch) in &self.jobs {
            let Some(accepted) = watch.accepted_at else { continue };
            if watch.answered_state.is_some_and(JobState::is_final) {
                continue;
            }
            let since = accepted.max(over).max(watch.answered.unwrap_or_default());
            let silent = self.now.since(since);
            self.polls.longest_ms = self.polls.longest_ms.max(silent);
            if silent > FORGOTTEN_MS && self.polls.forgotten.insert(id.clone()) {
                self.broken.push(format!("{:?} forgotten {id}: no answer in 75 s", self.now));
            }
        }
    }
}
