//! Compression of the directory between nodes. Its rows repeat themselves, and links are thin.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;

/// Content coding of a packed body, as in HTTP.
pub const CODING: &str = "gzip";

/// Shorter bodies are sent as they are.
const PACKED_FROM_BYTES: usize = 4 * 1024;

/// Packs a body, unless it is too short to gain by it.
pub fn pack(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < PACKED_FROM_BYTES {
        return None;
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body).ok()?;
    encoder.finish().ok()
}

/// Unpacks a body of at most `limit_bytes`; `None` if it is longer or damaged.
pub fn unpack(packed: &[u8], limit_bytes: usize) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut decoder = GzDecoder::new(packed).take(limit_bytes as u64 + 1);
    decoder.read_to_end(&mut body).ok()?;
    (body.len() <= limit_bytes).then_some(body)
}
