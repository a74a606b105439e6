//! A worker: runs what it is told under the token and lease rules of the protocol.

use crate::images::{Images, NEVER};
use crate::member::Member;
use cleatfold_wire::job::JobSpec;
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
    /// Which attempt of the task it is.
    pub attempt: Attempt,
    /// Fetching until then.
    pub ready: Ms,
    /// Running until then.
    pub ends: Ms,
    /// How it ended, once it has.
    pub exit: Option<Exit>,
    /// The processors and GB of memory it takes.
    pub resources: (f64, f64),
}

/// A fake of one worker, the agent on a machine.
pub struct Worker {
    /// Its machine.
    pub id: MachineId,
    /// The machine's type.
    pub machine_type: TypeId,
    /// The machine's zone.
    pub zone: ZoneId,
    /// Whether the machine may be reclaimed.
    pub spot: bool,
    /// Its processors.
    pub cpus: f64,
    /// Its memory.
    pub memory_gb: f64,
    /// How long its tasks run on without an answer.
    pub lease_ms: u64,
    /// How long it fetches an image.
    pub fetch_ms: u64,
    /// The number of its restarts and expired leases.
    pub agent_epoch: u64,
    /// The number of its last heartbeat.
    pub seq: u64,
    /// The highest fencing token it has seen.
    pub token: FencingToken,
    /// Its tasks, until it is told to forget them.
    pub tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// Those of its tasks that are members of elastic jobs and run.
    pub members: BTreeMap<(TaskId, Attempt), Member>,
    /// Where it takes direct orders.
    pub endpoint: Option<String>,
    /// When the last answered report of this session was sent.
    pub renewed: Ms,
    /// Images that are large enough to be handed on.
    pub images: Images,
}

/// Something a watcher of the rules wants to know.
#[derive(Debug, PartialEq)]
pub enum WorkerEvent {
    /// A task has begun to run or to fetch.
    Started(TaskId),
    /// A task has exited.
    Exited(TaskId, Exit),
    /// Killed with the lease.
    LeaseExpired(TaskId),
}

impl Worker {
    /// A worker on a machine that has just booted.
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
            renewed: now,
            images: Images::default(),
        }
    }

    /// Its next heartbeat.
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
                        None if t.ready > self.renewed => TaskState::Fetching,
                        None => TaskState::Running,
                    },
                    why: t.exit,
                    saved: None,
                })
                .collect(),
        }
    }

    /// The answer to the report sent at `sent` in `agent_epoch`, executed at `now`. `job` finds a
    /// submitted job and how long its task runs.
    pub fn on_response(
        &mut self,
        now: Ms,
        sent: Ms,
        agent_epoch: u64,
        reply: &HeartbeatResponse,
        job: impl Fn(&TaskId) -> Option<(JobSpec, u64, bool)>,
    ) -> Vec<WorkerEvent> {
        if agent_epoch != self.agent_epoch || reply.token < self.token {
            return Vec::new();
        }
        self.token = reply.token;
        self.renewed = self.renewed.max(sent);
        self.execute(now, &reply.commands, job)
    }

    /// Direct orders: executed under the same token and session only.
    pub fn on_orders(
        &mut self,
        now: Ms,
        on_orders: &Orders,
        job: impl Fn(&TaskId) -> Option<(JobSpec, u64, bool)>,
    ) -> Option<Vec<WorkerEvent>> {
        if on_orders.token < self.token || on_orders.agent_epoch.0 != self.agent_epoch {
            return None;
        }
        self.token = on_orders.token;
        Some(self.execute(now, &on_orders.commands, job))
    }

    fn execute(
        &mut self,
        now: Ms,
        commands: &[Command],
        job: impl Fn(&TaskId) -> Option<(JobSpec, u64, bool)>,
    ) -> Vec<WorkerEvent> {
        let mut out = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt, sources } => {
                    let image = job(task).map(|j| (j.0.image, j.0.image_gb));
                    self.images.take_sources(image, sources);
                    if let Some(h) = self.launch(now, task, *attempt, &job) {
                        out.push(h);
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
                            out.push(WorkerEvent::Exited(task.clone(), Exit::Stopped));
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
        out
    }

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
        let mut new = Task { attempt, ready: now, ends: now, exit: None, resources: (0.0, 0.0) };
        let busy = self.tasks.iter().any(|((t, _), s)| t == task && s.exit.is_none());
        let used = self
            .tasks
            .values()
            .filter(|t| t.exit.is_none())
            .fold((0.0, 0.0), |a, t| (a.0 + t.resources.0, a.1 + t.resources.1));
        match job(task) {
            None => new.exit = Some(Exit::Unknown),
            Some(_) if busy => new.exit = Some(Exit::Busy),
            Some((spec, _, _))
                if used.0 + spec.cpus > self.cpus + 1e-6
                    || used.1 + spec.memory_gb > self.memory_gb + 1e-6 =>
            {
                new.exit = Some(Exit::InsufficientResources)
            }
            Some((spec, run_ms, fails)) => {
                new.resources = (spec.cpus, spec.memory_gb);
                new.ready = now.plus(self.fetch_ms);
                new.ends = new.ready.plus(run_ms);
                if self.images.waits(&key, &spec, run_ms) {
                    (new.ready, new.ends) = (NEVER, NEVER);
                }
                if let Some(elastic) = &spec.elastic {
                    new.ends = Ms(u64::MAX / 4);
                    let step_ms = ((elastic.step_s * 1000.0) as u64).max(1);
                    let member = Member::new(task.clone(), attempt, step_ms, new.ready);
                    self.members.insert(key.clone(), member);
                }
                if fails {
                    new.exit = Some(Exit::Error);
                }
            }
        }
        let started = new.exit.is_none();
        self.tasks.insert(key, new);
        started.then(|| WorkerEvent::Started(task.clone()))
    }

    /// When it next has something to do by itself.
    pub fn next_wakeup(&self) -> Ms {
        let ends = self.tasks.values().filter(|t| t.exit.is_none()).map(|t| t.ends);
        let members = self.members.values().map(Member::next_wakeup);
        ends.chain(members).chain([self.renewed.plus(self.lease_ms + 1)]).min().unwrap_or_default()
    }

    /// All its tasks are gone, and it goes on with the next session.
    pub fn restart(&mut self, now: Ms) -> Vec<WorkerEvent> {
        self.members.clear();
        self.images.waiting.clear();
        let tasks = std::mem::take(&mut self.tasks).into_iter().filter(|(_, t)| t.exit.is_none());
        let lost = tasks.map(|((task, _), _)| WorkerEvent::LeaseExpired(task)).collect();
        self.agent_epoch += 1;
        self.renewed = now;
        lost
    }

    /// Lets time pass: tasks end, and so may the lease.
    pub fn advance(&mut self, now: Ms) -> Vec<WorkerEvent> {
        let mut out = Vec::new();
        if now.since(self.renewed) > self.lease_ms {
            out = self.restart(now);
        }
        for (key, member) in &mut self.members {
            member.advance(now);
            if let (Some(_), Some(t)) = (member.exit, self.tasks.get_mut(key)) {
                if t.exit.is_none() {
                    t.exit = Some(Exit::Stopped);
                    out.push(WorkerEvent::Exited(key.0.clone(), Exit::Stopped));
                }
            }
        }
        for ((task, _), t) in &mut self.tasks {
            if t.exit.is_none() && t.ends <= now {
                t.exit = Some(Exit::Done);
                out.push(WorkerEvent::Exited(task.clone(), Exit::Done));
            }
        }
        out
    }
}
