//! Incremental decoding of message bodies.

use bytes::{Buf, BytesMut};
use snafu::Snafu;

use super::head::Framing;

/// Longest chunk size line or trailer line.
const LINE_LIMIT_BYTES: usize = 4_096;

/// Longest trailer section; most HTTP servers accept heads up to this size.
const TRAILER_LIMIT_BYTES: usize = 32 * 1024;

const CRLF_BYTES: usize = 2;

/// A chunked body that violates the chunk syntax.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The chunks of the body are malformed."))]
pub struct FramingError;

/// Progress of reading a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More bytes are needed.
    More,
    /// The body has ended; what follows belongs to another message.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    Counted(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Holds the number of trailer bytes read so far.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Decoder of one body.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    state: BodyState,
}

impl Body {
    /// Starts at the first byte after the head.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => BodyState::Done,
            Framing::Length(bytes) => BodyState::Counted(bytes),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::Close => BodyState::UntilClose,
        };
        Self { state }
    }

    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Whether the body is complete if the connection ends now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, BodyState::UntilClose | BodyState::Done)
    }

    /// Moves body bytes from `buf` to `out`; bytes after the body stay in `buf`.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is malformed, or if a chunk size line, a trailer line or the
    /// trailer section is too long.
    pub fn read(
        &mut self,
        buf: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Result<Progress, FramingError> {
        loop {
            match self.state {
                BodyState::Done => return Ok(Progress::Done),
                BodyState::UntilClose => {
                    out.extend_from_slice(&buf.split());
                    return Ok(Progress::More);
                }
                BodyState::Counted(left) => {
                    let rest = left - move_bytes(buf, out, left);
                    if rest > 0 {
                        self.state = BodyState::Counted(rest);
                        return Ok(Progress::More);
                    }
                    self.state = BodyState::Done;
                }
                BodyState::ChunkSize => match take_line(buf)? {
                    None => return Ok(Progress::More),
                    Some(line) => self.state = parse_chunk_size(&line)?,
                },
                BodyState::ChunkData(left) => {
                    let rest = left - move_bytes(buf, out, left);
                    if rest > 0 {
                        self.state = BodyState::ChunkData(rest);
                        return Ok(Progress::More);
                    }
                    self.state = BodyState::ChunkEnd;
                }
                BodyState::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(Progress::More);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(FramingError);
                    }
                    buf.advance(2);
                    self.state = BodyState::ChunkSize;
                }
                BodyState::Trailer(read) if read > TRAILER_LIMIT_BYTES => return Err(FramingError),
                BodyState::Trailer(read) => match take_line(buf)? {
                    None => return Ok(Progress::More),
                    Some(line) if line.is_empty() => self.state = BodyState::Done,
                    Some(line) => self.state = BodyState::Trailer(read + line.len() + CRLF_BYTES),
                },
            }
        }
    }
}

fn move_bytes(buf: &mut BytesMut, out: &mut BytesMut, limit: u64) -> u64 {
    let bytes = limit.min(buf.len() as u64);
    out.extend_from_slice(&buf.split_to(bytes as usize));
    bytes
}

fn take_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, FramingError> {
    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
        return match buf.len() > LINE_LIMIT_BYTES {
            true => Err(FramingError),
            false => Ok(None),
        };
    };
    let mut line = buf.split_to(end + 1);
    if !line.ends_with(b"\r\n") || line.len() > LINE_LIMIT_BYTES {
        return Err(FramingError);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<BodyState, FramingError> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let tail = &line[digits..];
    let extension = tail.iter().find(|b| !matches!(b, b' ' | b'\t'));
    if digits == 0 || digits > 15 || extension.is_some_and(|b| *b != b';') {
        return Err(FramingError);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| FramingError)?;
    let bytes = u64::from_str_radix(text, 16).map_err(|_| FramingError)?;
    Ok(match bytes {
        0 => BodyState::Trailer(0),
        bytes => BodyState::ChunkData(bytes),
    })
}
