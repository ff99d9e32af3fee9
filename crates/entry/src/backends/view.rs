//! The view of backend servers that all handlers of this entry VM share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::ids::RequestId;
use base::units::Millisecond;
use base::{Map, Name};
use engine::Target;
use events::Code;
use policy::route::{
    self, AttemptUsage, BlockHash, CacheEvent, LoadReport, NoServer, RouteDecision, RouteRequest,
    RouteState, RouteStateConfig, Routing, ServerState, ServerView,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::watch;

use super::flight::{InFlightAttempt, Leaving};
use crate::clock::Clock;

/// Whether a backend server reports its load and prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// A model engine, which the poller asks for reports.
    Polled,
    /// A plain service, which has no reports to poll and gets its callers' requests only.
    Silent,
}

/// What the VM list and the configuration tell about a backend server.
#[derive(Clone, Debug)]
pub struct BackendInfo {
    pub target: Target,
    pub service: Name,
    pub failure_domain: Name,
    /// The VM's price, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    /// One-way latency from this entry VM, in microseconds.
    pub latency_us: u64,
    pub reporting: Reporting,
    pub leaving: Leaving,
}

struct Server {
    target: Target,
    reporting: Reporting,
    leaving: watch::Sender<Leaving>,
}

struct Inner {
    view: Vec<ServerView>,
    servers: Map<Name, Server>,
    local: RouteState,
    entries: u32,
    rng: SmallRng,
}

/// The view of backend servers and this entry VM's routing state; clones share both.
#[derive(Clone)]
pub struct Backends {
    routing: Routing,
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
}

/// The result of a routing decision, with its attempt already counted as in flight.
pub struct ChosenBackend {
    pub flight: InFlightAttempt,
    /// The chosen server and the reasons for it.
    pub decision: RouteDecision,
}

#[derive(Serialize)]
struct RouteLog<'a> {
    request: RequestId,
    service: &'a Name,
    #[serde(flatten)]
    decision: &'a RouteDecision,
}

#[derive(Serialize)]
struct NoRouteLog<'a> {
    request: RequestId,
    service: &'a Name,
    reason: String,
}

impl Backends {
    /// Creates an empty view; `seed` makes the random choices repeatable.
    pub fn open(routing: Routing, config: RouteStateConfig, clock: Clock, seed: u64) -> Self {
        Self {
            routing,
            clock,
            inner: Arc::new(Mutex::new(Inner {
                view: Vec::new(),
                servers: Map::default(),
                local: RouteState::new(config),
                entries: 1,
                rng: SmallRng::seed_from_u64(seed),
            })),
        }
    }

    /// Chooses a backend server, logs the decision and counts the attempt as in flight.
    ///
    /// # Errors
    ///
    /// Returns the reason if no backend server can take the request.
    pub fn choose(&self, id: RequestId, request: &RouteRequest) -> Result<ChosenBackend, NoServer> {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        let inner = &mut *guard;
        let chosen = route::choose(
            self.routing,
            &inner.view,
            request,
            &inner.local,
            now_ms,
            &mut inner.rng,
        );
        let decision = match chosen {
            Ok(decision) => decision,
            Err(error) => {
                drop(guard);
                log_no_route(id, request, &error);
                return Err(error);
            }
        };
        inner.local.on_sent(id, request, &decision, now_ms);
        let server = &inner.servers[&decision.server];
        let target = server.target.clone();
        let leaving = server.leaving.subscribe();
        drop(guard);
        events::emit(
            Code::RouteChosen,
            &RouteLog {
                request: id,
                service: &request.service,
                decision: &decision,
            },
        );
        let flight = InFlightAttempt::open(id, self.clone(), target, leaving);
        Ok(ChosenBackend { flight, decision })
    }

    /// Estimates the time to the first token of a request that doesn't have to queue; `None` when
    /// no backend server can take it.
    pub fn expected_first_token_ms(&self, request: &RouteRequest) -> Option<Millisecond> {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let (view, local) = (&inner.view, &inner.local);
        route::expected_first_token_ms(view, request, local, &mut inner.rng).ok()
    }

    /// Chooses the server named `server`, by excluding all others.
    ///
    /// # Errors
    ///
    /// Returns the reason if that server cannot take the request.
    pub fn choose_at(
        &self,
        id: RequestId,
        request: &RouteRequest,
        server: &Name,
    ) -> Result<ChosenBackend, NoServer> {
        let mut only_server = request.clone();
        for view in &self.lock().view {
            if view.server != *server {
                only_server.excluded.push(view.server.clone());
            }
        }
        self.choose(id, &only_server)
    }

    pub fn target(&self, server: &Name) -> Option<Target> {
        self.lock().servers.get(server).map(|s| s.target.clone())
    }

    /// Servers whose prefix cache is believed to hold leading blocks of a prompt, with the number
    /// of those blocks.
    pub fn holders(&self, blocks: &[BlockHash]) -> Vec<(Name, usize)> {
        self.lock().local.index().matches(blocks)
    }

    /// Number of entry VMs that send requests to the backend servers.
    pub fn entries(&self) -> u32 {
        self.lock().entries
    }

    /// Replaces the list of backend servers. Servers that stay in the list keep their load reports
    /// and their leaving and suspect marks.
    pub fn set_servers(&self, known: Vec<BackendInfo>) {
        let mut inner = self.lock();
        let mut old_loads: Map<Name, (Option<LoadReport>, ServerState)> = Map::default();
        for view in inner.view.drain(..) {
            old_loads.insert(view.server, (view.load, view.state));
        }
        let mut servers = Map::default();
        for one in known {
            let id = one.target.id.clone();
            let (load, old_state) = old_loads.remove(&id).unwrap_or((None, ServerState::Live));
            let server = inner.servers.remove(&id).unwrap_or_else(|| Server {
                target: one.target.clone(),
                reporting: one.reporting,
                leaving: watch::channel(Leaving::No).0,
            });
            let leaving = merge_leaving(&server, one.leaving);
            servers.insert(id.clone(), server);
            inner.view.push(ServerView {
                server: id,
                service: one.service,
                failure_domain: one.failure_domain,
                load,
                price_micros_per_h: one.price_micros_per_h,
                state: state_of(leaving, old_state),
                latency_us: one.latency_us,
            });
        }
        inner.view.sort_by(|a, b| a.server.cmp(&b.server));
        inner.servers = servers;
        let Inner { local, servers, .. } = &mut *inner;
        local.retain_servers(|name| servers.contains_key(name));
    }

    /// Marks a backend server as leaving; the mark stays while the server is listed.
    pub fn set_leaving(&self, server: &str, gone_ms: Millisecond) {
        let mut inner = self.lock();
        let Some(held) = inner.servers.get(server) else {
            return;
        };
        merge_leaving(held, Leaving::Until(gone_ms));
        for view in &mut inner.view {
            if &*view.server == server {
                view.state = ServerState::Leaving;
            }
        }
    }

    /// Stores the result of a poll. Without a report, the last one ages by `elapsed_ms`.
    pub fn set_load(&self, server: &str, report: Option<LoadReport>, elapsed_ms: Millisecond) {
        let mut inner = self.lock();
        let Ok(at) = inner.view.binary_search_by(|v| (*v.server).cmp(server)) else {
            return;
        };
        let name = inner.view[at].server.clone();
        if let Some(load) = &report {
            inner.local.on_load(&name, load);
        }
        let view = &mut inner.view[at];
        match report {
            Some(load) => {
                view.load = Some(load);
                if view.state == ServerState::Suspect {
                    view.state = ServerState::Live;
                }
            }
            None => {
                if let Some(load) = &mut view.load {
                    load.age_ms += elapsed_ms;
                }
            }
        }
    }

    /// Marks a server as suspect after a failed attempt: until its next load report, it gets
    /// requests only if no other server can take them.
    pub fn set_suspect(&self, server: &str) {
        let mut inner = self.lock();
        for view in &mut inner.view {
            if &*view.server == server && view.state == ServerState::Live {
                view.state = ServerState::Suspect;
            }
        }
    }

    /// Updates the prefix index with a change of a server's prefix cache.
    pub fn on_cache_event(&self, server: &Name, event: &CacheEvent) {
        self.lock().local.on_cache_event(server, event);
    }

    /// Sets the number of entry VMs that send requests to the backend servers.
    pub fn set_entries(&self, entries: u32) {
        let mut inner = self.lock();
        inner.entries = entries.max(1);
        inner.local.set_entries(entries);
    }

    /// Returns a copy of the view, sorted by server name.
    pub fn view(&self) -> Vec<ServerView> {
        self.lock().view.clone()
    }

    /// The targets of all backend servers in the view, with the service of each.
    pub fn targets(&self) -> Vec<(Target, Name)> {
        let inner = self.lock();
        let mut targets = Vec::with_capacity(inner.view.len());
        for view in &inner.view {
            let target = inner.servers[&view.server].target.clone();
            targets.push((target, view.service.clone()));
        }
        targets
    }

    /// The targets of the backend servers that the poller asks for reports.
    pub(super) fn polled(&self) -> Vec<Target> {
        let inner = self.lock();
        let mut polled = Vec::with_capacity(inner.servers.len());
        for server in inner.servers.values() {
            if server.reporting == Reporting::Polled {
                polled.push(server.target.clone());
            }
        }
        polled
    }

    pub(super) fn on_first_token(&self, id: RequestId) {
        let now_ms = self.clock.now_ms();
        self.lock().local.on_first_token(id, now_ms);
    }

    pub(super) fn on_ended(&self, id: RequestId, usage: Option<AttemptUsage>) {
        let now_ms = self.clock.now_ms();
        self.lock().local.on_ended(id, usage, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Merges `news` into a server's leaving mark and returns the result. A mark is never removed; of
/// two departure times, the earlier one wins.
fn merge_leaving(server: &Server, news: Leaving) -> Leaving {
    server.leaving.send_if_modified(|held| match (*held, news) {
        (Leaving::No, Leaving::Until(_)) => {
            *held = news;
            true
        }
        (Leaving::Until(old), Leaving::Until(new)) if new < old => {
            *held = news;
            true
        }
        _ => false,
    });
    *server.leaving.borrow()
}

fn state_of(leaving: Leaving, old: ServerState) -> ServerState {
    match leaving {
        Leaving::Until(_) => ServerState::Leaving,
        Leaving::No => old,
    }
}

fn log_no_route(id: RequestId, request: &RouteRequest, error: &NoServer) {
    events::emit(
        Code::RouteNone,
        &NoRouteLog {
            request: id,
            service: &request.service,
            reason: error.to_string(),
        },
    );
}
