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
pub enum ClaimCondition {
    /// No row.
    Absent,
    /// A released row of this version.
    ReleasedAt(u64),
}

/// Whether a write of this call may still take effect unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorWrites {
    /// No write is outstanding.
    Resolved,
    /// A write had no answer.
    MayLand,
}

/// Where the opening stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpeningState {
    /// A claim is being written.
    Writing {
        /// What it requires.
        claim_condition: ClaimCondition,
        /// Whether an earlier write may still land.
        prior_writes: PriorWrites,
        /// Writes so far, this one included.
        writes: u32,
    },
    /// The row is being read.
    Reading {
        /// Whether a write may still land.
        prior_writes: PriorWrites,
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
    Answer(OpeningDecision),
}

/// What the caller's request gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpeningDecision {
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
    Unavailable(PriorWrites),
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
    pub fn start(&self) -> (OpeningState, Action) {
        self.write(ClaimCondition::Absent, PriorWrites::Resolved, 0)
    }

    /// Next state and action.
    pub fn step(&self, state: OpeningState, event: Event) -> (OpeningState, Action) {
        match (state, event) {
            (
                OpeningState::Writing {
                    claim_condition, ..
                },
                Event::Committed,
            ) => answer(OpeningDecision::Run {
                version: version_after(claim_condition),
            }),
            (
                OpeningState::Writing {
                    prior_writes,
                    writes,
                    ..
                },
                Event::CommitFailed(error),
            ) => self.after_failed_write(prior_writes, writes, error),
            (OpeningState::Writing { .. }, _) => {
                answer(OpeningDecision::Unavailable(PriorWrites::MayLand))
            }
            (
                OpeningState::Reading {
                    prior_writes,
                    writes,
                },
                Event::Row(row),
            ) => self.after_read(prior_writes, writes, row),
            (OpeningState::Reading { prior_writes, .. }, _) => {
                answer(OpeningDecision::Unavailable(prior_writes))
            }
            (OpeningState::Finished, _) => {
                answer(OpeningDecision::Unavailable(PriorWrites::MayLand))
            }
        }
    }

    fn after_failed_write(
        &self,
        prior_writes: PriorWrites,
        writes: u32,
        error: CommitError,
    ) -> (OpeningState, Action) {
        match error {
            CommitError::Conflict => self.read(prior_writes, writes),
            CommitError::NotApplied { .. } => answer(OpeningDecision::Unavailable(prior_writes)),
            CommitError::Unknown { .. } => self.read(PriorWrites::MayLand, writes),
        }
    }

    fn after_read(
        &self,
        prior_writes: PriorWrites,
        writes: u32,
        row: Option<Row>,
    ) -> (OpeningState, Action) {
        let Some(row) = row else {
            return self.write(ClaimCondition::Absent, prior_writes, writes);
        };
        let Some(record) = Record::decode(&row.body) else {
            return answer(OpeningDecision::Damaged);
        };
        if record.progress == Progress::Released {
            return self.write(
                ClaimCondition::ReleasedAt(row.version),
                prior_writes,
                writes,
            );
        }
        answer(self.decision(record, row.version))
    }

    fn decision(&self, record: Record, version: u64) -> OpeningDecision {
        if record.owner == self.claim.owner && record.progress == Progress::Sending {
            return OpeningDecision::Run { version };
        }
        if record.fingerprint != self.claim.fingerprint {
            return OpeningDecision::Mismatch;
        }
        match record.progress {
            Progress::Sending => OpeningDecision::InProgress {
                owner: record.owner,
            },
            Progress::Done { result } => OpeningDecision::Replay(result),
            Progress::TooLarge { .. } => OpeningDecision::TooLarge,
            Progress::Unknown => OpeningDecision::OutcomeUnknown,
            Progress::Expired => OpeningDecision::Expired,
            Progress::Released => OpeningDecision::Unavailable(PriorWrites::MayLand),
        }
    }

    fn write(
        &self,
        claim_condition: ClaimCondition,
        prior_writes: PriorWrites,
        writes: u32,
    ) -> (OpeningState, Action) {
        if writes == WRITE_LIMIT {
            return answer(OpeningDecision::Unavailable(prior_writes));
        }
        let put = Write::Put {
            key: self.key.clone(),
            body: self.claim.encode(),
            condition: condition(claim_condition),
        };
        let state = OpeningState::Writing {
            claim_condition,
            prior_writes,
            writes: writes + 1,
        };
        (state, Action::Commit(put))
    }

    fn read(&self, prior_writes: PriorWrites, writes: u32) -> (OpeningState, Action) {
        let state = OpeningState::Reading {
            prior_writes,
            writes,
        };
        (state, Action::Read(self.key.clone()))
    }
}

fn answer(decision: OpeningDecision) -> (OpeningState, Action) {
    (OpeningState::Finished, Action::Answer(decision))
}

fn condition(claim_condition: ClaimCondition) -> Condition {
    match claim_condition {
        ClaimCondition::Absent => Condition::Absent,
        ClaimCondition::ReleasedAt(version) => Condition::VersionIs(version),
    }
}

fn version_after(claim_condition: ClaimCondition) -> u64 {
    match claim_condition {
        ClaimCondition::Absent => 1,
        ClaimCondition::ReleasedAt(version) => version + 1,
    }
}
