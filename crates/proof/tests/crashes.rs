//! Requests that crash their backend servers, and retries through an outage, over real daemons.

use std::time::Duration;

use proof::check::{Counts, all};
use proof::deployment::{Deployment, Plan, workspace_key};
use proof::history::{Outcome, RunStateSaid};
use proof::load::{Requests, Running};
use proof::wire::Call;
use serde_json::json;
use tokio::time::Instant;

const DEADLY: &str = "the ledger that crashes engines";
const STREAMS: usize = 12;

async fn set_all(deployment: &Deployment, faults: &serde_json::Value) {
    for engine in &deployment.engines {
        deployment.set_faults(engine, faults).await;
    }
}

fn engines_left(deployment: &mut Deployment) -> usize {
    let mut left = 0;
    for engine in &mut deployment.engines {
        left += usize::from(engine.process.is_running());
    }
    left
}

fn code(outcome: &Outcome) -> (&str, Option<RunStateSaid>) {
    match outcome {
        Outcome::Refused { code, run_state } => (code, Some(*run_state)),
        _ => ("", None),
    }
}

#[tokio::test]
async fn a_request_sent_again_through_other_entry_vms_takes_two_servers_and_innocents_none() {
    let plan = Plan {
        engines: 6,
        ..Plan::default()
    };
    let mut deployment = Deployment::open(plan).await;
    set_all(&deployment, &json!({"crash_on": DEADLY})).await;
    let mut requests = Requests::seeded(21);
    let mut innocents = Running::default();
    let caller = deployment.caller("village-schools");
    for number in 0..STREAMS {
        innocents.draft(&caller, number, requests.draft(300));
    }
    deployment.busy_engine().await;
    let mut outcomes = Vec::new();
    for entry in [0, 1, 2, 0, 1, 2] {
        let mut deadly = requests.draft(20);
        deadly.prompt = DEADLY.to_owned();
        outcomes.push(caller.draft(entry, &deadly).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let left = engines_left(&mut deployment);
    let answers = innocents.outcomes().await;
    let events = deployment.history();
    deployment.close().await;
    println!("engines left {left} of 6; {outcomes:?}");
    assert_eq!(left, 4);
    for outcome in &outcomes[1..] {
        let wanted = ("quarantined", Some(RunStateSaid::NotRun));
        assert_eq!(code(outcome), wanted);
    }
    assert_eq!(code(&outcomes[0]).0, "quarantined");
    let whole = |outcome: &&Outcome| matches!(outcome, Outcome::Draft { .. });
    assert_eq!(answers.iter().filter(whole).count(), STREAMS, "{answers:?}");
    assert_eq!(all(&events), []);
}

#[tokio::test]
async fn servers_reclaimed_one_after_another_blame_nobody() {
    let plan = Plan {
        engines: 6,
        ..Plan::default()
    };
    let mut deployment = Deployment::open(plan).await;
    let caller = deployment.caller("village-schools");
    let mut requests = Requests::seeded(22);
    let mut running = Running::default();
    for number in 0..STREAMS {
        running.draft(&caller, number, requests.draft(600));
    }
    deployment.busy_engine().await;
    for number in 0..3 {
        let vm = deployment.engines[number].vm.clone();
        deployment.reclaim(&vm, 300).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        deployment.engines[number].process.kill();
    }
    let answers = running.outcomes().await;
    let events = deployment.history();
    deployment.close().await;
    let whole = |outcome: &&Outcome| matches!(outcome, Outcome::Draft { .. });
    assert_eq!(answers.iter().filter(whole).count(), STREAMS, "{answers:?}");
    assert!(Counts::of(&events).arrivals > STREAMS, "a stream was moved");
    assert_eq!(all(&events), []);
}

async fn received(deployment: &Deployment) -> u64 {
    let mut received = 0;
    for engine in &deployment.engines {
        let stats = Call::get("/stats").send(engine.address).await;
        let stats = stats.expect("the stand-in answers").json();
        received += stats["received"].as_u64().expect("a count");
    }
    received
}

/// Sends short drafts for `length` and returns how many were sent.
async fn send_for(deployment: &Deployment, length: Duration) -> u64 {
    let body = json!({
        "model": "drafting", "max_tokens": 1,
        "messages": [{"role": "user", "content": "short"}],
    });
    let call = Call::post("/v1/chat/completions", &body).bearer(&workspace_key("village-schools"));
    let end = Instant::now() + length;
    let mut sent = 0;
    while Instant::now() < end {
        let entry = &deployment.entries[sent as usize % deployment.entries.len()];
        let _ = call.send(entry.callers).await;
        sent += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    sent
}

#[tokio::test]
async fn an_outage_of_all_engines_does_not_multiply_what_is_sent() {
    let deployment = Deployment::open(Plan::default()).await;
    send_for(&deployment, Duration::from_secs(1)).await;
    set_all(&deployment, &json!({"refuse_new": true})).await;
    let before = received(&deployment).await;
    let sent = send_for(&deployment, Duration::from_secs(30)).await;
    let at_engines = received(&deployment).await - before;
    deployment.close().await;
    let ratio = at_engines as f64 / sent as f64;
    println!("sent by callers {sent}, received by engines {at_engines}, ratio {ratio:.3}");
    assert!(ratio < 1.1);
    assert!(at_engines > sent / 2, "the outage was not met");
}
