//! Statuses that tell the caller that a request was not run and never will be, and the proof that
//! is required to send them.

use base::outcome::RunState;

use super::outcome::AttemptHistory;

/// Callers may repeat any request that was answered with one of these statuses.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether callers take the status as a promise that the request was not run.
pub fn promises_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Proof that a request was not run and never will be. Statuses that promise this can only be sent
/// with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Proof for a request of which no byte has been sent to a backend server.
    pub fn unsent() -> Self {
        Self(())
    }
}

impl AttemptHistory {
    /// Proof for a request that no server has run, by the word of each server that received it.
    pub fn not_run_proof(&self) -> Option<NotRunProof> {
        (self.run_state == RunState::NotRun).then_some(NotRunProof(()))
    }
}
