//! One life of a backend server, with what this node has observed of it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use base::Name;
use base::units::{Millisecond, TokenCount};
use outside::Purchase;

use crate::backend::crash_check::BrokenRequest;
use crate::backend::pool::IdleConn;
use crate::decide::backpressure::Backpressure;
use crate::decide::prefix_cache::PrefixCache;
use crate::decide::server_factor::ServerFactor;
use crate::decide::server_faults::{FaultKind, ServerFaults, avoidance_ms};
use crate::decide::server_load::{ServerLoad, replacing_age_ms};
use crate::decide::turns::Turns;

/// What a backend server publishes about itself in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    pub id: Name,
    pub service: Name,
    pub address: SocketAddr,
    pub failure_domain: Name,
    /// Version of the server's software, empty if the entry names none. Versions have no order.
    pub version: Name,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    pub state: ServerState,
    pub purchase: Purchase,
    /// Unix time at which the server started. A greater value under the same identifier is a new
    /// life (incarnation) of the server.
    pub born_unix_ms: u64,
    /// Number of the write of this entry in the server's life; 0 if it names none.
    pub sequence: u64,
}

impl ServerRecord {
    /// Order of the writes of one identifier.
    pub fn written(&self) -> Written {
        Written {
            born_unix_ms: self.born_unix_ms,
            sequence: self.sequence,
        }
    }
}

/// When an entry was written, in the server's own count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Written {
    pub born_unix_ms: u64,
    pub sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server takes new requests.
    Ready,
    /// The server finishes its requests and takes no new ones.
    Draining,
}

/// One life of a backend server, with this node's view of it.
#[derive(Debug)]
pub struct Server {
    pub record: ServerRecord,
    /// This node's requests that run on the server.
    pub running: Cell<u32>,
    /// Prompt tokens of this node's requests that have not begun to answer.
    pub waiting_tokens: Cell<TokenCount>,
    /// Load that the other nodes put on the server, from their heartbeats.
    pub load_of_others: Cell<Load>,
    /// The server's speed relative to its service.
    pub factor: RefCell<ServerFactor>,
    /// The server's own load reports.
    pub reported: RefCell<ServerLoad>,
    /// When the server last sent a byte to this node.
    pub last_byte_ms: Cell<Millisecond>,
    /// Until then the server gets a request only if no other server can take it (a soft ejection).
    pub avoided_until_ms: Cell<Millisecond>,
    /// The same after a silence; ends when the server sends something.
    pub silent_until_ms: Cell<Millisecond>,
    /// Consecutive failures.
    pub failures: Cell<u32>,
    /// Faults that this node or others observed.
    pub faults: RefCell<ServerFaults>,
    /// Requests whose connections broke, until it is known whether the server is down.
    pub broken_requests: RefCell<Vec<BrokenRequest>>,
    /// Open connections to the server.
    pub connections: Rc<Cell<u32>>,
    /// Connections that are open and unused.
    pub idle: RefCell<Vec<IdleConn>>,
    /// Prompt prefixes that the server probably holds in its prefix cache.
    pub cache: RefCell<PrefixCache>,
    /// Backpressure of the server; shared by all records of one life.
    pub flow: Rc<FlowControl>,
}

/// Backpressure from one life of a server, and this node's state under it.
#[derive(Debug, Default)]
pub struct FlowControl {
    /// The drain notice, rate limit and hold-off that the server has announced.
    pub backpressure: RefCell<Backpressure>,
    /// This node's turns to send while the server has a rate limit.
    pub turns: RefCell<Turns>,
    /// Requests that this node sent while the server had a rate limit.
    pub limited_sends: Cell<u64>,
}

/// Requests and prompt tokens at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Prompt tokens that the server has not read yet.
    pub waiting_tokens: TokenCount,
}

/// What a node knows of a server's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLoad {
    pub load: Load,
    /// How much longer than usual work takes.
    pub pace: f64,
    pub source: LoadSource,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// The requests that the nodes have sent.
    Counted,
    /// A report of the server contributed.
    Reported,
}

impl Server {
    /// A server of which this node has observed nothing.
    pub fn new(record: ServerRecord) -> Self {
        Self {
            record,
            running: Cell::new(0),
            waiting_tokens: Cell::new(0),
            load_of_others: Cell::default(),
            factor: RefCell::default(),
            reported: RefCell::default(),
            last_byte_ms: Cell::new(0),
            avoided_until_ms: Cell::new(0),
            silent_until_ms: Cell::new(0),
            failures: Cell::new(0),
            faults: RefCell::default(),
            broken_requests: RefCell::default(),
            connections: Rc::default(),
            idle: RefCell::default(),
            cache: RefCell::default(),
            flow: Rc::default(),
        }
    }

    /// Load that all known nodes put on the server.
    pub fn load(&self) -> Load {
        let others = self.load_of_others.get();
        Load {
            running: self.running.get().saturating_add(others.running),
            waiting_tokens: (self.waiting_tokens.get()).saturating_add(others.waiting_tokens),
        }
    }

    /// Load from the newest source: the server's report, or the loads of other nodes, which are
    /// `others_age_ms` old, with this node's own count.
    pub fn current_load(&self, now_ms: Millisecond, others_age_ms: Millisecond) -> KnownLoad {
        let counted = self.load();
        let Some(reported) = self.reported.borrow().current(now_ms) else {
            return KnownLoad {
                load: counted,
                pace: 1.0,
                source: LoadSource::Counted,
            };
        };
        let running = match reported.age_ms <= replacing_age_ms(others_age_ms) {
            true => reported.running.max(self.running.get()),
            false => counted.running,
        };
        KnownLoad {
            load: Load { running, ..counted },
            pace: reported.pace,
            source: LoadSource::Reported,
        }
    }

    /// Counts a request of this node with `tokens` unread prompt tokens.
    pub fn begin_request(&self, tokens: TokenCount) {
        self.running.set(self.running.get() + 1);
        self.waiting_tokens.set(self.waiting_tokens.get() + tokens);
    }

    /// Removes prompt tokens from the count that the server has read, or will not read.
    pub fn release_tokens(&self, tokens: TokenCount) {
        let waiting = self.waiting_tokens.get();
        self.waiting_tokens.set(waiting.saturating_sub(tokens));
    }

    /// Removes a request of this node from the count.
    pub fn end_request(&self) {
        let running = self.running.get();
        self.running.set(running.saturating_sub(1));
    }

    /// Records an answer or an event of a stream: a silence has ended, and the count of consecutive
    /// failures starts again.
    pub fn record_success(&self, now_ms: Millisecond) {
        self.last_byte_ms.set(now_ms);
        self.silent_until_ms.set(0);
        self.failures.set(0);
        let ended = self.faults.borrow_mut().record_own_answer(now_ms);
        if ended.is_some_and(FaultKind::is_gone) {
            self.avoided_until_ms.set(0);
        }
    }

    /// Whether the server failed or was silent a short while ago, here or at other nodes.
    pub fn is_avoided(&self, now_ms: Millisecond) -> bool {
        self.avoided_until_ms.get().max(self.silent_until_ms.get()) > now_ms
            || self.faults.borrow().is_avoided(now_ms)
    }

    /// Ends the avoidance that this node's own failures caused, as the server has answered another
    /// node.
    pub fn end_avoidance(&self) {
        self.avoided_until_ms.set(0);
        self.failures.set(0);
    }

    /// Records a failure. Each consecutive one doubles the time for which the server is avoided.
    pub fn record_failure(&self, now_ms: Millisecond) {
        self.avoided_until_ms.set(now_ms + self.next_avoidance_ms());
    }

    /// Records that the server was silent for too long, which counts as a failure until it sends
    /// something.
    pub fn record_silence(&self, now_ms: Millisecond) {
        self.silent_until_ms.set(now_ms + self.next_avoidance_ms());
    }

    fn next_avoidance_ms(&self) -> Millisecond {
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        avoidance_ms(failures)
    }
}

/// The same life of a server with a new record. Requests in flight stay counted at the old object,
/// which is no longer chosen.
pub fn successor(known: &Rc<Server>, record: ServerRecord) -> Rc<Server> {
    let server = Server {
        flow: known.flow.clone(),
        ..Server::new(record)
    };
    server.last_byte_ms.set(known.last_byte_ms.get());
    *server.factor.borrow_mut() = known.factor.borrow().clone();
    *server.reported.borrow_mut() = known.reported.borrow().clone();
    Rc::new(server)
}
