//! The concurrency limit of the ledger adapts to the latency of the store.

mod support;

use ledger::BeginResult;
use ledger::concurrency::{Admission, ConcurrencyLimit, TARGET_LATENCY_MS};
use support::{FakeTable, Fault, fingerprint, ledger, request, scope};

fn room(limit: &ConcurrencyLimit) -> u32 {
    let mut limit = *limit;
    let mut room = 0;
    while limit.try_acquire() == Admission::Granted {
        room += 1;
    }
    room
}

/// Acquires all free slots, then releases them.
fn round(limit: &mut ConcurrencyLimit, took_ms: u64, now_ms: u64) {
    let mut in_flight = 0;
    while limit.try_acquire() == Admission::Granted {
        in_flight += 1;
    }
    for _ in 0..in_flight {
        limit.release(took_ms, now_ms);
    }
}

#[test]
fn a_round_in_time_adds_one_and_a_slow_round_halves_once() {
    let mut limit = ConcurrencyLimit::default();
    let first = room(&limit);
    round(&mut limit, TARGET_LATENCY_MS, 10_000);
    round(&mut limit, TARGET_LATENCY_MS, 10_000);
    assert!((first + 1..=first + 2).contains(&room(&limit)));
    let before = room(&limit);
    round(&mut limit, TARGET_LATENCY_MS + 1, 20_000);
    assert!(room(&limit).abs_diff(before / 2) <= 1);
}

#[test]
fn a_store_that_stays_slow_still_gets_one_call_and_the_limit_comes_back() {
    let mut limit = ConcurrencyLimit::default();
    for number in 1..100 {
        round(&mut limit, 1_000, number * 10_000);
    }
    assert_eq!(room(&limit), 1);
    for _ in 0..100_000 {
        round(&mut limit, 1, 0);
    }
    assert_eq!(room(&limit), 512);
}

#[tokio::test(start_paused = true)]
async fn a_burst_at_a_hanging_store_sends_few_claims_and_refuses_the_rest_immediately() {
    let table = FakeTable::default();
    let ledger = ledger(&table, "vm-1", 1);
    table.fail_all(Some(Fault::Hang));
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
    let mut immediate = 0;
    for call in calls {
        immediate += u32::from(call.await.unwrap() == start);
    }
    assert_eq!(immediate, 968);
    assert_eq!(table.operations().0, 32);
}
