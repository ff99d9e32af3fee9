//! Reclaim plan against streams at stake and survivors.

use base::Name;
use base::ids::RequestId;
use policy::reclaim::{AffectedStream, KvExport, LeavingServer, Survivor, plan};
use policy::route::CostWeights;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{report, time_us};

const DEFAULT_SURVIVORS: usize = 100;
const DEFAULT_STREAMS: usize = 100;

/// Varies streams, then survivors.
pub fn run(seed: u64) {
    let mut points = Vec::new();
    for streams in [10, 100, 1_000] {
        points.push((streams as f64, plan_us(streams, DEFAULT_SURVIVORS, seed)));
    }
    report("reclaim.plan", "streams", "us", points);
    let mut points = Vec::new();
    for survivors in [20, 200, 2_000, 10_000] {
        points.push((survivors as f64, plan_us(DEFAULT_STREAMS, survivors, seed)));
    }
    report("reclaim.plan", "survivors", "us", points);
}

fn plan_us(streams: usize, survivors: usize, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let leaving = [LeavingServer {
        server: Name::from("leaving"),
        failure_domain: Name::from("vake"),
        remaining_ms: 20_000,
        export: KvExport::Supported {
            tokens_per_ms: 20.0,
        },
    }];
    let streams: Vec<AffectedStream> = (0..streams).map(|n| stream(n, &mut rng)).collect();
    let survivors: Vec<Survivor> = (0..survivors).map(|n| survivor(n, &mut rng)).collect();
    let weights = CostWeights::default();
    time_us(3, || {
        plan(&leaving, &streams, &survivors, &weights);
    })
}

fn stream(number: usize, rng: &mut SmallRng) -> AffectedStream {
    AffectedStream {
        id: RequestId::from(number as u128),
        server: Name::from("leaving"),
        priority: 1,
        prompt_tokens: rng.random_range(100..10_000),
        relayed_tokens: rng.random_range(0..2_000),
        expected_tokens: rng.random_range(0..3_000),
        decode_ms_per_token: 25.0,
        cached_at: Vec::new(),
    }
}

fn survivor(number: usize, rng: &mut SmallRng) -> Survivor {
    Survivor {
        server: Name::from(format!("runner-{number:05}")),
        failure_domain: Name::from(format!("domain-{}", number % 29)),
        free_slots: rng.random_range(0..8),
        free_kv_tokens: 200_000,
        prefill_tokens_per_ms: 4.0,
        slot_wait_ms: 800.0,
    }
}
