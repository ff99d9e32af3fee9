//! The account of a recorded example day.

use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use emulator::account::lateness::LateCause;
use emulator::account::log::OrderOutcome;
use emulator::account::{Ledger, LogSummary, Report};

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

fn summary() -> LogSummary {
    let log = std::fs::File::open(data("day.log")).unwrap();
    LogSummary::read(BufReader::new(log)).unwrap()
}

fn account(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_apricotledge-lab"))
        .arg("account")
        .args(arguments)
        .output()
        .unwrap()
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

#[test]
fn refusals_are_counted_with_their_retry_after_and_moment() {
    let refusals = &summary().refusals["allowance_used"];
    assert_eq!(refusals.count, 3);
    assert_eq!(refusals.median_retry_after_ms(), Some(200));
    assert_eq!(refusals.busiest(), Some((0.0, 3)));
}

#[test]
fn orders_and_failed_attempts_are_counted_by_reason() {
    let summary = summary();
    let orders = |purchase: &str, outcome| summary.orders.get(&(purchase.to_owned(), outcome));
    assert_eq!(orders("reclaimable", OrderOutcome::Accepted), Some(&2));
    assert_eq!(orders("reclaimable", OrderOutcome::Refused), Some(&1));
    assert_eq!(orders("on_demand", OrderOutcome::Unanswered), Some(&1));
    assert_eq!(summary.failed_attempts["broken"], 1);
}

/// Guards against blaming a pause for a late first byte, and against counting logs of earlier versions
/// (request 10) as in time. The load: one answer in time, three late ones for three reasons.
#[test]
fn late_answers_are_counted_with_their_cause() {
    let lateness = summary().lateness;
    assert_eq!(lateness.measured, 4);
    let counts: Vec<_> = lateness.by_cause().into_iter().collect();
    let expected = [
        (("summary", LateCause::FirstBytePredicted), 1),
        (("summary", LateCause::FirstByteUnpredicted), 1),
        (("summary", LateCause::Pause), 1),
    ];
    assert_eq!(counts, expected);
    assert_eq!(
        (lateness.late[0].took_ms, lateness.late[0].limit_ms),
        (950, 800)
    );
}

/// The first line is no event, and one was cut off.
#[test]
fn unreadable_lines_are_counted_and_skipped() {
    assert_eq!(summary().skipped_lines, 2);
}

#[test]
fn the_bound_leaves_out_what_no_decision_could_have_saved() {
    let report = Report::open(&data("report.json")).unwrap();
    let log = summary();
    assert_eq!(log.dark.last(), Some(&(1.5, 2.5)));
    // 4 busy servers for 1 s at the reclaimable price, then for 0.5 s at the full price.
    assert!(close(log.busy_reclaimable_s, 4.0));
    assert!(close(log.busy_on_demand_s, 2.0));
    let ledger = Ledger::new(&report, &log, 0.25);
    let bound = ledger.bound;
    assert!(close(bound.servers, 3.0 * 0.2 / 500.0), "{bound:?}");
    assert!(close(bound.machines, 0.02));
    // Two dark windows: all of the first one's worth was served, half of the second one's.
    assert!(close(bound.dark, 0.5 * 0.2 + 0.35 * 0.25), "{bound:?}");
    let lost: f64 = ledger.lost.iter().map(|(_, worth)| worth).sum();
    assert!(close(lost, 0.025 + 0.105 + 0.015));
}

#[test]
fn the_tool_prints_losses_prices_and_reasons() {
    let (report, log) = (data("report.json"), data("day.log"));
    let output = account(&[report.to_str().unwrap(), log.to_str().unwrap()]);
    let text = String::from_utf8(output.stdout).unwrap();
    for line in [
        "  lost 0.105  worst windows",
        "  paid 0.200  seconds of servers ordered",
        "  conversation, 100, 90, 4, 3, 3, 0, 0.900",
        "refused 3: allowance_used, median Retry-After 200 ms, most from 0 s: 3",
        "late 3 of 4 answers",
        "late 1: summary, first byte, not predicted",
        "  1.34 s  14  summary  pause: 700 ms, limit 500 ms, predicted first byte 110 ms",
        "orders 1: on_demand, unanswered",
    ] {
        assert!(text.contains(line), "{line} is missing in:\n{text}");
    }
}

#[test]
fn mistakes_are_answered_with_the_mend() {
    let log = data("day.log");
    let log = log.to_str().unwrap();
    let output = account(&[log, log]);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("Write one with `run --report`"), "{text}");
    let output = account(&["--reclaimable-price", "2", log, log]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("give a share from 0 to 1"), "{text}");
}
