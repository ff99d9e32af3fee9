//! State of one process, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use base::units::Millisecond;
use base::{Map, Name};
use policy::suspect::SuspectRequests;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use crate::belief::directory::Allowance;
use crate::belief::{Directory, Registry, Workspace};
use crate::clock::{Clock, boot_ms, unix_ms};
use crate::decide::allowance::{Beginning, Bucket, Fleet, Past, Verdict};
use crate::decide::held::Held;
use crate::decide::repeats::{Draw, Repeats, Terms};
use crate::decide::rule::Chance;
use crate::decide::standstill::{Arrival, Standstill};
use crate::decide::turns::Rendezvous;
use crate::decide::watch::Rank;
use crate::decide::work::Work;
use crate::dialect::Dialect;
use crate::duty::usage::Usage;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::peer::message::{Tenure, life_key};
use crate::peer::role::{Role, period_ms};
use crate::settings::{FirstStart, Settings, ms};

/// Where a process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It ends; callers that the balancer still sends are served.
    Draining,
    /// It finishes what it has, and takes nothing new.
    Closing,
}

/// State of one process.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// How the platform speaks.
    pub dialect: Dialect,
    /// Origin of all instants.
    pub clock: Clock,
    /// Number of this life of the process.
    pub boot: u64,
    /// The directory in force.
    pub directory: RefCell<Option<Rc<Directory>>>,
    /// Its row as stored, for peers.
    pub directory_row: RefCell<Vec<u8>>,
    /// When it came into force.
    pub directory_since_ms: Cell<Millisecond>,
    /// When it was last known to be the newest.
    pub directory_confirmed_ms: Cell<Millisecond>,
    /// Backend servers.
    pub registry: RefCell<Registry>,
    /// When the registry was last known to be whole and current.
    pub registry_confirmed_ms: Cell<Millisecond>,
    /// When the store last answered.
    pub store_ok_ms: Cell<Millisecond>,
    /// When the store last failed to answer.
    pub store_failed_ms: Cell<Millisecond>,
    /// Other nodes.
    pub peers: RefCell<Peers>,
    /// Allowances by workspace.
    pub buckets: RefCell<Map<Name, Bucket>>,
    /// Budgets of repeated sends by service.
    pub repeats: RefCell<Map<Name, Repeats>>,
    /// Work that comes in at this node, by service.
    pub work: RefCell<Map<Name, Work>>,
    /// Requests begun by window.
    pub usage: RefCell<Usage>,
    /// Requests that may crash the servers that run them.
    pub suspects: RefCell<SuspectRequests>,
    /// Where the process is in its life.
    pub phase: Cell<Phase>,
    /// Requests being served.
    pub in_flight: Cell<u32>,
    /// Callers' connections.
    pub callers: Cell<u32>,
    /// Whether this node holds the duties.
    pub tenure: Cell<Tenure>,
    /// Whether this process has just stood still.
    pub standstill: Cell<Standstill>,
    /// Told when the phase changes.
    pub phase_changed: Notify,
    /// Told when a request has left a server.
    pub capacity_changed: Notify,
    /// Told when another node's registry has changed after ours.
    pub peer_registry_changed: Notify,
    /// Bytes held for requests.
    pub held: Held,
    /// Counters.
    pub metrics: Metrics,
    rng: RefCell<SmallRng>,
    turn: Cell<u64>,
    datagrams: Cell<u64>,
}

impl Node {
    /// A process that knows nothing yet.
    pub fn new(settings: Settings, dialect: Dialect) -> Rc<Self> {
        let mut rng = SmallRng::from_os_rng();
        Rc::new(Self {
            clock: Clock::start(),
            boot: rng.random(),
            directory: RefCell::default(),
            directory_row: RefCell::default(),
            directory_since_ms: Cell::new(0),
            directory_confirmed_ms: Cell::new(0),
            registry: RefCell::default(),
            registry_confirmed_ms: Cell::new(0),
            store_ok_ms: Cell::new(0),
            store_failed_ms: Cell::new(0),
            peers: RefCell::new(Peers::new(&settings)),
            buckets: RefCell::default(),
            repeats: RefCell::default(),
            work: RefCell::default(),
            usage: RefCell::new(Usage::new(ms(settings.bounds.usage_window_s))),
            suspects: RefCell::default(),
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            callers: Cell::new(0),
            tenure: Cell::new(Tenure::None),
            standstill: Cell::default(),
            phase_changed: Notify::new(),
            capacity_changed: Notify::new(),
            peer_registry_changed: Notify::new(),
            held: Held::new(settings.limits.held_bytes()),
            metrics: Metrics::new(),
            rng: RefCell::new(rng),
            turn: Cell::new(0),
            datagrams: Cell::new(0),
            settings,
            dialect,
        })
    }

    /// Now, on the process's clock.
    pub fn now_ms(&self) -> Millisecond {
        self.clock.now_ms()
    }

    /// Key of this life of the node.
    pub fn key(&self) -> Name {
        life_key(&self.settings.node.name, self.boot)
    }

    /// What to add to the calendar clock for the median of all nodes' clocks.
    pub fn clock_offset_ms(&self) -> i64 {
        let own_epoch_ms = unix_ms() as i64 - self.now_ms() as i64;
        self.peers.borrow().clock_offset_ms(own_epoch_ms)
    }

    /// Fleet time: Unix time by the median of all nodes' clocks.
    pub fn fleet_ms(&self) -> Millisecond {
        unix_ms().saturating_add_signed(self.clock_offset_ms())
    }

    /// The nodes that take turns at servers with a limit.
    pub fn rendezvous(&self) -> Rendezvous {
        let own = self.settings.listen.peers;
        Rendezvous::new(
            own,
            self.peers.borrow().participants(self.clock.uptime_ms()),
        )
    }

    /// The directory in force.
    pub fn directory(&self) -> Option<Rc<Directory>> {
        self.directory.borrow().clone()
    }

    /// A number drawn evenly from 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// What the next choice of a server takes from this node.
    pub fn selection_seed(&self) -> Chance {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let drawn = self.random_fraction();
        Chance { drawn, turn }
    }

    /// Nodes that share bounds with this one, itself included.
    pub fn node_count(&self) -> usize {
        self.peers.borrow().count() + 1
    }

    /// The nodes that share allowances with this one.
    fn fleet(&self) -> Fleet {
        let listed = self.peers.borrow().listed() + 1;
        Fleet {
            heard: self.node_count(),
            listed,
            period_ms: period_ms(listed),
        }
    }

    /// Whether this node follows the store itself.
    pub fn role(&self) -> Role {
        let own = &self.settings.node;
        let peers = self.peers.borrow();
        peers.role(&own.name, &own.failure_domain, self.now_ms())
    }

    /// When it is this node's turn to ask the store.
    pub fn rank(&self) -> Rank {
        let own = &self.settings.node;
        let peers = self.peers.borrow();
        let age_ms = self.clock.uptime_ms();
        peers.rank(&own.name, &own.failure_domain, age_ms, self.now_ms())
    }

    /// Number of this life's next datagram.
    pub fn next_datagram_number(&self) -> u64 {
        self.datagrams.set(self.datagrams.get() + 1);
        self.datagrams.get()
    }

    /// Takes note that the process runs.
    pub fn beat(&self) {
        let mut standstill = self.standstill.get();
        standstill.beat(boot_ms());
        self.standstill.set(standstill);
    }

    /// Whether what is read from a socket now may have waited there.
    pub fn arrival(&self) -> Arrival {
        let mut standstill = self.standstill.get();
        let arrival = standstill.look(boot_ms());
        self.standstill.set(standstill);
        arrival
    }

    /// Charges a workspace for a request.
    pub fn charge(&self, workspace: &Workspace, cost: f64) -> Verdict {
        let Some(allowance) = workspace.allowance else {
            return Verdict::Within;
        };
        let now_ms = self.now_ms();
        let fleet = self.fleet();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets
            .entry(workspace.name.clone())
            .or_insert_with(|| self.bucket(allowance, now_ms));
        bucket.charge(cost, fleet, now_ms)
    }

    /// Gives back what a request was charged that did not run.
    pub fn refund(&self, workspace: &Workspace, cost: f64) {
        if let Some(bucket) = self.buckets.borrow_mut().get_mut(&workspace.name) {
            bucket.refund(cost);
        }
    }

    /// A bucket for a workspace that had none.
    pub fn bucket(&self, allowance: Allowance, now_ms: Millisecond) -> Bucket {
        let beginning = match (
            self.directory.borrow().is_some(),
            self.settings.node.first_start,
        ) {
            (true, _) => Beginning::Midway,
            (false, FirstStart::Yes) => Beginning::FirstStart {
                age_ms: self.clock.uptime_ms(),
            },
            (false, FirstStart::No) => Beginning::Restart,
        };
        let past = Past::at(beginning);
        Bucket::new(allowance, past, now_ms)
    }

    /// Counts the first send of a request to a service.
    pub fn count_first_send(&self, service: &Name) {
        let now_ms = self.now_ms();
        self.with_retry_budget(service, |repeats, terms| repeats.requested(terms, now_ms));
    }

    /// Whether a repeated send to a service fits, and counts it if so.
    pub fn take_retry(&self, service: &Name) -> Draw {
        let (now_ms, nodes) = (self.now_ms(), self.node_count());
        self.with_retry_budget(service, |repeats, terms| repeats.draw(terms, nodes, now_ms))
    }

    /// Whether a repeated send to a service would fit.
    pub fn check_retry(&self, service: &Name) -> Draw {
        let (now_ms, nodes) = (self.now_ms(), self.node_count());
        self.with_retry_budget(service, |repeats, terms| repeats.look(terms, nodes, now_ms))
    }

    fn with_retry_budget<T>(
        &self,
        service: &Name,
        of: impl FnOnce(&mut Repeats, &Terms) -> T,
    ) -> T {
        let mut repeats = self.repeats.borrow_mut();
        let of_service = repeats.entry(service.clone()).or_default();
        of(of_service, &self.retry_terms())
    }

    /// Takes in work of a service.
    pub fn add_work(&self, service: &Name, cost_ms: f64) {
        let now_ms = self.now_ms();
        let mut work = self.work.borrow_mut();
        work.entry(service.clone())
            .or_default()
            .add(cost_ms, now_ms);
    }

    /// Servers that this node's work keeps busy, by service.
    pub fn busy_servers(&self) -> Vec<(Name, f64)> {
        let now_ms = self.now_ms();
        let mut work = self.work.borrow_mut();
        let busy = work.iter_mut();
        busy.map(|(name, work)| (name.clone(), work.servers(now_ms)))
            .collect()
    }

    /// Puts a directory into force if it is newer; says whether it was.
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

    fn set_allowances(&self, workspaces: &Map<Name, Arc<Workspace>>) {
        let mut buckets = self.buckets.borrow_mut();
        for (name, bucket) in buckets.iter_mut() {
            if let Some(allowance) = workspaces.get(name).and_then(|w| w.allowance) {
                bucket.set_allowance(allowance);
            }
        }
        for (name, workspace) in workspaces {
            let Some(allowance) = workspace.allowance else {
                continue;
            };
            if !buckets.contains_key(name) {
                buckets.insert(name.clone(), self.bucket(allowance, self.now_ms()));
            }
        }
    }

    fn retry_terms(&self) -> Terms {
        let bounds = &self.settings.bounds;
        Terms {
            ratio: bounds.retry_ratio,
            window_ms: ms(bounds.retry_window_s),
            slack: bounds.retry_slack,
        }
    }
}

/// What became of a directory that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force.
    InForce,
    /// The one in force is as new or newer.
    Older,
}
