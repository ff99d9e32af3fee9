//! What routing reads and what it answers.

use base::Name;
use base::units::{Microsecond, Millisecond, TokenCount};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::blocks::BlockHash;

/// Which routing policy is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// Any live server, drawn evenly.
    Random,
    /// Live servers in turn.
    RoundRobin,
    /// The server with the fewest requests in flight from this entry VM.
    LeastOutstanding,
    /// The server that the first prompt block hashes to.
    PrefixHash,
    /// The lowest predicted cost: time, recomputed tokens and price.
    #[default]
    Cost,
}

/// Whether running a request twice is harmless.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Running it again changes nothing.
    #[default]
    Idempotent,
    /// It must run at most once.
    NonIdempotent,
}

/// Priority of a request; lower goes first.
pub type Priority = u8;

/// Whether a server may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// In use.
    Live,
    /// Under notice; takes no new work.
    Leaving,
    /// Recently failing or unheard of; takes work only when nothing else is left.
    Suspect,
}

/// A server's own account of its load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being computed.
    pub running: u32,
    /// Requests queued at the server.
    pub waiting: u32,
    /// Tokens held in the KV cache.
    pub kv_used_tokens: TokenCount,
    /// Capacity of the KV cache.
    pub kv_total_tokens: TokenCount,
    /// Tokens generated a second by the whole server.
    pub tokens_per_s: f64,
    /// Requests that can be computed at once.
    pub slots: u32,
    /// Time since the server made the report.
    pub age_ms: Millisecond,
}

/// One backend server as the fleet knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// Name of the server's VM.
    pub server: Name,
    /// The service it offers.
    pub service: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// Its latest report, if one has been heard.
    pub load: Option<LoadReport>,
    /// Price of its VM, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    /// Whether it may take new work.
    pub state: ServerState,
    /// One-way network latency from this entry VM.
    pub latency_us: Microsecond,
}

/// What routing has to know of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRequest {
    /// The service asked for.
    pub service: Name,
    /// Chained hashes of the prompt's whole blocks, from [`super::blocks`].
    pub blocks: Vec<BlockHash>,
    /// Estimated prompt length; 0 for a plain service.
    pub prompt_tokens: TokenCount,
    /// Estimated answer length; 0 for a plain service.
    pub output_tokens: TokenCount,
    /// Priority; lower goes first.
    pub priority: Priority,
    /// Whether it may run twice.
    pub effect: Effect,
    /// Servers already tried.
    pub excluded: Vec<Name>,
}

/// Relative worth of time, recomputation and money in the cost policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Milliseconds that one recomputed token is worth beyond the time it takes.
    pub recompute_ms_per_token: f64,
    /// Milliseconds that a hundredth of the currency is worth.
    pub ms_per_cent: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            recompute_ms_per_token: 0.2,
            ms_per_cent: 200.0,
        }
    }
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// Drawn at random.
    Random,
    /// Its turn.
    Turn,
    /// Fewest requests in flight.
    LeastOutstanding,
    /// The prompt's first block hashes to it.
    PrefixHash,
    /// Holds the longest prefix, and the lowest cost.
    PrefixCached,
    /// Lowest predicted cost without a cached prefix.
    LowestCost,
    /// Every server is at its bound; this one is the least loaded.
    LeastOverloaded,
}

/// A server that was considered, with its score; lower is better.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Alternative {
    /// The server.
    pub server: Name,
    /// Predicted cost in milliseconds, or the baseline's own measure.
    pub score: f64,
    /// Prompt tokens believed to be in its cache.
    pub cached_tokens: TokenCount,
}

/// The chosen server and what it was weighed against.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteDecision {
    /// The chosen server.
    pub server: Name,
    /// Why.
    pub reason: RouteReason,
    /// Prompt tokens believed to be in its cache.
    pub cached_tokens: TokenCount,
    /// The best few of those considered, the chosen one included, best first.
    pub alternatives: Vec<Alternative>,
}

/// No server can take the request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NoServer {
    /// The view lists no server of the service.
    #[snafu(display("No backend server offers the service `{service}`."))]
    NoneKnown {
        /// The service.
        service: Name,
    },
    /// All servers of the service are leaving.
    #[snafu(display("Every backend server of the service `{service}` is leaving."))]
    AllLeaving {
        /// The service.
        service: Name,
    },
    /// All usable servers were tried already.
    #[snafu(display("Every usable backend server of the service `{service}` was tried already."))]
    AllExcluded {
        /// The service.
        service: Name,
    },
}
