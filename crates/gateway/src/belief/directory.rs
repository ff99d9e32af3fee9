//! The operator's directory: routes, services, workspaces and limits on callers' requests.

use std::sync::Arc;

use base::units::{Millisecond, TokenCount};
use base::{Map, Name};

/// One version of the operator's directory.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// A directory replaces another one only if its version is greater.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: Map<Name, Vec<Arc<Route>>>,
    pub services: Map<Name, Arc<Service>>,
    /// Workspaces by key.
    keys: Map<Name, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: Map<Name, Arc<Workspace>>,
    pub limits: CallerLimits,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head.
    pub head_bytes: usize,
    /// Longest request body.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout_ms: Millisecond,
    /// Longest time that a connection may stay idle between requests.
    pub idle_timeout_ms: Millisecond,
}

impl Default for CallerLimits {
    /// Limits that hold while no directory is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Requests to one host whose paths start with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique within a directory.
    pub name: Name,
    /// Host, in lower case.
    pub host: Name,
    /// Start of the path, with a slash at the end.
    pub prefix: Name,
    /// Whether requests may be repeated, and whether answers are streamed.
    pub kind: RouteKind,
    /// Services that the requests are divided among, by weight.
    pub targets: Vec<RouteTarget>,
    /// Longest time that a caller waits for an answer; `None` without a limit by the operator.
    pub timeout_ms: Option<Millisecond>,
    /// Latency target: time to a whole answer, or to the first event of a stream.
    pub target_ms: Millisecond,
    /// Longest pause between the events of a stream that still meets the target.
    pub gap_target_ms: Option<Millisecond>,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Most backend servers on which one request may run.
    pub runs_limit: u32,
    pub access: Access,
}

/// Callers that a route admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Callers need no key.
    Public,
    /// Callers need the key of a workspace.
    Workspaces,
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    pub service: Name,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Whether requests of a route may be repeated, and whether answers are streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once; an answer is delivered as a whole.
    Idempotent,
    /// Requests run at most once; an answer is delivered as a whole.
    NonIdempotent,
    /// Answers are event streams; another backend server can continue a stream that broke.
    ResumableStream,
    /// Answers are event streams; requests run at most once.
    Stream,
}

impl RouteKind {
    /// Whether a request may be sent again although an earlier attempt may have run.
    pub fn repeats(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// True if answers are event streams.
    pub fn streams(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Value of the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::ResumableStream => "resumable_stream",
            Self::Stream => "stream",
        }
    }
}

/// A service: a group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique within a directory.
    pub name: Name,
    /// Most connections that one backend server accepts from all nodes together.
    pub connections_limit: u32,
    /// Model engine that the backend servers run; `None` if they run none.
    pub engine: Option<Engine>,
    /// Bounds and prices for ordering servers; `None` if the number of servers is fixed.
    pub scaling: Option<Scaling>,
    /// Shortest latency target among the routes to this service. [`Directory::new`] sets it.
    pub shortest_target_ms: Option<Millisecond>,
}

/// Properties that the model engines of a service have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that are decoded at the same time.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub memory_tokens: TokenCount,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// Bounds and prices for ordering backend servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Fewest servers in each failure domain.
    pub min: u32,
    /// Most servers in each failure domain, reclaimable and on demand together.
    pub max: u32,
    /// Time from an order to the first request served by the new server.
    pub boot_ms: Millisecond,
    /// Price of a reclaimable server as a share of the price on demand; `None` if the service has
    /// no reclaimable servers.
    pub reclaimable_price: Option<f64>,
    /// Price of a server for one second, by failure domain.
    pub domain_prices: Map<Name, f64>,
}

/// A workspace and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    pub name: Name,
    /// Priority class; takes precedence over that of the route.
    pub priority: Option<u8>,
    /// Limit on use over all nodes; `None` if the workspace has no limit.
    pub allowance: Option<Allowance>,
    pub unit: AllowanceUnit,
}

/// Rate limit of a workspace, kept as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Units added to the bucket each second.
    pub rate_per_s: f64,
    /// Capacity of the bucket in units.
    pub burst: f64,
}

/// What a request is charged against an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceUnit {
    /// Each request costs one unit.
    Requests,
    /// Each token costs one unit.
    Tokens {
        /// Charged for a request that doesn't say how many tokens it may use.
        default_tokens: TokenCount,
    },
}

impl AllowanceUnit {
    /// Units charged for a request that says it uses `tokens`.
    pub fn cost(self, tokens: Option<TokenCount>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { default_tokens } => tokens.unwrap_or(default_tokens) as f64,
        }
    }
}

/// Decoded parts of a directory, as input of [`Directory::new`].
#[derive(Clone, Debug, Default)]
pub struct DirectoryParts {
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    /// Workspaces, each with its keys.
    pub workspaces: Vec<(Workspace, Vec<Name>)>,
    pub limits: CallerLimits,
}

/// Identity of a caller, found by its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The route is public, or there are no workspaces; no known key was sent.
    Anyone,
    /// A known key of this workspace was sent.
    Workspace(Arc<Workspace>),
    /// The route needs a key, and the caller sent none or an unknown one.
    Unknown,
}

impl Directory {
    /// Builds the indexes of a directory from its parts.
    pub fn new(parts: DirectoryParts) -> Self {
        let shortest = shortest_targets(&parts.routes);
        let mut routes: Map<Name, Vec<Arc<Route>>> = Map::default();
        for route in parts.routes {
            let host = route.host.clone();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = Map::default();
        let mut workspaces = Map::default();
        for (workspace, own_keys) in parts.workspaces {
            let workspace = Arc::new(workspace);
            workspaces.insert(workspace.name.clone(), workspace.clone());
            for key in own_keys {
                keys.insert(key, workspace.clone());
            }
        }
        let services = parts.services.into_iter().map(|service| Service {
            shortest_target_ms: shortest.get(&service.name).copied(),
            ..service
        });
        Self {
            version: parts.version,
            routes,
            services: services.map(|s| (s.name.clone(), Arc::new(s))).collect(),
            keys,
            workspaces,
            limits: parts.limits,
        }
    }

    /// The route with the longest prefix that matches `path`, which is given without its query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let of_host = match self.routes.get(name) {
            Some(of_host) => of_host,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        of_host.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Identity of a caller that sent `key` on `route`.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        if let Some(workspace) = key.and_then(|key| self.keys.get(key)) {
            return Caller::Workspace(workspace.clone());
        }
        match route.access {
            Access::Public => Caller::Anyone,
            Access::Workspaces if self.workspaces.is_empty() => Caller::Anyone,
            Access::Workspaces => Caller::Unknown,
        }
    }
}

fn shortest_targets(routes: &[Route]) -> Map<Name, Millisecond> {
    let mut shortest: Map<Name, Millisecond> = Map::default();
    for route in routes {
        for target in &route.targets {
            let least_ms = shortest.entry(target.service.clone());
            let least_ms = least_ms.or_insert(route.target_ms);
            *least_ms = (*least_ms).min(route.target_ms);
        }
    }
    shortest
}

impl Route {
    /// Chooses a service by weight. `drawn` is a random number, uniform from 0 to 1.
    pub fn service(&self, drawn: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut rest = drawn * f64::from(total);
        for target in &self.targets {
            rest -= f64::from(target.weight);
            if rest < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}
