//! The reader of event streams returns complete events only, and rejects streams that skip or repeat
//! an event.

use bytes::BytesMut;
use gateway::sse::{EventReader, EventStreamError};

fn take(events: &mut EventReader, text: &str) -> Result<String, EventStreamError> {
    let whole = events.take(BytesMut::from(text))?;
    Ok(String::from_utf8(whole.to_vec()).unwrap())
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut events = EventReader::default();
    assert_eq!(take(&mut events, "id: 1\ndata: a\n").unwrap(), "");
    assert!(!events.is_at_boundary());
    assert_eq!(events.last_id(), None);
    assert_eq!(take(&mut events, "\nid: 2").unwrap(), "id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some("1"));
    assert!(!events.is_at_boundary());
}

#[test]
fn events_received_together_are_returned_together() {
    let mut events = EventReader::default();
    let text = "id:1\r\ndata:a\r\n\r\nid:2\ndata:b\n\n";
    assert_eq!(take(&mut events, text).unwrap(), text);
    assert_eq!(
        (
            events.last_id(),
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
    take(&mut events, "id: 1\n\n").unwrap();
    assert_eq!(take(&mut events, "id: 1\n\n"), Err(EventStreamError));
}

#[test]
fn a_resumed_stream_must_continue_with_the_next_identifier() {
    let mut events = EventReader::after(Some("7"));
    assert_eq!(take(&mut events, "id: 9\n\n"), Err(EventStreamError));
    let mut events = EventReader::after(Some("7"));
    assert_eq!(take(&mut events, "id: 8\n\n").unwrap(), "id: 8\n\n");
}

#[test]
fn identifiers_that_are_not_numbers_are_accepted() {
    let mut events = EventReader::after(Some("a"));
    assert!(take(&mut events, "id: b\n\n").is_ok());
    assert_eq!(events.last_id(), Some("b"));
}
