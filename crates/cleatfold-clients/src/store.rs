//! The state service's client: one actor per process, with a rate budget and lanes.
//!
//! Requests beyond the budget wait here, in the order of their lanes, instead of being
//! refused there. What is refused all the same is tried again within a budget of retries, and
//! while the service does not answer only readings and renewals, which see when it is back, go
//! out: the rest would be refused there, and all of it at once when it returns.

use crate::http::{Http, NoAnswer};
use cleatfold_control::{CallPriority, StoreReply, StoreRequest};
use cleatfold_ingress::{Backoff, Breaker, OutgoingQueue, RetryBudget};
use cleatfold_wire::store::{Events, Grant, Granted, Item, Page, Revision};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

pub struct Job {
    pub op: u64,
    pub priority: CallPriority,
    pub request: StoreRequest,
}

/// What this process may use of the service's limits.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub requests_per_s: f64,
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

/// What became of a call.
struct Outcome {
    answered: bool,
    /// It was refused for the rate; with the number of tries so far.
    again: Option<(Job, u32)>,
}

/// Failures in a row after which the service is taken for gone.
const GONE_AFTER: u32 = 4;
const GONE: Backoff = Backoff { first_ms: 200, most_ms: 1000 };
/// Tries of a call that the rate refuses.
const TRIES: u32 = 3;
const BUSY: Backoff = Backoff { first_ms: 150, most_ms: 600 };

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
    mut queue: mpsc::UnboundedReceiver<Job>,
    answer: impl Fn(u64, StoreReply) + Clone + 'static,
) {
    let http = Http::new(&endpoint);
    let mut waiting: OutgoingQueue<(Job, u32)> =
        OutgoingQueue::new(CallPriority::Poll as usize + 1);
    let mut requests = Bucket { level: budget.requests_per_s * 0.5, rate: budget.requests_per_s };
    let mut changes = Bucket { level: budget.writes_per_s * 0.5, rate: budget.writes_per_s };
    let mut filled = Instant::now();
    let (outcomes_out, mut outcomes_in) = mpsc::unbounded_channel::<Outcome>();
    let mut retries = RetryBudget::new(0.1, 10.0);
    let mut breaker = Breaker::new(GONE_AFTER, GONE);
    let start = Instant::now();
    loop {
        let mut new: Vec<(Job, u32)> = Vec::new();
        let mut outcomes: Vec<Outcome> = Vec::new();
        if waiting.is_empty() {
            tokio::select! {
                job = queue.recv() => match job {
                    Some(job) => new.push((job, 0)),
                    None => return,
                },
                outcome = outcomes_in.recv() => outcomes.extend(outcome),
            }
        }
        while let Ok(outcome) = outcomes_in.try_recv() {
            outcomes.push(outcome);
        }
        let now_ms = start.elapsed().as_millis() as u64;
        for outcome in outcomes {
            breaker.note(now_ms, outcome.answered, &mut rand::rng());
            match outcome.again {
                Some((job, tries)) if tries <= TRIES && retries.take() => new.push((job, tries)),
                Some((job, _)) => answer(job.op, StoreReply::Refused),
                None => {}
            }
        }
        while let Ok(job) = queue.try_recv() {
            new.push((job, 0));
        }
        for (job, tries) in new {
            let changes = writes(&job.request);
            waiting.push(job.priority as usize, now_ms, changes, (job, tries));
        }
        let now = Instant::now();
        let passed = now.duration_since(filled).as_secs_f64();
        filled = now;
        requests.fill(passed);
        changes.fill(passed);
        // A large transaction may overdraw the budget; it is paid back before the next one.
        let next = match requests.level >= 1.0 {
            true => waiting.pop(now_ms, changes.level >= 1.0),
            false => None,
        };
        let Some((cost, (job, tries))) = next else {
            if waiting.is_empty() {
                continue;
            }
            let short = match requests.level >= 1.0 {
                true => (1.0 - changes.level) / changes.rate,
                false => (1.0 - requests.level) / requests.rate,
            };
            let pause = Duration::from_secs_f64(short.clamp(0.005, 0.1));
            tokio::select! {
                _ = tokio::time::sleep(pause) => {}
                job = queue.recv() => match job {
                    Some(job) => {
                        let changes = writes(&job.request);
                        waiting.push(job.priority as usize, now_ms, changes, (job, 0));
                    }
                    None => return,
                },
            }
            continue;
        };
        if job.priority > CallPriority::Renewal && breaker.is_open() && !breaker.admits(now_ms) {
            // Certainly not executed; whoever asked knows when to come back.
            answer(job.op, StoreReply::Refused);
            continue;
        }
        requests.level -= 1.0;
        changes.level -= cost;
        retries.note_call();
        let (http, answer, outcomes_out) = (http.clone(), answer.clone(), outcomes_out.clone());
        tokio::task::spawn_local(async move {
            let Job { op, priority, request } = job;
            let call = execute(&http, &request).await;
            if matches!(call, Called::Busy) {
                let pause = BUSY.pause_ms(tries, &mut rand::rng());
                tokio::time::sleep(Duration::from_millis(pause)).await;
                let again = Some((Job { op, priority, request }, tries + 1));
                let _ = outcomes_out.send(Outcome { answered: true, again });
                return;
            }
            let answered = !matches!(call, Called::Away | Called::Unknown);
            let _ = outcomes_out.send(Outcome { answered, again: None });
            answer(
                op,
                match call {
                    Called::Answered(reply) => reply,
                    Called::Busy | Called::Away => StoreReply::Refused,
                    Called::Unknown if matches!(request, StoreRequest::Txn(_)) => {
                        StoreReply::Unknown
                    }
                    Called::Unknown => StoreReply::Refused,
                },
            );
        });
    }
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
        StoreRequest::List { prefix, from, most } => {
            let from = from.as_ref().map(|f| format!("&from={f}")).unwrap_or_default();
            let page = most.unwrap_or(500);
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
        Ok((400, body)) => StoreReply::Bad(String::from_utf8_lossy(&body).into_owned()),
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
