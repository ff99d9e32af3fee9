//! Speed of a server relative to its service.

use gateway::decide::server_factor::{FactorReport, ServerFactor};

/// Servers of one service differ by factors of 0.6 to 1.6.
#[test]
fn a_slow_server_is_known_after_some_tens_of_samples_and_by_other_nodes() {
    let mut factor = ServerFactor::default();
    for n in 0..30 {
        factor.record([1.2, 1.6, 2.0][n % 3], 1_000);
    }
    assert!((1.35..1.65).contains(&factor.factor(1_000)));
    let report = factor.report(&"s".into(), 7, 720, 1_000).unwrap();
    let mut other = ServerFactor::default();
    other.merge(&"a".into(), &report, 1_000);
    assert!((1.35..1.65).contains(&other.factor(1_000)));
    // Evidence that is no longer repeated fades.
    assert!(other.factor(61_000) < 1.1);
}

/// Guards against a server that is avoided for good after some requests that waited.
#[test]
fn a_few_long_waits_make_no_slow_server() {
    let mut factor = ServerFactor::default();
    for _ in 0..3 {
        factor.record(20.0, 0);
    }
    assert!(factor.factor(0) < 1.2, "{}", factor.factor(0));
}

/// Guards against memory that grows with the fleet: 3,000 servers and 300 nodes.
#[test]
fn false_evidence_is_bounded() {
    let report = FactorReport {
        server: "s".into(),
        born_unix_ms: 7,
        factor_percent: 10_000,
        weight: 30,
        age_ms: 0,
    };
    assert!(!report.is_plausible());
    let plausible = FactorReport {
        factor_percent: 400,
        ..report
    };
    assert!(plausible.is_plausible());
    let mut factor = ServerFactor::default();
    for node in 0..300 {
        factor.merge(&format!("n{node}").as_str().into(), &plausible, 0);
    }
    assert!(factor.factor(0) <= 4.0);
}

/// Guards against an encoding that other builds of the fleet can't read.
#[test]
fn a_report_is_encoded_as_a_row() {
    let report = FactorReport {
        server: "s".into(),
        born_unix_ms: 7,
        factor_percent: 160,
        weight: 8,
        age_ms: 120,
    };
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(text, r#"["s",7,160,8,120]"#);
    assert_eq!(serde_json::from_str::<FactorReport>(&text).unwrap(), report);
    for damaged in [
        r#"["s",7,160,8]"#,
        r#"["s",7,160,8,120,1]"#,
        r#"["s",7,160,8,-1]"#,
    ] {
        assert!(serde_json::from_str::<FactorReport>(damaged).is_err());
    }
}
