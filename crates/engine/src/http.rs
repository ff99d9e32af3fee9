//! HTTP/1.1 client for backend servers.

use std::time::Duration;

use async_trait::async_trait;
use base::units::Millisecond;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::{Answer, Attempt, Backend, BodyError, SendError, Target};

/// Timeouts and limits of the connection pool.
#[derive(Clone, Copy, Debug)]
pub struct HttpBackendOptions {
    /// Timeout for opening a connection.
    pub connect_timeout_ms: Millisecond,
    /// Idle time after which a pooled connection is closed.
    pub idle_timeout_ms: Millisecond,
    /// Most idle connections per backend server.
    pub idle_per_server: usize,
}

impl Default for HttpBackendOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            idle_timeout_ms: 15_000,
            idle_per_server: 64,
        }
    }
}

/// [`Backend`] over pooled HTTP/1.1 connections.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpBackend {
    /// Creates the client; connections are opened on demand.
    pub fn open(options: HttpBackendOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(options.connect_timeout_ms)));
        // The pool retries a request only if its connection closed while the request was still
        // queued, so no byte of it was written.
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(options.idle_timeout_ms))
            .pool_max_idle_per_host(options.idle_per_server)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(true)
            .build(connector);
        Self { client }
    }
}

#[async_trait]
impl Backend for HttpBackend {
    async fn send(&self, target: &Target, attempt: Attempt) -> Result<Answer, SendError> {
        let request = build_request(target, &attempt)?;
        let limit = Duration::from_millis(attempt.head_timeout_ms);
        let Ok(result) = tokio::time::timeout(limit, self.client.request(request)).await else {
            return Err(SendError::Unanswered {
                reason: format!("no response headers within {} ms", attempt.head_timeout_ms),
            });
        };
        let response = result.map_err(classify)?;
        let (head, body) = response.into_parts();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body
                .map_err(|e| BodyError {
                    reason: e.to_string(),
                })
                .boxed_unsync(),
        })
    }
}

fn build_request(
    target: &Target,
    attempt: &Attempt,
) -> Result<::http::Request<Full<Bytes>>, SendError> {
    let uri = format!("http://{}{}", target.address, attempt.path);
    let mut request = ::http::Request::builder()
        .method(attempt.method.clone())
        .uri(uri)
        .body(Full::new(attempt.body.clone()))
        .map_err(|e| SendError::NotSent {
            reason: e.to_string(),
        })?;
    *request.headers_mut() = attempt.headers.clone();
    Ok(request)
}

/// Decides whether a failed attempt may have been executed. Only a failure to connect proves that it
/// was not.
fn classify(error: hyper_util::client::legacy::Error) -> SendError {
    let reason = describe(&error);
    if error.is_connect() {
        return SendError::NotSent { reason };
    }
    SendError::Unanswered { reason }
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
