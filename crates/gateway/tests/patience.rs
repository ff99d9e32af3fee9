//! How long a silent server is waited for.

use base::outcome::RunState;
use gateway::belief::RouteKind;
use gateway::decide::outcome::{AttemptHistory, FailureCause};
use gateway::decide::retry_budget::RetryPermit;
use gateway::decide::timeouts::{AttemptState, NoServer, SilenceTimeout, server_wait_ms};
use test_case::test_case;

const TARGET_MS: u64 = 250;
const LEFT_MS: u64 = 15_000;

fn waiting(kind: RouteKind, runs_limit: u32) -> AttemptState {
    AttemptState {
        trail: AttemptHistory::new(kind, runs_limit),
        repeat: RetryPermit::Granted,
        target_ms: TARGET_MS,
        left_ms: LEFT_MS,
        predicted_ms: 30,
    }
}

#[test_case(RouteKind::NonIdempotent, 2; "not to be repeated")]
#[test_case(RouteKind::Stream, 2; "a stream that may not be resumed")]
#[test_case(RouteKind::Idempotent, 1; "one server only")]
fn a_request_for_which_there_is_no_other_server_waits_to_the_end(kind: RouteKind, limit: u32) {
    assert_eq!(
        waiting(kind, limit).silence_timeout(),
        SilenceTimeout::UntilDeadline
    );
}

#[test]
fn a_silent_server_is_left_after_a_few_times_the_time_owed() {
    let waiting = waiting(RouteKind::ResumableStream, 2);
    assert_eq!(
        waiting.silence_timeout(),
        SilenceTimeout::After(3 * TARGET_MS)
    );
}

#[test]
fn the_last_server_that_may_run_it_is_waited_for() {
    let mut waiting = waiting(RouteKind::ResumableStream, 2);
    waiting.trail.record_failure(FailureCause::Silent, LEFT_MS);
    assert_eq!(waiting.silence_timeout(), SilenceTimeout::UntilDeadline);
}

#[test]
fn a_refusal_uses_up_no_server() {
    let mut waiting = waiting(RouteKind::ResumableStream, 2);
    waiting.trail.record_failure(FailureCause::Refused, LEFT_MS);
    assert_eq!(
        waiting.silence_timeout(),
        SilenceTimeout::After(3 * TARGET_MS)
    );
}

#[test]
fn without_a_repeat_in_the_budget_it_is_waited_for() {
    let waiting = AttemptState {
        repeat: RetryPermit::Exhausted,
        ..waiting(RouteKind::Idempotent, 3)
    };
    assert_eq!(waiting.silence_timeout(), SilenceTimeout::UntilDeadline);
}

#[test_case(400 => SilenceTimeout::After(800); "busy")]
#[test_case(1_600 => SilenceTimeout::After(3_200); "very busy")]
#[test_case(9_000 => SilenceTimeout::After(LEFT_MS / 2); "no longer than leaves time for another")]
fn a_busy_server_gets_the_time_that_it_was_expected_to_take(predicted_ms: u64) -> SilenceTimeout {
    let waiting = AttemptState {
        predicted_ms,
        ..waiting(RouteKind::ResumableStream, 2)
    };
    waiting.silence_timeout()
}

#[test_case(NoServer::Full, RunState::NotRun => 50; "a place, a moment")]
#[test_case(NoServer::None, RunState::NotRun => 400; "a server to be known")]
#[test_case(NoServer::TooLate, RunState::NotRun => 0; "no time: refused at once")]
#[test_case(NoServer::Full, RunState::Unknown => 3_000; "begun and all are full")]
#[test_case(NoServer::TooLate, RunState::Ran => 3_000; "begun and little time")]
fn a_request_waits_for_a_server(lacking: NoServer, run_state: RunState) -> u64 {
    server_wait_ms(lacking, run_state, 400, 6_000)
}
