//! A region on loopback: the fake models behind HTTP, in real time. One actor owns them all.

use crate::history::StepWatch;
use bytes::Bytes;
use cleatfold_clients::http::HttpClient;
use cleatfold_fakes::cloud::Cloud;
use cleatfold_fakes::store::{Store, TxnError};
use cleatfold_fakes::worker::{Worker, WorkerEvent};
use cleatfold_wire::cloud::{MachineList, MachineType, MachineTypes, Machines, ScaleOutRequest};
use cleatfold_wire::job::{ErrorBody, JobSpec};
use cleatfold_wire::steps::{StepReply, StepReport};
use cleatfold_wire::store::{Grant, Granted, Revision, Txn};
use cleatfold_wire::worker::{Exit, Heartbeat, HeartbeatResponse, Orders, Redirect};
use cleatfold_wire::{Attempt, ControllerId, JobId, LeaseId, MachineId, Ms, TaskId, Version};
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use warp::Filter;

pub const REPORT_MS: u64 = 1000;
pub const LEASE_MS: u64 = 10_000;
const TICK: Duration = Duration::from_millis(20);

pub type Answer = (u16, Vec<u8>);

pub enum ToRegion {
    /// A request of a controller, or of whoever asks the fakes.
    Http {
        method: Method,
        path: String,
        query: String,
        body: Bytes,
        answer: oneshot::Sender<Answer>,
    },
    /// A controller's answer to a worker's report, or none.
    Reported {
        machine: MachineId,
        sent: Ms,
        agent_epoch: u64,
        answer: Option<Answer>,
    },
    MemberAnswered {
        machine: MachineId,
        key: (TaskId, Attempt),
        answer: Option<Answer>,
    },
    /// What workers fetch when they start a task.
    Describe(Box<JobSpec>),
    Inspect(oneshot::Sender<Seen>),
}

/// What can be seen from outside.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub started: BTreeMap<JobId, Ms>,
    /// Tasks on machines now, by job.
    pub running: BTreeMap<JobId, u32>,
    pub finished: BTreeMap<JobId, u32>,
    pub redone: usize,
    pub step_changes: u32,
    pub changes: usize,
    pub broken: Vec<String>,
    pub now: Ms,
}

struct Line {
    target: usize,
    due: Ms,
    waiting: bool,
}

pub struct Region {
    start: Instant,
    controllers: Vec<(ControllerId, String)>,
    store: Store,
    cloud: Cloud,
    workers: BTreeMap<MachineId, Worker>,
    lines: BTreeMap<MachineId, Line>,
    member_targets: HashMap<(TaskId, Attempt), usize>,
    jobs: BTreeMap<JobId, JobSpec>,
    running: BTreeMap<TaskId, MachineId>,
    started: BTreeMap<JobId, Ms>,
    steps: StepWatch,
    changes: usize,
    /// What is left of this second's changes.
    budget: f64,
    changes_per_s: f64,
    http: HttpClient,
    me: mpsc::UnboundedSender<ToRegion>,
    own: String,
}

pub(crate) fn json(code: u16, body: &impl Serialize) -> Answer {
    (code, serde_json::to_vec(body).unwrap_or_default())
}

pub(crate) fn problem(code: u16, why: &str) -> Answer {
    json(code, &ErrorBody { error: why.into() })
}

/// Serves the region at `listener`; returns whom to speak to.
pub fn start(
    listener: tokio::net::TcpListener,
    controllers: Vec<(ControllerId, String)>,
    types: Vec<MachineType>,
    capacity: usize,
    changes_per_s: f64,
) -> mpsc::UnboundedSender<ToRegion> {
    let (me, mut inbox) = mpsc::unbounded_channel();
    let own = listener.local_addr().map(|a| a.to_string()).unwrap_or_default();
    let mut cloud = Cloud::default();
    (cloud.types, cloud.capacity) = (types, capacity);
    let mut region = Region {
        start: Instant::now(),
        controllers,
        store: Store::default(),
        cloud,
        workers: BTreeMap::new(),
        lines: BTreeMap::new(),
        member_targets: HashMap::new(),
        jobs: BTreeMap::new(),
        running: BTreeMap::new(),
        started: BTreeMap::new(),
        steps: StepWatch::default(),
        changes: 0,
        budget: 0.0,
        changes_per_s,
        http: HttpClient::without_endpoint(),
        me: me.clone(),
        own,
    };
    let to = me.clone();
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::body::bytes())
        .then(move |method: Method, path: warp::path::FullPath, query: String, body: Bytes| {
            let to = to.clone();
            async move {
                let (answer, answered) = oneshot::channel();
                let path = path.as_str().to_string();
                let _ = to.send(ToRegion::Http { method, path, query, body, answer });
                let (code, body) = answered.await.unwrap_or((503, vec![]));
                warp::http::Response::builder().status(code).body(body).unwrap_or_default()
            }
        });
    tokio::task::spawn_local(warp::serve(routes).incoming(listener).run());
    tokio::task::spawn_local(async move {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => region.take(message),
                    None => return,
                },
                _ = tick.tick() => region.tick(),
            }
        }
    });
    me
}

impl Region {
    fn now(&self) -> Ms {
        Ms(1000 + self.start.elapsed().as_millis() as u64)
    }

    fn take(&mut self, message: ToRegion) {
        let now = self.now();
        match message {
            ToRegion::Http { method, path, query, body, answer } => {
                let _ = answer.send(self.answer(&method, &path, &query, &body));
            }
            ToRegion::Reported { machine, sent, agent_epoch, answer } => {
                self.reported(machine, sent, agent_epoch, answer)
            }
            ToRegion::MemberAnswered { machine, key, answer } => {
                self.member_answered(machine, key, answer)
            }
            ToRegion::Describe(spec) => {
                self.jobs.insert(spec.id.clone(), *spec);
            }
            ToRegion::Inspect(answer) => {
                let mut running: BTreeMap<JobId, u32> = BTreeMap::new();
                for task in self.running.keys() {
                    *running.entry(task.job.clone()).or_default() += 1;
                }
                let jobs = self.jobs.keys();
                let finished = jobs.map(|j| (j.clone(), self.steps.finished(j))).collect();
                let _ = answer.send(Seen {
                    started: self.started.clone(),
                    running,
                    finished,
                    redone: self.steps.redone(),
                    step_changes: self.steps.changes,
                    changes: self.changes,
                    broken: self.steps.broken.clone(),
                    now,
                });
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.budget =
            (self.budget + self.changes_per_s * TICK.as_secs_f64()).min(self.changes_per_s);
        self.store.expire(now);
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let worker_events = worker.advance(now);
            let mut asks = Vec::new();
            for (key, member) in &mut worker.members {
                self.steps.of_member(member);
                asks.extend(member.report(now).map(|r| (key.clone(), r)));
            }
            worker.members.retain(|_, m| m.exit.is_none());
            let changed = !worker_events.is_empty();
            self.judge(&id, worker_events);
            for (key, report) in asks {
                self.member_asks(&id, key, report);
            }
            let Some(line) = self.lines.get_mut(&id) else { continue };
            if changed {
                line.due = line.due.min(now.plus(100));
            }
            if !line.waiting && line.due <= now {
                line.waiting = true;
                self.report(id);
            }
        }
    }

    fn judge(&mut self, machine: &MachineId, worker_events: Vec<WorkerEvent>) {
        let now = self.now();
        for worker_event in worker_events {
            match worker_event {
                WorkerEvent::Started(task) => {
                    self.started.entry(task.job.clone()).or_insert(now);
                    if let Some(other) = self.running.insert(task.clone(), machine.clone()) {
                        self.steps
                            .broken
                            .push(format!("ran_twice {task} on {other} and {machine}"));
                    }
                }
                WorkerEvent::Exited(task, _) | WorkerEvent::LeaseExpired(task) => {
                    if self.running.get(&task) == Some(machine) {
                        self.running.remove(&task);
                    }
                }
            }
        }
    }

    /// Sends something to a controller; `back` makes a message to us of the answer.
    fn call(
        &self,
        controller: usize,
        path: String,
        body: Vec<u8>,
        back: impl FnOnce(Option<Answer>) -> ToRegion + 'static,
    ) {
        let (http, me) = (self.http.clone(), self.me.clone());
        let url = format!("http://{}{path}", self.controllers[controller].1);
        tokio::task::spawn_local(async move {
            let reply = http.call(Method::POST, &url, Some(body), Duration::from_secs(4)).await;
            let _ = me.send(back(reply.ok().map(|(code, body)| (code, body.to_vec()))));
        });
    }

    fn report(&mut self, machine: MachineId) {
        let sent = self.now();
        let (Some(worker), Some(line)) = (self.workers.get_mut(&machine), self.lines.get(&machine))
        else {
            return;
        };
        let report: Heartbeat = worker.heartbeat();
        let agent_epoch = worker.agent_epoch;
        let body = serde_json::to_vec(&report).unwrap_or_default();
        self.call(line.target, "/hello".into(), body, move |answer| ToRegion::Reported {
            machine,
            sent,
            agent_epoch,
            answer,
        });
    }

    fn node_named(&self, body: &[u8]) -> Option<usize> {
        let redirect: Redirect = serde_json::from_slice(body).ok()?;
        let to = redirect.report_to?;
        self.controllers.iter().position(|n| n.0 == to)
    }

    fn reported(&mut self, machine: MachineId, sent: Ms, agent_epoch: u64, answer: Option<Answer>) {
        let now = self.now();
        let other = (self.lines.get(&machine).map_or(0, |l| l.target) + 1) % self.controllers.len();
        let (mut target, mut pause) = (None, REPORT_MS);
        match answer {
            Some((200, body)) if now.since(sent) <= 4000 => {
                let Ok(reply) = serde_json::from_slice::<HeartbeatResponse>(&body) else { return };
                let jobs = &self.jobs;
                let find = |task: &TaskId| {
                    let spec = jobs.get(&task.job)?.clone();
                    let run = (spec.estimate_s * 1000.0) as u64;
                    Some((spec, run, false))
                };
                let Some(worker) = self.workers.get_mut(&machine) else { return };
                let before = worker.token;
                let worker_events = worker.on_response(now, sent, agent_epoch, &reply, find);
                // A change is reported soon, but no sooner than after half a second.
                if worker.token > before || !worker_events.is_empty() {
                    pause = 500;
                }
                self.judge(&machine, worker_events);
            }
            Some((421, body)) => {
                pause = 200;
                target = self.node_named(&body);
                if target.is_none() {
                    (target, pause) = (Some(other), 1000);
                }
            }
            _ => target = Some(other),
        }
        if let Some(line) = self.lines.get_mut(&machine) {
            line.waiting = false;
            line.due = now.plus(pause);
            line.target = target.unwrap_or(line.target);
        }
    }

    fn member_asks(&mut self, id: &MachineId, key: (TaskId, Attempt), report: StepReport) {
        let controller = *self.member_targets.entry(key.clone()).or_insert(0);
        let machine = id.clone();
        let path = format!("/v1/jobs/{}/steps", key.0.job);
        let body = serde_json::to_vec(&report).unwrap_or_default();
        self.call(controller, path, body, move |answer| ToRegion::MemberAnswered {
            machine,
            key,
            answer,
        });
    }

    fn member_answered(
        &mut self,
        machine: MachineId,
        key: (TaskId, Attempt),
        answer: Option<Answer>,
    ) {
        let now = self.now();
        let named = answer.as_ref().filter(|a| a.0 == 421).and_then(|a| self.node_named(&a.1));
        let worker = self.workers.get_mut(&machine);
        let Some(member) = worker.and_then(|w| w.members.get_mut(&key)) else { return };
        let target = self.member_targets.entry(key).or_default();
        match answer {
            Some((200, body)) => match serde_json::from_slice::<StepReply>(&body) {
                Ok(reply) => member.on_reply(now, &reply),
                Err(_) => member.on_no_reply(now),
            },
            Some((409, _)) => member.on_claim_lost(),
            _ if named.is_some() => {
                *target = named.unwrap_or_default();
                member.on_redirect(now);
            }
            _ => {
                *target = (*target + 1) % self.controllers.len();
                member.on_no_reply(now);
            }
        }
        self.steps.of_member(member);
    }

    // ---- what the fakes answer ----

    fn answer(&mut self, method: &Method, path: &str, query: &str, body: &[u8]) -> Answer {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
                .map(str::to_string)
        };
        let number = |name: &str| field(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        match (method.as_str(), parts.as_slice()) {
            ("GET", ["store"]) => {
                let prefix = field("prefix").unwrap_or_default();
                json(
                    200,
                    &self.store.list(&prefix, field("from").as_deref(), number("page") as usize),
                )
            }
            ("GET", ["store", ..]) => match self.store.get(path.trim_start_matches("/store/")) {
                Some(item) => json(200, &item),
                None => problem(404, "no such key"),
            },
            ("GET", ["follow"]) => {
                let prefix = field("prefix").unwrap_or_default();
                json(200, &self.store.changes(&prefix, Version(number("from"))))
            }
            ("POST", ["multi"]) => read(body, |txn: Txn| self.transaction(&txn)),
            ("POST", ["grants"]) => read(body, |grant: Grant| {
                json(200, &Granted { lease: self.store.grant(self.now(), grant.ttl_ms) })
            }),
            ("POST", ["grants", id, "extend"]) => {
                let lease = LeaseId(id.parse().unwrap_or(0));
                let extended = self.store.extend(self.now(), lease);
                if extended {
                    json(200, &())
                } else {
                    problem(404, "no such lease")
                }
            }
            ("GET", ["machine_types"]) => {
                json(200, &MachineTypes { types: self.cloud.types.clone() })
            }
            ("GET", ["machines"]) => {
                json(200, &MachineList { machines: self.cloud.list(self.now()), more: false })
            }
            ("POST", ["machines"]) => read(body, |request: ScaleOutRequest| self.rent(&request)),
            ("POST", ["machines", "delete"]) => read(body, |names: Machines| {
                self.cloud.delete(&names.machines);
                for id in &names.machines {
                    self.die(id);
                }
                json(200, &())
            }),
            ("POST", [machine, "orders"]) => {
                let id = MachineId::new(machine);
                read(body, |orders: Orders| self.orders(&id, &orders))
            }
            _ => problem(404, "no such path"),
        }
    }

    fn transaction(&mut self, txn: &Txn) -> Answer {
        if self.budget < 1.0 {
            return problem(429, "too many changes");
        }
        self.budget -= txn.changes.len() as f64;
        self.changes += txn.changes.len();
        let judged = self.steps.judge(&self.store, txn);
        match self.store.txn(txn) {
            Ok(revision) => {
                self.steps.note(judged);
                json(200, &Revision { revision, failed: vec![] })
            }
            Err(TxnError::Conflict(failed)) => {
                json(409, &Revision { revision: self.store.revision(), failed })
            }
            Err(TxnError::NoSuchLease) => problem(400, "no such lease"),
        }
    }

    fn rent(&mut self, request: &ScaleOutRequest) -> Answer {
        let now = self.now();
        let Some(names) = self.cloud.scale_out(now, request) else {
            return problem(503, "no capacity");
        };
        for id in &names {
            let Some(kind) = self.cloud.types.iter().find(|t| t.name == request.machine_type)
            else {
                continue;
            };
            let up = now.plus_s(kind.boot_s);
            let (machine_type, zone) = (request.machine_type.clone(), request.zone.clone());
            self.workers.entry(id.clone()).or_insert_with(|| {
                let mut worker = Worker::new(id.clone(), machine_type, zone, request.spot, up);
                (worker.cpus, worker.memory_gb) = (kind.cpus, kind.memory_gb);
                (worker.lease_ms, worker.fetch_ms) = (LEASE_MS, 100);
                worker.endpoint = Some(format!("{}/{id}", self.own));
                worker
            });
            let line = Line { target: 0, due: up, waiting: false };
            self.lines.entry(id.clone()).or_insert(line);
        }
        json(200, &Machines { machines: names })
    }

    /// A machine goes with all that is on it.
    fn die(&mut self, id: &MachineId) {
        if let Some(worker) = self.workers.remove(id) {
            let ended = worker.tasks.keys().map(|k| WorkerEvent::Exited(k.0.clone(), Exit::Other));
            self.judge(id, ended.collect());
        }
        self.lines.remove(id);
    }

    fn orders(&mut self, id: &MachineId, orders: &Orders) -> Answer {
        let now = self.now();
        let Some(worker) = self.workers.get_mut(id) else { return problem(404, "no such worker") };
        let worker_events = worker.on_orders(now, orders, |_| None);
        let report = worker.heartbeat();
        let code = if worker_events.is_some() { 200 } else { 409 };
        if let Some(line) = self.lines.get_mut(id).filter(|_| worker_events.is_some()) {
            line.due = line.due.min(now.plus(250));
        }
        self.judge(id, worker_events.unwrap_or_default());
        json(code, &report)
    }
}

pub(crate) fn read<T: DeserializeOwned>(body: &[u8], answer: impl FnOnce(T) -> Answer) -> Answer {
    serde_json::from_slice(body).map_or_else(|e| problem(400, &e.to_string()), answer)
}
