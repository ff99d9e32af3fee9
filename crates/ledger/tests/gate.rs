//! The limit on calls at the store follows how fast it answers.

mod support;

use ledger::BeginResult;
use ledger::gate::{Entry, Gate, TARGET_MS};
use support::{FakeTable, Fault, fingerprint, ledger, request, scope};

fn room(gate: &Gate) -> u32 {
    let mut gate = *gate;
    let mut room = 0;
    while gate.enter() == Entry::Open {
        room += 1;
    }
    room
}

/// Lets a full round of calls in and out.
fn round(gate: &mut Gate, took_ms: u64, now_ms: u64) {
    let mut inside = 0;
    while gate.enter() == Entry::Open {
        inside += 1;
    }
    for _ in 0..inside {
        gate.leave(took_ms, now_ms);
    }
}

#[test]
fn a_round_in_time_adds_one_and_a_slow_round_halves_once() {
    let mut gate = Gate::default();
    let first = room(&gate);
    round(&mut gate, TARGET_MS, 10_000);
    round(&mut gate, TARGET_MS, 10_000);
    assert!((first + 1..=first + 2).contains(&room(&gate)));
    let before = room(&gate);
    round(&mut gate, TARGET_MS + 1, 20_000);
    assert!(room(&gate).abs_diff(before / 2) <= 1);
}

#[test]
fn a_store_that_stays_slow_still_gets_one_call_and_the_limit_comes_back() {
    let mut gate = Gate::default();
    for number in 1..100 {
        round(&mut gate, 1_000, number * 10_000);
    }
    assert_eq!(room(&gate), 1);
    for _ in 0..100_000 {
        round(&mut gate, 1, 0);
    }
    assert_eq!(room(&gate), 512);
}

#[tokio::test(start_paused = true)]
async fn a_burst_at_a_silent_store_sends_few_claims_and_refuses_the_rest_at_once() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    table.fail_all(Some(Fault::Silent));
    let start = tokio::time::Instant::now();
    let calls: Vec<_> = (0..1_000_u32)
        .map(|number| {
            let ledger = ledger.clone();
            tokio::spawn(async move {
                let scope = scope("coop", &number.to_string());
                let request = request(u128::from(number));
                let begin = ledger.begin(scope, fingerprint("body"), request).await;
                assert!(matches!(begin, BeginResult::Unavailable { .. }));
                tokio::time::Instant::now()
            })
        })
        .collect();
    let mut at_once = 0;
    for call in calls {
        at_once += u32::from(call.await.unwrap() == start);
    }
    assert_eq!(at_once, 968);
    assert_eq!(table.operations().0, 32);
}
