//! Counts of the windows that are not reported yet, kept in the store by the holder of the duties, so
//! that they outlive all processes.

use base::units::Millisecond;
use outside::{Condition, Key, ReadError, Table, Write};
use serde::{Deserialize, Serialize};

use crate::peer::message::WindowCounts;

/// Partition of the usage rows: what was reported for a window, kept before it is reported.
pub const USAGE_PARTITION: &str = "usage";

/// Key of the checkpoint in it.
const CHECKPOINT: &str = "open";

/// Counts over all nodes, as the holder knew them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The calendar clock of all nodes, at which they were summed up.
    pub at_unix_ms: Millisecond,
    /// Requests begun by window and workspace.
    pub begun: WindowCounts,
}

/// The write that keeps a checkpoint.
pub fn write(checkpoint: &Checkpoint) -> Write {
    Write::Put {
        key: key(),
        // Plain data.
        body: serde_json::to_string(checkpoint).unwrap_or_default(),
        condition: Condition::Any,
    }
}

/// Reads the checkpoint; `None` if there is none, or it cannot be read.
///
/// # Errors
///
/// The store does not answer.
pub async fn read(table: &dyn Table) -> Result<Option<Checkpoint>, ReadError> {
    let row = table.get(&key()).await?;
    Ok(row.and_then(|row| serde_json::from_str(&row.body).ok()))
}

fn key() -> Key {
    Key::new(USAGE_PARTITION, CHECKPOINT)
}
