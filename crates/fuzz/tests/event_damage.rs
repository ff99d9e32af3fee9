//! One lost, doubled or changed byte at each place of a stream: a client that reads what is relayed
//! gets each piece once and in order, or a stream that does not end as complete.

use std::ops::Range;

use bytes::BytesMut;
use fuzz::event_client::EventClient;
use gateway::decide::event_order::{EventPosition, Resumption};
use gateway::decide::numbering::Numbering;
use gateway::sse::EventReader;
use test_case::test_case;

const EVENTS: u64 = 12;

/// Bytes that a changed byte becomes.
const CHANGES: &[u8] = b"0123456789\n\r: abdit\0\xff";

/// How a service writes its events.
#[derive(Clone, Copy, Debug)]
struct Format {
    /// Difference of two identifiers.
    step: u64,
    line_end: &'static str,
    order: FieldOrder,
}

#[derive(Clone, Copy, Debug)]
enum FieldOrder {
    IdFirst,
    DataFirst,
}

const PLAIN: Format = Format {
    step: 1,
    line_end: "\n",
    order: FieldOrder::IdFirst,
};

impl Format {
    fn event(self, number: u64) -> String {
        let (id, end) = (number * self.step, self.line_end);
        let data = piece(number);
        match self.order {
            FieldOrder::IdFirst => format!("id: {id}{end}data: {data}{end}{end}"),
            FieldOrder::DataFirst => format!("data: {data}{end}id: {id}{end}{end}"),
        }
    }

    /// The events after the identifier `after`, each with its number.
    fn stream(self, after: u64) -> Vec<(u64, String)> {
        let numbers = (1..=EVENTS).filter(|n| n * self.step > after);
        numbers.map(|n| (n, self.event(n))).collect()
    }
}

fn piece(number: u64) -> String {
    format!("<{:04x}>", number.wrapping_mul(40_503) % 65_536)
}

/// What a caller has of a stream.
struct Received {
    bytes: Vec<u8>,
    is_whole: bool,
}

/// Relays a stream of which the first server sends `spoiled`. Sound servers continue it.
fn relay(spoiled: &[u8], format: Format, numbering: Numbering) -> Received {
    let mut bytes = Vec::new();
    let mut events = EventReader::resume(EventPosition::default(), numbering);
    // Some bytes at a time, so that a fault isn't always the first event of its batch.
    for batch in spoiled.chunks(50) {
        let Ok(taken) = events.take(BytesMut::from(batch)) else {
            break;
        };
        bytes.extend_from_slice(&taken);
        if events.fault().is_some() {
            break;
        }
    }
    let is_broken = events.fault().is_some() || !events.is_at_boundary();
    let position = events.position().clone();
    if !is_broken {
        bytes.extend_from_slice(&events.finish());
    }
    let after = match position.resumption() {
        _ if !is_broken => {
            return Received {
                bytes,
                is_whole: true,
            };
        }
        Resumption::Impossible => {
            return Received {
                bytes,
                is_whole: false,
            };
        }
        Resumption::FromStart => 0,
        Resumption::After(id) => id.parse().unwrap_or(u64::MAX),
    };
    let mut events = EventReader::resume(position, numbering);
    for (_, event) in format.stream(after) {
        match events.take(BytesMut::from(event.as_bytes())) {
            Ok(taken) => bytes.extend_from_slice(&taken),
            Err(_) => {
                return Received {
                    bytes,
                    is_whole: false,
                };
            }
        }
    }
    let is_whole = events.is_at_boundary();
    Received { bytes, is_whole }
}

/// The pieces of a client are all pieces in order; that of event `changed` may have other text.
fn has_all_pieces(bytes: &[u8], changed: Option<u64>) -> bool {
    let events = EventClient::read(bytes).events;
    events.len() as u64 == EVENTS
        && (1..=EVENTS)
            .zip(&events)
            .all(|(number, event)| event.data == piece(number) || changed == Some(number))
}

/// Plays each spoiled stream, and returns how many were played and cut.
fn play_all(
    format: Format,
    numbering: Numbering,
    spoils: impl Fn(&[u8], usize) -> Vec<Vec<u8>>,
) -> (u32, u32) {
    let sound: Vec<(u64, String)> = format.stream(0);
    let whole: String = sound.iter().map(|(_, event)| event.as_str()).collect();
    let (mut played, mut cut) = (0, 0);
    for place in 0..whole.len() {
        for spoiled in spoils(whole.as_bytes(), place) {
            let received = relay(&spoiled, format, numbering);
            played += 1;
            cut += u32::from(!received.is_whole);
            let changed = changed_piece(&sound, place);
            assert!(
                !received.is_whole || has_all_pieces(&received.bytes, changed),
                "place {place}: {:?} became {:?}",
                String::from_utf8_lossy(&spoiled),
                String::from_utf8_lossy(&received.bytes)
            );
        }
    }
    (played, cut)
}

/// The event whose data, or the byte before or after them, are at `place`.
fn changed_piece(sound: &[(u64, String)], place: usize) -> Option<u64> {
    let mut start = 0;
    for (number, event) in sound {
        let value = start + event.find(": <").unwrap();
        let value: Range<usize> = value..value + ": ".len() + piece(*number).len() + 1;
        if value.contains(&place) {
            return Some(*number);
        }
        start += event.len();
    }
    None
}

fn lose(bytes: &[u8], place: usize) -> Vec<Vec<u8>> {
    let mut spoiled = bytes.to_vec();
    spoiled.remove(place);
    vec![spoiled]
}

fn double(bytes: &[u8], place: usize) -> Vec<Vec<u8>> {
    let mut spoiled = bytes.to_vec();
    spoiled.insert(place, bytes[place]);
    vec![spoiled]
}

fn change(bytes: &[u8], place: usize) -> Vec<Vec<u8>> {
    let change = |byte: &u8| {
        let mut spoiled = bytes.to_vec();
        spoiled[place] = *byte;
        spoiled
    };
    CHANGES.iter().map(change).collect()
}

const CONSECUTIVE: Numbering = Numbering::Consecutive { first: 1 };

/// Guards against pieces that are missing, come twice or are joined after one lost byte.
#[test_case(PLAIN, CONSECUTIVE; "consecutive")]
#[test_case(PLAIN, Numbering::Unknown; "numbering unknown")]
#[test_case(Format { step: 3, ..PLAIN }, Numbering::Increasing; "with gaps")]
#[test_case(Format { step: 3, ..PLAIN }, Numbering::Unknown; "with gaps, numbering unknown")]
#[test_case(Format { line_end: "\r\n", ..PLAIN }, CONSECUTIVE; "CR LF")]
#[test_case(Format { line_end: "\r", ..PLAIN }, CONSECUTIVE; "CR")]
#[test_case(Format { order: FieldOrder::DataFirst, ..PLAIN }, CONSECUTIVE; "data first")]
fn one_spoiled_byte_leaves_each_piece_once(format: Format, numbering: Numbering) {
    for spoils in [lose, double, change] {
        let (played, cut) = play_all(format, numbering, spoils);
        // A service whose numbering is known loses no stream to a byte that another server can mend.
        if matches!(numbering, Numbering::Consecutive { .. }) {
            assert_eq!(cut, 0, "of {played}");
        }
    }
}
