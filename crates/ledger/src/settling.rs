//! State machine that settles a call: it writes the outcome into the call's row.
//!
//! Rows are never deleted, so the version of a row only grows, and the condition of a delayed write
//! of an earlier owner cannot match any more.

use outside::{CommitError, Condition, Key, Row, Write};

use crate::record::{Progress, Record};

/// State of the row, as far as the owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownRow {
    /// The row holds the claim at this version.
    ClaimedAt(u64),
    /// The claim or an earlier settling may not have taken effect; the row must be read first.
    Unread,
}

/// State of a settling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettlingState {
    /// The outcome is being written.
    Writing,
    /// The row is being read.
    Reading,
    /// The result has been returned.
    Finished,
}

/// Result of a store operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect.
    Committed,
    /// The write did not take effect, or its effect is unknown.
    CommitFailed(CommitError),
    /// The read returned the row, or `None` if there is no row.
    Row(Option<Row>),
    /// The read failed, or the store is down.
    StoreDown,
}

/// Next action of a settling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Commit the outcome.
    Commit(Write),
    /// Read the row.
    Read(Key),
    /// Return the result; the settling is finished.
    Finish(SettlingResult),
}

/// Result of a settling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettlingResult {
    /// The outcome is recorded, or the row needs no update.
    Recorded,
    /// The store did not confirm the write. Retry later with [`KnownRow::Unread`].
    TryAgain,
    /// The row belongs to another call or was released, although this call may have run: the table
    /// lost a write, or someone changed the row by hand.
    Lost,
}

/// Settling of one call: the attempt to write its outcome.
#[derive(Clone, Debug)]
pub struct Settling {
    key: Key,
    outcome: Record,
}

impl Settling {
    /// Creates a settling that writes `outcome`, whose owner token must be that of the claim.
    pub fn new(key: Key, outcome: Record) -> Self {
        Self { key, outcome }
    }

    /// Returns the first state and action.
    pub fn start(&self, known_row: KnownRow) -> (SettlingState, Action) {
        match known_row {
            KnownRow::ClaimedAt(version) => self.write(Condition::VersionIs(version)),
            KnownRow::Unread => self.read(),
        }
    }

    /// Returns the next state and action after an event.
    pub fn step(&self, state: SettlingState, event: Event) -> (SettlingState, Action) {
        match (state, event) {
            (SettlingState::Writing, Event::Committed) => finish(SettlingResult::Recorded),
            (SettlingState::Writing, Event::CommitFailed(error)) => self.after_failed_write(error),
            (SettlingState::Reading, Event::Row(row)) => self.after_read(row),
            _ => finish(SettlingResult::TryAgain),
        }
    }

    fn after_failed_write(&self, error: CommitError) -> (SettlingState, Action) {
        match error {
            CommitError::Conflict | CommitError::Unknown { .. } => self.read(),
            CommitError::NotApplied { .. } => finish(SettlingResult::TryAgain),
        }
    }

    fn after_read(&self, row: Option<Row>) -> (SettlingState, Action) {
        let Some(row) = row else {
            return self.write(Condition::Absent);
        };
        let found = Record::decode(&row.body);
        let own_record = found.filter(|record| record.owner == self.outcome.owner);
        let Some(own_record) = own_record else {
            return finish(self.result_for_foreign_row());
        };
        match (&own_record.progress, &self.outcome.progress) {
            (Progress::Sending, _) => self.write(Condition::VersionIs(row.version)),
            (Progress::Unknown, Progress::Done { .. } | Progress::TooLarge { .. }) => {
                self.write(Condition::VersionIs(row.version))
            }
            (Progress::Released, wanted) if *wanted != Progress::Released => {
                finish(SettlingResult::Lost)
            }
            _ => finish(SettlingResult::Recorded),
        }
    }

    /// Result when the row belongs to another call, which is harmless if this call was not sent.
    fn result_for_foreign_row(&self) -> SettlingResult {
        match self.outcome.progress {
            Progress::Released => SettlingResult::Recorded,
            _ => SettlingResult::Lost,
        }
    }

    fn write(&self, condition: Condition) -> (SettlingState, Action) {
        let put = Write::Put {
            key: self.key.clone(),
            body: self.outcome.encode(),
            condition,
        };
        (SettlingState::Writing, Action::Commit(put))
    }

    fn read(&self) -> (SettlingState, Action) {
        (SettlingState::Reading, Action::Read(self.key.clone()))
    }
}

fn finish(result: SettlingResult) -> (SettlingState, Action) {
    (SettlingState::Finished, Action::Finish(result))
}
