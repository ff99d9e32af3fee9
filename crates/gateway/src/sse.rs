//! Event streams taken apart at event boundaries.

use bytes::BytesMut;
use snafu::Snafu;

/// Longest event.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Bytes that are no continuation of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The events of the stream do not follow each other."))]
pub struct OrderError;

/// Reader of one server's part of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    partial: BytesMut,
    last_id: Option<String>,
    event_count: u64,
    event_count_before: u64,
}

impl EventReader {
    /// A part that goes on after the event `last_id`.
    pub fn after(last_id: Option<&str>) -> Self {
        Self {
            last_id: last_id.map(str::to_owned),
            ..Self::default()
        }
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whole events before the last call of [`Self::take`].
    pub fn event_count_before(&self) -> u64 {
        self.event_count_before
    }

    /// Whether no event is cut off.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Bytes of an event that is not whole yet.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Takes in bytes and gives back the events that are whole.
    ///
    /// # Errors
    ///
    /// An identifier is not greater than the one before it, or an event is too long.
    pub fn take(&mut self, data: BytesMut) -> Result<BytesMut, OrderError> {
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
                self.follow(id)?;
            }
            end += length;
            self.event_count += 1;
        }
        if self.partial.len() - end > EVENT_LIMIT_BYTES {
            return Err(OrderError);
        }
        Ok(self.partial.split_to(end))
    }

    fn follow(&mut self, id: String) -> Result<(), OrderError> {
        let numbers = (
            self.last_id.as_deref().map(str::parse::<u64>),
            id.parse::<u64>(),
        );
        if let (Some(Ok(last)), Ok(next)) = numbers
            && last.checked_add(1) != Some(next)
        {
            return Err(OrderError);
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// Length of the first event with its empty line, if it is whole.
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
