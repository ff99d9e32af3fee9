//! When a request leaves a server that has sent nothing for a while.

use gateway::decide::outcome::NextAction;
use gateway::decide::reach::Reach;
use gateway::decide::retry_budget::RetryPermit;
use gateway::decide::silence::{
    Handover, Quarantine, SilenceAction, SilentAttempt, StayReason, Successors,
};
use gateway::decide::timeouts::NoServer;
use test_case::test_case;

const SILENT: SilentAttempt = SilentAttempt {
    silent_ms: 1_000,
    next: NextAction::Retry,
    retry: RetryPermit::Granted,
    reach: Reach::Reached,
    handover: Handover::Possible,
    quarantine: Quarantine::Clear,
};

#[test_case(0, Successors::Others)]
#[test_case(2_000, Successors::Others; "as long as a sound server may be silent")]
#[test_case(2_001, Successors::Any; "longer")]
fn the_silent_server_itself_is_tried_again_only_after_a_long_silence(
    silent_ms: u64,
    successors: Successors,
) {
    let state = SilentAttempt {
        silent_ms,
        ..SILENT
    };
    assert_eq!(state.action(), SilenceAction::Seek(successors));
}

#[test_case(SilentAttempt { next: NextAction::GiveUp, ..SILENT } => StayReason::AttemptLimit; "no further attempt")]
#[test_case(SilentAttempt { retry: RetryPermit::Exhausted, ..SILENT } => StayReason::RetryBudget; "no retry in the budget")]
#[test_case(SilentAttempt { quarantine: Quarantine::InForce, ..SILENT } => StayReason::Quarantine; "a part in quarantine")]
#[test_case(SilentAttempt { reach: Reach::Lost, handover: Handover::Impossible, ..SILENT } => StayReason::PathsLost; "no paths to another server")]
#[test_case(SilentAttempt { reach: Reach::Lost, retry: RetryPermit::Exhausted, ..SILENT } => StayReason::RetryBudget; "no paths and no retry in the budget")]
fn a_request_stays_at_a_silent_server(state: SilentAttempt) -> StayReason {
    match state.action() {
        SilenceAction::Stay(reason) => reason,
        SilenceAction::Seek(_) | SilenceAction::HandOver => panic!("{state:?}"),
    }
}

#[test]
fn a_node_without_paths_hands_a_request_over() {
    let state = SilentAttempt {
        reach: Reach::Lost,
        ..SILENT
    };
    assert_eq!(state.action(), SilenceAction::HandOver);
}

#[test_case(NoServer::Full => StayReason::NoCapacity)]
#[test_case(NoServer::Busy { reading_ms: 10 } => StayReason::NoCapacity)]
#[test_case(NoServer::None => StayReason::NoServer)]
#[test_case(NoServer::VersionGone => StayReason::NoServer)]
#[test_case(NoServer::TooLate => StayReason::NoServer)]
fn a_request_without_a_successor_stays(no_server: NoServer) -> StayReason {
    no_server.into()
}
