//! State of a process, shared by its tasks on one thread.

mod limits;

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use base::units::Millisecond;
use base::{Map, Name, Set};
use outside::Topic;
use policy::suspect::{RequestDigest, SuspectParts, SuspectRequests};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::backend::domains::DomainExits;
use crate::backend::queues::Queues;
use crate::belief::{Directory, Registry};
use crate::clock::{Clock, boot_ms, unix_ms};
use crate::decide::allowance::Bucket;
use crate::decide::begun_streams::BegunStreams;
use crate::decide::body_memory::BodyMemory;
use crate::decide::lag::Lag;
use crate::decide::numbering::Numberings;
use crate::decide::offered_load::OfferedLoad;
use crate::decide::pause::{Arrival, PauseDetector};
use crate::decide::reach::ReachState;
use crate::decide::retry_budget::RetryBudget;
use crate::decide::rule::BaselineInputs;
use crate::decide::service_speeds::ServiceSpeeds;
use crate::decide::stand_in::Overdue;
use crate::decide::store_calls::{StoreAccess, StoreCalls};
use crate::decide::store_poll::PollRank;
use crate::decide::turns::Rendezvous;
use crate::decide::version_history::VersionHistory;
use crate::dialect::Dialect;
use crate::duty::usage::Usage;
use crate::follow::streams::StreamRows;
use crate::follow::turn;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::peer::catch_up::PullLog;
use crate::peer::message::{Tenure, life_key};
use crate::peer::role::{OwnCopies, Role, period_ms};
use crate::peer::serve::Serving;
use crate::peer::streams::Questions;
use crate::rollout::Rollouts;
use crate::settings::{Settings, ms};

/// Phase of a process between start and shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process takes requests.
    Serving,
    /// The process shuts down, and still serves the callers that the load balancer sends.
    Draining,
    /// The process completes the requests in flight, and takes no new ones.
    Closing,
    /// The process is about to end; requests without an answer get a last reply.
    Ending,
}

/// State of a process.
pub struct Node {
    pub settings: Settings,
    pub dialect: Dialect,
    pub clock: Clock,
    /// Random identifier of this run of the process.
    pub boot: u64,
    /// The directory in force.
    pub directory: RefCell<Option<Rc<Directory>>>,
    /// The row of the directory in force as stored, for peers.
    pub directory_row: RefCell<Vec<u8>>,
    /// When the directory came into force.
    pub directory_since_ms: Cell<Millisecond>,
    /// When the directory was last known to be the newest.
    pub directory_confirmed_ms: Cell<Millisecond>,
    /// When this node itself last read the directory in the store.
    pub directory_read_ms: Cell<Millisecond>,
    /// Versions of the directory that other nodes have and this one lacks.
    pub directory_lag: RefCell<Lag>,
    /// Backend servers.
    pub registry: RefCell<Registry>,
    /// When the registry was last known to be complete and current.
    pub registry_confirmed_ms: Cell<Millisecond>,
    /// When this node itself last read the registry in the store.
    pub registry_read_ms: Cell<Millisecond>,
    /// Changes of the registry that other nodes know and this one lacks.
    pub registry_lag: RefCell<Lag>,
    /// When the last query of the registry was sent that the store has answered.
    pub registry_queried_ms: Cell<Millisecond>,
    /// Time of the store's last successful answer.
    pub store_ok_ms: Cell<Millisecond>,
    /// Time of the last failed call to the store.
    pub store_failed_ms: Cell<Millisecond>,
    /// Calls to the store for changes that are under way.
    pub store_calls: StoreCalls,
    /// Other nodes.
    pub peers: RefCell<Peers>,
    /// Pulls from other nodes.
    pub pulls: RefCell<PullLog>,
    /// What this node passes on to others.
    pub serving: RefCell<Serving>,
    /// Token buckets of the workspaces' allowances.
    pub buckets: RefCell<Map<Name, Bucket>>,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<Map<Name, RetryBudget>>,
    /// Demand that arrives at this node, by service.
    pub offered_loads: RefCell<Map<Name, OfferedLoad>>,
    /// Speeds of the services, from this node's samples and those of others.
    pub speeds: RefCell<ServiceSpeeds>,
    /// Requests that leave the failure domain, by service.
    pub domain_exits: RefCell<DomainExits>,
    /// Number of started requests per usage window.
    pub usage: RefCell<Usage>,
    /// Requests that may crash the servers that run them.
    pub suspects: RefCell<SuspectRequests>,
    /// Parts of prompts that may crash the servers that run requests with them.
    pub suspect_parts: RefCell<SuspectParts>,
    /// Servers with faults that this node or others observed a short while ago.
    pub faulty_servers: RefCell<Set<Name>>,
    /// How the services number the events of their streams.
    pub numberings: RefCell<Numberings>,
    /// Software versions that began the recent streams.
    pub begun_streams: RefCell<BegunStreams>,
    /// The same of streams that began at other nodes, as told by these. They are kept apart, so that
    /// no other node can make this one forget its own.
    pub streams_of_others: RefCell<BegunStreams>,
    /// Questions to other nodes about streams.
    pub questions: RefCell<Questions>,
    /// Socket of the datagrams between nodes; unset until the node listens.
    pub peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Software versions that serve or served a short while ago.
    pub version_history: RefCell<VersionHistory>,
    /// Rows of begun streams in the store; unset without a store.
    pub stream_rows: OnceCell<Rc<StreamRows>>,
    /// Rollouts of new server versions.
    pub rollouts: RefCell<Rollouts>,
    /// Whether this node reaches the backend servers.
    pub reach: RefCell<ReachState>,
    /// Held while the paths to the backend servers are checked.
    pub reach_check: tokio::sync::Mutex<()>,
    /// Number of requests that this node serves for others.
    pub relayed: Cell<u32>,
    pub phase: Cell<Phase>,
    /// Number of requests being served.
    pub in_flight: Cell<u32>,
    /// Number of open connections of callers.
    pub callers: Cell<u32>,
    /// Whether this node holds the lease for the duties.
    pub tenure: Cell<Tenure>,
    /// Detects that the process has just been paused.
    pub pause_detector: Cell<PauseDetector>,
    /// Notified when the phase changes.
    pub phase_changed: Notify,
    /// Requests that wait for a server. They are woken when one may take another request: a request
    /// has left it or has begun to answer, or its registration, backpressure or load has changed.
    pub queues: Queues,
    /// Notified when another node has a newer registry than this one.
    pub peer_registry_changed: Notify,
    /// Greatest revision of a change that other nodes announced and this node's registry lacked.
    pub announced_change: Cell<u64>,
    /// Greatest announced change that the store was queried for since, with an answer.
    pub queried_change: Cell<u64>,
    /// Memory budget for the bodies of requests and answers.
    pub body_memory: BodyMemory,
    pub metrics: Metrics,
    rng: RefCell<SmallRng>,
    round_robin_turn: Cell<u64>,
    datagrams_sent: Cell<u64>,
}

impl Node {
    /// Starts without a directory, a registry and peers.
    pub fn new(settings: Settings, dialect: Dialect) -> Rc<Self> {
        let mut rng = SmallRng::from_os_rng();
        Rc::new(Self {
            clock: Clock::start(),
            boot: rng.random(),
            directory: RefCell::default(),
            directory_row: RefCell::default(),
            directory_since_ms: Cell::new(0),
            directory_confirmed_ms: Cell::new(0),
            directory_read_ms: Cell::new(0),
            directory_lag: RefCell::default(),
            registry: RefCell::default(),
            registry_confirmed_ms: Cell::new(0),
            registry_read_ms: Cell::new(0),
            registry_lag: RefCell::default(),
            registry_queried_ms: Cell::new(0),
            store_ok_ms: Cell::new(0),
            store_failed_ms: Cell::new(0),
            store_calls: StoreCalls::default(),
            peers: RefCell::new(Peers::new(&settings)),
            pulls: RefCell::default(),
            serving: RefCell::default(),
            buckets: RefCell::default(),
            retry_budgets: RefCell::default(),
            offered_loads: RefCell::default(),
            speeds: RefCell::default(),
            domain_exits: RefCell::default(),
            usage: RefCell::new(Usage::new(ms(settings.bounds.usage_window_s))),
            suspects: RefCell::default(),
            suspect_parts: RefCell::default(),
            faulty_servers: RefCell::default(),
            numberings: RefCell::default(),
            begun_streams: RefCell::default(),
            streams_of_others: RefCell::default(),
            questions: RefCell::default(),
            peer_socket: OnceCell::new(),
            version_history: RefCell::default(),
            stream_rows: OnceCell::new(),
            rollouts: RefCell::default(),
            reach: RefCell::default(),
            reach_check: tokio::sync::Mutex::default(),
            relayed: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            callers: Cell::new(0),
            tenure: Cell::new(Tenure::None),
            pause_detector: Cell::default(),
            phase_changed: Notify::new(),
            queues: Queues::default(),
            peer_registry_changed: Notify::new(),
            announced_change: Cell::new(0),
            queried_change: Cell::new(0),
            body_memory: BodyMemory::new(settings.limits.held_bytes()),
            metrics: Metrics::register(),
            rng: RefCell::new(rng),
            round_robin_turn: Cell::new(0),
            datagrams_sent: Cell::new(0),
            settings,
            dialect,
        })
    }

    /// Current time of the process's monotonic clock.
    pub fn now_ms(&self) -> Millisecond {
        self.clock.now_ms()
    }

    /// Key of this run of the node.
    pub fn key(&self) -> Name {
        life_key(&self.settings.node.name, self.boot)
    }

    /// Offset from the system clock to the median of all nodes' clocks.
    pub fn clock_offset_ms(&self) -> i64 {
        let own_epoch_ms = unix_ms() as i64 - self.now_ms() as i64;
        self.peers.borrow().clock_offset_ms(own_epoch_ms)
    }

    /// Fleet time: Unix time according to the median of all nodes' clocks.
    pub fn fleet_ms(&self) -> Millisecond {
        unix_ms().saturating_add_signed(self.clock_offset_ms())
    }

    /// The nodes that take turns at servers with a rate limit.
    pub fn rendezvous(&self) -> Rendezvous {
        let own = self.settings.listen.peers;
        Rendezvous::new(
            own,
            self.peers.borrow().participants(self.clock.uptime_ms()),
        )
    }

    /// The directory in force, if any.
    pub fn directory(&self) -> Option<Rc<Directory>> {
        self.directory.borrow().clone()
    }

    /// Version of the directory in force; 0 if there is none.
    pub fn directory_version(&self) -> u64 {
        self.directory.borrow().as_ref().map_or(0, |d| d.version)
    }

    /// Time for which other nodes have had a newer directory than this one; `None` if none has.
    pub fn directory_behind_ms(&self) -> Option<Millisecond> {
        let mut lag = self.directory_lag.borrow_mut();
        lag.advance(self.directory_version());
        lag.behind_ms(self.now_ms())
    }

    /// Revision up to which this node has the changes of the registry, or has queried them.
    pub fn known_change(&self) -> u64 {
        let revision = self.registry.borrow().revision;
        revision.max(self.queried_change.get())
    }

    /// Time for which other nodes have known changes of the registry that this one lacks; `None` if
    /// none does.
    pub fn registry_behind_ms(&self) -> Option<Millisecond> {
        let mut lag = self.registry_lag.borrow_mut();
        lag.advance(self.known_change());
        lag.behind_ms(self.now_ms())
    }

    /// A uniformly distributed random number from 0 (included) to 1 (excluded).
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// A random number.
    pub fn random_number(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Version that began a stream, if this node relayed it, has looked it up or was told.
    pub fn stream_version(&self, key: &RequestDigest) -> Option<Name> {
        let own = self.begun_streams.borrow().version(key).cloned();
        own.or_else(|| self.streams_of_others.borrow().version(key).cloned())
    }

    /// Random number and round-robin position for the next choice of a server.
    pub fn baseline_inputs(&self) -> BaselineInputs {
        let turn = self.round_robin_turn.get();
        self.round_robin_turn.set(turn + 1);
        let drawn = self.random_fraction();
        BaselineInputs { drawn, turn }
    }

    /// Number of live nodes, including this one.
    pub fn node_count(&self) -> usize {
        self.peers.borrow().count() + 1
    }

    /// Mean age of the loads that other nodes put on the servers; without limit if none is known.
    pub fn others_age_ms(&self) -> Millisecond {
        match self.peers.borrow().count() {
            0 => Millisecond::MAX,
            others => period_ms(others + 1) / 2,
        }
    }

    /// Whether this node follows the store or learns from other nodes.
    pub fn role(&self) -> Role {
        let own = &self.settings.node;
        let (copies, now_ms) = (self.copies(), self.now_ms());
        let peers = self.peers.borrow();
        peers.role(&own.name, &own.failure_domain, copies, now_ms)
    }

    /// Whether the last call to the store that ended has failed.
    pub fn store_call_failed(&self) -> bool {
        self.store_failed_ms.get() > self.store_ok_ms.get()
    }

    /// Whether the store serves this node.
    pub fn store_access(&self) -> StoreAccess {
        match self.store_call_failed() || self.store_calls.is_late(self.now_ms()) {
            true => StoreAccess::Failing,
            false => StoreAccess::Served,
        }
    }

    /// How this node's copies stand with the store.
    fn copies(&self) -> OwnCopies {
        let now_ms = self.now_ms();
        if let Some(overdue_ms) = now_ms.checked_sub(turn::overdue_from_ms(self)) {
            let since_failure_ms = match self.store_failed_ms.get() {
                0 => Millisecond::MAX,
                failed_ms => now_ms.saturating_sub(failed_ms),
            };
            return OwnCopies::Overdue(Overdue {
                overdue_ms,
                since_failure_ms,
            });
        }
        let read_ms = self
            .directory_read_ms
            .get()
            .max(self.registry_read_ms.get());
        let is_read =
            read_ms > 0 && now_ms < turn::overdue_after_ms(self, Topic::Directory, read_ms);
        match is_read && self.store_access() == StoreAccess::Served {
            true => OwnCopies::Read,
            false => OwnCopies::Current,
        }
    }

    /// Position of this node in the order in which nodes poll the store.
    pub fn poll_rank(&self) -> PollRank {
        let own = &self.settings.node;
        let peers = self.peers.borrow();
        let uptime_ms = self.clock.uptime_ms();
        peers.rank(&own.name, &own.failure_domain, uptime_ms, self.now_ms())
    }

    /// Sequence number of the next datagram of this run.
    pub fn next_datagram_number(&self) -> u64 {
        self.datagrams_sent.set(self.datagrams_sent.get() + 1);
        self.datagrams_sent.get()
    }

    /// Records a heartbeat of the process, by which pauses are detected.
    pub fn heartbeat(&self) {
        let mut pause_detector = self.pause_detector.get();
        pause_detector.heartbeat(boot_ms());
        self.pause_detector.set(pause_detector);
    }

    /// Whether bytes that are read from a socket now may have waited there while the process was
    /// paused.
    pub fn arrival(&self) -> Arrival {
        let mut pause_detector = self.pause_detector.get();
        let arrival = pause_detector.check(boot_ms());
        self.pause_detector.set(pause_detector);
        arrival
    }

    /// Age of the registry; `None` before it is known, and after a pause until it is confirmed again.
    pub fn registry_age_ms(&self) -> Option<Millisecond> {
        let confirmed_ms = self.registry_confirmed_ms.get();
        let age_ms = self.now_ms().saturating_sub(confirmed_ms);
        let was_confirmed_since = match self.arrival() {
            Arrival::MayHaveWaited => false,
            Arrival::Immediate => {
                let running_ms = self.pause_detector.get().running_ms(boot_ms());
                running_ms.is_none_or(|running_ms| age_ms <= running_ms)
            }
        };
        (confirmed_ms > 0 && was_confirmed_since).then_some(age_ms)
    }

    /// Puts a directory into force if it is newer than the current one.
    pub fn adopt(&self, directory: Directory, stored: &[u8]) -> Adoption {
        let known = self.directory.borrow().as_ref().map(|d| d.version);
        if known.is_some_and(|version| version >= directory.version) {
            return Adoption::Older;
        }
        let workspaces = directory.workspaces.clone();
        self.set_allowances(&workspaces);
        *self.directory_row.borrow_mut() = stored.to_vec();
        *self.directory.borrow_mut() = Some(Rc::new(directory));
        self.directory_since_ms.set(self.now_ms());
        Adoption::InForce
    }
}

/// Whether a directory was put into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    InForce,
    /// The current directory is as new or newer.
    Older,
}
