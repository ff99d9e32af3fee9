//! What follows a failed attempt, and what is known of whether the request ran.

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
    let mut history = AttemptHistory::new(RouteKind::Idempotent, 2);
    assert_eq!(
        history.record_failure(FailureCause::Broken, LEFT_MS),
        NextAction::Retry
    );
    assert_eq!(
        history.record_failure(FailureCause::Broken, LEFT_MS),
        NextAction::GiveUp
    );
}

#[test]
fn earlier_refusals_do_not_allow_a_second_run() {
    let mut history = AttemptHistory::new(RouteKind::NonIdempotent, 1);
    assert_eq!(
        history.record_failure(FailureCause::Refused, LEFT_MS),
        NextAction::Retry
    );
    assert_eq!(history.run_state, RunState::NotRun);
    assert_eq!(
        history.record_failure(FailureCause::Broken, LEFT_MS),
        NextAction::GiveUp
    );
    assert_eq!(history.run_state, RunState::Unknown);
}

#[test]
fn a_refusal_after_a_run_does_not_undo_it() {
    let mut history = AttemptHistory::new(RouteKind::Idempotent, 3);
    history.record_failure(FailureCause::Broken, LEFT_MS);
    history.record_failure(FailureCause::Refused, LEFT_MS);
    assert_ne!(history.run_state, RunState::NotRun);
}

#[test]
fn refused_sends_are_bounded() {
    let mut history = AttemptHistory::new(RouteKind::Idempotent, 2);
    let retries = (0..100).take_while(|_| {
        history.record_failure(FailureCause::Refused, LEFT_MS) == NextAction::Retry
    });
    assert!(retries.count() < 10);
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut history = AttemptHistory::new(RouteKind::Idempotent, 2);
    assert_eq!(
        history.record_failure(FailureCause::Unreachable, 5),
        NextAction::GiveUp
    );
}
