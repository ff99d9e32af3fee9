//! Local replies: answers that the gateway gives itself, without a backend server.

use base::outcome::RunState;
use base::units::Millisecond;
use bytes::BytesMut;
use serde::Serialize;

use crate::decide::not_run::{NotRunProof, promises_not_run};
use crate::http::{AnswerBody, HeadWriter};

/// An error answer of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalReply {
    /// HTTP status; 408, 421, 429 and 503 promise that the request did not run and never will.
    pub status: u16,
    /// Stable identifier of the error, for programs.
    pub code: &'static str,
    /// Description of the error, for people.
    pub message: &'static str,
    pub run_state: RunState,
    /// Value of `Retry-After`.
    pub retry_after_ms: Option<Millisecond>,
}

/// Whether the caller's connection stays open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnDisposition {
    Keep,
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
    /// Rejects a request that was not run and that would fail again if it were sent unchanged. The
    /// status must not be one that promises that the request did not run.
    pub fn rejection(status: u16, code: &'static str, message: &'static str) -> Self {
        debug_assert!(
            !promises_not_run(status),
            "this status needs a proof of not run"
        );
        Self::unrun(status, code, message)
    }

    /// Refuses a request with a status that promises that it was not run and never will be.
    pub fn refusal(
        _proof: NotRunProof,
        status: u16,
        code: &'static str,
        message: &'static str,
    ) -> Self {
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

    /// Refuses a request that was not run, and says when the caller may retry it.
    pub fn later(
        proof: NotRunProof,
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

    /// The reply with a time after which the caller may retry, if there is one.
    pub fn with_retry_after(self, retry_after_ms: Option<Millisecond>) -> Self {
        Self {
            retry_after_ms,
            ..self
        }
    }

    /// The reply to a request whose prompt holds a part that crashes servers.
    pub fn part_in_quarantine(proof: NotRunProof, refused_for_ms: Millisecond) -> Self {
        let text = "A part of this prompt has crashed the servers that ran it; leave it out.";
        Self::later(proof, 503, "part_crashes_servers", text, refused_for_ms)
    }

    /// Replies to a request that ran or may have run, but has no answer that can be relayed.
    pub fn unknown(status: u16, code: &'static str, message: &'static str) -> Self {
        Self {
            run_state: RunState::Unknown,
            ..Self::rejection(status, code, message)
        }
    }

    /// Replies to a request that timed out while a server or another node had it.
    pub fn timed_out() -> Self {
        Self::unknown(504, "timed_out", "No answer came in the time allowed.")
    }

    /// Serializes the reply; `request_id` is the name and value of the field to echo, if the caller
    /// sent one.
    pub fn write(
        &self,
        out: &mut BytesMut,
        request_id: Option<(&str, &str)>,
        disposition: ConnDisposition,
        answer_body: AnswerBody,
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
        answer_body.put(out, &body);
    }
}

/// Standard reason phrase of a status code.
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
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
