//! What callers get, and what crosses between failure domains, by each rule of crossing.

use std::path::Path;

use emulator::experiment::{CrossingRule, Experiment};
use emulator::figures::Figures;
use emulator::world::play;
use gateway::decide::rule::Rule;

const SEEDS: std::ops::Range<u64> = 1..4;

/// Three domains with equal demand. Requests of two kinds read 50 prompt tokens in a millisecond;
/// each server carries about 17 requests a second.
fn sheet(servers: [u32; 3], per_s: f64, more: &str) -> Experiment {
    let [a, b, c] = servers;
    let per_kind = per_s / 2.0;
    let text = format!(
        r#"
name = "domains"
seeds = [1]
length_s = 14.0
warm_up_s = 2.0
rules = ["predicted"]
[fleet]
hello_ms = 360.0
domains = [
  {{ name = "a", nodes = 3, on_demand = {a} }},
  {{ name = "b", nodes = 3, on_demand = {b} }},
  {{ name = "c", nodes = 3, on_demand = {c} }},
]
[engine]
slots = 24
queue = 24
step_ms = 8.0
step_ms_per_slot = 0.05
read_tokens_per_ms = 50.0
chunk_tokens = 1024
memory_tokens = 600000
step_parts = [0.8, 1.0, 1.2]
[traffic]
clump = 2.0
[[kinds]]
name = "summary"
per_s = {per_kind}
target_ms = 800
deadline_ms = 6000
worth = 4.8
late_worth = 0.19
retries = 1
runs = 2
shared_tokens = 4000.0
prompts = 60
own_tokens = 2400.0
answer_tokens = 50.0
[[kinds]]
name = "explanation"
per_s = {per_kind}
target_ms = 1000
deadline_ms = 4000
worth = 0.7
late_worth = 0.07
rank = 1
retries = 1
shared_tokens = 500.0
prompts = 60
own_tokens = 1500.0
answer_tokens = 30.0
{more}
"#
    );
    Experiment::parse(&text, Path::new("test")).unwrap()
}

/// Sums over the seeds.
#[derive(Debug)]
struct Sums {
    in_time: f64,
    mean_first_ms: f64,
    crossed: f64,
    crossed_mb: f64,
}

fn played(experiment: &Experiment, rule: CrossingRule) -> Sums {
    let mut experiment = experiment.clone();
    experiment.crossing.rule = rule;
    let played: Vec<Figures> = SEEDS
        .map(|seed| play(&experiment, Rule::Predicted, seed))
        .collect();
    let mean =
        |of: &dyn Fn(&Figures) -> f64| played.iter().map(of).sum::<f64>() / played.len() as f64;
    Sums {
        in_time: mean(&|f| f.in_time_share()),
        mean_first_ms: mean(&|f| f.mean_first_ms()),
        crossed: mean(&|f| f.crossed_share()),
        crossed_mb: mean(&|f| f.crossed_kb / 1_024.0),
    }
}

/// Plays a load by the gateway's rule, with the fixed penalty, and without crossing.
fn compare(experiment: &Experiment) -> [Sums; 3] {
    let rules = [
        CrossingRule::Decided,
        CrossingRule::FixedPenalty,
        CrossingRule::Stay,
    ];
    let sums = rules.map(|rule| played(experiment, rule));
    println!("{sums:.3?}");
    sums
}

/// Fewer bytes cross than with the fixed penalty, and callers get no less.
fn assert_no_worse(decided: &Sums, fixed: &Sums, traffic_share: f64) {
    assert!(
        decided.in_time >= fixed.in_time - 0.01,
        "{decided:?} {fixed:?}"
    );
    assert!(
        decided.mean_first_ms <= fixed.mean_first_ms * 1.05,
        "{decided:?} {fixed:?}"
    );
    let most_mb = fixed.crossed_mb * traffic_share;
    assert!(decided.crossed_mb <= most_mb, "{decided:?} {fixed:?}");
}

/// Load: equal demand of half of the capacity everywhere. Guards against traffic that no caller
/// notices: a prefix home in another domain, or noise in the predictions.
#[test]
fn nothing_crosses_while_it_is_calm() {
    let [decided, fixed, stay] = compare(&sheet([6, 6, 6], 120.0, ""));
    assert!(decided.crossed <= 0.01, "{decided:?}");
    assert!(
        decided.mean_first_ms <= stay.mean_first_ms * 1.02,
        "{decided:?} {stay:?}"
    );
    assert_no_worse(&decided, &fixed, 0.05);
}

/// Load: even demand, half of the usual servers in domain a. Guards against a domain that refuses
/// requests beside idle servers of the others.
#[test]
fn a_domain_with_half_of_the_servers_is_helped_out() {
    let [decided, fixed, stay] = compare(&sheet([3, 6, 6], 180.0, ""));
    assert!(
        decided.in_time >= stay.in_time + 0.1,
        "{decided:?} {stay:?}"
    );
    assert_no_worse(&decided, &fixed, 0.4);
}

/// Load: as before with a fifth more demand, so that the others have hardly any room. Guards against
/// overflow that makes the other domains late as well.
#[test]
fn overflow_leaves_the_other_domains_in_time() {
    let [decided, fixed, stay] = compare(&sheet([3, 6, 6], 220.0, ""));
    assert!(
        decided.in_time >= stay.in_time - 0.01,
        "{decided:?} {stay:?}"
    );
    assert_no_worse(&decided, &fixed, 0.4);
}

/// Load: for 6 s twice the usual demand in domain a, and half of it in the others.
#[test]
fn demand_that_moves_to_one_domain_is_served() {
    let moved =
        "[[troubles]]\nkind = \"move\"\nat_s = 4.0\ndomain = \"a\"\ntimes = 2.0\nfor_s = 6.0\n";
    let [decided, fixed, stay] = compare(&sheet([6, 6, 6], 200.0, moved));
    assert!(
        decided.in_time >= stay.in_time + 0.1,
        "{decided:?} {stay:?}"
    );
    assert_no_worse(&decided, &fixed, 0.4);
}

/// Load: all servers of domain a are reclaimable, and end 2 s after the notice in second 5.
#[test]
fn a_domain_that_loses_its_servers_sends_everything_out() {
    let reclaim = "[[troubles]]\nkind = \"reclaim\"\nat_s = 5.0\ndomain = \"a\"\nnotice_s = 2.0\ndry_s = 20.0\n";
    let mut experiment = sheet([0, 6, 6], 140.0, reclaim);
    experiment.fleet.domains[0].reclaimable = 6;
    let [decided, fixed, _] = compare(&experiment);
    assert!(decided.in_time >= 0.9, "{decided:?}");
    assert_no_worse(&decided, &fixed, 0.75);
}

/// Load: twice the capacity in every domain. Guards against two domains that send each other their
/// requests: few cross, and callers get no more than without it.
#[test]
fn domains_that_all_lack_capacity_exchange_nothing() {
    let [decided, fixed, stay] = compare(&sheet([4, 4, 4], 400.0, ""));
    assert!(decided.crossed <= 0.06, "{decided:?}");
    assert!(
        decided.in_time >= stay.in_time - 0.02,
        "{decided:?} {stay:?}"
    );
    assert_no_worse(&decided, &fixed, 0.1);
}

/// Load: domain a has half of the servers; loads are up to 3 s old, as in a fleet of 300 nodes.
/// Guards against nodes that all send their requests to servers that were idle long ago.
#[test]
fn old_loads_do_not_flood_the_other_domains() {
    let mut experiment = sheet([3, 6, 6], 180.0, "");
    experiment.fleet.hello_ms = 3_000.0;
    let [decided, fixed, stay] = compare(&experiment);
    assert!(decided.in_time >= stay.in_time, "{decided:?} {stay:?}");
    assert_no_worse(&decided, &fixed, 0.5);
}

/// Load: even demand at two thirds of the capacity, and 250 ms more for each round trip to and from
/// domain a. Guards against requests that wait for the link longer than they would wait at home.
#[test]
fn a_slow_link_is_avoided() {
    let slow = "[[troubles]]\nkind = \"slow_link\"\nat_s = 0.0\ndomain = \"a\"\ndelay_ms = 250.0\nfor_s = 20.0\n";
    let [decided, fixed, stay] = compare(&sheet([5, 6, 6], 180.0, slow));
    assert!(
        decided.mean_first_ms <= stay.mean_first_ms * 1.05,
        "{decided:?} {stay:?}"
    );
    assert_no_worse(&decided, &fixed, 0.2);
}
