//! The connection of one caller, from its first request to its end.

use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::BytesMut;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

use super::local_reply::{ConnDisposition, LocalReply};
use super::relay;
use super::request::{ReadError, Request, RequestSource, read_body, read_head, wait_for_request};
use super::serve::{
    AnswerProgress, CallerWriter, ServeOutcome, conn_disposition, node_closing, serve,
};
use crate::belief::directory::CallerLimits;
use crate::decide::body_memory::BodyOwner;
use crate::decide::not_run::NotRunProof;
use crate::http::{AnswerBody, Conn, HeadWriter, RequestHead, fill, skip_empty_lines};
use crate::node::{Node, Phase};
use crate::tasks::catch_panic;

/// Most bytes that are read ahead while a request is served. Beyond it, the caller's disconnect is
/// not detected until the request ends.
const PIPELINED_LIMIT_BYTES: usize = 64 * 1024;

/// `Retry-After` of a node without memory for another body; most bodies are complete, and their
/// memory free, within seconds.
const NO_ROOM_RETRY_MS: Millisecond = 1_000;

/// How long the caller's remaining bytes are read before the connection is closed. Closing it with
/// unread bytes would reset it, and the caller could lose the reply.
const LINGER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long idle connections stay open while the process drains: until the load balancer sends no
/// new callers.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

#[derive(Serialize)]
struct PanickedFields<'a> {
    request: Option<&'a str>,
    outcome: &'static str,
}

/// Serves one connection until it ends.
pub async fn run(node: Rc<Node>, stream: TcpStream) {
    node.callers.set(node.callers.get() + 1);
    let _count_guard = ConnCountGuard(node.clone());
    let mut conn = Conn::from_stream(stream);
    loop {
        if wait(&node, &mut conn).await.is_err() {
            return;
        }
        let mut body = AnswerBody::Sent;
        let request = tokio::select! {
            biased;
            request = catch_panic(read(&node, &mut conn, &mut body)) => {
                request.unwrap_or(Err(ReadError::Panicked))
            }
            () = process_ends(&node) => Err(ReadError::ProcessEnds),
        };
        let request = match request {
            Ok(request) => request,
            Err(error) => return refuse(&node, &mut conn, error, body).await,
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

/// The limits in force.
fn limits(node: &Node) -> CallerLimits {
    let directory = node.directory();
    directory.map_or_else(CallerLimits::default, |d| d.limits)
}

/// Waits for the first bytes of the next request.
async fn wait(node: &Node, conn: &mut Conn) -> Result<(), ReadError> {
    loop {
        tokio::select! {
            biased;
            waited = wait_for_request(conn, || limits(node).idle_timeout_ms) => return waited,
            () = drain_idle_timeout(node) => {}
        }
        if !conn.has_unread_bytes() {
            return Err(ReadError::Ended);
        }
    }
}

/// Reads a request whose first bytes have arrived. Sets whether its answer has a body once the head is
/// known, also if the rest can't be read.
async fn read(
    node: &Node,
    conn: &mut Conn,
    answer_body: &mut AnswerBody,
) -> Result<Request, ReadError> {
    let limits = limits(node);
    let head = read_head(conn, &limits).await?;
    *answer_body = AnswerBody::of_answer_to(&head.method);
    let received_ms = node.now_ms();
    let mut held = node.body_memory.reserve(BodyOwner::Request);
    let body = read_body(conn, &head, &limits, &mut held).await?;
    Ok(Request {
        held,
        head,
        body,
        received_ms,
        source: RequestSource::Caller,
    })
}

/// Serves a request that another node passes on.
pub async fn run_relayed(node: &Rc<Node>, conn: &mut Conn, mut head: RequestHead) {
    let received_ms = node.now_ms();
    let mut held = node.body_memory.reserve(BodyOwner::Request);
    let body = match read_body(conn, &head, &limits(node), &mut held).await {
        Ok(body) => body,
        Err(error) => {
            let answer_body = AnswerBody::of_answer_to(&head.method);
            return refuse(node, conn, error, answer_body).await;
        }
    };
    let Some(_count_guard) = relay::takes_relayed(node) else {
        let mut out = BytesMut::new();
        HeadWriter::response(&mut out, relay::NOT_TAKEN_STATUS, "Misdirected Request")
            .number("Content-Length", 0)
            .end();
        // If this answer is lost, the other node takes the request for one that may have run.
        let _ = conn.send(&out).await;
        return;
    };
    if let Some(target) = head.target.strip_prefix(relay::RELAY_PREFIX) {
        head.target = target.to_owned();
    }
    let request = Request {
        held,
        head,
        body,
        received_ms,
        source: RequestSource::OtherNode,
    };
    serve_request(node, conn, &request).await;
}

/// Returns when an idle connection must be closed because the process drains.
async fn drain_idle_timeout(node: &Node) {
    while node.phase.get() == Phase::Serving {
        node.phase_changed.notified().await;
    }
    tokio::time::sleep(DRAIN_IDLE_TIMEOUT).await;
}

/// How the work on a request ended.
enum WorkEnd {
    Served(ServeOutcome),
    Panicked,
    /// The process is about to end.
    ProcessEnds,
}

async fn serve_request(node: &Rc<Node>, conn: &mut Conn, request: &Request) -> ConnDisposition {
    request.held.mark_running();
    let (read, buf, write) = conn.split();
    skip_empty_lines(buf);
    let mut disposition = conn_disposition(node, request, buf);
    let body = AnswerBody::of_answer_to(&request.head.method);
    let mut out = CallerWriter::new(write, disposition, body);
    let end = tokio::select! {
        biased;
        // Polled first: when the process resumes after a pause, the request and the caller's
        // disconnect are read together.
        () = caller_disconnected(read, buf) => return ConnDisposition::Close,
        served = catch_panic(serve(node, request, &mut out)) => {
            served.map_or(WorkEnd::Panicked, WorkEnd::Served)
        }
        () = process_ends(node) => WorkEnd::ProcessEnds,
    };
    let served = match end {
        WorkEnd::Served(served) => served,
        WorkEnd::Panicked => {
            let id = request.head.fields.text(node.dialect.names.request_id);
            report_panic(node, id, out.progress());
            disposition = ConnDisposition::Close;
            out.disposition = disposition;
            reply_instead(node, request, &mut out, panic_reply()).await
        }
        WorkEnd::ProcessEnds => reply_instead(node, request, &mut out, node_stopped()).await,
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

/// Replies to a request whose work has ended early, unless an answer has begun.
async fn reply_instead(
    node: &Node,
    request: &Request,
    out: &mut CallerWriter<'_>,
    reply: LocalReply,
) -> ServeOutcome {
    if out.progress() == AnswerProgress::Begun {
        return ServeOutcome::BrokenOff;
    }
    let mut bytes = BytesMut::new();
    let names = &node.dialect.names;
    let id = request.head.fields.text(names.request_id);
    let echoed = id.map(|id| (names.request_id, id));
    reply.write(&mut bytes, echoed, out.disposition, out.body);
    match out.send(&bytes).await {
        Ok(()) => ServeOutcome::Local(reply),
        Err(_) => ServeOutcome::CallerGone,
    }
}

fn report_panic(node: &Node, request: Option<&str>, progress: AnswerProgress) {
    let fields = PanickedFields {
        request,
        outcome: match progress {
            AnswerProgress::Nothing => "replied",
            AnswerProgress::Begun => "broken_off",
        },
    };
    node.metrics.count_request_panic();
    crate::log::emit(events::Code::RequestPanicked, &fields);
}

/// Returns when the process is about to end.
async fn process_ends(node: &Node) {
    while node.phase.get() != Phase::Ending {
        node.phase_changed.notified().await;
    }
}

/// The last reply to a request whose server is still at work.
fn node_stopped() -> LocalReply {
    let text = "This node stops before the server has answered; the request may have run.";
    LocalReply::unknown(504, "node_stopped", text)
}

/// The reply to a request whose task panicked.
fn panic_reply() -> LocalReply {
    let text = "An internal error ended the request; it may have run.";
    LocalReply::unknown(500, "internal_error", text)
}

/// Returns when the caller closes its connection. Pipelined bytes stay in the buffer.
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

/// Shuts down the sending direction, then reads and drops what the caller still sends.
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

async fn refuse(node: &Node, conn: &mut Conn, error: ReadError, body: AnswerBody) {
    let reply = match error {
        ReadError::Ended => return,
        ReadError::Malformed => {
            LocalReply::rejection(400, "malformed", "Send a valid HTTP/1.1 request.")
        }
        ReadError::HeadTooLarge => LocalReply::rejection(
            431,
            "head_too_large",
            "Send fewer or shorter header fields.",
        ),
        ReadError::BodyTooLarge => {
            LocalReply::rejection(413, "body_too_large", "Send a shorter body.")
        }
        ReadError::NoRoom => {
            let text = "This node has no memory for another long body; retry later or elsewhere.";
            LocalReply::later(
                NotRunProof::unsent(),
                503,
                "no_room",
                text,
                NO_ROOM_RETRY_MS,
            )
        }
        ReadError::ProcessEnds => node_closing(),
        ReadError::Panicked => {
            report_panic(node, None, AnswerProgress::Nothing);
            panic_reply()
        }
        ReadError::TooSlow => {
            let text = "Send the whole request without long pauses.";
            LocalReply::refusal(NotRunProof::unsent(), 408, "too_slow", text)
        }
    };
    node.metrics.count_refusal(reply.code);
    let mut out = BytesMut::new();
    reply.write(&mut out, None, ConnDisposition::Close, body);
    if conn.send(&out).await.is_ok() {
        close_gracefully(conn).await;
    }
}
