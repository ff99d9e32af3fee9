//! A server's answer as the caller gets it.

use base::units::Millisecond;
use bytes::BytesMut;

use super::job::Job;
use super::reply::Afterwards;
use super::serve::Out;
use crate::decide::outcome::Cause;
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
        429 | 503 if not_run => Verdict::Fail(Cause::Refused),
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

/// A request that may be repeated is tried elsewhere after so many times the time owed.
const SILENCE_TARGETS: u64 = 3;

/// Bounds of that time: no shorter than a busy server's pause, and below the shortest time after
/// which callers leave.
const SILENCE_MS: std::ops::RangeInclusive<Millisecond> = 300..=1_200;

/// How long a server may keep a repeatable request without a byte; `None` for others, whose
/// answer is waited for to the end.
pub fn patience_ms(job: &Job<'_>) -> Option<Millisecond> {
    if !job.route.kind.repeats() {
        return None;
    }
    let wanted = SILENCE_TARGETS * job.route.target_ms;
    let wanted = wanted.clamp(*SILENCE_MS.start(), *SILENCE_MS.end());
    // Time for one more attempt is left.
    let half = (job.left_ms() / 2).max(job.route.target_ms);
    Some(wanted.min(half))
}
