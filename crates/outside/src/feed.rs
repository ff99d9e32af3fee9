//! Change feed of the platform's store. Every process follows it to keep local copies of tables.

use async_trait::async_trait;
use base::units::Millisecond;
use snafu::Snafu;

use crate::ReadError;

/// Table that a feed follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Operator's configuration.
    Directory,
    /// Registry of backend servers.
    Servers,
    /// Entry VMs of this system.
    Nodes,
}

/// Row of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRow {
    /// Key, unique within the topic.
    pub key: String,
    /// Content; `None` for a tombstone.
    pub body: Option<Vec<u8>>,
    /// Revision of the row's last write; 0 if it is not known.
    pub revision: u64,
}

/// Rows of a snapshot, or the changes since an earlier revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedBatch {
    /// Rows, with tombstones among the changes.
    pub rows: Vec<FeedRow>,
    /// Revision of the store that the rows reflect; the next call for changes starts from it.
    pub revision: u64,
}

/// Failure of a read of changes.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FeedError {
    /// The store no longer keeps the changes since that revision; a snapshot is needed.
    #[snafu(display("The store no longer has the changes since that revision; read a snapshot."))]
    HistoryGone,
    /// The store did not answer.
    #[snafu(display("The store did not answer: {reason}."))]
    Unanswered {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// Client of change feeds.
#[async_trait]
pub trait Feed: Send + Sync {
    /// Era of the store according to its last response ([`crate::revision`]); 0 for a store that
    /// names none.
    fn era(&self) -> u64 {
        0
    }

    /// Reads all rows of a topic.
    async fn snapshot(&self, topic: Topic) -> Result<FeedBatch, ReadError>;

    /// Waits up to `wait_ms` for changes after `revision`. The batch is empty if there were none.
    async fn changes(
        &self,
        topic: Topic,
        revision: u64,
        wait_ms: Millisecond,
    ) -> Result<FeedBatch, FeedError>;
}
