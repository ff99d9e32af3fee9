//! The platform's list of VMs, which lags.

use std::net::SocketAddr;

use async_trait::async_trait;
use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// One of the system's own daemons.
    Entry,
    /// A model runner or plain service.
    Backend,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum VmState {
    /// In use.
    Live,
    /// Under notice of reclaim or being removed.
    Leaving {
        /// Time until the VM is gone, as of the list's making.
        remaining_ms: Millisecond,
    },
}

/// One VM. An identifier is never reused: a replacement is a new VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The platform's identifier.
    pub id: Name,
    /// Where its process listens.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub failure_domain: Name,
    /// The VM class.
    pub class: Name,
    /// What runs there.
    pub role: VmRole,
    /// The service a backend server offers; absent for entry VMs.
    #[serde(default)]
    pub service: Option<Name>,
    /// Whether it stays.
    #[serde(flatten)]
    pub state: VmState,
}

/// The list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The VM list could not be read: {reason}."))]
pub struct VmListError {
    /// Description of the failure, for logs.
    pub reason: String,
}

/// The platform's VM list.
#[async_trait]
pub trait Vms: Send + Sync {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<Vm>, VmListError>;

    /// Reads the reclaim notice of one VM: time left, or nothing.
    async fn notice(&self, vm: &str) -> Result<Option<Millisecond>, VmListError>;
}
