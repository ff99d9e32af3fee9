//! What is known of an allowance's earlier use when a process begins to enforce it.

use base::units::Millisecond;

/// Units of an allowance that were used before a bucket began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorUse {
    Unused,
    Unknown,
}

/// The circumstances in which a process begins to enforce an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceStart {
    /// The process knew a directory before, so the allowance is new to all nodes.
    WhileRunning,
    /// The whole system starts for the first time.
    FirstStart { age_ms: Millisecond },
    /// The process has restarted, or starts beside running nodes.
    Restart,
}

/// If the first directory takes longer than this to arrive, other nodes may have used the allowance
/// meanwhile, even on a first start.
const FIRST_START_LIMIT_MS: Millisecond = 3_000;

impl PriorUse {
    /// What is known of the units used before an allowance began.
    pub fn at(beginning: AllowanceStart) -> Self {
        match beginning {
            AllowanceStart::WhileRunning => Self::Unused,
            AllowanceStart::FirstStart { age_ms } if age_ms < FIRST_START_LIMIT_MS => Self::Unused,
            AllowanceStart::FirstStart { .. } | AllowanceStart::Restart => Self::Unknown,
        }
    }
}
