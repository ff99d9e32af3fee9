//! End of retention: results are dropped, their rows stay, so that no key runs a second time.

use outside::{CommitError, Condition, ReadError, Row, Write};

use crate::ledger::Ledger;
use crate::record::{Progress, Record};
use crate::scope::partition;

/// Rows read in one page.
pub const PAGE_ROWS: u32 = 50;

/// What one page gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SweepPage {
    /// Results that were dropped.
    pub dropped: u32,
    /// Where the next page starts; `None` at the partition's end.
    pub next: Option<String>,
}

/// Write that drops a row's result if it was written before `oldest_kept_day`.
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
    /// Drops old results in one page of a workspace's records, starting above `after` (empty at
    /// first). Several entry VMs may do so at once.
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
