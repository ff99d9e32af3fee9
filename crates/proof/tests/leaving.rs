//! A leaving backend server gets no new work from any entry VM, though the VM list lags.

use std::time::Duration;

use proof::caller::Caller;
use proof::check::{LEAVING_GRACE_MS, all};
use proof::deployment::{Deployment, Plan};
use proof::history::Event;
use proof::load::Requests;
use standin::platform::Control;
use test_case::test_case;
use tokio::time::Instant;

const TOKENS: u64 = 2;
const SPAN: Duration = Duration::from_millis(LEAVING_GRACE_MS + 3_000);
const PAUSE: Duration = Duration::from_millis(10);

/// Sends short drafts to all entry VMs in turn for a while.
async fn load(caller: &Caller, requests: &mut Requests, span: Duration) {
    let end = Instant::now() + span;
    let mut number = 0;
    while Instant::now() < end {
        caller.draft(number, &requests.draft(TOKENS)).await;
        number += 1;
        tokio::time::sleep(PAUSE).await;
    }
}

fn arrivals_at(events: &[Event], at: &str) -> usize {
    let there = |event: &&Event| matches!(event, Event::Arrived { vm, .. } if vm == at);
    events.iter().filter(there).count()
}

#[test_case(0; "the list is current")]
#[test_case(120_000; "the list lags by two minutes")]
#[tokio::test]
async fn a_leaving_server_gets_no_new_work(lag_ms: u64) {
    let plan = Plan {
        decode_tokens_per_s: 1_000,
        ..Plan::default()
    };
    let mut deployment = Deployment::open(plan).await;
    deployment.control(&Control::ListLag { lag_ms }).await;
    let caller = deployment.caller("village-schools");
    let mut requests = Requests::seeded(11);
    load(&caller, &mut requests, Duration::from_secs(1)).await;
    let vm = deployment.engines[0].vm.clone();
    deployment.reclaim(&vm, 600_000).await;
    load(&caller, &mut requests, SPAN).await;
    let others: Vec<String> = deployment.engines[1..]
        .iter()
        .map(|e| e.vm.clone())
        .collect();
    let events = deployment.history();
    deployment.close().await;
    assert_eq!(all(&events), []);
    assert!(
        arrivals_at(&events, &vm) > 0,
        "the server had work before its notice"
    );
    for other in others {
        assert!(arrivals_at(&events, &other) > 10, "{other} had work");
    }
}
