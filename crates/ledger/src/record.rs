//! Content of the row that records one call.

use base::Name;
use base::ids::RequestId;
use base::units::ByteCount;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use crate::fingerprint::Fingerprint;

/// Owner token: identifies the request that claimed a row. Each claim has its own token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Entry VM that handles the request.
    pub vm: Name,
    pub request_id: RequestId,
    /// Random number drawn for each claim, as one request may claim more than once.
    pub nonce: u64,
}

/// HTTP header of a stored result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    pub value: String,
}

/// Complete response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// HTTP status.
    pub status: u16,
    /// Headers that a replay sends to the caller.
    pub headers: Vec<Header>,
    /// Response body; stored as base64 text.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub body: Bytes,
}

impl StoredResult {
    /// Size of the header names, header values and body, before base64 encoding.
    pub fn size_bytes(&self) -> ByteCount {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        (headers + self.body.len()) as ByteCount
    }
}

/// Progress of a call, as stored in its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Progress {
    /// The owner may send the call or has sent it; no outcome is recorded.
    Sending,
    /// A backend server responded, and its response is stored.
    Done { result: StoredResult },
    /// A backend server responded; the response exceeds the size limit and is not stored.
    TooLarge {
        /// HTTP status of the response.
        status: u16,
        /// Size of the response.
        size_bytes: ByteCount,
    },
    /// The call may or may not have run, and the owner cannot find out.
    Unknown,
    /// The owner did not send the call and never will, so another request may claim the key.
    Released,
    /// A backend server responded; its response was dropped at the end of its retention.
    Expired,
}

/// Body of a row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Request that claimed the row.
    pub owner: Owner,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Day of the last write, in days since 1970. Used only to find results past their retention.
    pub day: u32,
    #[serde(flatten)]
    pub progress: Progress,
}

impl Record {
    /// Serializes the record to the JSON text that is stored in the row.
    ///
    /// # Panics
    ///
    /// Never in practice: serialization fails only for map keys that are not strings, and a record
    /// has no maps.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record contains no map with non-string keys")
    }

    /// Parses the text of a row; `None` if it is not a valid record.
    pub fn decode(body: &str) -> Option<Self> {
        serde_json::from_str(body).ok()
    }

    /// Copy of the record with another progress.
    pub fn with_progress(&self, progress: Progress) -> Self {
        Self {
            progress,
            ..self.clone()
        }
    }
}

fn encode<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body))
}

fn decode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD
        .decode(text)
        .map(Bytes::from)
        .map_err(D::Error::custom)
}
