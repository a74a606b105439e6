//! The actors of a process and the messages between them.
//!
//! The core actor owns the controller's state. The clients of the state service, the cloud and the
//! workers, the mesh and the HTTP server run concurrently and exchange messages with it.

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

/// Maximum number of messages queued for one peer. Further ones are dropped, as all of them are
/// only hints.
const MAX_QUEUED_FRAMES: usize = 64;

/// Interval between the controller's periodic events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of requests processed before yielding, so that other tasks can send and receive.
const MAX_REQUEST_BATCH: u32 = 32;

/// A request passed from the HTTP server to the core.
pub(crate) struct IncomingRequest {
    pub arrived_at: Instant,
    pub payload: RequestPayload,
    pub response_sender: oneshot::Sender<Response>,
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

/// Status published by the core, which lets the HTTP server answer some requests on its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CoreStatus {
    pub ready: bool,
    /// Load level. Under load, polls outside their job's time slot are rejected unread.
    pub level: Level,
}

/// Connects the HTTP server to the core.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    pub requests: mpsc::UnboundedSender<IncomingRequest>,
    pub status: watch::Receiver<CoreStatus>,
}

/// Channels to the other actors, and the requests that await a response.
struct OutgoingChannels {
    store: mpsc::UnboundedSender<store::StoreCall>,
    cloud: mpsc::UnboundedSender<cloud::CloudCall>,
    workers: mpsc::UnboundedSender<workers::WorkerCall>,
    mesh: HashMap<ControllerId, mpsc::Sender<Bytes>>,
    response_senders: HashMap<u64, oneshot::Sender<Response>>,
    /// Why the process has to exit, if it has to.
    exit_reason: Option<String>,
}

impl OutgoingChannels {
    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { rid, response } => {
                if let Some(response_sender) = self.response_senders.remove(&rid) {
                    // Fails if the client has disconnected, and then no response is needed.
                    let _ = response_sender.send(response);
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
                let request = workers::WorkerRequest::Probe;
                let _ = self.workers.send(workers::WorkerCall { machine, endpoint, request });
            }
            Effect::Mesh { to, message } => self.send_to_peers(to, &message),
            Effect::Exit { reason } => self.exit_reason = Some(reason),
        }
    }

    /// Sends a message to one peer, or to all if `to` is `None`.
    fn send_to_peers(&self, to: Option<ControllerId>, message: &Message) {
        let frame = mesh::encode(message);
        for (peer, frames) in &self.mesh {
            if to.as_ref().is_none_or(|t| t == peer) {
                let _ = frames.try_send(frame.clone());
            }
        }
    }
}

/// Starts all actors and runs the core until it exits.
pub(crate) async fn serve(settings: Settings, operator: OperatorSettings) -> std::io::Result<()> {
    // Replies of the services and messages of peers have their own channel: an overloaded controller
    // must still learn that its own lease was renewed.
    let (events, event_receiver) = mpsc::unbounded_channel::<Event>();
    let (requests, request_receiver) = mpsc::unbounded_channel::<IncomingRequest>();
    let (status_sender, status) = watch::channel(CoreStatus { ready: false, level: Level::Calm });
    let listener = TcpListener::bind(settings.listen).await?;
    let mesh_listener = TcpListener::bind(settings.mesh_listen).await?;
    let outgoing = spawn_clients(&settings, &events, mesh_listener);
    let limits = crate::serve::ServerLimits {
        max_connections: settings.max_sockets(),
        idle_timeout: settings.idle_connection_timeout(),
    };
    tokio::task::spawn_local(crate::serve::run(listener, CoreHandle { requests, status }, limits));

    let mut config = settings.controller_config();
    operator.apply(&mut config);
    tracing::info!(controller = %settings.controller, zone = %settings.zone, "serving");
    CoreActor {
        controller: Controller::new(config),
        outgoing,
        start: Instant::now(),
        request_queue: RequestQueue::default(),
        pressure: Pressure::default(),
        poll_schedule: PollSchedule::default(),
        pending_polls: HashMap::new(),
        announced_level: Level::Calm,
        status_sender,
        next_rid: 0,
    }
    .run(event_receiver, request_receiver)
    .await
}

/// Starts the clients of the state service, the cloud, the workers and the peers. They send their
/// replies and messages to the core through `events`, and receive requests through the returned
/// channels.
fn spawn_clients(
    settings: &Settings,
    events: &mpsc::UnboundedSender<Event>,
    mesh_listener: TcpListener,
) -> OutgoingChannels {
    let (store_sender, store_calls) = mpsc::unbounded_channel();
    let (cloud_sender, cloud_calls) = mpsc::unbounded_channel();
    let (worker_sender, worker_calls) = mpsc::unbounded_channel();
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
            workers::WorkerReply::OrderResult(heartbeat) => {
                Event::OrderResult { machine, heartbeat }
            }
            workers::WorkerReply::ProbeResult(answer) => Event::ProbeResult { machine, answer },
        });
    }));
    let to_core = events.clone();
    tokio::task::spawn_local(mesh::listen(mesh_listener, move |from, message| {
        let _ = to_core.send(Event::Mesh { from, message });
    }));
    OutgoingChannels {
        store: store_sender,
        cloud: cloud_sender,
        workers: worker_sender,
        mesh: connect_to_peers(settings),
        response_senders: HashMap::new(),
        exit_reason: None,
    }
}

/// Starts a connection to every peer and returns the channels to them.
fn connect_to_peers(settings: &Settings) -> HashMap<ControllerId, mpsc::Sender<Bytes>> {
    let connect = |peer: &Peer| {
        let (frame_sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let own_id = settings.controller.clone();
        tokio::task::spawn_local(mesh::send_to_peer(own_id, peer.endpoint.to_string(), frames));
        (peer.controller.clone(), frame_sender)
    };
    settings.peers.iter().map(connect).collect()
}

/// Milliseconds since the Unix epoch.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Owns the controller's state. Other actors access it only by messages.
struct CoreActor {
    controller: Controller,
    outgoing: OutgoingChannels,
    start: Instant,
    request_queue: RequestQueue<IncomingRequest>,
    pressure: Pressure,
    poll_schedule: PollSchedule,
    /// The polls being answered, by request id, and the job that each asks for.
    pending_polls: HashMap<u64, JobId>,
    announced_level: Level,
    status_sender: watch::Sender<CoreStatus>,
    next_rid: u64,
}

impl CoreActor {
    async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut requests: mpsc::UnboundedReceiver<IncomingRequest>,
    ) -> std::io::Result<()> {
        let mut next_tick = Instant::now();
        let mut processed = 0;
        loop {
            if let Some(reason) = self.outgoing.exit_reason.take() {
                return Err(std::io::Error::other(reason));
            }
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            while let Ok(request) = requests.try_recv() {
                self.enqueue(request);
            }
            let now = Instant::now();
            if now >= next_tick {
                self.tick(now - next_tick);
                next_tick = now + TICK_INTERVAL;
            }
            if let Some(request) = self.request_queue.pop(self.monotonic_ms(now)) {
                self.process(request);
                processed += 1;
                if processed % MAX_REQUEST_BATCH == 0 {
                    tokio::task::yield_now().await;
                }
                continue;
            }
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return Ok(()),
                },
                request = requests.recv() => match request {
                    Some(request) => self.enqueue(request),
                    None => return Ok(()),
                },
                _ = tokio::time::sleep_until(next_tick) => {}
            }
        }
    }

    /// Monotonic time in milliseconds. Starts at 1 s so that 0 can mean "never".
    fn monotonic_ms(&self, at: Instant) -> u64 {
        1000 + at.saturating_duration_since(self.start).as_millis() as u64
    }

    fn handle(&mut self, event: Event) {
        let wall_clock_ms = wall_clock_ms();
        let monotonic = Ms(self.monotonic_ms(Instant::now()));
        for effect in self.controller.handle(monotonic, wall_clock_ms, event) {
            if let Effect::Reply { rid, response } = &effect {
                let job = self.pending_polls.remove(rid);
                if let (Some(job), Response::Refusal { code: 503, .. }) = (job, response) {
                    self.poll_schedule.release_slot(job.as_str());
                }
            }
            self.outgoing.perform(effect);
        }
    }

    fn tick(&mut self, delay: Duration) {
        let now = self.monotonic_ms(Instant::now());
        for (class, request) in self.request_queue.take_expired(now) {
            // The client has disconnected, or will have before a response is ready.
            tracing::debug!(?class, "request expired");
            self.shed(request);
        }
        self.pressure.record_tick(now, delay.as_millis() as u64, self.request_queue.oldest_ms(now));
        if self.pressure.level() != self.announced_level {
            self.announced_level = self.pressure.level();
            tracing::info!(level = ?self.announced_level, waiting = self.request_queue.len(), "pressure level changed");
            self.controller.set_backpressure(self.pressure.backpressure());
        }
        self.handle(Event::Tick);
        let status = CoreStatus { ready: self.controller.is_ready(), level: self.pressure.level() };
        self.status_sender
            .send_if_modified(|previous| std::mem::replace(previous, status) != status);
    }

    fn enqueue(&mut self, request: IncomingRequest) {
        let arrived_ms = self.monotonic_ms(request.arrived_at);
        let class = request.payload.class();
        if let Some(displaced) = self.request_queue.push(class, arrived_ms, request) {
            self.shed(displaced);
        }
    }

    /// Rejects a request because of overload.
    fn shed(&self, request: IncomingRequest) {
        let retry_after_s = self.pressure.retry_after_s(&mut rand::rng());
        let why = "more is asked than can be answered".to_string();
        let _ = request.response_sender.send(Response::Refusal {
            code: 503,
            why,
            retry_after_s: Some(retry_after_s),
        });
    }

    /// Passes a request to the controller, or rejects a repeated poll of the same job under load.
    fn process(&mut self, request: IncomingRequest) {
        // The client has disconnected.
        if request.response_sender.is_closed() {
            return;
        }
        if let RequestPayload::Request(Request::Poll(job)) = &request.payload {
            if !self.poll_schedule.take_slot(job.as_str(), self.pressure.level(), wall_clock_ms()) {
                return self.shed(request);
            }
        }
        self.next_rid += 1;
        let rid = self.next_rid;
        if let RequestPayload::Request(Request::Poll(job)) = &request.payload {
            self.pending_polls.insert(rid, job.clone());
        }
        self.outgoing.response_senders.insert(rid, request.response_sender);
        self.handle(match request.payload {
            RequestPayload::Request(request) => Event::Request { rid, request },
            RequestPayload::Heartbeat(heartbeat) => Event::Heartbeat { rid, heartbeat },
        });
    }
}
