//! Digest by which a second call with the same key is known to be the same call.

use base::secret::hex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Headers that can change what a call does; a header not listed never changes the fingerprint.
pub const FINGERPRINT_HEADERS: [&str; 4] = [
    "accept",
    "content-encoding",
    "content-type",
    "x-api-version",
];

/// SHA-256 over method, path with query, the headers of [`FINGERPRINT_HEADERS`] and the raw body, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Digests a call. Path and query are taken verbatim; `header` gives a header's raw value.
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

/// Adds a part with its length before it, so that no two lists of parts read the same.
fn add_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}
