//! Choice of a backend server for one request.
//!
//! [`choose`] reads the view that heartbeats and load reports maintain and the state that this
//! entry VM has learned itself ([`RouteState`]); it never changes either.

mod baseline;
mod blocks;
mod candidates;
mod cost;
mod index;
mod state;
mod view;

pub use blocks::{BLOCK_TOKENS, BlockHash, blocks};
pub use index::{CacheEvent, MAX_HOLDERS, PrefixIndex};
pub use state::{RouteState, RouteStateConfig, Usage};
pub use view::{
    Alternative, Effect, LoadReport, NoServer, Priority, RouteDecision, RouteReason, RouteRequest,
    Routing, ServerState, ServerView, Weights,
};

use base::units::Millisecond;
use rand::Rng;

/// Chooses a backend server. `view` must be sorted by server name.
///
/// Servers of other services, leaving ones and those in `request.excluded` are never chosen;
/// suspects only when nothing else is left.
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

/// Time to the first token that a request can expect when nothing waits, from what this entry VM
/// has learned of speeds and caches. `view` must be sorted by server name.
pub fn expected_first_token_ms(
    view: &[ServerView],
    request: &RouteRequest,
    local: &RouteState,
    rng: &mut impl Rng,
) -> Result<Millisecond, NoServer> {
    let candidates = candidates::select(Routing::Cost, view, request, local, rng)?;
    Ok(cost::soonest_first_token_ms(&candidates, request, local))
}
