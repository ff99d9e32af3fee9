//! Plain policies that the cost policy is compared with.

use rand::Rng;

use super::candidates::Candidate;
use super::state::RouteState;
use super::view::{Alternative, RouteDecision, RouteReason, RouteRequest};

/// Multiplier of the rendezvous hash.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// Any candidate, drawn evenly.
pub(super) fn random(candidates: &[Candidate], rng: &mut impl Rng) -> RouteDecision {
    let chosen = &candidates[rng.random_range(0..candidates.len())];
    decide(chosen, RouteReason::Random, Vec::new())
}

/// Candidates in turn.
pub(super) fn round_robin(
    candidates: &[Candidate],
    request: &RouteRequest,
    local: &RouteState,
) -> RouteDecision {
    let turn = local.turn(&request.service) % candidates.len() as u64;
    decide(&candidates[turn as usize], RouteReason::Turn, Vec::new())
}

/// The candidate with the fewest requests in flight from here; ties are drawn evenly.
pub(super) fn least_outstanding(
    candidates: &[Candidate],
    local: &RouteState,
    rng: &mut impl Rng,
) -> RouteDecision {
    let count = |candidate: &Candidate| local.in_flight(&candidate.view.server);
    let least = candidates.iter().map(count).min().unwrap_or(0);
    let tied: Vec<&Candidate> = candidates.iter().filter(|c| count(c) == least).collect();
    let chosen = tied[rng.random_range(0..tied.len())];
    let alternatives = candidates.iter().map(|candidate| Alternative {
        server: candidate.view.server.clone(),
        score: f64::from(count(candidate)),
        cached_tokens: 0,
    });
    decide(
        chosen,
        RouteReason::LeastOutstanding,
        alternatives.collect(),
    )
}

/// The candidate with the highest rendezvous hash for the prompt's first block.
pub(super) fn prefix_hash(candidates: &[Candidate], request: &RouteRequest) -> RouteDecision {
    let prefix = request.blocks.first().copied().unwrap_or(0);
    let mut chosen = &candidates[0];
    let mut highest = 0;
    for candidate in candidates {
        let rank = rank(prefix, &candidate.view.server);
        if rank < highest {
            continue;
        }
        highest = rank;
        chosen = candidate;
    }
    decide(chosen, RouteReason::PrefixHash, Vec::new())
}

fn rank(prefix: u64, server: &str) -> u64 {
    let mut hash = prefix ^ MIX;
    for byte in server.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(MIX);
        hash ^= hash >> 29;
    }
    hash.wrapping_mul(MIX) ^ (hash >> 32)
}

/// Keeps the best few alternatives for the log line.
pub(super) fn decide(
    chosen: &Candidate,
    reason: RouteReason,
    mut alternatives: Vec<Alternative>,
) -> RouteDecision {
    const LOGGED_ALTERNATIVES: usize = 4;
    alternatives.sort_by(|a, b| a.score.total_cmp(&b.score));
    alternatives.truncate(LOGGED_ALTERNATIVES);
    RouteDecision {
        server: chosen.view.server.clone(),
        reason,
        cached_tokens: chosen.cached_tokens,
        alternatives,
    }
}
