//! Client of the state service: one actor per process, with a rate limit and priorities.
//!
//! Calls beyond the rate limit are queued here in order of priority, so that the service does not
//! refuse them. Calls that the service still refuses are retried within a retry budget. While the
//! service is unavailable only lease renewals and the calls that the circuit breaker admits are
//! sent; they detect its recovery. All other calls fail at once, because they would be refused
//! anyway and would reach the service all at the same time when it recovers.

use crate::http::{CallError, HttpClient};
use cleatfold_control::{CallPriority, StoreReply, StoreRequest};
use cleatfold_ingress::{Backoff, CircuitBreaker, OutgoingQueue, RetryBudget};
use cleatfold_wire::store::{Events, Grant, Granted, Item, Page, Revision};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A request to the state service and its priority.
pub struct StoreCall {
    /// Operation number, passed back with the reply.
    pub op: u64,
    /// Order in which calls are sent when the rate limit delays them.
    pub priority: CallPriority,
    /// The request.
    pub request: StoreRequest,
}

/// Share of the state service's rate limits that this process may use.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Calls per second.
    pub requests_per_s: f64,
    /// Changed keys per second.
    pub writes_per_s: f64,
}

struct TokenBucket {
    tokens: f64,
    rate: f64,
}

impl TokenBucket {
    fn refill(&mut self, elapsed_s: f64) {
        self.tokens = (self.tokens + self.rate * elapsed_s).min((self.rate * 0.5).max(2.0));
    }
}

/// A queued call and the number of attempts made so far.
struct QueuedCall {
    call: StoreCall,
    attempts: u32,
}

/// Report on a finished attempt, for the circuit breaker and retries.
struct AttemptReport {
    service_available: bool,
    /// The call to retry, if the service refused it for its rate limit.
    retry: Option<QueuedCall>,
}

/// Consecutive failures after which the service is considered unavailable.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;
const UNAVAILABLE_BACKOFF: Backoff = Backoff { first_ms: 200, max_ms: 1000 };
/// Reattempts that each call adds to the retry budget, and the maximum that can accumulate.
const RETRIES_PER_CALL: f64 = 0.1;
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Maximum retries of a call that the service refuses for its rate limit.
const MAX_RETRIES_PER_CALL: u32 = 3;
const RATE_LIMIT_BACKOFF: Backoff = Backoff { first_ms: 150, max_ms: 600 };

/// Number of keys that a request changes.
fn change_count(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Txn(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

/// Runs until all senders of `calls` are dropped. Passes every reply to `on_reply`.
pub async fn run(
    endpoint: String,
    budget: Budget,
    mut calls: mpsc::UnboundedReceiver<StoreCall>,
    on_reply: impl Fn(u64, StoreReply) + Clone + 'static,
) {
    let (report_sender, mut report_receiver) = mpsc::unbounded_channel::<AttemptReport>();
    let mut client = StoreClient::new(HttpClient::new(&endpoint), budget, on_reply, report_sender);
    loop {
        if client.queued.is_empty() {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => client.enqueue(call),
                    None => return,
                },
                Some(report) = report_receiver.recv() => client.record_attempt(report),
            }
        }
        while let Ok(report) = report_receiver.try_recv() {
            client.record_attempt(report);
        }
        while let Ok(call) = calls.try_recv() {
            client.enqueue(call);
        }
        client.refill_buckets();
        if client.send_next() || client.queued.is_empty() {
            continue;
        }
        tokio::select! {
            _ = tokio::time::sleep(client.time_until_next_call()) => {}
            call = calls.recv() => match call {
                Some(call) => client.enqueue(call),
                None => return,
            },
        }
    }
}

/// State of the client: the queued calls, the rate limits, the retry budget and the circuit breaker.
struct StoreClient<A> {
    http: HttpClient,
    on_reply: A,
    reports: mpsc::UnboundedSender<AttemptReport>,
    queued: OutgoingQueue<QueuedCall>,
    request_bucket: TokenBucket,
    change_bucket: TokenBucket,
    refilled_at: Instant,
    retries: RetryBudget,
    breaker: CircuitBreaker,
    start: Instant,
}

impl<A: Fn(u64, StoreReply) + Clone + 'static> StoreClient<A> {
    fn new(
        http: HttpClient,
        budget: Budget,
        on_reply: A,
        reports: mpsc::UnboundedSender<AttemptReport>,
    ) -> Self {
        let bucket = |rate: f64| TokenBucket { tokens: rate * 0.5, rate };
        Self {
            http,
            on_reply,
            reports,
            queued: OutgoingQueue::new(CallPriority::Poll as usize + 1),
            request_bucket: bucket(budget.requests_per_s),
            change_bucket: bucket(budget.writes_per_s),
            refilled_at: Instant::now(),
            retries: RetryBudget::new(RETRIES_PER_CALL, MAX_SAVED_RETRIES),
            breaker: CircuitBreaker::new(MAX_CONSECUTIVE_FAILURES, UNAVAILABLE_BACKOFF),
            start: Instant::now(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn enqueue(&mut self, call: StoreCall) {
        self.push(QueuedCall { call, attempts: 0 });
    }

    fn push(&mut self, queued: QueuedCall) {
        let changes = change_count(&queued.call.request);
        self.queued.push(queued.call.priority as usize, self.now_ms(), changes, queued);
    }

    /// Records a finished attempt. Retries a rate-limited call within the retry budget.
    fn record_attempt(&mut self, report: AttemptReport) {
        self.breaker.record_result(self.now_ms(), report.service_available, &mut rand::rng());
        match report.retry {
            Some(queued) if queued.attempts <= MAX_RETRIES_PER_CALL && self.retries.try_take() => {
                self.push(queued)
            }
            Some(queued) => (self.on_reply)(queued.call.op, StoreReply::Refused),
            None => {}
        }
    }

    fn refill_buckets(&mut self) {
        let now = Instant::now();
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.request_bucket.refill(elapsed_s);
        self.change_bucket.refill(elapsed_s);
    }

    /// Sends or rejects the next call that the rate limits allow. Returns `false` if there is none.
    fn send_next(&mut self) -> bool {
        if self.request_bucket.tokens < 1.0 {
            return false;
        }
        // A large transaction may overdraw the bucket, which then delays the next one.
        let now_ms = self.now_ms();
        let Some((changes, queued)) = self.queued.pop(now_ms, self.change_bucket.tokens >= 1.0)
        else {
            return false;
        };
        let is_renewal = queued.call.priority == CallPriority::Renewal;
        if !is_renewal && self.breaker.is_open() && !self.breaker.allows_call(now_ms) {
            // The request was not sent, so it is certain that it was not executed. The caller
            // decides when to retry.
            (self.on_reply)(queued.call.op, StoreReply::Refused);
            return true;
        }
        self.request_bucket.tokens -= 1.0;
        self.change_bucket.tokens -= changes;
        self.retries.record_call();
        let (http, on_reply, reports) =
            (self.http.clone(), self.on_reply.clone(), self.reports.clone());
        tokio::task::spawn_local(make_call(http, queued, on_reply, reports));
        true
    }

    /// Estimated time until the rate limits allow the next call.
    fn time_until_next_call(&self) -> Duration {
        let wait_s = match self.request_bucket.tokens >= 1.0 {
            true => (1.0 - self.change_bucket.tokens) / self.change_bucket.rate,
            false => (1.0 - self.request_bucket.tokens) / self.request_bucket.rate,
        };
        Duration::from_secs_f64(wait_s.clamp(0.005, 0.1))
    }
}

/// Makes one attempt of a call and reports its result.
async fn make_call(
    http: HttpClient,
    queued: QueuedCall,
    on_reply: impl Fn(u64, StoreReply),
    reports: mpsc::UnboundedSender<AttemptReport>,
) {
    let QueuedCall { call, attempts } = queued;
    let result = execute(&http, &call.request).await;
    if matches!(result, AttemptResult::RateLimited) {
        let pause_ms = RATE_LIMIT_BACKOFF.pause_ms(attempts, &mut rand::rng());
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let retry = Some(QueuedCall { call, attempts: attempts + 1 });
        let _ = reports.send(AttemptReport { service_available: true, retry });
        return;
    }
    let service_available =
        !matches!(result, AttemptResult::NotExecuted | AttemptResult::OutcomeUnknown);
    let _ = reports.send(AttemptReport { service_available, retry: None });
    let is_transaction = matches!(call.request, StoreRequest::Txn(_));
    let reply = match result {
        AttemptResult::Replied(reply) => reply,
        AttemptResult::OutcomeUnknown if is_transaction => StoreReply::Unknown,
        AttemptResult::RateLimited | AttemptResult::NotExecuted | AttemptResult::OutcomeUnknown => {
            StoreReply::Refused
        }
    };
    on_reply(call.op, reply);
}

/// Result of one attempt of a call.
enum AttemptResult {
    Replied(StoreReply),
    /// Refused because of the service's rate limit.
    RateLimited,
    /// Refused or never sent, so certainly not executed.
    NotExecuted,
    /// The request may have been executed, or may still be executed.
    OutcomeUnknown,
}

/// Time limit for one attempt of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

async fn execute(http: &HttpClient, request: &StoreRequest) -> AttemptResult {
    let (method, path, body) = match request {
        StoreRequest::Get(key) => (Method::GET, format!("/store/{key}"), None),
        StoreRequest::List { prefix, from, limit } => {
            let from = from.as_ref().map(|f| format!("&from={f}")).unwrap_or_default();
            let page = limit.unwrap_or(500);
            (Method::GET, format!("/store?prefix={prefix}{from}&page={page}"), None)
        }
        StoreRequest::Txn(txn) => (Method::POST, "/multi".into(), serde_json::to_vec(txn).ok()),
        StoreRequest::Grant { ttl_ms } => {
            (Method::POST, "/grants".into(), serde_json::to_vec(&Grant { ttl_ms: *ttl_ms }).ok())
        }
        StoreRequest::Extend(lease) => {
            (Method::POST, format!("/grants/{lease}/extend"), Some(b"{}".to_vec()))
        }
        StoreRequest::Changes { prefix, from } => {
            (Method::GET, format!("/follow?prefix={prefix}&from={from}&holdMs=0"), None)
        }
    };
    let reply = match http.call(method, &path, body, CALL_TIMEOUT).await {
        Ok((200, body)) => parse_reply(request, &body),
        Ok((404, _)) => StoreReply::Missing,
        Ok((409, body)) => match serde_json::from_slice::<Revision>(&body) {
            Ok(revision) => StoreReply::Conflict(revision.failed),
            Err(_) => return AttemptResult::OutcomeUnknown,
        },
        Ok((410, _)) => StoreReply::TooOld,
        Ok((400, body)) => StoreReply::Invalid(String::from_utf8_lossy(&body).into_owned()),
        Ok((429, _)) => return AttemptResult::RateLimited,
        Ok((503, _)) | Err(CallError::NotSent) => return AttemptResult::NotExecuted,
        Ok(_) | Err(CallError::OutcomeUnknown) => return AttemptResult::OutcomeUnknown,
    };
    AttemptResult::Replied(reply)
}

fn parse_reply(request: &StoreRequest, body: &[u8]) -> StoreReply {
    fn parse<T: DeserializeOwned>(
        body: &[u8],
        into_reply: impl FnOnce(T) -> StoreReply,
    ) -> StoreReply {
        match serde_json::from_slice(body) {
            Ok(value) => into_reply(value),
            Err(error) => {
                tracing::error!(%error, "cannot parse state service response");
                StoreReply::Unknown
            }
        }
    }
    match request {
        StoreRequest::Get(_) => parse::<Item>(body, StoreReply::Item),
        StoreRequest::List { .. } => parse::<Page>(body, StoreReply::Page),
        StoreRequest::Txn(_) => parse::<Revision>(body, |r| StoreReply::Committed(r.revision)),
        StoreRequest::Grant { .. } => parse::<Granted>(body, |g| StoreReply::Granted(g.lease)),
        StoreRequest::Extend(_) => StoreReply::Extended,
        StoreRequest::Changes { .. } => parse::<Events>(body, StoreReply::Events),
    }
}
