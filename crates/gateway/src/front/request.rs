//! Reads requests from a caller's connection.

use std::time::Duration;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, timeout_at};

use crate::belief::directory::CallerLimits;
use crate::decide::body_memory::BodyReservation;
use crate::http::{Body, Conn, HeadError, Progress, RequestHead, request_head, skip_empty_lines};

/// Longest wait for the next bytes of a body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Bytes,
    /// Time at which the head was complete.
    pub received_ms: Millisecond,
    /// Memory reserved for the body until the request has been served.
    pub held: BodyReservation,
    pub source: RequestSource,
}

/// Who sent a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSource {
    Caller,
    /// A node that does not reach the servers itself.
    OtherNode,
}

/// Reasons why no request could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended, or was idle for too long between requests.
    Ended,
    /// The bytes are not an HTTP request.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    /// The process has no memory left for the body.
    NoRoom,
    /// The head or the next part of the body did not arrive in time.
    TooSlow,
    /// The task panicked.
    Panicked,
    /// The process ends before the whole request has arrived.
    ProcessEnds,
}

/// Waits for the first bytes of the next request. `idle_timeout_ms` gives the timeout in force; a
/// wait ends by the longest of those in force at its begin and at each expiry, since the caller may
/// know no newer one.
///
/// # Errors
///
/// Returns an error if the connection ends, or is idle for too long.
pub async fn wait_for_request(
    conn: &mut Conn,
    idle_timeout_ms: impl Fn() -> Millisecond,
) -> Result<(), ReadError> {
    let started = Instant::now();
    let end = || started + Duration::from_millis(idle_timeout_ms());
    let mut until = end();
    loop {
        skip_empty_lines(&mut conn.buf);
        if !conn.buf.is_empty() {
            return Ok(());
        }
        let received = match timeout_at(until, conn.fill()).await {
            Ok(received) => received,
            Err(_) if end() > until => {
                until = end();
                continue;
            }
            Err(_) if conn.has_unread_bytes() => conn.fill().await,
            Err(_) => return Err(ReadError::Ended),
        };
        if !matches!(received, Ok(bytes) if bytes > 0) {
            return Err(ReadError::Ended);
        }
    }
}

/// Reads a request head, whose first bytes have arrived.
///
/// # Errors
///
/// Returns an error if the connection ends, or if the head is malformed, too large or late.
pub async fn read_head(conn: &mut Conn, limits: &CallerLimits) -> Result<RequestHead, ReadError> {
    let until = Instant::now() + Duration::from_millis(limits.head_timeout_ms);
    loop {
        match request_head(&mut conn.buf, limits.head_bytes) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(HeadError::TooLarge) => return Err(ReadError::HeadTooLarge),
            Err(HeadError::Malformed | HeadError::Ambiguous) => return Err(ReadError::Malformed),
        }
        match timeout_at(until, conn.fill()).await {
            Ok(Ok(0) | Err(_)) => return Err(ReadError::Ended),
            Ok(Ok(_)) => {}
            Err(_) => return Err(ReadError::TooSlow),
        }
    }
}

/// Reads the body that belongs to `head`, and accounts for its bytes in `held`.
///
/// # Errors
///
/// Returns an error if the connection ends, or if the body is malformed, too large or late, or
/// doesn't fit into the memory that is left for bodies.
pub async fn read_body(
    conn: &mut Conn,
    head: &RequestHead,
    limits: &CallerLimits,
    held: &mut BodyReservation,
) -> Result<Bytes, ReadError> {
    let mut body = Body::new(head.framing);
    if body.is_done() {
        return Ok(Bytes::new());
    }
    if head.fields.contains_token("expect", "100-continue") && conn.buf.is_empty() {
        let go_on = conn.send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|_| ReadError::Ended)?;
    }
    let mut whole = BytesMut::new();
    loop {
        let progress = body.read(&mut conn.buf, &mut whole);
        let progress = progress.map_err(|_| ReadError::Malformed)?;
        if whole.len() > limits.body_bytes {
            return Err(ReadError::BodyTooLarge);
        }
        let grown = held.grow(whole.capacity()).await;
        grown.map_err(|_| ReadError::NoRoom)?;
        if progress == Progress::Done {
            return Ok(whole.freeze());
        }
        let filled = tokio::select! {
            biased;
            filled = tokio::time::timeout(BODY_READ_TIMEOUT, conn.fill()) => filled,
            () = held.must_yield() => return Err(ReadError::NoRoom),
        };
        match filled {
            Ok(Ok(0) | Err(_)) => return Err(ReadError::Ended),
            Ok(Ok(_)) => {}
            Err(_) => return Err(ReadError::TooSlow),
        }
    }
}
