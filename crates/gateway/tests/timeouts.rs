//! Timeouts: how long a request waits for a silent server, and for a server with room.

use base::outcome::RunState;
use gateway::belief::RouteKind;
use gateway::decide::outcome::{AttemptHistory, FailureCause};
use gateway::decide::retry_budget::RetryPermit;
use gateway::decide::timeouts::{AttemptState, NoServer, SilenceTimeout, server_wait_ms};
use test_case::test_case;

const TARGET_MS: u64 = 250;
const LEFT_MS: u64 = 15_000;

fn state(kind: RouteKind, runs_limit: u32) -> AttemptState {
    AttemptState {
        history: AttemptHistory::new(kind, runs_limit),
        retry: RetryPermit::Granted,
        target_ms: TARGET_MS,
        left_ms: LEFT_MS,
        predicted_ms: 30,
    }
}

#[test_case(RouteKind::NonIdempotent, 2; "may not be repeated")]
#[test_case(RouteKind::Stream, 2; "a stream that may not be resumed")]
#[test_case(RouteKind::Idempotent, 1; "one server only")]
fn a_request_without_another_server_waits_until_the_deadline(kind: RouteKind, limit: u32) {
    assert_eq!(
        state(kind, limit).silence_timeout(),
        SilenceTimeout::UntilDeadline
    );
}

#[test]
fn a_silent_server_is_left_after_three_target_times() {
    let state = state(RouteKind::ResumableStream, 2);
    assert_eq!(
        state.silence_timeout(),
        SilenceTimeout::After(3 * TARGET_MS)
    );
}

#[test]
fn the_last_allowed_server_is_waited_for() {
    let mut state = state(RouteKind::ResumableStream, 2);
    state.history.record_failure(FailureCause::Silent, LEFT_MS);
    assert_eq!(state.silence_timeout(), SilenceTimeout::UntilDeadline);
}

#[test]
fn a_refusal_uses_up_no_server() {
    let mut state = state(RouteKind::ResumableStream, 2);
    state.history.record_failure(FailureCause::Refused, LEFT_MS);
    assert_eq!(
        state.silence_timeout(),
        SilenceTimeout::After(3 * TARGET_MS)
    );
}

#[test]
fn a_server_is_waited_for_without_a_retry_in_the_budget() {
    let state = AttemptState {
        retry: RetryPermit::Exhausted,
        ..state(RouteKind::Idempotent, 3)
    };
    assert_eq!(state.silence_timeout(), SilenceTimeout::UntilDeadline);
}

#[test_case(400 => SilenceTimeout::After(800); "busy")]
#[test_case(1_600 => SilenceTimeout::After(3_200); "very busy")]
#[test_case(9_000 => SilenceTimeout::After(LEFT_MS / 2); "leaves time for another attempt")]
fn a_busy_server_gets_twice_its_predicted_time(predicted_ms: u64) -> SilenceTimeout {
    let state = AttemptState {
        predicted_ms,
        ..state(RouteKind::ResumableStream, 2)
    };
    state.silence_timeout()
}

#[test_case(NoServer::Full, RunState::NotRun => 50; "full: a short wait")]
#[test_case(NoServer::None, RunState::NotRun => 400; "no known server: a longer wait")]
#[test_case(NoServer::TooLate, RunState::NotRun => 0; "too late: no wait")]
#[test_case(NoServer::Full, RunState::Unknown => 3_000; "may have run and all are full")]
#[test_case(NoServer::TooLate, RunState::Ran => 3_000; "ran and little time is left")]
fn a_request_waits_for_a_server(reason: NoServer, run_state: RunState) -> u64 {
    server_wait_ms(reason, run_state, 400, 6_000)
}
