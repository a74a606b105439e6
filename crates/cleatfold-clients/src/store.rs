//! The state service's client: one actor per process, with a rate budget and urgencies.
//!
//! Requests beyond the budget wait here, in the order of their urgencies, instead of being
//! refused there. What is refused all the same is tried again within a budget of retries, and
//! while the service does not answer only readings and renewals, which see when it is back, go
//! out: the rest would be refused there, and all of it at once when it returns.

use crate::http::{Http, NoAnswer};
use cleatfold_control::{CallPriority, StoreReply, StoreRequest};
use cleatfold_ingress::{Backoff, CircuitBreaker, OutgoingQueue, RetryBudget};
use cleatfold_wire::store::{Events, Grant, Granted, Item, Page, Revision};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// One call.
pub struct StoreCall {
    /// Its number; the answer carries it.
    pub op: u64,
    /// Which calls go first when the rate is short.
    pub priority: CallPriority,
    /// What is asked for.
    pub request: StoreRequest,
}

/// What this process may use of the service's limits.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Calls a second.
    pub requests_per_s: f64,
    /// Changes a second.
    pub writes_per_s: f64,
}

struct Bucket {
    level: f64,
    rate: f64,
}

impl Bucket {
    fn fill(&mut self, seconds: f64) {
        self.level = (self.level + self.rate * seconds).min((self.rate * 0.5).max(2.0));
    }
}

/// A call that waits for its turn, with how often it was tried.
struct Waiting {
    call: StoreCall,
    tries: u32,
}

/// What became of a call.
struct Outcome {
    answered: bool,
    /// It was refused for the rate.
    again: Option<Waiting>,
}

/// Failures in a row after which the service is taken to be unavailable.
const MAX_FAILURES: u32 = 4;
const UNAVAILABLE_BACKOFF: Backoff = Backoff { first_ms: 200, max_ms: 1000 };
/// Retries that each call adds to the budget, and how many may be saved up.
const RETRIES_PER_CALL: f64 = 0.1;
const MAX_RETRIES_SAVED: f64 = 10.0;
/// Tries of a call that the rate refuses.
const MAX_TRIES: u32 = 3;
const RATE_LIMIT_BACKOFF: Backoff = Backoff { first_ms: 150, max_ms: 600 };

fn writes(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Txn(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

/// Runs until the queue's senders are gone. `answer` gets every reply.
pub async fn run(
    endpoint: String,
    budget: Budget,
    mut queue: mpsc::UnboundedReceiver<StoreCall>,
    answer: impl Fn(u64, StoreReply) + Clone + 'static,
) {
    let (outcomes_out, mut outcomes_in) = mpsc::unbounded_channel::<Outcome>();
    let mut client = StoreClient::new(Http::new(&endpoint), budget, answer, outcomes_out);
    loop {
        if client.waiting.is_empty() {
            tokio::select! {
                call = queue.recv() => match call {
                    Some(call) => client.enqueue(call),
                    None => return,
                },
                Some(outcome) = outcomes_in.recv() => client.note(outcome),
            }
        }
        while let Ok(outcome) = outcomes_in.try_recv() {
            client.note(outcome);
        }
        while let Ok(call) = queue.try_recv() {
            client.enqueue(call);
        }
        client.refill();
        if client.send_next() || client.waiting.is_empty() {
            continue;
        }
        tokio::select! {
            _ = tokio::time::sleep(client.pause()) => {}
            call = queue.recv() => match call {
                Some(call) => client.enqueue(call),
                None => return,
            },
        }
    }
}

/// The state of the client: calls that wait, and what of the rates is left.
struct StoreClient<A> {
    http: Http,
    answer: A,
    outcomes: mpsc::UnboundedSender<Outcome>,
    waiting: OutgoingQueue<Waiting>,
    requests: Bucket,
    changes: Bucket,
    filled: Instant,
    retries: RetryBudget,
    breaker: CircuitBreaker,
    start: Instant,
}

impl<A: Fn(u64, StoreReply) + Clone + 'static> StoreClient<A> {
    fn new(
        http: Http,
        budget: Budget,
        answer: A,
        outcomes: mpsc::UnboundedSender<Outcome>,
    ) -> Self {
        let bucket = |rate: f64| Bucket { level: rate * 0.5, rate };
        Self {
            http,
            answer,
            outcomes,
            waiting: OutgoingQueue::new(CallPriority::Poll as usize + 1),
            requests: bucket(budget.requests_per_s),
            changes: bucket(budget.writes_per_s),
            filled: Instant::now(),
            retries: RetryBudget::new(RETRIES_PER_CALL, MAX_RETRIES_SAVED),
            breaker: CircuitBreaker::new(MAX_FAILURES, UNAVAILABLE_BACKOFF),
            start: Instant::now(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn enqueue(&mut self, call: StoreCall) {
        self.wait(Waiting { call, tries: 0 });
    }

    fn wait(&mut self, waiting: Waiting) {
        let changes = writes(&waiting.call.request);
        self.waiting.push(waiting.call.priority as usize, self.now_ms(), changes, waiting);
    }

    /// Notes what became of a call; one that the rate refused is tried again within the budget.
    fn note(&mut self, outcome: Outcome) {
        self.breaker.record_result(self.now_ms(), outcome.answered, &mut rand::rng());
        match outcome.again {
            Some(waiting) if waiting.tries <= MAX_TRIES && self.retries.try_take() => {
                self.wait(waiting)
            }
            Some(waiting) => (self.answer)(waiting.call.op, StoreReply::Refused),
            None => {}
        }
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.requests.fill(passed);
        self.changes.fill(passed);
    }

    /// Sends the next call that the rates allow, if there is one.
    fn send_next(&mut self) -> bool {
        if self.requests.level < 1.0 {
            return false;
        }
        // A large transaction may overdraw the budget; it is paid back before the next one.
        let now_ms = self.now_ms();
        let Some((changes, waiting)) = self.waiting.pop(now_ms, self.changes.level >= 1.0) else {
            return false;
        };
        let is_renewal = waiting.call.priority == CallPriority::Renewal;
        if !is_renewal && self.breaker.is_open() && !self.breaker.allows_call(now_ms) {
            // Certainly not executed; whoever asked knows when to come back.
            (self.answer)(waiting.call.op, StoreReply::Refused);
            return true;
        }
        self.requests.level -= 1.0;
        self.changes.level -= changes;
        self.retries.record_call();
        let (http, answer, outcomes) =
            (self.http.clone(), self.answer.clone(), self.outcomes.clone());
        tokio::task::spawn_local(make_call(http, waiting, answer, outcomes));
        true
    }

    /// How long it takes until the next call may go.
    fn pause(&self) -> Duration {
        let short = match self.requests.level >= 1.0 {
            true => (1.0 - self.changes.level) / self.changes.rate,
            false => (1.0 - self.requests.level) / self.requests.rate,
        };
        Duration::from_secs_f64(short.clamp(0.005, 0.1))
    }
}

/// Makes one call, and reports what became of it.
async fn make_call(
    http: Http,
    waiting: Waiting,
    answer: impl Fn(u64, StoreReply),
    outcomes: mpsc::UnboundedSender<Outcome>,
) {
    let Waiting { call, tries } = waiting;
    let called = execute(&http, &call.request).await;
    if matches!(called, Called::Busy) {
        let pause_ms = RATE_LIMIT_BACKOFF.pause_ms(tries, &mut rand::rng());
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let again = Some(Waiting { call, tries: tries + 1 });
        let _ = outcomes.send(Outcome { answered: true, again });
        return;
    }
    let answered = !matches!(called, Called::Away | Called::Unknown);
    let _ = outcomes.send(Outcome { answered, again: None });
    let is_transaction = matches!(call.request, StoreRequest::Txn(_));
    let reply = match called {
        Called::Answered(reply) => reply,
        Called::Unknown if is_transaction => StoreReply::Unknown,
        Called::Busy | Called::Away | Called::Unknown => StoreReply::Refused,
    };
    answer(call.op, reply);
}

enum Called {
    Answered(StoreReply),
    /// Refused for the rate.
    Busy,
    /// Refused, or never sent: certainly not executed.
    Away,
    /// Perhaps executed, perhaps later.
    Unknown,
}

const TIMEOUT: Duration = Duration::from_millis(1500);

async fn execute(http: &Http, request: &StoreRequest) -> Called {
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
    let reply = match http.call(method, &path, body, TIMEOUT).await {
        Ok((200, body)) => read(request, &body),
        Ok((404, _)) => StoreReply::Missing,
        Ok((409, body)) => match serde_json::from_slice::<Revision>(&body) {
            Ok(revision) => StoreReply::Conflict(revision.failed),
            Err(_) => return Called::Unknown,
        },
        Ok((410, _)) => StoreReply::TooOld,
        Ok((400, body)) => StoreReply::Invalid(String::from_utf8_lossy(&body).into_owned()),
        Ok((429, _)) => return Called::Busy,
        Ok((503, _)) | Err(NoAnswer::NotSent) => return Called::Away,
        Ok(_) | Err(NoAnswer::Unknown) => return Called::Unknown,
    };
    Called::Answered(reply)
}

fn read(request: &StoreRequest, body: &[u8]) -> StoreReply {
    fn parse<T: DeserializeOwned>(body: &[u8], make: impl FnOnce(T) -> StoreReply) -> StoreReply {
        match serde_json::from_slice(body) {
            Ok(value) => make(value),
            Err(error) => {
                tracing::error!(%error, "unreadable answer of the state service");
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
