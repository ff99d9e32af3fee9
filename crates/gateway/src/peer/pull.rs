//! Pulls a newer directory, registry or usage counts from another node.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use outside::Topic;
use serde::Serialize;

use super::message::{
    DIRECTORY_PATH, NodeHeartbeat, PULLED_BY, REGISTRY_PATH, Referral, RegistryCopy,
    RegistryVersion, USAGE_PATH, UsageCopy,
};
use super::pack;
use crate::decide::pause::Arrival;
use crate::decide::source::{PullOutcome, Standing};
use crate::decide::store_poll::MAX_LONG_POLL_MS;
use crate::http::{Body, Conn, ConnOptions, Framing, HeadWriter, ResponseHead};
use crate::node::Node;
use crate::peer::role::Role;
use crate::{follow, log};

/// Time limit of one pull. Bytes that come slowly are kept until then.
pub const PULL_LIMIT: Duration = Duration::from_secs(8);

/// A pull without a byte for this time has failed.
const STALL_LIMIT: Duration = Duration::from_millis(600);

const CONN_OPTIONS: ConnOptions = ConnOptions {
    connect_timeout_ms: 400,
    unacknowledged_timeout_ms: 800,
};

/// Longest response.
const RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// The registry is pulled from other nodes once the store has not answered for this time, which is
/// longer than the store may hold a query for changes.
const STORE_SILENT_MS: Millisecond = MAX_LONG_POLL_MS + 900;

/// Outcome of a partial copy that doesn't continue the local registry.
const GAP: &str = "gap";

/// Outcome of a pull from a node whose link is full.
const BUSY: &str = "busy";

/// Nodes asked for usage counts; more than one, as a node may have started late itself or not
/// answer.
const USAGE_SOURCES: usize = 3;

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
    #[serde(flatten)]
    choice: Choice,
    bytes: usize,
    took_ms: Millisecond,
}

/// What a source was chosen from.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Choice {
    /// Nodes that have what this one lacks.
    pub sources: usize,
    /// Pulls of the topic that were under way.
    pub under_way: usize,
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
    /// The request for what this node lacks of a topic.
    fn of(node: &Node, topic: Topic) -> Self {
        match topic {
            Topic::Directory | Topic::Nodes => Self::Directory,
            Topic::Servers => Self::Registry {
                since: node.registry.borrow().revision,
            },
        }
    }

    /// The topic that it is about; usage counts belong to the registry's.
    pub fn topic(self) -> Topic {
        match self {
            Self::Directory => Topic::Directory,
            Self::Registry { .. } | Self::Usage => Topic::Servers,
        }
    }

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
            Self::Directory | Self::Registry { .. } => self::behind_ms(node, self.topic()),
            Self::Usage => None,
        }
    }
}

/// Records which versions the sender of `heartbeat` has that this node lacks.
fn record_lag(node: &Node, heartbeat: &NodeHeartbeat) {
    let now_ms = node.now_ms();
    let mut lag = node.directory_lag.borrow_mut();
    lag.record(heartbeat.directory, node.directory_version(), now_ms);
    let mut lag = node.registry_lag.borrow_mut();
    lag.record(heartbeat.registry.changed, node.known_change(), now_ms);
}

/// What this node should pull from the sender of `heartbeat`.
pub fn pulls_needed(node: &Node, heartbeat: &NodeHeartbeat) -> Vec<PullRequest> {
    record_lag(node, heartbeat);
    let topics = [Topic::Directory, Topic::Servers];
    let needed = topics.iter().filter(|topic| {
        has_newer(node, heartbeat, **topic)
            && may_pull(node, **topic)
            && (is_near(node, heartbeat) || standing(node, **topic).may_ask_other_domains())
    });
    needed.map(|topic| PullRequest::of(node, *topic)).collect()
}

/// Whether the sender of `heartbeat` has a version of the topic that this node lacks.
pub fn has_newer(node: &Node, heartbeat: &NodeHeartbeat, topic: Topic) -> bool {
    match topic {
        Topic::Directory | Topic::Nodes => heartbeat.directory > node.directory_version(),
        Topic::Servers => heartbeat.registry.changed > node.registry.borrow().revision,
    }
}

/// Whether other nodes have a version of the topic that this node lacks.
pub fn is_behind(node: &Node, topic: Topic) -> bool {
    behind_ms(node, topic).is_some()
}

/// Time for which other nodes have had a version of the topic that this node lacks.
fn behind_ms(node: &Node, topic: Topic) -> Option<Millisecond> {
    match topic {
        Topic::Directory | Topic::Nodes => node.directory_behind_ms(),
        Topic::Servers => node.registry_behind_ms(),
    }
}

/// Whether the sender is in this node's failure domain.
fn is_near(node: &Node, heartbeat: &NodeHeartbeat) -> bool {
    heartbeat.failure_domain == node.settings.node.failure_domain
}

/// Whether this node pulls the topic from other nodes. A node that follows the registry asks the
/// store for a change, unless the store doesn't answer it or the change is long overdue.
pub fn may_pull(node: &Node, topic: Topic) -> bool {
    if topic != Topic::Servers || node.role() == Role::Listens {
        return true;
    }
    let lag = node.registry_lag.borrow().newest();
    match store_reach(node) {
        StoreReach::Unreachable => true,
        StoreReach::Answering => {
            if let Some(changed) = lag {
                announce_change(node, changed);
            }
            let behind_ms = node.registry_behind_ms().unwrap_or(0);
            behind_ms >= node.settings.bounds.drain_ms / 4
        }
    }
}

/// How this node stands among the nodes of its failure domain.
pub fn standing(node: &Node, topic: Topic) -> Standing {
    let (own, bounds) = (&node.settings.node, &node.settings.bounds);
    let (position, neighbours) =
        node.peers
            .borrow()
            .domain_position(&own.name, &own.failure_domain, node.now_ms());
    Standing {
        behind_ms: behind_ms(node, topic).unwrap_or(0),
        bound_ms: match topic {
            Topic::Directory | Topic::Nodes => bounds.directory_ms,
            Topic::Servers => bounds.drain_ms,
        },
        position,
        neighbours,
    }
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
    match node.store_call_failed() || silent_ms > STORE_SILENT_MS {
        true => StoreReach::Unreachable,
        false => StoreReach::Answering,
    }
}

/// Pulls usage counts of lives that this node may never have heard, from the longest-running nodes.
pub async fn pull_usage(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    let addresses = node.peers.borrow().longest_running(USAGE_SOURCES, now_ms);
    let progress = Progress::default();
    let choice = Choice::default();
    let questions = addresses
        .iter()
        .map(|at| pull_once(node, *at, PullRequest::Usage, choice, &progress));
    futures_util::future::join_all(questions).await;
}

/// How far a pull is.
#[derive(Debug, Default)]
pub struct Progress {
    pub received_bytes: Cell<usize>,
    /// Length of the answer; unset before its head has come.
    pub total_bytes: Cell<Option<usize>>,
}

/// Pulls from `address` what this node lacks.
pub async fn pull(
    node: &Rc<Node>,
    address: SocketAddr,
    topic: Topic,
    choice: Choice,
    progress: &Progress,
) -> PullOutcome {
    let request = PullRequest::of(node, topic);
    let had = request.known_version(node);
    let mut outcome = pull_once(node, address, request, choice, progress).await;
    if outcome == GAP {
        let whole = PullRequest::Registry { since: 0 };
        outcome = pull_once(node, address, whole, choice, progress).await;
    }
    match outcome {
        BUSY => PullOutcome::Busy,
        _ if request.known_version(node) > had => PullOutcome::Answered,
        _ => PullOutcome::Failed,
    }
}

/// Pulls once and logs the outcome, which it returns.
async fn pull_once(
    node: &Rc<Node>,
    address: SocketAddr,
    request: PullRequest,
    choice: Choice,
    progress: &Progress,
) -> &'static str {
    let path = request.path();
    let (started_ms, had) = (node.now_ms(), request.known_version(node));
    let behind_ms = request.behind_ms(node).unwrap_or(0);
    let own = &node.settings.node.name;
    let answer = tokio::time::timeout(PULL_LIMIT, fetch(address, &path, own, progress)).await;
    let (version, outcome) = match answer {
        Ok(Ok((head, body))) => match request {
            _ if head.status == 503 => take_referral(node, &body),
            PullRequest::Directory => adopt_directory(node, &head, body),
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
        choice,
        bytes: progress.received_bytes.get(),
        took_ms: node.now_ms().saturating_sub(started_ms),
    };
    log::emit(events::Code::BeliefPulled, &fields);
    outcome
}

fn adopt_directory(node: &Rc<Node>, head: &ResponseHead, body: Bytes) -> (u64, &'static str) {
    if !head.fields.contains_token("content-encoding", pack::CODING) {
        return follow::directory::adopt_row(node, &body);
    }
    let Some(row) = pack::unpack(&body, RESPONSE_LIMIT_BYTES) else {
        return (0, "unreadable");
    };
    let (version, outcome) = follow::directory::adopt_row(node, &row);
    if version > 0 && version == node.directory_version() {
        node.serving.borrow_mut().keep_packed(version, body);
    }
    (version, outcome)
}

/// Notes the nodes that a busy one has sent its directory to.
fn take_referral(node: &Node, body: &[u8]) -> (u64, &'static str) {
    let Ok(referral) = serde_json::from_slice::<Referral>(body) else {
        return (0, BUSY);
    };
    let mut peers = node.peers.borrow_mut();
    for name in &referral.nodes {
        peers.record_directory(name, referral.directory);
    }
    (referral.directory, BUSY)
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

/// Head and body of the response.
async fn fetch(
    address: SocketAddr,
    path: &str,
    own: &str,
    progress: &Progress,
) -> std::io::Result<(ResponseHead, Bytes)> {
    let mut conn = Conn::open(address, CONN_OPTIONS).await?;
    let mut head = BytesMut::new();
    HeadWriter::request(&mut head, "GET", path)
        .field("Host", address.to_string().as_bytes())
        .field("Connection", b"close")
        .field(PULLED_BY, own.as_bytes())
        .field("Accept-Encoding", pack::CODING.as_bytes())
        .end();
    conn.send(&head).await?;
    let malformed = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let head = conn.response_head(RESPONSE_LIMIT_BYTES, "GET");
    let head = tokio::time::timeout(STALL_LIMIT, head).await??;
    if let Framing::Length(bytes) = head.framing {
        progress.total_bytes.set(Some(bytes as usize));
    }
    let mut body = Body::new(head.framing);
    let mut whole = BytesMut::new();
    loop {
        let read = body.read(&mut conn.buf, &mut whole);
        progress.received_bytes.set(whole.len());
        if read.map_err(|_| malformed())? == crate::http::Progress::Done {
            return Ok((head, whole.freeze()));
        }
        let filled = tokio::time::timeout(STALL_LIMIT, conn.fill()).await??;
        if whole.len() > RESPONSE_LIMIT_BYTES || filled == 0 {
            return Err(malformed());
        }
    }
}
