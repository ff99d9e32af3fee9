//! Detection of poison requests: single cases and simulated histories.

#[path = "support/crashes.rs"]
mod crashes;

use crashes::{History, Recognition, play};
use policy::suspect::{
    Loss, RECORD_LIMIT, RequestDigest, SUSPECT_TTL_MS, SuspectRecord, SuspectRequests, Treatment,
};
use proptest::prelude::*;
use test_case::test_case;

const START_MS: u64 = 1_000_000_000;

fn digest(text: &str) -> RequestDigest {
    RequestDigest::of("coop", "drafting", text.as_bytes())
}

fn lose(suspects: &mut SuspectRequests, server: &str, on_server: &[&str], now_ms: u64) {
    let digests: Vec<RequestDigest> = on_server.iter().map(|text| digest(text)).collect();
    let domain = format!("domain of {server}").into();
    suspects.server_lost(&server.into(), &domain, Loss::Crash, &digests, now_ms);
}

#[test_case(&[("a", &["p", "x"], 0)], "p", Treatment::Apart; "first crash")]
#[test_case(&[("a", &["p", "x"], 0), ("b", &["p", "y"], 9_000)], "p", Treatment::Refuse; "second crash")]
#[test_case(&[("a", &["p", "x"], 0), ("b", &["p", "y"], 9_000)], "x", Treatment::Apart; "other request of the first crash")]
#[test_case(&[("a", &["p", "x"], 0), ("b", &["p", "y"], 9_000)], "y", Treatment::Apart; "other request of the second crash")]
#[test_case(&[("a", &["p"], 0), ("a", &["p"], 1_000)], "p", Treatment::Apart; "one crash reported twice")]
#[test_case(&[("a", &["p"], 0), ("a", &["p"], 60_000)], "p", Treatment::Refuse; "a restarted server crashes again")]
#[test_case(&[("a", &["p"], 0)], "z", Treatment::Normal; "on no crashed server")]
fn after_crashes(crashes: &[(&str, &[&str], u64)], request: &str, want: Treatment) {
    let mut suspects = SuspectRequests::default();
    for (server, on_server, at_ms) in crashes {
        lose(&mut suspects, server, on_server, START_MS + at_ms);
    }
    assert_eq!(suspects.treatment(digest(request), START_MS + 70_000), want);
}

#[test]
fn a_request_that_completes_is_cleared_until_a_new_crash() {
    let mut suspects = SuspectRequests::default();
    lose(&mut suspects, "a", &["x"], START_MS);
    suspects.completed(digest("x"), START_MS + 10);
    assert_eq!(
        suspects.treatment(digest("x"), START_MS + 10),
        Treatment::Normal
    );
    lose(&mut suspects, "b", &["x"], START_MS + 20_000);
    assert_eq!(
        suspects.treatment(digest("x"), START_MS + 20_000),
        Treatment::Apart
    );
}

#[test]
fn announced_losses_are_not_crashes() {
    let mut suspects = SuspectRequests::default();
    let on_server = [digest("x")];
    let announced = Loss::Announced;
    suspects.server_lost(&"a".into(), &"vake".into(), announced, &on_server, START_MS);
    assert!(suspects.is_empty());
    lose(&mut suspects, "b", &["x"], START_MS);
    suspects.mark_departed(&"b".into(), START_MS + 30_000);
    let now_ms = START_MS + 30_000;
    assert_eq!(suspects.treatment(digest("x"), now_ms), Treatment::Normal);
}

#[test]
fn a_late_notice_reaches_peers_that_saw_a_crash() {
    let (mut left, mut right) = (SuspectRequests::default(), SuspectRequests::default());
    lose(&mut left, "a", &["x"], START_MS);
    right.merge(&left.export(1_000, START_MS), START_MS);
    assert_eq!(right.treatment(digest("x"), START_MS), Treatment::Apart);
    left.mark_departed(&"a".into(), START_MS + 10);
    right.merge(&left.export(1_000, START_MS + 10), START_MS + 10);
    assert_eq!(
        right.treatment(digest("x"), START_MS + 10),
        Treatment::Normal
    );
}

#[test]
fn a_crash_of_another_cause_does_not_hide_a_poison_request() {
    let mut suspects = SuspectRequests::default();
    for (server, request) in [("a", "p"), ("b", "x"), ("c", "p")] {
        let loss = Loss::Crash;
        suspects.server_lost(
            &server.into(),
            &"vake".into(),
            loss,
            &[digest(request)],
            START_MS,
        );
    }
    assert_eq!(suspects.treatment(digest("p"), START_MS), Treatment::Refuse);
}

#[test]
fn the_loss_of_a_failure_domain_is_not_a_crash() {
    let mut suspects = SuspectRequests::default();
    for server in ["a", "b", "c", "d"] {
        let loss = Loss::Crash;
        suspects.server_lost(
            &server.into(),
            &"vake".into(),
            loss,
            &[digest("x")],
            START_MS,
        );
    }
    assert_eq!(suspects.treatment(digest("x"), START_MS), Treatment::Normal);
}

#[test_case(r#"{"model":"m","messages":[1],"stream":true}"#, true; "streamed")]
#[test_case(r#"{"messages":[1], "max_tokens":9, "model":"m"}"#, true; "reordered, with a token limit")]
#[test_case(r#"{"model":"m","messages":[2]}"#, false; "another prompt")]
#[test_case(r#"{"model":"m","messages":[1]"#, false; "not JSON")]
fn digest_ignores_parameters_that_callers_change(body: &str, same: bool) {
    let first = digest(r#"{"model":"m","messages":[1]}"#);
    assert_eq!(digest(body) == first, same);
    let other_workspace = RequestDigest::of("rival", "drafting", body.as_bytes());
    assert_ne!(other_workspace, first);
}

#[test]
fn memory_is_bounded_and_refused_requests_are_kept() {
    let mut suspects = SuspectRequests::default();
    lose(&mut suspects, "a", &["p"], START_MS);
    lose(&mut suspects, "b", &["p"], START_MS + 6_000);
    for number in 0..3 * RECORD_LIMIT as u64 {
        let name = number.to_string();
        lose(&mut suspects, &name, &[&name], START_MS + 7_000 + number);
    }
    assert_eq!(suspects.len(), RECORD_LIMIT);
    let now_ms = START_MS + 30_000;
    assert_eq!(suspects.treatment(digest("p"), now_ms), Treatment::Refuse);
    let later_ms = now_ms + 2 * SUSPECT_TTL_MS;
    let last = (3 * RECORD_LIMIT - 1).to_string();
    assert_eq!(
        suspects.treatment(digest(&last), later_ms),
        Treatment::Normal
    );
}

fn report(reports: &[(u8, u8, u16)], of: impl Fn(usize) -> bool) -> SuspectRequests {
    let mut suspects = SuspectRequests::default();
    for (number, (server, request, at_ms)) in reports.iter().enumerate() {
        if !of(number) {
            continue;
        }
        let now_ms = START_MS + u64::from(*at_ms) * 10_000;
        lose(
            &mut suspects,
            &server.to_string(),
            &[&request.to_string()],
            now_ms,
        );
    }
    suspects
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two entry VMs that each observed some of the crashes agree, after one exchange of records,
    /// with one that observed all. Further exchanges change nothing.
    #[test]
    fn exchanged_records_give_every_entry_vm_the_same_result(
        reports in prop::collection::vec((0..5_u8, 0..6_u8, 0..4_u16), 1..4),
        split in any::<u64>(),
    ) {
        let now_ms = START_MS + 50_000;
        let whole = report(&reports, |_| true);
        let mut left = report(&reports, |number| split >> number & 1 == 0);
        let mut right = report(&reports, |number| split >> number & 1 == 1);
        for _ in 0..3 {
            let (from_left, from_right): (Vec<SuspectRecord>, Vec<SuspectRecord>) =
                (left.export(u64::MAX, now_ms), right.export(u64::MAX, now_ms));
            left.merge(&from_right, now_ms);
            right.merge(&from_left, now_ms);
            for request in 0..6 {
                let digest = digest(&request.to_string());
                let want = whole.treatment(digest, now_ms);
                prop_assert_eq!(left.treatment(digest, now_ms), want);
                prop_assert_eq!(right.treatment(digest, now_ms), want);
            }
        }
    }
}

#[test]
fn poison_request_crashes_two_servers_and_other_requests_are_rarely_refused() {
    const HISTORIES: u64 = 200;
    let recognitions = [
        Recognition::None,
        Recognition::FirstCrash,
        Recognition::AloneAtOnce,
        Recognition::SecondCrash,
        Recognition::SecondCrashApart,
        Recognition::SecondCrashOwnShare,
    ];
    let mut totals = Vec::new();
    for recognition in recognitions {
        let mut total = History::default();
        for seed in 0..HISTORIES {
            total.add(&play(recognition, seed));
        }
        println!(
            "{recognition:?}: {HISTORIES} histories, {} attempts of the poison request, {} servers lost to it (at most {} in one history), {} lost otherwise, {} other requests, {} times on a lost server, {} refused by mistake, {} histories with more than two servers lost to it",
            total.poison_attempts,
            total.lost_to_poison,
            total.most_lost_to_poison,
            total.lost_otherwise,
            total.other_requests,
            total.on_lost_server,
            total.refused_wrongly,
            total.over_two_lost,
        );
        totals.push(total);
    }
    let [none, first, _, second, _, kept] = &totals[..] else {
        panic!("six recognitions");
    };
    assert!(none.lost_to_poison > 3 * kept.lost_to_poison);
    assert!(first.refused_wrongly > 20 * kept.refused_wrongly);
    assert!(second.refused_wrongly > 2 * kept.refused_wrongly);
    assert!(kept.refused_wrongly * 1_000 < kept.other_requests);
    assert_eq!(kept.most_lost_to_poison, 2);
}

/// Every entry VM receives an incident from its observer, so forwarding it would waste bandwidth.
#[test]
fn records_merged_from_a_peer_are_not_exported_again() {
    let (mut observer, mut receiver) = (SuspectRequests::default(), SuspectRequests::default());
    let digest = RequestDigest::of("w", "/x", b"body");
    observer.server_lost(&"s".into(), &"d".into(), Loss::Crash, &[digest], START_MS);
    let exported = observer.export_local(1_000, START_MS);
    assert_eq!(exported.len(), 1);
    receiver.merge(&exported, START_MS);
    assert_eq!(receiver.treatment(digest, START_MS), Treatment::Apart);
    assert!(receiver.export_local(1_000, START_MS).is_empty());
    receiver.completed(digest, START_MS + 10);
    assert_eq!(receiver.export_local(1_000, START_MS + 10).len(), 1);
}
