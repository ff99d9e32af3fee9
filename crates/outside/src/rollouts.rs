//! Status of rollouts, as this system reports it to the platform.

use async_trait::async_trait;
use base::Name;

use crate::{CommitError, Condition, ReadError};

/// How far a rollout has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// Traffic is moving.
    Running,
    /// The old servers may stop.
    Completed,
    /// The new servers may stop.
    RolledBack,
}

/// Status of the rollout of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// How far it has come.
    pub phase: RolloutPhase,
    /// The software version that the order names.
    pub to: Name,
}

/// Rows with the status of rollouts.
#[async_trait]
pub trait RolloutStatuses: Send + Sync {
    /// Reads the status of a service and the version of its row; `None` if there is none or if it
    /// can't be decoded.
    async fn read_status(
        &self,
        service: &str,
    ) -> Result<(Option<RolloutStatus>, Condition), ReadError>;

    /// Writes the status of a service if `condition` holds for its row.
    async fn write_status(
        &self,
        service: &str,
        status: &RolloutStatus,
        condition: Condition,
    ) -> Result<(), CommitError>;
}
