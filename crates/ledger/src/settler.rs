//! Queue of outcomes that are not yet recorded, and the background task that writes them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::units::{ByteCount, Millisecond};
use events::Code;
use outside::Key;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::record::{Owner, Progress, Record};
use crate::settling::{Action, Event, KnownRow, Settling, SettlingResult};
use crate::store::{Availability, Store};

/// Maximum number of queued outcomes. Further ones are dropped; their rows stay in state *sending*.
const BACKLOG_LIMIT: usize = 20_000;

/// Maximum total size of the queued results. An outcome that would exceed it is dropped.
const BACKLOG_LIMIT_BYTES: ByteCount = 32 << 20;

/// Delay after a failed write, which limits the rate of retries while the store counts as up.
const RETRY_DELAY_MS: Millisecond = 100;

/// Outcome that is to be written into a row.
#[derive(Clone, Debug)]
pub struct Job {
    /// Key of the row.
    pub key: Key,
    /// New content of the row.
    pub outcome: Record,
    /// Current state of the row, as far as the owner knows it.
    pub known_row: KnownRow,
}

impl Job {
    fn size_bytes(&self) -> ByteCount {
        match &self.outcome.progress {
            Progress::Done { result } => result.size_bytes(),
            _ => 0,
        }
    }
}

#[derive(Serialize)]
struct OutcomeEvent<'a> {
    row: &'a str,
    owner: &'a Owner,
}

fn emit(code: Code, job: &Job) {
    let fields = OutcomeEvent {
        row: &job.key.sort,
        owner: &job.outcome.owner,
    };
    events::emit(code, &fields);
}

/// Bounded queue of outcomes that are not yet recorded.
#[derive(Default)]
pub struct Backlog {
    queue: Mutex<Queue>,
    pushed: Notify,
}

#[derive(Default)]
struct Queue {
    jobs: VecDeque<Job>,
    size_bytes: ByteCount,
    in_progress: usize,
}

impl Backlog {
    /// Appends an outcome. If the queue is full, the outcome is dropped and the event
    /// `ledger.outcome_dropped` is logged.
    pub fn push(&self, job: Job) {
        let mut queue = self.queue.lock().expect("not poisoned");
        let size_bytes = queue.size_bytes + job.size_bytes();
        if queue.jobs.len() >= BACKLOG_LIMIT || size_bytes > BACKLOG_LIMIT_BYTES {
            emit(Code::LedgerOutcomeDropped, &job);
            return;
        }
        queue.size_bytes = size_bytes;
        queue.jobs.push_back(job);
        self.pushed.notify_one();
    }

    /// Number of outcomes that are queued or being written by [`settle_forever`].
    pub fn len(&self) -> usize {
        let queue = self.queue.lock().expect("not poisoned");
        queue.jobs.len() + queue.in_progress
    }

    fn take(&self) -> Option<Job> {
        let mut queue = self.queue.lock().expect("not poisoned");
        let job = queue.jobs.pop_front()?;
        queue.size_bytes -= job.size_bytes();
        queue.in_progress += 1;
        Some(job)
    }

    fn mark_finished(&self) {
        let mut queue = self.queue.lock().expect("not poisoned");
        queue.in_progress -= 1;
    }
}

/// Writes queued outcomes while the store is up; never returns.
pub async fn settle_forever(store: Arc<Store>, backlog: Arc<Backlog>) {
    loop {
        store.until_up().await;
        let Some(mut job) = backlog.take() else {
            backlog.pushed.notified().await;
            continue;
        };
        let result = settle(&store, &job).await;
        backlog.mark_finished();
        if result == SettlingResult::TryAgain {
            job.known_row = KnownRow::Unread;
            backlog.push(job);
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

/// Runs one settling of an outcome; [`SettlingResult::TryAgain`] leaves the retry to the caller.
pub async fn settle(store: &Store, job: &Job) -> SettlingResult {
    if store.availability() == Availability::Down {
        return SettlingResult::TryAgain;
    }
    let settling = Settling::new(job.key.clone(), job.outcome.clone());
    let (mut state, mut action) = settling.start(job.known_row);
    loop {
        let event = match action {
            Action::Commit(write) => match store.commit(write).await {
                Ok(()) => Event::Committed,
                Err(error) => Event::CommitFailed(error),
            },
            Action::Read(key) => match store.get(&key).await {
                Ok(row) => Event::Row(row),
                Err(_) => Event::StoreDown,
            },
            Action::Finish(result) => {
                report_loss(job, result);
                return result;
            }
        };
        (state, action) = settling.step(state, event);
    }
}

fn report_loss(job: &Job, result: SettlingResult) {
    if result == SettlingResult::Lost {
        emit(Code::LedgerOutcomeLost, job);
    }
}
