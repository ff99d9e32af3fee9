//! Whether an event may follow those that a client has of a stream, and where the stream can be
//! resumed. The design is in docs/design/event-order.md.

use serde::Serialize;

use super::numbering::Numbering;

/// Longest identifier that is not a number.
const TEXT_LIMIT_BYTES: usize = 200;

/// Why an event must not be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventFault {
    /// The event has no identifier, and the service's streams or the events before have them.
    NoIdentifier,
    /// The block is of several events whose separator was lost.
    SeveralEvents,
    /// The identifier is empty, or is no number where numbers are expected.
    UnreadableIdentifier,
    /// Events without identifiers came before.
    LateIdentifier,
    /// The identifier is not greater than the one before.
    NotIncreasing,
    /// Identifiers are missing between this one and the one before.
    Gap,
    /// The data of a numbered event are missing: clients ignore a line of the block.
    NoData,
    TooLong,
}

impl EventFault {
    /// Value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoIdentifier => "no_identifier",
            Self::SeveralEvents => "several_events",
            Self::UnreadableIdentifier => "unreadable_identifier",
            Self::LateIdentifier => "late_identifier",
            Self::NotIncreasing => "not_increasing",
            Self::Gap => "gap",
            Self::NoData => "no_data",
            Self::TooLong => "too_long",
        }
    }

    /// Description for people.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoIdentifier => "it has no identifier",
            Self::SeveralEvents => "it has the lines of several events",
            Self::UnreadableIdentifier => "its identifier cannot be read",
            Self::LateIdentifier => "it has an identifier, and those before have none",
            Self::NotIncreasing => "its identifier is not greater than the one before",
            Self::Gap => "identifiers are missing before it",
            Self::NoData => "it has an identifier but no data",
            Self::TooLong => "it is too long",
        }
    }
}

/// Identifier of an event as received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedId<'a> {
    Absent,
    Number(u64, &'a str),
    Text(&'a str),
    Unreadable,
    /// The block is of several events.
    Several,
}

impl<'a> ReceivedId<'a> {
    /// Reads an identifier that is neither absent nor repeated.
    pub fn read(value: &'a [u8]) -> Self {
        let Ok(text) = std::str::from_utf8(value) else {
            return Self::Unreadable;
        };
        if !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) {
            return match text.parse() {
                Ok(number) => Self::Number(number, text),
                Err(_) => Self::Unreadable,
            };
        }
        match text.is_empty() || text.len() > TEXT_LIMIT_BYTES || text.contains(char::is_control) {
            true => Self::Unreadable,
            false => Self::Text(text),
        }
    }
}

/// A block of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedEvent<'a> {
    pub id: ReceivedId<'a>,
    /// Whether clients get an event; comments and the like have no data.
    pub has_data: bool,
    /// Whether the block has a line that clients ignore and that may have been one of data.
    pub has_ignored_line: bool,
}

/// When a block may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayTime {
    Now,
    /// Together with the next event. The block has an identifier without data, which moves a client
    /// past an event that it may not have.
    WithNext,
}

/// What the events so far carried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Carried {
    /// There was no event yet.
    #[default]
    Nothing,
    Number {
        /// Identifier before the last one; the last one itself if the caller named it.
        before: Option<u64>,
        last: u64,
        text: String,
    },
    Text(String),
    /// Events without identifiers.
    Unnumbered,
}

/// Whether another server can continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resumption<'a> {
    /// The client has no event yet.
    FromStart,
    /// The client has all events up to this identifier.
    After(&'a str),
    /// No identifier tells which events the client has.
    Impossible,
}

/// Position of a client in a stream: what it takes for the last identifier, and whether that tells
/// which events it has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPosition {
    carried: Carried,
    /// Identifier of a block without data after the last event.
    announced: Option<String>,
    /// Whether the last identifier may be wrong, as the one after it was smaller.
    is_doubtful: bool,
    pub(super) steps: Steps,
}

/// The identifiers of a stream from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Steps {
    /// The first identifier; `None` if the caller resumed the stream.
    pub first: Option<u64>,
    pub count: u32,
    pub gaps: u32,
}

impl EventPosition {
    /// Position of a client that resumes a stream after the event `id`.
    pub fn after(id: &str) -> Self {
        let carried = match ReceivedId::read(id.trim().as_bytes()) {
            ReceivedId::Number(last, text) => Carried::Number {
                before: Some(last),
                last,
                text: text.to_owned(),
            },
            ReceivedId::Text(text) => Carried::Text(text.to_owned()),
            ReceivedId::Absent | ReceivedId::Unreadable | ReceivedId::Several => Carried::Nothing,
        };
        Self {
            carried,
            ..Self::default()
        }
    }

    pub fn is_at_start(&self) -> bool {
        self.carried == Carried::Nothing
    }

    /// The client's last identifier.
    pub fn last_id(&self) -> Option<&str> {
        match &self.carried {
            Carried::Nothing | Carried::Unnumbered => None,
            Carried::Number { text, .. } | Carried::Text(text) => Some(text),
        }
    }

    /// Number of gaps since the start of the stream.
    pub fn gap_count(&self) -> u32 {
        self.steps.gaps
    }

    pub fn resumption(&self) -> Resumption<'_> {
        if self.is_doubtful {
            return Resumption::Impossible;
        }
        match &self.carried {
            Carried::Nothing => Resumption::FromStart,
            Carried::Number { text, .. } | Carried::Text(text) => Resumption::After(text),
            Carried::Unnumbered => Resumption::Impossible,
        }
    }

    /// Position at which another server continues.
    #[must_use]
    pub fn at_last_event(mut self) -> Self {
        self.announced = None;
        self
    }

    /// Moves behind `event`.
    ///
    /// # Errors
    ///
    /// Returns an error if the event must not be relayed; the client is still before it.
    pub fn advance(
        &mut self,
        event: ReceivedEvent<'_>,
        numbering: Numbering,
    ) -> Result<RelayTime, EventFault> {
        let lost_data = !event.has_data && event.has_ignored_line;
        match event.id {
            ReceivedId::Absent if event.has_data => self.advance_unnumbered(numbering)?,
            ReceivedId::Absent if self.announced.is_none() => {}
            ReceivedId::Absent if lost_data => return Err(EventFault::NoData),
            ReceivedId::Absent => return Ok(RelayTime::WithNext),
            ReceivedId::Several => return Err(EventFault::SeveralEvents),
            ReceivedId::Unreadable => return Err(EventFault::UnreadableIdentifier),
            _ if self.carried == Carried::Unnumbered => return Err(EventFault::LateIdentifier),
            _ if lost_data => return Err(EventFault::NoData),
            ReceivedId::Number(_, text) | ReceivedId::Text(text) if !event.has_data => {
                return self.announce(event.id, text);
            }
            ReceivedId::Number(number, text) => self.advance_to_number(number, text, numbering)?,
            ReceivedId::Text(text) => self.advance_to_text(text, numbering)?,
        }
        Ok(RelayTime::Now)
    }

    /// Notes the identifier of a block without data.
    fn announce(&mut self, id: ReceivedId<'_>, text: &str) -> Result<RelayTime, EventFault> {
        let is_repeated = self.announced.as_deref() == Some(text);
        match (&self.carried, id) {
            (Carried::Number { last, .. }, ReceivedId::Number(number, _)) if number <= *last => {
                return Err(EventFault::NotIncreasing);
            }
            _ if is_repeated || self.last_id() == Some(text) => {
                return Err(EventFault::NotIncreasing);
            }
            // The line may have been joined with that of the data.
            (Carried::Nothing | Carried::Number { .. }, ReceivedId::Text(_)) => {
                return Err(EventFault::UnreadableIdentifier);
            }
            _ => {}
        }
        self.announced = Some(text.to_owned());
        Ok(RelayTime::WithNext)
    }

    fn advance_unnumbered(&mut self, numbering: Numbering) -> Result<(), EventFault> {
        match (&self.carried, &self.announced, numbering) {
            (Carried::Nothing | Carried::Unnumbered, None, Numbering::Unknown) => {
                self.carried = Carried::Unnumbered;
                Ok(())
            }
            _ => Err(EventFault::NoIdentifier),
        }
    }

    fn advance_to_number(
        &mut self,
        number: u64,
        text: &str,
        numbering: Numbering,
    ) -> Result<(), EventFault> {
        let is_consecutive = numbering.is_consecutive();
        let before = match &self.carried {
            Carried::Text(_) if numbering == Numbering::Unknown => {
                return self.advance_to_text(text, numbering);
            }
            // The caller named an identifier that is not of the service.
            Carried::Text(_) | Carried::Unnumbered => None,
            Carried::Nothing => match numbering {
                Numbering::Consecutive { first } if number != first => return Err(EventFault::Gap),
                Numbering::Consecutive { .. } | Numbering::Increasing | Numbering::Unknown => {
                    self.steps.first = Some(number);
                    None
                }
            },
            Carried::Number { before, last, .. } if number <= *last => {
                self.is_doubtful = !is_consecutive && fits_after(*before, number);
                return Err(EventFault::NotIncreasing);
            }
            Carried::Number { last, .. } => {
                let is_gap = number - last > 1;
                if is_gap && is_consecutive {
                    return Err(EventFault::Gap);
                }
                self.steps.gaps += u32::from(is_gap);
                Some(*last)
            }
        };
        self.steps.count = self.steps.count.saturating_add(1);
        self.announced = None;
        self.carried = Carried::Number {
            before,
            last: number,
            text: text.to_owned(),
        };
        Ok(())
    }

    fn advance_to_text(&mut self, text: &str, numbering: Numbering) -> Result<(), EventFault> {
        match (&self.carried, numbering) {
            (Carried::Text(last), _) if last == text => Err(EventFault::NotIncreasing),
            (Carried::Nothing | Carried::Text(_), Numbering::Unknown) => {
                self.carried = Carried::Text(text.to_owned());
                self.announced = None;
                Ok(())
            }
            _ => Err(EventFault::UnreadableIdentifier),
        }
    }
}

/// Whether an identifier fits between `before` and `next`. If it does, the one that was received there
/// may be wrong, and `next` right.
fn fits_after(before: Option<u64>, next: u64) -> bool {
    match before {
        Some(before) => next > before.saturating_add(1),
        None => next > 0,
    }
}
