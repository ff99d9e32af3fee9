//! Routing: choice of a backend server for a request.
//!
//! [`choose`] reads the view that heartbeats and load reports maintain, and the state that this
//! entry VM has learned from its own requests ([`RouteState`]). It changes neither.

mod baseline;
mod blocks;
mod candidates;
mod cost;
mod index;
mod state;
mod view;

pub use blocks::{BLOCK_TOKENS, BlockHash, blocks};
pub use index::{CacheEvent, MAX_HOLDERS, PrefixIndex};
pub use state::{AttemptUsage, RouteState, RouteStateConfig};
pub use view::{
    Alternative, CostWeights, Effect, LoadReport, NoServer, Priority, RouteDecision, RouteReason,
    RouteRequest, Routing, ServerState, ServerView,
};

use base::units::Millisecond;
use rand::Rng;

/// Chooses a backend server. `view` must be sorted by server name.
///
/// Leaving servers, servers of other services and those in `request.excluded` are never chosen.
/// Suspect servers are chosen only if no live one is left.
///
/// # Errors
///
/// Fails if no server can be chosen; the error gives the reason.
pub fn choose(
    routing: Routing,
    view: &[ServerView],
    request: &RouteRequest,
    local: &RouteState,
    now_ms: Millisecond,
    rng: &mut impl Rng,
) -> Result<RouteDecision, NoServer> {
    let candidates = candidates::select(routing, view, request, local, rng)?;
    let decision = match routing {
        Routing::Random => baseline::random(&candidates, rng),
        Routing::RoundRobin => baseline::round_robin(&candidates, request, local),
        Routing::LeastOutstanding => baseline::least_outstanding(&candidates, local, rng),
        Routing::PrefixHash => baseline::prefix_hash(&candidates, request),
        Routing::Cost => cost::cheapest(&candidates, request, local, now_ms, rng),
    };
    Ok(decision)
}

/// Estimates the time to first token without queueing from the learned speeds and the prefix index.
/// `view` must be sorted by server name.
///
/// # Errors
///
/// Fails if no server can be chosen; the error gives the reason.
pub fn expected_first_token_ms(
    view: &[ServerView],
    request: &RouteRequest,
    local: &RouteState,
    rng: &mut impl Rng,
) -> Result<Millisecond, NoServer> {
    let candidates = candidates::select(Routing::Cost, view, request, local, rng)?;
    Ok(cost::soonest_first_token_ms(&candidates, request, local))
}
