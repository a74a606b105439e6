//! Hollow workers: the real protocol of a worker over a connection of its own, while fetching
//! an image and running a task are timers. Hundreds or thousands share a thread.

use super::traffic::{Traffic, MACHINE_TYPE, WORKER_CPUS};
use super::usage::of_this_thread;
use crate::region::{json, problem, read, Answer};
use bytes::Bytes;
use cleatfold_fakes::worker::{Worker, WorkerEvent};
use cleatfold_wire::worker::{Exit, HeartbeatResponse, Orders, Redirect};
use cleatfold_wire::{ControllerId, MachineId, Ms, TaskId, TypeId, ZoneId};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use warp::Filter;

/// An answer to a report that takes longer is dropped.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
/// A worker reports no more often than this.
const BETWEEN_REPORTS: Duration = Duration::from_millis(500);
/// A worker that is not told where to go tries the next controller after this time.
const NEXT_CONTROLLER: Duration = Duration::from_secs(1);
/// How long the fetch of an image takes.
const FETCH_MS: u64 = 100;

/// A machine that has come up.
#[derive(Clone, Debug)]
pub struct NewWorker {
    pub id: MachineId,
    pub zone: ZoneId,
    pub spot: bool,
    pub boot_s: f64,
}

pub enum ToHollow {
    Add(NewWorker),
    Remove(Vec<MachineId>),
    Orders {
        machine: String,
        body: Bytes,
        answer: oneshot::Sender<Answer>,
    },
    /// Asks for the thread's processor time.
    CpuTime(oneshot::Sender<f64>),
}

/// What a watcher of the run is told.
#[derive(Debug)]
pub enum TaskEvent {
    Started { task: TaskId, machine: MachineId, at: Instant },
    Ended { task: TaskId, machine: MachineId, done: bool },
}

/// What went over the workers' connections, without the heads of the messages.
#[derive(Debug, Default)]
pub struct Counters {
    pub reports: AtomicU64,
    pub report_bytes: AtomicU64,
    pub reply_bytes: AtomicU64,
    pub commands: AtomicU64,
    pub orders: AtomicU64,
    pub unanswered: AtomicU64,
    pub redirected: AtomicU64,
    pub reconnects: AtomicU64,
    pub sessions_lost: AtomicU64,
}

/// What all hollow workers of a run share.
#[derive(Clone)]
pub struct Setup {
    pub controllers: Vec<(ControllerId, String)>,
    pub traffic: Arc<Traffic>,
    pub counters: Arc<Counters>,
    pub report_s: f64,
    pub lease_s: f64,
    pub events: mpsc::UnboundedSender<TaskEvent>,
}

/// A thread of hollow workers, which ends when this is dropped.
pub struct HollowThread {
    pub to: mpsc::UnboundedSender<ToHollow>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl HollowThread {
    /// Starts the thread; what it is sent waits until `setup` has come.
    pub fn start(setup: oneshot::Receiver<Setup>) -> std::io::Result<Self> {
        let (to, inbox) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel();
        let me = to.clone();
        let thread = std::thread::Builder::new().name("hollow".into()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    _ = stopped => {}
                    _ = run(setup, me, inbox) => {}
                }
            });
        })?;
        Ok(Self { to, stop: Some(stop), thread: Some(thread) })
    }

    pub async fn cpu_s(&self) -> f64 {
        let (answer, told) = oneshot::channel();
        let _ = self.to.send(ToHollow::CpuTime(answer));
        told.await.unwrap_or_default()
    }
}

impl Drop for HollowThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

type OrdersFor = (Bytes, oneshot::Sender<Answer>);

async fn run(
    setup: oneshot::Receiver<Setup>,
    me: mpsc::UnboundedSender<ToHollow>,
    mut inbox: mpsc::UnboundedReceiver<ToHollow>,
) {
    let Ok(setup) = setup.await else { return };
    let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
    let own = listener.local_addr().map(|a| a.to_string()).unwrap_or_default();
    let routes = warp::path!(String / "orders").and(warp::post()).and(warp::body::bytes()).then(
        move |machine, body| {
            let me = me.clone();
            async move {
                let (answer, answered) = oneshot::channel();
                let _ = me.send(ToHollow::Orders { machine, body, answer });
                let (code, body) = answered.await.unwrap_or((503, vec![]));
                warp::http::Response::builder().status(code).body(body).unwrap_or_default()
            }
        },
    );
    tokio::task::spawn_local(warp::serve(routes).incoming(listener).run());
    let mut workers: HashMap<String, mpsc::UnboundedSender<OrdersFor>> = HashMap::new();
    while let Some(message) = inbox.recv().await {
        match message {
            ToHollow::Add(new) => {
                let (orders, told) = mpsc::unbounded_channel();
                workers.insert(new.id.to_string(), orders);
                let hollow = Hollow::new(setup.clone(), &new, &own, told);
                tokio::task::spawn_local(hollow.run(new.boot_s));
            }
            ToHollow::Remove(ids) => {
                for id in ids {
                    workers.remove(id.as_str());
                }
            }
            ToHollow::Orders { machine, body, answer } => match workers.get(&machine) {
                Some(worker) => {
                    let _ = worker.send((body, answer));
                }
                None => {
                    let _ = answer.send(problem(404, "no such worker"));
                }
            },
            ToHollow::CpuTime(answer) => {
                let _ = answer.send(of_this_thread());
            }
        }
    }
}

type Connection = SendRequest<Full<Bytes>>;
/// The connection, if it can be used again, and the answer, if one came in time.
type Exchanged = (Option<Connection>, Option<Answer>);

struct Heartbeat {
    sent: Ms,
    agent_epoch: u64,
    exchange: Pin<Box<dyn Future<Output = Exchanged>>>,
}

/// One worker. Its machine is gone once nobody can send it orders any more.
struct Hollow {
    setup: Setup,
    worker: Worker,
    start: Instant,
    target: usize,
    connection: Option<Connection>,
    report: Option<Heartbeat>,
    last_sent: Instant,
    due: Instant,
    orders: mpsc::UnboundedReceiver<OrdersFor>,
}

impl Hollow {
    fn new(
        setup: Setup,
        new: &NewWorker,
        own: &str,
        orders: mpsc::UnboundedReceiver<OrdersFor>,
    ) -> Self {
        let kind = TypeId::new(MACHINE_TYPE);
        let mut worker =
            Worker::new(new.id.clone(), kind, new.zone.clone(), new.spot, Ms::default());
        (worker.cpus, worker.memory_gb) = (WORKER_CPUS, 4.0 * WORKER_CPUS);
        (worker.lease_ms, worker.fetch_ms) = ((setup.lease_s * 1000.0) as u64, FETCH_MS);
        worker.endpoint = Some(format!("{own}/{}", new.id));
        let target = rand::rng().random_range(0..setup.controllers.len());
        let now = Instant::now();
        let (connection, report) = (None, None);
        Self {
            setup,
            worker,
            start: now,
            target,
            connection,
            report,
            last_sent: now,
            due: now,
            orders,
        }
    }

    fn now(&self) -> Ms {
        Ms(self.start.elapsed().as_millis() as u64)
    }

    async fn run(mut self, boot_s: f64) {
        // Machines do not come up at one moment.
        let spread = rand::rng().random_range(0.0..self.setup.report_s);
        tokio::time::sleep(Duration::from_secs_f64(boot_s + spread)).await;
        self.worker.renewed_at = self.now();
        self.due = Instant::now();
        loop {
            let timer = self.start + Duration::from_millis(self.worker.next_wakeup().0);
            let wake = if self.report.is_some() { timer } else { timer.min(self.due) };
            tokio::select! {
                orders = self.orders.recv() => match orders {
                    Some((body, answer)) => {
                        let _ = answer.send(self.obey(&body));
                    }
                    None => break,
                },
                (sent, agent_epoch, exchanged) = answered(&mut self.report) => {
                    self.report = None;
                    self.connection = exchanged.0;
                    self.reported(sent, agent_epoch, exchanged.1);
                }
                _ = tokio::time::sleep_until(wake) => {}
            }
            let before = self.worker.agent_epoch;
            let worker_events = self.worker.advance(self.now());
            if self.worker.agent_epoch > before {
                self.setup.counters.sessions_lost.fetch_add(1, Relaxed);
            }
            self.tell(worker_events);
            if self.report.is_none() && Instant::now() >= self.due {
                self.send_report();
            }
        }
        let lost = self.worker.restart(self.now());
        self.tell(lost);
    }

    /// Tells the watcher what happened; a change is to be reported soon.
    fn tell(&mut self, worker_events: Vec<WorkerEvent>) {
        if !worker_events.is_empty() {
            self.report_soon();
        }
        for worker_event in worker_events {
            let machine = self.worker.id.clone();
            let event = match worker_event {
                WorkerEvent::Started(task) => {
                    let at = Instant::now() + Duration::from_millis(FETCH_MS);
                    TaskEvent::Started { task, machine, at }
                }
                WorkerEvent::Exited(task, exit) => {
                    TaskEvent::Ended { task, machine, done: exit == Exit::Done }
                }
                WorkerEvent::LeaseExpired(task) => TaskEvent::Ended { task, machine, done: false },
            };
            let _ = self.setup.events.send(event);
        }
    }

    fn report_soon(&mut self) {
        self.due = self.due.min(self.last_sent + BETWEEN_REPORTS);
    }

    fn send_report(&mut self) {
        let body = serde_json::to_vec(&self.worker.heartbeat()).unwrap_or_default();
        self.setup.counters.reports.fetch_add(1, Relaxed);
        self.setup.counters.report_bytes.fetch_add(body.len() as u64, Relaxed);
        let address = self.setup.controllers[self.target].1.clone();
        if self.connection.is_none() {
            self.setup.counters.reconnects.fetch_add(1, Relaxed);
        }
        let exchange = Box::pin(exchange(self.connection.take(), address, body));
        self.report =
            Some(Heartbeat { sent: self.now(), agent_epoch: self.worker.agent_epoch, exchange });
        self.last_sent = Instant::now();
        let pause = self.setup.report_s * rand::rng().random_range(0.75..1.25);
        self.due = self.last_sent + Duration::from_secs_f64(pause);
    }

    fn reported(&mut self, sent: Ms, agent_epoch: u64, answer: Option<Answer>) {
        let counters = self.setup.counters.clone();
        match answer {
            Some((200, body)) => {
                let Ok(reply) = serde_json::from_slice::<HeartbeatResponse>(&body) else { return };
                counters.reply_bytes.fetch_add(body.len() as u64, Relaxed);
                counters.commands.fetch_add(reply.commands.len() as u64, Relaxed);
                let (token, now) = (self.worker.token, self.now());
                let traffic = self.setup.traffic.clone();
                let find = |task: &TaskId| traffic.task(task).map(|(spec, ms)| (spec, ms, false));
                let worker_events = self.worker.on_response(now, sent, agent_epoch, &reply, find);
                if self.worker.token > token {
                    self.report_soon();
                }
                self.tell(worker_events);
            }
            Some((421, body)) => {
                counters.redirected.fetch_add(1, Relaxed);
                match self.named(&body).filter(|named| *named != self.target) {
                    Some(named) => self.turn_to(named, Duration::ZERO),
                    None => self.turn_to(self.target + 1, NEXT_CONTROLLER),
                }
            }
            _ => {
                counters.unanswered.fetch_add(1, Relaxed);
                self.turn_to(self.target + 1, NEXT_CONTROLLER);
            }
        }
    }

    fn named(&self, body: &[u8]) -> Option<usize> {
        let named = serde_json::from_slice::<Redirect>(body).ok()?.report_to?;
        self.setup.controllers.iter().position(|controller| controller.0 == named)
    }

    fn turn_to(&mut self, controller: usize, pause: Duration) {
        self.target = controller % self.setup.controllers.len();
        self.connection = None;
        self.due = Instant::now() + pause.max(Duration::from_millis(100));
    }

    fn obey(&mut self, body: &[u8]) -> Answer {
        self.setup.counters.orders.fetch_add(1, Relaxed);
        read(body, |orders: Orders| {
            let worker_events = self.worker.on_orders(self.now(), &orders, |_| None);
            let code = if worker_events.is_some() { 200 } else { 409 };
            self.tell(worker_events.unwrap_or_default());
            json(code, &self.worker.heartbeat())
        })
    }
}

/// Waits for the answer to the report that is on its way; without one, forever.
async fn answered(report: &mut Option<Heartbeat>) -> (Ms, u64, Exchanged) {
    match report {
        Some(report) => (report.sent, report.agent_epoch, report.exchange.as_mut().await),
        None => std::future::pending().await,
    }
}

/// Sends a report over a connection, which is opened first where there is none.
async fn exchange(connection: Option<Connection>, address: String, body: Vec<u8>) -> Exchanged {
    let talk = async {
        let mut connection = match connection.filter(|c| !c.is_closed()) {
            Some(connection) => connection,
            None => connect(&address).await?,
        };
        let request = hyper::Request::post("/hello")
            .header("host", &address)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let response = connection.send_request(request).await.ok()?;
        let code = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes().to_vec();
        Some((connection, (code, body)))
    };
    match tokio::time::timeout(ANSWER_WITHIN, talk).await {
        Ok(Some((connection, answer))) => (Some(connection), Some(answer)),
        _ => (None, None),
    }
}

async fn connect(address: &str) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
