//! Permission to send one call, which obliges its holder to record the outcome.

use std::sync::Arc;

use outside::Key;

use crate::ledger::Inner;
use crate::record::{Progress, Record, StoredResult};
use crate::settler::{self, Job};
use crate::settling::{KnownRow, SettlingResult};

/// Result of recording the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeStatus {
    /// The outcome is in the row.
    Recorded,
    /// The store did not confirm the write; it is retried in the background while this process
    /// runs.
    Deferred,
    /// The row belongs to another call; the event `ledger.outcome_lost` is logged.
    Lost,
}

/// Claim of a row, held by [`Permit`] and then by [`RunningCall`].
pub(crate) struct Claim {
    pub inner: Arc<Inner>,
    pub key: Key,
    pub record: Record,
    pub version: u64,
}

impl Claim {
    fn job(&self, progress: Progress) -> Job {
        let mut outcome = self.record.with_progress(progress);
        outcome.day = self.inner.day();
        Job {
            key: self.key.clone(),
            outcome,
            known_row: KnownRow::ClaimedAt(self.version),
        }
    }

    fn defer(self, progress: Progress) {
        self.inner.backlog.push(self.job(progress));
    }

    async fn settle(self, progress: Progress) -> OutcomeStatus {
        let mut job = self.job(progress);
        // If the caller disconnects, this future is dropped; the spawned task still records the
        // outcome.
        let inner = self.inner.clone();
        let task = tokio::spawn(async move {
            match settler::settle(&inner.store, &job).await {
                SettlingResult::Recorded => OutcomeStatus::Recorded,
                SettlingResult::Lost => OutcomeStatus::Lost,
                SettlingResult::TryAgain => {
                    job.known_row = KnownRow::Unread;
                    inner.backlog.push(job);
                    OutcomeStatus::Deferred
                }
            }
        });
        task.await.unwrap_or(OutcomeStatus::Deferred)
    }
}

/// Permission to send a call of which no byte has been sent yet.
///
/// Dropping the permit releases the key in the background.
pub struct Permit {
    claim: Option<Claim>,
}

impl Permit {
    pub(crate) fn new(claim: Claim) -> Self {
        Self { claim: Some(claim) }
    }

    /// Marks the call as running. Must be called right before the first byte is handed to a
    /// connection. Afterwards the caller may be told `not_run` only after
    /// [`RunningCall::not_sent`].
    pub fn start(mut self) -> RunningCall {
        RunningCall {
            claim: self.claim.take(),
        }
    }

    /// Releases the key, as nothing was sent.
    pub async fn not_sent(mut self) -> OutcomeStatus {
        match self.claim.take() {
            Some(claim) => claim.settle(Progress::Released).await,
            None => OutcomeStatus::Recorded,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.defer(Progress::Released);
        }
    }
}

/// Call that may have reached a backend server.
///
/// Dropping the value records in the background that the outcome is unknown.
pub struct RunningCall {
    claim: Option<Claim>,
}

impl RunningCall {
    /// Records the complete response, which is replayed to later calls with the key. Of a response
    /// above the size limit, only the status and the size are recorded.
    pub async fn finish(mut self, result: StoredResult) -> OutcomeStatus {
        let Some(claim) = self.claim.take() else {
            return OutcomeStatus::Recorded;
        };
        let size_bytes = result.size_bytes();
        let progress = if size_bytes > claim.inner.options.result_limit_bytes {
            Progress::TooLarge {
                status: result.status,
                size_bytes,
            }
        } else {
            Progress::Done { result }
        };
        claim.settle(progress).await
    }

    /// Releases the key. Allowed only if certainly no byte was sent, for example because no
    /// connection could be opened.
    pub async fn not_sent(mut self) -> OutcomeStatus {
        match self.claim.take() {
            Some(claim) => claim.settle(Progress::Released).await,
            None => OutcomeStatus::Recorded,
        }
    }

    /// Records that the call may or may not have run. The key stays closed: the call is never sent
    /// again.
    pub async fn unknown(mut self) -> OutcomeStatus {
        match self.claim.take() {
            Some(claim) => claim.settle(Progress::Unknown).await,
            None => OutcomeStatus::Recorded,
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.defer(Progress::Unknown);
        }
    }
}
