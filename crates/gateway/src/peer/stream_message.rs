//! Datagrams about single streams, beside the heartbeats on the same port.

use base::Name;
use policy::suspect::RequestDigest;
use serde::{Deserialize, Serialize};

/// Longest version that is passed on.
const VERSION_LIMIT_BYTES: usize = 256;

/// Begin of each datagram about a stream, which no heartbeat has.
const PREFIX: &[u8] = b"{\"stream\":";

/// A datagram about a stream. Nodes that don't know it ignore it, as it isn't a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamDatagram {
    pub stream: StreamMessage,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamMessage {
    /// A stream has begun at the sender.
    Begun {
        key: RequestDigest,
        version: Name,
    },
    /// The sender asks which version began a stream.
    Question(StreamQuestion),
    Answer(StreamAnswer),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuestion {
    /// Random number that the answer repeats.
    pub number: u64,
    pub key: RequestDigest,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// Number of the question.
    pub number: u64,
    /// Version that began the stream; `None` if the sender doesn't know the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
}

impl StreamDatagram {
    /// Whether a datagram is about a stream, by its first bytes.
    pub fn is_one(datagram: &[u8]) -> bool {
        datagram.starts_with(PREFIX)
    }

    /// Whether the names are short enough to be kept.
    pub fn is_plausible(&self) -> bool {
        let version = match &self.stream {
            StreamMessage::Begun { version, .. } => Some(version),
            StreamMessage::Question(_) => None,
            StreamMessage::Answer(answer) => answer.version.as_ref(),
        };
        version.is_none_or(|v| v.len() <= VERSION_LIMIT_BYTES)
    }

    /// The datagram as sent; `None` if a name is too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        self.is_plausible()
            .then(|| serde_json::to_vec(self).unwrap_or_default())
    }
}
