//! Digest of a call, compared to detect that an idempotency key is reused for another call.

use base::secret::hex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Headers that can change what a call does. Other headers are not part of the fingerprint.
pub const FINGERPRINT_HEADERS: [&str; 4] = [
    "accept",
    "content-encoding",
    "content-type",
    "x-api-version",
];

/// Hexadecimal SHA-256 digest of the method, the path with its query, the [`FINGERPRINT_HEADERS`]
/// and the raw body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Computes the fingerprint of a call. Path and query are used verbatim; `header` returns the
    /// raw value of a header. An empty header differs from an absent one.
    pub fn of<'a>(
        method: &str,
        path_and_query: &str,
        header: impl Fn(&str) -> Option<&'a [u8]>,
        body: &[u8],
    ) -> Self {
        let mut hasher = Sha256::new();
        add_part(&mut hasher, method.to_ascii_uppercase().as_bytes());
        add_part(&mut hasher, path_and_query.as_bytes());
        for name in FINGERPRINT_HEADERS {
            match header(name) {
                Some(value) => {
                    hasher.update([1]);
                    add_part(&mut hasher, value);
                }
                None => hasher.update([0]),
            }
        }
        add_part(&mut hasher, body);
        Self(hex(&hasher.finalize()))
    }
}

/// Adds a part, preceded by its length, so that different lists of parts hash different bytes.
fn add_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}
