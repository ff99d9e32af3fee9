//! Buying and returning VMs: the shell of `policy::place`.
//!
//! Every entry VM tries to hold the lease; the holder alone decides. It stores its state under the
//! version that it read before it acts, so a holder that was overtaken fails at the store, and it
//! asks for its right again directly before each order. Tokens make a repeated order harmless.

mod input;
mod round;
mod store;

pub use input::Facts;
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
use crate::state::Standing;

/// Name of the lease.
const LEASE: &str = "placement";

/// Time between two decisions.
const ROUND_MS: Millisecond = 5_000;

/// What the placement of one daemon works with.
pub struct PlacementOptions {
    /// This entry VM.
    pub node: Name,
    /// Where lease and state are kept.
    pub table: Arc<dyn Table>,
    /// Where VMs are bought.
    pub cloud: Arc<dyn Cloud>,
    /// What the fleet knows.
    pub fleet: Arc<Fleet>,
    /// The configuration and this entry VM's demand.
    pub standing: Arc<Standing>,
    /// The view of backend servers.
    pub flow: Arc<Flow>,
    /// Seed of delays and nonces.
    pub seed: u64,
}

/// The running placement of one daemon.
pub struct Placement {
    lease: LeaseHolder,
    task: JoinHandle<()>,
}

impl Placement {
    /// Starts to try for the lease, and to decide while it is held.
    pub fn spawn(options: PlacementOptions) -> Self {
        let lease = LeaseHolder::spawn(
            LEASE,
            options.node.clone(),
            options.table.clone(),
            LeaseTerms::default(),
            options.seed,
        );
        let mut round = Round {
            right: lease.handle(),
            rng: StdRng::seed_from_u64(options.seed),
            config: PlaceConfig::default(),
            table: options.table.clone(),
            cloud: options.cloud.clone(),
        };
        let task = tokio::spawn(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(ROUND_MS));
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                round.run(|state| input::facts(&options, state)).await;
            }
        });
        Self { lease, task }
    }

    /// Stops deciding and frees the lease.
    pub async fn close(self) {
        self.task.abort();
        self.lease.close().await;
    }
}
