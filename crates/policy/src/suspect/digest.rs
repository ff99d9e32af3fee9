//! Digest that identifies a request by the content that can crash a server.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest as _, Sha256};

/// Members of a completion's body that callers may change when they try again.
const IGNORED_MEMBERS: [&str; 8] = [
    "max_completion_tokens",
    "max_tokens",
    "metadata",
    "priority",
    "seed",
    "stream",
    "stream_options",
    "user",
];

/// Digest of a workspace, a service and a normalised request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest. `body` is what the caller sent, before any rewrite to resume a stream.
    pub fn of(workspace: &str, service: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [workspace.as_bytes(), service.as_bytes(), &normalised(body)] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let whole: [u8; 32] = hasher.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&whole[..16]);
        Self(u128::from_be_bytes(half))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<RequestDigest> for u128 {
    fn from(digest: RequestDigest) -> Self {
        digest.0
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let well_formed = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !well_formed {
            return Err(format!("`{text}` is not 32 hexadecimal digits"));
        }
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(|e| e.to_string())
    }
}

/// Returns a JSON object without [`IGNORED_MEMBERS`] and with sorted keys, any other body as is.
fn normalised(body: &[u8]) -> Vec<u8> {
    let Ok(Value::Object(mut members)) = serde_json::from_slice(body) else {
        return body.to_vec();
    };
    for name in IGNORED_MEMBERS {
        members.remove(name);
    }
    members.sort_keys();
    serde_json::to_vec(&Value::Object(members)).unwrap_or_else(|_| body.to_vec())
}
