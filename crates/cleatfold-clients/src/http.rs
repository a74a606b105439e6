//! The HTTP client that both services are called with.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// A client with its own pool of connections.
#[derive(Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The request never left.
    NotSent,
    /// It may have been executed, or be executed later.
    Unknown,
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(1000)));
    connector
}

impl Http {
    /// A client of one endpoint.
    pub fn new(endpoint: &str) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(8)
            .build(connector());
        Self { client, base: format!("http://{endpoint}") }
    }

    /// A client of many hosts: paths are whole addresses.
    pub fn without_endpoint() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(2))
            .pool_max_idle_per_host(1)
            .build(connector());
        Self { client, base: String::new() }
    }

    /// Makes one call. Returns the status and the body, or why there is none.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), NoAnswer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.unwrap_or_default())));
        let Ok(request) = request else {
            return Err(NoAnswer::NotSent);
        };
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    NoAnswer::NotSent
                } else {
                    NoAnswer::Unknown
                }
            })?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|_| NoAnswer::Unknown)?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(NoAnswer::Unknown))
    }
}
