//! Calls to backend servers: model engines and plain services.
//!
//! [`Backend`] is the edge of the process; [`HttpBackend`] implements it. [`chat`] holds the wire
//! types of the OpenAI-compatible protocol and [`stream`] reads its server-sent events.

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

/// Body of an answer, read piece by piece.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// The VM's identifier.
    pub id: Name,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One attempt, held whole so that it may be sent again.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as sent.
    pub path: String,
    /// Headers to send.
    pub headers: HeaderMap,
    /// Body to send.
    pub body: Bytes,
    /// How long to wait for the head of the answer.
    pub head_timeout_ms: Millisecond,
}

/// Head of an answer and its unread body.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// An attempt without the head of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// No byte of the request was written.
    #[snafu(display("Nothing was sent to the backend server: {reason}."))]
    NotSent {
        /// What was seen.
        reason: String,
    },
    /// Some of the request may have been written, so it may have run.
    #[snafu(display("The backend server took the request and gave no answer: {reason}."))]
    Unanswered {
        /// What was seen.
        reason: String,
    },
}

/// The body of an answer broke off.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The answer broke off: {reason}."))]
pub struct BodyError {
    /// What was seen.
    pub reason: String,
}

/// Backend servers as the rest of the process sees them.
#[async_trait]
pub trait Backend: Send + Sync {
    /// Sends one attempt, once, and waits for the head of the answer.
    async fn send(&self, target: &Target, attempt: Attempt) -> Result<Answer, SendError>;
}
