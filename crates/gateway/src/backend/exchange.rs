//! One exchange with a backend server: sends a request, reads the head of the answer, and then the
//! body piece by piece.

use std::time::Duration;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::answer_summary::{AnswerSummary, RequestNaming};
use super::gate::Permit;
use super::pool::{ConnOrigin, PooledConn, Reuse};
use crate::belief::Server;
use crate::clock::Clock;
use crate::decide::body_memory::BodyReservation;
use crate::decide::not_run::promises_not_run;
use crate::decide::outcome::FailureCause;
use crate::dialect::HeaderNames;
use crate::http::{Body, Progress, ResponseHead, response_head};

const HEAD_LIMIT_BYTES: usize = 32 * 1024;

/// Longest wait for the rest of an answer that is not relayed, so that its connection can be
/// reused. A longer wait isn't worth it: opening a connection costs a server about 1 ms.
const DISCARD_TIMEOUT_MS: Millisecond = 5;

/// Most heads that are skipped before the answer to a request: interim (1xx) responses and answers
/// to other requests. A connection may deliver one or two duplicates of earlier answers.
const FOREIGN_HEADS_LIMIT: u32 = 8;

/// Most body bytes of answers to other requests that are skipped before the answer to a request.
const FOREIGN_LIMIT_BYTES: usize = 256 * 1024;

/// Longest answer that is buffered as a whole before it is relayed.
pub const BUFFERED_ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// A request as it is sent to a server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest<'a> {
    pub method: &'a str,
    /// Identifier that the answer must echo.
    pub request_id: Option<&'a str>,
    /// Serialized head.
    pub head: Bytes,
    pub body: Bytes,
    pub reuse: Reuse,
}

/// An answer whose head has been read.
#[derive(Debug)]
pub struct Answer {
    pub head: ResponseHead,
    pub summary: AnswerSummary,
    pooled: PooledConn,
    body: Body,
}

/// How much of a request has been written to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteProgress {
    Whole,
    Partly,
    /// Writing failed before the end of the request.
    Stopped,
}

/// Sends a request and reads the head of the answer.
///
/// # Errors
///
/// Returns the cause if there is no valid answer; the connection is closed.
pub async fn send(
    server: &Server,
    permit: Permit,
    request: &OutgoingRequest<'_>,
    names: &HeaderNames,
    clock: Clock,
) -> Result<Answer, FailureCause> {
    permit.check().map_err(FailureCause::Withheld)?;
    let pooled = PooledConn::open(server, request.reuse, clock.now_ms()).await;
    let mut pooled = pooled.map_err(|_| FailureCause::Unreachable)?;
    permit.redeem().map_err(FailureCause::Withheld)?;
    let (head, summary) = exchange(&mut pooled, request, names).await?;
    server.record_success(clock.now_ms());
    let body = Body::new(head.framing);
    Ok(Answer {
        head,
        summary,
        pooled,
        body,
    })
}

async fn exchange(
    pooled: &mut PooledConn,
    request: &OutgoingRequest<'_>,
    names: &HeaderNames,
) -> Result<(ResponseHead, AnswerSummary), FailureCause> {
    let origin = pooled.origin;
    let (read, buf, write) = pooled.conn.split();
    let writing = async {
        write.write_all(&request.head).await?;
        write.write_all(&request.body).await
    };
    tokio::pin!(writing);
    let mut sent = WriteProgress::Partly;
    let mut foreign = ForeignAnswers::default();
    loop {
        if let Some(head) = next_head(buf, &mut foreign, request, names, origin)? {
            let summary = AnswerSummary::of(&head, names, origin, sent, foreign.passed_over);
            return Ok((head, summary));
        }
        tokio::select! {
            biased;
            result = &mut writing, if sent == WriteProgress::Partly => match result {
                Ok(()) => sent = WriteProgress::Whole,
                // Reading goes on: the server may have answered before it closed the connection.
                Err(_) => sent = WriteProgress::Stopped,
            },
            result = crate::http::fill(read, buf) => match result {
                Ok(0) | Err(_) => return Err(FailureCause::Broken),
                Ok(_) => {}
            },
        }
    }
}

/// Answers on a connection that belong to other requests, and interim responses.
#[derive(Default)]
struct ForeignAnswers {
    /// Number of answers skipped.
    passed_over: u32,
    /// Number of interim (1xx) responses skipped.
    interim: u32,
    /// Number of body bytes skipped.
    bytes: usize,
    /// The body that is being skipped.
    body: Option<Body>,
}

/// The head that answers this request, or `None` when more bytes are needed. Answers to other
/// requests are skipped with their bodies.
fn next_head(
    buf: &mut BytesMut,
    foreign: &mut ForeignAnswers,
    request: &OutgoingRequest<'_>,
    names: &HeaderNames,
    origin: ConnOrigin,
) -> Result<Option<ResponseHead>, FailureCause> {
    loop {
        if let Some(body) = &mut foreign.body {
            let mut dropped = BytesMut::new();
            let progress = body
                .read(buf, &mut dropped)
                .map_err(|_| FailureCause::Garbled)?;
            foreign.bytes += dropped.len();
            if foreign.bytes > FOREIGN_LIMIT_BYTES {
                return Err(FailureCause::Garbled);
            }
            if progress == Progress::More {
                return Ok(None);
            }
            foreign.body = None;
        }
        let head = response_head(buf, HEAD_LIMIT_BYTES, request.method);
        let Some(head) = head.map_err(|_| FailureCause::Garbled)? else {
            return Ok(None);
        };
        if foreign.passed_over + foreign.interim >= FOREIGN_HEADS_LIMIT {
            return Err(FailureCause::Garbled);
        }
        if head.is_interim() {
            foreign.interim += 1;
            continue;
        }
        let position = match (origin, foreign.passed_over) {
            (ConnOrigin::Fresh, 0) => AnswerPosition::First,
            _ => AnswerPosition::Later,
        };
        match ownership(&head, request, names, position) {
            Ownership::Own => return Ok(Some(head)),
            Ownership::Other => {
                foreign.passed_over += 1;
                foreign.body = Some(Body::new(head.framing));
            }
            Ownership::Unclear => return Err(FailureCause::Garbled),
        }
    }
}

/// Whether an answer belongs to the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    Own,
    Other,
    Unclear,
}

/// Position of an answer on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerPosition {
    /// The first answer cannot belong to an earlier request.
    First,
    Later,
}

fn ownership(
    head: &ResponseHead,
    request: &OutgoingRequest<'_>,
    names: &HeaderNames,
    position: AnswerPosition,
) -> Ownership {
    let echoed = head.fields.text(names.request_id);
    match (echoed, request.request_id) {
        (Some(echoed), Some(sent)) if echoed == sent => Ownership::Own,
        (Some(_), Some(_)) => Ownership::Other,
        (Some(_), None) => Ownership::Unclear,
        // A server that refuses a request early may not have read its identifier.
        (None, _) if position == AnswerPosition::First && head.status >= 400 => Ownership::Own,
        (None, None) if !promises_not_run(head.status) => Ownership::Own,
        (None, _) => Ownership::Unclear,
    }
}

impl Answer {
    /// The next bytes of the body; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the framing is malformed.
    pub async fn next_data(&mut self) -> Result<Option<BytesMut>, FailureCause> {
        let mut out = BytesMut::new();
        loop {
            let progress = self.body.read(&mut self.pooled.conn.buf, &mut out);
            let progress = progress.map_err(|_| FailureCause::Garbled)?;
            if !out.is_empty() {
                return Ok(Some(out));
            }
            if progress == Progress::Done {
                return Ok(None);
            }
            match self.pooled.conn.fill().await {
                Ok(0) if self.may_end_with_connection() => return Ok(None),
                Ok(0) | Err(_) => return Err(FailureCause::Broken),
                Ok(_) => {}
            }
        }
    }

    /// Whether the body is complete if the connection ends now. After an early response the end may
    /// be a reset whose error a write to the connection has consumed.
    fn may_end_with_connection(&self) -> bool {
        self.body.is_done()
            || self.summary.sent == WriteProgress::Whole && self.body.ends_with_connection()
    }

    /// Reads the whole body and accounts for its bytes in `held`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off, exceeds `BUFFERED_ANSWER_LIMIT_BYTES`, or must yield
    /// to others in the memory for bodies.
    pub async fn read_whole(&mut self, held: &mut BodyReservation) -> Result<Bytes, FailureCause> {
        let mut whole = BytesMut::new();
        loop {
            let part = tokio::select! {
                biased;
                part = self.next_data() => part?,
                () = held.must_yield() => return Err(FailureCause::Unheld),
            };
            let Some(part) = part else {
                return Ok(whole.freeze());
            };
            if whole.is_empty() {
                whole = part;
            } else {
                whole.extend_from_slice(&part);
            }
            if whole.len() > BUFFERED_ANSWER_LIMIT_BYTES {
                return Err(FailureCause::Garbled);
            }
            let grown = held.grow(whole.capacity()).await;
            grown.map_err(|_| FailureCause::Unheld)?;
        }
    }

    /// Drops an answer that is not relayed. The connection returns to the pool if the body ends
    /// within `DISCARD_TIMEOUT_MS`.
    pub async fn discard(mut self, server: &Server, clock: Clock) {
        let rest = async {
            while let Some(part) = self.next_data().await? {
                drop(part);
            }
            Ok::<(), FailureCause>(())
        };
        let rest = tokio::time::timeout(Duration::from_millis(DISCARD_TIMEOUT_MS), rest).await;
        if let Ok(Ok(_)) = rest {
            self.release(server, clock.now_ms());
        }
    }

    /// Returns the connection to the pool if it is clean. A connection whose answer doesn't echo
    /// the request identifier is closed: a duplicate of this answer would be taken for the answer
    /// to the next request.
    pub fn release(self, server: &Server, now_ms: Millisecond) {
        let clean = self.summary.sent == WriteProgress::Whole
            && self.body.is_done()
            && self.pooled.conn.buf.is_empty()
            && self.summary.naming == RequestNaming::Named
            && self.head.keeps_alive();
        if clean {
            let idle_ms = idle_ms(&self.head);
            self.pooled.keep_idle(server, idle_ms, now_ms);
        }
    }
}

/// The server's idle timeout, from `Keep-Alive: timeout=SECONDS`.
fn idle_ms(head: &ResponseHead) -> Option<Millisecond> {
    let text = head.fields.text("keep-alive")?;
    for word in text.split(',') {
        let Some(seconds) = word.trim().strip_prefix("timeout=") else {
            continue;
        };
        return seconds.trim().parse::<u64>().ok().map(|s| s * 1_000);
    }
    None
}

/// The instant `ms` milliseconds from now.
pub fn deadline_in(ms: Millisecond) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
