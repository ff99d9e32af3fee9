//! Errors as callers and operators get them. All endpoints use the same format.

use base::outcome::RunState;
use base::units::Millisecond;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

use super::body::{Reply, full_reply};

/// Whether sending the same request again is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// A retry is safe: no non-idempotent call can run twice.
    Safe,
    /// A retry is not safe, or fails in the same way.
    Unsafe,
}

/// Machine-readable code of an error; the codes are stable across versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// No workspace or operator has the key.
    Unauthorized,
    /// There is no such service, or it is of another kind.
    UnknownService,
    /// The path or the requested item does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The request body is too large.
    BodyTooLarge,
    /// The request body took too long to arrive.
    RequestTimeout,
    /// The call is not idempotent and has no `Idempotency-Key`.
    IdempotencyKeyRequired,
    /// `Idempotency-Key` is malformed.
    IdempotencyKeyInvalid,
    /// The key was used for another request.
    IdempotencyKeyReused,
    /// The first call with this key is still running.
    IdempotencyKeyInProgress,
    /// It is unknown whether the call with this key ran.
    OutcomeUnknown,
    /// The call ran, but its result was too large to store or has expired.
    ResultNotKept,
    /// Another request has this id.
    RequestIdInUse,
    /// The workspace's share or the queue is full.
    Overloaded,
    /// No backend server can take the request.
    NoBackendServer,
    /// No backend server gave a complete answer.
    BackendFailed,
    /// The backend server refused the request.
    BackendRejected,
    /// The request has crashed backend servers before.
    Quarantined,
    /// The store that keeps the configuration and the records of calls did not answer.
    StoreUnavailable,
    /// The deadline for the answer has passed.
    DeadlineExceeded,
    /// This entry VM is shutting down; the answer continues at another.
    Moved,
    /// This entry VM cannot serve requests yet or any more.
    NotReady,
}

impl ErrorCode {
    /// The code as it stands in the reply.
    pub fn name(self) -> String {
        let json = serde_json::to_value(self).unwrap_or_default();
        json.as_str().unwrap_or_default().to_owned()
    }
}

/// An error as it is sent to the caller.
#[derive(Clone, Debug, Serialize)]
pub struct CallerError {
    /// HTTP status of the reply.
    #[serde(skip)]
    pub status: StatusCode,
    /// Machine-readable code.
    pub code: ErrorCode,
    /// Explanation in full sentences.
    pub message: String,
    /// Whether a backend server ran the request.
    pub run_state: RunState,
    /// Whether sending the same request again is safe.
    pub retry: RetrySafety,
    /// Delay after which the caller may retry; also sent as the `Retry-After` header, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millisecond>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: &'a CallerError,
}

impl CallerError {
    /// An error in the request itself: nothing ran, and the same request would fail again.
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

    /// A refusal before anything ran; the caller may retry after `retry_after_ms`.
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

    /// The error of an answer that continues at another entry VM.
    pub fn moved() -> Self {
        Self::retryable(
            ErrorCode::Moved,
            "This entry VM is shutting down; fetch the answer by its request id from another one.",
            0,
        )
    }

    /// The error as JSON, `{"error":{…}}`.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&Envelope { error: self }).unwrap_or_default()
    }

    /// Converts the error to an HTTP reply.
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
