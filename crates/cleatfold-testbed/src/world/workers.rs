//! Workers, their members, and how they reach the controllers.

use super::{
    controller_id, Link, MachineId, MemberKey, Ms, Response, Rng, SimulationEvent, StepReport,
    TaskId, TypeId, Worker, World, ZoneId,
};

impl World {
    /// A worker does what is due by itself, and so do its members.
    pub(super) fn wake(&mut self, id: &MachineId) {
        let now = self.now;
        if self.hangs(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let worker_events = worker.advance(now);
        let mut asks = Vec::new();
        for (key, member) in &mut worker.members {
            self.steps.of_member(member);
            asks.extend(member.report(now).map(|report| (key.clone(), report)));
        }
        worker.members.retain(|_, m| m.exit.is_none());
        self.broken.append(&mut self.steps.broken);
        let next = worker.next_wakeup();
        self.judge(id, worker_events);
        for (key, report) in asks {
            self.member_asks(id, key, report);
        }
        if self.wakes.get(id).is_none_or(|at| *at <= now || *at > next) {
            self.wakes.insert(id.clone(), next);
            self.at(next.since(now).max(1), SimulationEvent::Wake(id.clone()));
        }
    }

    /// A machine that hangs executes nothing; it carries on where it was, but only within its lease:
    /// when that has run out, its tasks are gone whether it goes on or not.
    pub(super) fn hangs(&mut self, id: &MachineId) -> bool {
        let now = self.now;
        let Some(until) = self.hung.get(id).copied().filter(|until| *until > now) else {
            return false;
        };
        let mut next = until;
        if let Some(worker) = self.workers.get_mut(id) {
            let over = |w: &Worker| w.renewed_at.plus(w.lease_ms + 1);
            let lost = match over(worker) <= now {
                true => worker.restart(now),
                false => Vec::new(),
            };
            next = next.min(over(worker));
            self.judge(id, lost);
        }
        self.at(next.since(now).max(1), SimulationEvent::Wake(id.clone()));
        true
    }

    pub(super) fn member_asks(&mut self, id: &MachineId, key: MemberKey, report: StepReport) {
        let home = self.rng.random_range(0..self.controllers.len());
        let mute = self.is_mute(id);
        let link = self.member_links.entry(key.clone()).or_insert((home, 0));
        link.1 += 1;
        let (controller, number) = *link;
        let (machine, response) = (id.clone(), None);
        self.at(
            5000,
            SimulationEvent::MemberAnswered { machine, key: key.clone(), number, response },
        );
        if mute {
            return;
        }
        let delay = self.delay(controller);
        let machine = id.clone();
        self.at(delay, SimulationEvent::MemberAsks { controller, machine, key, number, report });
    }

    pub(super) fn member_answered(
        &mut self,
        machine: MachineId,
        key: MemberKey,
        number: u64,
        response: Option<Response>,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&machine) else { return };
        let partitioned = self.faults.is_partitioned(worker, now);
        let Some(member) = worker.members.get_mut(&key) else { return };
        let Some(link) = self.member_links.get_mut(&key) else { return };
        if link.1 != number || !member.awaits_reply() {
            return;
        }
        if response.is_some() && partitioned {
            return;
        }
        match response {
            Some(Response::Steps(reply)) => {
                self.refused += reply.refused.iter().map(|r| r.1 - r.0).sum::<u32>();
                member.on_reply(now, &reply);
            }
            Some(Response::Refusal { code: 409, .. }) => member.on_claim_lost(),
            Some(Response::Redirect(Some(to))) => {
                link.0 = (0..self.controllers.len()).find(|i| controller_id(*i) == to).unwrap_or(0);
                member.on_redirect(now);
            }
            _ => {
                link.0 = (link.0 + 1) % self.controllers.len();
                member.on_no_reply(now);
            }
        }
        self.wake(&machine);
    }

    pub(super) fn boot(&mut self, id: MachineId, machine_type: &TypeId, zone: &ZoneId, spot: bool) {
        let boot_ms = self.boot_ms();
        let up = self.now.plus(boot_ms);
        let mut worker = Worker::new(id.clone(), machine_type.clone(), zone.clone(), spot, up);
        worker.lease_ms = self.size.lease_ms;
        worker.endpoint = Some(id.to_string());
        self.has_images(&mut worker);
        self.booted += 1;
        self.workers.insert(id.clone(), worker);
        let target = self.rng.random_range(0..self.controllers.len());
        self.links.insert(id.clone(), Link { target, waiting: None, due: Ms(0) });
        self.report_in(boot_ms, id);
    }

    /// The next report of the worker is due then, whatever was before.
    pub(super) fn report_in(&mut self, ms: u64, id: MachineId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.due = self.now.plus(ms);
        }
        self.at(ms, SimulationEvent::WorkerReports(id));
    }

    pub(super) fn worker_reports(&mut self, id: MachineId) {
        if self.links.get(&id).is_none_or(|l| l.due != self.now) {
            return;
        }
        if let Some(until) = self.hung.get(&id).filter(|u| **u > self.now) {
            let until = until.since(self.now);
            return self.report_in(until + 1, id);
        }
        self.wake(&id);
        let now = self.now;
        let (Some(worker), Some(link)) = (self.workers.get_mut(&id), self.links.get_mut(&id))
        else {
            return;
        };
        if link.waiting.is_some() {
            return;
        }
        let report = worker.heartbeat();
        let number = report.seq.0;
        link.waiting = Some(number);
        let controller = link.target;
        self.at(4000, SimulationEvent::WorkerTimeout { machine: id.clone(), number });
        self.copy_perhaps(&report);
        self.keep_perhaps(&report);
        let unreached = self.machine_cut(&id) || self.is_mute(&id);
        let cut = unreached || self.faults.cut_off(controller, &report.zone, now);
        if self.controllers[controller].is_none() || cut {
            return;
        }
        let delay = self.delay(controller);
        self.at(
            delay,
            SimulationEvent::ReportArrives { controller, machine: id, sent: now, report },
        );
    }

    pub(super) fn worker_answer(
        &mut self,
        id: MachineId,
        number: u64,
        sent: Ms,
        agent_epoch: u64,
        response: Response,
    ) {
        let now = self.now;
        if let Some(until) = self.hung.get(&id).filter(|u| **u > now) {
            let until = until.since(now) + 1;
            let answer =
                SimulationEvent::WorkerAnswer { machine: id, number, sent, agent_epoch, response };
            return self.at(until, answer);
        }
        if let Some(until) = self.meetings.held_until(&id, now) {
            let until = until.since(now) + 1;
            let answer =
                SimulationEvent::WorkerAnswer { machine: id, number, sent, agent_epoch, response };
            return self.at(until, answer);
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.waiting != Some(number) || now.since(sent) > 4000 {
            return;
        }
        if self.workers.get(&id).is_some_and(|w| self.faults.is_partitioned(w, now)) {
            return;
        }
        if self.fault_schedule.cut_machines.get(&id).is_some_and(|until| *until > now) {
            return;
        }
        link.waiting = None;
        match response {
            Response::Worker(reply) => {
                let (jobs, broken) = (&self.jobs, &self.faults.broken);
                let runs = &self.fault_schedule.runs;
                let find = |task: &TaskId| {
                    let spec = jobs.get(&task.job)?.spec.clone()?;
                    (task.ix.0 < spec.tasks).then(|| {
                        let run = (spec.estimate_s * 1000.0) as u64;
                        let run = run / 2 + run * (u64::from(task.ix.0) % 5) / 4;
                        let run = runs.get(task).copied().unwrap_or(run);
                        (spec, run, broken.contains(&task.job))
                    })
                };
                let Some(worker) = self.workers.get_mut(&id) else { return };
                let worker_events = worker.on_response(now, sent, agent_epoch, &reply, find);
                self.judge(&id, worker_events);
                self.wake(&id);
                let heartbeat_interval_ms = self.size.heartbeat_interval_ms;
                let pause =
                    self.rng.random_range(heartbeat_interval_ms / 2..heartbeat_interval_ms * 5 / 4);
                self.report_in(pause, id);
            }
            Response::Redirect(Some(to)) => {
                let target =
                    (0..self.controllers.len()).find(|i| controller_id(*i) == to).unwrap_or(0);
                let pause = if link.target == target { 1000 } else { 100 };
                link.target = target;
                self.report_in(pause, id);
            }
            _ => {
                link.target = (link.target + 1) % self.controllers.len();
                self.report_in(1000, id);
            }
        }
    }
}
