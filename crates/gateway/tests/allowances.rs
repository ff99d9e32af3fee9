//! Allowances: all nodes together stay within the bound, also while they cannot hear each other.

use base::Name;
use base::units::Millisecond;
use gateway::belief::directory::Allowance;
use gateway::decide::allowance::{Beginning, Bucket, Past, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const ALLOWANCE: Allowance = Allowance {
    rate_per_s: 1_000.0,
    burst: 1_000.0,
};

fn charge(bucket: &mut Bucket, cost: f64, now_ms: Millisecond) -> Verdict {
    bucket.charge(cost, 1, now_ms)
}

#[test]
fn a_burst_is_there_at_the_first_start() {
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unused, 0);
    assert_eq!(charge(&mut bucket, 1_000.0, 0), Verdict::Within);
    assert_eq!(
        charge(&mut bucket, 100.0, 0),
        Verdict::Beyond { wait_ms: 100 }
    );
    assert_eq!(charge(&mut bucket, 100.0, 100), Verdict::Within);
}

#[test]
fn a_process_that_starts_again_has_no_second_burst() {
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unknown, 0);
    assert!(matches!(
        charge(&mut bucket, 900.0, 0),
        Verdict::Beyond { .. }
    ));
}

#[test]
fn a_request_larger_than_the_burst_needs_a_full_bucket() {
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unused, 0);
    assert_eq!(charge(&mut bucket, 3_000.0, 0), Verdict::Within);
    assert!(matches!(
        charge(&mut bucket, 1.0, 1_500),
        Verdict::Beyond { .. }
    ));
    assert_eq!(charge(&mut bucket, 1.0, 2_500), Verdict::Within);
}

#[test]
fn what_others_use_is_charged_once_it_is_heard() {
    let other = Name::from("b/1");
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unused, 0);
    bucket.heard(&other, 0.0, 300, 0);
    bucket.heard(&other, 1_000.0, 300, 100);
    assert!(matches!(
        bucket.charge(200.0, 2, 100),
        Verdict::Beyond { .. }
    ));
}

#[test]
fn what_others_use_before_they_are_first_heard_is_charged_too() {
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unused, 0);
    bucket.heard(&Name::from("b/1"), 1_000.0, 300, 100);
    assert!(matches!(
        bucket.charge(200.0, 2, 100),
        Verdict::Beyond { .. }
    ));
}

#[test]
fn what_others_used_before_a_process_started_again_is_not_charged() {
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unknown, 0);
    bucket.heard(&Name::from("b/1"), 70_000.0, 300, 100);
    assert_eq!(bucket.charge(400.0, 2, 100), Verdict::Within);
}

#[test_case(Beginning::Midway => Past::Unused; "a limit that is new to a running process")]
#[test_case(Beginning::FirstStart { age_ms: 900 } => Past::Unused; "the first start")]
#[test_case(Beginning::FirstStart { age_ms: 9_000 } => Past::Unknown; "a first start beside an outage")]
#[test_case(Beginning::Restart => Past::Unknown; "a start again, however late the directory comes")]
fn what_was_used_before(beginning: Beginning) -> Past {
    Past::at(beginning)
}

#[test]
fn what_was_presumed_of_a_silent_node_is_given_back() {
    let other = Name::from("b/1");
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unused, 0);
    bucket.heard(&other, 0.0, 300, 0);
    assert_eq!(bucket.charge(1_000.0, 2, 0), Verdict::Within);
    // Half of the rate is presumed to go to the other node.
    assert!(matches!(
        bucket.charge(900.0, 2, 1_000),
        Verdict::Beyond { .. }
    ));
    bucket.heard(&other, 0.0, 300, 1_000);
    assert_eq!(bucket.charge(900.0, 2, 1_000), Verdict::Within);
}

#[test]
fn a_lower_allowance_takes_effect_at_once() {
    let mut bucket = Bucket::new(ALLOWANCE, Past::Unused, 0);
    bucket.set_allowance(Allowance {
        rate_per_s: 10.0,
        burst: 10.0,
    });
    assert_eq!(charge(&mut bucket, 10.0, 0), Verdict::Within);
    assert!(matches!(
        charge(&mut bucket, 10.0, 0),
        Verdict::Beyond { .. }
    ));
}

/// Whether the nodes of a history can hear each other.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Links {
    Whole,
    Cut,
    /// Cut in the middle third.
    CutForAWhile,
}

/// Demand is `pressure` times the allowance; no window may hold more than the pages allow.
#[test_case(Links::Whole, 1.0 ; "within the allowance")]
#[test_case(Links::Whole, 6.0 ; "six times the allowance")]
#[test_case(Links::Cut, 6.0 ; "nodes that never hear each other")]
#[test_case(Links::CutForAWhile, 6.0 ; "nodes that lose each other and meet again")]
fn windows_stay_within_the_allowance(links: Links, pressure: f64) {
    /// The pages' window, part beyond the allowance, and slack for what is on its way.
    const WINDOW_MS: Millisecond = 8_000;
    const OVERAGE: f64 = 0.1;
    const NODES: usize = 6;
    const TOLD_EVERY_MS: Millisecond = 120;
    const SILENCE_MS: Millisecond = 300;
    const STEP_MS: Millisecond = 10;
    const END_MS: Millisecond = 40_000;
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let allowance = Allowance {
            rate_per_s: 100_000.0,
            burst: 100_000.0,
        };
        let names: Vec<Name> = (0..NODES).map(|n| Name::from(format!("n{n}/1"))).collect();
        let mut buckets: Vec<Bucket> = names
            .iter()
            .map(|_| Bucket::new(allowance, Past::Unused, 0))
            .collect();
        for (at, bucket) in buckets.iter_mut().enumerate() {
            for (from, name) in names.iter().enumerate() {
                if from != at {
                    bucket.heard(name, 0.0, SILENCE_MS, 0);
                }
            }
        }
        let mut taken: Vec<(Millisecond, f64)> = Vec::new();
        let mut refused = 0_u64;
        let mut unasked = 0.0;
        for step in 0..END_MS / STEP_MS {
            let now_ms = step * STEP_MS;
            unasked += pressure * allowance.rate_per_s * STEP_MS as f64 / 1_000.0;
            while unasked > 0.0 {
                let cost = rng.random_range(200.0..4_000.0);
                let node = rng.random_range(0..NODES);
                unasked -= cost;
                match buckets[node].charge(cost, NODES, now_ms) {
                    Verdict::Within => taken.push((now_ms, cost)),
                    Verdict::Beyond { .. } => refused += 1,
                }
            }
            let cut = match links {
                Links::Whole => false,
                Links::Cut => true,
                Links::CutForAWhile => (END_MS / 3..2 * END_MS / 3).contains(&now_ms),
            };
            if cut || !now_ms.is_multiple_of(TOLD_EVERY_MS) {
                continue;
            }
            let used: Vec<f64> = buckets.iter().map(Bucket::used).collect();
            for (at, bucket) in buckets.iter_mut().enumerate() {
                for (from, name) in names.iter().enumerate() {
                    if from != at {
                        bucket.heard(name, used[from], SILENCE_MS, now_ms);
                    }
                }
            }
        }
        let window_s = WINDOW_MS as f64 / 1_000.0;
        let bound =
            (allowance.rate_per_s * window_s + allowance.burst) * (1.0 + OVERAGE) + 72_000.0;
        for (start, (from_ms, _)) in taken.iter().enumerate().step_by(97) {
            let within = taken[start..]
                .iter()
                .take_while(|(at, _)| *at <= from_ms + WINDOW_MS);
            let used: f64 = within.map(|(_, cost)| cost).sum();
            assert!(
                used <= bound,
                "seed {seed}: {used} of {bound} from {from_ms} ms"
            );
        }
        if pressure <= 1.0 {
            let asked = taken.len() as u64 + refused;
            assert!(
                refused * 20 < asked,
                "seed {seed}: {refused} of {asked} refused"
            );
        }
    }
}
