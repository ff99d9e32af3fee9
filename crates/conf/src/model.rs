//! The parts of a checked configuration; every reference in them resolves.

use base::units::Millisecond;
use base::{Map, Name};

use crate::document::{Fencing, Priority};
use crate::route::Route;

/// A set of VMs that can be lost at once.
#[derive(Clone, Debug, PartialEq)]
pub struct FailureDomain {
    /// Its name.
    pub name: Name,
    /// The region it belongs to.
    pub region: Name,
    /// Latency to callers in one direction.
    pub client_one_way_latency_ms: f64,
    /// One-way latency to every other failure domain.
    pub one_way_latency_ms: Map<Name, f64>,
}

/// Price of one VM of a class in one failure domain; an absent price means not for sale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Price {
    /// Price of a VM that may be taken back.
    pub reclaimable_per_hour: Option<f64>,
    /// Price of a VM that is kept until returned.
    pub on_demand_per_hour: Option<f64>,
}

/// A kind of VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmClass {
    /// Its name.
    pub name: Name,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Speed against a class of speed 1.
    pub relative_speed: f64,
    /// Price by failure domain.
    pub prices: Map<Name, Price>,
}

/// Limits on repeated attempts at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Attempts for one request, the first included.
    pub max_attempts: u32,
    /// Retries allowed for the whole service, in percent of its first attempts.
    pub budget_percent: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            budget_percent: 6,
        }
    }
}

/// Target times of the answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LatencyTarget {
    /// Target of a model service.
    Tokens {
        /// From acceptance to the first token.
        first_token_ms: Millisecond,
        /// Between one token and the next.
        between_tokens_ms: Millisecond,
    },
    /// Target of a plain service.
    Whole {
        /// From acceptance to the end of the answer.
        total_ms: Millisecond,
    },
}

/// Kind of backend of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Model engines.
    Model {
        /// Name of the weights.
        model: Name,
    },
    /// A plain HTTP service.
    Plain {
        /// Which of its calls may be repeated.
        routes: Vec<Route>,
    },
}

/// Bounds on the VMs that a service runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Fewest VMs.
    pub min_vms: u32,
    /// Most VMs.
    pub max_vms: u32,
    /// Classes that may be used.
    pub classes: Vec<Name>,
}

/// A service offered to callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Kind of backend.
    pub kind: ServiceKind,
    /// Whether its backend servers refuse orders with an old fencing number.
    pub fencing: Fencing,
    /// Longest time from acceptance to the end of the answer.
    pub timeout_ms: Millisecond,
    /// Target times of the answers.
    pub latency_target: LatencyTarget,
    /// Limits on repeated attempts.
    pub retry: RetryLimits,
    /// Bounds on its VMs.
    pub placement: Placement,
}

/// Limits of one workspace at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimit {
    /// Requests in flight over the whole deployment.
    pub max_concurrent: u32,
}

/// A caller's share of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// SHA-256 digests of its bearer keys, in lower-case hexadecimal.
    pub key_digests: Vec<String>,
    /// Weight in the division of capacity.
    pub share: u32,
    /// Order in which its work is kept under overload.
    pub priority: Priority,
    /// Limits by service; a service that is not named has none.
    pub limits: Map<Name, ServiceLimit>,
}

/// Someone allowed to use the admin interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Its name.
    pub name: Name,
    /// SHA-256 digest of its bearer key, in lower-case hexadecimal.
    pub key_digest: String,
}
