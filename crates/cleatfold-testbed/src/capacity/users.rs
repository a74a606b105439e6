//! The users of a capacity run: each submits a job, as often as it takes, and polls it until
//! it is done.

use cleatfold_clients::http::HttpClient;
use cleatfold_wire::job::{JobSpec, JobState, JobStatus};
use cleatfold_wire::JobId;
use hyper::Method;
use rand::Rng;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// A user gives a submission up after this time.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL_EVERY: Duration = Duration::from_secs(5);

/// What a user learned.
#[derive(Debug)]
pub enum UserEvent {
    /// The job was accepted so long after the first attempt.
    Accepted {
        after: Duration,
        attempts: u32,
    },
    GaveUp,
    /// A rule of the protocol is broken.
    Broken(String),
}

/// One user with one job.
pub struct User {
    pub http: HttpClient,
    pub controllers: Vec<String>,
    pub spec: JobSpec,
    pub tell: mpsc::UnboundedSender<UserEvent>,
}

impl User {
    pub async fn run(self) {
        let began = Instant::now();
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.submit().await {
                Some(200 | 201) => break,
                Some(code @ (400 | 422)) => {
                    return self.broken(format!("{}: submission answered {code}", self.spec.id));
                }
                _ if began.elapsed() > PATIENCE => {
                    let _ = self.tell.send(UserEvent::GaveUp);
                    return;
                }
                _ => sleep(RETRY_AFTER.mul_f64(rand::rng().random_range(1.0..1.5))).await,
            }
        }
        let _ = self.tell.send(UserEvent::Accepted { after: began.elapsed(), attempts });
        self.poll().await;
    }

    /// A connection chooses its controller by chance, as the load balancer does.
    fn entry(&self) -> &str {
        &self.controllers[rand::rng().random_range(0..self.controllers.len())]
    }

    async fn submit(&self) -> Option<u16> {
        let body = serde_json::to_vec(&self.spec).ok()?;
        let url = format!("http://{}/v1/jobs", self.entry());
        let answer = self.http.call(Method::POST, &url, Some(body), SUBMIT_TIMEOUT).await;
        answer.ok().map(|(code, _)| code)
    }

    async fn poll(&self) {
        let id: &JobId = &self.spec.id;
        loop {
            sleep(POLL_EVERY.mul_f64(rand::rng().random_range(0.8..1.2))).await;
            let url = format!("http://{}/v1/jobs/{id}", self.entry());
            match self.http.call(Method::GET, &url, None, POLL_TIMEOUT).await {
                Ok((404, _)) => return self.broken(format!("forgotten {id}")),
                Ok((200, body)) => match serde_json::from_slice::<JobStatus>(&body) {
                    Ok(JobStatus { state: JobState::Done, .. }) => return,
                    Ok(JobStatus { state: JobState::Aborted, .. }) => {
                        return self.broken(format!("went_back {id}: cancelled by nobody"));
                    }
                    _ => {}
                },
                _ => {}
            }
        }
    }

    fn broken(&self, what: String) {
        let _ = self.tell.send(UserEvent::Broken(what));
    }
}
