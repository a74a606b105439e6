//! The HTTP server: turns requests into messages to the core and its answers into responses.

use crate::actor::{CoreHandle, IncomingRequest, RequestPayload};
use bytes::{Buf, Bytes, BytesMut};
use cleatfold_control::{Request, Response, WorkspaceView};
use cleatfold_ingress::{ConnectionId, ConnectionTable, PollSchedule};
use cleatfold_wire::job::{is_job_id, ErrorBody, JobSpec, SpecError, MAX_BODY};
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::worker::{RawHeartbeat, Redirect};
use cleatfold_wire::{JobId, TeamId};
use futures_util::{Stream, StreamExt};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use std::collections::HashMap;
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use warp::http::{HeaderValue, Method, StatusCode};
use warp::path::FullPath;
use warp::Filter;

type Reply = warp::http::Response<Bytes>;

/// What the server may use.
pub(crate) struct ServerLimits {
    pub sockets: usize,
    /// A connection without a request for so long is closed.
    pub idle: Duration,
}

/// What a connection says of itself.
enum ConnectionEvent {
    Began { id: ConnectionId, worker: bool },
    Ended { id: ConnectionId },
    Closed { id: ConnectionId },
}

/// How often connections that nobody uses are looked for.
const SWEEP: Duration = Duration::from_secs(2);
/// After an accept that failed, most likely for want of sockets.
const PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections and owns the table of them.
pub(crate) async fn run(listener: TcpListener, core: CoreHandle, limits: ServerLimits) {
    let (events, mut heard) = mpsc::unbounded_channel();
    let mut connections = ConnectionTable::new(limits.sockets, limits.idle.as_millis() as u64);
    let mut leave: HashMap<ConnectionId, oneshot::Sender<()>> = HashMap::new();
    let start = Instant::now();
    let millis = || start.elapsed().as_millis() as u64;
    let mut sweep = tokio::time::interval(SWEEP);
    loop {
        tokio::select! {
            biased;
            told = heard.recv() => match told {
                Some(ConnectionEvent::Began { id, worker }) => connections.note(id, millis(), true, worker),
                Some(ConnectionEvent::Ended { id }) => connections.note(id, millis(), false, false),
                Some(ConnectionEvent::Closed { id }) => {
                    connections.close(id);
                    leave.remove(&id);
                }
                None => return,
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (id, leaves) = connections.open(millis());
                    let (asked_to, told_to) = oneshot::channel();
                    leave.insert(id, asked_to);
                    let connection = Connection { id, core: core.clone(), events: events.clone() };
                    tokio::task::spawn_local(connection.run(stream, told_to));
                    if let Some(other) = leaves {
                        tracing::debug!(connections = connections.len(), "connection limit reached: closing one");
                        // Its seat is free at once: the next one that comes in the same burst
                        // must not choose it again, or the sockets kept back would go too.
                        connections.close(other);
                        leave.remove(&other);
                    }
                }
                Err(error) => {
                    tracing::info!(%error, "cannot accept connection");
                    tokio::time::sleep(PAUSE).await;
                }
            },
            _ = sweep.tick() => {
                for id in connections.unused(millis()) {
                    leave.remove(&id);
                }
            }
        }
    }
}

/// One connection.
#[derive(Clone)]
struct Connection {
    id: ConnectionId,
    core: CoreHandle,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl Connection {
    /// Serves until either side closes, or until `leave` is dropped.
    async fn run(self, stream: TcpStream, leave: oneshot::Receiver<()>) {
        let _ = stream.set_nodelay(true);
        let (id, events) = (self.id, self.events.clone());
        let service = TowerToHyperService::new(warp::service(self.routes()));
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // Connections that break off are everyday.
            _ = serving => {}
            _ = leave => {}
        }
        let _ = events.send(ConnectionEvent::Closed { id });
    }

    fn routes(self) -> impl Filter<Extract = (Reply,), Error = Infallible> + Clone {
        warp::method()
            .and(warp::path::full())
            .and(warp::query::raw().or(warp::any().map(String::new)).unify())
            .and(warp::header::optional::<u64>("content-length"))
            .and(warp::body::stream())
            .and(warp::any().map(move || self.clone()))
            .then(
                |method: Method,
                 path: FullPath,
                 query: String,
                 length: Option<u64>,
                 body,
                 connection: Connection| async move {
                    connection.answer(method, path, query, length, body).await
                },
            )
            .recover(|refusal: warp::Rejection| async move {
                // Only a content-length that is no number comes here.
                Ok::<_, Infallible>(problem(400, &format!("{refusal:?}")))
            })
            .unify()
    }

    async fn answer<B: Buf>(
        &self,
        method: Method,
        path: FullPath,
        query: String,
        length: Option<u64>,
        body: impl Stream<Item = Result<B, warp::Error>>,
    ) -> Reply {
        let path = path.as_str();
        if method == Method::GET {
            if let Some(reply) = self.answer_without_core(path) {
                return reply;
            }
        }
        let _ = self.events.send(ConnectionEvent::Began { id: self.id, worker: path == "/hello" });
        let reply = match read_body(length, body).await {
            Ok(body) => route(&method, path, &query, &body, &self.core).await,
            Err(refusal) => refusal,
        };
        let _ = self.events.send(ConnectionEvent::Ended { id: self.id });
        reply
    }

    /// What needs no turn at the core: readiness, and polls that are turned away.
    fn answer_without_core(&self, path: &str) -> Option<Reply> {
        let status = *self.core.status.borrow();
        if path == "/ready" {
            return Some(match status.ready {
                true => render(Response::Ready),
                false => render(Response::retry_later("this node is not ready")),
            });
        }
        let job = path.strip_prefix("/v1/jobs/")?;
        PollSchedule::wait_ms(job, status.level, crate::actor::wall_ms()).map(|ms| {
            let why = "more is asked than can be answered".to_string();
            let retry_after_s = Some(ms.div_ceil(1000) as u32);
            render(Response::Refusal { code: 503, why, retry_after_s })
        })
    }
}

/// Reads a body of at most the protocol's length.
async fn read_body<B: Buf>(
    length: Option<u64>,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, Reply> {
    let too_long = || problem(413, "the body is longer than 65536 bytes");
    if length.is_some_and(|l| l > MAX_BODY as u64) {
        return Err(too_long());
    }
    let mut all = BytesMut::new();
    let mut body = std::pin::pin!(body);
    while let Some(part) = body.next().await {
        let Ok(mut part) = part else {
            return Err(problem(400, "the body broke off"));
        };
        all.extend_from_slice(&part.copy_to_bytes(part.remaining()));
        if all.len() > MAX_BODY {
            return Err(too_long());
        }
    }
    Ok(all.freeze())
}

async fn route(method: &Method, path: &str, query: &str, body: &[u8], core: &CoreHandle) -> Reply {
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let wanted = match parts.as_slice() {
        ["v1", "jobs"] | ["v1", "jobs", _, "withdraw" | "steps"] | ["hello"] => Method::POST,
        ["v1", "jobs", _] | ["ready"] => Method::GET,
        ["v1", "teams", _, "losses" | "jobs" | "queue" | "history"] => Method::GET,
        _ => return problem(404, "no such path"),
    };
    if method != wanted {
        let mut reply = problem(405, "wrong method");
        if let Ok(allow) = wanted.as_str().parse() {
            reply.headers_mut().insert("allow", allow);
        }
        return reply;
    }
    match parts.as_slice() {
        ["hello"] => match serde_json::from_slice::<RawHeartbeat>(body) {
            Ok(report) => send_to_core(core, RequestPayload::Heartbeat(report)).await,
            Err(error) => problem(400, &format!("not a report: {error}")),
        },
        ["v1", "jobs"] => match JobSpec::from_json(body) {
            Ok(spec) => ask_core(core, Request::Submit(Box::new(spec))).await,
            Err(error @ SpecError::TooLong) => problem(413, &error.to_string()),
            Err(error) => problem(400, &error.to_string()),
        },
        ["v1", "teams", team, which] => match since(query) {
            Some(since) => {
                let team = TeamId::new(team);
                let request = match *which {
                    "jobs" => Request::Workspace { team, view: WorkspaceView::Jobs, since },
                    "queue" => Request::Workspace { team, view: WorkspaceView::Queue, since },
                    "history" => Request::Workspace { team, view: WorkspaceView::History, since },
                    _ => Request::TeamLosses { team, since },
                };
                ask_core(core, request).await
            }
            None => problem(400, "since: not a number"),
        },
        ["v1", "jobs", id, ..] if !is_job_id(id) => problem(404, "no such job"),
        ["v1", "jobs", id] => ask_core(core, Request::Poll(JobId::new(id))).await,
        ["v1", "jobs", id, "steps"] => match StepReport::from_json(&JobId::new(id), body) {
            Ok(report) => ask_core(core, Request::Steps(Box::new(report))).await,
            Err(error) => problem(400, &error.to_string()),
        },
        ["v1", "jobs", id, _] => ask_core(core, Request::Withdraw(JobId::new(id))).await,
        _ => problem(404, "no such path"),
    }
}

/// Where in its log a team has got to; from the start without a word on it.
fn since(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == "since").map_or(Some(0), |(_, number)| number.parse().ok())
}

async fn ask_core(core: &CoreHandle, request: Request) -> Reply {
    send_to_core(core, RequestPayload::Request(request)).await
}

async fn send_to_core(core: &CoreHandle, payload: RequestPayload) -> Reply {
    let (answer, response) = oneshot::channel();
    if core.requests.send(IncomingRequest { arrived: Instant::now(), payload, answer }).is_err() {
        return problem(503, "stopping");
    }
    match response.await {
        Ok(response) => render(response),
        Err(_) => problem(503, "no answer"),
    }
}

fn render(response: Response) -> Reply {
    match response {
        Response::Status { code, status } => json(code, &status),
        Response::Refusal { code, why, retry_after_s } => {
            let mut reply = problem(code, &why);
            if let Some(seconds) = retry_after_s {
                reply.headers_mut().insert("retry-after", seconds.into());
            }
            reply
        }
        Response::Ready => json(200, &serde_json::json!({ "ready": true })),
        Response::Steps(reply) => json(200, &reply),
        Response::Losses(told) => json(200, &told),
        Response::Workspace(told) => json(200, &told),
        Response::Worker(reply) => json(200, &reply),
        Response::Redirect(report_to) => json(421, &Redirect { report_to }),
    }
}

fn problem(code: u16, why: &str) -> Reply {
    json(code, &ErrorBody { error: why.to_string() })
}

fn json(code: u16, body: &impl Serialize) -> Reply {
    let mut reply = Reply::new(Bytes::from(serde_json::to_vec(body).unwrap_or_default()));
    *reply.status_mut() = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    reply
}
