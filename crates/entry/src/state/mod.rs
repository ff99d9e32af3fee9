//! What holds for the whole daemon: the configuration in force, its life, and admission.

mod gate;
mod life;
mod work;

pub use gate::{Admitted, Gate};
pub use life::{Life, LifeEvent, LifeState};
pub use work::Work;

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::ids::RequestId;
use conf::Config;
use tokio::sync::watch;

use crate::front::{CallerError, ErrorCode};
use crate::metrics::Metrics;
use crate::peers::Peers;

/// When a caller that met a daemon without readiness may come back.
const COME_BACK_MS: u64 = 500;

/// How long a request waits while a new configuration is read.
const READ_CONFIG_MS: u64 = 500;

/// A configuration with its version.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The version.
    pub version: u64,
    /// The checked document.
    pub config: Arc<Config>,
}

/// Daemon-wide state, shared by all handlers.
pub struct Standing {
    /// This entry VM.
    pub node: Name,
    /// The configuration in force; none before the first.
    pub config: watch::Receiver<Option<InForce>>,
    /// The process's life.
    pub life: Life,
    /// Admission.
    pub gate: Gate,
    /// The other entry VMs.
    pub peers: Peers,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl Standing {
    /// The configuration to serve under, or why nothing is served now.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry VM is starting or leaving, or does not have the current
    /// configuration.
    pub async fn serving(&self) -> Result<InForce, CallerError> {
        let reason = match self.life.state() {
            LifeState::Serving if self.peers.may_serve() => None,
            // The balancer may not have seen yet that the daemon is not ready.
            LifeState::Draining => None,
            LifeState::Serving | LifeState::Starting => {
                Some("This entry VM is learning the current configuration.")
            }
            LifeState::HandingOver | LifeState::Stopped => Some("This entry VM is leaving."),
        };
        if let Some(reason) = reason {
            return Err(not_ready(reason));
        }
        self.current().await
    }

    /// The configuration that the fleet knows, once it has been read here. A version that has been
    /// acknowledged is never answered under an older one.
    async fn current(&self) -> Result<InForce, CallerError> {
        let known = self.peers.config_version();
        let mut config = self.config.clone();
        let reading = config.wait_for(|c| c.as_ref().is_some_and(|c| c.version >= known));
        let limit = Duration::from_millis(READ_CONFIG_MS);
        match tokio::time::timeout(limit, reading).await {
            Ok(Ok(in_force)) => in_force.clone().ok_or_else(no_config),
            Ok(Err(_)) | Err(_) => Err(no_config()),
        }
    }

    /// Admits a request, or refuses it for good.
    ///
    /// # Errors
    ///
    /// Returns the refusal if too many requests are in flight, or if the service's admission does
    /// not accept the request.
    pub async fn admit(&self, id: RequestId, work: Work) -> Result<Admitted, CallerError> {
        let admitted = self.gate.admit(id, work).await?;
        self.metrics.admitted();
        Ok(admitted)
    }

    /// Whether the balancer may send new callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry VM is starting, draining or leaving, or does not have the
    /// current configuration.
    pub async fn readiness(&self) -> Result<(), CallerError> {
        if self.life.state() == LifeState::Draining {
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
        COME_BACK_MS,
    )
}
