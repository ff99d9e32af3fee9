//! Header fields of one message, stored as the bytes that were received.

use std::ops::Range;

use bytes::Bytes;

/// Hop-by-hop header fields, which are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields in the order in which they were received; names are compared without case.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    raw: Bytes,
    ranges: Vec<(Range<u32>, Range<u32>)>,
}

impl Fields {
    pub(super) fn new(raw: Bytes, headers: &[httparse::Header<'_>]) -> Self {
        let base = raw.as_ptr() as usize;
        let range = |part: &[u8]| {
            let start = (part.as_ptr() as usize - base) as u32;
            start..start + part.len() as u32
        };
        let ranges = headers
            .iter()
            .map(|h| (range(h.name.as_bytes()), range(h.value)))
            .collect();
        Self { raw, ranges }
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.ranges.iter().map(|(name, value)| {
            let name = std::str::from_utf8(self.slice(name)).unwrap_or_default();
            (name, self.slice(value))
        })
    }

    /// Value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(have, _)| have.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Value of the first field with this name as trimmed text; `None` if it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Value of the first field with this name as a number; `None` if it is not a `u64`.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Values of all fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = move |(have, _): &(&str, &[u8])| have.eq_ignore_ascii_case(name);
        self.iter().filter(same).map(|(_, value)| value)
    }

    /// Number of fields with this name.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// Whether a comma-separated field contains the token `word`, ignoring case.
    pub fn contains_token(&self, name: &str, word: &str) -> bool {
        for (have, value) in self.iter() {
            if !have.eq_ignore_ascii_case(name) {
                continue;
            }
            let Ok(value) = std::str::from_utf8(value) else {
                continue;
            };
            if value
                .split(',')
                .any(|w| w.trim().eq_ignore_ascii_case(word))
            {
                return true;
            }
        }
        false
    }

    /// Whether a field is hop-by-hop: one of the fixed list, or one that `Connection` names.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        let fixed = HOP_BY_HOP_FIELDS
            .iter()
            .any(|f| name.eq_ignore_ascii_case(f));
        fixed || self.contains_token("connection", name)
    }

    fn slice(&self, range: &Range<u32>) -> &[u8] {
        &self.raw[range.start as usize..range.end as usize]
    }
}
