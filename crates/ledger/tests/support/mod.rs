//! In-memory table with injected faults, and constructors for test data.

#![allow(dead_code)]

pub mod age_takeover;
pub mod simulation;

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use base::ids::RequestId;
use bytes::Bytes;
use ledger::{Fingerprint, Ledger, Options, Record, Scope, StoredResult};
use outside::{CommitError, Condition, Key, ReadError, Row, Table, Write};

/// Fault injected into one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The store rejects the operation.
    Rejected,
    /// The connection breaks before the write is applied.
    RequestLost,
    /// The connection breaks after the write is applied.
    ResponseLost,
    /// The connection breaks; the write is applied by [`FakeTable::apply_delayed`].
    AppliedLate,
    /// The operation never returns, and the write is not applied.
    Hang,
    /// The operation never returns, although the write is applied.
    HangAfterApply,
}

#[derive(Default)]
struct Inner {
    rows: BTreeMap<Key, Row>,
    commit_faults: VecDeque<Fault>,
    read_faults: VecDeque<Fault>,
    fault_of_all: Option<Fault>,
    delayed: Vec<Vec<Write>>,
    commits: u32,
    reads: u32,
}

/// In-memory table; clones share their rows.
#[derive(Clone, Default)]
pub struct FakeTable(Arc<Mutex<Inner>>);

impl FakeTable {
    pub fn fail_commits(&self, faults: &[Fault]) {
        self.0.lock().unwrap().commit_faults = faults.iter().copied().collect();
    }

    pub fn fail_reads(&self, faults: &[Fault]) {
        self.0.lock().unwrap().read_faults = faults.iter().copied().collect();
    }

    pub fn fail_all(&self, fault: Option<Fault>) {
        self.0.lock().unwrap().fault_of_all = fault;
    }

    /// Applies the delayed commits whose conditions still hold, and returns their number.
    pub fn apply_delayed(&self) -> usize {
        let mut inner = self.0.lock().unwrap();
        let delayed = std::mem::take(&mut inner.delayed);
        delayed
            .into_iter()
            .filter(|writes| apply(&mut inner.rows, writes).is_ok())
            .count()
    }

    /// Numbers of commits and reads so far.
    pub fn operations(&self) -> (u32, u32) {
        let inner = self.0.lock().unwrap();
        (inner.commits, inner.reads)
    }

    pub fn record(&self, key: &Key) -> Option<Record> {
        let inner = self.0.lock().unwrap();
        inner
            .rows
            .get(key)
            .and_then(|row| Record::decode(&row.body))
    }

    pub fn overwrite(&self, key: &Key, body: &str) {
        let mut inner = self.0.lock().unwrap();
        inner.rows.get_mut(key).unwrap().body = body.into();
    }
}

/// Applies all writes if every condition holds; otherwise applies none.
pub fn apply(rows: &mut BTreeMap<Key, Row>, writes: &[Write]) -> Result<(), CommitError> {
    for write in writes {
        let (Write::Put { key, condition, .. }
        | Write::Delete { key, condition }
        | Write::Check { key, condition }) = write;
        let version = rows.get(key).map(|row| row.version);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => version.is_none(),
            Condition::VersionIs(wanted) => version == Some(*wanted),
        };
        if !holds {
            return Err(CommitError::Conflict);
        }
    }
    for write in writes {
        match write {
            Write::Put { key, body, .. } => {
                let version = rows.get(key).map_or(1, |row| row.version + 1);
                let row = Row {
                    key: key.clone(),
                    body: body.clone(),
                    version,
                };
                rows.insert(key.clone(), row);
            }
            Write::Delete { key, .. } => {
                rows.remove(key);
            }
            Write::Check { .. } => {}
        }
    }
    Ok(())
}

fn unknown_outcome() -> CommitError {
    CommitError::Unknown {
        reason: "injected fault".into(),
    }
}

#[async_trait]
impl Table for FakeTable {
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        let (fault, row) = {
            let mut inner = self.0.lock().unwrap();
            inner.reads += 1;
            let scripted = inner.read_faults.pop_front();
            let fault = inner.fault_of_all.or(scripted).unwrap_or(Fault::None);
            (fault, inner.rows.get(key).cloned())
        };
        match fault {
            Fault::None => Ok(row),
            Fault::Hang | Fault::HangAfterApply => std::future::pending().await,
            _ => Err(ReadError {
                reason: "injected fault".into(),
            }),
        }
    }

    async fn scan(&self, partition: &str, after: &str, limit: u32) -> Result<Vec<Row>, ReadError> {
        let inner = self.0.lock().unwrap();
        let rows = inner.rows.values();
        let rows =
            rows.filter(|row| row.key.partition == partition && row.key.sort.as_str() > after);
        Ok(rows.take(limit as usize).cloned().collect())
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        let (fault, applied) = {
            let mut inner = self.0.lock().unwrap();
            inner.commits += 1;
            let scripted = inner.commit_faults.pop_front();
            let fault = inner.fault_of_all.or(scripted).unwrap_or(Fault::None);
            let applied = match fault {
                Fault::None | Fault::ResponseLost | Fault::HangAfterApply => {
                    apply(&mut inner.rows, &writes)
                }
                Fault::AppliedLate => {
                    inner.delayed.push(writes);
                    Err(unknown_outcome())
                }
                _ => Err(unknown_outcome()),
            };
            (fault, applied)
        };
        match fault {
            Fault::None => applied,
            Fault::Rejected => Err(CommitError::NotApplied {
                reason: "injected fault".into(),
            }),
            Fault::Hang | Fault::HangAfterApply => std::future::pending().await,
            _ => Err(unknown_outcome()),
        }
    }
}

pub fn ledger(table: &FakeTable, vm: &str, seed: u64) -> Ledger {
    let table = Arc::new(table.clone());
    let mut options = Options::new(vm.into(), seed);
    options.result_limit_bytes = 64;
    Ledger::open(table, options)
}

pub fn scope(workspace: &str, key: &str) -> Scope {
    Scope {
        workspace: workspace.into(),
        service: "filing".into(),
        key: key.parse().unwrap(),
    }
}

pub fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of("POST", "/file", |_| None, body.as_bytes())
}

pub fn result(body: &str) -> StoredResult {
    StoredResult {
        status: 200,
        headers: vec![],
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

pub fn request(number: u128) -> RequestId {
    RequestId::from(number)
}
