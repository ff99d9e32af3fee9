//! Daemon-wide state: the configuration in force, the lifecycle of the process, and admission.

mod admission_input;
mod gate;
mod lifecycle;

pub use admission_input::AdmissionInput;
pub use gate::{AdmissionGate, AdmittedRequest};
pub use lifecycle::{Lifecycle, LifecycleEvent, LifecycleState};

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::ids::RequestId;
use conf::Config;
use tokio::sync::watch;

use crate::front::{CallerError, ErrorCode};
use crate::metrics::Metrics;
use crate::peers::Peers;

/// `Retry-After` of requests refused because the daemon is not ready.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;

/// Longest wait of a request for the fleet's newest configuration to be read.
const CONFIG_WAIT_MAX_MS: u64 = 500;

/// The configuration in force, with its version.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    pub version: u64,
    pub config: Arc<Config>,
}

/// Daemon-wide state, shared by all handlers.
pub struct DaemonState {
    /// Name of this entry VM.
    pub node: Name,
    /// The configuration in force; `None` until the first one is read.
    pub config: watch::Receiver<Option<ActiveConfig>>,
    pub lifecycle: Lifecycle,
    pub gate: AdmissionGate,
    /// The other entry VMs.
    pub peers: Peers,
    pub metrics: Arc<Metrics>,
}

impl DaemonState {
    /// The configuration to serve requests with.
    ///
    /// # Errors
    ///
    /// Returns a retryable error if the daemon is not ready to serve.
    pub async fn serving(&self) -> Result<ActiveConfig, CallerError> {
        let reason = match self.lifecycle.state() {
            LifecycleState::Serving if self.peers.may_serve() => None,
            // The load balancer may still send requests until its next readiness check.
            LifecycleState::Draining => None,
            LifecycleState::Serving | LifecycleState::Starting => {
                Some("This entry VM is learning the current configuration.")
            }
            LifecycleState::HandingOver | LifecycleState::Stopped => {
                Some("This entry VM is leaving.")
            }
        };
        if let Some(reason) = reason {
            return Err(not_ready(reason));
        }
        self.current().await
    }

    /// Waits for the newest configuration version that this node has seen, so that no request is
    /// served with an older configuration than one that was acknowledged.
    async fn current(&self) -> Result<ActiveConfig, CallerError> {
        let known = self.peers.config_version();
        let mut config = self.config.clone();
        let reading = config.wait_for(|c| c.as_ref().is_some_and(|c| c.version >= known));
        let limit = Duration::from_millis(CONFIG_WAIT_MAX_MS);
        match tokio::time::timeout(limit, reading).await {
            Ok(Ok(in_force)) => in_force.clone().ok_or_else(no_config),
            Ok(Err(_)) | Err(_) => Err(no_config()),
        }
    }

    /// Admits a request and counts it.
    ///
    /// # Errors
    ///
    /// Returns a retryable error if admission refuses the request.
    pub async fn admit(
        &self,
        id: RequestId,
        work: AdmissionInput,
    ) -> Result<AdmittedRequest, CallerError> {
        let admitted = self.gate.admit(id, work).await?;
        self.metrics.admitted();
        Ok(admitted)
    }

    /// Checks whether the load balancer may send new requests.
    ///
    /// # Errors
    ///
    /// Returns the reason if the daemon is draining or not ready.
    pub async fn readiness(&self) -> Result<(), CallerError> {
        if self.lifecycle.state() == LifecycleState::Draining {
            return Err(not_ready("This entry VM is leaving."));
        }
        self.serving().await.map(|_| ())
    }
}

fn no_config() -> CallerError {
    not_ready("No current configuration is in force yet.")
}

fn not_ready(reason: &str) -> CallerError {
    CallerError::retryable(
        ErrorCode::NotReady,
        format!("{reason} Ask another entry VM."),
        NOT_READY_RETRY_AFTER_MS,
    )
}
