//! Statuses that promise that a request was not run and never will be, and the proof that they need.

use base::outcome::RunState;

use super::outcome::AttemptHistory;

/// Statuses that callers read as that promise (the users' protocol page, "Answers").
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether a status makes the promise.
pub fn promises_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Proof that a request was not run and never will be. A status that promises so is given only with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Of a request of which no byte has been sent to a backend server.
    pub fn unsent() -> Self {
        Self(())
    }
}

impl AttemptHistory {
    /// The proof, if each server that the request was sent to has said that it did not run it.
    pub fn not_run_proof(&self) -> Option<NotRunProof> {
        (self.run_state == RunState::NotRun).then_some(NotRunProof(()))
    }
}
