//! Allowances at nodes that hear of each other's use late.

use base::Name;
use base::units::Millisecond;
use gateway::belief::directory::Allowance;
use gateway::decide::allowance::{Admission, Bucket, Fleet, PeerUsage, PriorUse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

/// Nodes of the first deployment.
const NODES: usize = 67;

/// Time between two reports of a node to each other one, at this many nodes.
const PERIOD_MS: Millisecond = 720;

const ALLOWANCE: Allowance = Allowance {
    rate_per_s: 128_000.0,
    burst: 128_000.0,
};

/// Plays requests of 200 to 9,000 units, `per_s` units a second, spread over all nodes. One node
/// hears nothing for two seconds at a time. Returns time, cost and admission of each request.
fn play(seed: u64, per_s: impl Fn(Millisecond) -> f64) -> Vec<(Millisecond, f64, bool)> {
    const STEP_MS: Millisecond = 10;
    let fleet = Fleet {
        heard: NODES,
        listed: NODES,
        period_ms: PERIOD_MS,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buckets: Vec<Bucket> = (0..NODES)
        .map(|_| Bucket::new(ALLOWANCE, PriorUse::Unused, 0))
        .collect();
    let offsets: Vec<Millisecond> = (0..NODES).map(|_| rng.random_range(0..PERIOD_MS)).collect();
    let (mut demand, mut played) = (0.0, Vec::new());
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        demand += per_s(now_ms) * STEP_MS as f64 / 1_000.0;
        while demand > 0.0 {
            let cost = match rng.random_bool(0.5) {
                true => rng.random_range(200.0..1_000.0),
                false => rng.random_range(2_000.0..9_000.0),
            };
            demand -= cost;
            let bucket = &mut buckets[rng.random_range(0..NODES)];
            let verdict = bucket.charge(cost, fleet, now_ms);
            played.push((now_ms, cost, verdict == Admission::Charged));
        }
        for from in 0..NODES {
            if (now_ms + offsets[from]) % PERIOD_MS >= STEP_MS {
                continue;
            }
            let usage = PeerUsage {
                used: buckets[from].used(),
                age_ms: now_ms,
                silence_ms: 3_000,
            };
            let name = Name::from(format!("n{from}/1"));
            for (at, bucket) in buckets.iter_mut().enumerate() {
                let is_deaf = at == 0 && now_ms % 5_000 < 2_000;
                if at != from && !is_deaf {
                    bucket.record_peer_usage(&name, usage, now_ms);
                }
            }
        }
    }
    played
}

/// Guards against refusals of a workspace that is under its allowance, because nodes presume too
/// much use of the others or hear of it late.
/// Load: a workspace uses 86,000 of 128,000 units a second at 67 nodes.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_workspace_under_its_allowance_is_refused_by_no_node(seed: u64) {
    let played = play(seed, |_| 86_000.0);
    let refused = played.iter().filter(|(_, _, admitted)| !admitted).count();
    assert!(refused * 200 < played.len(), "{refused} refused");
}

/// Guards against use beyond the bound, because nodes presume too little use of the others, and
/// against an allowance that is not used while its workspace competes.
/// Load: six times the usual use from second 10 to 25 at 67 nodes.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_surge_at_many_nodes_stays_within_the_bound(seed: u64) {
    const WINDOW_MS: Millisecond = 8_000;
    const OVERAGE_SHARE: f64 = 0.1;
    const SLACK: f64 = 110_000.0;
    let surge = |now_ms| match now_ms {
        10_000..25_000 => 6.0 * 86_000.0,
        _ => 86_000.0,
    };
    let played = play(seed, surge);
    let used = |from_ms: Millisecond| -> f64 {
        let window = from_ms..from_ms + WINDOW_MS;
        let taken = played
            .iter()
            .filter(|(at_ms, _, admitted)| *admitted && window.contains(at_ms));
        taken.map(|(_, cost, _)| cost).sum()
    };
    let allowed = ALLOWANCE.rate_per_s * WINDOW_MS as f64 / 1_000.0 + ALLOWANCE.burst;
    let bound = allowed * (1.0 + OVERAGE_SHARE) + SLACK;
    let most = (0..22_000).step_by(100).map(used).fold(0.0, f64::max);
    println!("most {most:.0} of {bound:.0}, later {:.0}", used(16_000));
    assert!(most <= bound, "{most} of {bound}");
    let later = used(16_000) / (ALLOWANCE.rate_per_s * WINDOW_MS as f64 / 1_000.0);
    assert!(
        later > 0.9,
        "{later} of the rate while the workspace competes"
    );
}
