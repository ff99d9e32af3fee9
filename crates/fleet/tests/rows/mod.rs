//! In-memory table rows with injected commit faults.

// Each test binary uses only some of the items.
#![allow(dead_code)]

use std::collections::BTreeMap;

use outside::revision::{pack, restorations_of, version_of};
use outside::{CommitError, Condition, Key, Row, Write};

/// Fault injected into a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitFault {
    None,
    Refused,
    AppliedAnswerLost,
    AppliedLater,
    Lost,
}

#[derive(Debug, Default)]
pub struct Rows {
    pub rows: BTreeMap<Key, Row>,
    delayed: Vec<Vec<Write>>,
    restorations: u64,
}

fn unknown() -> CommitError {
    CommitError::Unknown {
        reason: "connection reset".to_owned(),
    }
}

impl Rows {
    /// The row, with its version as [`outside::revision`] tells those of restored stores apart.
    pub fn get(&self, key: &Key) -> Option<Row> {
        let row = self.rows.get(key)?.clone();
        let version = pack(self.restorations + 1, row.version);
        Some(Row { version, ..row })
    }

    pub fn commit(&mut self, writes: Vec<Write>, fault: CommitFault) -> Result<(), CommitError> {
        let is_of_other_store = writes.iter().any(|write| {
            let version = match write.condition() {
                Condition::VersionIs(version) => version,
                Condition::Any | Condition::Absent => return false,
            };
            restorations_of(version) != self.restorations
        });
        if is_of_other_store {
            return Err(CommitError::Conflict);
        }
        match fault {
            CommitFault::None => self.apply(writes),
            CommitFault::Refused => Err(CommitError::NotApplied {
                reason: "refused".to_owned(),
            }),
            CommitFault::AppliedAnswerLost => {
                let _ = self.apply(writes);
                Err(unknown())
            }
            CommitFault::AppliedLater => {
                self.delayed.push(writes);
                Err(unknown())
            }
            CommitFault::Lost => Err(unknown()),
        }
    }

    /// Replaces all rows by those of an earlier copy. Commits that are delayed still arrive.
    pub fn restore(&mut self, copy: BTreeMap<Key, Row>) {
        self.rows = copy;
        self.restorations += 1;
    }

    /// Number of times that the rows were replaced by those of an earlier copy.
    pub fn restorations(&self) -> u64 {
        self.restorations
    }

    /// Applies the delayed commit at `index`, if there is one and its conditions still hold.
    pub fn apply_delayed(&mut self, index: usize) {
        if index < self.delayed.len() {
            let writes = self.delayed.remove(index);
            let _ = self.apply(writes);
        }
    }

    fn apply(&mut self, writes: Vec<Write>) -> Result<(), CommitError> {
        let holds = |key: &Key, condition: &Condition| {
            let version = self.rows.get(key).map(|row| row.version);
            match condition {
                Condition::Any => true,
                Condition::Absent => version.is_none(),
                Condition::VersionIs(wanted) => version == Some(version_of(*wanted)),
            }
        };
        for write in &writes {
            let (Write::Put { key, condition, .. }
            | Write::Delete { key, condition }
            | Write::Check { key, condition }) = write;
            if !holds(key, condition) {
                return Err(CommitError::Conflict);
            }
        }
        for write in writes {
            match write {
                Write::Put { key, body, .. } => {
                    let version = self.rows.get(&key).map_or(1, |row| row.version + 1);
                    let row = Row {
                        key: key.clone(),
                        body,
                        version,
                    };
                    self.rows.insert(key, row);
                }
                Write::Delete { key, .. } => {
                    self.rows.remove(&key);
                }
                Write::Check { .. } => {}
            }
        }
        Ok(())
    }
}
