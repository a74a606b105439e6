//! HTTP client for JSON requests to the state service, the cloud API and the workers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// HTTP client with its own connection pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    base_url: String,
}

/// Why a call returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was never sent.
    NotSent,
    /// The request may have been executed, or may still be executed.
    OutcomeUnknown,
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(1000)));
    connector
}

impl HttpClient {
    /// Creates a client for a single endpoint.
    pub fn new(endpoint: &str) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(8)
            .build(connector());
        Self { client, base_url: format!("http://{endpoint}") }
    }

    /// Creates a client for many hosts; paths must be absolute URLs.
    pub fn without_endpoint() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(2))
            .pool_max_idle_per_host(1)
            .build(connector());
        Self { client, base_url: String::new() }
    }

    /// Sends one request and returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Fails if the request could not be sent, or if no complete response arrived within `timeout`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.unwrap_or_default())));
        let Ok(request) = request else {
            return Err(CallError::NotSent);
        };
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    CallError::NotSent
                } else {
                    CallError::OutcomeUnknown
                }
            })?;
            let status = response.status().as_u16();
            let body =
                response.into_body().collect().await.map_err(|_| CallError::OutcomeUnknown)?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::OutcomeUnknown))
    }
}
