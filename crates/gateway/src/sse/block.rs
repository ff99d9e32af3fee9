//! Blocks of an event stream: the lines up to an empty line, read as a client of the event stream
//! format reads them.

/// What a block says to a client that reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block<'a> {
    pub id: BlockId<'a>,
    pub data: BlockData,
    /// Whether the client ignores a field, as its name is unknown.
    pub has_unknown_field: bool,
    pub has_comment: bool,
}

/// Data of a block. A client gets an event only if there are any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockData {
    Absent,
    /// Lines that follow each other.
    Together,
    /// Lines with another one between them, as two blocks have whose separator was lost.
    Apart,
}

/// Identifier of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockId<'a> {
    Absent,
    One(&'a [u8]),
    /// The block has several `id` lines, as two blocks have whose separator was lost.
    Several,
}

/// Length of the first block with its empty line, and whether its last line end is a lone CR;
/// `None` if the block is incomplete.
pub fn block_length(bytes: &[u8]) -> Option<(usize, LastLineEnd)> {
    let mut start = 0;
    while let Some(line) = next_line(bytes, start) {
        if line.length == 0 {
            return Some((line.next, line.end));
        }
        start = line.next;
    }
    None
}

/// How a line ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LastLineEnd {
    #[default]
    LineFeed,
    /// A CR that no LF follows, or none yet.
    CarriageReturn,
}

struct Line {
    length: usize,
    /// Start of the next line.
    next: usize,
    end: LastLineEnd,
}

fn next_line(bytes: &[u8], start: usize) -> Option<Line> {
    let rest = &bytes[start..];
    let length = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
    let (end_bytes, end) = match (rest[length], rest.get(length + 1)) {
        (b'\r', Some(b'\n')) => (2, LastLineEnd::LineFeed),
        (b'\r', _) => (1, LastLineEnd::CarriageReturn),
        _ => (1, LastLineEnd::LineFeed),
    };
    Some(Line {
        length,
        next: start + length + end_bytes,
        end,
    })
}

impl<'a> Block<'a> {
    /// Reads the fields of a whole block.
    pub fn parse(bytes: &'a [u8]) -> Self {
        let mut block = Self {
            id: BlockId::Absent,
            data: BlockData::Absent,
            has_unknown_field: false,
            has_comment: false,
        };
        let (mut start, mut follows_data) = (0, false);
        while let Some(line) = next_line(bytes, start) {
            let text = &bytes[start..start + line.length];
            start = line.next;
            follows_data = block.add_line(text, follows_data);
        }
        block
    }

    /// Adds a line, and returns whether it is one of data.
    fn add_line(&mut self, line: &'a [u8], follows_data: bool) -> bool {
        let colon = line.iter().position(|b| *b == b':');
        let (name, value) = match colon {
            Some(at) => (&line[..at], &line[at + 1..]),
            None => (line, &[][..]),
        };
        match name {
            b"event" | b"retry" => {}
            b"" => self.has_comment |= colon.is_some(),
            b"data" => {
                self.data = match self.data {
                    BlockData::Absent => BlockData::Together,
                    BlockData::Together if follows_data => BlockData::Together,
                    BlockData::Together | BlockData::Apart => BlockData::Apart,
                };
                return true;
            }
            b"id" => {
                self.id = match self.id {
                    BlockId::Absent => BlockId::One(value.trim_ascii()),
                    BlockId::One(_) | BlockId::Several => BlockId::Several,
                }
            }
            _ => self.has_unknown_field = true,
        }
        false
    }
}
