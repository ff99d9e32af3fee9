//! VM list of the platform. The list is eventually consistent; reclaim notices are current.

use std::net::SocketAddr;

use async_trait::async_trait;
use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs the daemon of this system.
    Entry,
    /// Runs a backend server: a model runner or a plain service.
    Backend,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum VmState {
    /// In use.
    Live,
    /// Under notice of reclaim, or being removed.
    Leaving {
        /// Time until the VM is gone, measured when the list was made.
        remaining_ms: Millisecond,
    },
}

/// VM of the platform. Identifiers are not reused: a replacement is a new VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier given by the platform.
    pub id: Name,
    /// Address that its process listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Name,
    /// VM class.
    pub class: Name,
    /// Role.
    pub role: VmRole,
    /// Service that a backend server offers; `None` for entry VMs.
    #[serde(default)]
    pub service: Option<Name>,
    /// Lifecycle state.
    #[serde(flatten)]
    pub state: VmState,
}

/// Failure to read the VM list or a reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The VM list could not be read: {reason}."))]
pub struct VmListError {
    /// Description of the failure, for logs.
    pub reason: String,
}

/// VM list of the platform.
#[async_trait]
pub trait Vms: Send + Sync {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<Vm>, VmListError>;

    /// Reads the reclaim notice of a VM: the time left, or `None` if there is no notice.
    async fn notice(&self, vm: &str) -> Result<Option<Millisecond>, VmListError>;
}
