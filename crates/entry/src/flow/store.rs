//! The records of one entry VM, bounded in number and age.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Map;
use base::ids::RequestId;
use base::units::Millisecond;

use super::record::{Progress, Record, SharedRecord};

/// Bounds of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreOptions {
    /// Records kept after their stream has ended or been suspended.
    pub idle_records_max: usize,
    /// Age from which an idle record is dropped, at the next time that a record becomes idle.
    pub retain_ms: Millisecond,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            idle_records_max: 4_096,
            retain_ms: 60_000,
        }
    }
}

#[derive(Default)]
struct Inner {
    records: Map<RequestId, SharedRecord>,
    idle: VecDeque<IdleEntry>,
}

struct IdleEntry {
    id: RequestId,
    epoch: u64,
    since_ms: Millisecond,
}

/// Records by request id.
pub struct Store {
    options: StoreOptions,
    inner: Mutex<Inner>,
}

/// The error for a request id that another record has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdInUse;

impl Store {
    /// Creates an empty store.
    pub fn open(options: StoreOptions) -> Self {
        Self {
            options,
            inner: Mutex::default(),
        }
    }

    /// Adds a new record.
    ///
    /// # Errors
    ///
    /// Returns [`IdInUse`] if there is a record with this id.
    pub fn insert(&self, record: Record) -> Result<SharedRecord, IdInUse> {
        let id = record.id;
        let shared = SharedRecord::new(record);
        let mut inner = self.lock();
        if inner.records.contains_key(&id) {
            return Err(IdInUse);
        }
        inner.records.insert(id, shared.clone());
        Ok(shared)
    }

    /// Adds a record handed over by a peer, unless the store has it with the same or a newer epoch.
    pub fn adopt(&self, record: Record, now_ms: Millisecond) {
        let id = record.id;
        let epoch = record.epoch;
        {
            let mut inner = self.lock();
            if let Some(held) = inner.records.get(&id)
                && held.lock().epoch >= epoch
            {
                return;
            }
            inner.records.insert(id, SharedRecord::new(record));
        }
        self.set_idle(id, epoch, now_ms);
    }

    pub fn find(&self, id: RequestId) -> Option<SharedRecord> {
        self.lock().records.get(&id).cloned()
    }

    /// Removes a record.
    pub fn remove(&self, id: RequestId) {
        self.lock().records.remove(&id);
    }

    /// Marks a record idle after the relay of `epoch` has ended, and drops idle records that are
    /// over the limits of number and age.
    pub fn set_idle(&self, id: RequestId, epoch: u64, now_ms: Millisecond) {
        let mut inner = self.lock();
        inner.idle.push_back(IdleEntry {
            id,
            epoch,
            since_ms: now_ms,
        });
        while inner.idle.len() > self.options.idle_records_max {
            drop_oldest(&mut inner);
        }
        while let Some(oldest) = inner.idle.front() {
            if now_ms.saturating_sub(oldest.since_ms) < self.options.retain_ms {
                break;
            }
            drop_oldest(&mut inner);
        }
    }

    /// All records whose answer is not complete.
    pub fn open_records(&self) -> Vec<SharedRecord> {
        let inner = self.lock();
        let mut open = Vec::new();
        for record in inner.records.values() {
            if record.lock().progress == Progress::Open {
                open.push(record.clone());
            }
        }
        open
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.lock().records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn drop_oldest(inner: &mut Inner) {
    let Some(entry) = inner.idle.pop_front() else {
        return;
    };
    let Some(record) = inner.records.get(&entry.id) else {
        return;
    };
    let resumed_since = record.lock().epoch != entry.epoch;
    if resumed_since {
        return;
    }
    inner.records.remove(&entry.id);
}
