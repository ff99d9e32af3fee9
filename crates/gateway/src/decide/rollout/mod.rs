//! Rollouts: how the traffic of a service moves to servers of a new software version, and when it
//! goes back.

pub mod choice;
pub mod evidence;
pub mod plan;

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

pub use evidence::{Evidence, Finding, Judge, Outcomes, RouteEvidence};
pub use plan::{Decision, Plan, Situation, Stage, Verdict};

/// The operator's order to move a service to a software version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub service: Name,
    /// The new version.
    pub to: Name,
    /// Time from the order until the rollout must have ended.
    pub duration_ms: Millisecond,
    /// Revision of the order's row; a greater one replaces an earlier order of the service.
    pub revision: u64,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    #[default]
    Running,
    Completed,
    RolledBack,
    /// The operator has removed the order.
    Withdrawn,
}

impl RolloutState {
    /// Whether nothing changes any more under this order.
    pub fn is_final(self) -> bool {
        self != Self::Running
    }

    /// Label in logs, metrics and rows.
    pub fn label(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// Bounds on requests to a version that turns out to be bad.
#[derive(Clone, Copy, Debug)]
pub struct ExposureBounds {
    /// Greatest share of the service's requests from the order to its deadline.
    pub share: f64,
    /// Requests beyond that share.
    pub slack: f64,
}
