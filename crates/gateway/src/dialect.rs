//! What a platform calls the things that the gateway reads and writes.

use snafu::Snafu;

use crate::belief::{Directory, ServerRecord};

/// Names of header fields, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Number of the caller's attempt, echoed by the server.
    pub request_id: &'static str,
    /// Time that is left, in milliseconds.
    pub time_left_ms: &'static str,
    /// Server that alone may run the request.
    pub expected_server: &'static str,
    /// Name of the caller's workspace.
    pub workspace: &'static str,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: &'static str,
    /// Parts of the prompt.
    pub prompt_parts: &'static str,
    /// Rank at a model engine, 0 to 9.
    pub engine_priority: &'static str,
    /// Identifier of the last event that the caller has.
    pub last_event: &'static str,
    /// Says that the server did not run the request.
    pub not_run: &'static str,
    /// Says that the server takes no new work until it ends.
    pub leaving: &'static str,
    /// Requests a second that the server takes from all nodes together.
    pub limit: &'static str,
    /// The server's digest of its answer.
    pub signature: &'static str,
    /// The caller's key, after a scheme and a space.
    pub key: &'static str,
    /// Scheme of the key.
    pub key_scheme: &'static str,
    /// Fields that only the gateway may set; a caller's are dropped.
    pub reserved: &'static [&'static str],
}

/// A row that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct DecodeError {
    /// What is wrong with it.
    pub reason: String,
}

/// How a platform speaks.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Header fields.
    pub names: HeaderNames,
    /// Decodes the operator's directory from its row.
    pub directory: fn(&[u8]) -> Result<Directory, DecodeError>,
    /// Key of the directory's row.
    pub directory_key: &'static str,
    /// Decodes a backend server's entry from its identifier and its row.
    pub server: fn(&str, &[u8]) -> Result<ServerRecord, DecodeError>,
}
