//! Injects each fault of the table or of the owner, one at a time, into a running ledger.

mod support;

use ledger::{BeginResult, Ledger, OutcomeStatus, Permit, Progress};
use support::{FakeTable, Fault, fingerprint, ledger, request, result, scope};
use test_case::test_case;

fn name(begin: &BeginResult) -> &'static str {
    match begin {
        BeginResult::Run(_) => "run",
        BeginResult::Replay(_) => "replay",
        BeginResult::TooLarge => "too_large",
        BeginResult::Expired => "expired",
        BeginResult::InProgress { .. } => "in_progress",
        BeginResult::Mismatch => "mismatch",
        BeginResult::OutcomeUnknown => "outcome_unknown",
        BeginResult::Unavailable { .. } => "unavailable",
    }
}

async fn ask(ledger: &Ledger, number: u128) -> BeginResult {
    let scope = scope("coop", "k");
    ledger
        .begin(scope, fingerprint("body"), request(number))
        .await
}

async fn permit(ledger: &Ledger, number: u128) -> Permit {
    match ask(ledger, number).await {
        BeginResult::Run(permit) => permit,
        other => panic!("expected a permit, got {}", name(&other)),
    }
}

async fn until_settled(ledger: &Ledger) {
    while ledger.backlog_len() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_costs_two_writes_and_no_read() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    let running = permit(&ledger, 1).await.start();
    assert_eq!(
        running.finish(result("filed")).await,
        OutcomeStatus::Recorded
    );
    assert_eq!(table.operations(), (2, 0));
    let BeginResult::Replay(replayed) = ask(&ledger, 2).await else {
        panic!("the second call is not answered with the stored response");
    };
    assert_eq!(replayed, result("filed"));
    assert_eq!(
        table.operations(),
        (3, 1),
        "a replay costs one write that fails with a conflict, and one read"
    );
}

#[test_case(&[Fault::Rejected], &[], "unavailable", "run"; "claim rejected")]
#[test_case(&[Fault::ResponseLost], &[], "run", "in_progress"; "claim applied, response lost")]
#[test_case(&[Fault::RequestLost], &[], "run", "in_progress"; "claim lost before the store")]
#[test_case(&[Fault::HangAfterApply], &[], "unavailable", "run"; "claim applied, store hangs")]
#[test_case(&[Fault::Hang], &[], "unavailable", "run"; "claim not applied, store hangs")]
#[test_case(&[Fault::ResponseLost], &[Fault::Rejected], "unavailable", "run"; "claim applied, read rejected")]
#[test_case(&[Fault::RequestLost], &[Fault::Rejected], "unavailable", "run"; "claim lost, read rejected")]
#[test_case(&[Fault::AppliedLate], &[Fault::Rejected], "unavailable", "run"; "claim delayed, read rejected")]
#[test_case(&[Fault::RequestLost; 4], &[], "unavailable", "run"; "claim lost each time")]
#[tokio::test(start_paused = true)]
async fn a_fault_of_the_claim_write(commits: &[Fault], reads: &[Fault], first: &str, then: &str) {
    let table = FakeTable::default();
    table.fail_commits(commits);
    table.fail_reads(reads);
    let ledger = ledger(&table, "vm-1", 1);
    let begin = ask(&ledger, 1).await;
    assert_eq!(name(&begin), first);
    until_settled(&ledger).await;
    ledger.until_store_up().await;
    let late = table.apply_delayed();
    assert_eq!(late, 0, "a delayed claim fails once the key is released");
    assert_eq!(name(&ask(&ledger, 2).await), then);
}

#[test_case(&[Fault::Rejected], OutcomeStatus::Deferred; "rejected")]
#[test_case(&[Fault::ResponseLost], OutcomeStatus::Recorded; "applied, response lost")]
#[test_case(&[Fault::RequestLost], OutcomeStatus::Recorded; "lost before the store")]
#[test_case(&[Fault::AppliedLate], OutcomeStatus::Recorded; "delayed")]
#[test_case(&[Fault::Hang], OutcomeStatus::Deferred; "not applied, store hangs")]
#[test_case(&[Fault::HangAfterApply], OutcomeStatus::Deferred; "applied, store hangs")]
#[tokio::test(start_paused = true)]
async fn a_fault_of_the_result_write(commits: &[Fault], want: OutcomeStatus) {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    let running = permit(&ledger, 1).await.start();
    table.fail_commits(commits);
    assert_eq!(running.finish(result("filed")).await, want);
    until_settled(&ledger).await;
    table.apply_delayed();
    ledger.until_store_up().await;
    assert_eq!(name(&ask(&ledger, 2).await), "replay");
}

#[tokio::test(start_paused = true)]
async fn calls_are_refused_immediately_while_the_store_is_down() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    table.fail_all(Some(Fault::Hang));
    let start = tokio::time::Instant::now();
    assert_eq!(name(&ask(&ledger, 1).await), "unavailable");
    let first_ms = start.elapsed().as_millis();
    let (commits, _) = table.operations();
    for number in 2..1_000 {
        assert_eq!(name(&ask(&ledger, number).await), "unavailable");
    }
    assert_eq!(
        start.elapsed().as_millis(),
        first_ms,
        "later calls are refused without delay"
    );
    assert_eq!(
        table.operations().0,
        commits,
        "later calls send no write to the store"
    );
    assert_eq!(
        ledger.backlog_len(),
        1,
        "later calls leave no outcome in the queue"
    );
    table.fail_all(None);
    ledger.until_store_up().await;
    assert_eq!(name(&ask(&ledger, 1_000).await), "run");
}

#[tokio::test(start_paused = true)]
async fn calls_in_flight_are_refused_when_an_outage_is_detected() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    table.fail_all(Some(Fault::HangAfterApply));
    let start = tokio::time::Instant::now();
    let early = ask(&ledger, 1);
    let late = async {
        tokio::time::sleep(std::time::Duration::from_millis(1_400)).await;
        let scope = scope("coop", "other");
        ledger.begin(scope, fingerprint("body"), request(2)).await
    };
    let (early, late) = tokio::join!(early, late);
    assert_eq!((name(&early), name(&late)), ("unavailable", "unavailable"));
    assert!(start.elapsed().as_millis() < 1_600, "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_result_is_recorded_after_an_outage() {
    let table = FakeTable::default();
    let (first, second) = (ledger(&table, "vm-1", 1), ledger(&table, "vm-2", 2));
    let running = permit(&first, 1).await.start();
    table.fail_all(Some(Fault::Hang));
    assert_eq!(
        running.finish(result("filed")).await,
        OutcomeStatus::Deferred
    );
    assert_eq!(name(&ask(&second, 2).await), "unavailable");
    table.fail_all(None);
    second.until_store_up().await;
    let between = ask(&second, 3).await;
    assert!(["in_progress", "replay"].contains(&name(&between)));
    until_settled(&first).await;
    assert_eq!(name(&ask(&second, 4).await), "replay");
}

#[derive(Clone, Copy)]
enum KillPoint {
    BeforeStart,
    AfterStart,
    DuringFinish,
    AfterFinish,
}

/// A killed process runs no destructors, so the permit is forgotten and the ledger closed at once.
#[test_case(KillPoint::BeforeStart, "in_progress"; "after the claim")]
#[test_case(KillPoint::AfterStart, "in_progress"; "after sending")]
#[test_case(KillPoint::DuringFinish, "in_progress"; "before the result is recorded")]
#[test_case(KillPoint::AfterFinish, "replay"; "after the result")]
#[tokio::test(start_paused = true)]
async fn the_owner_is_killed(kill_point: KillPoint, want: &str) {
    let table = FakeTable::default();
    let (first, second) = (ledger(&table, "vm-1", 1), ledger(&table, "vm-2", 2));
    let permit = permit(&first, 1).await;
    match kill_point {
        KillPoint::BeforeStart => std::mem::forget(permit),
        KillPoint::AfterStart => std::mem::forget(permit.start()),
        KillPoint::DuringFinish => {
            table.fail_all(Some(Fault::Rejected));
            permit.start().finish(result("filed")).await;
        }
        KillPoint::AfterFinish => {
            permit.start().finish(result("filed")).await;
        }
    }
    first.close(0).await;
    table.fail_all(None);
    for number in 2..5 {
        assert_eq!(name(&ask(&second, number).await), want);
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_wakes_after_any_pause_is_still_the_only_one() {
    let table = FakeTable::default();
    let (first, second) = (ledger(&table, "vm-1", 1), ledger(&table, "vm-2", 2));
    let permit = permit(&first, 1).await;
    let year = std::time::Duration::from_secs(365 * 86_400);
    tokio::time::advance(year).await;
    assert_eq!(name(&ask(&second, 2).await), "in_progress");
    let running = permit.start();
    tokio::time::advance(year).await;
    assert_eq!(name(&ask(&second, 3).await), "in_progress");
    assert_eq!(
        running.finish(result("filed")).await,
        OutcomeStatus::Recorded
    );
    assert_eq!(name(&ask(&second, 4).await), "replay");
}

#[tokio::test(start_paused = true)]
async fn of_two_concurrent_entry_vms_only_one_runs() {
    let table = FakeTable::default();
    let (first, second) = (ledger(&table, "vm-1", 1), ledger(&table, "vm-2", 2));
    let (a, b) = tokio::join!(ask(&first, 1), ask(&second, 2));
    let mut names = [name(&a), name(&b)];
    names.sort();
    assert_eq!(names, ["in_progress", "run"]);
}

#[tokio::test(start_paused = true)]
async fn outcomes_of_the_owner_decide_what_a_second_call_gets() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    permit(&ledger, 1).await.not_sent().await;
    permit(&ledger, 2).await.start().not_sent().await;
    drop(permit(&ledger, 3).await);
    until_settled(&ledger).await;
    drop(permit(&ledger, 4).await.start());
    until_settled(&ledger).await;
    assert_eq!(name(&ask(&ledger, 5).await), "outcome_unknown");
    let row = scope("coop", "k").row_key();
    assert_eq!(table.record(&row).unwrap().progress, Progress::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_during_the_claim_frees_the_key() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    let left = tokio::time::timeout(std::time::Duration::ZERO, ask(&ledger, 1)).await;
    assert!(left.is_err());
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    until_settled(&ledger).await;
    assert_eq!(
        table.operations().0,
        2,
        "one write claims the key and one releases it"
    );
    assert_eq!(name(&ask(&ledger, 2).await), "run");
}

#[tokio::test(start_paused = true)]
async fn another_body_is_a_mismatch_and_another_workspace_another_call() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    let running = permit(&ledger, 1).await.start();
    running.finish(result("filed")).await;
    let other_body = ledger
        .begin(scope("coop", "k"), fingerprint("other"), request(2))
        .await;
    assert_eq!(name(&other_body), "mismatch");
    let other_workspace = ledger
        .begin(scope("rival", "k"), fingerprint("body"), request(3))
        .await;
    assert_eq!(name(&other_workspace), "run");
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_result_is_too_large_to_store_is_never_run_again() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    let running = permit(&ledger, 1).await.start();
    running.finish(result(&"x".repeat(65))).await;
    assert_eq!(name(&ask(&ledger, 2).await), "too_large");
}

#[tokio::test(start_paused = true)]
async fn after_retention_the_key_stays_closed() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    permit(&ledger, 1)
        .await
        .start()
        .finish(result("filed"))
        .await;
    let row = scope("coop", "k").row_key();
    assert_eq!(ledger.sweep_page("coop", "", 30).await.unwrap().dropped, 0);
    assert_eq!(name(&ask(&ledger, 2).await), "replay");
    let mut old = table.record(&row).unwrap();
    old.day -= 31;
    table.overwrite(&row, &old.encode());
    assert_eq!(ledger.sweep_page("coop", "", 30).await.unwrap().dropped, 1);
    assert_eq!(name(&ask(&ledger, 3).await), "expired");
    let kept_bytes = table.record(&row).unwrap().encode().len();
    println!("a record without its result has {kept_bytes} bytes");
    assert!(kept_bytes <= 256);
}

#[tokio::test(start_paused = true)]
async fn a_damaged_row_is_never_run_again() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    permit(&ledger, 1)
        .await
        .start()
        .finish(result("filed"))
        .await;
    table.overwrite(&scope("coop", "k").row_key(), "{");
    assert_eq!(name(&ask(&ledger, 2).await), "outcome_unknown");
}
