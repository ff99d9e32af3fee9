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

impl RunState {
    /// What holds of a request after one more attempt that ended with `attempt`.
    pub fn after(self, attempt: Self) -> Self {
        match (self, attempt) {
            (Self::NotRun, attempt) => attempt,
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::Unknown, _) => Self::Unknown,
        }
    }
}
