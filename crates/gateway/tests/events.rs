//! The reader of event streams returns complete events only, and rejects events that would not tell
//! the caller which events it has.

use bytes::BytesMut;
use gateway::decide::event_order::{EventFault, EventPosition, Resumption};
use gateway::decide::numbering::Numbering;
use gateway::sse::{EventReader, EventStreamError};
use test_case::test_case;

const CONSECUTIVE: Numbering = Numbering::Consecutive { first: 1 };

fn after(id: &str, numbering: Numbering) -> EventReader {
    EventReader::resume(EventPosition::after(id), numbering)
}

fn fault(fault: EventFault) -> Result<String, EventStreamError> {
    Err(EventStreamError { fault })
}

fn take(events: &mut EventReader, text: &str) -> Result<String, EventStreamError> {
    let whole = events.take(BytesMut::from(text))?;
    Ok(String::from_utf8(whole.to_vec()).unwrap())
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut events = EventReader::default();
    assert_eq!(take(&mut events, "id: 1\ndata: a\n").unwrap(), "");
    assert!(!events.is_at_boundary());
    assert_eq!(events.position().last_id(), None);
    assert_eq!(take(&mut events, "\nid: 2").unwrap(), "id: 1\ndata: a\n\n");
    assert_eq!(events.position().last_id(), Some("1"));
    assert!(!events.is_at_boundary());
}

#[test]
fn events_received_together_are_returned_together() {
    let mut events = EventReader::default();
    let text = "id:1\r\ndata:a\r\n\r\nid:2\ndata:b\n\n";
    assert_eq!(take(&mut events, text).unwrap(), text);
    assert_eq!(
        (
            events.position().last_id(),
            events.event_count(),
            events.event_count_before()
        ),
        (Some("2"), 2, 0)
    );
    assert!(events.is_at_boundary());
}

#[test]
fn a_repeated_event_is_rejected() {
    let mut events = EventReader::default();
    take(&mut events, "id: 1\ndata: a\n\n").unwrap();
    let repeated = take(&mut events, "id: 1\ndata: a\n\n");
    assert_eq!(repeated, fault(EventFault::NotIncreasing));
}

#[test]
fn a_resumed_stream_must_continue_with_the_next_identifier() {
    let mut events = after("7", CONSECUTIVE);
    let gap = take(&mut events, "id: 9\ndata: a\n\n");
    assert_eq!(gap, fault(EventFault::Gap));
    let mut events = after("7", CONSECUTIVE);
    let next = "id: 8\ndata: a\n\n";
    assert_eq!(take(&mut events, next).unwrap(), next);
}

/// A server that ignores the identifier which a caller sent would repeat events to it.
#[test_case(Numbering::Unknown)]
#[test_case(CONSECUTIVE)]
#[test_case(Numbering::Increasing)]
fn a_stream_that_a_caller_resumes_does_not_begin_anew(numbering: Numbering) {
    let first = take(&mut after("7", numbering), "id: 1\ndata: a\n\n");
    assert_eq!(first, fault(EventFault::NotIncreasing));
}

#[test]
fn identifiers_that_are_not_numbers_are_accepted() {
    let mut events = after("a", Numbering::Unknown);
    assert!(take(&mut events, "id: b\ndata: x\n\n").is_ok());
    assert_eq!(events.position().last_id(), Some("b"));
}

/// Guards against streams of sound servers that are cut at the first gap of their identifiers.
#[test_case(Numbering::Unknown)]
#[test_case(Numbering::Increasing)]
fn increasing_identifiers_may_have_gaps(numbering: Numbering) {
    let mut events = EventReader::resume(EventPosition::default(), numbering);
    let text = "id: 3\ndata: a\n\nid: 6\ndata: b\n\nid: 7\ndata: c\n\nid: 40\ndata: d\n\n";
    assert_eq!(take(&mut events, text).unwrap(), text);
    assert_eq!(events.position().resumption(), Resumption::After("40"));
}

/// Guards against pieces that come twice since the event before them did not count.
#[test_case("i: 3\ndata: c\n\n", EventFault::NoIdentifier; "the field name lost a letter")]
#[test_case("id 3\ndata: c\n\n", EventFault::NoIdentifier; "the colon is lost")]
#[test_case("data: c\n\n", EventFault::NoIdentifier; "the line is lost")]
#[test_case("id: 3\ndata: c\nid: 4\ndata: d\n\n", EventFault::SeveralEvents; "the separator is lost")]
#[test_case("id: 3\ndata: c\nxid: 4\ndata: d\n\n", EventFault::SeveralEvents; "the separator is changed")]
#[test_case("id: 3\n:ata: c\n\n", EventFault::NoData; "the data are a comment")]
#[test_case("id: \ndata: c\n\n", EventFault::UnreadableIdentifier; "the number is lost")]
#[test_case("id\ndata: c\n\n", EventFault::UnreadableIdentifier; "only the field name is left")]
#[test_case("id: 3data: c\n\n", EventFault::UnreadableIdentifier; "the line end is lost")]
#[test_case("id: 3\ndta: b\n\n", EventFault::NoData; "the data are lost")]
#[test_case("id: 2\ndata: c\n\n", EventFault::NotIncreasing; "the identifier is that of the event before")]
fn an_event_that_cannot_be_numbered_is_not_relayed(text: &str, reason: EventFault) {
    let mut events = EventReader::default();
    take(&mut events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n").unwrap();
    assert_eq!(take(&mut events, text), fault(reason));
    assert_eq!(events.position().resumption(), Resumption::After("2"));
}

#[test]
fn events_before_a_rejected_one_are_returned() {
    let mut events = EventReader::default();
    let first = "id: 1\ndata: a\n\n";
    let text = format!("{first}data: b\n\n");
    assert_eq!(take(&mut events, &text).unwrap(), first);
    let reason = EventFault::NoIdentifier;
    assert_eq!(events.fault(), Some(EventStreamError { fault: reason }));
}

#[test_case(": alive\n\n"; "comment")]
#[test_case("x: 5\n\n"; "unknown field")]
#[test_case("retry: 500\n\n"; "retry")]
#[test_case("event: ping\n\n"; "event without data")]
#[test_case("\n"; "empty block")]
#[test_case("id: 1\n\n"; "identifier without data")]
fn blocks_that_carry_no_piece_are_accepted(block: &str) {
    let mut events = EventReader::default();
    let text = format!("{block}id: 1\ndata: a\n\n{}", block.replace('1', "2"));
    let mut relayed = take(&mut events, &text).unwrap();
    assert_eq!(events.position().resumption(), Resumption::After("1"));
    assert!(events.is_at_boundary());
    relayed.push_str(std::str::from_utf8(&events.finish()).unwrap());
    assert_eq!(relayed, text);
}

/// The identifier alone would move a client past an event that it does not have.
#[test]
fn an_identifier_without_data_is_relayed_with_the_next_event() {
    let mut events = EventReader::default();
    let first = "id: 1\ndata: a\n\n";
    take(&mut events, first).unwrap();
    assert_eq!(take(&mut events, "id: 2\n\n").unwrap(), "");
    let lost = take(&mut events, "data: b\n\n");
    assert_eq!(lost, fault(EventFault::NoIdentifier));
    assert_eq!(events.position().resumption(), Resumption::After("1"));
}

#[test]
fn a_stream_without_identifiers_is_accepted_but_not_resumed() {
    let mut events = EventReader::default();
    assert!(take(&mut events, "data: a\n\ndata: b\n\n").is_ok());
    assert_eq!(events.position().resumption(), Resumption::Impossible);
    let late = take(&mut events, "id: 3\ndata: c\n\n");
    assert_eq!(late, fault(EventFault::LateIdentifier));
}

#[test_case("id: 1\rdata: a\r\r", "1"; "CR")]
#[test_case("id: 1\r\ndata: a\r\n\r\n", "1"; "CR LF")]
#[test_case("\u{feff}id: 1\ndata: a\n\n", "1"; "byte order mark")]
#[test_case("data: a\nid:1\n\n", "1"; "identifier last, without a space")]
fn lines_are_read_as_a_client_reads_them(text: &str, id: &str) {
    let mut events = EventReader::default();
    assert_eq!(take(&mut events, text).unwrap(), text);
    assert_eq!(events.position().last_id(), Some(id));
    assert!(events.is_at_boundary());
}

/// Guards against the end of a stream at a gap that is to be passed on.
#[test]
fn events_after_a_gap_are_read_on_if_it_is_passed() {
    let numbering = Numbering::Consecutive { first: 1 };
    let mut events = EventReader::resume(EventPosition::default(), numbering);
    let event = |id: u32| format!("id: {id}\ndata: x\n\n");
    let sent = [event(1), event(3), event(4), event(6)].concat();
    let before = events.take(BytesMut::from(sent.as_str())).unwrap();
    assert_eq!(before, event(1));
    let fault = events.fault().map(|error| error.fault);
    assert_eq!(fault, Some(EventFault::Gap));
    let after = events.pass_gaps().unwrap();
    assert_eq!(after, [event(3), event(4), event(6)].concat());
    assert_eq!(events.fault(), None);
    assert_eq!(events.event_count() - events.event_count_before(), 4);
    assert!(events.is_at_boundary());
    assert_eq!(events.position().gap_count(), 2);
}
