//! What whole streams show of a service's numbering.

use gateway::decide::event_order::{
    EventFault, EventPosition, Numbering, Numberings, ReceivedEvent, ReceivedId,
};

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
        numberings.record_rejected(&"s".into(), EventFault::Gap);
        numberings.record_whole(&"s".into(), &position(&[1, 2]));
    }
    assert_eq!(numberings.of("s"), Numbering::Increasing);
}

/// Guards against a service all of whose streams are cut after a release without identifiers.
#[test]
fn rejections_in_a_row_make_a_service_unknown_again() {
    let mut numberings = after_whole_streams(&[(8, &[1, 2])]);
    for _ in 0..3 {
        assert_ne!(numberings.of("s"), Numbering::Unknown);
        numberings.record_rejected(&"s".into(), EventFault::NoIdentifier);
    }
    assert_eq!(numberings.of("s"), Numbering::Unknown);
}

#[test]
fn rejections_between_whole_streams_change_nothing() {
    let mut numberings = after_whole_streams(&[(8, &[1, 2])]);
    for _ in 0..10 {
        numberings.record_rejected(&"s".into(), EventFault::NoIdentifier);
        numberings.record_whole(&"s".into(), &position(&[1, 2]));
    }
    assert_eq!(numberings.of("s"), Numbering::Consecutive { first: 1 });
}
