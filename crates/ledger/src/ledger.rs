//! Ledger of one entry VM: runs the state machines of this crate against the table service.

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::Name;
use base::ids::RequestId;
use base::units::{ByteCount, Millisecond};
use events::Code;
use outside::{Key, Table};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::concurrency::{Admission, ConcurrencyLimit};
use crate::fingerprint::Fingerprint;
use crate::opening::{Action, Event, Opening, OpeningDecision, PriorWrites};
use crate::permit::{Claim, Permit};
use crate::record::{Owner, Progress, Record, StoredResult};
use crate::scope::Scope;
use crate::settler::{Backlog, Job, settle_forever};
use crate::settling::KnownRow;
use crate::store::{Availability, Store};

/// Interval at which a closing ledger checks whether all outcomes are written.
const CLOSE_POLL_MS: Millisecond = 10;

/// Retry delay suggested to a caller whose call is in progress or could not be recorded.
const RETRY_AFTER_MS: Millisecond = 1_000;

#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this entry VM.
    pub vm: Name,
    /// Size limit of a stored result, before encoding. A row of the platform holds at most 400 KB,
    /// and base64 makes a body a third larger.
    pub result_limit_bytes: ByteCount,
    /// Timeout of each table operation.
    pub timeout_ms: Millisecond,
    /// Seed of the owner tokens and of the probe delays. Must differ between processes.
    pub seed: u64,
}

impl Options {
    /// Default options of an entry VM.
    pub fn new(vm: Name, seed: u64) -> Self {
        Self {
            vm,
            result_limit_bytes: 128 << 10,
            timeout_ms: 1_500,
            seed,
        }
    }
}

/// Result of [`Ledger::begin`]: whether a call may be sent.
pub enum BeginResult {
    /// The call may be sent, once.
    Run(Permit),
    /// The call ran before; its stored response is replayed.
    Replay(StoredResult),
    /// The call ran before; its response was too large to store. It is never run again.
    TooLarge,
    /// The call ran before; its response is past its retention. It is never run again.
    Expired,
    /// Another request with this key may be running. The caller gets `unknown` and may retry
    /// safely.
    InProgress {
        /// Entry VM that handles the other request.
        vm: Name,
        /// Id of the other request.
        request_id: RequestId,
        retry_after_ms: Millisecond,
    },
    /// The key was used for a call with another fingerprint; this call was not run.
    Mismatch,
    /// The call may or may not have run before. It is never run again.
    OutcomeUnknown,
    /// The store did not confirm a claim. The call was not run, and the caller may retry with the
    /// same key.
    Unavailable { retry_after_ms: Millisecond },
}

/// Ledger of one entry VM; clones share their state.
#[derive(Clone)]
pub struct Ledger {
    pub(crate) inner: Arc<Inner>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

pub(crate) struct Inner {
    pub options: Options,
    pub store: Arc<Store>,
    pub backlog: Arc<Backlog>,
    rng: Mutex<SmallRng>,
    limit: Mutex<ConcurrencyLimit>,
    opened_at: Instant,
}

impl Inner {
    /// Days since 1970.
    pub fn day(&self) -> u32 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let seconds = since.map(|d| d.as_secs()).unwrap_or(0);
        (seconds / (24 * 3_600)) as u32
    }
}

#[derive(Serialize)]
struct RefusedEvent<'a> {
    request: RequestId,
    workspace: &'a str,
    service: &'a str,
    reason: &'static str,
}

impl Ledger {
    /// Starts the ledger and its background tasks. Must be called within a tokio runtime.
    pub fn open(table: Arc<dyn Table>, options: Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let probe_rng = SmallRng::seed_from_u64(rng.random());
        let store = Arc::new(Store::new(table, options.timeout_ms, probe_rng));
        let backlog = Arc::new(Backlog::default());
        let prober = store.clone();
        let tasks = vec![
            tokio::spawn(async move { prober.probe_forever().await }),
            tokio::spawn(settle_forever(store.clone(), backlog.clone())),
        ];
        let inner = Inner {
            options,
            store,
            backlog,
            rng: Mutex::new(rng),
            limit: Mutex::default(),
            opened_at: Instant::now(),
        };
        Self {
            inner: Arc::new(inner),
            tasks: Arc::new(Mutex::new(tasks)),
        }
    }

    /// Claims the key of a call before the call is sent. If the returned future is dropped, the
    /// claim still runs to its end and is then released.
    pub async fn begin(
        &self,
        scope: Scope,
        fingerprint: Fingerprint,
        request_id: RequestId,
    ) -> BeginResult {
        let inner = self.inner.clone();
        let task = tokio::spawn(async move {
            let decision = inner
                .clone()
                .open_call(&scope, fingerprint, request_id)
                .await;
            if let Some(reason) = refusal_reason(&decision) {
                let fields = RefusedEvent {
                    request: request_id,
                    workspace: &scope.workspace,
                    service: &scope.service,
                    reason,
                };
                events::emit(Code::LedgerRefused, &fields);
            }
            decision
        });
        task.await.unwrap_or(UNAVAILABLE)
    }

    /// Number of outcomes that are queued for the store or being written from the queue.
    pub fn backlog_len(&self) -> usize {
        self.inner.backlog.len()
    }

    /// Waits until the store counts as up.
    pub async fn until_store_up(&self) {
        self.inner.store.until_up().await;
    }

    /// Stops the background tasks once all queued outcomes are written, at the latest after
    /// `deadline_ms`. Returns the number of outcomes left; their rows stay in state *sending*.
    ///
    /// # Panics
    ///
    /// If another thread panicked while it held the lock of the task list.
    pub async fn close(self, deadline_ms: Millisecond) -> usize {
        let written = async {
            while self.inner.backlog.len() > 0 {
                sleep(Duration::from_millis(CLOSE_POLL_MS)).await;
            }
        };
        let _ = timeout(Duration::from_millis(deadline_ms), written).await;
        for task in self.tasks.lock().expect("not poisoned").drain(..) {
            task.abort();
        }
        self.inner.backlog.len()
    }
}

const UNAVAILABLE: BeginResult = BeginResult::Unavailable {
    retry_after_ms: RETRY_AFTER_MS,
};

impl Inner {
    async fn open_call(
        self: Arc<Self>,
        scope: &Scope,
        fingerprint: Fingerprint,
        request_id: RequestId,
    ) -> BeginResult {
        if self.store.availability() == Availability::Down {
            return UNAVAILABLE;
        }
        if self.limit.lock().expect("not poisoned").try_acquire() == Admission::Full {
            return UNAVAILABLE;
        }
        let start = Instant::now();
        let begin = self.clone().claim_row(scope, fingerprint, request_id).await;
        let took_ms = start.elapsed().as_millis() as Millisecond;
        let now_ms = self.opened_at.elapsed().as_millis() as Millisecond;
        let mut limit = self.limit.lock().expect("not poisoned");
        limit.release(took_ms, now_ms);
        begin
    }

    async fn claim_row(
        self: Arc<Self>,
        scope: &Scope,
        fingerprint: Fingerprint,
        request_id: RequestId,
    ) -> BeginResult {
        let key = scope.row_key();
        let claim = self.new_claim(fingerprint, request_id);
        let opening = Opening::new(key.clone(), claim.clone());
        let (mut state, mut action) = opening.start();
        let decision = loop {
            let event = match action {
                Action::Commit(write) => match self.store.commit(write).await {
                    Ok(()) => Event::Committed,
                    Err(error) => Event::CommitFailed(error),
                },
                Action::Read(key) => match self.store.get(&key).await {
                    Ok(row) => Event::Row(row),
                    Err(_) => Event::ReadFailed,
                },
                Action::Answer(decision) => break decision,
            };
            (state, action) = opening.step(state, event);
        };
        self.begin_result(decision, key, claim)
    }

    fn new_claim(&self, fingerprint: Fingerprint, request_id: RequestId) -> Record {
        let nonce = self.rng.lock().expect("not poisoned").random();
        Record {
            owner: Owner {
                vm: self.options.vm.clone(),
                request_id,
                nonce,
            },
            fingerprint,
            day: self.day(),
            progress: Progress::Sending,
        }
    }

    fn begin_result(
        self: Arc<Self>,
        decision: OpeningDecision,
        key: Key,
        record: Record,
    ) -> BeginResult {
        match decision {
            OpeningDecision::Run { version } => BeginResult::Run(Permit::new(Claim {
                inner: self,
                key,
                record,
                version,
            })),
            OpeningDecision::Replay(result) => BeginResult::Replay(result),
            OpeningDecision::TooLarge => BeginResult::TooLarge,
            OpeningDecision::Expired => BeginResult::Expired,
            OpeningDecision::InProgress { owner } => BeginResult::InProgress {
                vm: owner.vm,
                request_id: owner.request_id,
                retry_after_ms: RETRY_AFTER_MS,
            },
            OpeningDecision::Mismatch => BeginResult::Mismatch,
            OpeningDecision::OutcomeUnknown => BeginResult::OutcomeUnknown,
            OpeningDecision::Damaged => {
                events::emit(Code::LedgerRecordDamaged, &DamagedEvent { row: &key.sort });
                BeginResult::OutcomeUnknown
            }
            OpeningDecision::Unavailable(PriorWrites::Resolved) => UNAVAILABLE,
            OpeningDecision::Unavailable(PriorWrites::MayLand) => {
                self.backlog.push(Job {
                    key,
                    outcome: record.with_progress(Progress::Released),
                    known_row: KnownRow::Unread,
                });
                UNAVAILABLE
            }
        }
    }
}

#[derive(Serialize)]
struct DamagedEvent<'a> {
    row: &'a str,
}

fn refusal_reason(begin: &BeginResult) -> Option<&'static str> {
    match begin {
        BeginResult::Run(_) => None,
        BeginResult::Replay(_) => Some("replayed"),
        BeginResult::TooLarge => Some("result_too_large"),
        BeginResult::Expired => Some("result_expired"),
        BeginResult::InProgress { .. } => Some("in_progress"),
        BeginResult::Mismatch => Some("mismatch"),
        BeginResult::OutcomeUnknown => Some("outcome_unknown"),
        BeginResult::Unavailable { .. } => Some("store_unavailable"),
    }
}
