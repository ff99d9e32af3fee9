//! Placement: which VMs to buy and return, and which models to load on which runners.
//!
//! One process, the holder of a lease, decides for the whole fleet. [`decide()`] changes the
//! [`PlaceState`]. The holder stores the state in the table, under its fencing token, before it
//! carries out any action. Its successor reads the state and repeats the open orders with the same
//! idempotency tokens, so no VM is bought twice.

mod decide;
mod mix;
mod models;
mod orders;

pub use decide::decide;
pub use mix::{capacity_after_loss, cheapest_additions};
pub use models::{LoadPlan, ModelNeed, Runner, plan_loads};
pub use orders::{OrderOutcome, OrderStatus, PendingOrder, PlaceState};

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

/// Purchase option of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purchase {
    /// Cheaper; the cloud may reclaim the VM with a notice of a few seconds.
    Reclaimable,
    /// More expensive; the VM stays until it is returned.
    OnDemand,
}

/// A kind of VM that can be bought for a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmKind {
    pub class: Name,
    pub failure_domain: Name,
    pub purchase: Purchase,
}

/// An offer of the cloud, with the capacity that it has for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    pub service: Name,
    pub kind: VmKind,
    /// Price, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    /// Tokens (requests, for a plain service) per second that the VM can serve on time.
    pub capacity_per_s: f64,
}

/// A VM of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedVm {
    pub vm: Name,
    pub service: Name,
    pub kind: VmKind,
    /// Price, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    /// Tokens (requests, for a plain service) per second that the VM can serve on time.
    pub capacity_per_s: f64,
    pub state: VmState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// The VM is starting or in use.
    Staying,
    /// The VM has a reclaim notice or is being returned.
    Leaving,
}

/// Capacity that one service needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceNeed {
    pub service: Name,
    /// Tokens (requests, for a plain service) per second to be served on time.
    pub demand_per_s: f64,
    /// Fraction of the demand that on-demand VMs alone must meet, in case reclaimable VMs of
    /// several failure domains are reclaimed together.
    pub on_demand_floor: f64,
}

/// Input of a decision, beside the [`PlaceState`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlaceInput {
    pub needs: Vec<ServiceNeed>,
    pub offers: Vec<Offer>,
    pub vms: Vec<PlacedVm>,
}

/// Configuration of placement decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlaceConfig {
    /// Capacity to buy, as a multiple of the demand.
    pub headroom: f64,
    /// Capacity that must be left without the returned VMs, as a multiple of the demand.
    pub release_headroom: f64,
    pub release_after_ms: Millisecond,
    /// Time after which a bought VM that is not on the VM list counts as lost.
    pub arrival_ms: Millisecond,
    /// Most VMs returned for a service in one decision.
    pub max_releases: usize,
    /// Backoff bound after the first refusal of a kind of VM; it doubles with each further refusal.
    pub refusal_base_ms: Millisecond,
    /// Largest backoff bound.
    pub refusal_cap_ms: Millisecond,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        Self {
            headroom: 1.1,
            release_headroom: 1.3,
            release_after_ms: 600_000,
            arrival_ms: 600_000,
            max_releases: 2,
            refusal_base_ms: 30_000,
            refusal_cap_ms: 900_000,
        }
    }
}

/// Action that the lease holder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlaceAction {
    /// Buy a VM. A repetition with the same token buys nothing more.
    Buy {
        /// Idempotency token.
        token: String,
        service: Name,
        kind: VmKind,
    },
    /// Ask the cloud which VM was bought with a token, because the answer to the order was lost.
    Find {
        /// Idempotency token.
        token: String,
    },
    Release {
        vm: Name,
    },
}

/// A service whose need the current offers cannot meet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shortfall {
    pub service: Name,
    /// Tokens or requests per second that would be missing after the loss of the failure domain
    /// with the most capacity.
    pub missing_per_s: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacePlan {
    /// Actions to carry out once the state is stored.
    pub actions: Vec<PlaceAction>,
    pub shortfalls: Vec<Shortfall>,
    /// Price of the whole fleet after the actions, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
}
