//! The cloud's client: one call at a time, spaced so that the controllers together keep the rate.
//! What rents or returns machines goes before what only looks: the list of a large deployment takes
//! several calls.

use crate::http::Http;
use cleatfold_control::{CloudReply, CloudRequest};
use cleatfold_wire::cloud::{MachineList, MachineTypes, Machines};
use hyper::Method;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// One call.
pub struct CloudCall {
    /// Its number; the answer carries it.
    pub op: u64,
    /// What is asked for.
    pub request: CloudRequest,
    /// The least time from the start of one call to the next.
    pub spacing: Duration,
}

/// Runs until the queue's senders are gone. `answer` gets every reply.
pub async fn run(
    endpoint: String,
    mut queue: mpsc::UnboundedReceiver<CloudCall>,
    answer: impl Fn(u64, CloudReply),
) {
    let http = Http::new(&endpoint);
    let mut waiting: VecDeque<CloudCall> = VecDeque::new();
    loop {
        if waiting.is_empty() {
            let Some(call) = queue.recv().await else { return };
            waiting.push_back(call);
        }
        while let Ok(call) = queue.try_recv() {
            waiting.push_back(call);
        }
        let acts = |j: &CloudCall| {
            matches!(j.request, CloudRequest::ScaleOut(_) | CloudRequest::Delete(_))
        };
        let next = waiting.iter().position(acts).unwrap_or(0);
        let Some(call) = waiting.remove(next) else { continue };
        let started = Instant::now();
        let reply = execute(&http, &call.request).await;
        let failed = matches!(reply, CloudReply::Failed);
        answer(call.op, reply);
        let spacing = if failed { call.spacing * 4 } else { call.spacing };
        tokio::time::sleep_until(started + spacing).await;
    }
}

async fn execute(http: &Http, request: &CloudRequest) -> CloudReply {
    let (method, path, body) = match request {
        CloudRequest::Types => (Method::GET, "/machine_types".to_string(), None),
        CloudRequest::List { from } => {
            let from = from.as_ref().map(|f| format!("from={f}&")).unwrap_or_default();
            (Method::GET, format!("/machines?{from}page=500"), None)
        }
        CloudRequest::ScaleOut(rent) => {
            (Method::POST, "/machines".to_string(), serde_json::to_vec(rent).ok())
        }
        CloudRequest::Delete(machines) => (
            Method::POST,
            "/machines/delete".to_string(),
            serde_json::to_vec(&Machines { machines: machines.clone() }).ok(),
        ),
    };
    let Ok((status, body)) = http.call(method, &path, body, Duration::from_secs(5)).await else {
        return CloudReply::Failed;
    };
    let parsed = match (status, request) {
        (200, CloudRequest::Types) => {
            serde_json::from_slice::<MachineTypes>(&body).map(|t| CloudReply::Types(t.types))
        }
        (200, CloudRequest::List { .. }) => serde_json::from_slice::<MachineList>(&body)
            .map(|l| CloudReply::List { machines: l.machines, more: l.more }),
        (200, CloudRequest::ScaleOut(_)) => {
            serde_json::from_slice::<Machines>(&body).map(|m| CloudReply::Created(m.machines))
        }
        (200, CloudRequest::Delete(_)) => Ok(CloudReply::Deleted),
        (503, CloudRequest::ScaleOut(_)) => {
            let text = String::from_utf8_lossy(&body);
            Ok(if text.contains("capacity") { CloudReply::NoCapacity } else { CloudReply::Failed })
        }
        _ => Ok(CloudReply::Failed),
    };
    parsed.unwrap_or_else(|error| {
        tracing::error!(%error, "unreadable answer of the cloud");
        CloudReply::Failed
    })
}
