//! Rows of a table as they change, for beliefs that every process keeps.

use async_trait::async_trait;
use base::units::Millisecond;
use snafu::Snafu;

use crate::ReadError;

/// What a feed follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operator's configuration.
    Directory,
    /// The backend servers that have registered themselves.
    Servers,
    /// The entry VMs of the system itself.
    Nodes,
}

/// A row as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRow {
    /// The row's name within its topic.
    pub key: String,
    /// Its content; `None` when the row was removed.
    pub body: Option<Vec<u8>>,
}

/// Rows at one moment, or the changes up to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedBatch {
    /// The rows.
    pub rows: Vec<FeedRow>,
    /// Revision of the store at that moment; later changes are asked for with it.
    pub revision: u64,
}

/// Changes could not be had.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FeedError {
    /// The store no longer has the changes since that revision; a snapshot is needed.
    #[snafu(display("The store has dropped the history since that revision."))]
    HistoryGone,
    /// The store did not answer.
    #[snafu(display("The store did not answer: {reason}."))]
    Unanswered {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// Tables that can be followed.
#[async_trait]
pub trait Feed: Send + Sync {
    /// Reads all rows of a topic.
    async fn snapshot(&self, topic: Topic) -> Result<FeedBatch, ReadError>;

    /// Waits up to `wait_ms` for changes after `revision`; an empty batch when there were none.
    async fn changes(
        &self,
        topic: Topic,
        revision: u64,
        wait_ms: Millisecond,
    ) -> Result<FeedBatch, FeedError>;
}
