//! Cloud API, which buys and releases VMs.

use async_trait::async_trait;
use base::Name;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Purchase option of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purchase {
    /// Cheaper; the cloud may reclaim the VM with a notice of seconds.
    Reclaimable,
    /// More expensive; kept until it is released.
    OnDemand,
}

/// Order for one VM. Orders with the same token buy at most one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmOrder {
    /// Idempotency token.
    pub token: String,
    /// VM class.
    pub class: Name,
    /// Failure domain to start the VM in.
    pub failure_domain: Name,
    /// Purchase option.
    pub purchase: Purchase,
    /// Service that the VM will offer.
    pub service: Name,
}

/// VM bought by an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmPurchase {
    /// Token of the order.
    pub token: String,
    /// Identifier of the VM.
    pub vm: Name,
}

/// Failure of a call to the cloud API.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CloudError {
    /// The call had no effect, for example because the cloud has no capacity for this order now.
    #[snafu(display("The cloud refused to start a VM: {reason}."))]
    Refused {
        /// Reason given by the cloud, or why nothing was sent.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display("The cloud API gave no usable response: {reason}."))]
    Unknown {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// The platform's cloud API.
#[async_trait]
pub trait Cloud: Send + Sync {
    /// Buys a VM.
    async fn buy(&self, order: &VmOrder) -> Result<VmPurchase, CloudError>;

    /// Looks up the VM that the order with this token bought.
    async fn find(&self, token: &str) -> Result<Option<VmPurchase>, CloudError>;

    /// Releases a VM. Releasing it again has no effect.
    async fn release(&self, vm: &str) -> Result<(), CloudError>;
}
