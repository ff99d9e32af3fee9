//! Reads and writes the placement state in the platform's table.

use base::units::Millisecond;
use outside::{CommitError, Condition, Key, Table, Write};
use policy::place::PlaceState;
use std::time::Duration;

/// Partition key of the state's row.
const PARTITION: &str = "placement";

/// Sort key of the state's row.
const ROW: &str = "state";

/// Timeout of one call to the table.
const TABLE_CALL_TIMEOUT_MS: Millisecond = 2_000;

/// The placement state with the version of its row.
#[derive(Clone, Debug)]
pub struct StoredState {
    pub state: PlaceState,
    /// Version of the row; 0 if there is none yet.
    pub version: u64,
}

/// Outcome of writing the placement state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaveOutcome {
    /// The state is stored, so its actions may be carried out.
    Saved,
    /// The write failed or its outcome is unknown, so no action may be carried out.
    NotSaved,
}

/// Reads the state; `None` if the table does not answer or the row cannot be parsed.
pub async fn read(table: &dyn Table) -> Option<StoredState> {
    let key = key();
    let get = table.get(&key);
    let limit = Duration::from_millis(TABLE_CALL_TIMEOUT_MS);
    let row = tokio::time::timeout(limit, get).await.ok()?.ok()?;
    let Some(row) = row else {
        return Some(StoredState {
            state: PlaceState::default(),
            version: 0,
        });
    };
    let state = serde_json::from_str(&row.body).ok()?;
    Some(StoredState {
        state,
        version: row.version,
    })
}

/// Writes the state on condition that the row still has the version that was read. A lost answer
/// counts as not saved; the next round reads the actual state.
pub async fn write(table: &dyn Table, stored: &mut StoredState) -> SaveOutcome {
    let condition = match stored.version {
        0 => Condition::Absent,
        version => Condition::VersionIs(version),
    };
    let Ok(body) = serde_json::to_string(&stored.state) else {
        return SaveOutcome::NotSaved;
    };
    let put = Write::Put {
        key: key(),
        body,
        condition,
    };
    let limit = Duration::from_millis(TABLE_CALL_TIMEOUT_MS);
    let result: Result<Result<(), CommitError>, _> =
        tokio::time::timeout(limit, table.commit(vec![put])).await;
    match result {
        Ok(Ok(())) => {
            stored.version += 1;
            SaveOutcome::Saved
        }
        Ok(Err(_)) | Err(_) => SaveOutcome::NotSaved,
    }
}

fn key() -> Key {
    Key::new(PARTITION, ROW)
}
