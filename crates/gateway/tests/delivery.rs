//! Times that the log of a request reports.

use gateway::decide::delivery::Delivery;

/// Guards against times that start at the first attempt or at the end of the answer: a caller's wait
/// starts when its request arrives. The load is a stream whose first server fell silent after 2 events.
#[test]
fn times_are_those_that_the_caller_sees() {
    let stream = Delivery::default()
        .with_attempt(200)
        .with_part(1_300)
        .with_part(1_340)
        .with_attempt(90)
        .with_part(1_990)
        .with_part(2_020);
    assert_eq!(stream.first_byte_ms(1_000), Some(300));
    assert_eq!(stream.longest_pause_ms(), Some(650));
    assert_eq!(stream.predicted_ms(), Some(90));
}

/// Guards against a figure for an answer that was never passed on, which would count as in time.
#[test]
fn a_refused_request_has_no_times() {
    let refused = Delivery::default();
    assert_eq!(refused.first_byte_ms(1_000), None);
    assert_eq!(refused.longest_pause_ms(), None);
    assert_eq!(refused.predicted_ms(), None);
    let timed_out = refused.with_attempt(40);
    assert_eq!(timed_out.first_byte_ms(1_000), None);
    assert_eq!(timed_out.predicted_ms(), Some(40));
}
