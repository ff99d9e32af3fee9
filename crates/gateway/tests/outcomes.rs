//! What may follow a failed attempt, and what is said of the request.

use base::outcome::RunState;
use gateway::belief::RouteKind;
use gateway::decide::outcome::{Cause, Next, Trail};
use test_case::test_case;

const LEFT_MS: u64 = 1_000;

#[test_case(RouteKind::NonIdempotent, Cause::Unreachable => Next::Again; "not sent")]
#[test_case(RouteKind::NonIdempotent, Cause::Refused => Next::Again; "refused")]
#[test_case(RouteKind::NonIdempotent, Cause::Misdirected => Next::Again; "another server")]
#[test_case(RouteKind::NonIdempotent, Cause::Broken => Next::GiveUp; "may have run")]
#[test_case(RouteKind::NonIdempotent, Cause::Garbled => Next::GiveUp; "garbled")]
#[test_case(RouteKind::NonIdempotent, Cause::Silent => Next::GiveUp; "silent")]
#[test_case(RouteKind::NonIdempotent, Cause::Failed => Next::GiveUp; "ran and failed")]
#[test_case(RouteKind::Stream, Cause::Broken => Next::GiveUp; "a stream that may not be resumed")]
#[test_case(RouteKind::Idempotent, Cause::Broken => Next::Again; "idempotent")]
#[test_case(RouteKind::ResumableStream, Cause::Silent => Next::Again; "a stream that may be resumed")]
fn after_one_failure(kind: RouteKind, cause: Cause) -> Next {
    Trail::new(kind, 2).after(cause, LEFT_MS)
}

#[test]
fn no_more_servers_run_a_request_than_its_route_allows() {
    let mut trail = Trail::new(RouteKind::Idempotent, 2);
    assert_eq!(trail.after(Cause::Broken, LEFT_MS), Next::Again);
    assert_eq!(trail.after(Cause::Broken, LEFT_MS), Next::GiveUp);
}

#[test]
fn one_run_stays_one_though_refusals_came_before() {
    let mut trail = Trail::new(RouteKind::NonIdempotent, 1);
    assert_eq!(trail.after(Cause::Refused, LEFT_MS), Next::Again);
    assert_eq!(trail.run_state, RunState::NotRun);
    assert_eq!(trail.after(Cause::Broken, LEFT_MS), Next::GiveUp);
    assert_eq!(trail.run_state, RunState::Unknown);
}

#[test]
fn a_refusal_after_a_run_does_not_unsay_it() {
    let mut trail = Trail::new(RouteKind::Idempotent, 3);
    trail.after(Cause::Broken, LEFT_MS);
    trail.after(Cause::Refused, LEFT_MS);
    assert_ne!(trail.run_state, RunState::NotRun);
}

#[test]
fn refusals_do_not_go_on_for_ever() {
    let mut trail = Trail::new(RouteKind::Idempotent, 2);
    let again = (0..100).take_while(|_| trail.after(Cause::Refused, LEFT_MS) == Next::Again);
    assert!(again.count() < 10);
}

#[test]
fn nothing_is_sent_when_the_time_is_over() {
    let mut trail = Trail::new(RouteKind::Idempotent, 2);
    assert_eq!(trail.after(Cause::Unreachable, 5), Next::GiveUp);
}
