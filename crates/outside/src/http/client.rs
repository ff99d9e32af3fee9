//! HTTP client that tells failures with certainly no effect from those with an unknown outcome.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use base::units::{ByteCount, Millisecond};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as PooledClient, Error as PooledError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::Snafu;

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of TCP keepalive probes, which detect a peer that vanished without closing.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Most idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Address of a service and the timeouts of calls to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address that the service listens on.
    pub address: SocketAddr,
    /// Timeout for opening a connection.
    pub connect_timeout_ms: Millisecond,
    /// Timeout for the whole call, connecting included.
    pub call_timeout_ms: Millisecond,
}

/// Response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Response {
    /// Error text for a status that the protocol does not define for the call.
    pub fn unexpected_status(&self) -> String {
        format!("unexpected status {}", self.status.as_u16())
    }
}

/// Failure of a call without a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// No connection could be opened, so no byte of the request was sent.
    #[snafu(display("no connection to {address}: {reason}"))]
    NotSent {
        /// Address of the service.
        address: SocketAddr,
        /// Description of the failure, for logs.
        reason: String,
    },
    /// The service may have received the request.
    #[snafu(display("no complete response from {address}: {reason}"))]
    Unanswered {
        /// Address of the service.
        address: SocketAddr,
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// Header fields of a call.
pub type CallHeaders = Vec<(&'static str, Cow<'static, str>)>;

/// Builds the header fields of a call from constants.
pub fn static_headers(headers: &[(&'static str, &'static str)]) -> CallHeaders {
    let owned = headers
        .iter()
        .map(|(name, value)| (*name, Cow::Borrowed(*value)));
    owned.collect()
}

/// HTTP request to a service.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with a slash.
    pub path: String,
    /// Header fields, without `Host` and `Content-Length`, which the client adds.
    pub headers: CallHeaders,
    /// Request body.
    pub body: Bytes,
    /// Largest response body; a longer one is an error.
    pub answer_limit_bytes: ByteCount,
}

/// Client of one endpoint with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: Endpoint,
    pool: PooledClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client of `endpoint`; connections are opened on demand.
    pub fn open(endpoint: Endpoint) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let connect_timeout = Duration::from_millis(endpoint.connect_timeout_ms);
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        // The pool retries a request only if its connection closed before a byte was written.
        let pool = PooledClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { endpoint, pool }
    }

    /// Sends the call once.
    ///
    /// # Errors
    ///
    /// No complete response arrives within the timeout of the call.
    pub async fn send(&self, call: Call) -> Result<Response, SendError> {
        let timeout = Duration::from_millis(self.endpoint.call_timeout_ms);
        match tokio::time::timeout(timeout, self.attempt(call)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.unanswered("timeout")),
        }
    }

    async fn attempt(&self, call: Call) -> Result<Response, SendError> {
        let limit = call.answer_limit_bytes as usize;
        let request = self.request(call)?;
        let response = self.pool.request(request).await;
        let response = response.map_err(|e| self.classify(&e))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, limit).collect().await;
        let body = body.map_err(|e| self.unanswered(&e.to_string()))?;
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, SendError> {
        let uri = format!("http://{}{}", self.endpoint.address, call.path);
        let mut builder = Request::builder().method(call.method).uri(uri);
        for (name, value) in call.headers {
            builder = builder.header(name, &*value);
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
