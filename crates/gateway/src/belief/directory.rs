//! The operator's directory: routes, services, workspaces and bounds on callers.

use std::sync::Arc;

use base::units::{Millisecond, TokenCount};
use base::{Map, Name};

/// One version of the directory.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Its version; a greater one replaces it.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: Map<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: Map<Name, Arc<Service>>,
    /// Workspaces by key.
    keys: Map<Name, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: Map<Name, Arc<Workspace>>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request.
    pub head_bytes: usize,
    /// Longest body of a request.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout_ms: Millisecond,
    /// Longest time that a connection may stay open between requests.
    pub idle_timeout_ms: Millisecond,
}

impl Default for CallerLimits {
    /// Bounds while no directory is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Requests of one host below one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a directory.
    pub name: Name,
    /// Host, in lower case.
    pub host: Name,
    /// Start of the path; ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services and their weights.
    pub targets: Vec<Target>,
    /// Longest time that the operator lets a caller wait.
    pub timeout_ms: Option<Millisecond>,
    /// Time to the answer, or to the first event, that callers are owed.
    pub target_ms: Millisecond,
    /// Longest pause between events that callers are owed.
    pub gap_target_ms: Option<Millisecond>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most backend servers that may run one request.
    pub runs_limit: u32,
    /// Who may call.
    pub access: Access,
}

/// Who may call a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Anyone.
    Public,
    /// Holders of a workspace's key.
    Workspaces,
}

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Answers are events; a stream may go on at another backend server.
    ResumableStream,
    /// Answers are events; a request runs at most once.
    Stream,
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn repeats(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are events.
    pub fn streams(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::ResumableStream => "resumable_stream",
            Self::Stream => "stream",
        }
    }
}

/// A service and its backend servers' common properties.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in a directory.
    pub name: Name,
    /// Connections that one backend server takes from all callers together.
    pub connections_limit: u32,
    /// The model engine, if its backend servers run one.
    pub engine: Option<Engine>,
    /// How its backend servers may be ordered.
    pub scaling: Option<Scaling>,
    /// Shortest time to the first byte that a route to it owes; set by the directory.
    pub shortest_target_ms: Option<Millisecond>,
}

/// Common properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests decoded at once.
    pub slots: u32,
    /// Tokens kept in memory.
    pub memory_tokens: TokenCount,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// How the backend servers of a service may be ordered; bounds hold in each failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Fewest.
    pub min: u32,
    /// Most, reclaimable and on demand together.
    pub max: u32,
    /// Time from an order to the first request served.
    pub boot_ms: Millisecond,
    /// Price of a reclaimable one as a part of the price on demand; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of a second by failure domain.
    pub domain_prices: Map<Name, f64>,
}

/// A workspace and what it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// What it may use over all nodes; `None` without a limit.
    pub allowance: Option<Allowance>,
    /// How a request counts.
    pub unit: Unit,
}

/// Token bucket of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Units a second.
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

/// How a request counts against an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// As one.
    Requests,
    /// By its tokens.
    Tokens {
        /// Tokens of a request that names none.
        default_tokens: TokenCount,
    },
}

impl Unit {
    /// Units of a request whose tokens are `tokens`.
    pub fn cost(self, tokens: Option<TokenCount>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { default_tokens } => tokens.unwrap_or(default_tokens) as f64,
        }
    }
}

/// Parts of a directory, as decoded.
#[derive(Clone, Debug, Default)]
pub struct DirectoryParts {
    /// Its version.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces with their keys.
    pub workspaces: Vec<(Workspace, Vec<Name>)>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// What a request's key says.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The route is public and no known key was sent.
    Anyone,
    /// The holder of a key.
    Workspace(Arc<Workspace>),
    /// The route wants a key, and none that is known was sent.
    Unknown,
}

impl Directory {
    /// Puts the parts together.
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

    /// The route of a host and a path without query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let of_host = match self.routes.get(name) {
            Some(of_host) => of_host,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        of_host.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Who calls a route with that key.
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
    /// The service for a number drawn evenly from 0 to 1.
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
