//! Direct orders and questions to workers. Each is sent once: whoever gave an order repeats it in
//! the answer to the worker's next report, and whoever asks goes on to ask another worker.

use crate::http::Http;
use cleatfold_wire::worker::{Heartbeat, Orders, RawHeartbeat};
use cleatfold_wire::{AgentEpoch, MachineId, Seq};
use hyper::Method;
use std::time::Duration;
use tokio::sync::mpsc;

/// One call to a worker.
pub struct WorkerCall {
    /// The worker's machine.
    pub machine: MachineId,
    /// Where the worker takes it.
    pub endpoint: String,
    /// What it is asked or told.
    pub request: WorkerRequest,
}

/// What a worker is asked or told.
pub enum WorkerRequest {
    /// Commands to be executed.
    Orders(Orders),
    /// Is it reached at all?
    Inspect,
}

/// What came of a call.
pub enum WorkerReply {
    /// The worker's report after the orders; none where they were not executed or nothing is known of it.
    Ordered(Option<Heartbeat>),
    /// The number of its newest message; none: no answer.
    Inspected(Option<(AgentEpoch, Seq)>),
}

/// Runs until the queue's senders are gone.
pub async fn run(
    mut queue: mpsc::UnboundedReceiver<WorkerCall>,
    answer: impl Fn(MachineId, WorkerReply) + Clone + 'static,
) {
    let http = Http::without_endpoint();
    while let Some(call) = queue.recv().await {
        let (http, answer) = (http.clone(), answer.clone());
        tokio::task::spawn_local(async move {
            let send = async |method, path, body| {
                let url = format!("http://{}{path}", call.endpoint);
                http.call(method, &url, body, Duration::from_secs(1)).await
            };
            let reply = match &call.request {
                WorkerRequest::Orders(orders) => {
                    let body = serde_json::to_vec(orders).ok();
                    WorkerReply::Ordered(match send(Method::POST, "/orders", body).await {
                        Ok((200, body)) => serde_json::from_slice(&body).ok(),
                        _ => None,
                    })
                }
                WorkerRequest::Inspect => {
                    WorkerReply::Inspected(match send(Method::GET, "/inspect", None).await {
                        // Whatever it answers, it is reached.
                        Ok((_, body)) => Some(
                            serde_json::from_slice::<RawHeartbeat>(&body)
                                .map_or_else(|_| Default::default(), |r| (r.agent_epoch, r.seq)),
                        ),
                        Err(_) => None,
                    })
                }
            };
            answer(call.machine, reply);
        });
    }
}
