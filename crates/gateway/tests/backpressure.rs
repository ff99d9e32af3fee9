//! Signals of servers: parsing, the state kept for each server, and turns under a limit.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use base::units::Millisecond;
use gateway::decide::backpressure::{Backpressure, BackpressureChange, Limit, Notice, Timing};
use gateway::decide::signal::{Reading, Signals, hold_off_ms, leaving, limit_per_s};
use gateway::decide::turns::{Rendezvous, Turns};
use test_case::test_case;

fn values<'a>(texts: &'a [&'a str]) -> impl Iterator<Item = &'a [u8]> {
    texts.iter().map(|text| text.as_bytes())
}

#[test_case(&[] => Reading::Absent; "not there")]
#[test_case(&["1.8"] => Reading::Given(1.8); "a decimal")]
#[test_case(&[" 0 "] => Reading::Given(0.0); "zero")]
#[test_case(&["1", "1"] => Reading::Unreadable; "two fields")]
#[test_case(&["1, 2"] => Reading::Unreadable; "two values")]
#[test_case(&["-0.5"] => Reading::Unreadable; "negative")]
#[test_case(&["inf"] => Reading::Unreadable; "infinite")]
#[test_case(&["NaN"] => Reading::Unreadable; "no number")]
#[test_case(&["1e9"] => Reading::Unreadable; "an exponent")]
#[test_case(&["99999999999999999999"] => Reading::Unreadable; "huge")]
#[test_case(&["."] => Reading::Unreadable; "no digit")]
#[test_case(&[""] => Reading::Unreadable; "empty")]
fn limits_are_read(texts: &[&str]) -> Reading<f64> {
    limit_per_s(values(texts))
}

#[test]
fn a_value_that_is_no_text_is_unreadable() {
    assert_eq!(limit_per_s([&b"\xff"[..]].into_iter()), Reading::Unreadable);
}

#[test_case("1" => true)]
#[test_case("0" => false)]
#[test_case("yes" => false)]
fn leaving_is_read(text: &str) -> bool {
    leaving(values(&[text])).value().is_some()
}

#[test_case("2" => Reading::Given(2_000); "seconds")]
#[test_case("0.25" => Reading::Given(250); "a fraction")]
#[test_case("Sun, 06 Nov 1994 08:49:37 GMT" => Reading::Given(7_000); "a date")]
#[test_case("Sun, 06 Nov 1994 08:49:07 GMT" => Reading::Given(0); "a date that has passed")]
#[test_case("Sun, 06 Nov 2094 08:49:37 GMT" => Reading::Unreadable; "a far date")]
#[test_case("1000000" => Reading::Unreadable; "more than a day")]
#[test_case("soon" => Reading::Unreadable; "neither")]
fn times_to_hold_off_are_read(text: &str) -> Reading<Millisecond> {
    // Sun, 06 Nov 1994 08:49:30 GMT.
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_770);
    hold_off_ms(values(&[text]), now)
}

fn named(per_s: f64) -> Signals {
    Signals {
        limit_per_s: Reading::Given(per_s),
        ..Signals::default()
    }
}

/// Records an answer at `at_ms` to a request that was sent `took_ms` earlier.
fn answer(
    backpressure: &mut Backpressure,
    signals: &Signals,
    at_ms: u64,
    took_ms: u64,
) -> Vec<BackpressureChange> {
    let timing = Timing {
        sent_ms: at_ms - took_ms,
        answered_ms: at_ms,
        now_ms: at_ms,
    };
    backpressure.record_answer(signals, timing)
}

#[test]
fn a_limit_ends_step_by_step_once_answers_name_none() {
    let mut backpressure = Backpressure::default();
    answer(&mut backpressure, &named(2.0), 10_000, 10);
    let mut limits = Vec::new();
    for at_ms in (11_000..22_000).step_by(1_000) {
        answer(&mut backpressure, &Signals::default(), at_ms, 10);
        limits.push(backpressure.limit_per_s(at_ms));
    }
    let two = Some(2.0);
    let expected = [
        two,
        two,
        two,
        two,
        two,
        Some(4.0),
        Some(8.0),
        None,
        None,
        None,
        None,
    ];
    assert_eq!(limits, expected);
}

#[test]
fn an_answer_to_an_earlier_request_does_not_loosen_a_limit() {
    let mut backpressure = Backpressure::default();
    answer(&mut backpressure, &named(2.0), 10_000, 10);
    for _ in 0..9 {
        answer(&mut backpressure, &Signals::default(), 19_000, 9_500);
    }
    assert_eq!(backpressure.limit_per_s(19_000), Some(2.0));
}

#[test]
fn a_limit_that_no_answer_confirms_ends() {
    let mut backpressure = Backpressure::default();
    answer(&mut backpressure, &named(0.0), 10_000, 10);
    assert_eq!(backpressure.limit_per_s(40_000), Some(0.1));
    assert_eq!(backpressure.limit_per_s(40_001), None);
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let mut backpressure = Backpressure::default();
    let unreadable = Signals {
        limit_per_s: Reading::Unreadable,
        ..Signals::default()
    };
    assert!(answer(&mut backpressure, &unreadable, 10_000, 10).is_empty());
    assert!(!backpressure.has_signals());
    answer(&mut backpressure, &named(3.0), 10_000, 10);
    answer(&mut backpressure, &unreadable, 20_000, 10);
    assert_eq!(backpressure.limit_per_s(20_000), Some(3.0));
}

fn notice(limit: Limit) -> Notice {
    Notice {
        server: "s".into(),
        born_unix_ms: 1,
        leaving_ms: None,
        limit: Some(limit),
    }
}

#[test]
fn an_older_notice_of_a_limit_is_ignored() {
    let mut backpressure = Backpressure::default();
    answer(&mut backpressure, &named(2.0), 10_000, 10);
    let limit = Limit {
        named_per_s: 9.0,
        named_ms: 9_000,
        released: 0,
        at_ms: 9_000,
    };
    assert!(backpressure.merge_notice(&notice(limit), 10_100).is_empty());
    let later = Limit {
        at_ms: 10_050,
        named_ms: 10_050,
        ..limit
    };
    backpressure.merge_notice(&notice(later), 10_100);
    assert_eq!(backpressure.limit_per_s(10_100), Some(9.0));
}

#[test]
fn a_notice_from_a_fast_clock_is_replaced_by_the_next_answer() {
    let mut backpressure = Backpressure::default();
    let ahead = Limit {
        named_per_s: 9.0,
        named_ms: 99_000,
        released: 0,
        at_ms: 99_000,
    };
    backpressure.merge_notice(&notice(ahead), 10_000);
    answer(&mut backpressure, &named(2.0), 10_050, 10);
    assert_eq!(backpressure.limit_per_s(10_050), Some(2.0));
}

#[test_case(f64::NAN; "no number")]
#[test_case(-1.0; "negative")]
#[test_case(f64::INFINITY; "infinite")]
fn a_damaged_notice_is_not_plausible(named_per_s: f64) {
    let limit = Limit {
        named_per_s,
        named_ms: 1,
        released: 0,
        at_ms: 1,
    };
    assert!(!notice(limit).is_plausible());
}

#[test]
fn a_limit_costs_capacity_only_for_a_while() {
    let mut backpressure = Backpressure::default();
    answer(&mut backpressure, &named(1.2), 10_000, 10);
    assert!((backpressure.lost_share(12, 10_000) - 0.9).abs() < 1e-9);
    answer(&mut backpressure, &named(1.2), 31_000, 10);
    assert_eq!(backpressure.lost_share(12, 31_000), 0.0);
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_600))
}

fn rendezvous(own: u8, nodes: u8) -> Rendezvous {
    Rendezvous::new(address(own), (0..nodes).map(address))
}

#[test]
fn each_turn_belongs_to_one_node_of_those_that_know_each_other() {
    let mut opened: Vec<Millisecond> = Vec::new();
    for own in 0..6 {
        let mut turns = Turns::default();
        let rendezvous = rendezvous(own, 6);
        for now_ms in (1_000_000..1_060_000).step_by(50) {
            let Some(turn) = turns.next(1.8, &rendezvous, "s", now_ms) else {
                continue;
            };
            if turn.opens_ms <= now_ms {
                turns.take(&turn);
                opened.push(turn.opens_ms);
            }
        }
    }
    opened.sort_unstable();
    let distinct = opened.windows(2).all(|pair| pair[0] != pair[1]);
    assert!(distinct, "{opened:?}");
    assert!((107..=109).contains(&opened.len()), "{}", opened.len());
}

#[test]
fn a_turn_that_was_not_used_is_given_back_and_runs_out() {
    let mut turns = Turns::default();
    let rendezvous = rendezvous(0, 1);
    let turn = turns.next(1.0, &rendezvous, "s", 5_000_100).unwrap();
    turns.take(&turn);
    let next = turns.next(1.0, &rendezvous, "s", 5_000_100).unwrap();
    assert_eq!(next.opens_ms, turn.opens_ms + 1_000);
    turns.give_back(&turn);
    assert_eq!(turns.next(1.0, &rendezvous, "s", 5_000_100), Some(turn));
    let later = turns.next(1.0, &rendezvous, "s", turn.closes_ms).unwrap();
    assert!(later.opens_ms >= turn.opens_ms + 1_000);
}

#[test]
fn a_limit_that_changes_does_not_give_a_turn_twice() {
    let mut turns = Turns::default();
    let rendezvous = rendezvous(0, 1);
    let mut taken = 0;
    for (step, now_ms) in (5_000_000..5_010_000).step_by(20).enumerate() {
        let per_s = if step % 2 == 0 { 1.0 } else { 1.5 };
        let turn = turns.next(per_s, &rendezvous, "s", now_ms);
        if let Some(turn) = turn.filter(|t| t.opens_ms <= now_ms) {
            turns.take(&turn);
            taken += 1;
        }
    }
    assert!(taken <= 16, "{taken} in ten seconds at 1.5 a second");
}

fn brittle(per_s: f64) -> Backpressure {
    let mut backpressure = Backpressure::default();
    let signals = Signals {
        refusals_per_s: Reading::Given(per_s),
        ..Signals::default()
    };
    backpressure.record_answer(&signals, answered(0));
    backpressure
}

fn answered(at_ms: Millisecond) -> Timing {
    Timing {
        sent_ms: at_ms,
        answered_ms: at_ms,
        now_ms: at_ms,
    }
}

/// Each node sends again as soon as it may, and is refused each time.
#[test_case(1, 3.0)]
#[test_case(6, 3.0)]
#[test_case(60, 3.0)]
#[test_case(295, 5.0)]
fn refusals_of_a_brittle_server_to_all_nodes_stay_within_its_number(nodes: usize, per_s: f64) {
    let mut backpressure = brittle(per_s);
    backpressure.record_refusal(nodes, 0);
    let pause_ms = backpressure.hold_off_until_ms();
    assert!(
        nodes as f64 * 1_000.0 / pause_ms as f64 <= per_s,
        "{pause_ms}"
    );
}

#[test]
fn a_server_that_no_longer_says_that_it_is_brittle_is_held_off_after_no_refusal() {
    let mut backpressure = brittle(3.0);
    backpressure.record_answer(&Signals::default(), answered(10));
    assert!(!backpressure.is_brittle());
    assert_eq!(backpressure.record_refusal(6, 20), None);
}
