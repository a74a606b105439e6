//! Faults of the traffic between controllers and machines: direct commands that are executed late, reports that arrive
//! only after a change of leader, machines that reach no controller, and machines that hang while their jobs are
//! cancelled.

use super::{
    team_id, Asked, BTreeMap, BTreeSet, Event, Fault, Heartbeat, JobId, JobState, Kind, MachineId,
    Ms, Orders, Request, Rng, SimulationEvent, TaskId, Urgency, Version, World,
};
use cleatfold_wire::job::Elastic;

/// A controller's client gives a direct command up after so long.
const COMMAND_TIMEOUT_MS: u64 = 1_000;
/// A late command is executed so much later.
const LATE_COMMAND_MS: std::ops::Range<u64> = 2_000..16_000;
/// Reports kept for the next leader, at most.
const MOST_KEPT: usize = 64;
/// Kept reports arrive just as the leader changes, once it has read, or once it has acted.
const ARRIVALS_MS: [(u64, u64); 3] = [(1, 20), (100, 500), (1_000, 4_000)];
/// Cancellations of `cancel_now` come within so long.
const CANCEL_NOW_MS: u64 = 200;
/// Machines that hang with it, at most.
const MOST_HUNG: usize = 8;
/// An elastic job that takes what room there is.
const ELASTIC_TASKS: u32 = 60;
const ELASTIC_STEPS: u32 = 300;
/// A cancellation without an answer is repeated after so long.
const REPEAT_MS: u64 = 1_000;

/// Where leaders, holders of roles and owners of pools are written.
const LEADERSHIP_KEYS: [&str; 3] = ["cf/leader", "cf/duty/", "cf/pool/"];

/// The state of these faults, and what they did so far.
#[derive(Default)]
pub struct CommandFaults {
    late_commands: Option<Share>,
    reports_for_next: Option<Share>,
    kept: Vec<Heartbeat>,
    /// The newest change of any pool's owner or role's holder that was seen.
    leadership: Version,
    /// Machines that open no connection to a controller, until when.
    mute: BTreeMap<MachineId, Ms>,
    /// The last elastic job that was submitted so that there are direct commands.
    elastic: Option<JobId>,
    /// Direct commands that are on their way and late.
    pub held: Vec<HeldCommand>,
    /// Commands that were held up.
    pub late: u32,
    /// Kept reports that were delivered.
    pub delivered: u32,
    /// Jobs that `cancel_now` cancelled, and machines that hung with them.
    pub cancelled: u32,
    pub hung: u32,
}

/// A share of something, until some time.
#[derive(Clone, Copy, Debug)]
struct Share {
    share: f64,
    until: Ms,
}

/// A direct command that is held up, and when it is executed.
#[derive(Clone, Debug)]
pub struct HeldCommand {
    pub machine: MachineId,
    pub orders: Orders,
    pub sent: Ms,
    pub due: Ms,
}

impl World {
    /// From now on this share of direct commands gets no answer and is executed once, 2 to 16 s late.
    pub fn late_commands(&mut self, share: f64, until: Ms) {
        self.command_faults.late_commands = Some(Share { share, until });
        self.over_at(until.plus(LATE_COMMAND_MS.end));
    }

    /// From now on a copy of this share of reports is kept until the next change of a leader or an owner, and then
    /// arrives at every controller.
    pub fn reports_for_next_leader(&mut self, share: f64, until: Ms) {
        self.command_faults.reports_for_next = Some(Share { share, until });
        self.command_faults.leadership = self.leadership();
        self.over_at(until);
        self.at(1, SimulationEvent::LeadershipCheck);
    }

    /// The machine reaches no controller, while what is sent to it directly arrives.
    pub fn mute(&mut self, machine: &MachineId, until: Ms) {
        self.command_faults.mute.insert(machine.clone(), until);
        self.over_at(until);
    }

    pub(super) fn is_mute(&self, machine: &MachineId) -> bool {
        self.command_faults.mute.get(machine).is_some_and(|until| *until > self.now)
    }

    /// Users cancel up to `count` jobs that run and have long to go within a fifth of a second; with `hang_ms`, up to
    /// eight of their machines hang that long.
    pub fn cancel_now(&mut self, count: usize, hang_ms: Option<u64>) {
        let jobs = self.long_running(count);
        let on_them = self.running.iter().filter(|(task, _)| jobs.contains(&task.job));
        let machines: BTreeSet<MachineId> = on_them.map(|(_, machine)| machine.clone()).collect();
        for job in jobs {
            self.command_faults.cancelled += 1;
            let at = self.rng.random_range(0..CANCEL_NOW_MS);
            self.at(at, SimulationEvent::Cancels(job));
        }
        let Some(hang_ms) = hang_ms else { return };
        for machine in machines.into_iter().take(MOST_HUNG) {
            self.command_faults.hung += 1;
            self.hang(&machine, hang_ms);
        }
        self.over_at(self.now.plus(hang_ms));
    }

    /// Jobs nobody has cancelled of which a task runs on for longer than a lease.
    fn long_running(&self, count: usize) -> BTreeSet<JobId> {
        let long = self.now.plus(self.size.lease_ms);
        let runs_on = |task: &TaskId, machine: &MachineId| {
            let worker = self.workers.get(machine);
            let tasks = worker.into_iter().flat_map(|w| &w.tasks);
            tasks.into_iter().any(|((t, _), state)| t == task && state.ends_at > long)
        };
        let open = |job: &JobId| {
            self.jobs.get(job).is_some_and(|w| {
                w.accepted && !w.cancel_asked && w.answered_state.is_none_or(|t| !t.is_final())
            })
        };
        let long =
            self.running.iter().filter(|(task, machine)| open(&task.job) && runs_on(task, machine));
        let jobs: BTreeSet<JobId> = long.map(|(task, _)| task.job.clone()).collect();
        jobs.into_iter().take(count).collect()
    }

    /// A user cancels the job, and repeats that until there is an answer.
    pub(super) fn cancels(&mut self, job: JobId) {
        let Some(watch) = self.jobs.get_mut(&job) else { return };
        if watch.answered_state.is_some_and(JobState::is_final) {
            return;
        }
        watch.cancel_asked = true;
        self.at(REPEAT_MS, SimulationEvent::Cancels(job.clone()));
        if let Some(controller) = self.users_node() {
            self.ask(controller, Asked::Withdraw(job.clone()), Request::Withdraw(job));
        }
    }

    /// A user submits an elastic job that takes all room there is: whatever comes after it needs members to be stopped,
    /// by direct commands. One at a time: several would not end within a day on the few machines that are kept for them.
    pub fn submit_elastic(&mut self) {
        let unfinished = self.unfinished();
        if self.command_faults.elastic.as_ref().is_some_and(|job| unfinished.contains(job)) {
            return;
        }
        let mut spec = self.some_job();
        (spec.team, spec.urgency, spec.kind) = (team_id(0), Urgency::BestEffort, Kind::Array);
        (spec.tasks, spec.cpus, spec.estimate_s) = (ELASTIC_TASKS, 1.0, 0.0);
        (spec.one_zone, spec.spread, spec.types) = (false, false, None);
        spec.elastic = Some(Elastic { steps: ELASTIC_STEPS, min_members: 1, step_s: 1.5 });
        if let Some(controller) = self.users_node() {
            let job = self.submit(controller, spec);
            self.command_faults.elastic = Some(job);
        }
    }

    /// Sends a direct command, now or late.
    pub(super) fn send_command(&mut self, controller: usize, machine: MachineId, orders: Orders) {
        let (life, delay) = (self.lives[controller], self.delay(controller) + self.order_late());
        self.only_kills(&machine, &orders);
        let late = self.command_faults.late_commands.filter(|late| late.until > self.now);
        if !late.is_some_and(|late| self.rng.random_bool(late.share)) {
            return self.at(
                delay,
                SimulationEvent::Orders { controller, life, machine, orders, answered: true },
            );
        }
        let unanswered = Event::OrderResult { machine: machine.clone(), heartbeat: None };
        self.at(
            COMMAND_TIMEOUT_MS,
            SimulationEvent::Controller(controller, life, Box::new(unanswered)),
        );
        let late_ms = self.rng.random_range(LATE_COMMAND_MS);
        let (sent, due) = (self.now, self.now.plus(late_ms));
        self.command_faults.late += 1;
        let held = HeldCommand { machine: machine.clone(), orders: orders.clone(), sent, due };
        self.command_faults.held.push(held);
        self.at(
            late_ms,
            SimulationEvent::Orders { controller, life, machine, orders, answered: false },
        );
    }

    /// A start that is sent directly could be executed after its claim has ended, in the same session and under the
    /// same token: direct commands only ever stop.
    fn only_kills(&mut self, machine: &MachineId, orders: &Orders) {
        use cleatfold_wire::worker::Command;
        if orders.commands.iter().any(|c| !matches!(c, Command::Stop { .. })) {
            self.broken.push(format!("{:?} more than a stop sent directly to {machine}", self.now));
        }
    }

    /// Keeps a copy of a report for the next leader, perhaps.
    pub(super) fn keep_perhaps(&mut self, report: &Heartbeat) {
        let Some(keeps) = self.command_faults.reports_for_next else { return };
        if keeps.until <= self.now || !self.rng.random_bool(keeps.share) {
            return;
        }
        let kept = &mut self.command_faults.kept;
        if kept.len() >= MOST_KEPT {
            kept.remove(0);
        }
        kept.push(report.clone());
    }

    /// The newest change of who owns a pool or holds a role.
    fn leadership(&self) -> Version {
        let all = LEADERSHIP_KEYS.map(|prefix| self.store.list(prefix, None, 500).items);
        all.iter().flatten().map(|item| item.version).max().unwrap_or_default()
    }

    /// Delivers what was kept once a leader or an owner has changed.
    pub(super) fn leadership_check(&mut self) {
        let Some(keeps) = self.command_faults.reports_for_next else { return };
        let leadership = self.leadership();
        if leadership != self.command_faults.leadership {
            self.command_faults.leadership = leadership;
            for report in std::mem::take(&mut self.command_faults.kept) {
                self.deliver_everywhere(&report);
            }
        }
        if keeps.until > self.now {
            return self.at(20, SimulationEvent::LeadershipCheck);
        }
        self.command_faults.reports_for_next = None;
        self.command_faults.kept.clear();
    }

    /// A copy of the report arrives at every controller at about the same moment.
    pub fn deliver_everywhere(&mut self, report: &Heartbeat) {
        self.command_faults.delivered += 1;
        let (from, to) = ARRIVALS_MS[self.rng.random_range(0..ARRIVALS_MS.len())];
        let after = self.rng.random_range(from..to);
        for controller in 0..self.controllers.len() {
            self.at(after, SimulationEvent::Copy(controller, Box::new(report.clone())));
        }
    }

    /// One of these faults, drawn in all that is left open.
    pub(super) fn command_fault(&mut self, kind: Fault, until: Ms) {
        let shares = [0.2, 0.5, 1.0];
        let share = shares[self.rng.random_range(0..shares.len())];
        match kind {
            Fault::LateCommands => {
                self.submit_elastic();
                self.late_commands(share, until);
            }
            Fault::ReportsForNextLeader => self.reports_for_next_leader(share, until),
            Fault::Mute => self.mute_some(until),
            Fault::CancelNow => {
                let count = self.rng.random_range(2..12);
                let most = self.size.lease_ms * 3 / 2;
                let hang_ms = self.rng.random_range(2_000..most);
                let hangs = self.rng.random_bool(0.7);
                self.cancel_now(count, hangs.then_some(hang_ms));
            }
            _ => {}
        }
    }

    /// One machine, a few, or a zone.
    fn mute_some(&mut self, until: Ms) {
        let Some(first) = self.some_machine() else { return };
        let zone = self.workers.get(&first).map(|w| w.zone.clone());
        let machines: Vec<MachineId> = match self.rng.random_range(0..3) {
            0 => vec![first],
            1 => (0..4).filter_map(|_| self.some_machine()).collect(),
            _ => {
                let same = self.workers.values().filter(|w| Some(&w.zone) == zone.as_ref());
                same.map(|w| w.id.clone()).collect()
            }
        };
        machines.iter().for_each(|machine| self.mute(machine, until));
    }
}
