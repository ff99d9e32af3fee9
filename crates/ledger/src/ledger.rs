//! The running ledger of one entry VM.

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

use crate::fingerprint::Fingerprint;
use crate::gate::{Entry, Gate};
use crate::opening::{Action, Doubt, Event, Opening, Verdict};
use crate::permit::{Claim, Permit};
use crate::record::{Owner, Progress, Record, StoredResult};
use crate::scope::Scope;
use crate::settler::{Backlog, Job, settle_forever};
use crate::settling::Known;
use crate::store::{Reach, Store};

/// Interval at which a closing ledger looks whether all outcomes are written.
const CLOSE_POLL_MS: Millisecond = 10;

/// Advice to a caller whose call is under way or could not be recorded.
const RETRY_AFTER_MS: Millisecond = 1_000;

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct Options {
    /// This entry VM.
    pub vm: Name,
    /// Largest result that is kept. The platform's rows end at 400 KB, and a body grows by a third.
    pub result_limit_bytes: ByteCount,
    /// Bound on each operation of the table.
    pub timeout_ms: Millisecond,
    /// Seed of owner tokens and of probe delays; another for each process.
    pub seed: u64,
}

impl Options {
    /// Usual settings of an entry VM.
    pub fn new(vm: Name, seed: u64) -> Self {
        Self {
            vm,
            result_limit_bytes: 128 << 10,
            timeout_ms: 1_500,
            seed,
        }
    }
}

/// What a call gets before it may be sent.
pub enum BeginResult {
    /// It may be sent, once.
    Run(Permit),
    /// It ran before; this is its answer.
    Replay(StoredResult),
    /// It ran before; its answer was too large to keep. It is never run again.
    TooLarge,
    /// It ran before; its answer is no longer kept. It is never run again.
    Expired,
    /// Another request with this key may be running: `unknown` for this caller, safe to ask again.
    InProgress {
        /// The entry VM that has it.
        vm: Name,
        /// The request that has it.
        request_id: RequestId,
        /// When to ask again.
        retry_after_ms: Millisecond,
    },
    /// The key was used for a call with another fingerprint; this one was not run.
    Mismatch,
    /// It may or may not have run before. It is never run again.
    OutcomeUnknown,
    /// The table gave no verdict; this request was not run and the key may be used again.
    Unavailable {
        /// When to ask again.
        retry_after_ms: Millisecond,
    },
}

/// Ledger of one entry VM; clones share it.
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
    gate: Mutex<Gate>,
    origin: Instant,
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
struct Refused<'a> {
    request: RequestId,
    workspace: &'a str,
    service: &'a str,
    reason: &'static str,
}

impl Ledger {
    /// Starts the ledger and its tasks; needs a running tokio runtime.
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
            gate: Mutex::default(),
            origin: Instant::now(),
        };
        Self {
            inner: Arc::new(inner),
            tasks: Arc::new(Mutex::new(tasks)),
        }
    }

    /// Asks for leave to send a call. If the returned future is dropped, the call is not sent and
    /// its key is freed.
    pub async fn begin(
        &self,
        scope: Scope,
        fingerprint: Fingerprint,
        request_id: RequestId,
    ) -> BeginResult {
        let inner = self.inner.clone();
        let task = tokio::spawn(async move {
            let verdict = inner
                .clone()
                .open_call(&scope, fingerprint, request_id)
                .await;
            if let Some(reason) = refusal(&verdict) {
                let fields = Refused {
                    request: request_id,
                    workspace: &scope.workspace,
                    service: &scope.service,
                    reason,
                };
                events::emit(Code::LedgerRefused, &fields);
            }
            verdict
        });
        task.await.unwrap_or(UNAVAILABLE)
    }

    /// Outcomes that wait for the store.
    pub fn backlog_len(&self) -> usize {
        self.inner.backlog.len()
    }

    /// Waits until the store is asked again.
    pub async fn until_store_up(&self) {
        self.inner.store.until_up().await;
    }

    /// Ends the tasks once all outcomes are written or `deadline_ms` has passed; returns how many
    /// were not. Their rows stay in state *sending*.
    pub async fn close(self, deadline_ms: Millisecond) -> usize {
        let written = async {
            while self.inner.backlog.len() > 0 {
                sleep(Duration::from_millis(CLOSE_POLL_MS)).await;
            }
        };
        let _ = timeout(Duration::from_millis(deadline_ms), written).await;
        for task in self.tasks.lock().expect("no panic while held").drain(..) {
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
        if self.store.reach() == Reach::Down {
            return UNAVAILABLE;
        }
        if self.gate.lock().expect("no panic while held").enter() == Entry::Full {
            return UNAVAILABLE;
        }
        let start = Instant::now();
        let begin = self.clone().ask_store(scope, fingerprint, request_id).await;
        let took_ms = start.elapsed().as_millis() as Millisecond;
        let now_ms = self.origin.elapsed().as_millis() as Millisecond;
        let mut gate = self.gate.lock().expect("no panic while held");
        gate.leave(took_ms, now_ms);
        begin
    }

    async fn ask_store(
        self: Arc<Self>,
        scope: &Scope,
        fingerprint: Fingerprint,
        request_id: RequestId,
    ) -> BeginResult {
        let key = scope.row_key();
        let claim = self.claim(fingerprint, request_id);
        let opening = Opening::new(key.clone(), claim.clone());
        let (mut state, mut action) = opening.start();
        let verdict = loop {
            let event = match action {
                Action::Commit(write) => match self.store.commit(write).await {
                    Ok(()) => Event::Committed,
                    Err(error) => Event::CommitFailed(error),
                },
                Action::Read(key) => match self.store.get(&key).await {
                    Ok(row) => Event::Row(row),
                    Err(_) => Event::ReadFailed,
                },
                Action::Answer(verdict) => break verdict,
            };
            (state, action) = opening.step(state, event);
        };
        self.begin_for(verdict, key, claim)
    }

    fn claim(&self, fingerprint: Fingerprint, request_id: RequestId) -> Record {
        let nonce = self.rng.lock().expect("no panic while held").random();
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

    fn begin_for(self: Arc<Self>, verdict: Verdict, key: Key, record: Record) -> BeginResult {
        match verdict {
            Verdict::Run { version } => BeginResult::Run(Permit::new(Claim {
                inner: self,
                key,
                record,
                version,
            })),
            Verdict::Replay(result) => BeginResult::Replay(result),
            Verdict::TooLarge => BeginResult::TooLarge,
            Verdict::Expired => BeginResult::Expired,
            Verdict::InProgress { owner } => BeginResult::InProgress {
                vm: owner.vm,
                request_id: owner.request_id,
                retry_after_ms: RETRY_AFTER_MS,
            },
            Verdict::Mismatch => BeginResult::Mismatch,
            Verdict::OutcomeUnknown => BeginResult::OutcomeUnknown,
            Verdict::Damaged => {
                events::emit(Code::LedgerRecordDamaged, &Damaged { row: &key.sort });
                BeginResult::OutcomeUnknown
            }
            Verdict::Unavailable(Doubt::Settled) => UNAVAILABLE,
            Verdict::Unavailable(Doubt::MayLand) => {
                self.backlog.push(Job {
                    key,
                    outcome: record.with(Progress::Released),
                    known: Known::Nothing,
                });
                UNAVAILABLE
            }
        }
    }
}

#[derive(Serialize)]
struct Damaged<'a> {
    row: &'a str,
}

fn refusal(begin: &BeginResult) -> Option<&'static str> {
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
