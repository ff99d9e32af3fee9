//! Checkpoint of usage counts in the store, so that the counts of windows that are not reported yet
//! survive the end of all processes. The node that holds the duties writes it.

use base::units::Millisecond;
use outside::{Condition, Key, ReadError, Table, Write};
use serde::{Deserialize, Serialize};

use crate::peer::message::WindowCounts;

/// Partition of the usage rows. The counts of a window are stored here before they are reported.
pub const USAGE_PARTITION: &str = "usage";

/// Key of the checkpoint in the partition.
const CHECKPOINT: &str = "open";

/// Counts over all nodes, as the holder of the duties knew them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Fleet time at which the counts were summed.
    pub at_unix_ms: Millisecond,
    pub begun: WindowCounts,
}

/// The write that stores a checkpoint.
pub fn write(checkpoint: &Checkpoint) -> Write {
    Write::Put {
        key: key(),
        // Serialisation can't fail: the type holds only numbers and strings.
        body: serde_json::to_string(checkpoint).unwrap_or_default(),
        condition: Condition::Any,
    }
}

/// Reads the checkpoint; `None` if there is none or it is unreadable.
///
/// # Errors
///
/// The store doesn't answer.
pub async fn read(table: &dyn Table) -> Result<Option<Checkpoint>, ReadError> {
    let row = table.get(&key()).await?;
    Ok(row.and_then(|row| serde_json::from_str(&row.body).ok()))
}

fn key() -> Key {
    Key::new(USAGE_PARTITION, CHECKPOINT)
}
