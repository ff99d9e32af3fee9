//! Leave to send one call, and the duty to record what became of it.

use std::sync::Arc;

use outside::Key;

use crate::ledger::Inner;
use crate::record::{Progress, Record, StoredResult};
use crate::settler::{self, Job};
use crate::settling::{End, Known};

/// How an outcome was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It is in the row.
    Recorded,
    /// The store did not take it; it is written when the store answers, if this process lives.
    Deferred,
    /// The row belongs to another call; see the event `ledger.outcome_lost`.
    Lost,
}

/// The claim that both kinds of permit hold.
pub(crate) struct Claim {
    pub inner: Arc<Inner>,
    pub key: Key,
    pub record: Record,
    pub version: u64,
}

impl Claim {
    fn job(&self, progress: Progress) -> Job {
        let mut outcome = self.record.with(progress);
        outcome.day = self.inner.day();
        Job {
            key: self.key.clone(),
            outcome,
            known: Known::ClaimedAt(self.version),
        }
    }

    fn defer(self, progress: Progress) {
        self.inner.backlog.push(self.job(progress));
    }

    async fn settle(self, progress: Progress) -> Settled {
        let mut job = self.job(progress);
        // A caller that leaves must not stop the record: the task goes on without its waiter.
        let inner = self.inner.clone();
        let task = tokio::spawn(async move {
            match settler::settle(&inner.store, &job).await {
                End::Recorded => Settled::Recorded,
                End::Lost => Settled::Lost,
                End::TryAgain => {
                    job.known = Known::Nothing;
                    inner.backlog.push(job);
                    Settled::Deferred
                }
            }
        });
        task.await.unwrap_or(Settled::Deferred)
    }
}

/// Leave to send a call of which no byte has been written.
///
/// Dropping it frees the key.
pub struct Permit {
    claim: Option<Claim>,
}

impl Permit {
    pub(crate) fn new(claim: Claim) -> Self {
        Self { claim: Some(claim) }
    }

    /// To be called right before the first byte is handed to a connection. From here on the call
    /// may be `not_run` only if [`RunningCall::not_sent`] is.
    pub fn start(mut self) -> RunningCall {
        RunningCall {
            claim: self.claim.take(),
        }
    }

    /// Frees the key: nothing was sent.
    pub async fn not_sent(mut self) -> Settled {
        match self.claim.take() {
            Some(claim) => claim.settle(Progress::Released).await,
            None => Settled::Recorded,
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

/// A call that may be at a backend server.
///
/// Dropping it records that its outcome is unknown.
pub struct RunningCall {
    claim: Option<Claim>,
}

impl RunningCall {
    /// Records the whole answer, which later calls with the key get.
    pub async fn finish(mut self, result: StoredResult) -> Settled {
        let Some(claim) = self.claim.take() else {
            return Settled::Recorded;
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

    /// Frees the key: certainly no byte was written, as when a connection could not be opened.
    pub async fn not_sent(mut self) -> Settled {
        match self.claim.take() {
            Some(claim) => claim.settle(Progress::Released).await,
            None => Settled::Recorded,
        }
    }

    /// Records that the call may or may not have run; it is never run again.
    pub async fn unknown(mut self) -> Settled {
        match self.claim.take() {
            Some(claim) => claim.settle(Progress::Unknown).await,
            None => Settled::Recorded,
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
