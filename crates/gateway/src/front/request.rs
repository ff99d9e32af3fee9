//! Reads one request from a caller's connection.

use std::time::Duration;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, timeout_at};

use crate::belief::directory::CallerLimits;
use crate::decide::held::Part;
use crate::http::{Body, Conn, HeadError, Progress, RequestHead, request_head};

/// Longest wait for more of a body.
const BODY_PAUSE: Duration = Duration::from_secs(10);

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When its head was whole.
    pub received_ms: Millisecond,
    /// Room for its body, held while it is served.
    pub held: Part,
}

/// Why there is no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// The connection ended, or nothing came for too long between requests.
    Ended,
    /// The bytes are no request.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// This process has no room to hold its body.
    NoRoom,
    /// The rest did not come in time.
    TooSlow,
}

/// Waits for a head.
pub async fn read_head(conn: &mut Conn, limits: &CallerLimits) -> Result<RequestHead, Unread> {
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    let mut until = Instant::now() + idle;
    let mut begun = Begun::No;
    loop {
        match request_head(&mut conn.buf, limits.head_bytes) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(HeadError::TooLarge) => return Err(Unread::HeadTooLarge),
            Err(HeadError::Malformed | HeadError::Ambiguous) => return Err(Unread::Malformed),
        }
        if begun == Begun::No && !conn.buf.is_empty() {
            begun = Begun::Yes;
            until = Instant::now() + Duration::from_millis(limits.head_timeout_ms);
        }
        match timeout_at(until, conn.fill()).await {
            Ok(Ok(0) | Err(_)) => return Err(Unread::Ended),
            Ok(Ok(_)) => {}
            Err(_) if begun == Begun::Yes => return Err(Unread::TooSlow),
            Err(_) => return Err(Unread::Ended),
        }
    }
}

/// Reads the body that belongs to `head`.
pub async fn read_body(
    conn: &mut Conn,
    head: &RequestHead,
    limits: &CallerLimits,
    held: &mut Part,
) -> Result<Bytes, Unread> {
    let mut body = Body::new(head.framing);
    if body.is_done() {
        return Ok(Bytes::new());
    }
    if head.fields.contains_token("expect", "100-continue") && conn.buf.is_empty() {
        let go_on = conn.send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|_| Unread::Ended)?;
    }
    let mut whole = BytesMut::new();
    loop {
        let progress = body.read(&mut conn.buf, &mut whole);
        let progress = progress.map_err(|_| Unread::Malformed)?;
        if whole.len() > limits.body_bytes {
            return Err(Unread::BodyTooLarge);
        }
        held.set(whole.len()).map_err(|_| Unread::NoRoom)?;
        if progress == Progress::Done {
            return Ok(whole.freeze());
        }
        match tokio::time::timeout(BODY_PAUSE, conn.fill()).await {
            Ok(Ok(0) | Err(_)) => return Err(Unread::Ended),
            Ok(Ok(_)) => {}
            Err(_) => return Err(Unread::TooSlow),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Begun {
    Yes,
    No,
}
