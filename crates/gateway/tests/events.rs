//! Event streams are passed on whole event by whole event, in order.

use bytes::BytesMut;
use gateway::sse::{EventReader, OrderError};

fn take(events: &mut EventReader, text: &str) -> Result<String, OrderError> {
    let whole = events.take(BytesMut::from(text))?;
    Ok(String::from_utf8(whole.to_vec()).unwrap())
}

#[test]
fn an_event_waits_for_its_end() {
    let mut events = EventReader::default();
    assert_eq!(take(&mut events, "id: 1\ndata: a\n").unwrap(), "");
    assert!(!events.is_at_boundary());
    assert_eq!(events.last_id(), None);
    assert_eq!(take(&mut events, "\nid: 2").unwrap(), "id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some("1"));
    assert!(!events.is_at_boundary());
}

#[test]
fn events_that_come_together_leave_together() {
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
fn a_repeated_event_is_refused() {
    let mut events = EventReader::default();
    take(&mut events, "id: 1\n\n").unwrap();
    assert_eq!(take(&mut events, "id: 1\n\n"), Err(OrderError));
}

#[test]
fn a_part_that_goes_on_must_not_skip() {
    let mut events = EventReader::after(Some("7"));
    assert_eq!(take(&mut events, "id: 9\n\n"), Err(OrderError));
    let mut events = EventReader::after(Some("7"));
    assert_eq!(take(&mut events, "id: 8\n\n").unwrap(), "id: 8\n\n");
}

#[test]
fn identifiers_that_are_no_numbers_are_passed_on() {
    let mut events = EventReader::after(Some("a"));
    assert!(take(&mut events, "id: b\n\n").is_ok());
    assert_eq!(events.last_id(), Some("b"));
}
