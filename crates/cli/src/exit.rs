//! Exit codes, as documented for scripts.

use std::process::ExitCode;

/// Exit code of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Success = 0,
    /// Something failed that no other code names.
    Failed = 1,
    /// The command line is faulty.
    Usage = 2,
    /// No daemon answered, or it could not tell; a change may have taken effect.
    Unreachable = 3,
    /// The daemon did not take the operator's key.
    Unauthorized = 4,
    /// Another operator's change came first.
    Conflict = 5,
    /// The document has faults.
    Invalid = 6,
    /// The change was accepted but is not in force everywhere yet.
    NotInForce = 7,
    /// The named item does not exist.
    NotFound = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
