//! Estimates of a server's speed.

use gateway::decide::speed::Speed;

const TOKENS: u64 = 1_000;

fn settled() -> Speed {
    let mut speed = Speed::default();
    for _ in 0..2_000 {
        speed.record_first_event(0, 15);
        speed.record_first_event(TOKENS, 40);
        speed.record_gap(30.0);
    }
    speed
}

#[test]
fn a_server_is_not_taken_for_slow_after_one_silence_of_all_its_requests() {
    let before = settled();
    let mut speed = before;
    for _ in 0..16 {
        speed.record_first_event(TOKENS, 1_540);
    }
    assert!(speed.first_event_ms(TOKENS) < 1.25 * before.first_event_ms(TOKENS));
}

#[test]
fn the_time_between_events_settles_within_a_second_after_a_silence() {
    let before = settled();
    let mut speed = before;
    for _ in 0..16 {
        speed.record_gap(1_500.0);
    }
    // One second of events of as many streams.
    for _ in 0..16 * 33 {
        speed.record_gap(30.0);
    }
    assert!(speed.gap_ms() < 1.1 * before.gap_ms());
}
