//! The actors of a process and what they say to one another.
//!
//! `core` owns the controller's state. The state service's and the cloud's clients, the mesh and
//! the HTTP server each run beside it and speak to it by messages.

use crate::operator_settings::OperatorSettings;
use crate::settings::{Peer, Settings};
use bytes::Bytes;
use cleatfold_clients::{cloud, mesh, store, workers};
use cleatfold_control::{Controller, Effect, Event, Request, Response};
use cleatfold_ingress::{Level, PollSchedule, Pressure, RequestClass, RequestQueue};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::worker::RawHeartbeat;
use cleatfold_wire::{ControllerId, JobId, Ms};
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Messages that wait for one peer; what comes on top is dropped, for all of them are hints.
const MAX_WAITING_FRAMES: usize = 64;

const TICK: Duration = Duration::from_millis(50);

/// Requests that are processed before other tasks have a turn to send or receive.
const MAX_BATCH: u32 = 32;

/// A request that the HTTP server hands to the core.
pub(crate) struct IncomingRequest {
    pub arrived: Instant,
    pub payload: RequestPayload,
    pub answer: oneshot::Sender<Response>,
}

pub(crate) enum RequestPayload {
    Request(Request),
    Heartbeat(RawHeartbeat),
}

impl RequestPayload {
    fn class(&self) -> RequestClass {
        match self {
            RequestPayload::Heartbeat(heartbeat) if heartbeat.has_tasks() => {
                RequestClass::BusyHeartbeat
            }
            RequestPayload::Heartbeat(_) => RequestClass::IdleHeartbeat,
            RequestPayload::Request(Request::Poll(_)) => RequestClass::Poll,
            RequestPayload::Request(_) => RequestClass::UserRequest,
        }
    }
}

/// What the core last said of itself: enough for the HTTP server to answer some requests alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CoreStatus {
    pub ready: bool,
    /// Under pressure polls are turned away unread when it is not their job's turn.
    pub level: Level,
}

/// The HTTP server's way to the core.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    pub requests: mpsc::UnboundedSender<IncomingRequest>,
    pub status: watch::Receiver<CoreStatus>,
}

struct OutgoingChannels {
    store: mpsc::UnboundedSender<store::StoreCall>,
    cloud: mpsc::UnboundedSender<cloud::CloudCall>,
    workers: mpsc::UnboundedSender<workers::WorkerCall>,
    mesh: HashMap<ControllerId, mpsc::Sender<Bytes>>,
    answers: HashMap<u64, oneshot::Sender<Response>>,
    /// Why this process has to end.
    refused: Option<String>,
}

impl OutgoingChannels {
    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { rid, response } => {
                if let Some(answer) = self.answers.remove(&rid) {
                    // The asker may have hung up; then nobody misses the answer.
                    let _ = answer.send(response);
                }
            }
            Effect::Store { op, priority, request } => {
                let _ = self.store.send(store::StoreCall { op, priority, request });
            }
            Effect::Cloud { op, request, spacing_ms } => {
                let spacing = Duration::from_millis(spacing_ms);
                let _ = self.cloud.send(cloud::CloudCall { op, request, spacing });
            }
            Effect::Order { machine, endpoint, orders } => {
                let request = workers::WorkerRequest::Orders(orders);
                let _ = self.workers.send(workers::WorkerCall { machine, endpoint, request });
            }
            Effect::Probe { machine, endpoint } => {
                let request = workers::WorkerRequest::Inspect;
                let _ = self.workers.send(workers::WorkerCall { machine, endpoint, request });
            }
            Effect::Mesh { to, message } => self.send(to, &message),
            Effect::Exit { reason } => self.refused = Some(reason),
        }
    }

    fn send(&self, to: Option<ControllerId>, message: &Message) {
        let frame = mesh::encode(message);
        for (peer, queue) in &self.mesh {
            if to.as_ref().is_none_or(|t| t == peer) {
                let _ = queue.try_send(frame.clone());
            }
        }
    }
}

pub(crate) async fn serve(settings: Settings, operator: OperatorSettings) -> std::io::Result<()> {
    // Replies of the services and messages of peers have a channel of their own: a controller with more
    // requests than it can answer must still learn that its own lease was renewed.
    let (events, inner) = mpsc::unbounded_channel::<Event>();
    let (requests, incoming) = mpsc::unbounded_channel::<IncomingRequest>();
    let (status_sender, status) = watch::channel(CoreStatus { ready: false, level: Level::Calm });
    let listener = TcpListener::bind(settings.listen).await?;
    let mesh_listener = TcpListener::bind(settings.mesh_listen).await?;
    let outgoing = spawn_clients(&settings, &events, mesh_listener);
    let limits = crate::serve::ServerLimits {
        sockets: settings.sockets(),
        idle: settings.idle_connection(),
    };
    tokio::task::spawn_local(crate::serve::run(listener, CoreHandle { requests, status }, limits));

    let mut config = settings.control();
    operator.apply(&mut config);
    tracing::info!(controller = %settings.controller, zone = %settings.zone, "serving");
    CoreActor {
        controller: Controller::new(config),
        outgoing,
        start: Instant::now(),
        request_queue: RequestQueue::default(),
        pressure: Pressure::default(),
        poll_schedule: PollSchedule::default(),
        polls: HashMap::new(),
        announced_level: Level::Calm,
        status_sender,
        next_rid: 0,
    }
    .run(inner, incoming)
    .await
}

/// Starts the clients of the state service, the cloud, the workers and the peers. What they hear goes
/// to the core as events; what the core wants goes to them through the channels that are returned.
fn spawn_clients(
    settings: &Settings,
    events: &mpsc::UnboundedSender<Event>,
    mesh_listener: TcpListener,
) -> OutgoingChannels {
    let (store_queue, store_calls) = mpsc::unbounded_channel();
    let (cloud_queue, cloud_calls) = mpsc::unbounded_channel();
    let (worker_queue, worker_calls) = mpsc::unbounded_channel();
    let to_core = events.clone();
    tokio::task::spawn_local(store::run(
        settings.endpoints.state.to_string(),
        settings.store_budget(),
        store_calls,
        move |op, reply| {
            let _ = to_core.send(Event::Store { op, reply });
        },
    ));
    let to_core = events.clone();
    tokio::task::spawn_local(cloud::run(
        settings.endpoints.cloud.to_string(),
        cloud_calls,
        move |op, reply| {
            let _ = to_core.send(Event::Cloud { op, reply });
        },
    ));
    let to_core = events.clone();
    tokio::task::spawn_local(workers::run(worker_calls, move |machine, reply| {
        let _ = to_core.send(match reply {
            workers::WorkerReply::Ordered(heartbeat) => Event::OrderResult { machine, heartbeat },
            workers::WorkerReply::Inspected(answer) => Event::ProbeResult { machine, answer },
        });
    }));
    let to_core = events.clone();
    tokio::task::spawn_local(mesh::listen(mesh_listener, move |from, message| {
        let _ = to_core.send(Event::Mesh { from, message });
    }));
    OutgoingChannels {
        store: store_queue,
        cloud: cloud_queue,
        workers: worker_queue,
        mesh: dial_peers(settings),
        answers: HashMap::new(),
        refused: None,
    }
}

/// Connects to every peer; what is sent to the channels goes out.
fn dial_peers(settings: &Settings) -> HashMap<ControllerId, mpsc::Sender<Bytes>> {
    let dial = |peer: &Peer| {
        let (queue, frames) = mpsc::channel(MAX_WAITING_FRAMES);
        let me = settings.controller.clone();
        tokio::task::spawn_local(mesh::dial(me, peer.endpoint.to_string(), frames));
        (peer.controller.clone(), queue)
    };
    settings.peers.iter().map(dial).collect()
}

/// The time of day.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Owns the controller's state; everything else speaks to it by messages.
struct CoreActor {
    controller: Controller,
    outgoing: OutgoingChannels,
    start: Instant,
    request_queue: RequestQueue<IncomingRequest>,
    pressure: Pressure,
    poll_schedule: PollSchedule,
    /// Questions that are being answered.
    polls: HashMap<u64, JobId>,
    announced_level: Level,
    status_sender: watch::Sender<CoreStatus>,
    next_rid: u64,
}

impl CoreActor {
    async fn run(
        mut self,
        mut inner: mpsc::UnboundedReceiver<Event>,
        mut incoming: mpsc::UnboundedReceiver<IncomingRequest>,
    ) -> std::io::Result<()> {
        let mut next_tick = Instant::now();
        let mut handled = 0;
        loop {
            if let Some(why) = self.outgoing.refused.take() {
                return Err(std::io::Error::other(why));
            }
            while let Ok(event) = inner.try_recv() {
                self.handle(event);
            }
            while let Ok(request) = incoming.try_recv() {
                self.enqueue(request);
            }
            let now = Instant::now();
            if now >= next_tick {
                self.tick(now - next_tick);
                next_tick = now + TICK;
            }
            if let Some(request) = self.request_queue.pop(self.millis(now)) {
                self.process(request);
                handled += 1;
                if handled % MAX_BATCH == 0 {
                    tokio::task::yield_now().await;
                }
                continue;
            }
            tokio::select! {
                biased;
                event = inner.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return Ok(()),
                },
                request = incoming.recv() => match request {
                    Some(request) => self.enqueue(request),
                    None => return Ok(()),
                },
                _ = tokio::time::sleep_until(next_tick) => {}
            }
        }
    }

    /// Steady time. Starts at 1 s so that 0 can stand for "never".
    fn millis(&self, at: Instant) -> u64 {
        1000 + at.saturating_duration_since(self.start).as_millis() as u64
    }

    fn handle(&mut self, event: Event) {
        let wall_ms = wall_ms();
        let steady = Ms(self.millis(Instant::now()));
        for effect in self.controller.handle(steady, wall_ms, event) {
            if let Effect::Reply { rid, response } = &effect {
                let job = self.polls.remove(rid);
                if let (Some(job), Response::Refusal { code: 503, .. }) = (job, response) {
                    self.poll_schedule.give_back(job.as_str());
                }
            }
            self.outgoing.perform(effect);
        }
    }

    fn tick(&mut self, late: Duration) {
        let now = self.millis(Instant::now());
        for (class, request) in self.request_queue.expired(now) {
            // Its asker has left, or will have before an answer could be there.
            tracing::debug!(?class, "request expired");
            self.shed(request);
        }
        self.pressure.note(now, late.as_millis() as u64, self.request_queue.oldest_ms(now));
        if self.pressure.level() != self.announced_level {
            self.announced_level = self.pressure.level();
            tracing::info!(level = ?self.announced_level, waiting = self.request_queue.len(), "pressure level changed");
            self.controller.set_backpressure(self.pressure.backpressure());
        }
        self.handle(Event::Tick);
        let status = CoreStatus { ready: self.controller.is_ready(), level: self.pressure.level() };
        self.status_sender.send_if_modified(|known| std::mem::replace(known, status) != status);
    }

    fn enqueue(&mut self, request: IncomingRequest) {
        let arrived = self.millis(request.arrived);
        let class = request.payload.class();
        if let Some(displaced) = self.request_queue.push(class, arrived, request) {
            self.shed(displaced);
        }
    }

    fn shed(&self, request: IncomingRequest) {
        let retry = self.pressure.retry_after_s(&mut rand::rng());
        let why = "more is asked than can be answered".to_string();
        let _ =
            request.answer.send(Response::Refusal { code: 503, why, retry_after_s: Some(retry) });
    }

    fn process(&mut self, request: IncomingRequest) {
        // The asker has hung up.
        if request.answer.is_closed() {
            return;
        }
        if let RequestPayload::Request(Request::Poll(job)) = &request.payload {
            if !self.poll_schedule.take(job.as_str(), self.pressure.level(), wall_ms()) {
                return self.shed(request);
            }
        }
        self.next_rid += 1;
        let rid = self.next_rid;
        if let RequestPayload::Request(Request::Poll(job)) = &request.payload {
            self.polls.insert(rid, job.clone());
        }
        self.outgoing.answers.insert(rid, request.answer);
        self.handle(match request.payload {
            RequestPayload::Request(request) => Event::Request { rid, request },
            RequestPayload::Heartbeat(heartbeat) => Event::Heartbeat { rid, heartbeat },
        });
    }
}
