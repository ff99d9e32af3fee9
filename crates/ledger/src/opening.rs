//! Decides whether a call may be sent: state and event in, next action out.
//!
//! A commit whose answer was lost may still land later. A read that does not show it proves nothing,
//! so the same conditional write is tried again: it lands once or not at all, and the owner token in
//! the row tells whose it was.

use outside::{CommitError, Condition, Key, Row, Write};

use crate::record::{Owner, Progress, Record, StoredResult};

/// Writes tried before the call is refused.
pub const WRITE_LIMIT: u32 = 4;

/// What the row must be for the claim to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Free {
    /// No row.
    Absent,
    /// A released row of this version.
    ReleasedAt(u64),
}

/// Whether a write of this call may still take effect unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// No write is outstanding.
    Settled,
    /// A write had no answer.
    MayLand,
}

/// Where the opening stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// A claim is being written.
    Writing {
        /// What it requires.
        free: Free,
        /// Whether an earlier write may still land.
        doubt: Doubt,
        /// Writes so far, this one included.
        writes: u32,
    },
    /// The row is being read.
    Reading {
        /// Whether a write may still land.
        doubt: Doubt,
        /// Writes so far.
        writes: u32,
    },
    /// The verdict has been given.
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
    /// The read gave no answer.
    ReadFailed,
    /// The store is down; an operation under way is given up.
    StoreDown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Commit this.
    Commit(Write),
    /// Read the row.
    Read(Key),
    /// Give the verdict.
    Answer(Verdict),
}

/// What the caller's request gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may be sent, once; the row has this version.
    Run {
        /// Version of the row.
        version: u64,
    },
    /// The call ran; this was its answer.
    Replay(StoredResult),
    /// The call ran; its answer was too large to keep.
    TooLarge,
    /// The call ran; its answer is no longer kept.
    Expired,
    /// Another request with this key was cleared to send and has recorded no outcome.
    InProgress {
        /// That request.
        owner: Owner,
    },
    /// The key was used for another call.
    Mismatch,
    /// The call may or may not have run.
    OutcomeUnknown,
    /// The row cannot be read.
    Damaged,
    /// This request was not sent and will not be: the store gave no verdict.
    Unavailable(Doubt),
}

/// A call being opened.
#[derive(Clone, Debug)]
pub struct Opening {
    key: Key,
    claim: Record,
}

impl Opening {
    /// Opening of the call whose claim is `claim`, with progress [`Progress::Sending`].
    pub fn new(key: Key, claim: Record) -> Self {
        Self { key, claim }
    }

    /// First state and action: the claim is written without a read before it.
    pub fn start(&self) -> (State, Action) {
        self.write(Free::Absent, Doubt::Settled, 0)
    }

    /// Next state and action.
    pub fn step(&self, state: State, event: Event) -> (State, Action) {
        match (state, event) {
            (State::Writing { free, .. }, Event::Committed) => answer(Verdict::Run {
                version: version_after(free),
            }),
            (State::Writing { doubt, writes, .. }, Event::CommitFailed(error)) => {
                self.after_failed_write(doubt, writes, error)
            }
            (State::Writing { .. }, _) => answer(Verdict::Unavailable(Doubt::MayLand)),
            (State::Reading { doubt, writes }, Event::Row(row)) => {
                self.after_read(doubt, writes, row)
            }
            (State::Reading { doubt, .. }, _) => answer(Verdict::Unavailable(doubt)),
            (State::Finished, _) => answer(Verdict::Unavailable(Doubt::MayLand)),
        }
    }

    fn after_failed_write(&self, doubt: Doubt, writes: u32, error: CommitError) -> (State, Action) {
        match error {
            CommitError::Conflict => self.read(doubt, writes),
            CommitError::NotApplied { .. } => answer(Verdict::Unavailable(doubt)),
            CommitError::Unknown { .. } => self.read(Doubt::MayLand, writes),
        }
    }

    fn after_read(&self, doubt: Doubt, writes: u32, row: Option<Row>) -> (State, Action) {
        let Some(row) = row else {
            return self.write(Free::Absent, doubt, writes);
        };
        let Some(record) = Record::decode(&row.body) else {
            return answer(Verdict::Damaged);
        };
        if record.progress == Progress::Released {
            return self.write(Free::ReleasedAt(row.version), doubt, writes);
        }
        answer(self.verdict(record, row.version))
    }

    fn verdict(&self, record: Record, version: u64) -> Verdict {
        if record.owner == self.claim.owner && record.progress == Progress::Sending {
            return Verdict::Run { version };
        }
        if record.fingerprint != self.claim.fingerprint {
            return Verdict::Mismatch;
        }
        match record.progress {
            Progress::Sending => Verdict::InProgress {
                owner: record.owner,
            },
            Progress::Done { result } => Verdict::Replay(result),
            Progress::TooLarge { .. } => Verdict::TooLarge,
            Progress::Unknown => Verdict::OutcomeUnknown,
            Progress::Expired => Verdict::Expired,
            Progress::Released => Verdict::Unavailable(Doubt::MayLand),
        }
    }

    fn write(&self, free: Free, doubt: Doubt, writes: u32) -> (State, Action) {
        if writes == WRITE_LIMIT {
            return answer(Verdict::Unavailable(doubt));
        }
        let put = Write::Put {
            key: self.key.clone(),
            body: self.claim.encode(),
            condition: condition(free),
        };
        let state = State::Writing {
            free,
            doubt,
            writes: writes + 1,
        };
        (state, Action::Commit(put))
    }

    fn read(&self, doubt: Doubt, writes: u32) -> (State, Action) {
        let state = State::Reading { doubt, writes };
        (state, Action::Read(self.key.clone()))
    }
}

fn answer(verdict: Verdict) -> (State, Action) {
    (State::Finished, Action::Answer(verdict))
}

fn condition(free: Free) -> Condition {
    match free {
        Free::Absent => Condition::Absent,
        Free::ReleasedAt(version) => Condition::VersionIs(version),
    }
}

fn version_after(free: Free) -> u64 {
    match free {
        Free::Absent => 1,
        Free::ReleasedAt(version) => version + 1,
    }
}
