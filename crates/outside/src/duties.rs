//! Duties: platform calls that only the current lease holder makes, each with its fencing token.

use async_trait::async_trait;
use base::{Map, Name};
use snafu::Snafu;

use crate::Purchase;

/// Lease holder that makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// Name of the node.
    pub node: Name,
    /// Fencing token of its lease.
    pub fence: u64,
}

/// Number of requests that began in one usage window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window, counted from the Unix epoch.
    pub window: u64,
    /// Number of requests by workspace.
    pub counts: Map<Name, u64>,
}

/// Desired number of backend servers of one service, failure domain and purchase option.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// Service that they offer.
    pub service: Name,
    /// Failure domain that they run in.
    pub failure_domain: Name,
    /// Purchase option.
    pub purchase: Purchase,
    /// Desired number.
    pub wanted: u32,
}

/// Failure of a duty call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DutyError {
    /// The platform has seen a higher fencing token, or has no capacity.
    #[snafu(display("The platform refused the call."))]
    Refused,
    /// The call had no effect: not sent, rate limited, or the platform is unavailable.
    #[snafu(display("The platform did not execute the call: {reason}."))]
    NotExecuted {
        /// Description of the failure, for logs.
        reason: String,
    },
    /// The call may have taken effect, or may still do so.
    #[snafu(display("The platform gave no usable response: {reason}."))]
    Unknown {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// Platform calls of the lease holder.
#[async_trait]
pub trait Duties: Send + Sync {
    /// Reports the usage of a window. Repeating the same report has no effect.
    async fn report_usage(
        &self,
        holder: &DutyHolder,
        report: &UsageReport,
    ) -> Result<(), DutyError>;

    /// Sets the desired number of backend servers.
    async fn order_servers(
        &self,
        holder: &DutyHolder,
        order: &ServerOrder,
    ) -> Result<(), DutyError>;
}
