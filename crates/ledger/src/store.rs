//! The table with a time bound on each operation and a short circuit while it is down.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::units::Millisecond;
use events::Code;
use outside::{CommitError, Key, ReadError, Row, Table, Write};
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::health::{self, Action, Health, Seen};

/// Whether the store is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It is asked.
    Up,
    /// It is known not to answer.
    Down,
}

struct Belief {
    health: Health,
    rng: SmallRng,
    probe_delay_ms: Millisecond,
}

/// The guarded table.
pub struct Store {
    table: Arc<dyn Table>,
    timeout_ms: Millisecond,
    belief: Mutex<Belief>,
    reach: watch::Sender<Reach>,
    probe: Notify,
}

#[derive(Serialize)]
struct StoreDown {
    seen: String,
}

#[derive(Serialize)]
struct StoreUp {}

impl Store {
    /// Guards `table`; each operation ends within `timeout_ms`.
    pub fn new(table: Arc<dyn Table>, timeout_ms: Millisecond, rng: SmallRng) -> Self {
        Self {
            table,
            timeout_ms,
            belief: Mutex::new(Belief {
                health: health::START,
                rng,
                probe_delay_ms: 0,
            }),
            reach: watch::Sender::new(Reach::Up),
            probe: Notify::new(),
        }
    }

    /// Whether the store is asked at present.
    pub fn reach(&self) -> Reach {
        *self.reach.borrow()
    }

    /// Commits; an answer that does not come, or that an outage overtakes, is a lost one.
    pub async fn commit(&self, write: Write) -> Result<(), CommitError> {
        if self.reach() == Reach::Down {
            let reason = "the store is known to be down".to_string();
            return Err(CommitError::NotApplied { reason });
        }
        let commit = self.table.commit(vec![write]);
        let Some(result) = self.within_bounds(commit).await else {
            let reason = "no answer in time".to_string();
            return Err(CommitError::Unknown { reason });
        };
        self.see(match &result {
            Ok(()) | Err(CommitError::Conflict) => Seen::Answer,
            Err(CommitError::NotApplied { .. } | CommitError::Unknown { .. }) => Seen::Failure,
        });
        result
    }

    /// Reads a row.
    pub async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        let Some(result) = self.within_bounds(self.table.get(key)).await else {
            let reason = "no answer in time".to_string();
            return Err(ReadError { reason });
        };
        self.see(match &result {
            Ok(_) => Seen::Answer,
            Err(_) => Seen::Failure,
        });
        result
    }

    /// Reads a page of a partition.
    pub async fn scan(
        &self,
        partition: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Row>, ReadError> {
        let scan = self.table.scan(partition, after, limit);
        match self.within_bounds(scan).await {
            Some(result) => result,
            None => Err(ReadError {
                reason: "no answer in time".to_string(),
            }),
        }
    }

    /// Waits until the store is asked again.
    pub async fn until_up(&self) {
        let mut reach = self.reach.subscribe();
        let _ = reach.wait_for(|reach| *reach == Reach::Up).await;
    }

    /// Probes the store whenever it is down; never returns.
    pub async fn probe_forever(&self) {
        let key = Key::new("ledger-probe", "probe");
        loop {
            self.probe.notified().await;
            while self.reach() == Reach::Down {
                sleep(Duration::from_millis(self.probe_delay_ms())).await;
                let answer = timeout(self.bound(), self.table.get(&key)).await;
                self.see(match answer {
                    Ok(Ok(_)) => Seen::Answer,
                    _ => Seen::FailedProbe,
                });
            }
        }
    }

    /// Result of an operation; `None` when the store is down, is found down meanwhile, or takes
    /// too long.
    async fn within_bounds<T>(&self, operation: impl Future<Output = T>) -> Option<T> {
        let mut reach = self.reach.subscribe();
        tokio::select! {
            biased;
            _ = reach.wait_for(|reach| *reach == Reach::Down) => None,
            result = timeout(self.bound(), operation) => {
                if result.is_err() {
                    self.see(Seen::Silence);
                }
                result.ok()
            }
        }
    }

    fn see(&self, seen: Seen) {
        let mut belief = self.belief.lock().expect("no panic while held");
        let belief = &mut *belief;
        let (health, action) = health::step(belief.health, seen, &mut belief.rng);
        belief.health = health;
        let reach = match health {
            Health::Up { .. } => Reach::Up,
            Health::Down { .. } => Reach::Down,
        };
        if let Action::ProbeAfter { delay_ms } = action {
            belief.probe_delay_ms = delay_ms;
            self.probe.notify_one();
        }
        if self.reach.send_replace(reach) == reach {
            return;
        }
        match reach {
            Reach::Up => events::emit(Code::LedgerStoreUp, &StoreUp {}),
            Reach::Down => {
                let seen = format!("{seen:?}").to_lowercase();
                events::emit(Code::LedgerStoreDown, &StoreDown { seen });
            }
        }
    }

    fn probe_delay_ms(&self) -> Millisecond {
        self.belief
            .lock()
            .expect("no panic while held")
            .probe_delay_ms
    }

    fn bound(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
