//! How the answer of a backend server is relayed to the caller.

use bytes::BytesMut;

use super::job::Job;
use super::local_reply::ConnDisposition;
use super::serve::CallerWriter;
use crate::decide::not_run::promises_not_run;
use crate::decide::outcome::FailureCause;
use crate::http::{AnswerBody, HeadWriter, ResponseHead};

/// Handling of an answer that may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerAction {
    Relay,
    /// Relay the answer unless the request can be retried at another server.
    RelayUnlessRetried,
}

/// Framing of the relayed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// The body has this many bytes.
    Whole(usize),
    /// The body uses the chunked transfer coding.
    Chunks,
}

/// Decides by the head of an answer whether to relay it.
///
/// # Errors
///
/// Returns the cause of failure if the answer must not be relayed.
pub fn classify_answer(job: &Job<'_>, head: &ResponseHead) -> Result<AnswerAction, FailureCause> {
    let names = &job.node.dialect.names;
    let not_run = head.fields.get(names.not_run).is_some();
    match head.status {
        421 => Err(FailureCause::Misdirected),
        status if not_run && (status >= 500 || promises_not_run(status)) => {
            Err(FailureCause::Refused)
        }
        status if promises_not_run(status) => Err(FailureCause::BareRefusal),
        200..300 if head.fields.get(names.signature).is_none() => Err(FailureCause::Garbled),
        500.. if job.route.kind.repeats() => Ok(AnswerAction::RelayUnlessRetried),
        _ => Ok(AnswerAction::Relay),
    }
}

/// Writes the head of a server's answer without its hop-by-hop fields. An answer without a body keeps
/// the length that the server named.
pub fn write_head(out: &mut BytesMut, head: &ResponseHead, kind: BodyKind, to: &CallerWriter<'_>) {
    let mut written = HeadWriter::response(out, head.status, &head.reason);
    for (name, value) in head.fields.iter() {
        let framing = name.eq_ignore_ascii_case("content-length");
        if framing || head.fields.is_hop_by_hop(name) {
            continue;
        }
        written = written.field(name, value);
    }
    written = match (to.body, kind) {
        (AnswerBody::Omitted, _) => match head.fields.number("content-length") {
            Some(bytes) => written.number("Content-Length", bytes),
            None => written,
        },
        (AnswerBody::Sent, BodyKind::Whole(_)) if matches!(head.status, 204 | 304) => written,
        (AnswerBody::Sent, BodyKind::Whole(bytes)) => {
            written.number("Content-Length", bytes as u64)
        }
        (AnswerBody::Sent, BodyKind::Chunks) => written.field("Transfer-Encoding", b"chunked"),
    };
    if to.disposition == ConnDisposition::Close {
        written = written.field("Connection", b"close");
    }
    written.end();
}
