//! Random histories of concurrent callers of one key. The call must run at most once, and a caller
//! told `not_run` must be right.

mod support;

use std::cell::RefCell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::simulation::{Counts, Protocol, run_history};

const HISTORIES: u32 = 10_000;

fn shapes() -> impl Strategy<Value = (u64, usize, usize)> {
    (any::<u64>(), 1..6_usize, 20..400_usize)
}

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: HISTORIES,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })
}

#[test]
fn a_call_runs_at_most_once_and_not_run_is_true() {
    let total = RefCell::new(Counts::default());
    let checked = runner().run(&shapes(), |(seed, callers, length)| {
        let counts = run_history(Protocol::Ledger, seed, callers, length);
        total.borrow_mut().add(&counts);
        prop_assert_eq!(counts.extra_runs, 0);
        prop_assert_eq!(counts.false_not_run, 0);
        prop_assert_eq!(counts.false_replay, 0);
        Ok(())
    });
    let total = total.into_inner();
    println!("{HISTORIES} histories: {total:?}");
    checked.unwrap();
    let each = [
        total.runs,
        total.kills,
        total.delayed_writes,
        total.delayed_runs,
        total.replied_not_run,
        total.replied_replay,
        total.replied_in_progress,
        total.replied_unknown,
    ];
    assert!(each.iter().all(|count| *count > 500), "{total:?}");
}

#[test]
fn takeover_by_age_runs_calls_twice() {
    let twice = RefCell::new(0_u32);
    let total = RefCell::new(Counts::default());
    let checked = runner().run(&shapes(), |(seed, callers, length)| {
        let counts = run_history(Protocol::AgeTakeover, seed, callers, length);
        *twice.borrow_mut() += u32::from(counts.extra_runs > 0);
        total.borrow_mut().add(&counts);
        Ok(())
    });
    checked.unwrap();
    let (twice, total) = (twice.into_inner(), total.into_inner());
    println!("takeover by age: {twice} of {HISTORIES} histories with a second run: {total:?}");
    assert!(twice > HISTORIES / 100);
}
