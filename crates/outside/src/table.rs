//! Transactional table: rows under a partition and a sort key, each with a version.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Name of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Partition key, such as `config`.
    pub partition: String,
    /// Sort key within the partition.
    pub sort: String,
}

impl Key {
    /// Names a row.
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
    /// The row's name.
    pub key: Key,
    /// Content, as text.
    pub body: String,
    /// Version: 1 when created, one more with each put.
    pub version: u64,
}

/// What must hold of a row for a commit to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing is required.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    VersionIs(u64),
}

/// One part of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Stores `body`.
    Put {
        /// The row.
        key: Key,
        /// The new content.
        body: String,
        /// Precondition on the stored row.
        condition: Condition,
    },
    /// Removes the row.
    Delete {
        /// The row.
        key: Key,
        /// Precondition on the stored row.
        condition: Condition,
    },
    /// Requires the condition and changes nothing.
    Check {
        /// The row.
        key: Key,
        /// Precondition on the stored row.
        condition: Condition,
    },
}

/// A read that gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The table service did not answer a read: {reason}."))]
pub struct ReadError {
    /// Description of the failure, for logs.
    pub reason: String,
}

/// A commit that is not known to have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CommitError {
    /// A condition did not hold; nothing was written.
    #[snafu(display("A condition of the commit did not hold."))]
    Conflict,
    /// Certainly not written: refused by the service, or the connection could not be opened.
    #[snafu(display("The table service did not take the commit: {reason}."))]
    NotApplied {
        /// Description of the failure, for logs.
        reason: String,
    },
    /// The commit was sent and its answer was lost; only a read can tell.
    #[snafu(display("The answer to a commit was lost: {reason}."))]
    Unknown {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// The platform's transactional table service. Reads are strongly consistent.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError>;

    /// Reads up to `limit` rows of a partition, in order, with sort keys above `after`.
    async fn scan(&self, partition: &str, after: &str, limit: u32) -> Result<Vec<Row>, ReadError>;

    /// Applies all writes or none.
    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError>;
}
