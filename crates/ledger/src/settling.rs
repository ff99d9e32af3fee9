//! Decides how an outcome is written into a call's row: state and event in, next action out.
//!
//! A row is never deleted, so its version only grows and a late write of an earlier owner cannot
//! match it.

use outside::{CommitError, Condition, Key, Row, Write};

use crate::record::{Progress, Record};

/// What the owner knows of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownRow {
    /// The claim stands at this version.
    ClaimedAt(u64),
    /// The claim or an earlier settling had no answer.
    Unread,
}

/// Where the settling stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettlingState {
    /// The outcome is being written.
    Writing,
    /// The row is being read.
    Reading,
    /// The end has been reported.
    Finished,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The commit took effect.
    Committed,
    /// The commit did not, or is not known to have.
    CommitFailed(CommitError),
    /// The row as read.
    Row(Option<Row>),
    /// The read gave no answer, or the store is down.
    StoreDown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Commit this.
    Commit(Write),
    /// Read the row.
    Read(Key),
    /// The settling is over.
    Finish(SettlingResult),
}

/// How a settling ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettlingResult {
    /// The outcome is recorded, or the row needs none.
    Recorded,
    /// To be tried again when the store answers, from [`KnownRow::Unread`].
    TryAgain,
    /// The row belongs to another call although this one ran: a fault of the table or of a person.
    Lost,
}

/// The outcome of one call on its way into the row.
#[derive(Clone, Debug)]
pub struct Settling {
    key: Key,
    outcome: Record,
}

impl Settling {
    /// Settling of `outcome`, whose owner is the claim's.
    pub fn new(key: Key, outcome: Record) -> Self {
        Self { key, outcome }
    }

    /// First state and action.
    pub fn start(&self, known_row: KnownRow) -> (SettlingState, Action) {
        match known_row {
            KnownRow::ClaimedAt(version) => self.write(Condition::VersionIs(version)),
            KnownRow::Unread => self.read(),
        }
    }

    /// Next state and action.
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

    /// Result when the row is another call's: harmless if this call sent nothing.
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
