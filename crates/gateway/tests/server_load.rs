//! Load reports of servers.

use gateway::decide::server_load::{LoadReport, ReportCheck, ServerLoad, SharedLoad};
use gateway::decide::signal::Reading;
use test_case::test_case;

fn report(running: u32, waiting: u32, pace: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 24,
        pace,
    }
}

fn parse(values: &[&str]) -> Reading<LoadReport> {
    LoadReport::parse(values.iter().map(|value| value.as_bytes()))
}

#[test_case("5,0,24" => Reading::Given(report(5, 0, 100)); "three figures")]
#[test_case(" 24, 3 ,24, 250" => Reading::Given(report(24, 3, 250)); "four figures")]
#[test_case("-1,nan,99999999999" => Reading::Unreadable; "absurd")]
#[test_case("25,0,24" => Reading::Unreadable; "more running than slots")]
#[test_case("5,0,24,nan" => Reading::Unreadable; "pace that is no number")]
#[test_case("5,0,24,5000" => Reading::Unreadable; "pace out of range")]
#[test_case("5,0,0" => Reading::Unreadable; "no slots")]
#[test_case("5,0" => Reading::Unreadable; "two figures")]
#[test_case("5,0,24,100,1" => Reading::Unreadable; "five figures")]
fn only_a_load_that_a_server_can_have_is_read(value: &str) -> Reading<LoadReport> {
    parse(&[value])
}

#[test]
fn a_missing_or_repeated_report_is_no_report() {
    assert_eq!(parse(&[]), Reading::Absent);
    assert_eq!(parse(&["5,0,24", "5,0,24"]), Reading::Unreadable);
}

fn running(load: &ServerLoad, now_ms: u64) -> Option<u32> {
    load.current(now_ms).map(|current| current.running)
}

/// Guards against a burst of one node at a server whose last report shows it idle.
#[test]
fn own_sends_and_completions_count_on_top_of_a_report_200_ms_old() {
    let mut load = ServerLoad::default();
    load.record_send(900);
    load.record_own(report(10, 2, 100), 1_000);
    load.record_send(1_050);
    load.record_send(1_060);
    load.record_end(1_100);
    assert_eq!(running(&load, 1_200), Some(13));
    assert_eq!(running(&load, 3_001), None);
}

#[test]
fn the_newest_report_counts_whichever_node_received_it() {
    let mut load = ServerLoad::default();
    load.record_own(report(10, 0, 100), 1_000);
    let shared = |running, age_ms| SharedLoad {
        server: "s".into(),
        report: report(running, 0, 100),
        age_ms,
    };
    load.record_shared(&shared(20, 300), 1_200);
    assert_eq!(running(&load, 1_200), Some(10));
    load.record_shared(&shared(20, 100), 1_200);
    assert_eq!(running(&load, 1_200), Some(20));
    // Only what this node has received itself is sent on.
    let sent = load.shared(&"s".into(), 800, 1_200).unwrap();
    assert_eq!((sent.report.running, sent.age_ms), (10, 200));
}

/// Guards against avoiding a server for long that neighbours slowed for 600 ms.
#[test]
fn a_pace_fades_within_half_a_second() {
    let mut load = ServerLoad::default();
    load.record_own(report(10, 0, 250), 1_000);
    let pace = |now_ms| load.current(now_ms).map(|current| current.pace);
    assert_eq!(pace(1_000), Some(2.5));
    assert_eq!(pace(1_250), Some(1.75));
    assert_eq!(pace(1_500), Some(1.0));
}

#[test]
fn a_report_that_a_response_contradicts_is_not_used_for_two_seconds() {
    let mut load = ServerLoad::default();
    load.record_own(report(0, 0, 100), 1_000);
    let false_report = ReportCheck {
        real_ms: 900.0,
        with_report_ms: 60.0,
        without_report_ms: 700.0,
    };
    // The prediction was wrong for another reason.
    let other_cause = ReportCheck {
        without_report_ms: 80.0,
        ..false_report
    };
    assert!(!load.check(&other_cause, 1_100));
    assert!(load.check(&false_report, 1_100));
    load.record_own(report(0, 0, 100), 1_200);
    assert_eq!(running(&load, 1_300), None);
    load.record_own(report(0, 0, 100), 3_050);
    assert_eq!(running(&load, 3_100), Some(0));
}
