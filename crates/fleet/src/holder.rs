//! A task that acquires a lease and renews it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::Name;
use base::units::Millisecond;
use events::Code;
use outside::Table;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::lease::{GrantEvidence, Lease, LeaseAction, LeasePermit, LeaseTerms, Nonce};
use crate::store::{commit_rows, get_row};

/// Interval at which the lease is checked.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Task that acquires and renews a lease for this node.
pub struct LeaseHolder {
    shared: Arc<Shared>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Cloneable handle that tells whether a [`LeaseHolder`] holds its lease.
#[derive(Clone)]
pub struct LeaseHandle {
    shared: Arc<Shared>,
}

struct Shared {
    /// Set while the lease is not to be acquired; the table is not read then.
    acquisition_paused: AtomicBool,
    name: String,
    table: Arc<dyn Table>,
    clock: Clock,
    lease: Mutex<Lease>,
}

#[derive(Serialize)]
struct LeaseFields<'a> {
    lease: &'a str,
    fence: Option<u64>,
    #[serde(flatten)]
    acquisition: Option<AcquisitionFields>,
}

#[derive(Serialize)]
struct AcquisitionFields {
    evidence: GrantEvidence,
    nonce: Nonce,
    write_age_ms: Millisecond,
}

impl LeaseHolder {
    /// Starts the task for the lease `name`.
    pub fn spawn(name: &str, node: Name, table: Arc<dyn Table>, terms: LeaseTerms) -> Self {
        let shared = Arc::new(Shared {
            acquisition_paused: AtomicBool::new(false),
            name: name.to_owned(),
            table,
            clock: Clock::start(),
            lease: Mutex::new(Lease::new(name, node, terms)),
        });
        let stop = CancellationToken::new();
        let task = tokio::spawn(run(shared.clone(), stop.clone()));
        Self { shared, stop, task }
    }

    /// Returns a handle, to be asked for a permit directly before each order.
    pub fn handle(&self) -> LeaseHandle {
        LeaseHandle {
            shared: self.shared.clone(),
        }
    }

    /// Pauses (`true`) or resumes (`false`) the acquisition of the lease. Saves reads of the table while
    /// another node is known to hold the lease or has precedence. A held lease is still renewed.
    pub fn pause_acquisition(&self, acquisition_paused: bool) {
        self.shared
            .acquisition_paused
            .store(acquisition_paused, Ordering::Relaxed);
    }

    /// Ends the task and releases the lease if it is held.
    pub async fn close(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

impl LeaseHandle {
    /// Permission to act now, if this node holds the lease.
    pub fn permit(&self) -> Option<LeasePermit> {
        self.shared.permit()
    }
}

impl Shared {
    fn permit(&self) -> Option<LeasePermit> {
        self.with_lease(|lease| lease.permit(self.clock.read()))
    }

    fn acquisition_fields(&self) -> Option<AcquisitionFields> {
        let acquisition = self.with_lease(|lease| lease.acquisition())?;
        let now_ms = self.clock.read().max_elapsed_ms;
        Some(AcquisitionFields {
            evidence: acquisition.evidence,
            nonce: acquisition.nonce,
            write_age_ms: now_ms.saturating_sub(acquisition.sent_ms),
        })
    }

    fn with_lease<T>(&self, act: impl FnOnce(&mut Lease) -> T) -> T {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut lease)
    }

    fn with_restorations_noted<T>(&self, act: impl FnOnce(&mut Lease) -> T) -> T {
        let restorations = self.table.restorations();
        self.with_lease(|lease| {
            lease.note_restorations(restorations);
            act(lease)
        })
    }

    async fn carry_out(&self, mut next: Option<LeaseAction>) {
        while let Some(action) = next {
            next = match action {
                LeaseAction::Read(key) => {
                    let row = get_row(&*self.table, &key).await;
                    let now = self.clock.read();
                    self.with_restorations_noted(|lease| lease.on_row(row, now))
                }
                LeaseAction::Commit(write) => {
                    let result = commit_rows(&*self.table, vec![write]).await;
                    self.with_restorations_noted(|lease| lease.on_commit(result))
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
            acquisition: after.and_then(|_| self.acquisition_fields()),
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
            let action = shared.with_lease(|lease| lease.tick(now));
            shared.carry_out(action).await;
        }
        shared.report(known);
        known = shared.permit();
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
        }
    }
    let release = shared.with_lease(Lease::release);
    if let Some(LeaseAction::Commit(write)) = release {
        // If the release fails, others wait for one term. It is not retried, because reading the row
        // again could acquire the lease again.
        let _ = commit_rows(&*shared.table, vec![write]).await;
    }
}
