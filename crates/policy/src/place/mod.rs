//! Which VMs to buy and return, and which models to load where.
//!
//! One holder of a lease decides for the whole fleet. [`decide`] changes the [`PlaceState`]; the
//! holder stores the state in the table, under its fencing number, *before* it carries out any
//! action. A successor that reads the state repeats the open orders with the same tokens, so
//! nothing is bought twice.

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

/// How a VM is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purchase {
    /// Cheap, and may be taken back on seconds of notice.
    Reclaimable,
    /// Dearer, and kept until returned.
    OnDemand,
}

/// A kind of VM that can be bought for a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmKind {
    /// The VM class.
    pub class: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// How it is paid for.
    pub purchase: Purchase,
}

/// An offer of the cloud, judged for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The service.
    pub service: Name,
    /// What is bought.
    pub kind: VmKind,
    /// Price, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    /// Tokens (or, for a plain service, requests) a second that it serves on time.
    pub capacity_per_s: f64,
}

/// A VM of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedVm {
    /// Its identifier.
    pub vm: Name,
    /// The service it offers.
    pub service: Name,
    /// What it is.
    pub kind: VmKind,
    /// Price, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    /// Tokens or requests a second that it serves on time.
    pub capacity_per_s: f64,
    /// Whether it stays.
    pub state: VmState,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// Starting or in use.
    Staying,
    /// Under notice or being returned.
    Leaving,
}

/// What one service needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceNeed {
    /// The service.
    pub service: Name,
    /// Tokens or requests a second to be served on time.
    pub demand_per_s: f64,
    /// Part of the demand that on-demand VMs alone must hold, for waves over several domains.
    pub on_demand_floor: f64,
}

/// Everything that a decision reads beside its state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlaceInput {
    /// What the services need.
    pub needs: Vec<ServiceNeed>,
    /// What can be bought.
    pub offers: Vec<Offer>,
    /// What the fleet has.
    pub vms: Vec<PlacedVm>,
}

/// Bounds of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlaceConfig {
    /// Demand is held with this factor to spare before VMs are bought.
    pub headroom: f64,
    /// VMs are returned only when demand would be held with this factor to spare without them.
    pub release_headroom: f64,
    /// Time for which a surplus must last before VMs are returned.
    pub release_after_ms: Millisecond,
    /// Time within which a bought VM comes onto the list, or counts as never come.
    pub arrival_ms: Millisecond,
    /// VMs returned in one decision, for each service.
    pub max_releases: usize,
    /// First and longest time for which a refused kind is left alone.
    pub refusal_base_ms: Millisecond,
    /// See `refusal_base_ms`.
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

/// An action of the holder.
#[derive(Clone, Debug, PartialEq)]
pub enum PlaceAction {
    /// Buy a VM; repeating it with the same token is harmless.
    Buy {
        /// Idempotency token.
        token: String,
        /// The service that it is to offer.
        service: Name,
        /// What to buy.
        kind: VmKind,
    },
    /// An order's answer was lost: ask the cloud what its token bought.
    Find {
        /// Idempotency token.
        token: String,
    },
    /// Return a VM.
    Release {
        /// The VM.
        vm: Name,
    },
}

/// A service whose need cannot be met with what is offered now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shortfall {
    /// The service.
    pub service: Name,
    /// Tokens or requests a second that are missing after the loss of the largest failure domain.
    pub missing_per_s: f64,
}

/// A decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacePlan {
    /// What is to be done, after the state has been stored.
    pub actions: Vec<PlaceAction>,
    /// What cannot be met.
    pub shortfalls: Vec<Shortfall>,
    /// Price of the fleet after the actions, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
}
