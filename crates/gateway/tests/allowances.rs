//! Allowances of workspaces: all nodes together stay within the limit, even while they cannot hear
//! each other.

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

/// Age of a process that has been running for long.
const LONG_RUNNING_MS: Millisecond = 60_000;

/// A fleet in which every node has been heard of.
fn all_heard(nodes: usize) -> Fleet {
    Fleet {
        heard: nodes,
        listed: nodes,
        period_ms: 120,
    }
}

fn usage(used: f64, age_ms: Millisecond, silence_ms: Millisecond) -> PeerUsage {
    PeerUsage {
        used,
        age_ms,
        silence_ms,
    }
}

/// Records a report by a process that has been running for long.
fn report_usage(bucket: &mut Bucket, peer: &Name, used: f64, now_ms: Millisecond) {
    bucket.record_peer_usage(peer, usage(used, LONG_RUNNING_MS, 300), now_ms);
}

fn charge(bucket: &mut Bucket, cost: f64, now_ms: Millisecond) -> Admission {
    bucket.charge(cost, all_heard(1), now_ms)
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
    report_usage(&mut bucket, &other, 0.0, 0);
    report_usage(&mut bucket, &other, 1_000.0, 100);
    assert!(matches!(
        bucket.charge(200.0, all_heard(2), 100),
        Admission::Refused { .. }
    ));
}

#[test]
fn what_others_use_before_they_are_first_heard_is_charged_too() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    report_usage(&mut bucket, &Name::from("b/1"), 1_000.0, 100);
    assert!(matches!(
        bucket.charge(200.0, all_heard(2), 100),
        Admission::Refused { .. }
    ));
}

#[test]
fn what_others_used_before_a_process_started_again_is_not_charged() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unknown, 0);
    report_usage(&mut bucket, &Name::from("b/1"), 70_000.0, 100);
    assert_eq!(bucket.charge(400.0, all_heard(2), 100), Admission::Charged);
}

#[test_case(AllowanceStart::WhileRunning => PriorUse::Unused; "an allowance that is new to a running process")]
#[test_case(AllowanceStart::FirstStart { age_ms: 900 } => PriorUse::Unused; "the first start")]
#[test_case(AllowanceStart::FirstStart { age_ms: 9_000 } => PriorUse::Unknown; "a first start beside an outage")]
#[test_case(AllowanceStart::Restart => PriorUse::Unknown; "a restart, however late the directory arrives")]
fn prior_use_follows_from_the_start(beginning: AllowanceStart) -> PriorUse {
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
    report_usage(&mut bucket, &other, 0.0, 0);
    assert_eq!(bucket.charge(50.0, all_heard(2), 0), Admission::Charged);
    assert_eq!(bucket.charge(50.0, all_heard(2), 40), Admission::Charged);
}

#[test]
fn what_was_presumed_of_a_silent_node_is_given_back() {
    let other = Name::from("b/1");
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    report_usage(&mut bucket, &other, 0.0, 0);
    assert_eq!(bucket.charge(1_000.0, all_heard(2), 0), Admission::Charged);
    // Half of the rate is assumed to be used by the other node.
    assert!(matches!(
        bucket.charge(900.0, all_heard(2), 1_000),
        Admission::Refused { .. }
    ));
    report_usage(&mut bucket, &other, 0.0, 1_000);
    assert_eq!(
        bucket.charge(900.0, all_heard(2), 1_000),
        Admission::Charged
    );
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

/// Whether the nodes can hear each other.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Links {
    Whole,
    Cut,
    /// Partitioned during the middle third.
    CutForAWhile,
}

/// Fails if a window of 8 s holds more than the allowance, an overage of a tenth, and the requests
/// in flight.
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

/// Guards against nodes that use more than the allowance together. The demand is `pressure` times
/// the allowance.
#[test_case(Links::Whole, 1.0 ; "within the allowance")]
#[test_case(Links::Whole, 6.0 ; "six times the allowance")]
#[test_case(Links::Cut, 6.0 ; "nodes that never hear each other")]
#[test_case(Links::CutForAWhile, 6.0 ; "nodes that are partitioned for a while")]
fn windows_stay_within_the_allowance(links: Links, pressure: f64) {
    const NODES: usize = 6;
    const REPORT_PERIOD_MS: Millisecond = 120;
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
                    bucket.record_peer_usage(name, usage(0.0, 0, SILENCE_MS), 0);
                }
            }
        }
        let mut taken: Vec<(Millisecond, f64)> = Vec::new();
        let mut refused = 0_u64;
        let mut demand = 0.0;
        for step in 0..END_MS / STEP_MS {
            let now_ms = step * STEP_MS;
            demand += pressure * allowance.rate_per_s * STEP_MS as f64 / 1_000.0;
            while demand > 0.0 {
                let cost = rng.random_range(200.0..4_000.0);
                let node = rng.random_range(0..NODES);
                demand -= cost;
                match buckets[node].charge(cost, all_heard(NODES), now_ms) {
                    Admission::Charged => taken.push((now_ms, cost)),
                    Admission::Refused { .. } => refused += 1,
                }
            }
            let cut = match links {
                Links::Whole => false,
                Links::Cut => true,
                Links::CutForAWhile => (END_MS / 3..2 * END_MS / 3).contains(&now_ms),
            };
            if cut || !now_ms.is_multiple_of(REPORT_PERIOD_MS) {
                continue;
            }
            let used: Vec<f64> = buckets.iter().map(Bucket::used).collect();
            for (at, bucket) in buckets.iter_mut().enumerate() {
                for (from, name) in names.iter().enumerate() {
                    if from != at {
                        bucket.record_peer_usage(
                            name,
                            usage(used[from], now_ms, SILENCE_MS),
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

const NODES: usize = 83;

/// The gossip period of that many nodes, as computed by `role::period_ms`.
const PERIOD_MS: Millisecond = 840;

/// One node of a large fleet, which reports at times of its own.
struct FleetNode {
    name: Name,
    bucket: Bucket,
    heard: BTreeSet<String>,
    started_ms: Millisecond,
    reports_at_ms: Millisecond,
}

impl FleetNode {
    fn charge(&mut self, cost: f64, now_ms: Millisecond) -> Admission {
        let fleet = Fleet {
            heard: self.heard.len() + 1,
            listed: NODES,
            period_ms: PERIOD_MS,
        };
        self.bucket.charge(cost, fleet, now_ms)
    }

    fn report_usage(&mut self, name: &Name, report: PeerUsage, now_ms: Millisecond) {
        let (node, life) = name.split_once('/').unwrap();
        self.heard.insert(node.to_owned());
        if life == "2" {
            self.bucket.remove_peer(&Name::from(format!("{node}/1")));
        }
        self.bucket.record_peer_usage(name, report, now_ms);
    }
}

/// A fault of a large fleet during a surge.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Event {
    Nothing,
    /// Four fifths of the nodes are killed at once and restart.
    RestartMost,
}

/// Guards against surges that exceed the allowance of a large fleet, whose nodes seldom hear each
/// other. A workspace that usually stays below its allowance twice sends several times as much.
#[test_case(6.0, Event::Nothing; "six times the usual")]
#[test_case(8.0, Event::Nothing; "eight times the usual")]
#[test_case(6.0, Event::RestartMost; "six times the usual while most nodes restart")]
#[test_case(8.0, Event::RestartMost; "eight times the usual while most nodes restart")]
fn windows_stay_within_the_allowance_of_a_large_fleet(surge: f64, event: Event) {
    const SILENCE_MS: Millisecond = 2_100;
    const STEP_MS: Millisecond = 10;
    const END_MS: Millisecond = 40_000;
    const RESTART_MS: Millisecond = 13_000;
    const USUAL: f64 = 0.6;
    let allowance = Allowance {
        rate_per_s: 900_000.0,
        burst: 900_000.0,
    };
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes: Vec<FleetNode> = (0..NODES)
            .map(|n| FleetNode {
                name: Name::from(format!("n{n}/1")),
                bucket: Bucket::new(allowance, PriorUse::Unused, 0),
                heard: BTreeSet::new(),
                started_ms: 0,
                reports_at_ms: rng.random_range(0..PERIOD_MS),
            })
            .collect();
        let mut taken: Vec<(Millisecond, f64)> = Vec::new();
        let (mut usual_asked, mut usual_refused) = (0_u64, 0_u64);
        let mut demand = 0.0;
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            if now_ms == RESTART_MS && event == Event::RestartMost {
                for (n, node) in nodes.iter_mut().enumerate().skip(NODES / 5) {
                    node.name = Name::from(format!("n{n}/2"));
                    node.bucket = Bucket::new(allowance, PriorUse::Unknown, now_ms);
                    node.heard.clear();
                    node.started_ms = now_ms;
                    node.reports_at_ms = now_ms + rng.random_range(0..PERIOD_MS);
                }
            }
            let surging = matches!(now_ms, 10_000..16_000 | 28_000..34_000);
            let pressure = if surging { USUAL * surge } else { USUAL };
            demand += pressure * allowance.rate_per_s * STEP_MS as f64 / 1_000.0;
            while demand > 0.0 {
                let cost = rng.random_range(200.0..9_000.0);
                demand -= cost;
                let node = rng.random_range(0..NODES);
                let verdict = nodes[node].charge(cost, now_ms);
                let within = verdict == Admission::Charged;
                if within {
                    taken.push((now_ms, cost));
                }
                // The effects of a surge are over by then.
                if matches!(now_ms, 2_000..10_000 | 22_000..28_000) {
                    usual_asked += 1;
                    usual_refused += u64::from(!within);
                }
            }
            for from in 0..NODES {
                if nodes[from].reports_at_ms > now_ms {
                    continue;
                }
                nodes[from].reports_at_ms += PERIOD_MS;
                let age_ms = now_ms - nodes[from].started_ms;
                let report = usage(nodes[from].bucket.used(), age_ms, SILENCE_MS);
                let name = nodes[from].name.clone();
                for (at, node) in nodes.iter_mut().enumerate() {
                    if at != from {
                        node.report_usage(&name, report, now_ms);
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

/// Guards against refusals in a large fleet whose callers stay with one node, so that only that
/// node sees the requests of a small workspace.
#[test_case(20_000.0; "a small allowance")]
#[test_case(200_000.0; "a larger allowance")]
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
        let (mut asked, mut refused, mut demand) = (0_u32, 0_u32, 0.0);
        for now_ms in (0..60_000).step_by(STEP_MS as usize) {
            for other in 0..others {
                if (now_ms + 10 * other as Millisecond).is_multiple_of(PERIOD_MS) {
                    let name = Name::from(format!("n{other}/1"));
                    bucket.record_peer_usage(&name, usage(0.0, now_ms, 2_100), now_ms);
                }
            }
            demand += USUAL * rate_per_s * STEP_MS as f64 / 1_000.0;
            while demand > 0.0 {
                let cost = rng.random_range(200.0..9_000.0);
                demand -= cost;
                asked += 1;
                let verdict = bucket.charge(cost, all_heard(others + 1), now_ms);
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
