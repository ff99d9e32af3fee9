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
const CALL_MS: Millisecond = 2_000;

/// The state with the version of its row; version 0 is no row.
#[derive(Clone, Debug)]
pub struct Stored {
    /// The state.
    pub state: PlaceState,
    /// The row's version.
    pub version: u64,
}

/// Whether the state was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// It was; the actions may follow.
    Yes,
    /// It was not, or nobody knows; nothing may follow.
    No,
}

/// Reads the state; nothing if the table does not answer or holds what cannot be read.
pub async fn read(table: &dyn Table) -> Option<Stored> {
    let key = key();
    let get = table.get(&key);
    let limit = Duration::from_millis(CALL_MS);
    let row = tokio::time::timeout(limit, get).await.ok()?.ok()?;
    let Some(row) = row else {
        return Some(Stored {
            state: PlaceState::default(),
            version: 0,
        });
    };
    let state = serde_json::from_str(&row.body).ok()?;
    Some(Stored {
        state,
        version: row.version,
    })
}

/// Stores the state over the version that was read. A lost answer counts as not stored: the next
/// round reads what became of it.
pub async fn write(table: &dyn Table, stored: &mut Stored) -> Kept {
    let condition = match stored.version {
        0 => Condition::Absent,
        version => Condition::VersionIs(version),
    };
    let Ok(body) = serde_json::to_string(&stored.state) else {
        return Kept::No;
    };
    let put = Write::Put {
        key: key(),
        body,
        condition,
    };
    let limit = Duration::from_millis(CALL_MS);
    let result: Result<Result<(), CommitError>, _> =
        tokio::time::timeout(limit, table.commit(vec![put])).await;
    match result {
        Ok(Ok(())) => {
            stored.version += 1;
            Kept::Yes
        }
        Ok(Err(_)) | Err(_) => Kept::No,
    }
}

fn key() -> Key {
    Key::new(PARTITION, ROW)
}
