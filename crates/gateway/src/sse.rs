//! Splits server-sent event streams at the boundaries of events.

use bytes::BytesMut;
use snafu::Snafu;

const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// A stream whose event identifiers are not consecutive, or with an event that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The event stream skips or repeats an event, or an event is too long."))]
pub struct EventStreamError;

/// Reader of the events that one server sends for a stream.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    partial: BytesMut,
    last_id: Option<String>,
    event_count: u64,
    event_count_before: u64,
}

impl EventReader {
    /// Starts a reader for a stream that continues after the event `last_id`.
    pub fn after(last_id: Option<&str>) -> Self {
        Self {
            last_id: last_id.map(str::to_owned),
            ..Self::default()
        }
    }

    /// Identifier of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Number of complete events before the last call of [`Self::take`].
    pub fn event_count_before(&self) -> u64 {
        self.event_count_before
    }

    /// Whether the bytes so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Adds received bytes, and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error if two numeric identifiers are not consecutive, or an incomplete event
    /// exceeds `EVENT_LIMIT_BYTES`.
    pub fn take(&mut self, data: BytesMut) -> Result<BytesMut, EventStreamError> {
        self.event_count_before = self.event_count;
        if self.partial.is_empty() {
            self.partial = data;
        } else {
            self.partial.extend_from_slice(&data);
        }
        let mut end = 0;
        while let Some(length) = event_length(&self.partial[end..]) {
            let id = event_id(&self.partial[end..end + length]).map(str::to_owned);
            if let Some(id) = id {
                self.check_order(id)?;
            }
            end += length;
            self.event_count += 1;
        }
        if self.partial.len() - end > EVENT_LIMIT_BYTES {
            return Err(EventStreamError);
        }
        Ok(self.partial.split_to(end))
    }

    fn check_order(&mut self, id: String) -> Result<(), EventStreamError> {
        let numbers = (
            self.last_id.as_deref().map(str::parse::<u64>),
            id.parse::<u64>(),
        );
        if let (Some(Ok(last)), Ok(next)) = numbers
            && last.checked_add(1) != Some(next)
        {
            return Err(EventStreamError);
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// Length of the first event, including its empty line; `None` if it is incomplete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(offset) = bytes[start..].iter().position(|b| *b == b'\n') {
        let line = &bytes[start..start + offset];
        start += offset + 1;
        if line.is_empty() || line == b"\r" {
            return Some(start);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<&str> {
    for line in event.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok().map(str::trim);
    }
    None
}
