//! Calls a second that a table of limited writes carries, for each way to record a call.
//!
//! The table is a model on the runtime's paused clock: each write takes a slot at a fixed rate and
//! each operation a round trip. Prints one row for each way and rate of calls.

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
const RUN: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(20);
const BOUND: Duration = Duration::from_millis(1_500);
const BATCH_ROWS: usize = 25;
const RANGE_PAUSE: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Claim, about to send, result: a row, three writes.
    ClaimFirst,
    /// The product: about to send, result.
    Ledger,
    /// As the product, writes that wait are committed together; the table counts rows.
    GroupCommitByRow,
    /// The same; the table counts transactions.
    GroupCommitByTransaction,
    /// One of six owners of a key range writes one row for all calls that wait.
    LeasedRange,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Cost {
    Row,
    Transaction,
}

/// Table with a fixed rate of writes.
struct Limited {
    cost: Cost,
    rows: Mutex<BTreeMap<Key, Row>>,
    free_at: Mutex<Instant>,
    writes: Mutex<u64>,
}

impl Limited {
    fn open(cost: Cost) -> Arc<Self> {
        Arc::new(Self {
            cost,
            rows: Mutex::default(),
            free_at: Mutex::new(Instant::now()),
            writes: Mutex::default(),
        })
    }

    async fn slot(&self, rows: usize) {
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
impl Table for Limited {
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        sleep(ROUND_TRIP).await;
        Ok(self.rows.lock().unwrap().get(key).cloned())
    }

    async fn scan(&self, _: &str, _: &str, _: u32) -> Result<Vec<Row>, ReadError> {
        Ok(Vec::new())
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        self.slot(writes.len()).await;
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

type Waiting = (Vec<Write>, oneshot::Sender<Result<(), CommitError>>);

/// Commits together what arrives while a commit is under way.
struct Grouped {
    table: Arc<Limited>,
    sender: mpsc::UnboundedSender<Waiting>,
}

impl Grouped {
    fn open(table: Arc<Limited>, batch_rows: usize, pause: Duration) -> Arc<Self> {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(commit_in_groups(table.clone(), receiver, batch_rows, pause));
        Arc::new(Self { table, sender })
    }
}

async fn commit_in_groups(
    table: Arc<Limited>,
    mut receiver: mpsc::UnboundedReceiver<Waiting>,
    batch_rows: usize,
    pause: Duration,
) {
    let mut waiting = Vec::new();
    while receiver.recv_many(&mut waiting, batch_rows).await > 0 {
        if !pause.is_zero() {
            sleep(pause).await;
            while let Ok(next) = receiver.try_recv() {
                waiting.push(next);
            }
        }
        let mut writes = Vec::new();
        let mut answers = Vec::new();
        for (of_one, answer) in waiting.drain(..) {
            writes.extend(of_one);
            answers.push(answer);
        }
        let result = table.commit(writes).await;
        for answer in answers {
            let _ = answer.send(result.clone());
        }
    }
}

#[async_trait]
impl Table for Grouped {
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
struct Tally {
    begun_ms: Vec<u64>,
    refused: u64,
}

async fn call_ledger(ledger: Ledger, number: u64, tally: Arc<Mutex<Tally>>) {
    let scope = Scope {
        workspace: "coop".into(),
        service: "filing".into(),
        key: number.to_string().parse().unwrap(),
    };
    let fingerprint = Fingerprint::of("POST", "/file", |_| None, b"body");
    let start = Instant::now();
    let request = RequestId::from(u128::from(number));
    let BeginResult::Run(permit) = ledger.begin(scope, fingerprint, request).await else {
        tally.lock().unwrap().refused += 1;
        return;
    };
    let begun_ms = start.elapsed().as_millis() as u64;
    tally.lock().unwrap().begun_ms.push(begun_ms);
    let running = permit.start();
    sleep(RUN).await;
    let result = StoredResult {
        status: 200,
        headers: Vec::new(),
        body: Default::default(),
    };
    running.finish(result).await;
}

async fn call_raw(table: Arc<dyn Table>, way: Way, number: u64, tally: Arc<Mutex<Tally>>) {
    let put = |number: u64| Write::Put {
        key: Key::new("raw", number.to_string()),
        body: String::new(),
        condition: Condition::Any,
    };
    let before = match way {
        Way::ClaimFirst => 2,
        _ => 1,
    };
    let start = Instant::now();
    for _ in 0..before {
        if timeout(BOUND, table.commit(vec![put(number)]))
            .await
            .is_err()
        {
            tally.lock().unwrap().refused += 1;
            return;
        }
    }
    let begun_ms = start.elapsed().as_millis() as u64;
    tally.lock().unwrap().begun_ms.push(begun_ms);
    sleep(RUN).await;
    let _ = table.commit(vec![put(number)]).await;
}

fn tables(way: Way, limited: &Arc<Limited>) -> Vec<Arc<dyn Table>> {
    let each = |_| -> Arc<dyn Table> {
        match way {
            Way::ClaimFirst | Way::Ledger => limited.clone(),
            Way::GroupCommitByRow | Way::GroupCommitByTransaction => {
                Grouped::open(limited.clone(), BATCH_ROWS, Duration::ZERO)
            }
            Way::LeasedRange => Grouped::open(limited.clone(), usize::MAX >> 1, RANGE_PAUSE),
        }
    };
    (0..6).map(each).collect()
}

async fn measure(way: Way, calls_per_s: u64) {
    let cost = match way {
        Way::GroupCommitByTransaction | Way::LeasedRange => Cost::Transaction,
        _ => Cost::Row,
    };
    let limited = Limited::open(cost);
    let tables = tables(way, &limited);
    let mut ledgers = Vec::new();
    for (number, table) in tables.iter().enumerate() {
        let vm = format!("vm-{number}").into();
        ledgers.push(Ledger::open(table.clone(), Options::new(vm, number as u64)));
    }
    let tally = Arc::new(Mutex::new(Tally::default()));
    let calls = calls_per_s * LENGTH.as_secs();
    let start = Instant::now();
    for number in 0..calls {
        let vm = (number % 6) as usize;
        match way {
            Way::ClaimFirst | Way::LeasedRange => {
                tokio::spawn(call_raw(tables[vm].clone(), way, number, tally.clone()));
            }
            _ => {
                tokio::spawn(call_ledger(ledgers[vm].clone(), number, tally.clone()));
            }
        }
        sleep_until(start + Duration::from_micros(number * 1_000_000 / calls_per_s)).await;
    }
    sleep(Duration::from_secs(60)).await;
    let mut tally = tally.lock().unwrap();
    tally.begun_ms.sort_unstable();
    let begun = tally.begun_ms.len();
    let at = |share: f64| tally.begun_ms.get((begun as f64 * share) as usize).copied();
    let writes = *limited.writes.lock().unwrap() as f64 / calls as f64;
    println!(
        "| {way:?} | {calls_per_s} | {:.1}% | {:?} | {:?} | {writes:.2} |",
        100.0 * tally.refused as f64 / calls as f64,
        at(0.5).unwrap_or(0),
        at(0.99).unwrap_or(0),
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    println!("| way | calls/s | refused | begin p50 ms | begin p99 ms | writes counted per call |");
    println!("|---|---|---|---|---|---|");
    let ways = [
        Way::ClaimFirst,
        Way::Ledger,
        Way::GroupCommitByRow,
        Way::GroupCommitByTransaction,
        Way::LeasedRange,
    ];
    for way in ways {
        for calls_per_s in [50, 120, 180, 300, 1_000, 4_000] {
            measure(way, calls_per_s).await;
        }
    }
}
