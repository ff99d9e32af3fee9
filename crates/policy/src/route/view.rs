//! Inputs and results of routing.

use base::Name;
use base::units::{Microsecond, Millisecond, TokenCount};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::blocks::BlockHash;

/// Routing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// A live server chosen uniformly at random.
    Random,
    /// The live servers in turn.
    RoundRobin,
    /// The server with the fewest requests in flight from this entry VM.
    LeastOutstanding,
    /// The server with the highest rendezvous hash for the first prompt block.
    PrefixHash,
    /// The server with the lowest predicted cost: time, recomputed tokens and price.
    #[default]
    Cost,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Another run has no further effect.
    #[default]
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// Priority of a request; lower values go first.
pub type Priority = u8;

/// Availability of a server for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Available.
    Live,
    /// Announced to leave; takes no new requests.
    Leaving,
    /// Failed recently or sent no heartbeat; takes requests only if no live server is left.
    Suspect,
}

/// Load that a server reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub kv_used_tokens: TokenCount,
    pub kv_total_tokens: TokenCount,
    /// Tokens generated per second by the whole server.
    pub tokens_per_s: f64,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    pub age_ms: Millisecond,
}

/// State of a backend server in this entry VM's view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// Name of the server's VM, which identifies the server.
    pub server: Name,
    pub service: Name,
    pub failure_domain: Name,
    /// Latest load report, if one has arrived.
    pub load: Option<LoadReport>,
    /// Price of the server's VM, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    pub state: ServerState,
    /// One-way network latency from this entry VM.
    pub latency_us: Microsecond,
}

/// Properties of a request that routing reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRequest {
    pub service: Name,
    /// Chained hashes of the prompt's complete blocks, from [`super::blocks()`].
    pub blocks: Vec<BlockHash>,
    /// Estimated length of the prompt; 0 for a plain service.
    pub prompt_tokens: TokenCount,
    /// Estimated length of the answer; 0 for a plain service.
    pub output_tokens: TokenCount,
    pub priority: Priority,
    pub effect: Effect,
    /// Servers that were tried already.
    pub excluded: Vec<Name>,
}

/// Weights of recomputation and price against time in the cost policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostWeights {
    /// Cost of one recomputed token in milliseconds, beyond the time that it takes.
    pub recompute_ms_per_token: f64,
    /// Cost of a hundredth of the currency in milliseconds.
    pub ms_per_cent: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self {
            recompute_ms_per_token: 0.2,
            ms_per_cent: 200.0,
        }
    }
}

/// Reason for the choice of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// Chosen at random.
    Random,
    /// Next in round-robin order.
    Turn,
    /// Fewest requests in flight from this entry VM.
    LeastOutstanding,
    /// Highest rendezvous hash for the prompt's first block.
    PrefixHash,
    /// Lowest predicted cost, with a cached prefix.
    PrefixCached,
    /// Lowest predicted cost, without a cached prefix.
    LowestCost,
    /// Least loaded, where every candidate is full.
    LeastOverloaded,
}

/// A candidate with its score; lower is better.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Alternative {
    pub server: Name,
    /// Predicted cost in milliseconds, or requests in flight for the policy `least_outstanding`.
    pub score: f64,
    pub cached_tokens: TokenCount,
}

/// The chosen server with the best alternatives.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteDecision {
    pub server: Name,
    pub reason: RouteReason,
    /// Prompt tokens that the index expects in the server's cache.
    pub cached_tokens: TokenCount,
    /// Best candidates by score, the chosen one included; lower scores come first.
    pub alternatives: Vec<Alternative>,
}

/// Reason why no server can take a request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NoServer {
    #[snafu(display("No backend server offers the service `{service}`."))]
    NoneKnown { service: Name },
    #[snafu(display("Every backend server of the service `{service}` is leaving."))]
    AllLeaving { service: Name },
    #[snafu(display("Every usable backend server of the service `{service}` was tried already."))]
    AllExcluded { service: Name },
}
