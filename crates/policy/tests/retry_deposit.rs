//! The configured deposit sets the share of first attempts that are retried.

use base::outcome::RunState;
use policy::retry::{Failure, FailureCause, RequestBudget, RetryDecision, ServiceBudget, decide};
use policy::route::Effect;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const FIRST_ATTEMPTS: u32 = 1_000;
const FAILURE: Failure = Failure {
    cause: FailureCause::ServerError,
    run_state: RunState::Unknown,
    retry_after_ms: None,
};

/// Number of retries if each first attempt fails once.
fn retries(service: &mut ServiceBudget) -> u32 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut retried = 0;
    for _ in 0..FIRST_ATTEMPTS {
        service.first_attempt();
        let mut request = RequestBudget::new(Effect::Idempotent, 5, 1_000_000);
        let decision = decide(&mut request, service, FAILURE, 0, &mut rng);
        if matches!(decision, RetryDecision::RetryAfter { .. }) {
            retried += 1;
        }
    }
    retried
}

#[test_case(0, 0; "no retries")]
#[test_case(60, 70; "six percent, and the initial budget")]
#[test_case(100, 110; "ten percent, and the initial budget")]
fn budget_follows_the_configured_share(deposit_milli: u64, expected: u32) {
    let mut service = ServiceBudget::default();
    service.set_deposit(deposit_milli);
    let retried = retries(&mut service);
    assert!(retried.abs_diff(expected) <= 1, "{retried} retries");
}
