//! Routing decision against the number of servers and of prompt blocks.

use base::Name;
use base::ids::RequestId;
use policy::route::{
    BLOCK_TOKENS, LoadReport, RouteRequest, RouteState, RouteStateConfig, Routing, ServerState,
    ServerView, choose,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{report, time_us};

const CALLS: usize = 2_000;
const DEFAULT_BLOCKS: usize = 32;
const DEFAULT_SERVERS: usize = 20;

/// Varies servers, then blocks.
pub fn run(seed: u64) {
    let mut points = Vec::new();
    for servers in [20, 60, 200, 1_000, 5_000, 10_000] {
        points.push((servers as f64, decision_us(servers, DEFAULT_BLOCKS, seed)));
    }
    report("route.decision", "servers", "us", points);
    let mut points = Vec::new();
    for blocks in [0, 16, 64, 256] {
        points.push((blocks as f64, decision_us(DEFAULT_SERVERS, blocks, seed)));
    }
    report("route.decision", "prompt blocks", "us", points);
}

fn decision_us(servers: usize, blocks: usize, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let view: Vec<ServerView> = (0..servers).map(|n| server(n, &mut rng)).collect();
    let mut local = RouteState::new(RouteStateConfig::default());
    let request = RouteRequest {
        service: Name::from("drafting"),
        blocks: (0..blocks as u64).collect(),
        prompt_tokens: blocks as u64 * BLOCK_TOKENS,
        output_tokens: 400,
        ..RouteRequest::default()
    };
    let mut id = 0;
    time_us(CALLS, || {
        id += 1;
        let decision = choose(Routing::Cost, &view, &request, &local, id, &mut rng);
        let Ok(decision) = decision else {
            return;
        };
        let request_id = RequestId::from(u128::from(id));
        local.on_sent(request_id, &request, &decision, id);
        local.on_ended(request_id, None, id);
    })
}

fn server(number: usize, rng: &mut SmallRng) -> ServerView {
    ServerView {
        server: Name::from(format!("runner-{number:05}")),
        service: Name::from("drafting"),
        failure_domain: Name::from("vake"),
        load: Some(LoadReport {
            running: rng.random_range(0..12),
            waiting: 0,
            kv_used_tokens: 0,
            kv_total_tokens: 262_144,
            tokens_per_s: 800.0,
            slots: 16,
            age_ms: 200,
        }),
        price_micros_per_h: 500_000,
        state: ServerState::Live,
        latency_us: 1_500,
    }
}
