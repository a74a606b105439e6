//! HTTP server: translates requests into messages to the core actor, and its replies into HTTP
//! responses.

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

type HttpResponse = warp::http::Response<Bytes>;

/// Limits on the server's connections.
pub(crate) struct ServerLimits {
    pub max_connections: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
}

/// State change of a connection.
enum ConnectionEvent {
    RequestStarted { id: ConnectionId, is_worker: bool },
    RequestEnded { id: ConnectionId },
    Closed { id: ConnectionId },
}

/// Interval between checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after a failed accept, which is most likely due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and maintains the table of open ones.
pub(crate) async fn run(listener: TcpListener, core: CoreHandle, limits: ServerLimits) {
    let (events, mut event_receiver) = mpsc::unbounded_channel();
    let mut connections =
        ConnectionTable::new(limits.max_connections, limits.idle_timeout.as_millis() as u64);
    let mut close_senders: HashMap<ConnectionId, oneshot::Sender<()>> = HashMap::new();
    let start = Instant::now();
    let millis = || start.elapsed().as_millis() as u64;
    let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            biased;
            event = event_receiver.recv() => match event {
                Some(ConnectionEvent::RequestStarted { id, is_worker }) => connections.record_request(id, millis(), true, is_worker),
                Some(ConnectionEvent::RequestEnded { id }) => connections.record_request(id, millis(), false, false),
                Some(ConnectionEvent::Closed { id }) => {
                    connections.close(id);
                    close_senders.remove(&id);
                }
                None => return,
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (id, evicted) = connections.open(millis());
                    let (close_sender, close_receiver) = oneshot::channel();
                    close_senders.insert(id, close_sender);
                    let connection = Connection { id, core: core.clone(), events: events.clone() };
                    tokio::task::spawn_local(connection.run(stream, close_receiver));
                    if let Some(evicted) = evicted {
                        tracing::debug!(connections = connections.len(), "connection limit reached: closing one");
                        // Its table entry is freed at once: the next connection of the same burst
                        // must not evict it again, or the reserved sockets would be used up too.
                        connections.close(evicted);
                        close_senders.remove(&evicted);
                    }
                }
                Err(error) => {
                    tracing::info!(%error, "cannot accept connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = idle_check.tick() => {
                for id in connections.expired(millis()) {
                    close_senders.remove(&id);
                }
            }
        }
    }
}

/// An open connection.
#[derive(Clone)]
struct Connection {
    id: ConnectionId,
    core: CoreHandle,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl Connection {
    /// Serves requests until either side closes the connection or the sender of `close` is dropped.
    async fn run(self, stream: TcpStream, close: oneshot::Receiver<()>) {
        let _ = stream.set_nodelay(true);
        let (id, events) = (self.id, self.events.clone());
        let service = TowerToHyperService::new(warp::service(self.routes()));
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // Errors are ignored: clients often drop connections.
            _ = serving => {}
            _ = close => {}
        }
        let _ = events.send(ConnectionEvent::Closed { id });
    }

    fn routes(self) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone {
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
                 content_length: Option<u64>,
                 body,
                 connection: Connection| async move {
                    connection.handle(method, path, query, content_length, body).await
                },
            )
            .recover(|rejection: warp::Rejection| async move {
                // The only possible rejection is a content-length that is not a number.
                Ok::<_, Infallible>(error_response(400, &format!("{rejection:?}")))
            })
            .unify()
    }

    async fn handle<B: Buf>(
        &self,
        method: Method,
        path: FullPath,
        query: String,
        content_length: Option<u64>,
        body: impl Stream<Item = Result<B, warp::Error>>,
    ) -> HttpResponse {
        let path = path.as_str();
        if method == Method::GET {
            if let Some(response) = self.handle_without_core(path) {
                return response;
            }
        }
        let _ = self
            .events
            .send(ConnectionEvent::RequestStarted { id: self.id, is_worker: path == "/hello" });
        let response = match read_body(content_length, body).await {
            Ok(body) => route(&method, path, &query, &body, &self.core).await,
            Err(error_response) => error_response,
        };
        let _ = self.events.send(ConnectionEvent::RequestEnded { id: self.id });
        response
    }

    /// Handles requests that do not need the core: readiness checks, and polls rejected under load.
    fn handle_without_core(&self, path: &str) -> Option<HttpResponse> {
        let status = *self.core.status.borrow();
        if path == "/ready" {
            return Some(match status.ready {
                true => into_http(Response::Ready),
                false => into_http(Response::retry_later("this node is not ready")),
            });
        }
        let job = path.strip_prefix("/v1/jobs/")?;
        PollSchedule::ms_until_slot(job, status.level, crate::actor::wall_clock_ms()).map(|ms| {
            let why = "more is asked than can be answered".to_string();
            let retry_after_s = Some(ms.div_ceil(1000) as u32);
            into_http(Response::Refusal { code: 503, why, retry_after_s })
        })
    }
}

/// Reads a request body, up to the maximum length of the protocol.
async fn read_body<B: Buf>(
    content_length: Option<u64>,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, HttpResponse> {
    let too_long = || error_response(413, "the body is longer than 65536 bytes");
    if content_length.is_some_and(|l| l > MAX_BODY as u64) {
        return Err(too_long());
    }
    let mut received = BytesMut::new();
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.next().await {
        let Ok(mut chunk) = chunk else {
            return Err(error_response(400, "the body broke off"));
        };
        received.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        if received.len() > MAX_BODY {
            return Err(too_long());
        }
    }
    Ok(received.freeze())
}

async fn route(
    method: &Method,
    path: &str,
    query: &str,
    body: &[u8],
    core: &CoreHandle,
) -> HttpResponse {
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let expected_method = match segments.as_slice() {
        ["v1", "jobs"] | ["v1", "jobs", _, "withdraw" | "steps"] | ["hello"] => Method::POST,
        ["v1", "jobs", _] | ["ready"] => Method::GET,
        ["v1", "teams", _, "losses" | "jobs" | "queue" | "history"] => Method::GET,
        _ => return error_response(404, "no such path"),
    };
    if method != expected_method {
        let mut response = error_response(405, "wrong method");
        if let Ok(allow) = expected_method.as_str().parse() {
            response.headers_mut().insert("allow", allow);
        }
        return response;
    }
    match segments.as_slice() {
        ["hello"] => match serde_json::from_slice::<RawHeartbeat>(body) {
            Ok(report) => send_to_core(core, RequestPayload::Heartbeat(report)).await,
            Err(error) => error_response(400, &format!("not a report: {error}")),
        },
        ["v1", "jobs"] => match JobSpec::from_json(body) {
            Ok(spec) => ask_core(core, Request::Submit(Box::new(spec))).await,
            Err(error @ SpecError::TooLong) => error_response(413, &error.to_string()),
            Err(error) => error_response(400, &error.to_string()),
        },
        ["v1", "teams", team, view] => match parse_since(query) {
            Some(since) => {
                let team = TeamId::new(team);
                let request = match *view {
                    "jobs" => Request::Workspace { team, view: WorkspaceView::Jobs, since },
                    "queue" => Request::Workspace { team, view: WorkspaceView::Queue, since },
                    "history" => Request::Workspace { team, view: WorkspaceView::History, since },
                    _ => Request::TeamLosses { team, since },
                };
                ask_core(core, request).await
            }
            None => error_response(400, "since: not a number"),
        },
        ["v1", "jobs", id, ..] if !is_job_id(id) => error_response(404, "no such job"),
        ["v1", "jobs", id] => ask_core(core, Request::Poll(JobId::new(id))).await,
        ["v1", "jobs", id, "steps"] => match StepReport::from_json(&JobId::new(id), body) {
            Ok(report) => ask_core(core, Request::Steps(Box::new(report))).await,
            Err(error) => error_response(400, &error.to_string()),
        },
        ["v1", "jobs", id, _] => ask_core(core, Request::Withdraw(JobId::new(id))).await,
        _ => error_response(404, "no such path"),
    }
}

/// Returns the `since` parameter of a query: the log position up to which a team has read. It
/// defaults to 0, the start of the log; `None` if it is not a number.
fn parse_since(query: &str) -> Option<u64> {
    let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    parameters.find(|(name, _)| *name == "since").map_or(Some(0), |(_, number)| number.parse().ok())
}

async fn ask_core(core: &CoreHandle, request: Request) -> HttpResponse {
    send_to_core(core, RequestPayload::Request(request)).await
}

async fn send_to_core(core: &CoreHandle, payload: RequestPayload) -> HttpResponse {
    let (response_sender, response) = oneshot::channel();
    if core
        .requests
        .send(IncomingRequest { arrived_at: Instant::now(), payload, response_sender })
        .is_err()
    {
        return error_response(503, "stopping");
    }
    match response.await {
        Ok(response) => into_http(response),
        Err(_) => error_response(503, "no answer"),
    }
}

fn into_http(response: Response) -> HttpResponse {
    match response {
        Response::Status { code, status } => json_response(code, &status),
        Response::Refusal { code, why, retry_after_s } => {
            let mut response = error_response(code, &why);
            if let Some(seconds) = retry_after_s {
                response.headers_mut().insert("retry-after", seconds.into());
            }
            response
        }
        Response::Ready => json_response(200, &serde_json::json!({ "ready": true })),
        Response::Steps(reply) => json_response(200, &reply),
        Response::Losses(losses) => json_response(200, &losses),
        Response::Workspace(contents) => json_response(200, &contents),
        Response::Worker(reply) => json_response(200, &reply),
        Response::Redirect(report_to) => json_response(421, &Redirect { report_to }),
    }
}

fn error_response(code: u16, message: &str) -> HttpResponse {
    json_response(code, &ErrorBody { error: message.to_string() })
}

fn json_response(code: u16, body: &impl Serialize) -> HttpResponse {
    let mut response = HttpResponse::new(Bytes::from(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() =
        StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}
