//! What may follow a failed attempt, and what is said of the request.

use base::outcome::RunState;
use gateway::belief::RouteKind;
use gateway::decide::outcome::{AttemptHistory, FailureCause, NextAction};
use test_case::test_case;

const LEFT_MS: u64 = 1_000;

#[test_case(RouteKind::NonIdempotent, FailureCause::Unreachable => NextAction::Retry; "not sent")]
#[test_case(RouteKind::NonIdempotent, FailureCause::Refused => NextAction::Retry; "refused")]
#[test_case(RouteKind::NonIdempotent, FailureCause::Misdirected => NextAction::Retry; "another server")]
#[test_case(RouteKind::NonIdempotent, FailureCause::Broken => NextAction::GiveUp; "may have run")]
#[test_case(RouteKind::NonIdempotent, FailureCause::Garbled => NextAction::GiveUp; "garbled")]
#[test_case(RouteKind::NonIdempotent, FailureCause::Silent => NextAction::GiveUp; "silent")]
#[test_case(RouteKind::NonIdempotent, FailureCause::Failed => NextAction::GiveUp; "ran and failed")]
#[test_case(RouteKind::Stream, FailureCause::Broken => NextAction::GiveUp; "a stream that may not be resumed")]
#[test_case(RouteKind::Idempotent, FailureCause::Broken => NextAction::Retry; "idempotent")]
#[test_case(RouteKind::ResumableStream, FailureCause::Silent => NextAction::Retry; "a stream that may be resumed")]
fn after_one_failure(kind: RouteKind, cause: FailureCause) -> NextAction {
    AttemptHistory::new(kind, 2).record_failure(cause, LEFT_MS)
}

#[test]
fn no_more_servers_run_a_request_than_its_route_allows() {
    let mut trail = AttemptHistory::new(RouteKind::Idempotent, 2);
    assert_eq!(
        trail.record_failure(FailureCause::Broken, LEFT_MS),
        NextAction::Retry
    );
    assert_eq!(
        trail.record_failure(FailureCause::Broken, LEFT_MS),
        NextAction::GiveUp
    );
}

#[test]
fn one_run_stays_one_though_refusals_came_before() {
    let mut trail = AttemptHistory::new(RouteKind::NonIdempotent, 1);
    assert_eq!(
        trail.record_failure(FailureCause::Refused, LEFT_MS),
        NextAction::Retry
    );
    assert_eq!(trail.run_state, RunState::NotRun);
    assert_eq!(
        trail.record_failure(FailureCause::Broken, LEFT_MS),
        NextAction::GiveUp
    );
    assert_eq!(trail.run_state, RunState::Unknown);
}

#[test]
fn a_refusal_after_a_run_does_not_unsay_it() {
    let mut trail = AttemptHistory::new(RouteKind::Idempotent, 3);
    trail.record_failure(FailureCause::Broken, LEFT_MS);
    trail.record_failure(FailureCause::Refused, LEFT_MS);
    assert_ne!(trail.run_state, RunState::NotRun);
}

#[test]
fn refusals_do_not_go_on_for_ever() {
    let mut trail = AttemptHistory::new(RouteKind::Idempotent, 2);
    let again = (0..100)
        .take_while(|_| trail.record_failure(FailureCause::Refused, LEFT_MS) == NextAction::Retry);
    assert!(again.count() < 10);
}

#[test]
fn nothing_is_sent_when_the_time_is_over() {
    let mut trail = AttemptHistory::new(RouteKind::Idempotent, 2);
    assert_eq!(
        trail.record_failure(FailureCause::Unreachable, 5),
        NextAction::GiveUp
    );
}
