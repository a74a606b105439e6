//! Fake worker: executes commands under the fencing token and lease rules of the protocol.

use crate::images::{WorkerImages, NEVER};
use crate::member::Member;
use cleatfold_wire::job::{JobSpec, Kind};
use cleatfold_wire::worker::{
    Command, Exit, Heartbeat, HeartbeatResponse, Orders, TaskReport, TaskState,
};
use cleatfold_wire::{
    AgentEpoch, Attempt, FencingToken, MachineId, Ms, Seq, TaskId, TypeId, ZoneId,
};
use std::collections::BTreeMap;

/// A task that was launched on the worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// The attempt of the task.
    pub attempt: Attempt,
    /// When its image is fetched and it starts to run.
    pub ready_at: Ms,
    /// When it finishes by itself.
    pub ends_at: Ms,
    /// How it exited, once it has.
    pub exit: Option<Exit>,
    /// The CPUs and GB of memory that it uses.
    pub resources: (f64, f64),
}

/// Fake of one worker, the agent on a machine.
pub struct Worker {
    /// The worker's machine.
    pub id: MachineId,
    /// The machine's type.
    pub machine_type: TypeId,
    /// The machine's zone.
    pub zone: ZoneId,
    /// Whether the cloud may reclaim the machine at any time.
    pub spot: bool,
    /// CPUs of the machine.
    pub cpus: f64,
    /// Memory of the machine.
    pub memory_gb: f64,
    /// How long its tasks keep running without a heartbeat response.
    pub lease_ms: u64,
    /// How long it takes to fetch an image.
    pub fetch_ms: u64,
    /// Session number, incremented on each restart and expired lease.
    pub agent_epoch: u64,
    /// Sequence number of the last heartbeat.
    pub seq: u64,
    /// The highest fencing token seen so far.
    pub token: FencingToken,
    /// Its tasks, including exited ones until a command to forget them.
    pub tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// The running tasks that are members of elastic jobs.
    pub members: BTreeMap<(TaskId, Attempt), Member>,
    /// Address at which it accepts direct orders.
    pub endpoint: Option<String>,
    /// When the last answered heartbeat of this session was sent, which renewed the lease.
    pub renewed_at: Ms,
    /// Large images, which are distributed between machines.
    pub images: WorkerImages,
}

/// Task event, for checks of invariants.
#[derive(Debug, PartialEq)]
pub enum WorkerEvent {
    /// A task was launched and fetches its image or runs.
    Started(TaskId),
    /// A task has exited.
    Exited(TaskId, Exit),
    /// A task was killed because the lease expired or the worker restarted.
    LeaseExpired(TaskId),
}

impl Worker {
    /// Creates a worker on a machine that has just booted.
    pub fn new(id: MachineId, machine_type: TypeId, zone: ZoneId, spot: bool, now: Ms) -> Self {
        Self {
            id,
            machine_type,
            zone,
            spot,
            cpus: 8.0,
            memory_gb: 32.0,
            lease_ms: 10_000,
            fetch_ms: 500,
            agent_epoch: 1,
            seq: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            members: BTreeMap::new(),
            endpoint: None,
            renewed_at: now,
            images: WorkerImages::default(),
        }
    }

    /// Returns the next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.id.clone(),
            endpoint: self.endpoint.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: AgentEpoch(self.agent_epoch),
            seq: Seq(self.seq),
            token: self.token,
            notice_s: None,
            images: self.images.reported(),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: match t.exit {
                        Some(_) => TaskState::Exited,
                        None if t.ready_at > self.renewed_at => TaskState::Fetching,
                        None => TaskState::Running,
                    },
                    why: t.exit,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Handles at `now` the response to the heartbeat sent at `sent` in session `agent_epoch`. `job`
    /// returns a task's job description, its run time in milliseconds, and whether it fails.
    pub fn on_response(
        &mut self,
        now: Ms,
        sent: Ms,
        agent_epoch: u64,
        response: &HeartbeatResponse,
        job: impl Fn(&TaskId) -> Option<(JobSpec, u64, bool)>,
    ) -> Vec<WorkerEvent> {
        if agent_epoch != self.agent_epoch || response.token < self.token {
            return Vec::new();
        }
        self.token = response.token;
        self.renewed_at = self.renewed_at.max(sent);
        self.execute(now, &response.commands, job)
    }

    /// Executes direct orders. Returns `None` if their fencing token or session is outdated.
    pub fn on_orders(
        &mut self,
        now: Ms,
        orders: &Orders,
        job: impl Fn(&TaskId) -> Option<(JobSpec, u64, bool)>,
    ) -> Option<Vec<WorkerEvent>> {
        if orders.token < self.token || orders.agent_epoch.0 != self.agent_epoch {
            return None;
        }
        self.token = orders.token;
        Some(self.execute(now, &orders.commands, job))
    }

    fn execute(
        &mut self,
        now: Ms,
        commands: &[Command],
        job: impl Fn(&TaskId) -> Option<(JobSpec, u64, bool)>,
    ) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt, sources } => {
                    let image = job(task).map(|j| (j.0.image, j.0.image_gb));
                    self.images.request_fetch(image, sources);
                    if let Some(event) = self.launch(now, task, *attempt, &job) {
                        events.push(event);
                    }
                }
                Command::Stop { task, attempt, grace_s } => {
                    let key = (task.clone(), *attempt);
                    if let Some(member) = self.members.get_mut(&key) {
                        member.stop(now, *grace_s);
                        if member.exit.is_none() {
                            continue;
                        }
                        self.members.remove(&key);
                    }
                    if let Some(t) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                        if t.exit.is_none() {
                            t.exit = Some(Exit::Stopped);
                            events.push(WorkerEvent::Exited(task.clone(), Exit::Stopped));
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(|t| t.exit.is_some()) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
        events
    }

    /// Launches a task unless it is known. Returns `None` if it was not started.
    fn launch(
        &mut self,
        now: Ms,
        task: &TaskId,
        attempt: Attempt,
        job: &impl Fn(&TaskId) -> Option<(JobSpec, u64, bool)>,
    ) -> Option<WorkerEvent> {
        let key = (task.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return None;
        }
        let mut launched =
            Task { attempt, ready_at: now, ends_at: now, exit: None, resources: (0.0, 0.0) };
        let already_running = self.tasks.iter().any(|((t, _), s)| t == task && s.exit.is_none());
        let used = self
            .tasks
            .values()
            .filter(|t| t.exit.is_none())
            .fold((0.0, 0.0), |a, t| (a.0 + t.resources.0, a.1 + t.resources.1));
        match job(task) {
            None => launched.exit = Some(Exit::Unknown),
            Some(_) if already_running => launched.exit = Some(Exit::Busy),
            Some((spec, _, _))
                if used.0 + spec.cpus > self.cpus + 1e-6
                    || used.1 + spec.memory_gb > self.memory_gb + 1e-6 =>
            {
                launched.exit = Some(Exit::InsufficientResources)
            }
            Some((spec, run_ms, fails)) => {
                // The replicas of a service run until they are stopped.
                let run_ms = if spec.kind == Kind::Service { NEVER.0 } else { run_ms };
                launched.resources = (spec.cpus, spec.memory_gb);
                launched.ready_at = now.plus(self.fetch_ms);
                launched.ends_at = launched.ready_at.plus(run_ms);
                if self.images.defer_launch(&key, &spec, run_ms) {
                    (launched.ready_at, launched.ends_at) = (NEVER, NEVER);
                }
                if let Some(elastic) = &spec.elastic {
                    launched.ends_at = NEVER;
                    let step_ms = ((elastic.step_s * 1000.0) as u64).max(1);
                    let member = Member::new(task.clone(), attempt, step_ms, launched.ready_at);
                    self.members.insert(key.clone(), member);
                }
                if fails {
                    launched.exit = Some(Exit::Error);
                }
            }
        }
        let started = launched.exit.is_none();
        self.tasks.insert(key, launched);
        started.then(|| WorkerEvent::Started(task.clone()))
    }

    /// When `advance` next has an effect without an external event.
    pub fn next_wakeup(&self) -> Ms {
        let ends_at = self.tasks.values().filter(|t| t.exit.is_none()).map(|t| t.ends_at);
        let members = self.members.values().map(Member::next_wakeup);
        ends_at
            .chain(members)
            .chain([self.renewed_at.plus(self.lease_ms + 1)])
            .min()
            .unwrap_or_default()
    }

    /// Kills all running tasks, forgets the others and starts the next session.
    pub fn restart(&mut self, now: Ms) -> Vec<WorkerEvent> {
        self.members.clear();
        self.images.waiting.clear();
        let tasks = std::mem::take(&mut self.tasks).into_iter().filter(|(_, t)| t.exit.is_none());
        let killed = tasks.map(|((task, _), _)| WorkerEvent::LeaseExpired(task)).collect();
        self.agent_epoch += 1;
        self.renewed_at = now;
        killed
    }

    /// Advances to `now`: tasks finish, and the lease may expire.
    pub fn advance(&mut self, now: Ms) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        if now.since(self.renewed_at) > self.lease_ms {
            events = self.restart(now);
        }
        for (key, member) in &mut self.members {
            member.advance(now);
            if let (Some(_), Some(t)) = (member.exit, self.tasks.get_mut(key)) {
                if t.exit.is_none() {
                    t.exit = Some(Exit::Stopped);
                    events.push(WorkerEvent::Exited(key.0.clone(), Exit::Stopped));
                }
            }
        }
        for ((task, _), t) in &mut self.tasks {
            if t.exit.is_none() && t.ends_at <= now {
                t.exit = Some(Exit::Done);
                events.push(WorkerEvent::Exited(task.clone(), Exit::Done));
            }
        }
        events
    }
}
