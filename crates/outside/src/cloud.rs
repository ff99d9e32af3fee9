//! Cloud API: buying and returning VMs.

use async_trait::async_trait;
use base::Name;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// How a VM is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purchase {
    /// Cheap, and may be taken back on seconds of notice.
    Reclaimable,
    /// Dearer, and kept until returned.
    OnDemand,
}

/// Order for one VM. The token makes the order idempotent: the same token never buys twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmOrder {
    /// Idempotency token.
    pub token: String,
    /// The VM class.
    pub class: Name,
    /// Where it is to stand.
    pub failure_domain: Name,
    /// How it is paid for.
    pub purchase: Purchase,
    /// The service it is to offer.
    pub service: Name,
}

/// A VM that an order bought.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmPurchase {
    /// The order's token.
    pub token: String,
    /// The VM's identifier.
    pub vm: Name,
}

/// A cloud call that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CloudError {
    /// No capacity of that class there now; nothing was bought.
    #[snafu(display("The cloud refused to start a VM: {reason}."))]
    Refused {
        /// What the cloud said.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display("The cloud API gave no answer: {reason}."))]
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

    /// Finds what an order's token bought.
    async fn find(&self, token: &str) -> Result<Option<VmPurchase>, CloudError>;

    /// Returns a VM; returning it again is harmless.
    async fn release(&self, vm: &str) -> Result<(), CloudError>;
}
