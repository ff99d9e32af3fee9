//! A server's answer as the caller gets it.

use bytes::BytesMut;

use super::job::Job;
use super::reply::Afterwards;
use super::serve::Out;
use crate::decide::outcome::Cause;
use crate::decide::promise::promises;
use crate::http::{HeadWriter, ResponseHead};

/// What becomes of an answer to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is passed on.
    Pass,
    /// It is passed on unless another server may run the request.
    PassOrRepeat,
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
///
/// # Errors
///
/// Why it is not passed on.
pub fn judge(job: &Job<'_>, head: &ResponseHead) -> Result<Verdict, Cause> {
    let names = &job.node.dialect.names;
    let not_run = head.fields.get(names.not_run).is_some();
    match head.status {
        421 => Err(Cause::Misdirected),
        status if not_run && (status >= 500 || promises(status)) => Err(Cause::Refused),
        status if promises(status) => Err(Cause::BareRefusal),
        200..300 if head.fields.get(names.signature).is_none() => Err(Cause::Garbled),
        500.. if job.route.kind.repeats() => Ok(Verdict::PassOrRepeat),
        _ => Ok(Verdict::Pass),
    }
}

/// Writes the head of a server's answer.
pub fn write_head(out: &mut BytesMut, head: &ResponseHead, kind: BodyKind, to: &Out<'_>) {
    let mut written = HeadWriter::response(out, head.status, &head.reason);
    for (name, value) in head.fields.iter() {
        let framing = name.eq_ignore_ascii_case("content-length");
        if framing || head.fields.is_hop_by_hop(name) {
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
