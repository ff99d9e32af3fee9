//! A lease kept up by a task of its own.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::Name;
use events::Code;
use outside::Table;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::lease::{Lease, LeaseAction, LeasePermit, LeaseTerms};
use crate::store::{commit_rows, get_row};

/// Time between two looks at a lease.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// A lease that this node holds or tries to get.
pub struct LeaseHolder {
    shared: Arc<Shared>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Cheap access to the right of a [`LeaseHolder`].
#[derive(Clone)]
pub struct LeaseHandle {
    shared: Arc<Shared>,
}

struct Shared {
    /// Whether another node is heard to hold it, so that the table need not be asked.
    acquisition_paused: AtomicBool,
    name: String,
    table: Arc<dyn Table>,
    clock: Clock,
    lease: Mutex<Lease>,
    rng: Mutex<StdRng>,
}

#[derive(Serialize)]
struct LeaseFields<'a> {
    lease: &'a str,
    fence: Option<u64>,
}

impl LeaseHolder {
    /// Starts to look after the lease `name`.
    pub fn spawn(
        name: &str,
        node: Name,
        table: Arc<dyn Table>,
        terms: LeaseTerms,
        seed: u64,
    ) -> Self {
        let shared = Arc::new(Shared {
            acquisition_paused: AtomicBool::new(false),
            name: name.to_owned(),
            table,
            clock: Clock::start(),
            lease: Mutex::new(Lease::new(name, node, terms)),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        });
        let stop = CancellationToken::new();
        let task = tokio::spawn(run(shared.clone(), stop.clone()));
        Self { shared, stop, task }
    }

    /// Access to the right, to be asked directly before each order.
    pub fn handle(&self) -> LeaseHandle {
        LeaseHandle {
            shared: self.shared.clone(),
        }
    }

    /// Tells whether the table need not be asked for the lease, as another node is heard to hold it or
    /// comes first. A node that holds it is not bound by that.
    pub fn pause_acquisition(&self, acquisition_paused: bool) {
        self.shared
            .acquisition_paused
            .store(acquisition_paused, Ordering::Relaxed);
    }

    /// Ends the task and frees the lease if it is held.
    pub async fn close(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

impl LeaseHandle {
    /// The right to act now, if this node has it.
    pub fn permit(&self) -> Option<LeasePermit> {
        self.shared.permit()
    }
}

impl Shared {
    fn permit(&self) -> Option<LeasePermit> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.permit(self.clock.read())
    }

    fn with_lease<T>(&self, act: impl FnOnce(&mut Lease, &mut StdRng) -> T) -> T {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut lease, &mut rng)
    }

    async fn carry_out(&self, mut next: Option<LeaseAction>) {
        while let Some(action) = next {
            next = match action {
                LeaseAction::Read(key) => {
                    let row = get_row(&*self.table, &key).await;
                    let now = self.clock.read();
                    self.with_lease(|lease, rng| lease.on_row(row, now, rng))
                }
                LeaseAction::Commit(write) => {
                    let result = commit_rows(&*self.table, vec![write]).await;
                    self.with_lease(|lease, _| lease.on_commit(result))
                }
            };
        }
    }

    fn report(&self, before: Option<LeasePermit>) {
        let after = self.permit();
        let (before, after) = (before.map(|p| p.fence), after.map(|p| p.fence));
        if before == after {
            return;
        }
        let fields = LeaseFields {
            lease: &self.name,
            fence: after.or(before).map(|fence| fence.0),
        };
        match after {
            Some(_) => events::emit(Code::LeaseHeld, &fields),
            None => events::emit(Code::LeaseLost, &fields),
        }
    }
}

async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let mut known: Option<LeasePermit> = None;
    loop {
        if known.is_some() || !shared.acquisition_paused.load(Ordering::Relaxed) {
            let now = shared.clock.read();
            let action = shared.with_lease(|lease, rng| lease.tick(now, rng));
            shared.carry_out(action).await;
        }
        shared.report(known);
        known = shared.permit();
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
        }
    }
    let release = shared.with_lease(|lease, rng| lease.release(rng));
    if let Some(LeaseAction::Commit(write)) = release {
        // A release whose answer is lost costs others one term; reading back could take it again.
        let _ = commit_rows(&*shared.table, vec![write]).await;
    }
}
