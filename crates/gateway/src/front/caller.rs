//! One caller's connection from its first request to its end.

use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

use super::reply::{Afterwards, Reply};
use super::request::{Request, Unread, read_body, read_head};
use super::serve::{Out, Served, afterwards, serve};
use crate::belief::directory::CallerLimits;
use crate::decide::promise::NotRun;
use crate::http::{Conn, fill};
use crate::node::{Node, Phase};

/// Bytes that a caller may send ahead of its turn.
const AHEAD_LIMIT_BYTES: usize = 64 * 1024;

/// A node without room for a request's body has some again after a while: bodies end in seconds.
const NO_ROOM_MS: Millisecond = 1_000;

/// How long the rest of a refused request is read, so that the refusal is not lost by a reset.
const LINGER: Duration = Duration::from_millis(800);

/// How long idle connections are kept while the process ends: until the balancer sends no more.
const DRAIN_IDLE: Duration = Duration::from_millis(2_500);

/// Serves one connection.
pub async fn run(node: Rc<Node>, stream: TcpStream) {
    node.callers.set(node.callers.get() + 1);
    let _counted = Counted(node.clone());
    let mut conn = Conn::from_stream(stream);
    loop {
        let limits = node
            .directory()
            .map_or_else(CallerLimits::default, |d| d.limits);
        let request = tokio::select! {
            biased;
            request = read(&node, &mut conn, &limits) => request,
            () = idle_while_draining(&node) => return,
        };
        let request = match request {
            Ok(request) => request,
            Err(unread) => return refuse(&node, &mut conn, unread).await,
        };
        if answer(&node, &mut conn, &request).await == Afterwards::Close {
            return;
        }
    }
}

struct Counted(Rc<Node>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get().saturating_sub(1));
    }
}

async fn read(node: &Node, conn: &mut Conn, limits: &CallerLimits) -> Result<Request, Unread> {
    let head = read_head(conn, limits).await?;
    let received_ms = node.now_ms();
    let mut held = node.held.part();
    let body = read_body(conn, &head, limits, &mut held).await?;
    Ok(Request {
        held,
        head,
        body,
        received_ms,
    })
}

/// Ends when an idle connection is to be closed because the process ends.
async fn idle_while_draining(node: &Node) {
    while node.phase.get() == Phase::Serving {
        node.phase_changed.notified().await;
    }
    tokio::time::sleep(DRAIN_IDLE).await;
}

async fn answer(node: &Rc<Node>, conn: &mut Conn, request: &Request) -> Afterwards {
    let (read, buf, write) = conn.split();
    let afterwards = afterwards(node, request);
    let mut out = Out { write, afterwards };
    let served = tokio::select! {
        biased;
        // Looked at first: after a standstill the request and the caller's end come together.
        () = caller_left(read, buf) => return Afterwards::Close,
        served = serve(node, request, &mut out) => served,
    };
    match served {
        Served::Passed { .. } | Served::Own(_) if afterwards == Afterwards::Keep => {
            Afterwards::Keep
        }
        Served::Passed { .. } | Served::Own(_) => {
            finish(conn).await;
            Afterwards::Close
        }
        Served::BrokenOff | Served::CallerGone => Afterwards::Close,
    }
}

/// Ends when the caller closes its connection; what it sends ahead is kept.
async fn caller_left(read: &mut OwnedReadHalf, buf: &mut BytesMut) {
    loop {
        if buf.len() > AHEAD_LIMIT_BYTES {
            return std::future::pending().await;
        }
        match fill(read, buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Tells the caller that nothing follows, and lets what is on its way arrive.
async fn finish(conn: &mut Conn) {
    let (read, buf, write) = conn.split();
    let _ = write.shutdown().await;
    buf.clear();
    let rest = async {
        loop {
            buf.clear();
            match fill(read, buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    let _ = tokio::time::timeout(LINGER, rest).await;
}

async fn refuse(node: &Node, conn: &mut Conn, unread: Unread) {
    let reply = match unread {
        Unread::Ended => return,
        Unread::Malformed => Reply::rejection(400, "malformed", "Send one whole HTTP/1.1 request."),
        Unread::HeadTooLarge => Reply::rejection(431, "head_too_large", "Send a shorter head."),
        Unread::BodyTooLarge => Reply::rejection(413, "body_too_large", "Send a shorter body."),
        Unread::NoRoom => {
            let text = "This node holds too many long requests; come back, or send it elsewhere.";
            Reply::later(NotRun::unsent(), 503, "no_room", text, NO_ROOM_MS)
        }
        Unread::TooSlow => {
            let text = "Send the request at once.";
            Reply::refusal(NotRun::unsent(), 408, "too_slow", text)
        }
    };
    node.metrics.count_refusal(reply.code);
    let mut out = BytesMut::new();
    reply.write(&mut out, None, Afterwards::Close);
    if conn.send(&out).await.is_ok() {
        finish(conn).await;
    }
}
