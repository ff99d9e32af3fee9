//! Calls to backend servers: model engines and plain services.
//!
//! [`Backend`] is the interface and [`HttpBackend`] its implementation over HTTP. [`chat`] holds the
//! wire types of the OpenAI-compatible API, and [`stream`] reads its server-sent events.

pub mod chat;
mod http;
pub mod report;
pub mod stream;

pub use http::{HttpBackend, HttpBackendOptions};

use std::net::SocketAddr;

use ::http::{HeaderMap, Method, StatusCode};
use async_trait::async_trait;
use base::Name;
use base::units::Millisecond;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use snafu::Snafu;

/// Response body, read as a stream of frames.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// Backend server that an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Identifier of its VM.
    pub id: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// HTTP request of one attempt, with its whole body in memory so that it can be sent again.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Timeout for the response headers, connecting included.
    pub head_timeout_ms: Millisecond,
}

/// Status and headers of a response, with the body still to be read.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body stream.
    pub body: AnswerBody,
}

/// Failure of an attempt before the response headers.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// No byte of the request was written.
    #[snafu(display("The request was not sent to the backend server: {reason}."))]
    NotSent {
        /// Description of the failure, for logs.
        reason: String,
    },
    /// Part of the request may have been written, so the backend server may have executed it.
    #[snafu(display("The backend server did not respond to the request: {reason}."))]
    Unanswered {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// Failure while reading a response body.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The response body is incomplete or malformed: {reason}."))]
pub struct BodyError {
    /// Description of the failure, for logs.
    pub reason: String,
}

/// Client of backend servers.
#[async_trait]
pub trait Backend: Send + Sync {
    /// Sends an attempt once and waits for the response headers.
    async fn send(&self, target: &Target, attempt: Attempt) -> Result<Answer, SendError>;
}
