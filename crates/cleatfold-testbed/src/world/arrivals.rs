//! What arrives at the controllers, the services, the workers and the members of a simulated region.

use super::{late, meetings, quick_restarts, Asked, MemberKey, SimulationEvent, World};
use cleatfold_control::{CloudRequest, Event, Request, StoreReply, StoreRequest};
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::worker::{Heartbeat, Orders};
use cleatfold_wire::{MachineId, Ms};
use rand::Rng;

impl World {
    /// A controller calls the state service; the call or its answer may be late or lost.
    pub(super) fn send_store_request(&mut self, controller: usize, op: u64, request: StoreRequest) {
        let life = self.lives[controller];
        let mut delay = self.delay(controller) + self.faults.held_apart(controller, self.now);
        delay += self.late_by(&request) + self.store_slowness();
        let lost = self.fault && self.rng.random_bool(0.01);
        if lost && self.rng.random_bool(0.5) {
            // It arrives, but long after its sender gave up.
            delay += self.rng.random_range(1000..20_000);
        }
        let (there, back) = self.lateness(&request);
        delay += there;
        let lost = lost || self.answer_lost(&request);
        let answered = !lost && delay + back <= meetings::STORE_MS;
        if !answered {
            let reply = match request {
                StoreRequest::Txn(_) => StoreReply::Unknown,
                _ => StoreReply::Refused,
            };
            let event = Box::new(Event::Store { op, reply });
            self.at(meetings::STORE_MS, SimulationEvent::Controller(controller, life, event));
        }
        if answered && back > 0 {
            self.meetings.back.insert((controller, life, op), back);
        }
        self.at(delay, SimulationEvent::StoreRequest { controller, life, op, request, answered });
    }

    /// A controller asks a worker whether it is reached.
    pub(super) fn send_probe(&mut self, controller: usize, machine: &MachineId) {
        let life = self.lives[controller];
        let delay = 2 * self.delay(controller);
        let cut = self.machine_cut(machine);
        let (faults, now) = (&self.faults, self.now);
        let hangs = self.hung.get(machine).is_some_and(|until| *until > now);
        let said = self.workers.get_mut(machine).and_then(|w| {
            let reached = !faults.cut_off(controller, &w.zone, now)
                && !faults.is_partitioned(w, now)
                && delay < 1000;
            // Before it is up it answers nobody.
            let reached = reached && !cut;
            let there = reached && !hangs && w.renewed_at <= now;
            there.then(|| w.heartbeat()).map(|r| (r.agent_epoch, r.seq))
        });
        let event = Event::ProbeResult { machine: machine.clone(), answer: said };
        self.at(delay.min(1000), SimulationEvent::Controller(controller, life, Box::new(event)));
    }

    pub(super) fn store_request_arrives(
        &mut self,
        controller: usize,
        life: u32,
        op: u64,
        request: StoreRequest,
        answered: bool,
    ) {
        let due = self.blink_due(controller, &request);
        if let Some(due) = due.as_ref().filter(|d| !quick_restarts::is_after(d)) {
            self.quick_restart_now(due);
        }
        if let Some(ms) = quick_restarts::late(due.as_ref()) {
            let request = SimulationEvent::StoreRequest { controller, life, op, request, answered };
            return self.at(ms, request);
        }
        let is_txn = matches!(request, StoreRequest::Txn(_));
        let late = (!answered).then(|| late::purpose(&request)).flatten();
        let reply = if self.outage > self.now
            || self.store_cut[controller] > self.now
            || self.faults.refused_apart(controller, self.now)
        {
            StoreReply::Refused
        } else {
            self.execute(request)
        };
        self.note_late(late, &reply);
        if let Some(due) = due.filter(quick_restarts::is_after) {
            self.quick_restart_now(&due);
        }
        if answered {
            let back = self.meetings.back.remove(&(controller, life, op)).unwrap_or_default();
            let late = self.slow_answers[controller]
                + self.commit_late(controller, is_txn)
                + self.store_slowness()
                + back;
            let delay = self.delay(controller) + late;
            let event = Box::new(Event::Store { op, reply });
            self.at(delay, SimulationEvent::Controller(controller, life, event));
        }
    }

    pub(super) fn cloud_request_arrives(
        &mut self,
        controller: usize,
        life: u32,
        op: u64,
        request: CloudRequest,
    ) {
        let due = self.call_blink_due(controller, &request);
        if let Some(due) = due.as_ref().filter(|d| !quick_restarts::is_after(d)) {
            self.quick_restart_now(due);
        }
        if let Some(ms) = quick_restarts::late(due.as_ref()) {
            return self.at(ms, SimulationEvent::CloudRequest { controller, life, op, request });
        }
        let reply = self.execute_cloud(request);
        if let Some(due) = due.filter(quick_restarts::is_after) {
            self.quick_restart_now(&due);
        }
        let delay = self.delay(controller) + 50;
        self.at(
            delay,
            SimulationEvent::Controller(controller, life, Box::new(Event::Cloud { op, reply })),
        );
    }

    pub(super) fn heartbeat_arrives(
        &mut self,
        controller: usize,
        machine: MachineId,
        sent: Ms,
        report: Heartbeat,
    ) {
        if self.controllers[controller].is_none() {
            return;
        }
        self.next_rid += 1;
        let rid = self.next_rid;
        let asked = Asked::Heartbeat(machine, sent, report.agent_epoch.0, report.seq.0);
        self.asked.insert((controller, rid), asked);
        self.give(controller, Event::Heartbeat { rid, heartbeat: report.into_raw() });
    }

    pub(super) fn worker_times_out(&mut self, machine: MachineId, number: u64) {
        let Some(link) = self.links.get_mut(&machine) else { return };
        if link.waiting == Some(number) {
            link.waiting = None;
            link.target = (link.target + 1) % self.controllers.len();
            self.report_in(1000, machine);
        }
    }

    pub(super) fn machine_dies(&mut self, id: &MachineId) {
        if let Some(worker) = self.workers.remove(id) {
            for (task, _) in worker.tasks.keys() {
                self.gone(task, id);
            }
            self.links.remove(id);
            self.wakes.remove(id);
        }
    }

    pub(super) fn step_report_arrives(
        &mut self,
        controller: usize,
        machine: MachineId,
        key: MemberKey,
        number: u64,
        report: StepReport,
    ) {
        if self.controllers[controller].is_none() {
            return;
        }
        self.next_rid += 1;
        let rid = self.next_rid;
        self.asked.insert((controller, rid), Asked::Steps(machine, key, number));
        let request = Request::Steps(Box::new(report));
        self.give(controller, Event::Request { rid, request });
    }

    pub(super) fn orders_arrive(
        &mut self,
        controller: usize,
        life: u32,
        machine: MachineId,
        orders: Orders,
        answered: bool,
    ) {
        let now = self.now;
        // A machine that hangs executes them when it carries on.
        if let Some(until) = self.hung.get(&machine).filter(|u| **u > now) {
            let until = until.since(now) + 1;
            let order = SimulationEvent::Orders { controller, life, machine, orders, answered };
            return self.at(until, order);
        }
        self.wake(&machine);
        let cut = self.machine_cut(&machine);
        let lost = self.order_answer_lost();
        let Some(worker) = self.workers.get_mut(&machine) else { return };
        if cut || self.faults.is_partitioned(worker, now) {
            let event = Box::new(Event::OrderResult { machine, heartbeat: None });
            return self.at(4000, SimulationEvent::Controller(controller, life, event));
        }
        let report = worker.on_orders(now, &orders, |_| None).map(|worker_events| {
            let report = worker.heartbeat();
            (worker_events, report)
        });
        if let Some((worker_events, report)) = report {
            self.judge(&machine, worker_events);
            self.wake(&machine);
            if !answered {
                return;
            }
            let event = Event::OrderResult { machine, heartbeat: Some(report).filter(|_| !lost) };
            let delay = self.delay(controller);
            self.at(delay, SimulationEvent::Controller(controller, life, Box::new(event)));
        }
    }
}
