//! Table rows in memory, with faults of commits.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;

use outside::{CommitError, Condition, Key, Row, Write};

/// What happens to a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Clean,
    Refused,
    AppliedAnswerLost,
    AppliedLater,
    Vanished,
}

#[derive(Debug, Default)]
pub struct Rows {
    pub rows: BTreeMap<Key, Row>,
    late: Vec<Vec<Write>>,
}

fn unknown() -> CommitError {
    CommitError::Unknown {
        reason: "connection reset".to_owned(),
    }
}

impl Rows {
    pub fn get(&self, key: &Key) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    pub fn commit(&mut self, writes: Vec<Write>, fate: Fate) -> Result<(), CommitError> {
        match fate {
            Fate::Clean => self.apply(writes),
            Fate::Refused => Err(CommitError::NotApplied {
                reason: "refused".to_owned(),
            }),
            Fate::AppliedAnswerLost => {
                let _ = self.apply(writes);
                Err(unknown())
            }
            Fate::AppliedLater => {
                self.late.push(writes);
                Err(unknown())
            }
            Fate::Vanished => Err(unknown()),
        }
    }

    /// Applies the delayed commit at `index`, if its conditions hold by now.
    pub fn apply_late(&mut self, index: usize) {
        if index < self.late.len() {
            let writes = self.late.remove(index);
            let _ = self.apply(writes);
        }
    }

    fn apply(&mut self, writes: Vec<Write>) -> Result<(), CommitError> {
        let holds = |key: &Key, condition: &Condition| {
            let version = self.rows.get(key).map(|row| row.version);
            match condition {
                Condition::Any => true,
                Condition::Absent => version.is_none(),
                Condition::VersionIs(wanted) => version == Some(*wanted),
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
