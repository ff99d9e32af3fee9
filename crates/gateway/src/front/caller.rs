//! One caller's connection from its first request to its end.

use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

use super::local_reply::{ConnDisposition, LocalReply};
use super::request::{ReadError, Request, read_body, read_head};
use super::serve::{CallerWriter, ServeOutcome, conn_disposition, serve};
use crate::belief::directory::CallerLimits;
use crate::decide::promise::NotRun;
use crate::http::{Conn, fill};
use crate::node::{Node, Phase};

/// Bytes that a caller may send ahead of its turn.
const PIPELINED_LIMIT_BYTES: usize = 64 * 1024;

/// A node without room for a request's body has some again after a while: bodies end in seconds.
const NO_ROOM_RETRY_MS: Millisecond = 1_000;

/// How long the rest of a refused request is read, so that the refusal is not lost by a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long idle connections are kept while the process ends: until the balancer sends no more.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Serves one connection.
pub async fn run(node: Rc<Node>, stream: TcpStream) {
    node.callers.set(node.callers.get() + 1);
    let _count_guard = ConnCountGuard(node.clone());
    let mut conn = Conn::from_stream(stream);
    loop {
        let limits = node
            .directory()
            .map_or_else(CallerLimits::default, |d| d.limits);
        let request = tokio::select! {
            biased;
            request = read(&node, &mut conn, &limits) => request,
            () = drain_idle_timeout(&node) => return,
        };
        let request = match request {
            Ok(request) => request,
            Err(error) => return refuse(&node, &mut conn, error).await,
        };
        if serve_request(&node, &mut conn, &request).await == ConnDisposition::Close {
            return;
        }
    }
}

struct ConnCountGuard(Rc<Node>);

impl Drop for ConnCountGuard {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get().saturating_sub(1));
    }
}

async fn read(node: &Node, conn: &mut Conn, limits: &CallerLimits) -> Result<Request, ReadError> {
    let head = read_head(conn, limits).await?;
    let received_ms = node.now_ms();
    let mut held = node.body_memory.part();
    let body = read_body(conn, &head, limits, &mut held).await?;
    Ok(Request {
        held,
        head,
        body,
        received_ms,
    })
}

/// Ends when an idle connection is to be closed because the process ends.
async fn drain_idle_timeout(node: &Node) {
    while node.phase.get() == Phase::Serving {
        node.phase_changed.notified().await;
    }
    tokio::time::sleep(DRAIN_IDLE_TIMEOUT).await;
}

async fn serve_request(node: &Rc<Node>, conn: &mut Conn, request: &Request) -> ConnDisposition {
    let (read, buf, write) = conn.split();
    let disposition = conn_disposition(node, request);
    let mut out = CallerWriter { write, disposition };
    let served = tokio::select! {
        biased;
        // Looked at first: after a standstill the request and the caller's end come together.
        () = caller_disconnected(read, buf) => return ConnDisposition::Close,
        served = serve(node, request, &mut out) => served,
    };
    match served {
        ServeOutcome::Passed { .. } | ServeOutcome::Local(_)
            if disposition == ConnDisposition::Keep =>
        {
            ConnDisposition::Keep
        }
        ServeOutcome::Passed { .. } | ServeOutcome::Local(_) => {
            close_gracefully(conn).await;
            ConnDisposition::Close
        }
        ServeOutcome::BrokenOff | ServeOutcome::CallerGone => ConnDisposition::Close,
    }
}

/// Ends when the caller closes its connection; what it sends ahead is kept.
async fn caller_disconnected(read: &mut OwnedReadHalf, buf: &mut BytesMut) {
    loop {
        if buf.len() > PIPELINED_LIMIT_BYTES {
            return std::future::pending().await;
        }
        match fill(read, buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Tells the caller that nothing follows, and lets what is on its way arrive.
async fn close_gracefully(conn: &mut Conn) {
    let (read, buf, write) = conn.split();
    let _ = write.shutdown().await;
    buf.clear();
    let read_to_end = async {
        loop {
            buf.clear();
            match fill(read, buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, read_to_end).await;
}

async fn refuse(node: &Node, conn: &mut Conn, error: ReadError) {
    let reply = match error {
        ReadError::Ended => return,
        ReadError::Malformed => {
            LocalReply::rejection(400, "malformed", "Send one whole HTTP/1.1 request.")
        }
        ReadError::HeadTooLarge => {
            LocalReply::rejection(431, "head_too_large", "Send a shorter head.")
        }
        ReadError::BodyTooLarge => {
            LocalReply::rejection(413, "body_too_large", "Send a shorter body.")
        }
        ReadError::NoRoom => {
            let text = "This node holds too many long requests; come back, or send it elsewhere.";
            LocalReply::later(NotRun::unsent(), 503, "no_room", text, NO_ROOM_RETRY_MS)
        }
        ReadError::TooSlow => {
            let text = "Send the request at once.";
            LocalReply::refusal(NotRun::unsent(), 408, "too_slow", text)
        }
    };
    node.metrics.count_refusal(reply.code);
    let mut out = BytesMut::new();
    reply.write(&mut out, None, ConnDisposition::Close);
    if conn.send(&out).await.is_ok() {
        close_gracefully(conn).await;
    }
}
