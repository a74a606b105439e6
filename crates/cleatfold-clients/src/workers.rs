//! Client for direct requests to workers. Each request is sent only once: unacknowledged commands
//! are repeated in the response to the worker's next heartbeat, and an unanswered probe is followed
//! by a probe of another worker.

use crate::http::HttpClient;
use cleatfold_wire::worker::{Heartbeat, Orders, RawHeartbeat};
use cleatfold_wire::{AgentEpoch, MachineId, Seq};
use hyper::Method;
use std::time::Duration;
use tokio::sync::mpsc;

/// A request to a worker.
pub struct WorkerCall {
    /// The worker's machine.
    pub machine: MachineId,
    /// Address at which the worker accepts direct requests.
    pub endpoint: String,
    /// The request.
    pub request: WorkerRequest,
}

/// Direct request to a worker.
pub enum WorkerRequest {
    /// Commands to be executed.
    Orders(Orders),
    /// Checks whether the worker is reachable.
    Probe,
}

/// Result of a direct request.
pub enum WorkerReply {
    /// The worker's heartbeat after it executed the commands; `None` if they were refused or the
    /// outcome is unknown.
    OrderResult(Option<Heartbeat>),
    /// Session and sequence number of the worker's newest heartbeat; `None` if it did not respond.
    ProbeResult(Option<(AgentEpoch, Seq)>),
}

/// Runs until all senders of `calls` are dropped. Passes every result to `on_reply`.
pub async fn run(
    mut calls: mpsc::UnboundedReceiver<WorkerCall>,
    on_reply: impl Fn(MachineId, WorkerReply) + Clone + 'static,
) {
    let http = HttpClient::without_endpoint();
    while let Some(call) = calls.recv().await {
        let (http, on_reply) = (http.clone(), on_reply.clone());
        tokio::task::spawn_local(async move {
            let send = async |method, path, body| {
                let url = format!("http://{}{path}", call.endpoint);
                http.call(method, &url, body, Duration::from_secs(1)).await
            };
            let reply = match &call.request {
                WorkerRequest::Orders(orders) => {
                    let body = serde_json::to_vec(orders).ok();
                    WorkerReply::OrderResult(match send(Method::POST, "/orders", body).await {
                        Ok((200, body)) => serde_json::from_slice(&body).ok(),
                        _ => None,
                    })
                }
                WorkerRequest::Probe => {
                    WorkerReply::ProbeResult(match send(Method::GET, "/inspect", None).await {
                        // Any response shows that the worker is reachable.
                        Ok((_, body)) => Some(
                            serde_json::from_slice::<RawHeartbeat>(&body)
                                .map_or_else(|_| Default::default(), |r| (r.agent_epoch, r.seq)),
                        ),
                        Err(_) => None,
                    })
                }
            };
            on_reply(call.machine, reply);
        });
    }
}
