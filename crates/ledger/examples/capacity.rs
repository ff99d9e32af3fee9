//! Compares methods of recording calls by the call rate that a table with a limited write rate
//! sustains.
//!
//! The table is simulated on the paused clock of tokio: writes are served at a fixed rate, and each
//! operation takes one round trip. Prints a Markdown table with one row per method and call rate.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use base::ids::RequestId;
use ledger::{BeginResult, Fingerprint, Ledger, Options, Scope, StoredResult};
use outside::{CommitError, Condition, Key, ReadError, Row, Table, Write};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const WRITES_PER_S: u64 = 400;
const ROUND_TRIP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_millis(50);
const LOAD_TIME: Duration = Duration::from_secs(20);
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
const BATCH_ROWS: usize = 25;
const RANGE_BATCH_DELAY: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordingMethod {
    /// Three writes to the call's row: the claim, the start of the run, the result.
    ClaimFirst,
    /// The ledger of this crate, with two writes: the claim before sending, and the result.
    Ledger,
    /// The ledger, with concurrent writes committed together; each row counts as a write.
    GroupCommitByRow,
    /// The ledger, with concurrent writes committed together; each transaction counts as a write.
    GroupCommitByTransaction,
    /// Each of six nodes owns a key range and writes one transaction for all calls that are queued.
    LeasedRange,
}

/// Unit that uses up the write rate of the table.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cost {
    Row,
    Transaction,
}

/// In-memory table that serves writes at a fixed rate.
struct RateLimitedTable {
    cost: Cost,
    rows: Mutex<BTreeMap<Key, Row>>,
    free_at: Mutex<Instant>,
    writes: Mutex<u64>,
}

impl RateLimitedTable {
    fn open(cost: Cost) -> Arc<Self> {
        Arc::new(Self {
            cost,
            rows: Mutex::default(),
            free_at: Mutex::new(Instant::now()),
            writes: Mutex::default(),
        })
    }

    async fn take_write_slots(&self, rows: usize) {
        let writes = match self.cost {
            Cost::Row => rows as u64,
            Cost::Transaction => 1,
        };
        *self.writes.lock().unwrap() += writes;
        let at = {
            let mut free_at = self.free_at.lock().unwrap();
            let spacing = Duration::from_micros(writes * 1_000_000 / WRITES_PER_S);
            *free_at = (*free_at).max(Instant::now()) + spacing;
            *free_at
        };
        sleep_until(at).await;
        sleep(ROUND_TRIP).await;
    }
}

#[async_trait]
impl Table for RateLimitedTable {
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        sleep(ROUND_TRIP).await;
        Ok(self.rows.lock().unwrap().get(key).cloned())
    }

    async fn scan(&self, _: &str, _: &str, _: u32) -> Result<Vec<Row>, ReadError> {
        Ok(Vec::new())
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        self.take_write_slots(writes.len()).await;
        let mut rows = self.rows.lock().unwrap();
        for write in writes {
            let Write::Put {
                key,
                body,
                condition,
            } = write
            else {
                continue;
            };
            let version = rows.get(&key).map_or(0, |row| row.version);
            let holds = match condition {
                Condition::Any => true,
                Condition::Absent => version == 0,
                Condition::VersionIs(wanted) => version == wanted,
            };
            if !holds {
                return Err(CommitError::Conflict);
            }
            let version = version + 1;
            rows.insert(key.clone(), Row { key, body, version });
        }
        Ok(())
    }
}

type QueuedCommit = (Vec<Write>, oneshot::Sender<Result<(), CommitError>>);

/// Table client that commits together the writes that arrive during the previous commit.
struct GroupCommitTable {
    table: Arc<RateLimitedTable>,
    sender: mpsc::UnboundedSender<QueuedCommit>,
}

impl GroupCommitTable {
    fn open(table: Arc<RateLimitedTable>, batch_rows: usize, batch_delay: Duration) -> Arc<Self> {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(commit_batches(
            table.clone(),
            receiver,
            batch_rows,
            batch_delay,
        ));
        Arc::new(Self { table, sender })
    }
}

async fn commit_batches(
    table: Arc<RateLimitedTable>,
    mut receiver: mpsc::UnboundedReceiver<QueuedCommit>,
    batch_rows: usize,
    batch_delay: Duration,
) {
    let mut queued = Vec::new();
    while receiver.recv_many(&mut queued, batch_rows).await > 0 {
        if !batch_delay.is_zero() {
            sleep(batch_delay).await;
            while let Ok(next) = receiver.try_recv() {
                queued.push(next);
            }
        }
        let mut writes = Vec::new();
        let mut answers = Vec::new();
        for (commit_writes, answer) in queued.drain(..) {
            writes.extend(commit_writes);
            answers.push(answer);
        }
        let result = table.commit(writes).await;
        for answer in answers {
            let _ = answer.send(result.clone());
        }
    }
}

#[async_trait]
impl Table for GroupCommitTable {
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        self.table.get(key).await
    }

    async fn scan(&self, _: &str, _: &str, _: u32) -> Result<Vec<Row>, ReadError> {
        Ok(Vec::new())
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        let (answer, result) = oneshot::channel();
        let _ = self.sender.send((writes, answer));
        result.await.unwrap_or(Err(CommitError::Conflict))
    }
}

#[derive(Default)]
struct CallCounts {
    begun_ms: Vec<u64>,
    refused: u64,
}

async fn call_ledger(ledger: Ledger, number: u64, counts: Arc<Mutex<CallCounts>>) {
    let scope = Scope {
        workspace: "coop".into(),
        service: "filing".into(),
        key: number.to_string().parse().unwrap(),
    };
    let fingerprint = Fingerprint::of("POST", "/file", |_| None, b"body");
    let start = Instant::now();
    let request = RequestId::from(u128::from(number));
    let BeginResult::Run(permit) = ledger.begin(scope, fingerprint, request).await else {
        counts.lock().unwrap().refused += 1;
        return;
    };
    let begun_ms = start.elapsed().as_millis() as u64;
    counts.lock().unwrap().begun_ms.push(begun_ms);
    let running = permit.start();
    sleep(RUN_TIME).await;
    let result = StoredResult {
        status: 200,
        headers: Vec::new(),
        body: Default::default(),
    };
    running.finish(result).await;
}

async fn call_raw(
    table: Arc<dyn Table>,
    method: RecordingMethod,
    number: u64,
    counts: Arc<Mutex<CallCounts>>,
) {
    let put = |number: u64| Write::Put {
        key: Key::new("raw", number.to_string()),
        body: String::new(),
        condition: Condition::Any,
    };
    let writes_before_run = match method {
        RecordingMethod::ClaimFirst => 2,
        _ => 1,
    };
    let start = Instant::now();
    for _ in 0..writes_before_run {
        if timeout(COMMIT_TIMEOUT, table.commit(vec![put(number)]))
            .await
            .is_err()
        {
            counts.lock().unwrap().refused += 1;
            return;
        }
    }
    let begun_ms = start.elapsed().as_millis() as u64;
    counts.lock().unwrap().begun_ms.push(begun_ms);
    sleep(RUN_TIME).await;
    let _ = table.commit(vec![put(number)]).await;
}

fn tables_for(method: RecordingMethod, limited: &Arc<RateLimitedTable>) -> Vec<Arc<dyn Table>> {
    let table_of = |_| -> Arc<dyn Table> {
        match method {
            RecordingMethod::ClaimFirst | RecordingMethod::Ledger => limited.clone(),
            RecordingMethod::GroupCommitByRow | RecordingMethod::GroupCommitByTransaction => {
                GroupCommitTable::open(limited.clone(), BATCH_ROWS, Duration::ZERO)
            }
            RecordingMethod::LeasedRange => {
                GroupCommitTable::open(limited.clone(), usize::MAX >> 1, RANGE_BATCH_DELAY)
            }
        }
    };
    (0..6).map(table_of).collect()
}

async fn measure(method: RecordingMethod, calls_per_s: u64) {
    let cost = match method {
        RecordingMethod::GroupCommitByTransaction | RecordingMethod::LeasedRange => {
            Cost::Transaction
        }
        _ => Cost::Row,
    };
    let limited = RateLimitedTable::open(cost);
    let tables = tables_for(method, &limited);
    let mut ledgers = Vec::new();
    for (number, table) in tables.iter().enumerate() {
        let vm = format!("vm-{number}").into();
        ledgers.push(Ledger::open(table.clone(), Options::new(vm, number as u64)));
    }
    let counts = Arc::new(Mutex::new(CallCounts::default()));
    let calls = calls_per_s * LOAD_TIME.as_secs();
    let start = Instant::now();
    for number in 0..calls {
        let vm = (number % 6) as usize;
        match method {
            RecordingMethod::ClaimFirst | RecordingMethod::LeasedRange => {
                tokio::spawn(call_raw(tables[vm].clone(), method, number, counts.clone()));
            }
            _ => {
                tokio::spawn(call_ledger(ledgers[vm].clone(), number, counts.clone()));
            }
        }
        sleep_until(start + Duration::from_micros(number * 1_000_000 / calls_per_s)).await;
    }
    sleep(Duration::from_secs(60)).await;
    let mut counts = counts.lock().unwrap();
    counts.begun_ms.sort_unstable();
    let begun = counts.begun_ms.len();
    let percentile_ms = |share: f64| {
        counts
            .begun_ms
            .get((begun as f64 * share) as usize)
            .copied()
    };
    let writes = *limited.writes.lock().unwrap() as f64 / calls as f64;
    println!(
        "| {method:?} | {calls_per_s} | {:.1}% | {:?} | {:?} | {writes:.2} |",
        100.0 * counts.refused as f64 / calls as f64,
        percentile_ms(0.5).unwrap_or(0),
        percentile_ms(0.99).unwrap_or(0),
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    println!("| way | calls/s | refused | begin p50 ms | begin p99 ms | writes counted per call |");
    println!("|---|---|---|---|---|---|");
    let methods = [
        RecordingMethod::ClaimFirst,
        RecordingMethod::Ledger,
        RecordingMethod::GroupCommitByRow,
        RecordingMethod::GroupCommitByTransaction,
        RecordingMethod::LeasedRange,
    ];
    for method in methods {
        for calls_per_s in [50, 120, 180, 300, 1_000, 4_000] {
            measure(method, calls_per_s).await;
        }
    }
}
