//! Client of the cloud API: makes one call at a time, spaced so that all controllers together stay
//! within the API's rate limit. Calls that create or delete machines take precedence over reads,
//! because listing the machines of a large deployment takes several calls.

use crate::http::HttpClient;
use cleatfold_control::{CloudReply, CloudRequest};
use cleatfold_wire::cloud::{MachineList, MachineTypes, Machines};
use hyper::Method;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A request to the cloud API and the minimum spacing to the next one.
pub struct CloudCall {
    /// Operation number, passed back with the reply.
    pub op: u64,
    /// The request.
    pub request: CloudRequest,
    /// Minimum time between the starts of consecutive calls.
    pub spacing: Duration,
}

/// Runs until all senders of `calls` are dropped. Passes every reply to `on_reply`.
pub async fn run(
    endpoint: String,
    mut calls: mpsc::UnboundedReceiver<CloudCall>,
    on_reply: impl Fn(u64, CloudReply),
) {
    let http = HttpClient::new(&endpoint);
    let mut pending: VecDeque<CloudCall> = VecDeque::new();
    loop {
        if pending.is_empty() {
            let Some(call) = calls.recv().await else { return };
            pending.push_back(call);
        }
        while let Ok(call) = calls.try_recv() {
            pending.push_back(call);
        }
        let changes_machines = |c: &CloudCall| {
            matches!(c.request, CloudRequest::ScaleOut(_) | CloudRequest::Delete(_))
        };
        let next = pending.iter().position(changes_machines).unwrap_or(0);
        let Some(call) = pending.remove(next) else { continue };
        let started_at = Instant::now();
        let reply = execute(&http, &call.request).await;
        let failed = matches!(reply, CloudReply::Failed);
        on_reply(call.op, reply);
        let spacing = if failed { call.spacing * 4 } else { call.spacing };
        tokio::time::sleep_until(started_at + spacing).await;
    }
}

async fn execute(http: &HttpClient, request: &CloudRequest) -> CloudReply {
    let (method, path, body) = match request {
        CloudRequest::Types => (Method::GET, "/machine_types".to_string(), None),
        CloudRequest::List { from } => {
            let from = from.as_ref().map(|f| format!("from={f}&")).unwrap_or_default();
            (Method::GET, format!("/machines?{from}page=500"), None)
        }
        CloudRequest::ScaleOut(scale_out) => {
            (Method::POST, "/machines".to_string(), serde_json::to_vec(scale_out).ok())
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
        tracing::error!(%error, "cannot parse cloud response");
        CloudReply::Failed
    })
}
