//! Listeners for callers, the load balancer's readiness checks, metrics and peers.

use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::BytesMut;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, Socket};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use super::caller;
use super::local_reply::reason;
use super::readiness::{Readiness, readiness};
use super::relay::RELAY_PREFIX;
use crate::belief::directory::CallerLimits;
use crate::front::request::{read_head, wait_for_request};
use crate::http::{AnswerBody, Conn, HeadWriter, RequestHead, set_tcp_options};
use crate::node::{Node, Phase};
use crate::peer::pull::PULL_LIMIT;
use crate::peer::{exchange, serve as serve_peer};
use crate::settings::Listen;
use crate::tasks;

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// TCP user timeout of accepted connections.
const UNACKNOWLEDGED_TIMEOUT_MS: Millisecond = 5_000;

/// Time for which an answer to another node counts as taking a part of the link; later the other node
/// is probably gone.
const PROMISE_LIMIT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerPurpose {
    /// Requests of callers.
    Callers,
    /// Readiness checks of the load balancer.
    Ready,
    /// Metrics in the Prometheus text format.
    Metrics,
    /// Requests of other nodes for the directory and the registry.
    Peers,
}

/// The process cannot listen on an address.
#[derive(Debug, Snafu)]
#[snafu(display(
    "{key}: the process cannot listen on {address}: {source}. Free the address, or set another."
))]
pub struct ListenError {
    /// The settings key.
    key: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Bound sockets of a process that doesn't serve yet.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
    addresses: Listen,
}

impl Listeners {
    /// Listens on all addresses; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is not free.
    pub async fn bind(listen: &Listen) -> Result<Self, ListenError> {
        let (callers, callers_at) = bind("listen.callers", listen.callers)?;
        let (ready, ready_at) = bind("listen.ready", listen.ready)?;
        let (metrics, metrics_at) = bind("listen.metrics", listen.metrics)?;
        let key = "listen.peers";
        let (peers, peers_at) = bind(key, listen.peers)?;
        let datagrams = UdpSocket::bind(peers_at).await;
        let datagrams = datagrams.context(ListenSnafu {
            key,
            address: peers_at,
        })?;
        Ok(Self {
            callers,
            ready,
            metrics,
            peers,
            datagrams,
            addresses: Listen {
                callers: callers_at,
                ready: ready_at,
                metrics: metrics_at,
                peers: peers_at,
            },
        })
    }

    /// The bound addresses, with the ports that were selected for port 0.
    pub fn addresses(&self) -> Listen {
        self.addresses
    }

    /// Starts serving all sockets on the current local task set.
    pub fn serve(self, node: &Rc<Node>) {
        let listeners = [
            (ListenerPurpose::Ready, self.ready),
            (ListenerPurpose::Metrics, self.metrics),
            (ListenerPurpose::Peers, self.peers),
            (ListenerPurpose::Callers, self.callers),
        ];
        for (purpose, listener) in listeners {
            let (node, listener) = (node.clone(), Rc::new(listener));
            tasks::supervise("accept", move || {
                accept(node.clone(), purpose, listener.clone())
            });
        }
        exchange::spawn(node, self.datagrams);
    }
}

fn bind(key: &'static str, address: SocketAddr) -> Result<(TcpListener, SocketAddr), ListenError> {
    let listener = listen(address).context(ListenSnafu { key, address })?;
    let bound = listener
        .local_addr()
        .context(ListenSnafu { key, address })?;
    Ok((listener, bound))
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(node: Rc<Node>, purpose: ListenerPurpose, listener: Rc<TcpListener>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_closing(&node), if purpose == ListenerPurpose::Callers => {
                return accept_backlog(&node, &listener);
            }
        };
        match accepted {
            Ok((stream, _)) => serve_connection(&node, purpose, stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn serve_connection(node: &Rc<Node>, purpose: ListenerPurpose, stream: TcpStream) {
    set_tcp_options(&stream, UNACKNOWLEDGED_TIMEOUT_MS);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        match purpose {
            ListenerPurpose::Callers => caller::run(node, stream).await,
            ListenerPurpose::Ready | ListenerPurpose::Metrics | ListenerPurpose::Peers => {
                serve_queries(&node, purpose, stream).await;
            }
        }
    });
}

/// Accepts the connections that the system has already opened for callers, and refuses later ones.
/// Closing the listener would reset those that wait, with the requests on them.
fn accept_backlog(node: &Rc<Node>, listener: &TcpListener) {
    let socket = SockRef::from(listener);
    loop {
        match accept_waiting(&socket) {
            Ok(stream) => serve_connection(node, ListenerPurpose::Callers, stream),
            Err(error) => match error.kind() {
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                _ => break,
            },
        }
    }
    // The listener itself is closed when its task has ended, which may be a little later.
    let _ = socket.shutdown(Shutdown::Both);
}

/// Accepts a connection that the event loop may not have reported yet.
fn accept_waiting(listener: &Socket) -> std::io::Result<TcpStream> {
    let (socket, _) = listener.accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

/// Returns when the process accepts no more callers.
async fn wait_for_closing(node: &Node) {
    while matches!(node.phase.get(), Phase::Serving | Phase::Draining) {
        node.phase_changed.notified().await;
    }
}

/// Answers internal requests, which have no body, until the connection ends.
async fn serve_queries(node: &Rc<Node>, purpose: ListenerPurpose, stream: TcpStream) {
    let limits = CallerLimits::default();
    let mut conn = Conn::from_stream(stream);
    while wait_for_request(&mut conn, || limits.idle_timeout_ms)
        .await
        .is_ok()
        && let Ok(head) = read_head(&mut conn, &limits).await
    {
        if purpose == ListenerPurpose::Peers && head.target.starts_with(RELAY_PREFIX) {
            return caller::run_relayed(node, &mut conn, head).await;
        }
        let (status, body) = match purpose {
            ListenerPurpose::Ready => readiness_answer(node),
            ListenerPurpose::Metrics => (200, node.metrics.text(node).into_bytes()),
            ListenerPurpose::Peers => return serve_pull(node, &mut conn, &head).await,
            ListenerPurpose::Callers => (404, Vec::new()),
        };
        let sent = conn.send(&response(&head, status, None, &body)).await;
        if sent.is_err() || !head.keeps_alive() {
            return;
        }
    }
}

/// Answers a pull of another node, which closes the connection when it has the whole answer.
async fn serve_pull(node: &Rc<Node>, conn: &mut Conn, head: &RequestHead) {
    let answer = serve_peer::answer(node, head);
    let response = response(head, answer.status, answer.coding, &answer.body);
    let mut sent = std::pin::pin!(async {
        conn.send(&response).await?;
        conn.fill().await
    });
    match tokio::time::timeout(PROMISE_LIMIT, &mut sent).await {
        Ok(Ok(0)) => {
            if let Some(promise) = answer.promise {
                promise.complete();
            }
        }
        Ok(_) => {}
        Err(_) => {
            drop(answer.promise);
            // A pull that ends without its answer asks again.
            let _ = tokio::time::timeout(PULL_LIMIT - PROMISE_LIMIT, sent).await;
        }
    }
}

fn response(to: &RequestHead, status: u16, coding: Option<&str>, body: &[u8]) -> BytesMut {
    let mut out = BytesMut::with_capacity(256 + body.len());
    let mut head = HeadWriter::response(&mut out, status, reason(status))
        .number("Content-Length", body.len() as u64);
    if let Some(coding) = coding {
        head = head.field("Content-Encoding", coding.as_bytes());
    }
    head.end();
    AnswerBody::of_answer_to(&to.method).put(&mut out, body);
    out
}

fn readiness_answer(node: &Node) -> (u16, Vec<u8>) {
    let (status, text) = match readiness(node) {
        Readiness::Ready => (200, "ready"),
        Readiness::Draining => (503, "draining"),
        Readiness::NoDirectory => (503, "no configuration is known"),
        Readiness::NoRegistry => (503, "no backend servers are known"),
    };
    (status, text.as_bytes().to_vec())
}
