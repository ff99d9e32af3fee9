//! Retries: classification of failures, budgets, and a simulated outage of 30 s.

use std::collections::BinaryHeap;

use base::outcome::RunState;
use policy::retry::{
    BACKOFF, Failure, FailureCause, GiveUpReason, RequestBudget, RetryDecision, ServiceBudget,
    decide,
};
use policy::route::Effect;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const IDEMPOTENT: Effect = Effect::Idempotent;
const ONCE: Effect = Effect::NonIdempotent;

fn failure(cause: FailureCause, run_state: RunState) -> Failure {
    Failure {
        cause,
        run_state,
        retry_after_ms: None,
    }
}

#[test_case(IDEMPOTENT, FailureCause::ConnectFailed, RunState::NotRun, None; "connection refused")]
#[test_case(ONCE, FailureCause::ConnectFailed, RunState::NotRun, None; "connection refused, at most once")]
#[test_case(IDEMPOTENT, FailureCause::Broken, RunState::Unknown, None; "broken")]
#[test_case(ONCE, FailureCause::Broken, RunState::Unknown, Some(GiveUpReason::NotRepeatable); "broken, at most once")]
#[test_case(ONCE, FailureCause::TimedOut, RunState::Unknown, Some(GiveUpReason::NotRepeatable); "timed out, at most once")]
#[test_case(ONCE, FailureCause::Overloaded, RunState::Ran, Some(GiveUpReason::NotRepeatable); "refused, at most once")]
#[test_case(ONCE, FailureCause::Leaving, RunState::Unknown, Some(GiveUpReason::NotRepeatable); "leaving, at most once")]
#[test_case(IDEMPOTENT, FailureCause::Overloaded, RunState::Ran, None; "refused")]
#[test_case(IDEMPOTENT, FailureCause::ServerError, RunState::Ran, None; "server error")]
#[test_case(IDEMPOTENT, FailureCause::BadRequest, RunState::Ran, Some(GiveUpReason::BadRequest); "invalid request")]
fn first_failure(
    effect: Effect,
    cause: FailureCause,
    run_state: RunState,
    want: Option<GiveUpReason>,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut request = RequestBudget::new(effect, 3, 60_000);
    let mut service = ServiceBudget::default();
    let got = decide(
        &mut request,
        &mut service,
        failure(cause, run_state),
        0,
        &mut rng,
    );
    match got {
        RetryDecision::RetryAfter { .. } => assert_eq!(want, None),
        RetryDecision::GiveUp {
            reason,
            run_state: reported,
            ..
        } => {
            assert_eq!(Some(reason), want);
            assert_eq!(reported, run_state);
        }
    }
}

#[test]
fn a_later_attempt_that_did_not_run_does_not_hide_an_earlier_run() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut request = RequestBudget::new(IDEMPOTENT, 2, 60_000);
    let mut service = ServiceBudget::default();
    let broken = failure(FailureCause::Broken, RunState::Unknown);
    let refused = failure(FailureCause::ConnectFailed, RunState::NotRun);
    decide(&mut request, &mut service, broken, 0, &mut rng);
    let last = decide(&mut request, &mut service, refused, 0, &mut rng);
    let RetryDecision::GiveUp { run_state, .. } = last else {
        panic!("a third attempt was allowed");
    };
    assert_eq!(run_state, RunState::Unknown);
}

#[test]
fn no_attempt_starts_that_the_deadline_cuts_off() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut request = RequestBudget::new(IDEMPOTENT, 9, 1_000);
    request.useful_ms = 300;
    let mut service = ServiceBudget::default();
    let mut asked = failure(FailureCause::Overloaded, RunState::NotRun);
    asked.retry_after_ms = Some(700);
    let got = decide(&mut request, &mut service, asked, 0, &mut rng);
    let RetryDecision::GiveUp {
        reason,
        retry_after_ms,
        ..
    } = got
    else {
        panic!("{got:?}");
    };
    assert_eq!(reason, GiveUpReason::Deadline);
    assert!(retry_after_ms >= Some(700));
}

#[test]
fn a_request_waits_for_a_server_until_its_deadline() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut request = RequestBudget::new(IDEMPOTENT, 2, 30_000);
    let mut service = ServiceBudget::default();
    let none = failure(FailureCause::NoServer, RunState::NotRun);
    let mut now_ms = 0;
    let reason = loop {
        match decide(&mut request, &mut service, none, now_ms, &mut rng) {
            RetryDecision::RetryAfter { delay_ms } => now_ms += delay_ms,
            RetryDecision::GiveUp { reason, .. } => break reason,
        }
    };
    assert_eq!(reason, GiveUpReason::Deadline);
    assert!(now_ms > 29_000, "{now_ms}");
    assert_eq!(service, ServiceBudget::default());
}

#[test]
fn requests_on_a_lost_server_are_all_retried_while_others_are_left() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut retried = [0; 2];
    for (case, left) in [(0, 19), (1, 3)] {
        let mut service = ServiceBudget::default();
        service.server_lost(100, left, 20, 0);
        for _ in 0..100 {
            let mut request = RequestBudget::new(IDEMPOTENT, 3, 60_000);
            let lost = failure(FailureCause::ServerLost, RunState::Unknown);
            let got = decide(&mut request, &mut service, lost, 1, &mut rng);
            retried[case] += usize::from(matches!(got, RetryDecision::RetryAfter { .. }));
        }
    }
    assert_eq!(retried, [100, 10]);
}

fn any_failure() -> impl Strategy<Value = Failure> {
    let causes = prop::sample::select(vec![
        FailureCause::Leaving,
        FailureCause::ServerLost,
        FailureCause::ConnectFailed,
        FailureCause::Overloaded,
        FailureCause::ServerError,
        FailureCause::Broken,
        FailureCause::TimedOut,
    ]);
    let states = prop::sample::select(vec![RunState::NotRun, RunState::Unknown, RunState::Ran]);
    let asked = prop::option::of(0..2_000_u64);
    (causes, states, asked).prop_map(|(cause, run_state, retry_after_ms)| Failure {
        cause,
        run_state,
        retry_after_ms,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn budgets_hold_for_any_failures(
        failures in prop::collection::vec((any_failure(), 0..8_usize, 0..200_u64), 1..120),
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut service = ServiceBudget::default();
        let mut requests: Vec<Option<(RequestBudget, u32)>> = (0..8)
            .map(|number| {
                let effect = if number < 4 { IDEMPOTENT } else { ONCE };
                Some((RequestBudget::new(effect, 4, 5_000), 0))
            })
            .collect();
        for _ in 0..8 {
            service.first_attempt();
        }
        let mut now_ms = 0;
        let mut retries = 0_u64;
        for (failure, number, pause_ms) in failures {
            now_ms += pause_ms;
            let Some((request, unannounced)) = &mut requests[number] else {
                continue;
            };
            let announced = failure.cause == FailureCause::Leaving;
            *unannounced += u32::from(!announced);
            let ran_before = request.run_state != RunState::NotRun;
            match decide(request, &mut service, failure, now_ms, &mut rng) {
                RetryDecision::RetryAfter { delay_ms } => {
                    retries += u64::from(!announced);
                    prop_assert!(*unannounced < 4);
                    prop_assert!(now_ms + delay_ms < 5_000);
                    prop_assert!(announced || delay_ms >= failure.retry_after_ms.unwrap_or(0));
                    prop_assert!(delay_ms <= BACKOFF.cap_ms.max(failure.retry_after_ms.unwrap_or(0)));
                    let may_have_run = ran_before || failure.run_state != RunState::NotRun;
                    prop_assert!(request.effect == IDEMPOTENT || !may_have_run);
                }
                RetryDecision::GiveUp { run_state, .. } => {
                    let clean = !ran_before && failure.run_state == RunState::NotRun;
                    prop_assert_eq!(run_state == RunState::NotRun, clean);
                    requests[number] = None;
                }
            }
        }
        prop_assert!(retries <= 10);
    }
}

/// How the simulated service fails during the outage.
#[derive(Clone, Copy)]
enum Outage {
    Refuses,
    Breaks,
    Hangs,
}

impl Outage {
    fn failure(self) -> (u64, Failure) {
        match self {
            Self::Refuses => (1, failure(FailureCause::Overloaded, RunState::NotRun)),
            Self::Breaks => (50, failure(FailureCause::Broken, RunState::Unknown)),
            Self::Hangs => (2_000, failure(FailureCause::TimedOut, RunState::Unknown)),
        }
    }
}

#[derive(Clone, Copy)]
enum Policy {
    Budgets,
    /// Three attempts at each of two layers, without a retry budget of the service.
    FixedAttempts,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive { returns_left: u32 },
    Fail { request: usize },
    Send { request: usize },
}

struct Counts {
    received: u32,
    sent: u32,
    failed: u32,
}

const VMS: usize = 6;
const OUTAGE_MS: std::ops::Range<u64> = 10_000..40_000;
const END_MS: u64 = 50_000;
const SERVE_MS: u64 = 300;

/// Simulates 100 requests per second to a service with an outage of 30 s, and counts from the start
/// of the outage.
fn play(outage: Outage, policy: Policy, seed: u64) -> Counts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut services = [ServiceBudget::default(); VMS];
    let mut requests: Vec<(RequestBudget, u32, usize)> = Vec::new();
    let mut events = BinaryHeap::new();
    let mut at_ms = 0;
    while at_ms < END_MS {
        at_ms += rng.random_range(0..20);
        events.push((
            std::cmp::Reverse(at_ms),
            SimulationEvent::Arrive { returns_left: 3 },
        ));
    }
    let mut counts = Counts {
        received: 0,
        sent: 0,
        failed: 0,
    };
    while let Some((std::cmp::Reverse(now_ms), event)) = events.pop() {
        let counted = (OUTAGE_MS.start..END_MS).contains(&now_ms);
        let request = match event {
            SimulationEvent::Arrive { returns_left } => {
                let vm = rng.random_range(0..VMS);
                counts.received += u32::from(counted);
                services[vm].first_attempt();
                let limit = match policy {
                    Policy::Budgets => 3,
                    Policy::FixedAttempts => 9,
                };
                let budget = RequestBudget::new(IDEMPOTENT, limit, now_ms + 20_000);
                requests.push((budget, returns_left, vm));
                requests.len() - 1
            }
            SimulationEvent::Send { request } => request,
            SimulationEvent::Fail { request } => {
                let (budget, returns_left, vm) = &mut requests[request];
                if matches!(policy, Policy::FixedAttempts) {
                    services[*vm] = ServiceBudget::default();
                }
                let failure = match OUTAGE_MS.contains(&now_ms) {
                    true => outage.failure().1,
                    false => failure(FailureCause::Broken, RunState::Unknown),
                };
                match decide(budget, &mut services[*vm], failure, now_ms, &mut rng) {
                    RetryDecision::RetryAfter { delay_ms } => {
                        let at_ms = std::cmp::Reverse(now_ms + delay_ms);
                        events.push((at_ms, SimulationEvent::Send { request }));
                    }
                    RetryDecision::GiveUp { retry_after_ms, .. } => {
                        counts.failed += 1;
                        if let (Some(after_ms), 1..) = (retry_after_ms, *returns_left) {
                            let returns_left = *returns_left - 1;
                            let at_ms = std::cmp::Reverse(now_ms + after_ms);
                            events.push((at_ms, SimulationEvent::Arrive { returns_left }));
                        }
                    }
                }
                continue;
            }
        };
        counts.sent += u32::from(counted);
        let cut_off = now_ms < OUTAGE_MS.start && now_ms + SERVE_MS > OUTAGE_MS.start;
        let fails_at_ms = match OUTAGE_MS.contains(&now_ms) {
            true => Some(now_ms + outage.failure().0),
            false if cut_off => Some(OUTAGE_MS.start),
            false => None,
        };
        if let Some(at_ms) = fails_at_ms {
            events.push((std::cmp::Reverse(at_ms), SimulationEvent::Fail { request }));
        }
    }
    counts
}

#[test_case(Outage::Refuses; "refuses")]
#[test_case(Outage::Breaks; "breaks")]
#[test_case(Outage::Hangs; "hangs")]
fn an_outage_does_not_multiply_the_load(outage: Outage) {
    for seed in 1..=5 {
        let budgeted = play(outage, Policy::Budgets, seed);
        let fixed = play(outage, Policy::FixedAttempts, seed);
        let ratio = f64::from(budgeted.sent) / f64::from(budgeted.received);
        let baseline = f64::from(fixed.sent) / f64::from(fixed.received);
        println!(
            "seed {seed}: received {} sent {} failed {} ratio {ratio:.3}; fixed attempts: received {} sent {} ratio {baseline:.3}",
            budgeted.received, budgeted.sent, budgeted.failed, fixed.received, fixed.sent
        );
        assert!(ratio < 1.1, "{ratio}");
        assert!(
            baseline > 1.5,
            "fixed attempts do not multiply the load in this outage"
        );
    }
}
