//! Detection of parts of prompts that crash servers.

use base::Name;
use policy::suspect::{
    PART_REFUSAL_MS, PARTS_LIMIT, PartId, QUARANTINES_LIMIT, RunOnServer, SuspectParts,
};
use proptest::prelude::*;
use test_case::test_case;

const START_MS: u64 = 1_000_000;

fn service() -> Name {
    "drafting".into()
}

fn parts(ids: &[u64]) -> Vec<PartId> {
    ids.iter().map(|id| PartId::new(*id)).collect()
}

/// A request on a crashed server: workspace, parts, and when it was sent.
type Run<'a> = (&'a str, &'a [u64], u64);

fn crash(suspects: &mut SuspectParts, server: &str, runs: &[Run<'_>], at_ms: u64) {
    let owned: Vec<(Name, Vec<PartId>, u64)> = runs
        .iter()
        .map(|(workspace, ids, started_ms)| ((*workspace).into(), parts(ids), *started_ms))
        .collect();
    let runs: Vec<RunOnServer<'_>> = owned
        .iter()
        .map(|(workspace, parts, started_ms)| RunOnServer {
            workspace,
            parts,
            started_ms: START_MS + started_ms,
        })
        .collect();
    let at_ms = START_MS + at_ms;
    suspects.server_crashed(&service(), &server.into(), &runs, at_ms, at_ms);
}

fn refuses(suspects: &SuspectParts, workspace: &str, ids: &[u64], at_ms: u64) -> bool {
    let now_ms = START_MS + at_ms;
    let refused = suspects.refused_for_ms(&service(), workspace, &parts(ids), now_ms);
    refused.is_some()
}

/// Three crashes in sequence with part 7, beside part 1 and a part of its own each.
fn three_crashes(workspaces: [&str; 3]) -> SuspectParts {
    let mut suspects = SuspectParts::default();
    for (number, workspace) in workspaces.into_iter().enumerate() {
        let number = number as u64;
        let started_ms = number * 1_000;
        let ids = [1, 7, 100 + number];
        let server = format!("s{number}");
        crash(
            &mut suspects,
            &server,
            &[(workspace, &ids, started_ms)],
            started_ms + 200,
        );
        suspects.completed(&service(), &parts(&[1]), START_MS + started_ms + 500);
    }
    suspects
}

#[test]
fn a_part_that_crashes_servers_one_after_the_other_is_refused() {
    let suspects = three_crashes(["a", "b", "a"]);
    assert!(refuses(&suspects, "c", &[1, 7, 900], 3_000));
    assert!(!refuses(&suspects, "a", &[1, 100], 3_000));
    assert!(!refuses(&suspects, "a", &[1], 3_000));
}

#[test]
fn one_workspace_cannot_have_the_requests_of_others_refused() {
    let mut suspects = three_crashes(["a", "a", "a"]);
    assert!(refuses(&suspects, "a", &[1, 7, 900], 3_000));
    assert!(!refuses(&suspects, "b", &[1, 7, 900], 3_000));
    crash(&mut suspects, "s3", &[("b", &[1, 7, 900], 3_000)], 3_200);
    assert!(refuses(&suspects, "c", &[7, 901], 3_300));
}

#[test]
fn parts_of_sound_requests_cannot_be_brought_into_quarantine_by_naming_them() {
    let mut suspects = SuspectParts::default();
    for number in 0..6_u64 {
        let at_ms = number * 1_000;
        let server = format!("s{number}");
        let workspace = ["a", "b"][number as usize % 2];
        crash(
            &mut suspects,
            &server,
            &[(workspace, &[50, 7], at_ms)],
            at_ms + 100,
        );
    }
    // Part 50 never completed by itself, and requests with it alone run.
    assert!(refuses(&suspects, "c", &[50, 7], 6_000));
    assert!(!refuses(&suspects, "c", &[50, 8], 6_000));
    suspects.completed(&service(), &parts(&[50]), START_MS + 6_100);
    assert!(refuses(&suspects, "c", &[7], 6_200));
    assert!(!refuses(&suspects, "c", &[50], 6_200));
}

#[test]
fn servers_lost_at_the_same_moment_are_one_crash() {
    let mut suspects = SuspectParts::default();
    for number in 0..8 {
        let runs: [Run<'_>; 2] = [("a", &[1, 2], 0), ("b", &[1, 3], 10)];
        crash(&mut suspects, &format!("s{number}"), &runs, 1_000 + number);
    }
    for ids in [[1, 2], [1, 3]] {
        assert!(!refuses(&suspects, "a", &ids, 1_100));
    }
}

#[test_case(1; "one in three")]
#[test_case(2; "two in three")]
fn a_completion_between_crashes_clears_a_part(every: u64) {
    let mut suspects = SuspectParts::default();
    for number in 0..9_u64 {
        let at_ms = number * 1_000;
        let runs: [Run<'_>; 2] = [("a", &[1, 2], at_ms), ("b", &[1, 2], at_ms)];
        crash(&mut suspects, &format!("s{number}"), &runs, at_ms + 100);
        if number % every == 0 {
            suspects.completed(&service(), &parts(&[1, 2]), START_MS + at_ms + 200);
        }
    }
    assert!(!refuses(&suspects, "a", &[1, 2], 9_000));
}

#[test]
fn a_part_beside_the_crashing_one_is_not_refused_for_crashes_that_this_explains() {
    let mut suspects = SuspectParts::default();
    for number in 0..6_u64 {
        let at_ms = number * 1_000;
        // Part 20 waits on each server that part 7 takes down, but for one.
        let beside: Run<'_> = ("b", &[1, 20], at_ms);
        let runs: Vec<Run<'_>> = match number {
            2 => vec![("a", &[1, 7], at_ms)],
            _ => vec![("a", &[1, 7], at_ms), beside, beside],
        };
        crash(&mut suspects, &format!("s{number}"), &runs, at_ms + 100);
        suspects.completed(&service(), &parts(&[1]), START_MS + at_ms + 300);
    }
    assert!(refuses(&suspects, "a", &[1, 7], 6_000));
    assert!(!refuses(&suspects, "b", &[1, 20], 6_000));
}

#[test]
fn a_quarantine_ends_and_one_more_crash_renews_it() {
    let mut suspects = three_crashes(["a", "b", "a"]);
    let lapsed_ms = 2_200 + PART_REFUSAL_MS;
    assert!(refuses(&suspects, "a", &[7], lapsed_ms - 1));
    assert!(!refuses(&suspects, "a", &[7], lapsed_ms));
    suspects.expire(START_MS + lapsed_ms);
    crash(
        &mut suspects,
        "s9",
        &[("a", &[7], lapsed_ms + 10)],
        lapsed_ms + 300,
    );
    assert!(refuses(&suspects, "b", &[7], lapsed_ms + 400));
}

#[test]
fn a_node_that_starts_learns_what_is_in_quarantine() {
    let suspects = three_crashes(["a", "b", "a"]);
    let later_ms = START_MS + 60_000;
    let report = suspects.export(1_000, later_ms);
    assert!(report.evidence.is_empty());
    let mut other = SuspectParts::default();
    // The other process has run for 50 ms.
    other.merge(&report, 50);
    let refused = other.refused_for_ms(&service(), "c", &parts(&[7]), 60);
    assert!(refused.is_some());
}

#[test]
fn quarantines_fill_each_pulse_for_as_long_as_they_last() {
    let suspects = three_crashes(["a", "b", "a"]);
    let began_ms = START_MS + 2_200;
    let news = |at_ms: u64| suspects.export_news(360, at_ms).quarantines.len();
    assert_eq!((news(began_ms), news(began_ms + 361)), (1, 0));
    let mut other = SuspectParts::default();
    let report = suspects.export(0, began_ms + 60_000);
    for again in 0..3 {
        other.merge(&report, 70_000 + again * 300);
    }
    // Only what this node has just come to know is passed on at once.
    assert_eq!(other.export_news(360, 70_200).quarantines.len(), 1);
    assert_eq!(other.export_news(360, 70_600).quarantines.len(), 0);
}

#[test]
fn a_part_that_completed_elsewhere_is_not_taken_over() {
    let suspects = three_crashes(["a", "b", "a"]);
    let report = suspects.export(10_000, START_MS + 3_000);
    let mut other = SuspectParts::default();
    crash(&mut other, "s0", &[("a", &[1, 7], 0)], 200);
    other.completed(&service(), &parts(&[7]), START_MS + 2_900);
    other.merge(&report, START_MS + 3_000);
    assert!(!refuses(&other, "c", &[7], 3_010));
    let mut first = suspects;
    let answer = other.export(1_000, START_MS + 3_010);
    first.merge(&answer, START_MS + 3_010);
    assert!(!refuses(&first, "c", &[7], 3_020));
}

#[test]
fn what_is_kept_of_crashes_has_a_bound() {
    let mut suspects = SuspectParts::default();
    for number in 0..400_u64 {
        let at_ms = number * 100;
        let noise: Vec<u64> = (0..60).map(|n| 1_000 + number * 60 + n).collect();
        let mut ids = vec![7];
        ids.extend(noise);
        crash(
            &mut suspects,
            &format!("s{number}"),
            &[("a", &ids, at_ms)],
            at_ms + 50,
        );
    }
    assert!(suspects.len() <= PARTS_LIMIT);
    assert!(refuses(&suspects, "a", &[7], 40_000));
    let report = suspects.export(10_000, START_MS + 40_000);
    assert!(report.evidence.len() <= 64 && report.quarantines.len() <= 16);
    assert!(serde_json::to_vec(&report).unwrap().len() < 40_000);
    let mut many = SuspectParts::default();
    for number in 0..100_u64 {
        let at_ms = number * 10_000;
        for step in 0..3_u64 {
            let started_ms = at_ms + step * 1_000;
            let server = format!("s{number}-{step}");
            crash(
                &mut many,
                &server,
                &[("a", &[number], started_ms)],
                started_ms + 10,
            );
        }
    }
    assert!(many.export(0, START_MS + 1_000_000).quarantines.len() <= QUARANTINES_LIMIT);
}

proptest! {
    /// Nodes that hear the same reports, in whatever order and however often, refuse the same.
    #[test]
    fn merging_does_not_depend_on_order_or_repetition(
        order in Just((0..6_usize).collect::<Vec<_>>()).prop_shuffle(),
        again in 0..6_usize,
    ) {
        let mut reports = Vec::new();
        for number in 0..6_u64 {
            let mut observer = SuspectParts::default();
            let at_ms = number * 500;
            crash(&mut observer, &format!("s{number}"), &[("a", &[1, 7], at_ms)], at_ms + 100);
            reports.push(observer.export(10_000, START_MS + 4_000));
        }
        let mut merged = SuspectParts::default();
        for index in order {
            merged.merge(&reports[index], START_MS + 4_000);
            merged.merge(&reports[again], START_MS + 4_000);
        }
        prop_assert!(refuses(&merged, "a", &[1, 7], 4_000));
        prop_assert!(!refuses(&merged, "a", &[1], 4_000));
    }
}
