//! The record of a non-idempotent call when its entry VM or the table fails around the claim.

use proof::check::{Counts, all};
use proof::deployment::{Deployment, Plan};
use proof::guard::until;
use proof::history::{Outcome, RunStateSaid};
use proof::load::{Requests, Running};
use proof::relay::Mode;
use standin::fault::{Fault, FaultKind};
use standin::platform::Area;
use tokio::time::Instant;

const WORKSPACE: &str = "village-schools";

/// More refusals than a table's timeout has room for, were each to wait for it.
const REFUSALS: usize = 20;

async fn small() -> Deployment {
    let plan = Plan {
        engines: 1,
        ..Plan::default()
    };
    Deployment::open(plan).await
}

fn said(outcome: &Outcome) -> Option<RunStateSaid> {
    match outcome {
        Outcome::Refused { run_state, .. } => Some(*run_state),
        _ => None,
    }
}

/// Starts a filing at the first entry VM, whose claim reaches the table and has no answer.
async fn claim_held(deployment: &Deployment, requests: &mut Requests) -> (Running, String) {
    deployment.platform_relay.set(Mode::AnswersHeld);
    let mut running = Running::default();
    let filing = requests.filing();
    let key = filing.key.clone();
    running.file(&deployment.caller(WORKSPACE), 0, filing);
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    (running, key)
}

#[tokio::test]
async fn an_entry_vm_killed_between_claim_and_send_leaves_the_outcome_unknown() {
    let mut deployment = small().await;
    let mut requests = Requests::seeded(31);
    let (running, key) = claim_held(&deployment, &mut requests).await;
    deployment.entries[0].process.kill();
    deployment.platform_relay.set(Mode::Pass);
    let caller = deployment.caller(WORKSPACE);
    for entry in [1, 2] {
        until("a verdict from the table", async || {
            let again = requests.filing_again(&key);
            let outcome = caller.file(entry, &again).await;
            (said(&outcome) == Some(RunStateSaid::Unknown)).then_some(())
        })
        .await;
    }
    running.outcomes().await;
    let events = deployment.history();
    deployment.close().await;
    assert_eq!(all(&events), []);
    assert_eq!(Counts::of(&events).effects, 0);
}

#[tokio::test]
async fn an_entry_vm_frozen_between_claim_and_send_runs_the_call_once_or_not_at_all() {
    let mut deployment = small().await;
    let mut requests = Requests::seeded(32);
    let (running, key) = claim_held(&deployment, &mut requests).await;
    deployment.entries[0].process.freeze();
    deployment.platform_relay.set(Mode::Pass);
    let caller = deployment.caller(WORKSPACE);
    for entry in [1, 2] {
        let outcome = caller.file(entry, &requests.filing_again(&key)).await;
        assert!(said(&outcome).is_some(), "{outcome:?}");
    }
    deployment.entries[0].process.resume();
    let first = running.outcomes().await;
    // The frozen owner has sent the call or frees its key.
    until("the call to be answered", async || {
        let again = requests.filing_again(&key);
        let outcome = caller.file(1, &again).await;
        matches!(outcome, Outcome::Filing { .. }).then_some(())
    })
    .await;
    let events = deployment.history();
    deployment.close().await;
    println!("the frozen entry VM's caller got {first:?}");
    assert_eq!(all(&events), []);
    assert_eq!(Counts::of(&events).effects, 1);
}

#[tokio::test]
async fn while_the_table_hangs_only_the_first_call_waits_for_it() {
    let mut deployment = small().await;
    let hang = Fault {
        kind: FaultKind::Hang,
        delay_ms: 0,
        next: None,
    };
    for area in [Area::TableReads, Area::TableWrites] {
        deployment.set_platform_fault(area, hang).await;
    }
    let caller = deployment.caller(WORKSPACE);
    let mut requests = Requests::seeded(33);
    let start = Instant::now();
    let first = caller.file(0, &requests.filing()).await;
    let first_ms = start.elapsed().as_millis();
    assert_eq!(said(&first), Some(RunStateSaid::NotRun));
    let start = Instant::now();
    for _ in 0..REFUSALS {
        let outcome = caller.file(0, &requests.filing()).await;
        assert_eq!(said(&outcome), Some(RunStateSaid::NotRun));
    }
    let later_ms = start.elapsed().as_millis();
    let events = deployment.history();
    deployment.close().await;
    println!("first refusal after {first_ms} ms, the next {REFUSALS} within {later_ms} ms");
    assert!(later_ms < first_ms);
    assert_eq!(all(&events), []);
    assert_eq!(Counts::of(&events).effects, 0);
}
