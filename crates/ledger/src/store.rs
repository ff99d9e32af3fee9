//! Table client with a timeout for each operation and a circuit breaker.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::units::Millisecond;
use events::Code;
use outside::{CommitError, Key, ReadError, Row, Table, Write};
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::health::{self, Action, Health, Observation};

/// Availability of the store according to the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Up,
    /// Calls are refused without a request to the store; only probes are sent.
    Down,
}

struct Breaker {
    health: Health,
    rng: SmallRng,
    probe_delay_ms: Millisecond,
}

/// Table service behind timeouts and a circuit breaker.
pub struct Store {
    table: Arc<dyn Table>,
    timeout_ms: Millisecond,
    breaker: Mutex<Breaker>,
    availability: watch::Sender<Availability>,
    probe: Notify,
}

#[derive(Serialize)]
struct StoreDownEvent {
    seen: String,
}

#[derive(Serialize)]
struct StoreUpEvent {}

impl Store {
    /// Wraps `table`; each operation ends within `timeout_ms`.
    pub fn new(table: Arc<dyn Table>, timeout_ms: Millisecond, rng: SmallRng) -> Self {
        Self {
            table,
            timeout_ms,
            breaker: Mutex::new(Breaker {
                health: health::INITIAL_HEALTH,
                rng,
                probe_delay_ms: 0,
            }),
            availability: watch::Sender::new(Availability::Up),
            probe: Notify::new(),
        }
    }

    pub fn availability(&self) -> Availability {
        *self.availability.borrow()
    }

    /// Commits a write. If the write times out, or the store goes down before it responds, the
    /// effect of the write is unknown.
    pub async fn commit(&self, write: Write) -> Result<(), CommitError> {
        if self.availability() == Availability::Down {
            let reason = "the store is down; the write is not sent".to_string();
            return Err(CommitError::NotApplied { reason });
        }
        let commit = self.table.commit(vec![write]);
        let Some(result) = self.run_bounded(commit).await else {
            let reason = "the store is down or does not respond in time".to_string();
            return Err(CommitError::Unknown { reason });
        };
        self.observe(match &result {
            Ok(()) | Err(CommitError::Conflict) => Observation::Answer,
            Err(CommitError::NotApplied { .. } | CommitError::Unknown { .. }) => {
                Observation::Failure
            }
        });
        result
    }

    pub async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        let Some(result) = self.run_bounded(self.table.get(key)).await else {
            let reason = "the store is down or does not respond in time".to_string();
            return Err(ReadError { reason });
        };
        self.observe(match &result {
            Ok(_) => Observation::Answer,
            Err(_) => Observation::Failure,
        });
        result
    }

    /// Reads up to `limit` rows of a partition whose sort keys are greater than `after`.
    pub async fn scan(
        &self,
        partition: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Row>, ReadError> {
        let scan = self.table.scan(partition, after, limit);
        match self.run_bounded(scan).await {
            Some(result) => result,
            None => Err(ReadError {
                reason: "the store is down or does not respond in time".to_string(),
            }),
        }
    }

    /// Waits until the store counts as up.
    pub async fn until_up(&self) {
        let mut availability = self.availability.subscribe();
        let _ = availability
            .wait_for(|availability| *availability == Availability::Up)
            .await;
    }

    /// Probes the store while it is down; never returns.
    pub async fn probe_forever(&self) {
        let key = Key::new("ledger-probe", "probe");
        loop {
            self.probe.notified().await;
            while self.availability() == Availability::Down {
                sleep(Duration::from_millis(self.probe_delay_ms())).await;
                let answer = timeout(self.operation_timeout(), self.table.get(&key)).await;
                self.observe(match answer {
                    Ok(Ok(_)) => Observation::Answer,
                    _ => Observation::FailedProbe,
                });
            }
        }
    }

    /// Runs an operation. Returns `None` if the store is down, goes down before the operation ends,
    /// or does not respond within the timeout.
    async fn run_bounded<T>(&self, operation: impl Future<Output = T>) -> Option<T> {
        let mut availability = self.availability.subscribe();
        tokio::select! {
            biased;
            _ = availability.wait_for(|availability| *availability == Availability::Down) => None,
            result = timeout(self.operation_timeout(), operation) => {
                if result.is_err() {
                    self.observe(Observation::Silence);
                }
                result.ok()
            }
        }
    }

    fn observe(&self, observation: Observation) {
        let mut breaker = self.breaker.lock().expect("not poisoned");
        let breaker = &mut *breaker;
        let (health, action) = health::step(breaker.health, observation, &mut breaker.rng);
        breaker.health = health;
        let availability = match health {
            Health::Up { .. } => Availability::Up,
            Health::Down { .. } => Availability::Down,
        };
        if let Action::ProbeAfter { delay_ms } = action {
            breaker.probe_delay_ms = delay_ms;
            self.probe.notify_one();
        }
        if self.availability.send_replace(availability) == availability {
            return;
        }
        match availability {
            Availability::Up => events::emit(Code::LedgerStoreUp, &StoreUpEvent {}),
            Availability::Down => {
                let seen = format!("{observation:?}").to_lowercase();
                events::emit(Code::LedgerStoreDown, &StoreDownEvent { seen });
            }
        }
    }

    fn probe_delay_ms(&self) -> Millisecond {
        self.breaker.lock().expect("not poisoned").probe_delay_ms
    }

    fn operation_timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
