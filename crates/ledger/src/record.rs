//! The row of one call.

use base::Name;
use base::ids::RequestId;
use base::units::ByteCount;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use crate::fingerprint::Fingerprint;

/// Token of the writer of a row; two calls never share one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The entry VM.
    pub vm: Name,
    /// The request that began the call.
    pub request_id: RequestId,
    /// Random number drawn for this beginning; a request may begin more than once.
    pub nonce: u64,
}

/// One header of a stored result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A backend server's answer, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// HTTP status.
    pub status: u16,
    /// Headers that are replayed.
    pub headers: Vec<Header>,
    /// Body.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub body: Bytes,
}

impl StoredResult {
    /// Size of the parts that a caller chose or a backend server filled.
    pub fn size_bytes(&self) -> ByteCount {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        (headers + self.body.len()) as ByteCount
    }
}

/// How far a call has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Progress {
    /// The owner may send, or has sent; nothing more is known.
    Sending,
    /// A backend server answered.
    Done {
        /// The answer.
        result: StoredResult,
    },
    /// A backend server answered with more than is kept.
    TooLarge {
        /// HTTP status of the answer.
        status: u16,
        /// Size of the answer.
        size_bytes: ByteCount,
    },
    /// The call may or may not have run and the owner will not learn it.
    Unknown,
    /// The owner sent nothing and never will: the key is free.
    Released,
    /// A backend server answered; the answer is no longer kept.
    Expired,
}

/// Body of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who wrote the row first.
    pub owner: Owner,
    /// The call's fingerprint.
    pub fingerprint: Fingerprint,
    /// Days since 1970 when the row was last written. Ends the keeping of results, nothing else.
    pub day: u32,
    /// How far the call has come.
    #[serde(flatten)]
    pub progress: Progress,
}

impl Record {
    /// Text stored in the row.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record has no map keys that are not text")
    }

    /// Reads the text of a row; `None` when it is damaged.
    pub fn decode(body: &str) -> Option<Self> {
        serde_json::from_str(body).ok()
    }

    /// The same record, further on.
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
