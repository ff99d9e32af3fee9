//! The flow of an accepted model request: attempts, resumption and the answer so far.

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

/// How far the daemon has gone towards its end, as relays see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Streams go on.
    Open,
    /// Streams stop where they are and are being handed over.
    Cut,
    /// Peers have the streams.
    HandedOver,
}

/// Times that bound the flow of a request.
#[derive(Clone, Copy, Debug)]
pub struct FlowOptions {
    /// How long a backend server may take to begin its answer.
    pub head_timeout_ms: Millisecond,
    /// Longest silence within a streamed answer.
    pub stall_timeout_ms: Millisecond,
    /// Time kept back at the end of a leaving server's life.
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

/// What all relays of one daemon share.
pub struct Flow {
    /// Calls to backend servers.
    pub backend: Arc<dyn Backend>,
    /// The choice among them.
    pub backends: Backends,
    /// Streams that leave their servers together.
    pub reclaims: Reclaims,
    /// Retry budgets of the services.
    pub retries: Retries,
    /// Requests that may crash their backend servers.
    pub suspicion: Suspicion,
    /// Records of accepted requests.
    pub store: Store,
    /// The request's state chart.
    pub chart: Arc<Chart>,
    /// The process's clock.
    pub clock: Clock,
    /// Whether streams must stop.
    pub drain: watch::Receiver<Drain>,
    /// Bounds.
    pub options: FlowOptions,
}
