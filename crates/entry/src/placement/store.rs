//! The stored state of the buying.

use base::units::Millisecond;
use outside::{CommitError, Condition, Key, Table, Write};
use policy::place::PlaceState;
use std::time::Duration;

/// Partition of the state's row.
const PARTITION: &str = "placement";

/// Sort key of the state's row.
const ROW: &str = "state";

/// Bound of one call to the table.
const TABLE_CALL_TIMEOUT_MS: Millisecond = 2_000;

/// The state with the version of its row; version 0 is no row.
#[derive(Clone, Debug)]
pub struct StoredState {
    /// The state.
    pub state: PlaceState,
    /// The row's version.
    pub version: u64,
}

/// Whether the state was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaveOutcome {
    /// It was; the actions may follow.
    Saved,
    /// It was not, or nobody knows; nothing may follow.
    NotSaved,
}

/// Reads the state; nothing if the table does not answer or holds what cannot be read.
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

/// Stores the state over the version that was read. A lost answer counts as not stored: the next
/// round reads what became of it.
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
