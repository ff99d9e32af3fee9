//! Choice of a backend server.

use gateway::belief::registry::{Load, LoadSource};
use gateway::decide::placement::{
    Candidate, Choice, Demand, Health, Locality, PrefixHome, Timeliness,
};
use gateway::decide::prefix_cache::PrefixCache;
use gateway::decide::prompt::Prompt;
use gateway::decide::rule::{self, BaselineInputs, Rule};
use gateway::decide::speed::Speed;
use test_case::test_case;

fn candidate() -> Candidate {
    Candidate {
        load: Load::default(),
        load_source: LoadSource::Counted,
        own_running: 0,
        slots: 4,
        factor: 1.0,
        pace: 1.0,
        speed: Speed::default(),
        known_tokens: 0,
        home: PrefixHome::OtherServer,
        locality: Locality::SameDomain,
        health: Health::Healthy,
        opens_in_ms: 0,
    }
}

fn running(running: u32, waiting_tokens: u64) -> Load {
    Load {
        running,
        waiting_tokens,
    }
}

const PROMPT: Demand = Demand {
    read_tokens: 9_000,
    shared_tokens: 6_000,
    queue_share: 0.25,
};

fn choose(demand: &Demand, candidates: &[Candidate]) -> Option<Choice> {
    rule::choose(
        Rule::Predicted,
        demand,
        candidates,
        BaselineInputs::default(),
    )
}

fn chosen(candidates: &[Candidate]) -> Option<usize> {
    choose(&PROMPT, candidates).map(|choice| choice.index)
}

#[test]
fn a_server_that_has_the_prompt_cached_is_chosen() {
    let caching = Candidate {
        known_tokens: 6_000,
        load: running(2, 0),
        ..candidate()
    };
    assert_eq!(chosen(&[candidate(), caching]), Some(1));
}

#[test]
fn the_home_of_the_shared_prefix_is_chosen() {
    let home = Candidate {
        home: PrefixHome::ThisServer,
        ..candidate()
    };
    assert_eq!(chosen(&[candidate(), home]), Some(1));
}

#[test]
fn another_server_is_chosen_if_the_home_has_much_to_read() {
    let home = Candidate {
        home: PrefixHome::ThisServer,
        load: running(3, 40_000),
        ..candidate()
    };
    assert_eq!(chosen(&[home, candidate()]), Some(1));
}

#[test]
fn the_closer_of_two_equal_servers_is_chosen() {
    let other_domain = Candidate {
        locality: Locality::OtherDomain,
        ..candidate()
    };
    assert_eq!(chosen(&[other_domain, candidate()]), Some(1));
}

/// Guards against requests that queue at a server with few slots: it looks a little faster than the
/// others, each node sends it requests before it hears of the others', and all slots fill.
#[test]
fn a_server_with_few_free_slots_is_not_chosen_for_being_a_little_faster() {
    let of_six = |factor, running| Candidate {
        load: Load {
            running,
            waiting_tokens: 0,
        },
        slots: 6,
        speed: Speed {
            start_ms: 65.0,
            ..Speed::default()
        }
        .times(factor),
        ..candidate()
    };
    let call = Demand {
        read_tokens: 0,
        shared_tokens: 0,
        queue_share: 1.0,
    };
    let choice = choose(&call, &[of_six(0.92, 4), of_six(1.0, 1)]);
    assert_eq!(choice.map(|c| c.index), Some(1));
}

#[test]
fn a_recently_failed_server_is_chosen_only_if_no_other_has_room() {
    let recently_failed = Candidate {
        health: Health::RecentlyFailed,
        known_tokens: 9_000,
        ..candidate()
    };
    let full = Candidate {
        load: running(5, 0),
        ..candidate()
    };
    assert_eq!(chosen(&[recently_failed, candidate()]), Some(1));
    assert_eq!(chosen(&[recently_failed, full]), Some(0));
}

#[test]
fn a_late_answer_is_predicted() {
    let busy = Candidate {
        load: running(3, 400_000),
        ..candidate()
    };
    let choice = choose(&PROMPT, &[busy]).unwrap();
    assert_eq!(choice.timeliness(1_000), Timeliness::TooLate);
    assert_eq!(choice.timeliness(60_000), Timeliness::InTime);
}

#[test]
fn no_full_server_is_chosen() {
    let full = Candidate {
        load: running(5, 0),
        ..candidate()
    };
    assert_eq!(chosen(&[full, full]), None);
}

#[test]
fn prompts_are_parsed() {
    let prompt = Prompt::parse(Some("5c1e:800,91bd:410,e440:250"), Some("1460,80"));
    assert_eq!(prompt.used_tokens(), Some(1_540));
    assert_eq!(prompt.read_tokens(), 1_460);
    assert_eq!(prompt.shared_chain(), Some(prompt.parts[1].chain));
    assert_eq!(Prompt::parse(Some("x,y:z"), None), Prompt::default());
}

#[test]
fn a_cached_part_counts_only_after_the_same_parts() {
    let mut cache = PrefixCache::default();
    cache.record(&Prompt::parse(Some("a:100,b:50"), None), 10_000, 0);
    let known = |parts| cache.cached_tokens(&Prompt::parse(Some(parts), None));
    assert_eq!(known("a:100,b:50,c:7"), 150);
    assert_eq!(known("a:100,c:7"), 100);
    assert_eq!(known("b:50"), 0);
}

#[test]
fn the_least_recently_used_parts_are_evicted() {
    let mut cache = PrefixCache::default();
    for n in 0..100_u64 {
        let parts = format!("part{n}:100");
        cache.record(&Prompt::parse(Some(&parts), None), 2_000, n);
    }
    let known = |n: u64| cache.cached_tokens(&Prompt::parse(Some(&format!("part{n}:100")), None));
    assert_eq!((known(0), known(99)), (0, 100));
}

/// Three servers: one with the fewest requests of all nodes, one with none of this node, and the
/// home of the prompt.
fn three_servers() -> [Candidate; 3] {
    let few = Candidate {
        load: running(1, 0),
        own_running: 1,
        ..candidate()
    };
    let none_of_ours = Candidate {
        load: running(3, 0),
        ..candidate()
    };
    let home = Candidate {
        load: running(2, 0),
        own_running: 2,
        home: PrefixHome::ThisServer,
        ..candidate()
    };
    [few, none_of_ours, home]
}

#[test_case(Rule::LeastOutstanding => Some(0))]
#[test_case(Rule::LeastOwn => Some(1))]
#[test_case(Rule::PrefixHash => Some(2))]
#[test_case(Rule::RoundRobin => Some(1))]
#[test_case(Rule::Random => Some(2))]
fn baselines_choose_by_their_rule(rule: Rule) -> Option<usize> {
    let chance = BaselineInputs {
        drawn: 0.9,
        turn: 4,
    };
    rule::choose(rule, &PROMPT, &three_servers(), chance).map(|choice| choice.index)
}

#[test_case(Rule::LeastOutstanding)]
#[test_case(Rule::LeastOwn)]
#[test_case(Rule::PrefixHash)]
#[test_case(Rule::RoundRobin)]
#[test_case(Rule::Random)]
fn no_baseline_takes_a_full_server(rule: Rule) {
    let full = Candidate {
        load: running(5, 0),
        home: PrefixHome::ThisServer,
        ..candidate()
    };
    let candidates = [full, candidate(), full];
    for turn in 0..6 {
        let chance = BaselineInputs {
            drawn: turn as f64 / 6.0,
            turn,
        };
        let choice = rule::choose(rule, &PROMPT, &candidates, chance).unwrap();
        assert_eq!(choice.index, 1);
    }
}
