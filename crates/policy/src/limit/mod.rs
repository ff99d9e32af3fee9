//! Admission control at one entry VM, for one service.
//!
//! The slots of the fleet are divided among workspaces by weight, and each workspace's slots among
//! entry VMs by their demand. Every entry VM computes its own share from the demand that its peers
//! last reported; there is no shared counter.

mod admission;
mod demand;
mod queue;
mod share;

pub use admission::Admission;
pub use queue::Queue;
pub use share::{Claim, allot, local_share};

use base::Name;
use base::ids::RequestId;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use crate::route::Priority;

/// Configured share of a workspace in the capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceShare {
    pub workspace: Name,
    /// Shares are proportional to weights.
    pub weight: f64,
    /// Most slots that the workspace may use in the whole fleet, even if more are free.
    #[serde(default)]
    pub max_slots: Option<u32>,
}

/// Demand of one workspace at one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    pub workspace: Name,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

/// Configuration of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionConfig {
    /// Most queued requests of each workspace at this entry VM.
    pub max_queued_per_workspace: usize,
    /// Age at which a demand report expires.
    pub peer_demand_max_age_ms: Millisecond,
    /// Time that a request is assumed to hold a slot until one has finished.
    pub prior_hold_ms: Millisecond,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_queued_per_workspace: 256,
            peer_demand_max_age_ms: 5_000,
            prior_hold_ms: 2_000,
        }
    }
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    pub id: RequestId,
    pub workspace: Name,
    pub priority: Priority,
    /// Instant at which the first token is due.
    pub first_token_due_ms: Millisecond,
    /// Expected time from the start to the first token, without queueing.
    pub expected_first_token_ms: Millisecond,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace is not configured for this service.
    UnknownWorkspace,
    /// The first token would come after it is due.
    TargetOutOfReach,
    /// The entry VM has as many requests in flight as its settings allow.
    TooManyInFlight,
    /// The workspace's queue is full, and its requests go before this one.
    QueueFull,
}

/// Action for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to a backend server now.
    Start { id: RequestId },
    /// Refuse the request now; it has not run.
    Refuse {
        id: RequestId,
        reason: RefusalReason,
        /// Time after which another try may be accepted.
        retry_after_ms: Millisecond,
    },
}
