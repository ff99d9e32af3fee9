//! The one shape of errors towards callers.

use base::outcome::RunState;
use base::units::Millisecond;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

use super::body::{Reply, full_reply};

/// Whether sending the same request again is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// It is: nothing non-idempotent can run twice.
    Safe,
    /// It is not, or would fail the same way.
    Unsafe,
}

/// Stable code of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is not well formed.
    BadRequest,
    /// No workspace has the key.
    Unauthorized,
    /// The service is not one the workspace can use.
    UnknownService,
    /// No such path.
    NotFound,
    /// The path has no such method.
    MethodNotAllowed,
    /// The body is over its bound.
    BodyTooLarge,
    /// The request arrived too slowly.
    RequestTimeout,
    /// `Idempotency-Key` is needed on this route.
    IdempotencyKeyRequired,
    /// `Idempotency-Key` is malformed.
    IdempotencyKeyInvalid,
    /// The key was used for another request.
    IdempotencyKeyReused,
    /// The first call with this key is still running.
    IdempotencyKeyInProgress,
    /// Whether the first call with this key ran is not known.
    OutcomeUnknown,
    /// The stored result was too large to keep.
    ResultNotKept,
    /// The request's number is in use.
    RequestIdInUse,
    /// The workspace's share or the queue is full.
    Overloaded,
    /// No backend server can take the request.
    NoBackendServer,
    /// The backend server gave no whole answer.
    BackendFailed,
    /// The backend server refused the request.
    BackendRejected,
    /// The request has crashed backend servers before.
    Quarantined,
    /// The record of the call could not be written.
    StoreUnavailable,
    /// The time for the answer is over.
    DeadlineExceeded,
    /// This entry VM is leaving; the answer goes on at another.
    Moved,
    /// This entry VM does not serve now.
    NotReady,
}

impl ErrorCode {
    /// The code as callers see it.
    pub fn name(self) -> String {
        let json = serde_json::to_value(self).unwrap_or_default();
        json.as_str().unwrap_or_default().to_owned()
    }
}

/// An error as the caller sees it.
#[derive(Clone, Debug, Serialize)]
pub struct CallerError {
    /// HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// Stable code.
    pub code: ErrorCode,
    /// A full sentence.
    pub message: String,
    /// Whether the request was run.
    pub run_state: RunState,
    /// Whether a retry is safe.
    pub retry: RetrySafety,
    /// When to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millisecond>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: &'a CallerError,
}

impl CallerError {
    /// A mistake of the caller's: nothing ran, and the same request would fail again.
    pub fn client_error(status: StatusCode, code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run_state: RunState::NotRun,
            retry: RetrySafety::Unsafe,
            retry_after_ms: None,
        }
    }

    /// A refusal before anything ran; the caller may come back.
    pub fn retryable(
        code: ErrorCode,
        message: impl Into<String>,
        retry_after_ms: Millisecond,
    ) -> Self {
        let status = match code {
            ErrorCode::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            status,
            code,
            message: message.into(),
            run_state: RunState::NotRun,
            retry: RetrySafety::Safe,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// The answer goes on at another entry VM.
    pub fn moved() -> Self {
        Self::retryable(
            ErrorCode::Moved,
            "This entry VM is leaving; ask for the request by its number at another one.",
            0,
        )
    }

    /// The error as JSON, `{"error":{…}}`.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&Envelope { error: self }).unwrap_or_default()
    }

    /// The error as a whole reply.
    pub fn into_reply(self) -> Reply {
        let mut reply = full_reply(self.status, "application/json", self.to_json());
        if let Some(wait_ms) = self.retry_after_ms {
            let wait_s = wait_ms.div_ceil(1_000).max(1);
            reply
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(wait_s));
        }
        reply
    }
}
