//! Outcomes that wait for the store, and the task that writes them.

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
use crate::settling::{Action, End, Event, Known, Settling};
use crate::store::{Availability, Store};

/// Most outcomes that wait; further ones are dropped, and their rows stay in state *sending*.
const WAITING_LIMIT: usize = 20_000;

/// Most bytes of results that wait.
const WAITING_LIMIT_BYTES: ByteCount = 32 << 20;

/// Pause after an outcome that could not be written though the store was not known to be down.
const PAUSE_MS: Millisecond = 100;

/// An outcome on its way into a row.
#[derive(Clone, Debug)]
pub struct Job {
    /// The row.
    pub key: Key,
    /// What it shall say.
    pub outcome: Record,
    /// What is known of it.
    pub known: Known,
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
struct Outcome<'a> {
    row: &'a str,
    owner: &'a Owner,
}

fn emit(code: Code, job: &Job) {
    let fields = Outcome {
        row: &job.key.sort,
        owner: &job.outcome.owner,
    };
    events::emit(code, &fields);
}

/// Bounded queue of outcomes.
#[derive(Default)]
pub struct Backlog {
    waiting: Mutex<Waiting>,
    filled: Notify,
}

#[derive(Default)]
struct Waiting {
    jobs: VecDeque<Job>,
    size_bytes: ByteCount,
    under_way: usize,
}

impl Backlog {
    /// Adds an outcome, to be written after those already there.
    pub fn push(&self, job: Job) {
        let mut waiting = self.waiting.lock().expect("no panic while held");
        let size_bytes = waiting.size_bytes + job.size_bytes();
        if waiting.jobs.len() >= WAITING_LIMIT || size_bytes > WAITING_LIMIT_BYTES {
            emit(Code::LedgerOutcomeDropped, &job);
            return;
        }
        waiting.size_bytes = size_bytes;
        waiting.jobs.push_back(job);
        self.filled.notify_one();
    }

    /// Outcomes not yet written.
    pub fn len(&self) -> usize {
        let waiting = self.waiting.lock().expect("no panic while held");
        waiting.jobs.len() + waiting.under_way
    }

    fn take(&self) -> Option<Job> {
        let mut waiting = self.waiting.lock().expect("no panic while held");
        let job = waiting.jobs.pop_front()?;
        waiting.size_bytes -= job.size_bytes();
        waiting.under_way += 1;
        Some(job)
    }

    fn finished(&self) {
        let mut waiting = self.waiting.lock().expect("no panic while held");
        waiting.under_way -= 1;
    }
}

/// Writes waiting outcomes as the store allows; never returns.
pub async fn settle_forever(store: Arc<Store>, backlog: Arc<Backlog>) {
    loop {
        store.until_up().await;
        let Some(mut job) = backlog.take() else {
            backlog.filled.notified().await;
            continue;
        };
        let end = settle(&store, &job).await;
        backlog.finished();
        if end == End::TryAgain {
            job.known = Known::Nothing;
            backlog.push(job);
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }
}

/// Tries once to write an outcome.
pub async fn settle(store: &Store, job: &Job) -> End {
    if store.availability() == Availability::Down {
        return End::TryAgain;
    }
    let settling = Settling::new(job.key.clone(), job.outcome.clone());
    let (mut state, mut action) = settling.start(job.known);
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
            Action::End(end) => {
                report(job, end);
                return end;
            }
        };
        (state, action) = settling.step(state, event);
    }
}

fn report(job: &Job, end: End) {
    if end == End::Lost {
        emit(Code::LedgerOutcomeLost, job);
    }
}
