//! Transactional table. Each row has a partition key, a sort key and a version.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Primary key of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Partition key, such as `config`.
    pub partition: String,
    /// Sort key within the partition.
    pub sort: String,
}

impl Key {
    /// Creates a key from its two parts.
    pub fn new(partition: impl Into<String>, sort: impl Into<String>) -> Self {
        Self {
            partition: partition.into(),
            sort: sort.into(),
        }
    }
}

/// Stored row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Primary key.
    pub key: Key,
    /// Content.
    pub body: String,
    /// Version: 1 when created, incremented by each put.
    pub version: u64,
}

/// Precondition on a row; if it does not hold, the whole commit has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    VersionIs(u64),
}

/// Write or check within a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// Key of the row.
        key: Key,
        /// New content.
        body: String,
        /// Precondition on the stored row.
        condition: Condition,
    },
    /// Removes a row.
    Delete {
        /// Key of the row.
        key: Key,
        /// Precondition on the stored row.
        condition: Condition,
    },
    /// Requires a precondition without a change.
    Check {
        /// Key of the row.
        key: Key,
        /// Precondition on the stored row.
        condition: Condition,
    },
}

impl Write {
    /// The precondition on the stored row.
    pub fn condition(&self) -> Condition {
        match self {
            Self::Put { condition, .. }
            | Self::Delete { condition, .. }
            | Self::Check { condition, .. } => *condition,
        }
    }
}

/// Failure of a read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("A read of the table service failed: {reason}."))]
pub struct ReadError {
    /// Description of the failure, for logs.
    pub reason: String,
}

/// Failure of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CommitError {
    /// A condition did not hold; nothing was written.
    #[snafu(display("A condition of the commit did not hold."))]
    Conflict,
    /// Nothing was written: the service rejected the commit, or no connection could be opened.
    #[snafu(display("The commit was not applied: {reason}."))]
    NotApplied {
        /// Description of the failure, for logs.
        reason: String,
    },
    /// The commit was sent but the response is missing or unclear. Read the rows to find out whether
    /// it was applied.
    #[snafu(display("It is not known whether the commit was applied: {reason}."))]
    Unknown {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// Transactional table service of the platform. Reads are strongly consistent.
#[async_trait]
pub trait Table: Send + Sync {
    /// Number of times that the store was restored from an earlier copy, according to its last
    /// response. Row versions of different restorations differ ([`crate::revision`]).
    fn restorations(&self) -> u64 {
        0
    }

    /// Reads one row.
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError>;

    /// Reads up to `limit` rows of a partition with sort keys above `after`, in ascending order.
    async fn scan(&self, partition: &str, after: &str, limit: u32) -> Result<Vec<Row>, ReadError>;

    /// Applies all writes atomically, or none.
    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError>;
}
