//! Listeners for callers, for the balancer's question, for metrics and for peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::{BufMut, BytesMut};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use super::caller;
use super::ready::{Readiness, readiness};
use super::reply::reason;
use crate::belief::directory::CallerLimits;
use crate::front::request::read_head;
use crate::http::{Conn, HeadWriter, set_tcp_options};
use crate::node::{Node, Phase};
use crate::peer::{exchange, serve as serve_peer};
use crate::settings::Listen;
use crate::tasks;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after the system refused a connection, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes to a caller that stay unacknowledged for so long end its connection.
const UNACKNOWLEDGED_TIMEOUT_MS: Millisecond = 5_000;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Callers' requests.
    Callers,
    /// The balancer's question.
    Ready,
    /// Metrics, as text.
    Metrics,
    /// Other nodes' questions.
    Peers,
}

/// An address cannot be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("{key}: {address} cannot be listened on: {source}. Free it or name another."))]
pub struct ListenError {
    /// The settings key.
    key: &'static str,
    /// The address.
    address: SocketAddr,
    /// The system's error.
    source: std::io::Error,
}

/// Sockets of a process that serves nobody yet.
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
    /// Listens at all addresses; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on.
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

    /// Where they listen.
    pub fn addresses(&self) -> Listen {
        self.addresses
    }

    /// Serves what comes, on the current local task set.
    pub fn serve(self, node: &Rc<Node>) {
        let listeners = [
            (Purpose::Ready, self.ready),
            (Purpose::Metrics, self.metrics),
            (Purpose::Peers, self.peers),
            (Purpose::Callers, self.callers),
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

async fn accept(node: Rc<Node>, purpose: Purpose, listener: Rc<TcpListener>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(&node), if purpose == Purpose::Callers => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        set_tcp_options(&stream, UNACKNOWLEDGED_TIMEOUT_MS);
        let node = node.clone();
        tokio::task::spawn_local(async move {
            match purpose {
                Purpose::Callers => caller::run(node, stream).await,
                Purpose::Ready | Purpose::Metrics | Purpose::Peers => {
                    questions(&node, purpose, stream).await;
                }
            }
        });
    }
}

/// Ends when no more callers are taken.
async fn closing(node: &Node) {
    while node.phase.get() != Phase::Closing {
        node.phase_changed.notified().await;
    }
}

/// Answers questions without a body until the connection ends.
async fn questions(node: &Node, purpose: Purpose, stream: TcpStream) {
    let limits = CallerLimits::default();
    let mut conn = Conn::from_stream(stream);
    while let Ok(head) = read_head(&mut conn, &limits).await {
        let (status, body) = match purpose {
            Purpose::Ready => ready(node),
            Purpose::Metrics => (200, node.metrics.text(node).into_bytes()),
            Purpose::Peers => serve_peer::answer(node, &head),
            Purpose::Callers => (404, Vec::new()),
        };
        let mut out = BytesMut::with_capacity(256 + body.len());
        HeadWriter::response(&mut out, status, reason(status))
            .number("Content-Length", body.len() as u64)
            .end();
        out.put_slice(&body);
        if conn.send(&out).await.is_err() || !head.keeps_alive() {
            return;
        }
    }
}

fn ready(node: &Node) -> (u16, Vec<u8>) {
    let (status, text) = match readiness(node) {
        Readiness::Ready => (200, "ready"),
        Readiness::Draining => (503, "draining"),
        Readiness::NoDirectory => (503, "no configuration is known"),
        Readiness::NoRegistry => (503, "no backend servers are known"),
    };
    (status, text.as_bytes().to_vec())
}
