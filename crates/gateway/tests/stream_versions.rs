//! Which software version a stream is of, as nodes remember it and derive it.

use base::{Map, Name, Set};
use gateway::decide::begun_streams::{BegunStreams, UnsavedStream, stream_key};
use gateway::decide::version_history::{
    Presence, STREAM_LIFE_MS, StreamVersions, VersionHistory, VersionReport,
};
use gateway::follow::streams::save_period_ms;
use test_case::test_case;

fn serving(versions: &[&str]) -> Map<Name, Set<Name>> {
    let versions: Set<Name> = versions.iter().map(|v| Name::from(*v)).collect();
    Map::from_iter([("s".into(), versions)])
}

/// A history whose past is known to be empty.
fn history() -> VersionHistory {
    let mut history = VersionHistory::default();
    history.merge(&VersionReport::new(), 0);
    history
}

fn report(versions: &[(&str, Presence)]) -> VersionReport {
    let versions = versions.iter().map(|(v, p)| (Name::from(*v), *p)).collect();
    vec![("s".into(), versions)]
}

fn stream(id: &str, service: &str) -> UnsavedStream {
    UnsavedStream {
        key: stream_key("w", service, id),
        service: service.into(),
        version: "v1".into(),
    }
}

#[test]
fn without_a_past_no_version_is_the_only_one() {
    let mut history = VersionHistory::default();
    history.observe(&serving(&["v1"]), 0);
    assert_eq!(history.stream_versions("s"), StreamVersions::Unknown);
    history.merge(&VersionReport::new(), 0);
    assert_eq!(
        history.stream_versions("s"),
        StreamVersions::Only("v1".into())
    );
    assert_eq!(history.stream_versions("other"), StreamVersions::None);
}

#[test_case(STREAM_LIFE_MS - 1, StreamVersions::Several; "while its streams may live")]
#[test_case(STREAM_LIFE_MS, StreamVersions::Only("v2".into()); "no longer")]
fn a_version_counts_after_its_last_server_has_left(after_ms: u64, expected: StreamVersions) {
    let mut history = history();
    history.observe(&serving(&["v1"]), 0);
    history.observe(&serving(&["v2"]), 1_000);
    history.observe(&serving(&["v2"]), 1_000 + after_ms);
    assert_eq!(history.stream_versions("s"), expected);
}

#[test]
fn a_version_that_another_life_saw_counts_from_the_start_of_this_one() {
    let mut history = VersionHistory::default();
    history.merge(&report(&[("v1", Presence::Serving)]), 5_000);
    history.observe(&serving(&["v2"]), 5_000);
    history.observe(&serving(&["v2"]), 5_000 + STREAM_LIFE_MS - 1);
    assert_eq!(history.stream_versions("s"), StreamVersions::Several);
}

#[test]
fn a_report_of_a_version_that_left_long_ago_changes_nothing() {
    let mut history = history();
    history.observe(&serving(&["v2"]), STREAM_LIFE_MS);
    let old = report(&[("v1", Presence::GoneSince(0))]);
    history.merge(&old, STREAM_LIFE_MS);
    assert!(!history.has_several("s"));
}

#[test]
fn reports_name_only_services_with_several_versions() {
    let mut history = history();
    history.observe(&serving(&["v1"]), 0);
    assert_eq!(history.report(), VersionReport::new());
    history.observe(&serving(&["v1", "v2"]), 0);
    assert_eq!(history.report()[0].1.len(), 2);
}

#[test]
fn the_first_record_of_a_stream_stays() {
    let mut streams = BegunStreams::default();
    streams.begin(stream("a", "s"), 0);
    let key = stream_key("w", "s", "a");
    assert!(!streams.remember(key, &"v2".into(), 1));
    assert_eq!(streams.version(&key).map(|v| &**v), Some("v1"));
    assert_eq!(streams.version(&stream_key("other", "s", "a")), None);
}

#[test]
fn only_streams_of_services_with_several_versions_are_saved() {
    let mut streams = BegunStreams::default();
    for (number, service) in ["s", "t", "s", "s"].into_iter().enumerate() {
        streams.begin(stream(&number.to_string(), service), 0);
    }
    let saves = |service: &Name| &**service == "s";
    let taken = streams.take_unsaved(2, saves);
    assert_eq!(taken, [stream("0", "s"), stream("2", "s")]);
    streams.put_back(taken);
    assert_eq!(streams.take_unsaved(9, saves).len(), 3);
    assert_eq!(streams.take_unsaved(9, |_| true), [stream("1", "t")]);
}

#[test]
fn old_streams_are_forgotten_also_if_they_were_never_saved() {
    let mut streams = BegunStreams::default();
    streams.begin(stream("old", "s"), 0);
    streams.begin(stream("new", "s"), STREAM_LIFE_MS);
    assert_eq!(streams.version(&stream_key("w", "s", "old")), None);
    assert_eq!(streams.take_unsaved(9, |_| true), [stream("new", "s")]);
}

/// Commits a second of all nodes against the store's capacity at that size.
#[test_case(6, 400.0)]
#[test_case(69, 1_200.0)]
#[test_case(295, 3_200.0)]
#[test_case(3_200, 3_200.0)]
#[test_case(6, 10.0)]
fn saving_takes_no_more_than_a_fifth_of_the_stores_writes(nodes: usize, writes_per_s: f64) {
    let commits_per_s = nodes as f64 * 1_000.0 / save_period_ms(nodes, writes_per_s) as f64;
    assert!(commits_per_s <= writes_per_s / 5.0, "{commits_per_s}");
}
