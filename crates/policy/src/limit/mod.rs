//! Admission of requests at one entry VM, for one service.
//!
//! The fleet's capacity in slots is divided among workspaces by weight, and each workspace's part
//! among entry VMs by their demand. Every entry VM computes its own part from what its peers last
//! said; there is no counter in common.

mod admission;
mod demand;
mod queue;
mod share;

pub use admission::Admission;
pub use share::{Claim, allot, own_part};

use base::Name;
use base::ids::RequestId;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use crate::route::Priority;

/// A workspace's configured part of the capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceShare {
    /// The workspace.
    pub workspace: Name,
    /// Its weight; shares are proportional to weights.
    pub weight: f64,
    /// Slots that it may hold over the whole fleet, however much is free.
    #[serde(default)]
    pub max_slots: Option<u32>,
}

/// Demand of one workspace at one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: Name,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for one.
    pub queued: u32,
}

/// Bounds of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionConfig {
    /// Requests that may wait at this entry VM, for each workspace.
    pub max_queued_per_workspace: usize,
    /// Age at which a peer's demand no longer counts.
    pub peer_demand_max_age_ms: Millisecond,
    /// Slot time assumed of a request until one has finished.
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

/// A request that asks to be started.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Its number.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: Name,
    /// Priority; lower goes first.
    pub priority: Priority,
    /// Instant by which its first token is due.
    pub first_token_due_ms: Millisecond,
    /// Time from start to first token when nothing waits.
    pub expected_first_token_ms: Millisecond,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace is not configured for this service.
    UnknownWorkspace,
    /// It would get its first token after it is due.
    TargetOutOfReach,
    /// The entry VM has as many requests in flight as its settings allow.
    TooManyInFlight,
    /// The workspace's queue is full of requests that go before it.
    QueueFull,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start it now.
    Start {
        /// The request.
        id: RequestId,
    },
    /// Answer it now with a refusal; it has not run and never will.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        reason: RefusalReason,
        /// Time after which it may be accepted.
        retry_after_ms: Millisecond,
    },
}
