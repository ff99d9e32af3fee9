//! Access to the configuration rows in the platform's table, and to large texts in its object store.

use std::sync::Arc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::Bytes;
use outside::{CommitError, Objects, ReadError, Row, Table, Write};
use rand::Rng;
use snafu::Snafu;

use crate::apply::{
    self, Apply, ApplyOutcome, ApplyStep, Author, ConfigContent, Proposal, StoredConfig,
};
use crate::wire::ConfigDocument;

/// Longer texts are stored in the object store instead of the row.
const ROW_TEXT_MAX_BYTES: usize = 200_000;
/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
const TIMED_OUT: &str = "no answer within 3 s";

/// The configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The configuration could not be read from the platform: {reason}."))]
pub struct StoreError {
    /// Cause, as a clause without a full stop.
    pub reason: String,
}

/// Client of the stored configuration.
#[derive(Clone)]
pub struct ConfigStore {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
}

impl ConfigStore {
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn Objects>) -> Self {
        Self { table, objects }
    }

    /// Reads the document in force.
    ///
    /// # Errors
    ///
    /// Fails if the table or the object store does not answer, or if the row or the object is invalid.
    pub async fn read(&self) -> Result<Option<ConfigDocument>, StoreError> {
        let row = self
            .get(apply::current_key())
            .await
            .map_err(to_store_error)?;
        let Some(row) = row else {
            return Ok(None);
        };
        let Some(stored) = apply::parse_row(&row) else {
            let reason = "the row config/current does not hold a valid configuration".to_owned();
            return Err(StoreError { reason });
        };
        self.document(&stored).await.map(Some)
    }

    /// Reads the text of a row.
    ///
    /// # Errors
    ///
    /// Fails if the object store does not answer, or if the object is missing or not text.
    pub async fn document(&self, stored: &StoredConfig) -> Result<ConfigDocument, StoreError> {
        let path = match &stored.content {
            ConfigContent::Text(text) => return Ok(apply::config_document(stored, text)),
            ConfigContent::Object(path) => path,
        };
        let read = tokio::time::timeout(CALL_TIMEOUT, self.objects.get(path)).await;
        let read = read.map_err(|_| StoreError {
            reason: TIMED_OUT.to_owned(),
        })?;
        let body = read.map_err(|error| StoreError {
            reason: error.reason,
        })?;
        let text = body.and_then(|body| String::from_utf8(body.to_vec()).ok());
        let text = text.ok_or_else(|| StoreError {
            reason: format!("the object {path} is missing or not UTF-8 text"),
        })?;
        Ok(apply::config_document(stored, &text))
    }

    /// Reads up to `limit` versions above `after`, oldest first; leaves out invalid rows.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer.
    pub async fn history(&self, after: u64, limit: u32) -> Result<Vec<StoredConfig>, StoreError> {
        let after = apply::history_key(after).sort;
        let scan = self.table.scan(apply::HISTORY_PARTITION, &after, limit);
        let rows = match tokio::time::timeout(CALL_TIMEOUT, scan).await {
            Ok(rows) => rows.map_err(to_store_error)?,
            Err(_) => {
                let reason = TIMED_OUT.to_owned();
                return Err(StoreError { reason });
            }
        };
        Ok(rows.iter().filter_map(apply::parse_row).collect())
    }

    /// Proposes `text` as the successor of `base_version`; repeats the calls until the outcome is
    /// known or the attempts are spent.
    pub async fn propose(
        &self,
        text: &str,
        base_version: u64,
        author: Author,
        rng: &mut (impl Rng + Send),
    ) -> ApplyOutcome {
        let content = match self.content(text).await {
            Ok(content) => content,
            Err(error) => return ApplyOutcome::NotAccepted(error.reason),
        };
        let proposal = Proposal::new(base_version, text, content, author);
        let (mut apply, mut step) = Apply::start(proposal);
        loop {
            step = match step {
                ApplyStep::Done(outcome) => return outcome,
                ApplyStep::Wait(delay_ms) => {
                    sleep_ms(delay_ms).await;
                    apply.resume()
                }
                ApplyStep::Commit(writes) => apply.on_commit(self.commit(writes).await, rng),
                ApplyStep::ReadHistory(key) => apply.on_history_row(self.get(key).await, rng),
                ApplyStep::ReadCurrent(key) => apply.on_current_row(self.get(key).await, rng),
            };
        }
    }

    async fn content(&self, text: &str) -> Result<ConfigContent, StoreError> {
        if text.len() <= ROW_TEXT_MAX_BYTES {
            return Ok(ConfigContent::Text(text.to_owned()));
        }
        let path = format!("config/{}", base::secret::key_digest_hex(text));
        let body = Bytes::copy_from_slice(text.as_bytes());
        match tokio::time::timeout(CALL_TIMEOUT, self.objects.put(&path, body)).await {
            Ok(Ok(())) => Ok(ConfigContent::Object(path)),
            Ok(Err(error)) => Err(StoreError {
                reason: error.reason,
            }),
            Err(_) => Err(StoreError {
                reason: TIMED_OUT.to_owned(),
            }),
        }
    }

    async fn get(&self, key: outside::Key) -> Result<Option<Row>, ReadError> {
        get_row(&*self.table, &key).await
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        commit_rows(&*self.table, writes).await
    }
}

/// Reads a row, with a timeout.
pub(crate) async fn get_row(
    table: &dyn Table,
    key: &outside::Key,
) -> Result<Option<Row>, ReadError> {
    let read = tokio::time::timeout(CALL_TIMEOUT, table.get(key)).await;
    read.unwrap_or_else(|_| {
        Err(ReadError {
            reason: TIMED_OUT.to_owned(),
        })
    })
}

/// Commits, with a timeout; a commit that times out may have taken effect.
pub(crate) async fn commit_rows(table: &dyn Table, writes: Vec<Write>) -> Result<(), CommitError> {
    let commit = tokio::time::timeout(CALL_TIMEOUT, table.commit(writes)).await;
    commit.unwrap_or_else(|_| {
        Err(CommitError::Unknown {
            reason: TIMED_OUT.to_owned(),
        })
    })
}

fn to_store_error(error: ReadError) -> StoreError {
    StoreError {
        reason: error.reason,
    }
}

async fn sleep_ms(delay_ms: Millisecond) {
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
