//! Keeps the software versions of begun streams in the store while a service has several, so that
//! any node can resume a stream, also after the end of the node that relayed it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::units::Millisecond;
use outside::{Condition, Key, ReadError, Table, Write};
use policy::suspect::RequestDigest;
use serde::{Deserialize, Serialize};

use crate::decide::begun_streams::UnsavedStream;
use crate::node::Node;

/// Shortest time between two writes of a node.
const SAVE_PERIOD_MS: Millisecond = 250;

/// Share of the store's writes that all nodes together use for streams.
const WRITES_SHARE: f64 = 0.2;

/// Most rows in one commit.
const ROWS_LIMIT: usize = 100;

/// Pause after a failed commit.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Partition of the streams if a commit can't span several.
const STREAMS_PARTITION: &str = "streams";

/// A stream's version as stored. Streams share a fixed number of rows, so that the rows need no
/// removal: a later stream replaces an earlier one.
#[derive(Serialize, Deserialize)]
struct StreamRow {
    stream: RequestDigest,
    version: Name,
}

/// The rows of streams in the store.
pub struct StreamRows {
    table: Arc<dyn Table>,
    partitioning: Partitioning,
}

/// How the rows are divided among partitions of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partitioning {
    /// All rows are in one partition.
    Single,
    /// The rows are spread over several partitions, and one commit spans them.
    Spread,
}

impl StreamRows {
    pub fn new(table: Arc<dyn Table>, partitioning: Partitioning) -> Self {
        Self {
            table,
            partitioning,
        }
    }

    /// Reads the version that began a stream; `None` if the store doesn't have it.
    ///
    /// # Errors
    ///
    /// The store doesn't answer.
    pub async fn version(&self, key: RequestDigest) -> Result<Option<Name>, ReadError> {
        let row = self.table.get(&self.row_key(key)).await?;
        let row: Option<StreamRow> = row.and_then(|row| serde_json::from_str(&row.body).ok());
        let same_stream = row.filter(|row| row.stream == key);
        Ok(same_stream.map(|row| row.version))
    }

    /// Key of the row of a stream: 2^20 rows, in one partition or in 16.
    fn row_key(&self, key: RequestDigest) -> Key {
        let digits = key.to_string();
        match self.partitioning {
            Partitioning::Single => Key::new(STREAMS_PARTITION, &digits[..5]),
            Partitioning::Spread => {
                let partition = format!("{STREAMS_PARTITION}/{}", &digits[..1]);
                Key::new(partition, &digits[1..5])
            }
        }
    }

    fn write(&self, stream: &UnsavedStream) -> Write {
        let row = StreamRow {
            stream: stream.key,
            version: stream.version.clone(),
        };
        Write::Put {
            key: self.row_key(stream.key),
            body: serde_json::to_string(&row).unwrap_or_default(),
            condition: Condition::Any,
        }
    }
}

/// Time between two writes of a node in a fleet of `nodes`, before a store that takes
/// `writes_per_s` from all of them.
pub fn save_period_ms(nodes: usize, writes_per_s: f64) -> Millisecond {
    let fair_ms = nodes as f64 * 1_000.0 / (writes_per_s * WRITES_SHARE);
    SAVE_PERIOD_MS.max(fair_ms.ceil() as Millisecond)
}

/// Time between two writes of this node.
pub fn own_save_period_ms(node: &Node) -> Millisecond {
    save_period_ms(node.node_count(), node.settings.store.writes_per_s)
}

/// Saves begun streams until the process ends.
pub async fn save(node: Rc<Node>, rows: Rc<StreamRows>) {
    loop {
        tokio::time::sleep(Duration::from_millis(own_save_period_ms(&node))).await;
        while let Some(streams) = unsaved(&node) {
            let is_last = streams.len() < ROWS_LIMIT;
            let mut writes: Vec<Write> = streams.iter().map(|s| rows.write(s)).collect();
            // One commit can't write a row twice.
            writes.dedup_by(|a, b| write_key(a) == write_key(b));
            let committed = rows.table.commit(writes).await;
            let outcome = match committed {
                Ok(()) => "answered",
                Err(_) => "unanswered",
            };
            node.metrics.count_platform_call("stream_versions", outcome);
            if committed.is_err() {
                node.begun_streams.borrow_mut().put_back(streams);
                tokio::time::sleep(RETRY_DELAY).await;
                break;
            }
            if is_last {
                break;
            }
        }
    }
}

/// The next streams to save, in the order of their rows; `None` if there are none.
fn unsaved(node: &Node) -> Option<Vec<UnsavedStream>> {
    let history = node.version_history.borrow();
    if !history.has_any_several() {
        return None;
    }
    let saves = |service: &Name| history.has_several(service);
    let mut streams = node
        .begun_streams
        .borrow_mut()
        .take_unsaved(ROWS_LIMIT, saves);
    streams.sort_by_key(|stream| stream.key);
    (!streams.is_empty()).then_some(streams)
}

fn write_key(write: &Write) -> &Key {
    let (Write::Put { key, .. } | Write::Delete { key, .. } | Write::Check { key, .. }) = write;
    key
}
