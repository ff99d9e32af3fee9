//! Drops results at the end of their retention. The rows stay, so that no key is run a second time.

use outside::{CommitError, Condition, ReadError, Row, Write};

use crate::ledger::Ledger;
use crate::record::{Progress, Record};
use crate::scope::partition;

pub const PAGE_ROWS: u32 = 50;

/// Result of sweeping one page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SweepPage {
    /// Number of results that were dropped.
    pub dropped: u32,
    /// Sort key after which the next page starts; `None` at the end of the partition.
    pub next: Option<String>,
}

/// Returns the write that drops the result of a row; `None` if the row holds no result or was
/// written on `oldest_kept_day` or later.
pub fn drop_result(row: &Row, oldest_kept_day: u32) -> Option<Write> {
    let record = Record::decode(&row.body)?;
    let kept = matches!(record.progress, Progress::Done { .. });
    if !kept || record.day >= oldest_kept_day {
        return None;
    }
    Some(Write::Put {
        key: row.key.clone(),
        body: record.with_progress(Progress::Expired).encode(),
        condition: Condition::VersionIs(row.version),
    })
}

impl Ledger {
    /// Drops the results older than `retention_days` in one page of a workspace's records. The page
    /// starts after the sort key `after`, which is empty for the first page. Several entry VMs may
    /// sweep the same workspace at the same time.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the store does not return the page or does not confirm a write. Results
    /// that were dropped before the error stay dropped.
    pub async fn sweep_page(
        &self,
        workspace: &str,
        after: &str,
        retention_days: u32,
    ) -> Result<SweepPage, ReadError> {
        let oldest_kept_day = self.inner.day().saturating_sub(retention_days);
        let store = &self.inner.store;
        let rows = store.scan(&partition(workspace), after, PAGE_ROWS).await?;
        let mut dropped = 0;
        for row in &rows {
            let Some(write) = drop_result(row, oldest_kept_day) else {
                continue;
            };
            match store.commit(write).await {
                Ok(()) => dropped += 1,
                Err(CommitError::Conflict) => continue,
                Err(error) => {
                    let reason = error.to_string();
                    return Err(ReadError { reason });
                }
            }
        }
        let full = rows.len() == PAGE_ROWS as usize;
        let last = rows.into_iter().next_back().map(|row| row.key.sort);
        Ok(SweepPage {
            dropped,
            next: last.filter(|_| full),
        })
    }
}
