//! The running node: its public handle, its state and its tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use base::secret::Secret;
use base::units::Millisecond;
use base::{Map, Name};
use jsonrpsee::server::{ServerConfig, ServerHandle};
use outside::{Objects, Table, Vms};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use snafu::{ResultExt, Snafu, ensure};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::apply::{ApplyOutcome, Author};
use crate::auth::PeerAuth;
use crate::clock::{self, Clock};
use crate::handover::{StreamRecord, StreamStore};
use crate::member::draw_incarnation;
use crate::node::{Action, Event, Node};
use crate::peers::{MESSAGE_MAX_BYTES, PeerClients};
use crate::piggyback::{Demand, Fingerprint};
use crate::rpc::PeerServer;
use crate::server::Server;
use crate::store::ConfigStore;
use crate::streams::StreamSink;
use crate::timing::Timing;
use crate::view::FleetView;
use crate::wire::{Health, MemberRecord};

/// Shortest shared secret of the peers.
const SECRET_BYTES_MIN: usize = 16;
/// Most simultaneous connections from peers.
const CONNECTIONS_MAX: u32 = 512;
/// Time after which a connection without a first request is closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings and services of a node.
pub struct FleetOptions {
    /// The entry VM's identifier, as in the VM list.
    pub name: Name,
    /// Failure domain of the entry VM.
    pub failure_domain: Name,
    /// Address to listen on for peers; port 0 chooses a free port.
    pub peer_listen: SocketAddr,
    /// Address at which peers reach this node, if it is not the one it listens on.
    pub peer_address: Option<SocketAddr>,
    /// Shared by all entry VMs.
    pub secret: Secret,
    /// Peer addresses to contact first; the VM list adds more.
    pub seeds: Vec<SocketAddr>,
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn Objects>,
    pub vms: Arc<dyn Vms>,
    pub timing: Timing,
    /// Seed of the node's random number generator.
    pub rng_seed: u64,
}

/// Callbacks into the rest of the daemon.
#[async_trait]
pub trait FleetHandlers: Send + Sync {
    /// Called when this node has become the owner of an open stream: the answer is to be continued and
    /// appended to `sink`. Must not block; the work has to run in a task of its own.
    fn resume(&self, record: StreamRecord, sink: StreamSink);

    /// Called for each reclaim notice read for this VM, with the time until it is reclaimed.
    fn on_reclaim_notice(&self, remaining_ms: Millisecond);
}

/// The node could not be started.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// The shared secret is short enough to be guessed.
    #[snafu(display(
        "The peers' secret has fewer than {SECRET_BYTES_MIN} bytes; use a longer one."
    ))]
    ShortSecret,
    /// The shared secret cannot be sent in an HTTP header.
    #[snafu(display(
        "The peers' secret has characters that an HTTP header cannot carry; use printable ASCII."
    ))]
    SecretText {
        source: http::header::InvalidHeaderValue,
    },
    /// The peer address cannot be listened on.
    #[snafu(display(
        "The peer address {address} cannot be listened on: {source}. Free it or name another."
    ))]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
}

/// A running node.
pub struct Fleet {
    inner: Arc<Inner>,
    server: ServerHandle,
}

/// State shared by the handle, the peer server and the tasks.
pub(crate) struct Inner {
    pub(crate) me: Name,
    pub(crate) failure_domain: Name,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) core: Mutex<Core>,
    pub(crate) peers: PeerClients,
    pub(crate) store: ConfigStore,
    pub(crate) vms: Arc<dyn Vms>,
    pub(crate) handlers: Arc<dyn FleetHandlers>,
    pub(crate) tracker: TaskTracker,
    pub(crate) stop: CancellationToken,
    pub(crate) stream_growth: Notify,
    pub(crate) read_slots: ReadSlots,
    view: watch::Sender<Arc<FleetView>>,
}

/// State behind the lock of [`Inner`].
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) streams: StreamStore,
    pub(crate) rng: StdRng,
}

/// Limit each kind of read to one at a time; a read that finds no free slot is skipped.
pub(crate) struct ReadSlots {
    pub(crate) config: Semaphore,
    pub(crate) list: Semaphore,
    pub(crate) notices: Semaphore,
}

impl Fleet {
    /// Listens for peers and starts the node's tasks.
    ///
    /// # Errors
    ///
    /// Fails if the secret is too short or unusable in a header, or if the address cannot be listened
    /// on.
    pub async fn spawn(
        options: FleetOptions,
        handlers: Arc<dyn FleetHandlers>,
    ) -> Result<Self, FleetError> {
        let long_enough = options.secret.expose().len() >= SECRET_BYTES_MIN;
        ensure!(long_enough, ShortSecretSnafu);
        let address = options.peer_listen;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let bound = listener.local_addr().context(ListenSnafu { address })?;
        let listener = listener.into_std().context(ListenSnafu { address })?;
        let inner = Arc::new(Inner::new(&options, bound, handlers)?);
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MESSAGE_MAX_BYTES)
            .max_response_body_size(MESSAGE_MAX_BYTES)
            .max_connections(CONNECTIONS_MAX)
            .set_first_request_timeout(Some(FIRST_REQUEST_TIMEOUT))
            .build();
        let auth = PeerAuth::new(Arc::new(options.secret));
        let server = jsonrpsee::server::Server::builder()
            .set_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(auth))
            .build_from_tcp(listener)
            .context(ListenSnafu { address })?;
        let server = server.start(Server::new(inner.clone()).into_rpc());
        inner.tracker.spawn(tick(inner.clone()));
        Ok(Self { inner, server })
    }

    /// Address at which peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.inner.lock().node.members().me().address
    }

    /// Latest snapshot of the node's state.
    pub fn view(&self) -> Arc<FleetView> {
        self.inner.view.borrow().clone()
    }

    /// Receiver of snapshots as they change.
    pub fn watch(&self) -> watch::Receiver<Arc<FleetView>> {
        self.inner.view.subscribe()
    }

    /// Whether this node's state is fresh enough to route requests. Call it directly before a request
    /// is sent: after a pause of the process, this is the first place where the pause shows.
    pub fn may_route(&self) -> bool {
        let core = self.inner.lock();
        core.node.may_route(self.inner.clock.now_ms())
    }

    /// Whether a backend server is leaving and must get no new work.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.inner.lock().node.leaving().contains(vm)
    }

    /// Marks a backend server as leaving, in the whole fleet. The mark cannot be revoked.
    pub fn mark_leaving(&self, vm: &Name) {
        self.inner.handle(Event::LeavingSeen(vm.clone()));
    }

    /// Sends a fingerprint to the whole fleet.
    pub fn spread_fingerprint(&self, fingerprint: Fingerprint) {
        self.inner.handle(Event::FingerprintMade(fingerprint));
    }

    /// Replaces the demand that this node reports to its peers.
    pub fn set_demand(&self, rows: Vec<Demand>) {
        self.inner.lock().node.demand_mut().set_own_rows(rows);
    }

    /// Demand of the whole fleet by workspace, estimated from the peers' last reports.
    pub fn demand(&self) -> Map<Name, u64> {
        self.inner.lock().node.fleet_demand()
    }

    /// Number of live entry VMs, including this one.
    pub fn alive_count(&self) -> usize {
        self.inner.lock().node.members().alive_count()
    }

    /// Proposes a configuration as the successor of `base_version`. The text must be valid.
    pub async fn apply_config(
        &self,
        text: &str,
        base_version: u64,
        operator: &str,
    ) -> ApplyOutcome {
        self.inner.apply_config(text, base_version, operator).await
    }

    /// Client of the stored configuration and its history.
    pub fn config_store(&self) -> &ConfigStore {
        &self.inner.store
    }

    /// Returns the peers whose configuration is older than `version`, after asking those that have not
    /// reported it. A peer that does not answer counts as older, unless it is gone or has left.
    pub async fn lagging(&self, version: u64) -> Vec<Name> {
        self.inner.lagging(version).await
    }

    /// Tells the peers that this node leaves, stops listening and ends all tasks. Streams have to be
    /// handed over first.
    pub async fn close(self) {
        self.leave().await;
    }

    /// Same as [`Fleet::close`], for a shared handle.
    pub async fn leave(&self) {
        self.inner.handle(Event::Closing);
        let grace = Duration::from_millis(self.inner.timing.call_ms);
        self.inner.stop.cancel();
        self.inner.tracker.close();
        let _ = tokio::time::timeout(grace, self.inner.tracker.wait()).await;
        let _ = self.server.stop();
        let _ = tokio::time::timeout(grace, self.server.clone().stopped()).await;
    }

    pub(crate) fn inner(&self) -> &Arc<Inner> {
        &self.inner
    }
}

impl Inner {
    fn new(
        options: &FleetOptions,
        bound: SocketAddr,
        handlers: Arc<dyn FleetHandlers>,
    ) -> Result<Self, FleetError> {
        let clock = Clock::start();
        let mut rng = StdRng::seed_from_u64(options.rng_seed);
        let me = MemberRecord {
            name: options.name.clone(),
            address: options.peer_address.unwrap_or(bound),
            failure_domain: options.failure_domain.clone(),
            incarnation: draw_incarnation(clock::unix_ms(), &mut rng),
            health: Health::Alive,
        };
        let node = Node::new(me, options.seeds.clone(), options.timing, clock.now_ms());
        let view = watch::Sender::new(Arc::new(FleetView::of(&node)));
        let core = Core {
            node,
            streams: StreamStore::default(),
            rng,
        };
        let peers = PeerClients::new(&options.secret, &options.timing).context(SecretTextSnafu)?;
        Ok(Self {
            me: options.name.clone(),
            failure_domain: options.failure_domain.clone(),
            timing: options.timing,
            store: ConfigStore::new(options.table.clone(), options.objects.clone()),
            vms: options.vms.clone(),
            core: Mutex::new(core),
            tracker: TaskTracker::new(),
            stop: CancellationToken::new(),
            stream_growth: Notify::new(),
            read_slots: ReadSlots {
                config: Semaphore::new(1),
                list: Semaphore::new(1),
                notices: Semaphore::new(1),
            },
            clock,
            peers,
            handlers,
            view,
        })
    }

    pub(crate) fn lock(&self) -> std::sync::MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the node and executes the resulting actions.
    pub(crate) fn handle(self: &Arc<Self>, event: Event) {
        let mut core = self.lock();
        let now_ms = self.clock.now_ms();
        let Core { node, rng, .. } = &mut *core;
        let actions = node.handle(event, now_ms, rng);
        self.publish(&core, &actions);
        drop(core);
        self.carry_out(actions);
    }

    /// Publishes a snapshot if the actions ask for one. Must be called with the lock held, so that an
    /// older snapshot never replaces a newer one.
    pub(crate) fn publish(&self, core: &Core, actions: &[Action]) {
        let changed = actions.iter().any(|a| matches!(a, Action::Publish));
        if changed {
            self.view.send_replace(Arc::new(FleetView::of(&core.node)));
        }
    }

    async fn apply_config(
        self: &Arc<Self>,
        text: &str,
        base_version: u64,
        operator: &str,
    ) -> ApplyOutcome {
        let mut rng = {
            let mut core = self.lock();
            StdRng::from_rng(&mut core.rng)
        };
        let author = Author {
            operator: operator.to_owned(),
            token: format!("{:032x}", rng.random::<u128>()),
            unix_ms: clock::unix_ms(),
        };
        let outcome = self
            .store
            .propose(text, base_version, author, &mut rng)
            .await;
        crate::report::config_decided(&outcome, base_version, operator);
        let known = match &outcome {
            ApplyOutcome::Accepted => Some(crate::wire::ConfigDocument {
                version: base_version + 1,
                digest: base::secret::key_digest_hex(text),
                text: text.into(),
            }),
            ApplyOutcome::Lost(Some(stored)) => self.store.document(stored).await.ok(),
            ApplyOutcome::Lost(None) | ApplyOutcome::NotAccepted(_) | ApplyOutcome::Unknown(_) => {
                None
            }
        };
        if let Some(document) = known {
            self.handle(Event::ConfigLearned(document));
        }
        outcome
    }
}

async fn tick(inner: Arc<Inner>) {
    let mut interval = tokio::time::interval(Duration::from_millis(inner.timing.tick_ms));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = inner.stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        inner.handle(Event::Tick);
        let now_ms = inner.clock.now_ms();
        inner.lock().streams.expire(now_ms);
    }
}
