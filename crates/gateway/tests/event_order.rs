//! What whole streams show of a service's numbering.

use gateway::decide::event_order::{EventPosition, ReceivedEvent, ReceivedId};
use gateway::decide::numbering::{GapRule, GapState, Numbering, Numberings, PassReason};
use test_case::test_case;

/// Position after events with these identifiers.
fn position(ids: &[u64]) -> EventPosition {
    let mut position = EventPosition::default();
    for id in ids {
        let text = id.to_string();
        let event = ReceivedEvent {
            id: ReceivedId::Number(*id, &text),
            has_data: true,
            has_ignored_line: false,
        };
        position.advance(event, Numbering::Unknown).unwrap();
    }
    position
}

fn after_whole_streams(streams: &[(usize, &[u64])]) -> Numberings {
    let mut numberings = Numberings::default();
    for (times, ids) in streams {
        for _ in 0..*times {
            numberings.record_whole(&"s".into(), &position(ids));
        }
    }
    numberings
}

#[test]
fn consecutive_streams_are_believed_after_some() {
    assert_eq!(
        after_whole_streams(&[(7, &[1, 2])]).of("s"),
        Numbering::Unknown
    );
    let numberings = after_whole_streams(&[(8, &[1, 2, 3])]);
    assert_eq!(numberings.of("s"), Numbering::Consecutive { first: 1 });
    assert_eq!(numberings.of("another"), Numbering::Unknown);
}

#[test]
fn a_single_event_shows_no_numbering() {
    assert_eq!(
        after_whole_streams(&[(20, &[1])]).of("s"),
        Numbering::Unknown
    );
}

#[test]
fn streams_with_gaps_are_believed_after_some() {
    let numberings = after_whole_streams(&[(3, &[3, 6, 9])]);
    assert_eq!(numberings.of("s"), Numbering::Increasing);
    // Streams that happen to have no gap do not change that.
    let numberings = after_whole_streams(&[(3, &[1, 4]), (20, &[1, 2])]);
    assert_eq!(numberings.of("s"), Numbering::Increasing);
}

#[test]
fn streams_that_begin_with_different_numbers_are_not_consecutive() {
    let numberings = after_whole_streams(&[(3, &[1, 2]), (1, &[5, 6]), (4, &[1, 2])]);
    assert_eq!(numberings.of("s"), Numbering::Unknown);
}

/// Guards against a service all of whose streams are cut after it has begun to leave gaps.
#[test]
fn gaps_of_a_consecutive_service_are_believed_after_some() {
    let mut numberings = after_whole_streams(&[(8, &[1, 2])]);
    for _ in 0..3 {
        assert_ne!(numberings.of("s"), Numbering::Increasing);
        numberings.record_whole(&"s".into(), &position(&[1, 2, 4]));
        numberings.record_whole(&"s".into(), &position(&[1, 2]));
    }
    assert_eq!(numberings.of("s"), Numbering::Increasing);
}

#[test_case(&[1, 2], &[1, 2, 4], Numbering::Increasing; "it leaves a gap too")]
#[test_case(&[1, 2], &[1, 2, 3], Numbering::Consecutive { first: 1 }; "it has the event")]
#[test_case(&[], &[5], Numbering::Increasing; "it begins at another number too")]
#[test_case(&[], &[1], Numbering::Consecutive { first: 1 }; "it has the first event")]
fn another_server_shows_whether_an_event_was_lost(
    before: &[u64],
    after: &[u64],
    numbering: Numbering,
) {
    let mut numberings = after_whole_streams(&[(8, &[1, 2])]);
    numberings.record_rejected("s");
    numberings.compare_reading("s", &position(before), &position(after));
    assert_eq!(numberings.of("s"), numbering);
}

const FIRST_GAP: GapState = GapState {
    is_resumable: true,
    was_checked: false,
    may_retry: true,
};

#[test_case(FIRST_GAP, GapRule::Check; "the first gap of a service")]
#[test_case(GapState { is_resumable: false, ..FIRST_GAP }, GapRule::Pass(PassReason::NotResumable); "of a stream that may not be resumed")]
#[test_case(GapState { was_checked: true, ..FIRST_GAP }, GapRule::Pass(PassReason::Checked); "of a stream that was checked")]
#[test_case(GapState { may_retry: false, ..FIRST_GAP }, GapRule::Pass(PassReason::NoRetry); "without another attempt")]
fn a_gap_is_checked_where_that_costs_no_stream(state: GapState, rule: GapRule) {
    let numberings = after_whole_streams(&[(8, &[1, 2])]);
    assert_eq!(numberings.gap_rule("s", state), rule);
}

/// Guards against all streams of a service going on elsewhere at the same gap.
#[test]
fn one_stream_of_a_service_is_checked_at_a_time() {
    let mut numberings = after_whole_streams(&[(8, &[1, 2])]);
    numberings.begin_gap_check("s");
    let rule = numberings.gap_rule("s", FIRST_GAP);
    assert_eq!(rule, GapRule::Pass(PassReason::OtherCheck));
    numberings.end_gap_check("s");
    assert_eq!(numberings.gap_rule("s", FIRST_GAP), GapRule::Check);
}

#[test]
fn gaps_of_a_service_that_leaves_gaps_are_passed_on() {
    let numberings = after_whole_streams(&[(3, &[3, 6, 9])]);
    let rule = numberings.gap_rule("s", FIRST_GAP);
    assert_eq!(rule, GapRule::Pass(PassReason::Increasing));
}

/// Guards against a service all of whose streams are cut after a release without identifiers.
#[test]
fn rejections_in_a_row_make_a_service_unknown_again() {
    let mut numberings = after_whole_streams(&[(8, &[1, 2])]);
    for _ in 0..3 {
        assert_ne!(numberings.of("s"), Numbering::Unknown);
        numberings.record_rejected("s");
    }
    assert_eq!(numberings.of("s"), Numbering::Unknown);
}

#[test]
fn rejections_between_whole_streams_change_nothing() {
    let mut numberings = after_whole_streams(&[(8, &[1, 2])]);
    for _ in 0..10 {
        numberings.record_rejected("s");
        numberings.record_whole(&"s".into(), &position(&[1, 2]));
    }
    assert_eq!(numberings.of("s"), Numbering::Consecutive { first: 1 });
}
