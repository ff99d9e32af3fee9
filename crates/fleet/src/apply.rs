//! Acceptance of a configuration: one conditional commit, repeated until its fate is known.
//!
//! The rows `config/current` and `config-history/VERSION` are written together on the condition that
//! `config/current` still has the base version. Repeating the same commit is safe: whichever copy
//! takes effect first makes all others conflict, and the history row's token tells whose it was.

use base::backoff::Backoff;
use base::secret;
use base::units::Millisecond;
use outside::{CommitError, Condition, Key, ReadError, Row, Write};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::wire::ConfigDocument;

/// Partition of the row `current`.
pub const CONFIG_PARTITION: &str = "config";
/// Sort key of the row in force.
pub const CURRENT_ROW: &str = "current";
/// Partition of the rows of all versions.
pub const HISTORY_PARTITION: &str = "config-history";
/// Attempts before an apply gives up.
const ATTEMPTS_MAX: u32 = 6;
const BACKOFF: Backoff = Backoff {
    base_ms: 50,
    cap_ms: 800,
};

/// Where a stored document's text is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigContent {
    /// In the row.
    Text(String),
    /// In the object store, under this path.
    Object(String),
}

/// Body of a configuration row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Version, equal to that of the row `current`.
    pub version: u64,
    /// SHA-256 of the text, in hexadecimal.
    pub digest: String,
    /// Drawn anew for each apply; tells whose write took effect.
    pub token: String,
    /// Who applied it.
    pub operator: String,
    /// When, by the calendar clock of the entry VM that wrote it.
    pub unix_ms: Millisecond,
    /// The text.
    pub content: ConfigContent,
}

/// One attempt of an operator to bring a new configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Version that the operator's document was made from; 0 for the first one.
    pub base_version: u64,
    /// The row to be stored; its version is one above the base.
    pub stored: StoredConfig,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Commit these writes.
    Commit(Vec<Write>),
    /// Wait, then call [`Apply::resume`].
    Wait(Millisecond),
    /// Read the history row of the proposal's version.
    ReadHistory(Key),
    /// Read the row in force.
    ReadCurrent(Key),
    /// The apply has ended.
    Done(ApplyOutcome),
}

/// Fate of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is accepted.
    Accepted,
    /// Another was accepted first; the one in force, if it could be read.
    Lost(Option<StoredConfig>),
    /// It is not accepted and never will be: the store did not take it.
    NotAccepted(String),
    /// It may have been accepted; the history row's token will tell.
    Unknown(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ApplyStage {
    Commit,
    ReadHistory,
    ReadCurrent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnresolvedCommit {
    /// No commit was sent whose fate is open.
    None,
    /// A commit may have taken effect, or may yet.
    Possible,
}

/// An apply under way.
#[derive(Debug)]
pub struct Apply {
    proposal: Proposal,
    stage: ApplyStage,
    unresolved_commit: UnresolvedCommit,
    failures: u32,
}

impl Proposal {
    /// A proposal of `text`, or of an object that holds it, on top of `base_version`.
    pub fn new(base_version: u64, text: &str, content: ConfigContent, by: Author) -> Self {
        Self {
            base_version,
            stored: StoredConfig {
                version: base_version + 1,
                digest: secret::key_digest_hex(text),
                token: by.token,
                operator: by.operator,
                unix_ms: by.unix_ms,
                content,
            },
        }
    }
}

/// Who proposes, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The operator's name.
    pub operator: String,
    /// A token that no other apply has.
    pub token: String,
    /// Calendar time.
    pub unix_ms: Millisecond,
}

impl Apply {
    /// Starts an apply.
    pub fn start(proposal: Proposal) -> (Self, ApplyStep) {
        let apply = Self {
            proposal,
            stage: ApplyStage::Commit,
            unresolved_commit: UnresolvedCommit::None,
            failures: 0,
        };
        let step = apply.resume();
        (apply, step)
    }

    /// The step of the present stage, after a wait.
    pub fn resume(&self) -> ApplyStep {
        match self.stage {
            ApplyStage::Commit => ApplyStep::Commit(self.writes()),
            ApplyStage::ReadHistory => ApplyStep::ReadHistory(self.history_key()),
            ApplyStage::ReadCurrent => ApplyStep::ReadCurrent(current_key()),
        }
    }

    /// Takes in a commit's result.
    pub fn on_commit(&mut self, result: Result<(), CommitError>, rng: &mut impl Rng) -> ApplyStep {
        match (result, self.unresolved_commit) {
            (Ok(()), _) => ApplyStep::Done(ApplyOutcome::Accepted),
            (Err(CommitError::Conflict), UnresolvedCommit::None) => {
                self.enter(ApplyStage::ReadCurrent)
            }
            (Err(CommitError::Conflict), UnresolvedCommit::Possible) => {
                self.enter(ApplyStage::ReadHistory)
            }
            (Err(CommitError::NotApplied { reason }), _) => self.fail(reason, rng),
            (Err(CommitError::Unknown { reason }), _) => {
                self.unresolved_commit = UnresolvedCommit::Possible;
                self.fail(reason, rng)
            }
        }
    }

    /// Takes in the history row of the proposal's version.
    pub fn on_history_row(
        &mut self,
        row: Result<Option<Row>, ReadError>,
        rng: &mut impl Rng,
    ) -> ApplyStep {
        match row {
            Err(error) => self.fail(error.reason, rng),
            Ok(row) => {
                let stored = row.as_ref().and_then(parse_row);
                let ours = stored.is_some_and(|s| s.token == self.proposal.stored.token);
                match ours {
                    true => ApplyStep::Done(ApplyOutcome::Accepted),
                    false => self.enter(ApplyStage::ReadCurrent),
                }
            }
        }
    }

    /// Takes in the row in force.
    pub fn on_current_row(
        &mut self,
        row: Result<Option<Row>, ReadError>,
        rng: &mut impl Rng,
    ) -> ApplyStep {
        match row {
            Err(error) => self.fail(error.reason, rng),
            Ok(row) => ApplyStep::Done(ApplyOutcome::Lost(row.as_ref().and_then(parse_row))),
        }
    }

    fn enter(&mut self, stage: ApplyStage) -> ApplyStep {
        self.stage = stage;
        self.resume()
    }

    fn fail(&mut self, reason: String, rng: &mut impl Rng) -> ApplyStep {
        self.failures += 1;
        if self.failures < ATTEMPTS_MAX {
            return ApplyStep::Wait(BACKOFF.delay_ms(self.failures, rng));
        }
        ApplyStep::Done(match (self.stage, self.unresolved_commit) {
            (ApplyStage::ReadCurrent, _) => ApplyOutcome::Lost(None),
            (_, UnresolvedCommit::None) => ApplyOutcome::NotAccepted(reason),
            (_, UnresolvedCommit::Possible) => ApplyOutcome::Unknown(reason),
        })
    }

    fn writes(&self) -> Vec<Write> {
        let body = serde_json::to_string(&self.proposal.stored).expect("plain data");
        let condition = match self.proposal.base_version {
            0 => Condition::Absent,
            version => Condition::VersionIs(version),
        };
        vec![
            Write::Put {
                key: current_key(),
                body: body.clone(),
                condition,
            },
            Write::Put {
                key: self.history_key(),
                body,
                condition: Condition::Absent,
            },
        ]
    }

    fn history_key(&self) -> Key {
        history_key(self.proposal.stored.version)
    }
}

/// Name of the row in force.
pub fn current_key() -> Key {
    Key::new(CONFIG_PARTITION, CURRENT_ROW)
}

/// Name of a version's history row; the names sort by version.
pub fn history_key(version: u64) -> Key {
    Key::new(HISTORY_PARTITION, format!("{version:012}"))
}

/// Reads a configuration row.
pub fn parse_row(row: &Row) -> Option<StoredConfig> {
    serde_json::from_str(&row.body).ok()
}

/// The document that a row and its text make.
pub fn config_document(stored: &StoredConfig, text: &str) -> ConfigDocument {
    ConfigDocument {
        version: stored.version,
        digest: stored.digest.clone(),
        text: text.into(),
    }
}
