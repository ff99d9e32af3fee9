//! State machine that claims the row of a call and thereby decides whether the call may be sent.
//!
//! A write whose response was lost may still take effect later. A read that does not show it proves
//! nothing, so the same conditional write is repeated: it takes effect at most once, and the owner
//! token in the row shows which request wrote it.

use outside::{CommitError, Condition, Key, Row, Write};

use crate::record::{Owner, Progress, Record, StoredResult};

/// Number of write attempts after which the call is refused.
pub const WRITE_LIMIT: u32 = 4;

/// State that the row must have for the claim to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimCondition {
    /// The row does not exist.
    Absent,
    /// The row has this version, at which its key was released.
    ReleasedAt(u64),
}

/// Whether earlier writes of this request may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorWrites {
    /// The store responded to all earlier writes.
    Resolved,
    /// A write got no response and may still take effect.
    MayLand,
}

/// State of an opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpeningState {
    /// The claim is being written.
    Writing {
        claim_condition: ClaimCondition,
        prior_writes: PriorWrites,
        /// Number of writes so far, including the current one.
        writes: u32,
    },
    /// The row is being read.
    Reading {
        prior_writes: PriorWrites,
        /// Number of writes so far.
        writes: u32,
    },
    /// The decision has been returned.
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
    /// The read failed.
    ReadFailed,
    /// The store is down; the current operation is abandoned.
    StoreDown,
}

/// Next action of an opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Commit the claim.
    Commit(Write),
    /// Read the row.
    Read(Key),
    /// Return the decision; the opening is finished.
    Answer(OpeningDecision),
}

/// Decision about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpeningDecision {
    /// The call may be sent, once.
    Run {
        /// Version of the row that holds the claim.
        version: u64,
    },
    /// The call ran, and its response is stored.
    Replay(StoredResult),
    /// The call ran; its response was too large to store.
    TooLarge,
    /// The call ran; its response is past its retention.
    Expired,
    /// Another request with this key was permitted to send and has recorded no outcome.
    InProgress {
        /// Owner token of the other request.
        owner: Owner,
    },
    /// The key was used for a call with another fingerprint.
    Mismatch,
    /// The call may or may not have run.
    OutcomeUnknown,
    /// The content of the row is not a valid record.
    Damaged,
    /// The store did not confirm the claim; this request must not send the call.
    Unavailable(PriorWrites),
}

/// Opening of one call: the attempt to claim its row.
#[derive(Clone, Debug)]
pub struct Opening {
    key: Key,
    claim: Record,
}

impl Opening {
    /// Creates an opening that writes `claim`, whose progress must be [`Progress::Sending`].
    pub fn new(key: Key, claim: Record) -> Self {
        Self { key, claim }
    }

    /// Returns the first state and action. The claim is written without a read before it, which
    /// saves a round trip in the usual case of a new key.
    pub fn start(&self) -> (OpeningState, Action) {
        self.write(ClaimCondition::Absent, PriorWrites::Resolved, 0)
    }

    /// Returns the next state and action after an event.
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
