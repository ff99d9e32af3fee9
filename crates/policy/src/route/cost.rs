//! Cost policy: scores each candidate by predicted time, recomputed tokens and price.

use base::units::Millisecond;
use rand::Rng;

use super::baseline::decide;
use super::candidates::Candidate;
use super::state::{RouteState, ServerStats};
use super::view::{Alternative, LoadReport, RouteDecision, RouteReason, RouteRequest};

/// Requests for each slot at which a server counts as full.
const MAX_FULLNESS: f64 = 1.25;

/// Slots assumed for a server that has sent no load report.
const PRIOR_SLOTS: u32 = 8;

/// Scores up to this multiple of the best score count as equal to it.
const NEAR_BEST_FACTOR: f64 = 1.05;

/// Fraction that a full batch adds to the learned decode time.
const BATCH_SLOWDOWN: f64 = 0.5;

const MS_PER_H: f64 = 3_600_000.0;
const MICROS_PER_CENT: f64 = 10_000.0;
const US_PER_MS: f64 = 1_000.0;

struct Scored<'a> {
    candidate: &'a Candidate<'a>,
    score: f64,
    fullness: f64,
}

/// Chooses the candidate with the lowest predicted cost among those that are not full. The choice
/// among nearly equal scores is random, so entry VMs with the same view do not all choose the same
/// server.
pub(super) fn cheapest(
    candidates: &[Candidate],
    request: &RouteRequest,
    local: &RouteState,
    now_ms: Millisecond,
    rng: &mut impl Rng,
) -> RouteDecision {
    let prior = ServerStats::default();
    let mut scored = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let stats = local.stats(&candidate.view.server).unwrap_or(&prior);
        scored.push(score(candidate, request, local, stats, now_ms));
    }
    let alternatives = scored.iter().map(|s| Alternative {
        server: s.candidate.view.server.clone(),
        score: s.score,
        cached_tokens: s.candidate.cached_tokens,
    });
    let alternatives = alternatives.collect();
    let below_bound: Vec<&Scored> = scored
        .iter()
        .filter(|s| s.fullness < MAX_FULLNESS)
        .collect();
    if below_bound.is_empty() {
        let least_loaded = scored
            .iter()
            .min_by(|a, b| a.fullness.total_cmp(&b.fullness));
        let least_loaded = least_loaded.map_or(&candidates[0], |s| s.candidate);
        return decide(least_loaded, RouteReason::LeastOverloaded, alternatives);
    }
    let best = below_bound
        .iter()
        .map(|s| s.score)
        .fold(f64::INFINITY, f64::min);
    let near: Vec<&&Scored> = below_bound
        .iter()
        .filter(|s| s.score <= best * NEAR_BEST_FACTOR)
        .collect();
    let chosen = near[rng.random_range(0..near.len())].candidate;
    let reason = match chosen.cached_tokens {
        0 => RouteReason::LowestCost,
        _ => RouteReason::PrefixCached,
    };
    decide(chosen, reason, alternatives)
}

/// Shortest time to first token over all candidates, without queueing.
pub(super) fn soonest_first_token_ms(
    candidates: &[Candidate],
    request: &RouteRequest,
    local: &RouteState,
) -> Millisecond {
    let prior = ServerStats::default();
    let mut soonest_ms = f64::INFINITY;
    for candidate in candidates {
        let stats = local.stats(&candidate.view.server).unwrap_or(&prior);
        let new_tokens = request
            .prompt_tokens
            .saturating_sub(candidate.cached_tokens) as f64;
        let prefill_ms = new_tokens / stats.prefill_tokens_per_ms.max(0.01);
        let network_ms = 2.0 * candidate.view.latency_us as f64 / US_PER_MS;
        soonest_ms = soonest_ms.min(prefill_ms + network_ms);
    }
    soonest_ms as Millisecond
}

fn score<'a>(
    candidate: &'a Candidate<'a>,
    request: &RouteRequest,
    local: &RouteState,
    stats: &ServerStats,
    now_ms: Millisecond,
) -> Scored<'a> {
    let view = candidate.view;
    let slots = view.load.map_or(PRIOR_SLOTS, |load| load.slots).max(1);
    let requests = expected_requests(view.load.as_ref(), stats, local.entries(), now_ms);
    let fullness = requests / f64::from(slots);

    let new_tokens = request
        .prompt_tokens
        .saturating_sub(candidate.cached_tokens) as f64;
    let prefill_ms = new_tokens / stats.prefill_tokens_per_ms.max(0.01);
    let decode_ms = request.output_tokens as f64
        * stats.decode_ms_per_token
        * (1.0 + BATCH_SLOWDOWN * fullness.min(1.0));
    let run_ms = match request.output_tokens {
        0 => stats.service_ms,
        _ => prefill_ms + decode_ms,
    };
    let ahead = (requests + 1.0 - f64::from(slots)).max(0.0);
    let wait_ms = ahead * stats.service_ms.max(run_ms) / f64::from(slots);
    let network_ms = 2.0 * view.latency_us as f64 / US_PER_MS;

    let weights = local.weights();
    let recompute_ms = new_tokens * weights.recompute_ms_per_token;
    let micros = view.price_micros_per_h as f64 * run_ms / MS_PER_H / f64::from(slots);
    let price_ms = micros / MICROS_PER_CENT * weights.ms_per_cent;
    Scored {
        candidate,
        score: run_ms + wait_ms + network_ms + recompute_ms + price_ms,
        fullness,
    }
}

/// Estimates the requests at a server: those it reported and those sent since. Every other entry VM
/// is assumed to have sent as many since the report as this one.
fn expected_requests(
    load: Option<&LoadReport>,
    stats: &ServerStats,
    entries: u32,
    now_ms: Millisecond,
) -> f64 {
    let own = f64::from(stats.in_flight);
    let Some(load) = load else {
        return own * f64::from(entries);
    };
    let (unreported, _) = stats.unreported(now_ms, load.age_ms);
    let unreported = f64::from(unreported.min(stats.in_flight));
    let reported = f64::from(load.running + load.waiting);
    (reported + unreported * f64::from(entries)).max(own)
}
