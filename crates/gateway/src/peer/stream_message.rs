//! Datagrams about single streams, beside the heartbeats on the same port.

use base::Name;
use base::units::Millisecond;
use policy::suspect::RequestDigest;
use serde::{Deserialize, Serialize};

use crate::decide::version_history::VersionReport;

/// Longest name that is passed on.
const NAME_LIMIT_BYTES: usize = 256;

/// Most versions of a service in an answer.
const VERSIONS_LIMIT: usize = 32;

/// Prefix of each datagram about a stream, which no heartbeat has.
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
    Begin {
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
    /// The stream; `None` if only the versions of the service are asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<RequestDigest>,
    pub service: Name,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// Number of the question.
    pub number: u64,
    /// Version that began the stream; `None` if the sender doesn't know the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// All versions of the service; `None` if the sender doesn't know those before its start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<VersionReport>,
    /// Age of the sender's registry; `None` if the sender doesn't know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registry_age_ms: Option<Millisecond>,
}

impl StreamDatagram {
    /// Whether a datagram is about a stream, by its first bytes.
    pub fn is_one(datagram: &[u8]) -> bool {
        datagram.starts_with(PREFIX)
    }

    /// Whether the names are few and short enough to be kept.
    pub fn is_plausible(&self) -> bool {
        let is_short = |name: &Name| name.len() <= NAME_LIMIT_BYTES;
        match &self.stream {
            StreamMessage::Begin { version, .. } => is_short(version),
            StreamMessage::Question(question) => is_short(&question.service),
            StreamMessage::Answer(answer) => {
                let services = answer.versions.iter().flatten();
                answer.version.iter().all(is_short)
                    && answer.versions.as_ref().is_none_or(|v| v.len() <= 1)
                    && services.clone().all(|(service, _)| is_short(service))
                    && services.clone().all(|(_, v)| v.len() <= VERSIONS_LIMIT)
                    && services.flat_map(|(_, v)| v).all(|(v, _)| is_short(v))
            }
        }
    }

    /// The datagram as sent; `None` if a name is too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        self.is_plausible()
            .then(|| serde_json::to_vec(self).unwrap_or_default())
    }
}
