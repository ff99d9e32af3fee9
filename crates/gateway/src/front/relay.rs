//! Requests that a node without paths to the backend servers passes on to another node, which
//! serves them as if they had come from the caller.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use serde::Serialize;
use tokio::time::{Instant, timeout_at};

use super::answer::{BodyKind, write_head};
use super::local_reply::LocalReply;
use super::request::Request;
use super::serve::{AnswerProgress, CallerWriter, ServeOutcome};
use crate::decide::reach::Reach;
use crate::http::{
    Body, Conn, ConnOptions, Framing, HeadWriter, Progress, ResponseHead, put_chunk,
};
use crate::node::{Node, Phase};

/// Prefix of the targets of relayed requests at the peers' port.
pub const RELAY_PREFIX: &str = "/relayed";

/// Status by which a node returns a relayed request that it does not serve. Nodes and servers send
/// it to no caller.
pub const NOT_TAKEN_STATUS: u16 = 421;

/// Most relayed requests that a node serves at the same time.
const RELAYED_LIMIT: u32 = 256;

/// Most nodes to which a request is passed one after the other.
const HELPERS_LIMIT: usize = 3;

/// Time that the other node's own reply at the deadline takes to arrive.
const REPLY_MARGIN_MS: Millisecond = 150;

/// Longest head of an answer.
const HEAD_LIMIT_BYTES: usize = 32 * 1024;

const CONN_OPTIONS: ConnOptions = ConnOptions {
    connect_timeout_ms: 300,
    unacknowledged_timeout_ms: 1_500,
};

/// How far a relayed request got at one node.
enum HelperOutcome {
    /// The node was not reached, or does not take the request.
    NotTaken,
    Served(ServeOutcome),
}

#[derive(Serialize)]
struct RelayedFields<'a> {
    request: Option<&'a str>,
    to: SocketAddr,
    outcome: &'static str,
    status: u16,
    took_ms: Millisecond,
    left_ms: Millisecond,
}

/// Whether this node should pass requests on: it has lost its paths to the servers.
pub fn is_needed(node: &Node) -> bool {
    node.reach.borrow().reach() == Reach::Lost
}

/// Passes a request on. `deadline_ms` is the deadline on this node's clock. Returns `None` if no
/// other node takes the request, so that it was not run.
pub async fn relay(
    node: &Rc<Node>,
    request: &Request,
    deadline_ms: Millisecond,
    out: &mut CallerWriter<'_>,
) -> Option<ServeOutcome> {
    let _counted = CountGuard::new(&node.in_flight);
    let mut tried = Vec::new();
    while tried.len() < HELPERS_LIMIT {
        let helper = choose_helper(node, &tried)?;
        tried.push(helper);
        let started_ms = node.now_ms();
        let left_ms = deadline_ms.saturating_sub(started_ms);
        let outcome = relay_to(node, helper, request, left_ms, out).await;
        report(node, request, helper, &outcome, started_ms, deadline_ms);
        match outcome {
            HelperOutcome::Served(served) => return Some(served),
            HelperOutcome::NotTaken => node.peers.borrow_mut().mark_lost(helper),
        }
    }
    None
}

/// Draws a node that reaches the servers: the first time one of the same failure domain, if there
/// is any, then any other.
fn choose_helper(node: &Node, tried: &[SocketAddr]) -> Option<SocketAddr> {
    let domain = &node.settings.node.failure_domain;
    let (same, others) = node.peers.borrow().helpers(domain, node.now_ms());
    let untried = |addresses: Vec<SocketAddr>| -> Vec<SocketAddr> {
        let kept = addresses.into_iter().filter(|a| !tried.contains(a));
        kept.collect()
    };
    let (same, others) = (untried(same), untried(others));
    let prefers_same = tried.is_empty() || others.is_empty();
    let candidates = match prefers_same && !same.is_empty() {
        true => same,
        false => others,
    };
    let drawn = (node.random_fraction() * candidates.len() as f64) as usize;
    candidates.get(drawn).copied()
}

async fn relay_to(
    node: &Node,
    helper: SocketAddr,
    request: &Request,
    left_ms: Millisecond,
    out: &mut CallerWriter<'_>,
) -> HelperOutcome {
    let Ok(mut conn) = Conn::open(helper, CONN_OPTIONS).await else {
        return HelperOutcome::NotTaken;
    };
    let until = Instant::now() + Duration::from_millis(left_ms + REPLY_MARGIN_MS);
    let exchange = async {
        conn.send(&relayed_head(node, request, left_ms)).await?;
        conn.send(&request.body).await?;
        conn.response_head(HEAD_LIMIT_BYTES, &request.head.method)
            .await
    };
    let head = match timeout_at(until, exchange).await {
        Ok(Ok(head)) => head,
        Ok(Err(_)) => return HelperOutcome::Served(ServeOutcome::Local(answer_lost())),
        Err(_) => return HelperOutcome::Served(ServeOutcome::Local(LocalReply::timed_out())),
    };
    if head.status == NOT_TAKEN_STATUS {
        return HelperOutcome::NotTaken;
    }
    HelperOutcome::Served(pass_answer(&mut conn, &head, until, out).await)
}

/// The request with its fields, its remaining time, and a target of the peers' port.
fn relayed_head(node: &Node, request: &Request, left_ms: Millisecond) -> Bytes {
    let names = &node.dialect.names;
    let sent = &request.head;
    let mut out = BytesMut::with_capacity(1_024);
    let target = format!("{RELAY_PREFIX}{}", sent.target);
    let mut head = HeadWriter::request(&mut out, &sent.method, &target);
    for (name, value) in sent.fields.iter() {
        let same = |other: &str| name.eq_ignore_ascii_case(other);
        let rewritten = same("content-length") || same("expect") || same(names.time_left_ms);
        if rewritten || sent.fields.is_hop_by_hop(name) {
            continue;
        }
        head = head.field(name, value);
    }
    head.number("Content-Length", request.body.len() as u64)
        .number(names.time_left_ms, left_ms.max(1))
        .field("Connection", b"close")
        .end();
    out.freeze()
}

/// Passes the answer to the caller as it arrives. Its head waits for the first bytes of the body,
/// so that an answer that is lost before them is replaced by a reply.
async fn pass_answer(
    conn: &mut Conn,
    head: &ResponseHead,
    until: Instant,
    out: &mut CallerWriter<'_>,
) -> ServeOutcome {
    let length = head.fields.number("content-length");
    let kind = match length {
        Some(bytes) => BodyKind::Whole(bytes as usize),
        None if head.framing == Framing::Empty => BodyKind::Whole(0),
        None => BodyKind::Chunks,
    };
    let mut bytes = BytesMut::new();
    write_head(&mut bytes, head, kind, out);
    let mut body = Body::new(head.framing);
    let mut piece = BytesMut::new();
    loop {
        let Ok(progress) = body.read(&mut conn.buf, &mut piece) else {
            return end_without_answer(out, answer_lost());
        };
        if !piece.is_empty() || progress == Progress::Done {
            match kind {
                BodyKind::Whole(_) => bytes.extend_from_slice(&piece),
                BodyKind::Chunks => put_chunk(&mut bytes, &piece),
            }
            if progress == Progress::Done && kind == BodyKind::Chunks {
                bytes.extend_from_slice(b"0\r\n\r\n");
            }
            if out.send(&bytes).await.is_err() {
                return ServeOutcome::CallerGone;
            }
            piece.clear();
            bytes.clear();
        }
        if progress == Progress::Done {
            let status = head.status;
            return ServeOutcome::Passed { status };
        }
        match timeout_at(until, conn.fill()).await {
            Ok(Ok(received)) if received > 0 => {}
            Ok(_) => return end_without_answer(out, answer_lost()),
            Err(_) => return end_without_answer(out, LocalReply::timed_out()),
        }
    }
}

/// Ends with `reply`, or breaks off if part of the answer has been written.
fn end_without_answer(out: &CallerWriter<'_>, reply: LocalReply) -> ServeOutcome {
    match out.progress() {
        AnswerProgress::Nothing => ServeOutcome::Local(reply),
        AnswerProgress::Begun => ServeOutcome::BrokenOff,
    }
}

fn answer_lost() -> LocalReply {
    let text = "The answer of the node that served the request was lost; it may have run.";
    LocalReply::unknown(502, "answer_lost", text)
}

/// Whether this node takes a relayed request.
pub fn takes_relayed(node: &Node) -> Option<CountGuard<'_>> {
    let is_free = node.relayed.get() < RELAYED_LIMIT;
    let serves = matches!(node.phase.get(), Phase::Serving | Phase::Draining) && !is_needed(node);
    (is_free && serves).then(|| CountGuard::new(&node.relayed))
}

/// Counts a request while it lasts.
pub struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

fn report(
    node: &Node,
    request: &Request,
    to: SocketAddr,
    outcome: &HelperOutcome,
    started_ms: Millisecond,
    deadline_ms: Millisecond,
) {
    let (outcome, status) = match outcome {
        HelperOutcome::NotTaken => ("not_taken", 0),
        HelperOutcome::Served(ServeOutcome::Passed { status }) => ("passed", *status),
        HelperOutcome::Served(ServeOutcome::Local(reply)) => (reply.code, reply.status),
        HelperOutcome::Served(ServeOutcome::BrokenOff) => ("broken_off", 0),
        HelperOutcome::Served(ServeOutcome::CallerGone) => ("caller_gone", 0),
    };
    let now_ms = node.now_ms();
    let fields = RelayedFields {
        request: request.head.fields.text(node.dialect.names.request_id),
        to,
        outcome,
        status,
        took_ms: now_ms.saturating_sub(started_ms),
        left_ms: deadline_ms.saturating_sub(now_ms),
    };
    node.metrics.count_platform_call("relay", outcome);
    crate::log::emit(events::Code::RequestRelayed, &fields);
}
