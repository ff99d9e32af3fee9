//! The backend servers that are known, with what this node has seen of each.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use base::units::{Millisecond, TokenCount};
use base::{Map, Name, Set};
use outside::Purchase;
use policy::suspect::RequestDigest;

use crate::backend::pool::IdleConn;
use crate::decide::backpressure::Backpressure;
use crate::decide::cache::Cache;
use crate::decide::speed::Speed;
use crate::decide::turns::Turns;

/// How long entries that vanish beside an outage of the store are still used, below the shortest
/// drain bound of the pages.
const VANISHED_GRACE_MS: Millisecond = 1_500;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Identifier.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How it is paid for.
    pub purchase: Purchase,
    /// Unix time of its start; a greater one under the same identifier is another life.
    pub born_unix_ms: u64,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It leaves.
    Draining,
}

/// One life of a backend server.
#[derive(Debug)]
pub struct Server {
    /// What it says of itself.
    pub record: ServerRecord,
    /// This node's requests on it.
    pub running: Cell<u32>,
    /// Prompt tokens of this node's requests that have not begun to answer.
    pub waiting_tokens: Cell<TokenCount>,
    /// What the other nodes have there.
    pub load_of_others: Cell<Load>,
    /// When a byte last came from it.
    pub last_byte_ms: Cell<Millisecond>,
    /// Until when it gets work only if no other server can take it.
    pub avoided_until_ms: Cell<Millisecond>,
    /// Failures in a row.
    pub failures: Cell<u32>,
    /// Requests whose connections broke, until it is known whether the server is down.
    pub broken_requests: RefCell<Vec<RequestDigest>>,
    /// Connections open to it.
    pub connections: Rc<Cell<u32>>,
    /// Connections that wait for a request.
    pub idle: RefCell<Vec<IdleConn>>,
    /// How fast it answers.
    pub speed: RefCell<Speed>,
    /// Prompt parts that it is thought to keep.
    pub cache: RefCell<Cache>,
    /// What it says of itself; shared by all states of its life.
    pub flow: Rc<FlowControl>,
}

/// What one life of a server says of itself, and what follows for this node.
#[derive(Debug, Default)]
pub struct FlowControl {
    /// What is believed of it.
    pub backpressure: RefCell<Backpressure>,
    /// This node's turns under a limit.
    pub turns: RefCell<Turns>,
    /// Requests that this node sent under a limit.
    pub limited_sends: Cell<u64>,
}

/// Requests and prompt tokens on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run there.
    pub running: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_tokens: TokenCount,
}

impl Server {
    /// A server of which nothing has been seen.
    pub fn new(record: ServerRecord) -> Self {
        Self {
            record,
            running: Cell::new(0),
            waiting_tokens: Cell::new(0),
            load_of_others: Cell::default(),
            last_byte_ms: Cell::new(0),
            avoided_until_ms: Cell::new(0),
            failures: Cell::new(0),
            broken_requests: RefCell::default(),
            connections: Rc::default(),
            idle: RefCell::default(),
            speed: RefCell::default(),
            cache: RefCell::default(),
            flow: Rc::default(),
        }
    }

    /// Requests of all nodes on it, as far as is known.
    pub fn load(&self) -> Load {
        let others = self.load_of_others.get();
        Load {
            running: self.running.get().saturating_add(others.running),
            waiting_tokens: (self.waiting_tokens.get()).saturating_add(others.waiting_tokens),
        }
    }

    /// Counts a request of this node with so many prompt tokens to be read; gives back all that
    /// are to be read before its first byte.
    pub fn begin_request(&self, tokens: TokenCount) -> TokenCount {
        let ahead = self.load().waiting_tokens;
        self.running.set(self.running.get() + 1);
        self.waiting_tokens.set(self.waiting_tokens.get() + tokens);
        ahead + tokens
    }

    /// So many of those prompt tokens are read, or will not be.
    pub fn release_tokens(&self, tokens: TokenCount) {
        let waiting = self.waiting_tokens.get();
        self.waiting_tokens.set(waiting.saturating_sub(tokens));
    }

    /// A request of this node has left it.
    pub fn end_request(&self) {
        let running = self.running.get();
        self.running.set(running.saturating_sub(1));
    }

    /// Takes note of an answer or an event.
    pub fn record_success(&self, now_ms: Millisecond) {
        self.last_byte_ms.set(now_ms);
        self.failures.set(0);
    }

    /// Takes note of a failure: the server is avoided for longer with each in a row.
    pub fn record_failure(&self, now_ms: Millisecond) {
        /// First span of avoidance; doubled with each failure in a row.
        const AVOIDANCE_MS: Millisecond = 250;
        /// Longest span, near the time in which a crashed server is back.
        const AVOIDANCE_LIMIT_MS: Millisecond = 2_000;
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        let span_ms = AVOIDANCE_MS << failures.min(4).saturating_sub(1);
        self.avoided_until_ms
            .set(now_ms + span_ms.min(AVOIDANCE_LIMIT_MS));
    }
}

/// What a change of the registry did.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// A server is new, or lives again.
    Appeared(Name),
    /// A server leaves.
    Leaving(Name),
    /// A server's entry is gone.
    Gone(Name),
    /// Nothing that matters here.
    None,
}

/// All backend servers known.
#[derive(Debug, Default)]
pub struct Registry {
    /// Revision of the store up to which it is known.
    pub revision: u64,
    /// Revision at which what others may take over last changed; heartbeats do not count.
    pub changed: u64,
    by_id: Map<Name, Rc<Server>>,
    by_service: Map<Name, Vec<Rc<Server>>>,
    /// Entries that vanished beside an outage, and until when they are used.
    vanished: Map<Name, Millisecond>,
    /// Entries as stored, for peers that the store turns away.
    stored: Map<Name, StoredEntry>,
    /// Flow control of servers whose entries are gone: the same life may register itself again.
    retained_flows: Map<Name, RetainedFlow>,
    /// Entries that others may no longer take over, and the revisions at which that was learned.
    gone: VecDeque<(u64, Name)>,
    /// Revision since which `gone` holds all.
    gone_since_revision: u64,
}

/// Entries remembered as gone: far more than go while a datagram is on its way.
const GONE_LIMIT: usize = 4_096;

/// What is kept of a server whose entry is gone.
#[derive(Debug)]
struct RetainedFlow {
    born_unix_ms: u64,
    address: SocketAddr,
    flow: Rc<FlowControl>,
}

/// Most servers whose flow control is kept when their entries are gone.
const RETAINED_FLOWS_LIMIT: usize = 1_024;

/// An entry as stored.
#[derive(Debug)]
struct StoredEntry {
    row: Vec<u8>,
    /// Revision at which it last changed in more than a heartbeat.
    changed: u64,
}

/// How an absent entry is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The server is gone.
    Certain,
    /// The store was away; the server may register itself again.
    NearOutage {
        /// Earliest time at which the entry may have vanished after the store's return.
        since_ms: Millisecond,
    },
}

impl Registry {
    /// The server of that identifier.
    pub fn server(&self, id: &str) -> Option<&Rc<Server>> {
        self.by_id.get(id)
    }

    /// All servers of a service, leaving ones too.
    pub fn of_service(&self, service: &str) -> &[Rc<Server>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.by_id.values()
    }

    /// Identifiers of the entries that others may take over: without those that vanished beside an
    /// outage, as whether they come back is for each node to see.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        let ids = self.stored.keys();
        ids.filter(|id| !self.vanished.contains_key(*id))
    }

    /// Whether entries vanished beside an outage, of which it isn't known yet whether they come back.
    pub fn has_vanished(&self) -> bool {
        !self.vanished.is_empty()
    }

    /// Entries that were listed at revision `since` and no longer are; `None` if that isn't known.
    pub fn gone_since(&self, since: u64) -> Option<Set<Name>> {
        if since == 0 || since < self.gone_since_revision || self.revision < since {
            return None;
        }
        let gone = self.gone.iter().filter(|(revision, _)| *revision > since);
        let gone = gone.map(|(_, id)| id.clone());
        let listed = |id: &Name| self.stored.contains_key(id) && !self.vanished.contains_key(id);
        Some(gone.filter(|id| !listed(id)).collect())
    }

    fn record_gone(&mut self, id: Name) {
        if self.gone.len() >= GONE_LIMIT
            && let Some((revision, _)) = self.gone.pop_front()
        {
            self.gone_since_revision = revision;
        }
        self.gone.push_back((self.revision, id));
    }

    /// Takes in that all entries are known as of the registry's revision, but not what went before.
    pub fn reset_gone(&mut self) {
        self.gone.clear();
        self.gone_since_revision = self.revision;
    }

    /// Those of the listed entries that have changed after revision `since`, as stored.
    pub fn stored_since(&self, since: u64) -> impl Iterator<Item = (&Name, &[u8])> {
        let listed = self.listed().filter_map(|id| self.stored.get_key_value(id));
        let changed = listed.filter(move |(_, stored)| stored.changed > since);
        changed.map(|(id, stored)| (id, &*stored.row))
    }

    /// Takes in an entry, as of the registry's revision.
    pub fn upsert(&mut self, record: ServerRecord, row: Vec<u8>) -> ServerChange {
        let id = record.id.clone();
        let known = self.by_id.get(&id);
        if known.is_some_and(|known| known.record.born_unix_ms > record.born_unix_ms) {
            return ServerChange::None;
        }
        let reappeared = self.vanished.remove(&id).is_some();
        let change = self.update(record);
        let is_change = reappeared || change != ServerChange::None;
        let changed = match (is_change, self.stored.get(&id)) {
            (false, Some(stored)) => stored.changed,
            (true, _) | (false, None) => self.revision,
        };
        self.changed = self.changed.max(changed);
        self.stored.insert(id, StoredEntry { row, changed });
        change
    }

    /// Takes in that an entry is still there, unchanged.
    pub fn confirm_present(&mut self, id: &Name) {
        if self.vanished.remove(id).is_some() {
            self.changed = self.revision;
        }
    }

    fn update(&mut self, record: ServerRecord) -> ServerChange {
        let id = record.id.clone();
        let Some(known) = self.by_id.get(&id) else {
            let server = self.new_server(record);
            self.insert(Rc::new(server));
            return ServerChange::Appeared(id);
        };
        if known.record == record {
            return ServerChange::None;
        }
        let same_life = known.record.born_unix_ms == record.born_unix_ms
            && known.record.address == record.address
            && known.record.service == record.service;
        if same_life && known.record.state == record.state {
            return ServerChange::None;
        }
        let leaves = record.state == ServerState::Draining;
        let next = match same_life {
            true => successor(known, record),
            false => Rc::new(Server::new(record)),
        };
        self.insert(next);
        match leaves {
            true => ServerChange::Leaving(id),
            false => ServerChange::Appeared(id),
        }
    }

    /// Takes in that an entry is absent.
    pub fn remove(&mut self, id: &str, absence: Absence) -> ServerChange {
        let Some((name, _)) = self.by_id.get_key_value(id) else {
            // It came and went between two questions here, but others may have seen it.
            self.record_gone(id.into());
            return ServerChange::None;
        };
        let name = name.clone();
        if let Absence::NearOutage { since_ms } = absence {
            let until_ms = since_ms + VANISHED_GRACE_MS;
            self.vanished.entry(name.clone()).or_insert(until_ms);
            self.record_gone(name);
            self.changed = self.revision;
            return ServerChange::None;
        }
        self.changed = self.revision;
        self.record_gone(name.clone());
        self.vanished.remove(&name);
        self.stored.remove(&name);
        if let Some(server) = self.by_id.remove(&name) {
            self.remove_from_service(&server);
            self.retain_flow(&server);
        }
        ServerChange::Gone(name)
    }

    /// A server whose entry is new; what is known of the same life holds on.
    fn new_server(&mut self, record: ServerRecord) -> Server {
        let known = self.retained_flows.remove(&record.id);
        let same_life = known.filter(|k| {
            let named = record.born_unix_ms > 0;
            named && k.born_unix_ms == record.born_unix_ms && k.address == record.address
        });
        let mut server = Server::new(record);
        if let Some(known) = same_life {
            server.flow = known.flow;
        }
        server
    }

    fn retain_flow(&mut self, server: &Server) {
        if !server.flow.backpressure.borrow().is_any() {
            return;
        }
        if self.retained_flows.len() >= RETAINED_FLOWS_LIMIT {
            self.retained_flows.clear();
        }
        let retained = RetainedFlow {
            born_unix_ms: server.record.born_unix_ms,
            address: server.record.address,
            flow: server.flow.clone(),
        };
        self.retained_flows
            .insert(server.record.id.clone(), retained);
    }

    /// Drops entries whose grace has ended.
    pub fn expire(&mut self, now_ms: Millisecond) -> Vec<ServerChange> {
        let ended = |(_, until_ms): &(&Name, &Millisecond)| **until_ms <= now_ms;
        let due: Vec<Name> = self
            .vanished
            .iter()
            .filter(ended)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter()
            .map(|id| self.remove(id, Absence::Certain))
            .collect()
    }

    fn insert(&mut self, server: Rc<Server>) {
        let id = server.record.id.clone();
        if let Some(before) = self.by_id.insert(id, server.clone()) {
            self.remove_from_service(&before);
        }
        let service = server.record.service.clone();
        self.by_service.entry(service).or_default().push(server);
    }

    fn remove_from_service(&mut self, server: &Rc<Server>) {
        if let Some(listed) = self.by_service.get_mut(&server.record.service) {
            listed.retain(|s| !Rc::ptr_eq(s, server));
        }
    }
}

/// The same life with another state; requests in flight keep counting at the old object, which is
/// no longer chosen.
fn successor(known: &Rc<Server>, record: ServerRecord) -> Rc<Server> {
    let server = Server {
        flow: known.flow.clone(),
        ..Server::new(record)
    };
    server.last_byte_ms.set(known.last_byte_ms.get());
    *server.speed.borrow_mut() = *known.speed.borrow();
    Rc::new(server)
}
