//! Buys and releases VMs as `policy::place` decides.
//!
//! Every entry VM tries to get the lease, and only its holder decides. Before it acts, the holder
//! writes its state on condition that the row still has the version that it read, so the write of
//! a holder that lost the lease fails. It also checks the lease directly before each order. Orders
//! carry idempotency tokens, so repeating one buys nothing twice.

mod input;
mod round;
mod store;

pub use input::PlacementSnapshot;
pub use round::Round;

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::units::Millisecond;
use fleet::lease::LeaseTerms;
use fleet::{Fleet, LeaseHolder};
use outside::{Cloud, Table};
use policy::place::PlaceConfig;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;

use crate::flow::Flow;
use crate::state::DaemonState;

const LEASE_NAME: &str = "placement";

/// Time between two placement rounds.
const ROUND_INTERVAL_MS: Millisecond = 5_000;

/// The settings and dependencies of a daemon's placement.
pub struct PlacementOptions {
    /// Name of this entry VM.
    pub node: Name,
    /// Stores the lease and the placement state.
    pub table: Arc<dyn Table>,
    /// Sells VMs.
    pub cloud: Arc<dyn Cloud>,
    /// Source of the VM list and the fleet's demand.
    pub fleet: Arc<Fleet>,
    /// Source of the configuration.
    pub daemon: Arc<DaemonState>,
    /// Source of the view of backend servers.
    pub flow: Arc<Flow>,
    /// Seed of random delays and of the tokens of orders.
    pub seed: u64,
}

/// The handle of a daemon's running placement.
pub struct Placement {
    lease: LeaseHolder,
    task: JoinHandle<()>,
}

impl Placement {
    /// Starts to compete for the lease, and to run placement rounds while holding it.
    pub fn spawn(options: PlacementOptions) -> Self {
        let lease = LeaseHolder::spawn(
            LEASE_NAME,
            options.node.clone(),
            options.table.clone(),
            LeaseTerms::default(),
        );
        let mut round = Round {
            lease: lease.handle(),
            rng: StdRng::seed_from_u64(options.seed),
            config: PlaceConfig::default(),
            table: options.table.clone(),
            cloud: options.cloud.clone(),
        };
        let task = tokio::spawn(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(ROUND_INTERVAL_MS));
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                round.run(|state| input::snapshot(&options, state)).await;
            }
        });
        Self { lease, task }
    }

    /// Stops the placement rounds and releases the lease.
    pub async fn close(self) {
        self.task.abort();
        self.lease.close().await;
    }
}
