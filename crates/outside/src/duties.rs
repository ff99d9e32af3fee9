//! Calls that one holder at a time makes to the platform, under a fencing number.

use async_trait::async_trait;
use base::{Map, Name};
use snafu::Snafu;

use crate::Purchase;

/// Who calls, and under which fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// The node.
    pub node: Name,
    /// Fencing number of its tenure.
    pub fence: u64,
}

/// Requests begun in one window of the calendar clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window's number since 1970.
    pub window: u64,
    /// Requests by workspace.
    pub counts: Map<Name, u64>,
}

/// Number of backend servers wanted of one kind in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// The service.
    pub service: Name,
    /// The failure domain.
    pub failure_domain: Name,
    /// How they are paid for.
    pub purchase: Purchase,
    /// The number wanted.
    pub wanted: u32,
}

/// A call that is not known to have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DutyError {
    /// A higher fencing number was seen, or there is nothing to be had.
    #[snafu(display("The platform refused the call."))]
    Refused,
    /// Too many calls, or the platform is not serving; nothing was done.
    #[snafu(display("The platform did not take the call: {reason}."))]
    NotExecuted {
        /// What was seen.
        reason: String,
    },
    /// The call may take effect, now or later.
    #[snafu(display("The platform gave no answer: {reason}."))]
    Unknown {
        /// What was seen.
        reason: String,
    },
}

/// The platform's calls for duties.
#[async_trait]
pub trait Duties: Send + Sync {
    /// Reports the usage of a window; an exact repeat is harmless.
    async fn report_usage(
        &self,
        holder: &DutyHolder,
        report: &UsageReport,
    ) -> Result<(), DutyError>;

    /// Orders a number of backend servers.
    async fn order_servers(
        &self,
        holder: &DutyHolder,
        order: &ServerOrder,
    ) -> Result<(), DutyError>;
}
