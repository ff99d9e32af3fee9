//! Runs accepted model requests: attempts, retries, resumption and the answer so far.

mod failed_attempt;
mod leaving;
mod live;
mod phase;
mod reading;
mod reclaim;
mod record;
mod relay;
mod retries;
mod sending;
mod store;
mod suspicion;
mod transfer;

pub use phase::Phase;
pub use reclaim::Reclaims;
pub use record::{Progress, Record, SharedRecord};
pub use relay::{AnswerEvent, Relay};
pub use retries::{Retries, ServerCounts};
pub use store::{IdInUse, Store, StoreOptions};
pub use suspicion::{Liveness, RunningRequest, Suspicion, probe_liveness};

use std::sync::Arc;

use base::units::Millisecond;
use chart::Chart;
use engine::Backend;
use tokio::sync::watch;

use crate::backends::Backends;
use crate::clock::Clock;

/// Stage of the daemon's shutdown, as far as it concerns relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Streams continue.
    Open,
    /// Streams stop, and their records are being handed over to peers.
    Cut,
    /// The peers hold the records of the streams.
    HandedOver,
}

/// Time limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct FlowOptions {
    /// How long a backend server may take to begin its answer.
    pub head_timeout_ms: Millisecond,
    /// Longest time without a chunk within a streamed answer.
    pub stall_timeout_ms: Millisecond,
    /// Time reserved before a leaving server stops.
    pub leaving_margin_ms: Millisecond,
}

impl Default for FlowOptions {
    fn default() -> Self {
        Self {
            head_timeout_ms: 30_000,
            stall_timeout_ms: 10_000,
            leaving_margin_ms: 500,
        }
    }
}

/// State shared by all relays of one daemon.
pub struct Flow {
    /// Client for calls to backend servers.
    pub backend: Arc<dyn Backend>,
    /// Known backend servers and the routing among them.
    pub backends: Backends,
    /// Running streams, so that those of a leaving server are moved by one plan.
    pub reclaims: Reclaims,
    /// Retry budgets of the services.
    pub retries: Retries,
    /// Requests that may crash their backend servers.
    pub suspicion: Suspicion,
    /// Records of accepted requests.
    pub store: Store,
    /// State chart of a request.
    pub chart: Arc<Chart>,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Stage of the daemon's shutdown.
    pub drain: watch::Receiver<Drain>,
    /// Time limits of a request.
    pub options: FlowOptions,
}
