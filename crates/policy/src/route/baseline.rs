//! Simple routing policies, baselines for the cost policy.

use rand::Rng;

use super::candidates::Candidate;
use super::state::RouteState;
use super::view::{Alternative, RouteDecision, RouteReason, RouteRequest};

/// Odd multiplier that mixes the bits of the rendezvous hash (2^64 divided by the golden ratio).
const RENDEZVOUS_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Chooses a candidate uniformly at random.
pub(super) fn random(candidates: &[Candidate], rng: &mut impl Rng) -> RouteDecision {
    let chosen = &candidates[rng.random_range(0..candidates.len())];
    decide(chosen, RouteReason::Random, Vec::new())
}

/// Chooses the candidates in turn.
pub(super) fn round_robin(
    candidates: &[Candidate],
    request: &RouteRequest,
    local: &RouteState,
) -> RouteDecision {
    let turn = local.turn(&request.service) % candidates.len() as u64;
    decide(&candidates[turn as usize], RouteReason::Turn, Vec::new())
}

/// Chooses the candidate with the fewest requests in flight from this entry VM; ties are broken at
/// random.
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

/// Chooses the candidate with the highest rendezvous hash for the prompt's first block.
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
    let mut hash = prefix ^ RENDEZVOUS_MULTIPLIER;
    for byte in server.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(RENDEZVOUS_MULTIPLIER);
        hash ^= hash >> 29;
    }
    hash.wrapping_mul(RENDEZVOUS_MULTIPLIER) ^ (hash >> 32)
}

/// Builds the decision with the best alternatives only, to keep its log line short.
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
