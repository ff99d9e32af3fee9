//! Non-idempotent calls under faults: at most once, and "not run" only when it is true.

use proof::check::{Counts, all};
use proof::deployment::{Deployment, Plan};
use proof::guard::until;
use proof::history::{Event, Outcome, RunStateSaid};
use proof::load::{Requests, Running};
use proof::relay::Mode;
use proof::wire::Call;
use serde_json::json;
use standin::fault::{Fault, FaultKind};
use standin::platform::Area;
use test_case::test_case;

const WORKSPACE: &str = "village-schools";

async fn small() -> Deployment {
    let plan = Plan {
        engines: 1,
        ..Plan::default()
    };
    Deployment::open(plan).await
}

async fn finish(mut deployment: Deployment) -> Vec<Event> {
    let events = deployment.history();
    deployment.close().await;
    assert_eq!(all(&events), []);
    events
}

fn is_filed(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Filing { .. })
}

#[tokio::test]
async fn a_filing_sent_to_two_entry_vms_at_once_runs_once() {
    let deployment = small().await;
    let caller = deployment.caller(WORKSPACE);
    let mut requests = Requests::seeded(1);
    let mut running = Running::default();
    const KEYS: usize = 20;
    for number in 0..KEYS {
        let filing = requests.filing();
        let again = requests.filing_again(&filing.key);
        running.file(&caller, number, filing);
        running.file(&caller, number + 1, again);
    }
    let outcomes = running.outcomes().await;
    let events = finish(deployment).await;
    let answered = outcomes.iter().filter(|outcome| is_filed(outcome)).count();
    assert!(answered >= KEYS, "{outcomes:?}");
    assert_eq!(Counts::of(&events).effects, KEYS);
}

#[tokio::test]
async fn a_filing_sent_again_is_answered_from_its_record() {
    let deployment = small().await;
    let caller = deployment.caller(WORKSPACE);
    let mut requests = Requests::seeded(2);
    let filing = requests.filing();
    let first = caller.file(0, &filing).await;
    let again = caller.file(1, &requests.filing_again(&filing.key)).await;
    assert!(is_filed(&first), "{first:?}");
    assert_eq!(first, again);
    let events = finish(deployment).await;
    assert_eq!(Counts::of(&events).effects, 1);
}

#[tokio::test]
async fn one_key_in_two_workspaces_is_two_filings() {
    let deployment = small().await;
    let mut requests = Requests::seeded(3);
    let filing = requests.filing();
    let first = deployment.caller(WORKSPACE).file(0, &filing).await;
    let other = requests.filing_again(&filing.key);
    let second = deployment.caller("mountain-clinics").file(1, &other).await;
    assert!(
        is_filed(&first) && is_filed(&second),
        "{first:?} {second:?}"
    );
    let events = finish(deployment).await;
    assert_eq!(Counts::of(&events).effects, 2);
}

fn fault(kind: FaultKind, next: Option<u32>) -> Fault {
    Fault {
        kind,
        delay_ms: 0,
        next,
    }
}

#[test_case(FaultKind::Unavailable; "unavailable")]
#[test_case(FaultKind::Throttle; "throttled")]
#[test_case(FaultKind::DropBefore; "dropped")]
#[test_case(FaultKind::Hang; "hanging")]
#[tokio::test]
async fn a_filing_while_the_table_is_down_is_truthfully_not_run(kind: FaultKind) {
    let deployment = small().await;
    for area in [Area::TableReads, Area::TableWrites] {
        deployment.set_platform_fault(area, fault(kind, None)).await;
    }
    let caller = deployment.caller(WORKSPACE);
    let filing = Requests::seeded(4).filing();
    let outcome = caller.file(0, &filing).await;
    let said = matches!(
        outcome,
        Outcome::Refused {
            run_state: RunStateSaid::NotRun,
            ..
        }
    );
    assert!(said, "{outcome:?}");
    let events = finish(deployment).await;
    assert_eq!(Counts::of(&events).effects, 0);
}

#[test_case(FaultKind::LoseAnswer, 1; "one answer lost")]
#[test_case(FaultKind::LoseAnswer, 3; "three answers lost")]
#[test_case(FaultKind::CutAnswer, 1; "one answer cut")]
#[test_case(FaultKind::ErrorAfter, 1; "one error after the effect")]
#[test_case(FaultKind::DropBefore, 1; "one write dropped")]
#[tokio::test]
async fn a_write_with_a_lost_answer_makes_no_second_run(kind: FaultKind, next: u32) {
    let deployment = small().await;
    let caller = deployment.caller(WORKSPACE);
    let mut requests = Requests::seeded(5);
    let lost = fault(kind, Some(next));
    deployment.set_platform_fault(Area::TableWrites, lost).await;
    let filing = requests.filing();
    caller.file(0, &filing).await;
    let mut answered = 0;
    for entry in 0..6 {
        let again = requests.filing_again(&filing.key);
        answered += usize::from(is_filed(&caller.file(entry, &again).await));
    }
    let events = finish(deployment).await;
    assert!(Counts::of(&events).effects <= 1);
    assert!(answered > 0, "the filing can be settled");
}

#[test_case(FaultKind::LoseAnswer; "answer lost")]
#[test_case(FaultKind::CutAnswer; "answer cut")]
#[test_case(FaultKind::DropBefore; "dropped unanswered")]
#[tokio::test]
async fn a_filing_whose_outcome_was_lost_is_unknown_and_not_run_again(kind: FaultKind) {
    let deployment = small().await;
    for desk in &deployment.desks {
        let faults = json!({"fault": fault(kind, Some(1))});
        deployment.set_faults(desk, &faults).await;
    }
    let caller = deployment.caller(WORKSPACE);
    let mut requests = Requests::seeded(6);
    let filing = requests.filing();
    for entry in 0..3 {
        let again = requests.filing_again(&filing.key);
        let outcome = caller.file(entry, &again).await;
        let unknown = matches!(
            outcome,
            Outcome::Refused {
                run_state: RunStateSaid::Unknown,
                ..
            }
        );
        assert!(unknown, "{outcome:?}");
    }
    let events = finish(deployment).await;
    assert!(Counts::of(&events).effects <= 1);
}

/// Makes both desks keep calls waiting for so long that a fault strikes amid one.
async fn slow_desks(deployment: &Deployment) {
    let faults = json!({"fault": {"kind": "slow", "delay_ms": 700}});
    for desk in &deployment.desks {
        deployment.set_faults(desk, &faults).await;
    }
}

/// Calls that reached a desk, and calls that took effect there.
async fn seen(deployment: &Deployment) -> (u64, usize) {
    let (mut received, mut effects) = (0, 0);
    for desk in &deployment.desks {
        // The log of a desk that has ended counts for nothing.
        let Ok(reply) = Call::get("/effects").send(desk.address).await else {
            continue;
        };
        let log = reply.json();
        received += log["received"].as_u64().unwrap_or(0);
        effects += log["effects"].as_array().map_or(0, Vec::len);
    }
    (received, effects)
}

/// Waits until so many calls beyond the `ready` probes have taken effect.
async fn effects_reach(deployment: &Deployment, count: usize) {
    until("the effects", async || {
        (seen(deployment).await.1 >= count).then_some(())
    })
    .await;
}

/// Starts a filing at the first entry VM and waits until it is at a desk.
async fn filing_under_way(deployment: &Deployment, requests: &mut Requests) -> (Running, String) {
    slow_desks(deployment).await;
    let (before, _) = seen(deployment).await;
    let mut running = Running::default();
    let filing = requests.filing();
    let key = filing.key.clone();
    running.file(&deployment.caller(WORKSPACE), 0, filing);
    until("the filing to reach a desk", async || {
        (seen(deployment).await.0 > before).then_some(())
    })
    .await;
    (running, key)
}

#[tokio::test]
async fn a_filing_whose_entry_vm_was_killed_is_not_run_again() {
    let mut deployment = small().await;
    let mut requests = Requests::seeded(7);
    let (running, key) = filing_under_way(&deployment, &mut requests).await;
    let (_, before) = seen(&deployment).await;
    deployment.entries[0].process.kill();
    let caller = deployment.caller(WORKSPACE);
    for entry in [1, 2] {
        caller.file(entry, &requests.filing_again(&key)).await;
    }
    effects_reach(&deployment, before + 1).await;
    for entry in [1, 2] {
        caller.file(entry, &requests.filing_again(&key)).await;
    }
    running.outcomes().await;
    let events = finish(deployment).await;
    assert_eq!(Counts::of(&events).effects, 1);
}

#[tokio::test]
async fn an_entry_vm_that_wakes_amid_a_filing_does_not_run_it_again() {
    let mut deployment = small().await;
    let mut requests = Requests::seeded(8);
    let (running, key) = filing_under_way(&deployment, &mut requests).await;
    deployment.entries[0].process.freeze();
    let caller = deployment.caller(WORKSPACE);
    for entry in [1, 2] {
        caller.file(entry, &requests.filing_again(&key)).await;
    }
    deployment.entries[0].process.resume();
    running.outcomes().await;
    let events = finish(deployment).await;
    assert_eq!(Counts::of(&events).effects, 1);
}

#[tokio::test]
async fn a_terminated_entry_vm_finishes_its_filing() {
    let mut deployment = small().await;
    let mut requests = Requests::seeded(9);
    let (running, _) = filing_under_way(&deployment, &mut requests).await;
    deployment.entries[0].process.terminate();
    let outcomes = running.outcomes().await;
    assert!(outcomes.iter().all(is_filed), "{outcomes:?}");
    assert!(deployment.entries[0].process.ended().await.success());
    finish(deployment).await;
}

#[tokio::test]
async fn a_table_that_goes_down_after_the_run_makes_no_second_run() {
    let deployment = small().await;
    let mut requests = Requests::seeded(10);
    let (running, key) = filing_under_way(&deployment, &mut requests).await;
    deployment.platform_relay.set(Mode::Cut);
    running.outcomes().await;
    deployment.platform_relay.set(Mode::Pass);
    let caller = deployment.caller(WORKSPACE);
    for entry in [1, 2, 0] {
        caller.file(entry, &requests.filing_again(&key)).await;
    }
    let events = finish(deployment).await;
    assert_eq!(Counts::of(&events).effects, 1);
}

#[tokio::test]
async fn a_filing_to_a_killed_desk_is_never_falsely_not_run() {
    let mut deployment = small().await;
    let mut requests = Requests::seeded(11);
    let (running, key) = filing_under_way(&deployment, &mut requests).await;
    for desk in &mut deployment.desks {
        desk.process.kill();
    }
    let outcomes = running.outcomes().await;
    let not_run = |outcome: &Outcome| {
        matches!(
            outcome,
            Outcome::Refused {
                run_state: RunStateSaid::NotRun,
                ..
            }
        )
    };
    assert!(!outcomes.iter().any(not_run), "{outcomes:?}");
    let again = deployment.caller(WORKSPACE);
    let again = again.file(1, &requests.filing_again(&key)).await;
    assert!(!is_filed(&again), "{again:?}");
    finish(deployment).await;
}
