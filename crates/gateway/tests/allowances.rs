//! Allowances: all nodes together stay within the bound, also while they cannot hear each other.

use std::collections::BTreeSet;

use base::Name;
use base::units::Millisecond;
use gateway::belief::directory::Allowance;
use gateway::decide::allowance::{Admission, AllowanceStart, Bucket, Fleet, PeerUsage, PriorUse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const ALLOWANCE: Allowance = Allowance {
    rate_per_s: 1_000.0,
    burst: 1_000.0,
};

/// Age of a node that has run for long.
const OLD_MS: Millisecond = 60_000;

/// A fleet of which every node has been heard.
fn whole(nodes: usize) -> Fleet {
    Fleet {
        heard: nodes,
        listed: nodes,
        period_ms: 120,
    }
}

fn word(used: f64, age_ms: Millisecond, silence_ms: Millisecond) -> PeerUsage {
    PeerUsage {
        used,
        age_ms,
        silence_ms,
    }
}

/// A node that has run for long says what it has used.
fn hear(bucket: &mut Bucket, peer: &Name, used: f64, now_ms: Millisecond) {
    bucket.record_peer_usage(peer, word(used, OLD_MS, 300), now_ms);
}

fn charge(bucket: &mut Bucket, cost: f64, now_ms: Millisecond) -> Admission {
    bucket.charge(cost, whole(1), now_ms)
}

#[test]
fn a_burst_is_there_at_the_first_start() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    assert_eq!(charge(&mut bucket, 1_000.0, 0), Admission::Charged);
    assert_eq!(
        charge(&mut bucket, 100.0, 0),
        Admission::Refused { wait_ms: 100 }
    );
    assert_eq!(charge(&mut bucket, 100.0, 100), Admission::Charged);
}

#[test]
fn a_process_that_starts_again_has_no_second_burst() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unknown, 0);
    assert!(matches!(
        charge(&mut bucket, 900.0, 0),
        Admission::Refused { .. }
    ));
}

#[test]
fn a_request_larger_than_the_burst_needs_a_full_bucket() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    assert_eq!(charge(&mut bucket, 3_000.0, 0), Admission::Charged);
    assert!(matches!(
        charge(&mut bucket, 1.0, 1_500),
        Admission::Refused { .. }
    ));
    assert_eq!(charge(&mut bucket, 1.0, 2_500), Admission::Charged);
}

#[test]
fn what_others_use_is_charged_once_it_is_heard() {
    let other = Name::from("b/1");
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    hear(&mut bucket, &other, 0.0, 0);
    hear(&mut bucket, &other, 1_000.0, 100);
    assert!(matches!(
        bucket.charge(200.0, whole(2), 100),
        Admission::Refused { .. }
    ));
}

#[test]
fn what_others_use_before_they_are_first_heard_is_charged_too() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    hear(&mut bucket, &Name::from("b/1"), 1_000.0, 100);
    assert!(matches!(
        bucket.charge(200.0, whole(2), 100),
        Admission::Refused { .. }
    ));
}

#[test]
fn what_others_used_before_a_process_started_again_is_not_charged() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unknown, 0);
    hear(&mut bucket, &Name::from("b/1"), 70_000.0, 100);
    assert_eq!(bucket.charge(400.0, whole(2), 100), Admission::Charged);
}

#[test_case(AllowanceStart::WhileRunning => PriorUse::Unused; "a limit that is new to a running process")]
#[test_case(AllowanceStart::FirstStart { age_ms: 900 } => PriorUse::Unused; "the first start")]
#[test_case(AllowanceStart::FirstStart { age_ms: 9_000 } => PriorUse::Unknown; "a first start beside an outage")]
#[test_case(AllowanceStart::Restart => PriorUse::Unknown; "a start again, however late the directory comes")]
fn what_was_used_before(beginning: AllowanceStart) -> PriorUse {
    PriorUse::at(beginning)
}

#[test]
fn a_burst_is_used_to_its_last_unit_beside_a_node_that_uses_nothing() {
    let other = Name::from("b/1");
    let allowance = Allowance {
        rate_per_s: 0.001,
        burst: 100.0,
    };
    let mut bucket = Bucket::new(allowance, PriorUse::Unused, 0);
    hear(&mut bucket, &other, 0.0, 0);
    assert_eq!(bucket.charge(50.0, whole(2), 0), Admission::Charged);
    assert_eq!(bucket.charge(50.0, whole(2), 40), Admission::Charged);
}

#[test]
fn what_was_presumed_of_a_silent_node_is_given_back() {
    let other = Name::from("b/1");
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    hear(&mut bucket, &other, 0.0, 0);
    assert_eq!(bucket.charge(1_000.0, whole(2), 0), Admission::Charged);
    // Half of the rate is presumed to go to the other node.
    assert!(matches!(
        bucket.charge(900.0, whole(2), 1_000),
        Admission::Refused { .. }
    ));
    hear(&mut bucket, &other, 0.0, 1_000);
    assert_eq!(bucket.charge(900.0, whole(2), 1_000), Admission::Charged);
}

#[test]
fn a_lower_allowance_takes_effect_at_once() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    bucket.set_allowance(Allowance {
        rate_per_s: 10.0,
        burst: 10.0,
    });
    assert_eq!(charge(&mut bucket, 10.0, 0), Admission::Charged);
    assert!(matches!(
        charge(&mut bucket, 10.0, 0),
        Admission::Refused { .. }
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

/// No window of the pages may hold more than the allowance, the part beyond it, and what is on its way.
fn check_windows(seed: u64, allowance: Allowance, taken: &[(Millisecond, f64)]) {
    const WINDOW_MS: Millisecond = 8_000;
    const OVERAGE: f64 = 0.1;
    const SLACK: f64 = 72_000.0;
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let bound = (allowance.rate_per_s * window_s + allowance.burst) * (1.0 + OVERAGE) + SLACK;
    for (start, (from_ms, _)) in taken.iter().enumerate().step_by(41) {
        let within = taken[start..]
            .iter()
            .take_while(|(at, _)| *at <= from_ms + WINDOW_MS);
        let used: f64 = within.map(|(_, cost)| cost).sum();
        assert!(
            used <= bound,
            "seed {seed}: {used} of {bound} from {from_ms} ms"
        );
    }
}

/// Demand is `pressure` times the allowance; no window may hold more than the pages allow.
#[test_case(Links::Whole, 1.0 ; "within the allowance")]
#[test_case(Links::Whole, 6.0 ; "six times the allowance")]
#[test_case(Links::Cut, 6.0 ; "nodes that never hear each other")]
#[test_case(Links::CutForAWhile, 6.0 ; "nodes that lose each other and meet again")]
fn windows_stay_within_the_allowance(links: Links, pressure: f64) {
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
            .map(|_| Bucket::new(allowance, PriorUse::Unused, 0))
            .collect();
        for (at, bucket) in buckets.iter_mut().enumerate() {
            for (from, name) in names.iter().enumerate() {
                if from != at {
                    bucket.record_peer_usage(name, word(0.0, 0, SILENCE_MS), 0);
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
                match buckets[node].charge(cost, whole(NODES), now_ms) {
                    Admission::Charged => taken.push((now_ms, cost)),
                    Admission::Refused { .. } => refused += 1,
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
                        bucket.record_peer_usage(
                            name,
                            word(used[from], now_ms, SILENCE_MS),
                            now_ms,
                        );
                    }
                }
            }
        }
        check_windows(seed, allowance, &taken);
        if pressure <= 1.0 {
            let asked = taken.len() as u64 + refused;
            assert!(
                refused * 20 < asked,
                "seed {seed}: {refused} of {asked} refused"
            );
        }
    }
}

/// Nodes of a large fleet.
const NODES: usize = 83;

/// `role::period_ms` of that many nodes.
const PERIOD_MS: Millisecond = 840;

/// One node of a large fleet, which speaks at moments of its own.
struct Speaker {
    name: Name,
    bucket: Bucket,
    heard: BTreeSet<String>,
    started_ms: Millisecond,
    speaks_at_ms: Millisecond,
}

impl Speaker {
    fn charge(&mut self, cost: f64, now_ms: Millisecond) -> Admission {
        let fleet = Fleet {
            heard: self.heard.len() + 1,
            listed: NODES,
            period_ms: PERIOD_MS,
        };
        self.bucket.charge(cost, fleet, now_ms)
    }

    fn hear(&mut self, name: &Name, said: PeerUsage, now_ms: Millisecond) {
        let (node, life) = name.split_once('/').unwrap();
        self.heard.insert(node.to_owned());
        if life == "2" {
            self.bucket.remove_peer(&Name::from(format!("{node}/1")));
        }
        self.bucket.record_peer_usage(name, said, now_ms);
    }
}

/// What happens to a large fleet in the midst of a surge.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Event {
    Nothing,
    /// Four fifths of the nodes are killed at one moment and start again.
    StartAgain,
}

/// A workspace that usually stays below its allowance sends many times it, twice; nodes of a large
/// fleet hear each other seldom.
#[test_case(6.0, Event::Nothing; "six times the usual")]
#[test_case(8.0, Event::Nothing; "eight times the usual")]
#[test_case(6.0, Event::StartAgain; "six times the usual while most nodes start again")]
#[test_case(8.0, Event::StartAgain; "eight times the usual while most nodes start again")]
fn windows_stay_within_the_allowance_of_a_large_fleet(surge: f64, event: Event) {
    const SILENCE_MS: Millisecond = 2_100;
    const STEP_MS: Millisecond = 10;
    const END_MS: Millisecond = 40_000;
    const AGAIN_MS: Millisecond = 13_000;
    const USUAL: f64 = 0.6;
    let allowance = Allowance {
        rate_per_s: 900_000.0,
        burst: 900_000.0,
    };
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes: Vec<Speaker> = (0..NODES)
            .map(|n| Speaker {
                name: Name::from(format!("n{n}/1")),
                bucket: Bucket::new(allowance, PriorUse::Unused, 0),
                heard: BTreeSet::new(),
                started_ms: 0,
                speaks_at_ms: rng.random_range(0..PERIOD_MS),
            })
            .collect();
        let mut taken: Vec<(Millisecond, f64)> = Vec::new();
        let (mut usual_asked, mut usual_refused) = (0_u64, 0_u64);
        let mut unasked = 0.0;
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            if now_ms == AGAIN_MS && event == Event::StartAgain {
                for (n, node) in nodes.iter_mut().enumerate().skip(NODES / 5) {
                    node.name = Name::from(format!("n{n}/2"));
                    node.bucket = Bucket::new(allowance, PriorUse::Unknown, now_ms);
                    node.heard.clear();
                    node.started_ms = now_ms;
                    node.speaks_at_ms = now_ms + rng.random_range(0..PERIOD_MS);
                }
            }
            let surging = matches!(now_ms, 10_000..16_000 | 28_000..34_000);
            let pressure = if surging { USUAL * surge } else { USUAL };
            unasked += pressure * allowance.rate_per_s * STEP_MS as f64 / 1_000.0;
            while unasked > 0.0 {
                let cost = rng.random_range(200.0..9_000.0);
                unasked -= cost;
                let node = rng.random_range(0..NODES);
                let verdict = nodes[node].charge(cost, now_ms);
                let within = verdict == Admission::Charged;
                if within {
                    taken.push((now_ms, cost));
                }
                // What a surge leaves behind is over by then.
                if matches!(now_ms, 2_000..10_000 | 22_000..28_000) {
                    usual_asked += 1;
                    usual_refused += u64::from(!within);
                }
            }
            for from in 0..NODES {
                if nodes[from].speaks_at_ms > now_ms {
                    continue;
                }
                nodes[from].speaks_at_ms += PERIOD_MS;
                let age_ms = now_ms - nodes[from].started_ms;
                let said = word(nodes[from].bucket.used(), age_ms, SILENCE_MS);
                let name = nodes[from].name.clone();
                for (at, node) in nodes.iter_mut().enumerate() {
                    if at != from {
                        node.hear(&name, said, now_ms);
                    }
                }
            }
        }
        check_windows(seed, allowance, &taken);
        assert!(
            usual_refused * 20 < usual_asked,
            "seed {seed}: {usual_refused} of {usual_asked} refused"
        );
    }
}

/// Callers stay with a node: a small workspace of a large fleet may be known at one node only.
#[test_case(20_000.0; "a small allowance")]
#[test_case(200_000.0; "a larger one")]
fn a_workspace_at_one_node_of_a_large_fleet_gets_its_allowance(rate_per_s: f64) {
    const STEP_MS: Millisecond = 10;
    const USUAL: f64 = 0.6;
    let allowance = Allowance {
        rate_per_s,
        burst: rate_per_s,
    };
    let refused = |others: usize| {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut bucket = Bucket::new(allowance, PriorUse::Unused, 0);
        let (mut asked, mut refused, mut unasked) = (0_u32, 0_u32, 0.0);
        for now_ms in (0..60_000).step_by(STEP_MS as usize) {
            for other in 0..others {
                if (now_ms + 10 * other as Millisecond).is_multiple_of(PERIOD_MS) {
                    let name = Name::from(format!("n{other}/1"));
                    bucket.record_peer_usage(&name, word(0.0, now_ms, 2_100), now_ms);
                }
            }
            unasked += USUAL * rate_per_s * STEP_MS as f64 / 1_000.0;
            while unasked > 0.0 {
                let cost = rng.random_range(200.0..9_000.0);
                unasked -= cost;
                asked += 1;
                let verdict = bucket.charge(cost, whole(others + 1), now_ms);
                refused += u32::from(verdict != Admission::Charged);
            }
        }
        (asked, refused)
    };
    let (asked, alone) = refused(0);
    let (_, among_others) = refused(NODES - 1);
    assert!(
        (among_others - alone.min(among_others)) * 20 < asked,
        "{among_others} of {asked} refused, {alone} without others"
    );
}
