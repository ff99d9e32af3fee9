//! A server's answer as the caller gets it.

use bytes::BytesMut;

use super::job::Job;
use super::reply::Afterwards;
use super::serve::Out;
use crate::decide::outcome::Cause;
use crate::decide::promise::promises;
use crate::http::{HeadWriter, ResponseHead};

/// What an answer's head says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is passed on.
    Pass,
    /// It is passed on unless another server may run the request.
    PassOrRepeat,
    /// It is no answer to the request.
    Fail(Cause),
}

/// How the passed-on body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// Its length is known.
    Whole(usize),
    /// It comes in chunks.
    Chunks,
}

/// Judges an answer by its head.
pub fn judge(job: &Job<'_>, head: &ResponseHead) -> Verdict {
    let names = &job.node.dialect.names;
    let not_run = head.fields.get(names.not_run).is_some();
    match head.status {
        421 => Verdict::Fail(Cause::Misdirected),
        status if not_run && (status >= 500 || promises(status)) => Verdict::Fail(Cause::Refused),
        status if promises(status) => Verdict::Fail(Cause::BareRefusal),
        200..300 if head.fields.get(names.signature).is_none() => Verdict::Fail(Cause::Garbled),
        500.. if job.route.kind.repeats() => Verdict::PassOrRepeat,
        _ => Verdict::Pass,
    }
}

/// Writes the head of a server's answer.
pub fn write_head(out: &mut BytesMut, head: &ResponseHead, kind: BodyKind, to: &Out<'_>) {
    let mut written = HeadWriter::response(out, head.status, &head.reason);
    for (name, value) in head.fields.iter() {
        let framing = name.eq_ignore_ascii_case("content-length");
        if framing || head.fields.is_of_connection(name) {
            continue;
        }
        written = written.field(name, value);
    }
    written = match kind {
        BodyKind::Whole(_) if matches!(head.status, 204 | 304) => written,
        BodyKind::Whole(bytes) => written.number("Content-Length", bytes as u64),
        BodyKind::Chunks => written.field("Transfer-Encoding", b"chunked"),
    };
    if to.afterwards == Afterwards::Close {
        written = written.field("Connection", b"close");
    }
    written.end();
}
