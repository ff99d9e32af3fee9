//! Load shedding while servers have many prompt tokens to read.

use gateway::belief::registry::{Load, LoadSource};
use gateway::decide::placement::{Candidate, Demand, Health, Locality, PrefixHome};
use gateway::decide::rule::{BaselineInputs, Rule, choose};
use gateway::decide::shed::wait_limit_ms;
use gateway::decide::speed::Speed;
use test_case::test_case;

const TARGET_MS: u64 = 250;

#[test_case(0, 1.0 => 250; "the most urgent may wait for the target time")]
#[test_case(2, 1.0 => 166; "the less urgent are refused first")]
#[test_case(9, 1.0 => 76; "the least urgent")]
#[test_case(0, 0.4 => 100; "a smaller share")]
fn the_limit_falls_with_the_rank(rank: u8, share: f64) -> u64 {
    wait_limit_ms(TARGET_MS, share, rank)
}

fn wait_ms(read_tokens: u64, waiting_tokens: u64) -> u64 {
    let demand = Demand {
        read_tokens,
        shared_tokens: 0,
        queue_share: 0.25,
    };
    let candidate = Candidate {
        load: Load {
            running: 0,
            waiting_tokens,
        },
        load_source: LoadSource::Counted,
        own_running: 0,
        slots: 48,
        factor: 1.0,
        pace: 1.0,
        speed: Speed::default(),
        known_tokens: 0,
        home: PrefixHome::OtherServer,
        locality: Locality::SameDomain,
        health: Health::Healthy,
        opens_in_ms: 0,
    };
    let choice = choose(
        Rule::Predicted,
        &demand,
        &[candidate],
        BaselineInputs::default(),
    );
    choice.unwrap().wait_ms
}

#[test]
fn a_long_prompt_is_predicted_to_wait_no_longer_than_a_short_one() {
    assert_eq!(wait_ms(500, 20_000), wait_ms(40_000, 20_000));
    assert_eq!(wait_ms(40_000, 0), 0);
    assert!(wait_ms(500, 20_000) > 100);
}
