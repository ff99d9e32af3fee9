//! Pulls a newer directory, registry or usage counts from another node.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use serde::Serialize;

use super::message::{
    DIRECTORY_PATH, NodeHeartbeat, REGISTRY_PATH, RegistryCopy, RegistryVersion, USAGE_PATH,
    UsageCopy,
};
use crate::decide::pause::Arrival;
use crate::decide::store_poll::MAX_LONG_POLL_MS;
use crate::http::{Body, Conn, ConnOptions, HeadWriter, Progress};
use crate::node::Node;
use crate::peer::role::{Presence, Role};
use crate::{follow, log};

/// Time limit of one pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);

const CONN_OPTIONS: ConnOptions = ConnOptions {
    connect_timeout_ms: 400,
    unacknowledged_timeout_ms: 800,
};

/// Longest response.
const RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// The registry is pulled from other nodes once the store has not answered for this time, which is
/// longer than the store may hold a query for changes.
const STORE_SILENT_MS: Millisecond = MAX_LONG_POLL_MS + 900;

/// For this time the registry is pulled only from nodes of the same failure domain. Half of the
/// shortest drain bound, 2 s, within which a leaving server must be known.
const NEIGHBOURS_ONLY_MS: Millisecond = 1_000;

/// Head start that each node of a failure domain gives to the one before it: two heartbeat periods
/// and a pull.
const NEIGHBOUR_DELAY_MS: Millisecond = 300;

/// Outcome of a partial copy that doesn't continue the local registry.
const GAP: &str = "gap";

/// Nodes asked for usage counts; more than one, as a node may have started late itself or not
/// answer.
const USAGE_SOURCES: usize = 3;

thread_local! {
    static PULL_STATE: Cell<PullState> = const { Cell::new(PullState::Idle) };
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum PullState {
    Running,
    Idle,
}

/// Marks a pull as running until it is dropped, also on a panic.
struct PullGuard;

impl PullGuard {
    fn begin() -> Self {
        PULL_STATE.set(PullState::Running);
        Self
    }
}

impl Drop for PullGuard {
    fn drop(&mut self) {
        PULL_STATE.set(PullState::Idle);
    }
}

#[derive(Serialize)]
struct PulledFields<'a> {
    from: SocketAddr,
    what: &'a str,
    version: u64,
    outcome: &'a str,
    /// Version that this node had when it asked.
    had: u64,
    /// Time for which it had known that others have a newer one.
    behind_ms: Millisecond,
    bytes: usize,
    took_ms: Millisecond,
}

/// What a node pulls from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullRequest {
    Directory,
    /// Entries of the registry that changed after a revision.
    Registry {
        since: u64,
    },
    /// Usage counts of all known lives.
    Usage,
}

impl PullRequest {
    fn path(self) -> String {
        match self {
            Self::Directory => DIRECTORY_PATH.to_owned(),
            Self::Registry { since } => format!("{REGISTRY_PATH}{since}"),
            Self::Usage => USAGE_PATH.to_owned(),
        }
    }

    /// Version that this node has of what it pulls; 0 for usage counts, which have none.
    fn known_version(self, node: &Node) -> u64 {
        match self {
            Self::Directory => node.directory_version(),
            Self::Registry { .. } => node.registry.borrow().revision,
            Self::Usage => 0,
        }
    }

    /// Time for which this node has known that others have a newer version.
    fn behind_ms(self, node: &Node) -> Option<Millisecond> {
        match self {
            Self::Directory => node.directory_behind_ms(),
            Self::Registry { .. } => node.registry_behind_ms(),
            Self::Usage => None,
        }
    }
}

/// Records which versions the sender of `heartbeat` has that this node lacks.
pub fn record_lag(node: &Node, heartbeat: &NodeHeartbeat) {
    let now_ms = node.now_ms();
    let mut lag = node.directory_lag.borrow_mut();
    lag.record(heartbeat.directory, node.directory_version(), now_ms);
    let mut lag = node.registry_lag.borrow_mut();
    lag.record(heartbeat.registry.changed, node.known_change(), now_ms);
}

/// Pulls what the sender of `heartbeat` knows and this node doesn't. Only one pull runs at a time.
pub fn pull_missing(node: &Rc<Node>, heartbeat: &NodeHeartbeat, address: SocketAddr) {
    let requests = pulls_needed(node, heartbeat);
    if requests.is_empty() || PULL_STATE.get() == PullState::Running {
        return;
    }
    let guard = PullGuard::begin();
    let node = node.clone();
    tokio::task::spawn_local(async move {
        for request in requests {
            pull(&node, address, request).await;
        }
        drop(guard);
    });
}

/// What this node should pull from the sender of `heartbeat`.
pub fn pulls_needed(node: &Node, heartbeat: &NodeHeartbeat) -> Vec<PullRequest> {
    let mut requests = Vec::new();
    let version = node.directory_version();
    if heartbeat.directory > version {
        requests.push(PullRequest::Directory);
    }
    let revision = node.registry.borrow().revision;
    if heartbeat.registry.changed <= revision {
        return requests;
    }
    let reach = match node.role() {
        // A listening node doesn't query the store.
        Role::Listens => StoreReach::Unreachable,
        Role::Follows => store_reach(node),
    };
    match reach {
        StoreReach::Answering => announce_change(node, heartbeat.registry.changed),
        StoreReach::Unreachable
            if may_ask_sender(node, heartbeat) || may_ask_other_domains(node) =>
        {
            requests.push(PullRequest::Registry { since: revision })
        }
        StoreReach::Unreachable => {}
    }
    requests
}

/// Has the store queried for a change that another node knows. The store may answer with an older
/// revision if the change left no row behind, so one answer is enough.
fn announce_change(node: &Node, changed: u64) {
    if changed <= node.queried_change.get() {
        return;
    }
    let announced = node.announced_change.get().max(changed);
    node.announced_change.set(announced);
    node.peer_registry_changed.notify_waiters();
}

/// Takes over how current the sender's directory and registry are, if this node has the same
/// versions.
pub fn confirm(node: &Node, heartbeat: &NodeHeartbeat) {
    if node.arrival() == Arrival::MayHaveWaited {
        return;
    }
    let delay_ms = node.peers.borrow().delay_ms(heartbeat, node.now_ms());
    let since_read = |age_ms: Millisecond| age_ms.saturating_add(delay_ms.unwrap_or(0));
    let (directory_ms, registry_ms) = usable_ages(node, heartbeat);
    follow::directory::confirm(node, heartbeat.directory, since_read(directory_ms));
    let registry = RegistryVersion {
        age_ms: since_read(registry_ms),
        ..heartbeat.registry
    };
    follow::servers::confirm(node, registry);
}

/// Ages of the sender's directory and registry that this node may rely on. An age that is passed on
/// loses its time in transit. Nodes that poll the store rely on each other's own reads only, or
/// they would keep each other's copies young and none would poll.
fn usable_ages(node: &Node, heartbeat: &NodeHeartbeat) -> (Millisecond, Millisecond) {
    let sent = (heartbeat.directory_age_ms, heartbeat.registry.age_ms);
    let is_listening = || heartbeat.role == Role::Follows && node.role() == Role::Listens;
    match heartbeat.copies {
        // A listening node doesn't poll, and the node that polls may be in another domain.
        Some(copies) if is_listening() => (copies.directory_ms, copies.registry_ms),
        Some(_) => sent,
        None if is_listening() => sent,
        None => (Millisecond::MAX, Millisecond::MAX),
    }
}

/// Reachability of the store: lost after a failed call, or `STORE_SILENT_MS` without an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StoreReach {
    Answering,
    Unreachable,
}

fn store_reach(node: &Node) -> StoreReach {
    let silent_ms = node.now_ms().saturating_sub(node.store_ok_ms.get());
    let failing = node.store_failed_ms.get() > node.store_ok_ms.get();
    match failing || silent_ms > STORE_SILENT_MS {
        true => StoreReach::Unreachable,
        false => StoreReach::Answering,
    }
}

/// Whether the sender is in this node's failure domain, or no other node of that domain is heard.
/// Traffic between failure domains costs money.
fn may_ask_sender(node: &Node, heartbeat: &NodeHeartbeat) -> bool {
    let domain = &node.settings.node.failure_domain;
    let presence = node.peers.borrow().domain_presence(domain, node.now_ms());
    heartbeat.failure_domain == *domain || presence == Presence::Silent
}

/// Whether this node may pull the registry from other failure domains. The first node of a domain
/// does so at once, the next ones if the nodes before them have not passed it on in time. Nodes
/// that only listen always wait for the nodes of their domain.
fn may_ask_other_domains(node: &Node) -> bool {
    if node.role() == Role::Listens {
        return false;
    }
    let own = &node.settings.node;
    let now_ms = node.now_ms();
    let domain_rank = node
        .peers
        .borrow()
        .domain_rank(&own.name, &own.failure_domain, now_ms);
    let age_ms = now_ms.saturating_sub(node.registry_confirmed_ms.get());
    age_ms >= (NEIGHBOUR_DELAY_MS * domain_rank as Millisecond).min(NEIGHBOURS_ONLY_MS)
}

/// Pulls usage counts of lives that this node may never have heard, from the longest-running nodes.
pub async fn pull_usage(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    let addresses = node.peers.borrow().longest_running(USAGE_SOURCES, now_ms);
    let questions = addresses
        .iter()
        .map(|at| pull(node, *at, PullRequest::Usage));
    futures_util::future::join_all(questions).await;
}

async fn pull(node: &Rc<Node>, address: SocketAddr, request: PullRequest) {
    if pull_once(node, address, request).await == GAP {
        pull_once(node, address, PullRequest::Registry { since: 0 }).await;
    }
}

/// Pulls once and logs the outcome, which it returns.
async fn pull_once(node: &Rc<Node>, address: SocketAddr, request: PullRequest) -> &'static str {
    let path = request.path();
    let (started_ms, had) = (node.now_ms(), request.known_version(node));
    let behind_ms = request.behind_ms(node).unwrap_or(0);
    let received = Cell::new(0);
    let answer = tokio::time::timeout(PULL_TIMEOUT, fetch(address, &path, &received)).await;
    let (version, outcome) = match answer {
        Ok(Ok(body)) => match request {
            PullRequest::Directory => follow::directory::adopt_row(node, &body),
            PullRequest::Usage => merge_usage(node, &body),
            PullRequest::Registry { .. } => adopt_registry(node, &body),
        },
        Ok(Err(_)) | Err(_) => (0, "no_answer"),
    };
    let fields = PulledFields {
        from: address,
        what: &path,
        version,
        outcome,
        had,
        behind_ms,
        bytes: received.get(),
        took_ms: node.now_ms().saturating_sub(started_ms),
    };
    log::emit(events::Code::BeliefPulled, &fields);
    outcome
}

/// Merges the usage counts of other lives. Returns their number as the version.
fn merge_usage(node: &Node, body: &[u8]) -> (u64, &'static str) {
    let Ok(copy) = serde_json::from_slice::<UsageCopy>(body) else {
        return (0, "unreadable");
    };
    let own = node.key();
    let mut usage = node.usage.borrow_mut();
    for copy in copy.iter().filter(|copy| copy.life != own) {
        usage.merge(&copy.life, copy.started_unix_ms, &copy.begun);
    }
    (copy.len() as u64, "taken")
}

fn adopt_registry(node: &Node, body: &[u8]) -> (u64, &'static str) {
    let Ok(copy) = serde_json::from_slice::<RegistryCopy>(body) else {
        return (0, "unreadable");
    };
    let revision = copy.revision;
    match follow::servers::adopt_copy(node, copy) {
        follow::servers::CopyOutcome::Taken => (revision, "taken"),
        follow::servers::CopyOutcome::Older => (revision, "older"),
        follow::servers::CopyOutcome::Gap => (revision, GAP),
    }
}

/// Body of the response. `received` is the number of its bytes that have come so far.
async fn fetch(address: SocketAddr, path: &str, received: &Cell<usize>) -> std::io::Result<Bytes> {
    let mut conn = Conn::open(address, CONN_OPTIONS).await?;
    let mut head = BytesMut::new();
    HeadWriter::request(&mut head, "GET", path)
        .field("Host", address.to_string().as_bytes())
        .field("Connection", b"close")
        .end();
    conn.send(&head).await?;
    let malformed = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let head = conn.response_head(RESPONSE_LIMIT_BYTES, "GET").await?;
    let mut body = Body::new(head.framing);
    let mut whole = BytesMut::new();
    loop {
        let progress = body.read(&mut conn.buf, &mut whole);
        received.set(whole.len());
        if progress.map_err(|_| malformed())? == Progress::Done {
            return Ok(whole.freeze());
        }
        if whole.len() > RESPONSE_LIMIT_BYTES || conn.fill().await? == 0 {
            return Err(malformed());
        }
    }
}
