//! Platform-specific names and formats: header fields, and the rows of the platform's store.

use base::Name;
use base::units::Millisecond;
use snafu::Snafu;

use crate::belief::{Directory, ServerRecord};

/// Names of header fields, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identifier of the request, chosen by the caller and echoed by the server.
    pub request_id: &'static str,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left_ms: &'static str,
    /// Identifier of the server that the request is meant for; any other must not run it.
    pub expected_server: &'static str,
    /// Name of the caller's workspace.
    pub workspace: &'static str,
    /// Number of prompt tokens, and limit of the answer's tokens.
    pub tokens: &'static str,
    /// Parts of the prompt, for prefix caching.
    pub prompt_parts: &'static str,
    /// Priority at a model engine, 0 to 9.
    pub engine_priority: &'static str,
    /// Identifier of the last event that the caller has received.
    pub last_event: &'static str,
    /// Identifier of the request that brought the first event of the stream that is resumed.
    pub resumes: &'static str,
    /// Present if the server did not run the request.
    pub not_run: &'static str,
    /// Present if the server takes no new requests until it ends.
    pub leaving: &'static str,
    /// Rate limit of the server for all nodes together, in requests per second.
    pub limit: &'static str,
    /// Refusals per second, to all nodes together, beyond which a brittle server falls over.
    pub brittle: &'static str,
    /// The server's load: running and waiting requests, slots, and possibly its pace in percent.
    pub server_load: &'static str,
    /// The server's digest of its answer.
    pub signature: &'static str,
    /// The caller's key, after the scheme and a space.
    pub key: &'static str,
    /// Scheme of the key.
    pub key_scheme: &'static str,
    /// Fields that only the gateway may set; those of a caller are dropped.
    pub reserved: &'static [&'static str],
}

/// A row that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct DecodeError {
    pub reason: String,
}

/// Names and decoders of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    pub names: HeaderNames,
    /// Decodes the row of the operator's directory.
    pub directory: fn(&[u8]) -> Result<Directory, DecodeError>,
    /// Key of the directory's row.
    pub directory_key: &'static str,
    /// Decodes a backend server's entry from its identifier and its row.
    pub server: fn(&str, &[u8]) -> Result<ServerRecord, DecodeError>,
    /// Start of the keys of rollout orders in the operator's table; the service follows it.
    pub rollout_prefix: &'static str,
    /// Decodes the order of a service.
    pub rollout: fn(&str, &[u8]) -> Result<RolloutRow, DecodeError>,
}

/// An order to move a service to a software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRow {
    pub to: Name,
    pub duration_ms: Millisecond,
}
