//! Secrets that are compared in constant time and never printed.

use std::fmt;

use serde::Deserialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Secret text, such as a bearer key; its `Debug` form is redacted.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text, for use in an authorization header.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares with untrusted text in a time that does not depend on the content of either.
    pub fn matches(&self, offered: &str) -> bool {
        digest(&self.0).ct_eq(&digest(offered)).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(redacted)")
    }
}

/// SHA-256 digest of a key in lower-case hexadecimal, the form that configuration documents store.
pub fn key_digest_hex(key: &str) -> String {
    hex(&digest(key))
}

/// Lower-case hexadecimal form of bytes.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Compares two digests in constant time.
pub fn digests_match(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

fn digest(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}
