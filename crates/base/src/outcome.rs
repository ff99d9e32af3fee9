//! What a caller may rely on after an error.

use serde::{Deserialize, Serialize};

/// Whether a request reached a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request was handed to a backend server's connection.
    NotRun,
    /// A backend server answered.
    Ran,
    /// The request may or may not have run.
    Unknown,
}
