//! Applies a configuration: one conditional commit, repeated until its outcome is known.
//!
//! The rows `config/current` and `config-history/VERSION` are written together on the condition that
//! `config/current` still has the base version. Repeating the commit is safe: the first copy that
//! takes effect makes all others conflict, and the token in the history row identifies the writer.

use base::backoff::Backoff;
use base::secret;
use base::units::Millisecond;
use outside::{CommitError, Condition, Key, ReadError, Row, Write};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::wire::ConfigDocument;

/// Partition of the row [`CURRENT_ROW`].
pub const CONFIG_PARTITION: &str = "config";
/// Sort key of the row in force.
pub const CURRENT_ROW: &str = "current";
/// Partition of the rows of all versions.
pub const HISTORY_PARTITION: &str = "config-history";
/// Failed calls after which an apply gives up.
const ATTEMPTS_MAX: u32 = 6;
const BACKOFF: Backoff = Backoff {
    base_ms: 50,
    cap_ms: 800,
};

/// Location of a stored document's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigContent {
    /// The text itself, in the row.
    Text(String),
    /// Path of the text in the object store.
    Object(String),
}

/// Body of a configuration row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Equal to the store's version of the row [`CURRENT_ROW`].
    pub version: u64,
    /// SHA-256 of the text, in hexadecimal.
    pub digest: String,
    /// Random for each apply; identifies the write that took effect.
    pub token: String,
    /// Name of the operator who applied it.
    pub operator: String,
    /// Time of the apply, by the calendar clock of the entry VM that wrote the row.
    pub unix_ms: Millisecond,
    pub content: ConfigContent,
}

/// An operator's proposal of a new configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Version that the operator's document is based on; 0 for the first one.
    pub base_version: u64,
    /// The row to store; its version is `base_version + 1`.
    pub stored: StoredConfig,
}

/// The next step of an apply, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Commit these writes, then call [`Apply::on_commit`].
    Commit(Vec<Write>),
    /// Wait, then call [`Apply::resume`].
    Wait(Millisecond),
    /// Read the history row of the proposal's version, then call [`Apply::on_history_row`].
    ReadHistory(Key),
    /// Read the row [`CURRENT_ROW`], then call [`Apply::on_current_row`].
    ReadCurrent(Key),
    Done(ApplyOutcome),
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The proposal is in force.
    Accepted,
    /// Another proposal was accepted first; holds the configuration in force, if it could be read.
    Lost(Option<StoredConfig>),
    /// The proposal was not accepted and never will be: no commit was applied or is under way. Holds
    /// the last error.
    NotAccepted(String),
    /// The proposal may have been accepted or may yet be; the history row's token will show it.
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
    /// The outcome of each commit sent is known.
    None,
    /// A commit may have taken effect, or may yet take effect.
    Possible,
}

/// State machine of an apply. It makes no calls itself.
#[derive(Debug)]
pub struct Apply {
    proposal: Proposal,
    stage: ApplyStage,
    unresolved_commit: UnresolvedCommit,
    failures: u32,
}

impl Proposal {
    /// Proposes `text`, stored as `content`, as the successor of `base_version`.
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

/// Author and time of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    pub operator: String,
    /// Random token, unique to the apply.
    pub token: String,
    /// Time by the calendar clock.
    pub unix_ms: Millisecond,
}

impl Apply {
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

    /// Returns the step of the present stage again, after [`ApplyStep::Wait`].
    pub fn resume(&self) -> ApplyStep {
        match self.stage {
            ApplyStage::Commit => ApplyStep::Commit(self.writes()),
            ApplyStage::ReadHistory => ApplyStep::ReadHistory(self.history_key()),
            ApplyStage::ReadCurrent => ApplyStep::ReadCurrent(current_key()),
        }
    }

    /// Handles the result of [`ApplyStep::Commit`].
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

    /// Handles the result of [`ApplyStep::ReadHistory`].
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

    /// Handles the result of [`ApplyStep::ReadCurrent`].
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
        let body = serde_json::to_string(&self.proposal.stored)
            .expect("a struct of plain fields serializes to JSON");
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

/// Key of the row in force.
pub fn current_key() -> Key {
    Key::new(CONFIG_PARTITION, CURRENT_ROW)
}

/// Key of a version's history row; the keys sort by version.
pub fn history_key(version: u64) -> Key {
    Key::new(HISTORY_PARTITION, format!("{version:012}"))
}

/// Parses a configuration row; `None` if its body is something else.
pub fn parse_row(row: &Row) -> Option<StoredConfig> {
    serde_json::from_str(&row.body).ok()
}

/// The document of a row whose text was read.
pub fn config_document(stored: &StoredConfig, text: &str) -> ConfigDocument {
    ConfigDocument {
        version: stored.version,
        digest: stored.digest.clone(),
        text: text.into(),
    }
}
