//! What tests need to bring two troubles together at a moment.

use super::{
    Asked, Attempt, BTreeMap, BTreeSet, JobId, JobState, MachineId, Ms, Request, Response, Rng,
    TaskId, Txn, World,
};
use cleatfold_control::records::{self, Key, TaskTable};

/// The protocol: usually under 10 ms, and now and then a few hundred.
const SLOW_ANSWER_MS: std::ops::Range<u64> = 50..400;

#[derive(Default)]
pub struct FaultSchedule {
    /// Controllers whose transactions are answered late, by up to so much, until when. Readings are not.
    pub late_commits: BTreeMap<usize, (u64, Ms)>,
    /// The share of the requests to the state service and of its answers that are slow, and until when.
    slow_store: Option<(f64, Ms)>,
    /// How long tasks run, where that is not by their number.
    pub runs: BTreeMap<TaskId, u64>,
    /// Direct orders arrive up to so much later, until when; and whether their answers are lost.
    pub late_orders: Option<(u64, Ms, bool)>,
    /// Orders that came late.
    pub ordered_late: u32,
    /// Machines that reach nobody and that nobody reaches, until when. Their tasks run on.
    pub cut_machines: BTreeMap<MachineId, Ms>,
    /// What was launched, and where: an attempt that is forgotten must not be launched again.
    launched: BTreeSet<(MachineId, u64, TaskId, Attempt)>,
    /// Completed tasks that users were told of, and that they knew of when they asked.
    answered_done: BTreeMap<JobId, u32>,
    counted: BTreeMap<u64, (JobId, u32)>,
}

impl World {
    /// How much later than usual the state service's answer to a request reaches the controller.
    pub(super) fn commit_late(&mut self, controller: usize, is_txn: bool) -> u64 {
        match self.fault_schedule.late_commits.get(&controller) {
            Some((most, until)) if is_txn && *until > self.now => self.rng.random_range(0..*most),
            _ => 0,
        }
    }

    /// Until then so large a share of the requests to the state service, and of its answers, takes up to a few hundred
    /// milliseconds.
    pub fn slow_now_and_then(&mut self, share: f64, until: Ms) {
        self.fault_schedule.slow_store = Some((share, until));
    }

    pub(super) fn store_slowness(&mut self) -> u64 {
        match self.fault_schedule.slow_store {
            Some((share, until)) if until > self.now && self.rng.random_bool(share) => {
                self.rng.random_range(SLOW_ANSWER_MS)
            }
            _ => 0,
        }
    }

    pub(super) fn order_late(&mut self) -> u64 {
        match self.fault_schedule.late_orders {
            Some((most, until, _)) if until > self.now => {
                self.fault_schedule.ordered_late += 1;
                self.rng.random_range(0..most)
            }
            _ => 0,
        }
    }

    pub(super) fn order_answer_lost(&self) -> bool {
        self.fault_schedule.late_orders.is_some_and(|(_, until, lost)| lost && until > self.now)
    }

    pub(super) fn machine_cut(&self, id: &MachineId) -> bool {
        self.fault_schedule.cut_machines.get(id).is_some_and(|until| *until > self.now)
    }

    /// The task has begun on the machine.
    pub(super) fn see_launch(&mut self, task: &TaskId, machine: &MachineId) {
        let Some(worker) = self.workers.get(machine) else { return };
        let running = worker.tasks.iter().filter(|((t, _), s)| t == task && s.exit.is_none());
        for attempt in running.map(|((_, attempt), _)| *attempt) {
            let launch = (machine.clone(), worker.agent_epoch, task.clone(), attempt);
            if !self.fault_schedule.launched.insert(launch) {
                self.broken.push(format!("{:?} launched again {task} on {machine}", self.now));
            }
        }
    }

    /// A user asks: what it knows by now must not be taken back.
    pub(super) fn note_count(&mut self, rid: u64, asked: &Asked) {
        if let Asked::Poll(id, ..) | Asked::Submit(id) = asked {
            let known = self.fault_schedule.answered_done.get(id).copied().unwrap_or_default();
            self.fault_schedule.counted.insert(rid, (id.clone(), known));
        }
    }

    pub(super) fn judge_count(&mut self, rid: u64, response: &Response) {
        let Some((id, before)) = self.fault_schedule.counted.remove(&rid) else { return };
        let Response::Status { status, .. } = response else { return };
        if status.done < before && status.state != JobState::Aborted {
            self.broken.push(format!("{:?} {id}: {} done after {before}", self.now, status.done));
        }
        let answered_done = self.fault_schedule.answered_done.entry(id).or_default();
        *answered_done = (*answered_done).max(status.done);
    }

    /// A user submits a job once more.
    pub fn submit_again(&mut self, controller: usize, job: &JobId) {
        let Some(spec) = self.jobs.get(job).and_then(|w| w.spec.clone()) else { return };
        if self.controllers[controller].is_some() {
            self.ask(controller, Asked::Submit(job.clone()), Request::Submit(Box::new(spec)));
        }
    }

    /// Users ask about every job that was accepted, at this controller.
    pub fn ask_all_at(&mut self, controller: usize) {
        let known = self.jobs.iter().filter(|j| j.1.accepted);
        let known: Vec<_> = known.map(|(id, w)| (id.clone(), w.answered_state)).collect();
        for (id, answered_done) in known {
            if self.controllers[controller].is_some() && self.cut[controller] <= self.now {
                self.ask(
                    controller,
                    Asked::Poll(id.clone(), answered_done, true),
                    Request::Poll(id),
                );
            }
        }
    }

    /// A job that leaves the live records leaves no claim behind: whoever counts what its team uses, or what
    /// is to be stopped, goes by claims.
    pub(super) fn ends_with_claims(&self, txn: &Txn) -> Vec<String> {
        let mut broken = Vec::new();
        for key in txn.changes.iter().filter_map(|c| c.delete.as_deref()) {
            let Some(Key::Job(job)) = records::parse_key(key) else { continue };
            for item in self.store.list(&format!("cf/p/{job}/"), None, 500).items {
                let written = |c: &&cleatfold_wire::store::Change| {
                    c.put.as_deref() == Some(&item.key) || c.delete.as_deref() == Some(&item.key)
                };
                let change = txn.changes.iter().find(written);
                let value = match change {
                    Some(change) => change.value.as_ref(),
                    None => Some(&item.value),
                };
                let table = value.and_then(|v| serde_json::from_str::<TaskTable>(v.get()).ok());
                if table.is_some_and(|t| !t.claims.is_empty()) {
                    broken.push(format!("{:?} {} ended with claims in it", self.now, item.key));
                }
            }
        }
        broken
    }
}
