//! Splits server-sent event streams at the boundaries of events, and checks each event before it is
//! relayed.

mod block;

use std::ops::Range;

use bytes::{Buf, BytesMut};
use snafu::Snafu;

use crate::decide::event_order::{EventFault, EventPosition, ReceivedEvent, ReceivedId, RelayTime};
use crate::decide::numbering::Numbering;
use block::{Block, BlockData, BlockId, LastLineEnd, block_length};

const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Byte order mark, which a client skips at the start of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// An event that must not be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("An event of the stream must not be relayed: {}.", fault.text()))]
pub struct EventStreamError {
    pub fault: EventFault,
}

/// Reader of the events that one server sends for a stream.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    /// Blocks that are relayed with the next event, and an incomplete one.
    partial: BytesMut,
    /// Length of those blocks.
    held_bytes: usize,
    position: EventPosition,
    numbering: Numbering,
    fault: Option<EventStreamError>,
    last_line_end: LastLineEnd,
    event_count: u64,
    event_count_before: u64,
}

impl EventReader {
    /// Starts a reader for a stream that continues at `position`. `numbering` is that of the service.
    pub fn resume(position: EventPosition, numbering: Numbering) -> Self {
        Self {
            position: position.at_last_event(),
            numbering,
            ..Self::default()
        }
    }

    /// Position of a client that has read all complete events.
    pub fn position(&self) -> &EventPosition {
        &self.position
    }

    /// The event after the last one returned, if it must not be relayed.
    pub fn fault(&self) -> Option<EventStreamError> {
        self.fault
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
        self.partial.len() == self.held_bytes
    }

    /// Returns what is still to be relayed of a stream that ended at a boundary.
    pub fn finish(self) -> BytesMut {
        self.partial
    }

    /// Number of buffered bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Adds received bytes, and returns the events that are now complete. Those before one that must
    /// not be relayed are returned first; see [`Self::fault`].
    ///
    /// # Errors
    ///
    /// Returns an error if the first of the events must not be relayed, or is longer than
    /// `EVENT_LIMIT_BYTES`.
    pub fn take(&mut self, data: BytesMut) -> Result<BytesMut, EventStreamError> {
        self.event_count_before = self.event_count;
        if self.partial.is_empty() {
            self.partial = data;
        } else {
            self.partial.extend_from_slice(&data);
        }
        self.take_whole()
    }

    /// Continues after a fault that is a gap, and passes all later gaps on.
    ///
    /// # Errors
    ///
    /// As [`Self::take`].
    pub fn pass_gaps(&mut self) -> Result<BytesMut, EventStreamError> {
        self.numbering = self.numbering.with_gaps();
        self.fault = None;
        self.take_whole()
    }

    fn take_whole(&mut self) -> Result<BytesMut, EventStreamError> {
        let mut end = self.held_bytes;
        let mut relayed = 0;
        while self.fault.is_none() {
            let line_feed = self.pending_line_feed(end);
            if end == relayed {
                relayed += line_feed;
            }
            end += line_feed;
            let Some((length, last_line_end)) = block_length(&self.partial[end..]) else {
                break;
            };
            let time = match self.check(end..end + length) {
                Ok(time) => time,
                Err(fault) => {
                    self.fault = Some(EventStreamError { fault });
                    break;
                }
            };
            end += length;
            if time == RelayTime::Now {
                relayed = end;
            }
            self.last_line_end = last_line_end;
            self.event_count += 1;
        }
        if self.partial.len() - relayed > EVENT_LIMIT_BYTES && self.fault.is_none() {
            let fault = EventFault::TooLong;
            self.fault = Some(EventStreamError { fault });
        }
        self.held_bytes = end - relayed;
        match self.fault {
            Some(error) if relayed == 0 => Err(error),
            Some(_) | None => Ok(self.partial.split_to(relayed)),
        }
    }

    /// Length of a line feed that belongs to the CR before it, with which the last event ended.
    fn pending_line_feed(&mut self, end: usize) -> usize {
        let follows_cr = self.last_line_end == LastLineEnd::CarriageReturn;
        if follows_cr && self.partial.get(end) == Some(&b'\n') {
            self.last_line_end = LastLineEnd::LineFeed;
            return 1;
        }
        0
    }

    fn check(&mut self, range: Range<usize>) -> Result<RelayTime, EventFault> {
        let mut bytes = &self.partial[range];
        if self.event_count == 0
            && self.position.is_at_start()
            && bytes.starts_with(BYTE_ORDER_MARK)
        {
            bytes.advance(BYTE_ORDER_MARK.len());
        }
        let block = Block::parse(bytes);
        let id = match (block.id, block.data) {
            (BlockId::Absent, _) => ReceivedId::Absent,
            (BlockId::One(_), BlockData::Apart) | (BlockId::Several, _) => ReceivedId::Several,
            (BlockId::One(value), _) => ReceivedId::read(value),
        };
        let is_numbered = block.id != BlockId::Absent;
        let event = ReceivedEvent {
            id,
            has_data: block.data != BlockData::Absent,
            has_ignored_line: block.has_unknown_field || (is_numbered && block.has_comment),
        };
        self.position.advance(event, self.numbering)
    }
}
