//! Content of a request, as far as it can crash a server.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest as _, Sha256};

/// Members of a completion's body that callers change from one try to the next.
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

/// Digest of a workspace, a service and a normalised body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Digests the caller's own body, never one that was rewritten to resume a stream.
    pub fn of(workspace: &str, service: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [workspace.as_bytes(), service.as_bytes(), &normalised(body)] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let whole: [u8; 32] = hasher.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&whole[..16]);
        Self(half)
    }
}

/// A JSON object without the ignored members, its members in order; another body as it is.
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
