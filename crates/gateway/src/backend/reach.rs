//! Checks whether this node has lost its paths to all backend servers, and when they are back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::server_faults;
use crate::belief::Server;
use crate::decide::reach::Reach;
use crate::node::Node;

/// Number of servers to which connections are tried at once.
const PROBED_SERVERS: usize = 4;

/// A server that accepts no connection within this time counts as not reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two tries while the paths are lost.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// Longest wait for a heartbeat of a node that reaches servers: three periods of a small fleet, and
/// 840 ms in which a server answers some request of that node. With 400 ms, servers that answer after
/// 300 ms and more were taken for crashed. In a large fleet some node hears a server at any time.
const OTHERS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time between two looks at the heartbeats.
const OTHERS_PERIOD: Duration = Duration::from_millis(40);

#[derive(Serialize)]
struct ReachFields {
    /// Servers to which a connection was tried.
    probed: usize,
    /// Time since the first failure, or since the paths were lost.
    since_ms: Millisecond,
    /// Time since any server last sent a byte to this node.
    server_silence_ms: Option<Millisecond>,
    /// Whether another node has heard a server since the first failure.
    reached_by_others: bool,
}

/// Records a failure, and starts a check of the paths if it is due.
pub fn note_failure(node: &Rc<Node>, server: &Server) {
    let now_ms = node.now_ms();
    node.reach
        .borrow_mut()
        .record_failure(&server.record.id, now_ms);
    if check_due(node).is_some() {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            verify(&node).await;
        });
    }
}

/// Whether this node reaches servers. Checks it first if enough servers have failed.
pub async fn verify(node: &Rc<Node>) -> Reach {
    let _checking = node.reach_check.lock().await;
    let Some(failed_ms) = check_due(node) else {
        return node.reach.borrow().reach();
    };
    let targets = targets(node);
    let is_reached = reaches_any(&targets).await;
    let reached_by_others = !is_reached && wait_for_others(node, failed_ms).await;
    let now_ms = node.now_ms();
    let reach = match is_reached || !reached_by_others {
        true => Reach::Reached,
        false => Reach::Lost,
    };
    node.reach.borrow_mut().conclude(reach, now_ms);
    if reach == Reach::Lost {
        let fields = ReachFields {
            probed: targets.len(),
            since_ms: now_ms.saturating_sub(failed_ms),
            server_silence_ms: server_silence_ms(node),
            reached_by_others,
        };
        crate::log::emit(events::Code::PathsLost, &fields);
        close_idle(node);
        node.queues.wake_all();
        server_faults::drop_own(node);
        let node = node.clone();
        tokio::task::spawn_local(async move { wait_for_paths(&node).await });
    }
    reach
}

/// Whether another node has heard a server since `since_ms`. Waits for the next heartbeats, unless
/// no other node is known.
async fn wait_for_others(node: &Node, since_ms: Millisecond) -> bool {
    let until = Instant::now() + OTHERS_TIMEOUT;
    loop {
        if node.peers.borrow().reached_since(since_ms) {
            return true;
        }
        if Instant::now() >= until || node.node_count() == 1 {
            return false;
        }
        tokio::time::sleep(OTHERS_PERIOD).await;
    }
}

fn check_due(node: &Node) -> Option<Millisecond> {
    let known = node.registry.borrow().servers().count();
    let now_ms = node.now_ms();
    node.reach.borrow_mut().check_due(known, now_ms)
}

async fn wait_for_paths(node: &Rc<Node>) {
    let lost_ms = node.now_ms();
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        let targets = targets(node);
        if !reaches_any(&targets).await {
            continue;
        }
        let now_ms = node.now_ms();
        node.reach.borrow_mut().conclude(Reach::Reached, now_ms);
        let fields = ReachFields {
            probed: targets.len(),
            since_ms: now_ms.saturating_sub(lost_ms),
            server_silence_ms: server_silence_ms(node),
            reached_by_others: node.peers.borrow().reached_since(lost_ms),
        };
        crate::log::emit(events::Code::PathsBack, &fields);
        return;
    }
}

/// Servers to try, drawn at random.
fn targets(node: &Node) -> Vec<SocketAddr> {
    let registry = node.registry.borrow();
    let mut addresses: Vec<SocketAddr> = registry.servers().map(|s| s.record.address).collect();
    let mut targets = Vec::new();
    while targets.len() < PROBED_SERVERS && !addresses.is_empty() {
        let drawn = (node.random_fraction() * addresses.len() as f64) as usize;
        targets.push(addresses.swap_remove(drawn.min(addresses.len() - 1)));
    }
    targets
}

/// Whether a server accepts a connection within the time after which it counts as not reached.
pub async fn accepts_connection(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(PROBE_TIMEOUT, connecting).await;
    connected.is_ok_and(|c| c.is_ok())
}

async fn reaches_any(targets: &[SocketAddr]) -> bool {
    let probes = targets.iter().map(|target| accepts_connection(*target));
    let reached = futures_util::future::join_all(probes).await;
    reached.contains(&true)
}

/// Closes unused connections: what is sent on them now may be lost.
fn close_idle(node: &Node) {
    for server in node.registry.borrow().servers() {
        server.idle.borrow_mut().clear();
    }
}

/// Time since any server last sent a byte to this node; `None` if none ever did.
pub fn server_silence_ms(node: &Node) -> Option<Millisecond> {
    let registry = node.registry.borrow();
    let last_ms = registry.servers().map(|s| s.last_byte_ms.get()).max()?;
    (last_ms > 0).then(|| node.now_ms().saturating_sub(last_ms))
}
