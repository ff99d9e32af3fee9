//! Startup and shutdown of the daemon.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::units::Millisecond;
use chart::Chart;
use conf::settings::{LogFormat, PlacementMode, RoutingPolicy, Settings, SettingsError};
use engine::{HttpBackend, HttpBackendOptions};
use events::{Code, Format, LogError, Logger};
use fleet::timing::Timing;
use fleet::{Fleet, FleetError, FleetOptions};
use ledger::Ledger;
use outside::http::{Endpoint, HttpCloud, HttpObjects, HttpTable, HttpVms};
use policy::route::{CostWeights, RouteStateConfig, Routing};
use rand::Rng;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::admin::Admin;
use crate::backends::{Backends, Poller, PollerOptions};
use crate::clock::Clock;
use crate::drain::{self, Draining};
use crate::flow::{Drain, Flow, FlowOptions, Reclaims, Retries, Store, StoreOptions, Suspicion};
use crate::follow::Follower;
use crate::front::{Front, FrontOptions, Server, ServerOptions};
use crate::metrics::Metrics;
use crate::options::{Action, Options};
use crate::peers::Peers;
use crate::placement::{Placement, PlacementOptions};
use crate::state::{AdmissionGate, DaemonState, Lifecycle};
use crate::sweep;
use crate::takeover::Takeover;

/// Name of the platform table that holds all rows.
const TABLE_NAME: &str = "apricotledge";

/// A failure to start the daemon.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The settings file cannot be read or is invalid.
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    /// The logger cannot start.
    #[snafu(display("{source}"))]
    Log { source: LogError },
    /// The async runtime cannot start.
    #[snafu(display("The process could not start its threads: {source}."))]
    Runtime { source: std::io::Error },
    /// The platform's URL holds no IP address and port.
    #[snafu(display("platform.url: `{url}` has no address of the form http://IP:PORT."))]
    PlatformUrl { url: String },
    /// A listen address is unavailable.
    #[snafu(display("{key}: {address} cannot be listened on: {source}. Free it or name another."))]
    Listen {
        /// The settings key of the address.
        key: &'static str,
        address: SocketAddr,
        source: std::io::Error,
    },
    /// The fleet membership cannot start.
    #[snafu(display("{source}"))]
    Fleet { source: FleetError },
    /// The signal handlers cannot be installed.
    #[snafu(display("Signals cannot be received: {source}."))]
    Signals { source: std::io::Error },
}

#[derive(Serialize)]
struct StartedLog<'a> {
    node: &'a Name,
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
}

/// Runs the daemon until it has drained.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or if the daemon cannot start or cannot receive
/// signals.
pub fn run(options: &Options) -> Result<(), DaemonError> {
    let settings = Settings::open(&options.settings).context(SettingsSnafu)?;
    if options.action == Action::Check {
        println!("{}: the settings are valid.", options.settings.display());
        return Ok(());
    }
    let format = match settings.log_format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    let logger = Logger::open(&settings.log_level.to_string(), format).context(LogSnafu)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads(&settings))
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let result = runtime.block_on(async {
        let daemon = Daemon::spawn(settings).await?;
        println!(
            "listening callers={} admin={} peers={}",
            daemon.callers.address(),
            daemon.admin.address(),
            daemon.fleet.peer_address()
        );
        daemon.serve().await
    });
    // Threads that still block belong to abandoned calls, so they are not waited for longer.
    runtime.shutdown_timeout(Duration::from_millis(200));
    logger.close();
    result
}

/// A running daemon.
pub struct Daemon {
    callers: Server,
    admin: Server,
    fleet: Arc<Fleet>,
    ledger: Ledger,
    flow: Arc<Flow>,
    daemon: Arc<DaemonState>,
    drain: watch::Sender<Drain>,
    drain_deadline_ms: Millisecond,
    drain_asked: mpsc::Receiver<()>,
    notice: mpsc::Receiver<Millisecond>,
    poller: Poller,
    placement: Option<Placement>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Binds all listen addresses and starts all tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform's URL holds no address, if a listen address cannot be
    /// bound, or if the fleet membership cannot start.
    pub async fn spawn(settings: Settings) -> Result<Self, DaemonError> {
        let clock = Clock::open();
        let (drain, drain_seen) = watch::channel(Drain::Open);
        let flow = open_flow(&settings, clock, drain_seen);
        let (config, config_seen) = watch::channel(None);
        let daemon = Arc::new(DaemonState {
            node: settings.node.name.clone(),
            config: config_seen,
            lifecycle: Lifecycle::open(),
            gate: AdmissionGate::open(
                settings.node.name.clone(),
                clock,
                settings.limits.max_streams,
                rand::rng().random(),
            ),
            peers: Peers::default(),
            metrics: Arc::new(Metrics::open()),
        });
        let endpoint = endpoint(&settings)?;
        let ledger = open_ledger(&settings, endpoint);
        let (notice_sender, notice) = mpsc::channel(1);
        let takeover = Takeover::new(flow.clone(), notice_sender);
        let fleet = Fleet::spawn(fleet_options(&settings, endpoint), Arc::new(takeover))
            .await
            .context(FleetSnafu)?;
        let fleet = Arc::new(fleet);
        daemon.peers.set(fleet.clone());
        let follower = Follower {
            fleet: fleet.clone(),
            daemon: daemon.clone(),
            flow: flow.clone(),
            config,
        };
        let tasks = vec![
            tokio::spawn(follower.run()),
            daemon.gate.spawn_ticks(),
            sweep::spawn(ledger.clone(), daemon.clone()),
        ];
        let placement = spawn_placement(&settings, endpoint, &fleet, &daemon, &flow);
        let poller = Poller::spawn(
            flow.backend.clone(),
            flow.backends.clone(),
            PollerOptions::default(),
        );
        let callers = bind_callers(&settings, &flow, &daemon, &ledger).await?;
        let (drain_sender, drain_asked) = mpsc::channel(1);
        let admin = bind_admin(&settings, &flow, &daemon, drain_sender).await?;
        events::emit(
            Code::DaemonStarted,
            &StartedLog {
                node: &settings.node.name,
                callers: callers.address(),
                admin: admin.address(),
                peers: fleet.peer_address(),
            },
        );
        Ok(Self {
            callers,
            admin,
            fleet,
            ledger,
            flow,
            daemon,
            drain,
            drain_deadline_ms: settings.timeouts.drain_deadline_ms,
            drain_asked,
            notice,
            poller,
            placement,
            tasks,
        })
    }

    /// Serves until a signal, an operator or a reclaim notice ends the daemon, then drains.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers cannot be installed.
    pub async fn serve(mut self) -> Result<(), DaemonError> {
        let mut signals = drain::Signals::open().context(SignalsSnafu)?;
        let deadline_ms = tokio::select! {
            () = signals.next() => self.drain_deadline_ms,
            _ = self.drain_asked.recv() => self.drain_deadline_ms,
            Some(remaining_ms) = self.notice.recv() => remaining_ms.min(self.drain_deadline_ms),
        };
        self.close(deadline_ms, signals).await;
        Ok(())
    }

    async fn close(self, deadline_ms: Millisecond, signals: drain::Signals) {
        let draining = Draining {
            daemon: self.daemon.clone(),
            flow: self.flow.clone(),
            drain: self.drain,
            deadline_ms,
        };
        let report = draining.run(self.callers, signals).await;
        self.ledger.close(drain::LEDGER_CLOSE_MS).await;
        self.poller.close();
        if let Some(placement) = self.placement {
            placement.close().await;
        }
        for task in self.tasks {
            task.abort();
        }
        self.admin.close().await;
        events::emit(Code::DaemonStopped, &report);
        self.fleet.leave().await;
    }
}

fn spawn_placement(
    settings: &Settings,
    endpoint: Endpoint,
    fleet: &Arc<Fleet>,
    daemon: &Arc<DaemonState>,
    flow: &Arc<Flow>,
) -> Option<Placement> {
    match settings.placement {
        PlacementMode::Off => None,
        PlacementMode::Buy => Some(Placement::spawn(PlacementOptions {
            node: settings.node.name.clone(),
            table: Arc::new(HttpTable::open(endpoint, TABLE_NAME)),
            cloud: Arc::new(HttpCloud::open(endpoint)),
            fleet: fleet.clone(),
            daemon: daemon.clone(),
            flow: flow.clone(),
            seed: rand::rng().random(),
        })),
    }
}

fn open_flow(settings: &Settings, clock: Clock, drain: watch::Receiver<Drain>) -> Arc<Flow> {
    let backend = HttpBackend::open(HttpBackendOptions {
        connect_timeout_ms: settings.timeouts.connect_ms,
        ..HttpBackendOptions::default()
    });
    let seed = rand::rng().random();
    let routing = RouteStateConfig {
        weights: CostWeights {
            recompute_ms_per_token: settings.routing.recompute_us_per_token as f64 / 1_000.0,
            ms_per_cent: settings.routing.ms_per_cent as f64,
        },
        ..RouteStateConfig::default()
    };
    let chart = Chart::parse(include_str!("../charts/request.toml"));
    Arc::new(Flow {
        backend: Arc::new(backend),
        backends: Backends::open(routing_of(settings.routing.policy), routing, clock, seed),
        retries: Retries::default(),
        suspicion: Suspicion::default(),
        reclaims: Reclaims::default(),
        store: Store::open(StoreOptions::default()),
        chart: chart.expect("the built-in request chart is valid"),
        clock,
        drain,
        options: FlowOptions::default(),
    })
}

fn routing_of(policy: RoutingPolicy) -> Routing {
    match policy {
        RoutingPolicy::Random => Routing::Random,
        RoutingPolicy::RoundRobin => Routing::RoundRobin,
        RoutingPolicy::LeastOutstanding => Routing::LeastOutstanding,
        RoutingPolicy::PrefixHash => Routing::PrefixHash,
        RoutingPolicy::Cost => Routing::Cost,
    }
}

fn endpoint(settings: &Settings) -> Result<Endpoint, DaemonError> {
    let url = &settings.platform.url;
    let address = url
        .strip_prefix("http://")
        .unwrap_or(url)
        .trim_end_matches('/');
    let Ok(address) = address.parse() else {
        return PlatformUrlSnafu { url }.fail();
    };
    Ok(Endpoint {
        address,
        connect_timeout_ms: settings.timeouts.connect_ms,
        call_timeout_ms: settings.timeouts.platform_ms,
    })
}

fn open_ledger(settings: &Settings, endpoint: Endpoint) -> Ledger {
    let table = Arc::new(HttpTable::open(endpoint, TABLE_NAME));
    let options = ledger::Options::new(settings.node.name.clone(), rand::rng().random());
    Ledger::open(table, options)
}

fn fleet_options(settings: &Settings, endpoint: Endpoint) -> FleetOptions {
    FleetOptions {
        name: settings.node.name.clone(),
        failure_domain: settings.node.failure_domain.clone(),
        peer_listen: settings.listen.peers,
        peer_address: settings.listen.advertised_peers,
        secret: settings.peers.secret.clone(),
        seeds: settings.peers.seeds.clone(),
        table: Arc::new(HttpTable::open(endpoint, TABLE_NAME)),
        objects: Arc::new(HttpObjects::open(
            endpoint,
            settings.platform.bucket.clone(),
        )),
        vms: Arc::new(HttpVms::open(endpoint)),
        timing: Timing::default(),
        rng_seed: rand::rng().random(),
    }
}

fn server_options(settings: &Settings) -> ServerOptions {
    ServerOptions {
        head_timeout_ms: settings.timeouts.header_read_ms,
        max_head_bytes: settings.limits.max_header_bytes as usize,
        stall_timeout_ms: settings.timeouts.caller_stall_ms,
    }
}

async fn bind_callers(
    settings: &Settings,
    flow: &Arc<Flow>,
    daemon: &Arc<DaemonState>,
    ledger: &Ledger,
) -> Result<Server, DaemonError> {
    let front = Arc::new(Front {
        flow: flow.clone(),
        daemon: daemon.clone(),
        ledger: ledger.clone(),
        options: FrontOptions {
            max_body_bytes: settings.limits.max_body_bytes as usize,
            body_timeout_ms: settings.timeouts.body_read_ms,
        },
    });
    let service = tower::service_fn(move |request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.handle(request).await) }
    });
    let address = settings.listen.callers;
    let key = "listen.callers";
    Server::bind(address, server_options(settings), service)
        .await
        .context(ListenSnafu { key, address })
}

async fn bind_admin(
    settings: &Settings,
    flow: &Arc<Flow>,
    daemon: &Arc<DaemonState>,
    drain: mpsc::Sender<()>,
) -> Result<Server, DaemonError> {
    let admin = Arc::new(Admin {
        daemon: daemon.clone(),
        flow: flow.clone(),
        bootstrap_key: settings.peers.secret.clone(),
        drain,
        drain_deadline_ms: settings.timeouts.drain_deadline_ms,
    });
    let service = tower::service_fn(move |request| {
        let admin = admin.clone();
        async move { Ok::<_, Infallible>(admin.handle(request).await) }
    });
    let address = settings.listen.admin;
    let key = "listen.admin";
    Server::bind(address, server_options(settings), service)
        .await
        .context(ListenSnafu { key, address })
}

/// One thread per core in the settings, since the VM may have fewer cores than the host reports.
fn worker_threads(settings: &Settings) -> usize {
    settings.node.cores.ceil() as usize
}
