//! Answers that the gateway gives itself.

use base::outcome::RunState;
use base::units::Millisecond;
use bytes::{BufMut, BytesMut};
use serde::Serialize;

use crate::decide::promise::{NotRun, promises};
use crate::http::HeadWriter;

/// An answer of the gateway's own.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalReply {
    /// Status code; 408, 421, 429 and 503 promise that the request did not run and never will.
    pub status: u16,
    /// Stable name of the error.
    pub code: &'static str,
    /// What happened, for people.
    pub message: &'static str,
    /// Whether the request ran.
    pub run_state: RunState,
    /// When the caller may come back.
    pub retry_after_ms: Option<Millisecond>,
}

/// Whether the connection serves further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnDisposition {
    /// It does.
    Keep,
    /// It is closed.
    Close,
}

#[derive(Serialize)]
struct Document<'a> {
    error: &'a ErrorDocument,
}

#[derive(Serialize)]
struct ErrorDocument {
    code: &'static str,
    message: &'static str,
    run_state: RunState,
    retry_after_ms: Option<Millisecond>,
}

impl LocalReply {
    /// An error of a request that was not run and is not worth repeating as it is; its status
    /// promises nothing.
    pub fn rejection(status: u16, code: &'static str, message: &'static str) -> Self {
        debug_assert!(!promises(status), "a promise needs a proof");
        Self::unrun(status, code, message)
    }

    /// A refusal whose status promises that the request was not run and never will be.
    pub fn refusal(_proof: NotRun, status: u16, code: &'static str, message: &'static str) -> Self {
        Self::unrun(status, code, message)
    }

    fn unrun(status: u16, code: &'static str, message: &'static str) -> Self {
        Self {
            status,
            code,
            message,
            run_state: RunState::NotRun,
            retry_after_ms: None,
        }
    }

    /// A request that was not run and may come back.
    pub fn later(
        proof: NotRun,
        status: u16,
        code: &'static str,
        message: &'static str,
        retry_after_ms: Millisecond,
    ) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::refusal(proof, status, code, message)
        }
    }

    /// A request that may have run, or ran, without an answer that can be passed on.
    pub fn unknown(status: u16, code: &'static str, message: &'static str) -> Self {
        Self {
            run_state: RunState::Unknown,
            ..Self::rejection(status, code, message)
        }
    }

    /// Writes the answer; `request_id` is the echoed field, if the caller sent one.
    pub fn write(
        &self,
        out: &mut BytesMut,
        request_id: Option<(&str, &str)>,
        disposition: ConnDisposition,
    ) {
        let error = ErrorDocument {
            code: self.code,
            message: self.message,
            run_state: self.run_state,
            retry_after_ms: self.retry_after_ms,
        };
        let body = serde_json::to_vec(&Document { error: &error }).unwrap_or_default();
        let mut head = HeadWriter::response(out, self.status, reason(self.status))
            .field("Content-Type", b"application/json")
            .number("Content-Length", body.len() as u64);
        if let Some((name, id)) = request_id {
            head = head.field(name, id.as_bytes());
        }
        if let Some(ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", ms as f64 / 1_000.0);
            head = head.field("Retry-After", seconds.as_bytes());
        }
        if disposition == ConnDisposition::Close {
            head = head.field("Connection", b"close");
        }
        head.end();
        out.put_slice(&body);
    }
}

/// Usual reason phrase of a status code.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
