//! Whole plays: the same each time, and in the order that the rules' worth has.

use std::path::Path;

use emulator::experiment::{Experiment, LimitsRule};
use emulator::figures::Figures;
use emulator::world::play;
use gateway::decide::rule::Rule;
use test_case::test_case;

const SHEET: &str = r#"
name = "small"
seeds = [1]
length_s = 20.0
rules = ["predicted"]
[fleet]
hello_ms = 120.0
server_price_per_s = 1.0
domains = [
  { name = "a", nodes = 2, on_demand = 3 },
  { name = "b", nodes = 2, on_demand = 1, reclaimable = 2 },
]
[engine]
slots = 16
queue = 32
step_ms = 6.0
step_ms_per_slot = 0.04
read_tokens_per_ms = 110.0
chunk_tokens = 1024
memory_tokens = 200000
step_parts = [0.7, 1.3]
[traffic]
clump = 2.0
[[kinds]]
name = "draft"
per_s = 60.0
target_ms = 400
deadline_ms = 5000
worth = 3.0
late_worth = 0.3
retries = 1
runs = 2
shared_tokens = 4000.0
prompts = 50
own_tokens = 2000.0
answer_tokens = 60.0
"#;

fn experiment(more: &str) -> Experiment {
    Experiment::parse(&format!("{SHEET}{more}"), Path::new("test")).unwrap()
}

fn counted(figures: &Figures) -> u64 {
    figures.in_time + figures.late + figures.refused + figures.failed
}

#[test_case(""; "calm")]
#[test_case("[[troubles]]\nkind = \"crash\"\nat_s = 5.0\nshare = 0.5\nfor_s = 3.0\n"; "a crash")]
#[test_case("[[troubles]]\nkind = \"reclaim\"\nat_s = 5.0\ndomain = \"b\"\nnotice_s = 1.0\ndry_s = 9.0\n"; "a reclaim")]
#[test_case("[[troubles]]\nkind = \"limit\"\nat_s = 5.0\nshare = 0.34\npart = 0.1\ntimes = 5.0\nfor_s = 9.0\n"; "limits")]
#[test_case("[[troubles]]\nkind = \"burst\"\nat_s = 5.0\ntimes = 3.0\nfor_s = 5.0\n"; "a burst")]
fn every_request_ends_once_and_each_play_is_the_same(troubles: &str) {
    let experiment = experiment(troubles);
    for seed in 0..4 {
        let figures = play(&experiment, Rule::Predicted, seed);
        assert!(figures.asked > 800, "{} asked", figures.asked);
        assert_eq!(counted(&figures), figures.asked);
        assert_eq!(play(&experiment, Rule::Predicted, seed), figures);
    }
}

#[test]
fn requests_that_may_run_twice_survive_a_crash() {
    let crash = "[[troubles]]\nkind = \"crash\"\nat_s = 5.0\nshare = 0.3\nfor_s = 3.0\n";
    for seed in 0..8 {
        let figures = play(&experiment(crash), Rule::Predicted, seed);
        assert_eq!(figures.failed, 0, "seed {seed}");
    }
}

/// The servers that are left bear half of the usual work with room.
#[test]
fn a_reclaim_with_notice_fails_nothing() {
    let reclaim = "[[troubles]]\nkind = \"reclaim\"\nat_s = 5.0\ndomain = \"b\"\n\
                   notice_s = 2.0\ndry_s = 9.0\n";
    let mut experiment = experiment(reclaim);
    experiment.kinds[0].per_s /= 2.0;
    for seed in 0..8 {
        let figures = play(&experiment, Rule::Predicted, seed);
        assert_eq!(figures.failed + figures.refused, 0, "seed {seed}");
    }
}

#[test]
fn the_predicted_time_beats_chance_and_reads_less() {
    let experiment = experiment("");
    let (mut served, mut read) = (0.0, 0.0);
    for seed in 0..6 {
        let predicted = play(&experiment, Rule::Predicted, seed);
        let random = play(&experiment, Rule::Random, seed);
        served += predicted.served() - random.served();
        read += random.shared_read_tokens as f64 - predicted.shared_read_tokens as f64;
    }
    assert!(served > 0.0, "{served}");
    assert!(read > 0.0, "{read}");
}

#[test]
fn servers_are_paid_for_by_the_second() {
    let figures = play(&experiment(""), Rule::Predicted, 1);
    assert_eq!(figures.servers.round(), 6.0 * 20.0);
}

#[test]
fn orders_follow_the_work() {
    let scaling = "[scaling]\nmin = 1\nmax = 8\nboot_s = 2.0\nreclaimable_price = 0.2\n";
    let ample = play(&experiment(scaling), Rule::Predicted, 1);
    let fixed = play(&experiment(""), Rule::Predicted, 1);
    assert!(ample.servers != fixed.servers);
    assert!(ample.served() > 0.9, "{}", ample.served());
}

#[test_case("length_s = 20.0", "length_s = 0.0", "length_s"; "a length")]
#[test_case("slots = 16", "slots = 0", "engine.slots"; "slots")]
#[test_case("clump = 2.0", "swing = 3.0", "traffic.swing"; "a swing")]
fn a_value_out_of_range_is_named(from: &str, to: &str, key: &str) {
    let text = SHEET.replace(from, to);
    let error = Experiment::parse(&text, Path::new("test")).unwrap_err();
    assert!(error.to_string().starts_with(key), "{error}");
}

#[test]
fn an_unknown_key_is_an_error() {
    let text = format!("{SHEET}colour = 3\n");
    assert!(Experiment::parse(&text, Path::new("test")).is_err());
}

/// With half of the servers that the work needs, callers get more if some are refused at once.
#[test]
fn refusing_in_time_serves_more_under_overload() {
    let mut limited = experiment("");
    limited.kinds[0].per_s *= 4.0;
    let mut unlimited = limited.clone();
    unlimited.wait_share = f64::MAX;
    for seed in 0..4 {
        let limited = play(&limited, Rule::Predicted, seed);
        let unlimited = play(&unlimited, Rule::Predicted, seed);
        let (more, less) = (limited.served(), unlimited.served());
        assert!(more > less, "seed {seed}: {more} against {less}");
    }
}

#[test]
fn limits_of_a_third_of_the_servers_cost_callers_little() {
    let trouble = "[[troubles]]\nkind = \"limit\"\nat_s = 5.0\nshare = 0.34\npart = 0.1\n\
                   times = 5.0\nfor_s = 9.0\n";
    let kept = play(&experiment(trouble), Rule::Predicted, 1);
    let mut ignoring = experiment(trouble);
    ignoring.limits = LimitsRule::Ignored;
    let ignored = play(&ignoring, Rule::Predicted, 1);
    let (kept, ignored) = (kept.served(), ignored.served());
    assert!(kept >= ignored - 0.02, "{kept} against {ignored}");
}

/// An experiment of the folder `experiments`.
fn stored(name: &str) -> Experiment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    Experiment::open(&folder.join(name)).unwrap()
}

/// Reclaimable servers alone carry the load until the first notice. From then on each further
/// notice must find the replacements running.
#[test]
fn callers_hardly_notice_failure_domains_reclaimed_one_after_the_other() {
    let experiment = stored("reclaims-in-series.toml");
    for seed in &experiment.seeds {
        let figures = play(&experiment, Rule::Predicted, *seed);
        let asked = figures.asked as f64;
        let in_time = figures.in_time as f64 / asked;
        assert!(in_time >= 0.95, "seed {seed}: {in_time} in time");
        let failed = figures.failed as f64 / asked;
        assert!(failed <= 0.002, "seed {seed}: {failed} failed");
    }
}
