//! Whether a request has run, as reported to its caller after an error.

use serde::{Deserialize, Serialize};

/// Whether a backend server has run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request was handed to a backend server's connection.
    NotRun,
    /// A backend server answered the request.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl RunState {
    /// Combines the state of the earlier attempts with that of one more attempt.
    pub fn after(self, attempt: Self) -> Self {
        match (self, attempt) {
            (Self::NotRun, attempt) => attempt,
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::Unknown, _) => Self::Unknown,
        }
    }
}
