//! What users do.

use super::{
    polls, team_id, Asked, ClassId, Event, ImageId, JobId, JobSpec, JobWatch, Kind, Ms, Request,
    Response, Rng, SimulationEvent, Size, TypeId, Urgency, World,
};

impl World {
    pub(super) fn on_reply(&mut self, controller: usize, rid: u64, response: Response) {
        self.judge_odd(rid, &response);
        let sent = self.polls.sent.remove(&rid);
        let late = sent.is_some_and(|at| self.now.since(at) > polls::WAITS_MS);
        match self.asked.remove(&(controller, rid)) {
            Some(Asked::Heartbeat(machine, sent, agent_epoch, number)) => {
                let delay = self.delay(controller);
                self.at(
                    delay,
                    SimulationEvent::WorkerAnswer { machine, number, sent, agent_epoch, response },
                );
            }
            Some(Asked::Steps(machine, key, number)) => {
                let delay = self.delay(controller);
                let response = Some(response);
                self.at(delay, SimulationEvent::MemberAnswered { machine, key, number, response });
            }
            Some(Asked::TeamLosses) => {
                if let Response::Losses(answer) = response {
                    self.team_losses = Some(answer);
                }
            }
            Some(Asked::Team) => self.team_answer = Some(response),
            Some(asked) if self.cut[controller] <= self.now && !late => {
                self.judge_count(rid, &response);
                self.judge_order(rid, &asked, &response);
                self.judge_answer(asked, response)
            }
            _ => {}
        }
    }

    pub(super) fn user(&mut self, u: usize) {
        let pause = self.size.pause_ms;
        let pause = self.rng.random_range(pause / 3..pause * 5 / 3);
        self.at(pause, SimulationEvent::User(u));
        let controller = self.rng.random_range(0..self.controllers.len());
        if self.controllers[controller].is_none() || self.cut[controller] > self.now {
            return;
        }
        let known: Vec<JobId> = self.jobs.keys().cloned().collect();
        let dice = self.rng.random_range(0..10);
        let submitting = self.now < Ms(100_000);
        let (asked, request) =
            if (dice < 2 && submitting && known.len() < self.size.most_jobs) || known.is_empty() {
                let spec = self.some_job();
                let id = spec.id.clone();
                self.know(&spec);
                (Asked::Submit(id), Request::Submit(Box::new(spec)))
            } else {
                let id = known[self.rng.random_range(0..known.len())].clone();
                let watch = self.jobs.get_mut(&id).expect("known");
                if dice == 9 && self.rng.random_bool(0.15) {
                    watch.cancel_asked = true;
                    (Asked::Withdraw(id.clone()), Request::Withdraw(id))
                } else if dice == 8 || !watch.accepted {
                    let spec = watch.spec.clone().expect("submitted");
                    (Asked::Submit(id), Request::Submit(Box::new(spec)))
                } else {
                    let asked = Asked::Poll(id.clone(), watch.answered_state, watch.accepted);
                    (asked, Request::Poll(id))
                }
            };
        self.ask(controller, asked, request);
    }

    pub fn some_job(&mut self) -> JobSpec {
        let n = self.next_job;
        self.next_job += 1;
        let r = &mut self.rng;
        let (one_zone, spread) = match r.random_range(0..6) {
            0 => (true, false),
            1 => (false, true),
            _ => (false, false),
        };
        // A few are larger than one record; their tasks are small.
        let large = r.random_bool(0.05);
        JobSpec {
            id: JobId::new(format!("run-{n:06}")),
            class: ClassId::new("class"),
            team: match self.size.teams {
                2 => team_id(usize::from(!r.random_bool(0.5))),
                teams => team_id(r.random_range(0..teams)),
            },
            kind: Kind::Array,
            urgency: [Urgency::High, Urgency::Normal, Urgency::BestEffort][r.random_range(0..3)],
            tasks: match self.size {
                _ if large => 300,
                Size { tasks: (least, most), .. } => r.random_range(least..most),
            },
            cpus: if spread || large { 1.0 } else { [1.0, 2.0, 4.0][r.random_range(0..3)] },
            gpus: 0.0,
            memory_gb: 1.0,
            image: ImageId::new(["i1", "i2"][r.random_range(0..2)]),
            image_gb: 0.5,
            types: r.random_bool(0.2).then(|| vec![TypeId::new("small")]),
            zone: None,
            one_zone,
            spread,
            spot: r.random_bool(0.7),
            estimate_s: if large { 1.0 } else { r.random_range(1.0..12.0) },
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            elastic: None,
        }
    }

    /// Submits a job at a controller, as a user does.
    pub fn submit(&mut self, controller: usize, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        self.know(&spec);
        self.ask(controller, Asked::Submit(id.clone()), Request::Submit(Box::new(spec)));
        id
    }

    /// A job that a user is about to submit.
    pub fn know(&mut self, spec: &JobSpec) {
        let watch = JobWatch { spec: Some(spec.clone()), ..JobWatch::default() };
        self.jobs.insert(spec.id.clone(), watch);
        if self.polls.on {
            let first = self.rng.random_range(3000..6000);
            self.at(first, SimulationEvent::Asks(spec.id.clone()));
        }
    }

    pub fn ask(&mut self, controller: usize, asked: Asked, request: Request) {
        self.next_rid += 1;
        let rid = self.next_rid;
        self.note_count(rid, &asked);
        self.note_known(rid, &asked);
        self.asked.insert((controller, rid), asked);
        self.give(controller, Event::Request { rid, request });
    }
}
