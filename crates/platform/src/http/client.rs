//! One HTTP attempt that says truthfully whether the request may have arrived.

use std::net::SocketAddr;
use std::time::Duration;

use base::units::{ByteCount, Millisecond};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as PooledClient, Error as PooledError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::Snafu;

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Unused connections kept.
const IDLE_LIMIT: usize = 16;

/// Where a service listens and how long a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the service.
    pub address: SocketAddr,
    /// Bound of opening a connection.
    pub connect_timeout_ms: Millisecond,
    /// Bound of the whole call, connecting included.
    pub call_timeout_ms: Millisecond,
}

/// Whole answer of a service.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

impl Reply {
    /// Names a status that the protocol does not expect here.
    pub(super) fn unexpected(&self) -> String {
        format!("unexpected status {}", self.status.as_u16())
    }
}

/// Why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(super) enum SendError {
    /// No connection could be opened, so no byte of the request was sent.
    #[snafu(display("no connection to {address}: {reason}"))]
    NotSent { address: SocketAddr, reason: String },
    /// The request may have arrived.
    #[snafu(display("no whole answer from {address}: {reason}"))]
    Unanswered { address: SocketAddr, reason: String },
}

/// Call to send.
pub(super) struct Call {
    pub(super) method: Method,
    /// Path and query, starting with a slash.
    pub(super) path: String,
    pub(super) headers: &'static [(&'static str, &'static str)],
    pub(super) body: Bytes,
    /// Bound of the answer's body.
    pub(super) answer_limit_bytes: ByteCount,
}

/// Client of one endpoint; connections are reused.
#[derive(Clone, Debug)]
pub(super) struct Client {
    endpoint: Endpoint,
    pool: PooledClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn open(endpoint: Endpoint) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let connect_timeout = Duration::from_millis(endpoint.connect_timeout_ms);
        connector.set_connect_timeout(Some(connect_timeout));
        // The pool repeats a request only when its connection closed before a byte was written.
        let pool = PooledClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_LIMIT)
            .build(connector);
        Self { endpoint, pool }
    }

    /// Makes one attempt.
    pub(super) async fn send(&self, call: Call) -> Result<Reply, SendError> {
        let timeout = Duration::from_millis(self.endpoint.call_timeout_ms);
        match tokio::time::timeout(timeout, self.attempt(call)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.unanswered("timeout")),
        }
    }

    async fn attempt(&self, call: Call) -> Result<Reply, SendError> {
        let limit = call.answer_limit_bytes as usize;
        let request = self.request(call)?;
        let response = self.pool.request(request).await;
        let response = response.map_err(|e| self.classify(&e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), limit).collect().await;
        let body = body.map_err(|e| self.unanswered(&e.to_string()))?;
        Ok(Reply {
            status,
            body: body.to_bytes(),
        })
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, SendError> {
        let uri = format!("http://{}{}", self.endpoint.address, call.path);
        let mut builder = Request::builder().method(call.method).uri(uri);
        for (name, value) in call.headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(call.body));
        request.map_err(|e| self.not_sent(&e.to_string()))
    }

    fn classify(&self, error: &PooledError) -> SendError {
        let reason = root_cause(error);
        match error.is_connect() {
            true => self.not_sent(&reason),
            false => self.unanswered(&reason),
        }
    }

    fn not_sent(&self, reason: &str) -> SendError {
        SendError::NotSent {
            address: self.endpoint.address,
            reason: reason.to_owned(),
        }
    }

    fn unanswered(&self, reason: &str) -> SendError {
        SendError::Unanswered {
            address: self.endpoint.address,
            reason: reason.to_owned(),
        }
    }
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
