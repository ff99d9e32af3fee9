//! One request to one backend server, up to the head of its answer and event by event after it.

use std::time::Duration;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::gate::Permit;
use super::pool::{ConnOrigin, PooledConn, Reuse};
use super::seen::{Naming, Seen};
use crate::belief::Server;
use crate::clock::Clock;
use crate::decide::held::Part;
use crate::decide::outcome::Cause;
use crate::decide::promise::promises;
use crate::dialect::HeaderNames;
use crate::http::{Body, Progress, ResponseHead, response_head};

/// Longest head of an answer.
const HEAD_LIMIT_BYTES: usize = 32 * 1024;

/// Longest wait for the rest of an answer that is not passed on, to keep its connection; the users'
/// sheets give a fresh one 1 ms of a server's time.
const DISCARD_MS: Millisecond = 5;

/// Heads before the one that answers a request: those that announce it, and other requests' answers.
/// A connection brings a second copy or two of what it was asked before.
const FOREIGN_HEADS: u32 = 8;

/// Bytes of other requests' answers that are passed over before the one that is waited for.
const FOREIGN_LIMIT_BYTES: usize = 256 * 1024;

/// Longest answer that is kept whole before it is passed on.
pub const WHOLE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// A request as it is sent.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Method.
    pub method: &'a str,
    /// Number that the answer must echo.
    pub request_id: Option<&'a str>,
    /// Head, ready to be written.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
    /// Which connection it may be sent on.
    pub reuse: Reuse,
}

/// An answer whose head has been read.
#[derive(Debug)]
pub struct Answer {
    /// Its head.
    pub head: ResponseHead,
    /// Where it came from.
    pub seen: Seen,
    link: PooledConn,
    body: Body,
}

/// Whether a request was written to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sent {
    /// It was.
    Whole,
    /// Not yet.
    Partly,
    /// The connection took no more of it.
    Stopped,
}

/// Sends a request and reads the answer's head.
///
/// # Errors
///
/// Why there is no answer; the connection is closed.
pub async fn send(
    server: &Server,
    permit: Permit,
    request: &Outgoing<'_>,
    names: &HeaderNames,
    clock: Clock,
) -> Result<Answer, Cause> {
    permit.check().map_err(Cause::Withheld)?;
    let link = PooledConn::open(server, request.reuse, clock.now_ms()).await;
    let mut link = link.map_err(|_| Cause::Unreachable)?;
    permit.redeem().map_err(Cause::Withheld)?;
    let (head, seen) = converse(&mut link, request, names).await?;
    server.record_success(clock.now_ms());
    let body = Body::new(head.framing);
    Ok(Answer {
        head,
        seen,
        link,
        body,
    })
}

async fn converse(
    link: &mut PooledConn,
    request: &Outgoing<'_>,
    names: &HeaderNames,
) -> Result<(ResponseHead, Seen), Cause> {
    let origin = link.origin;
    let (read, buf, write) = link.conn.split();
    let writing = async {
        write.write_all(&request.head).await?;
        write.write_all(&request.body).await
    };
    tokio::pin!(writing);
    let mut sent = Sent::Partly;
    let mut strays = Strays::default();
    loop {
        if let Some(head) = next_head(buf, &mut strays, request, names, origin)? {
            let seen = Seen::of(&head, names, origin, sent, strays.passed_over);
            return Ok((head, seen));
        }
        tokio::select! {
            biased;
            result = &mut writing, if sent == Sent::Partly => match result {
                Ok(()) => sent = Sent::Whole,
                // The server may have answered before it closed.
                Err(_) => sent = Sent::Stopped,
            },
            result = crate::http::fill(read, buf) => match result {
                Ok(0) | Err(_) => return Err(Cause::Broken),
                Ok(_) => {}
            },
        }
    }
}

/// Answers to other requests on a connection.
#[derive(Default)]
struct Strays {
    /// How many were passed over.
    passed_over: u32,
    /// Heads that only announce another one.
    interim: u32,
    /// Bytes of bodies that were passed over.
    bytes: usize,
    /// The body of one that has not ended yet.
    body: Option<Body>,
}

/// The next head that answers this request; heads of other requests are passed over with their
/// bodies.
fn next_head(
    buf: &mut BytesMut,
    strays: &mut Strays,
    request: &Outgoing<'_>,
    names: &HeaderNames,
    origin: ConnOrigin,
) -> Result<Option<ResponseHead>, Cause> {
    loop {
        if let Some(body) = &mut strays.body {
            let mut dropped = BytesMut::new();
            let progress = body.read(buf, &mut dropped).map_err(|_| Cause::Garbled)?;
            strays.bytes += dropped.len();
            if strays.bytes > FOREIGN_LIMIT_BYTES {
                return Err(Cause::Garbled);
            }
            if progress == Progress::More {
                return Ok(None);
            }
            strays.body = None;
        }
        let head = response_head(buf, HEAD_LIMIT_BYTES, request.method);
        let Some(head) = head.map_err(|_| Cause::Garbled)? else {
            return Ok(None);
        };
        if strays.passed_over + strays.interim >= FOREIGN_HEADS {
            return Err(Cause::Garbled);
        }
        if (100..200).contains(&head.status) {
            strays.interim += 1;
            continue;
        }
        let place = match (origin, strays.passed_over) {
            (ConnOrigin::Fresh, 0) => Place::First,
            _ => Place::Later,
        };
        match ownership(&head, request, names, place) {
            Ownership::Own => return Ok(Some(head)),
            Ownership::Other => {
                strays.passed_over += 1;
                strays.body = Some(Body::new(head.framing));
            }
            Ownership::Unclear => return Err(Cause::Garbled),
        }
    }
}

/// Whose answer a head belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    Own,
    Other,
    Unclear,
}

/// Where on its connection an answer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// It is the first, so it cannot belong to an earlier request.
    First,
    /// Others came before it.
    Later,
}

fn ownership(
    head: &ResponseHead,
    request: &Outgoing<'_>,
    names: &HeaderNames,
    place: Place,
) -> Ownership {
    let echoed = head.fields.text(names.request_id);
    match (echoed, request.request_id) {
        (Some(echoed), Some(sent)) if echoed == sent => Ownership::Own,
        (Some(_), Some(_)) => Ownership::Other,
        (Some(_), None) => Ownership::Unclear,
        // A server that refuses at once may not have read the identifier.
        (None, _) if place == Place::First && head.status >= 400 => Ownership::Own,
        (None, None) if !promises(head.status) => Ownership::Own,
        (None, _) => Ownership::Unclear,
    }
}

impl Answer {
    /// The next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection broke or the framing is wrong before the end.
    pub async fn next(&mut self) -> Result<Option<BytesMut>, Cause> {
        let mut out = BytesMut::new();
        loop {
            let progress = self.body.read(&mut self.link.conn.buf, &mut out);
            let progress = progress.map_err(|_| Cause::Garbled)?;
            if !out.is_empty() {
                return Ok(Some(out));
            }
            if progress == Progress::Done {
                return Ok(None);
            }
            match self.link.conn.fill().await {
                Ok(0) if self.body.ends_with_connection() => return Ok(None),
                Ok(0) | Err(_) => return Err(Cause::Broken),
                Ok(_) => {}
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// It breaks off, is too long to be kept, or there is no room for it now.
    pub async fn whole(&mut self, held: &mut Part) -> Result<Bytes, Cause> {
        let mut whole = BytesMut::new();
        while let Some(part) = self.next().await? {
            if whole.is_empty() {
                whole = part;
            } else {
                whole.extend_from_slice(&part);
            }
            if whole.len() > WHOLE_LIMIT_BYTES {
                return Err(Cause::Garbled);
            }
            held.set(whole.len()).map_err(|_| Cause::Unheld)?;
        }
        Ok(whole.freeze())
    }

    /// Ends an answer that is not passed on; its connection is kept if the body ends soon.
    pub async fn discard(mut self, server: &Server, clock: Clock) {
        let rest = async {
            while let Some(part) = self.next().await? {
                drop(part);
            }
            Ok::<(), Cause>(())
        };
        let rest = tokio::time::timeout(Duration::from_millis(DISCARD_MS), rest).await;
        if let Ok(Ok(_)) = rest {
            self.finish(server, clock.now_ms());
        }
    }

    /// Keeps the connection for another request if it is clean. One whose answer names no request is
    /// closed: a second copy of it would be taken for the next request's answer.
    pub fn finish(self, server: &Server, now_ms: Millisecond) {
        let clean = self.seen.sent == Sent::Whole
            && self.body.is_done()
            && self.link.conn.buf.is_empty()
            && self.seen.naming == Naming::Named
            && self.head.keeps_alive();
        if clean {
            let idle_ms = idle_ms(&self.head);
            self.link.keep_idle(server, idle_ms, now_ms);
        }
    }
}

/// Time for which the server keeps an idle connection, if it names one.
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

/// Instant `ms` from now.
pub fn after(ms: Millisecond) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
