//! The metadata store: rows, transactions under conditions, feeds, and its outages.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::exchange::{Connection, Request, json as answer};

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// Nothing.
    #[default]
    None,
    /// 503, and nothing is done.
    Busy,
    /// Connections are reset.
    Reset,
    /// Nothing is answered, and nothing is done.
    Silent,
    /// Writes are done and not answered.
    LosesAnswers,
}

type Name = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Name, (String, u64)>,
    history: Vec<(u64, Name, Option<String>)>,
    /// Revisions up to this one are forgotten.
    forgotten: u64,
    version: u64,
    outage: Outage,
    calls: u64,
    /// Restorations so far.
    restored: u64,
}

/// State of the store at one moment, from which it can be restored.
pub struct StoreCopy {
    rows: BTreeMap<Name, (String, u64)>,
    history: Vec<(u64, Name, Option<String>)>,
    version: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// A running store.
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Store {
    /// Starts an empty store on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen on loopback.
    pub async fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, body: &Value) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.shared
            .write(name, Some(BASE64.encode(body.to_string())));
    }

    /// Writes bytes that may be no row of that table at all.
    pub fn put_bytes(&self, table: &str, key: &str, body: &[u8]) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.shared.write(name, Some(BASE64.encode(body)));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared
            .write((table.to_owned(), String::new(), key.to_owned()), None);
    }

    /// Sets what is wrong.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().outage = outage;
        self.shared.changed.notify_waiters();
    }

    /// Forgets the history so far.
    pub fn forget(&self) {
        let mut state = self.shared.lock();
        state.forgotten = state.version;
        state.history.clear();
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Takes a copy of all rows.
    pub fn copy(&self) -> StoreCopy {
        let state = self.shared.lock();
        StoreCopy {
            rows: state.rows.clone(),
            history: state.history.clone(),
            version: state.version,
        }
    }

    /// Goes back to a copy: later writes are lost, and their versions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.shared.lock();
        state.rows = copy.rows;
        state.history = copy.history;
        state.version = copy.version;
        state.restored += 1;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Value of a row of the system's own table.
    pub fn own_row(&self, part: &str, key: &str) -> Option<String> {
        let name = ("apricotledge".to_owned(), part.to_owned(), key.to_owned());
        let state = self.shared.lock();
        let (value, _) = state.rows.get(&name)?;
        String::from_utf8(BASE64.decode(value).ok()?).ok()
    }

    /// Value of a row that a runner, the operator or the system wrote without a partition.
    pub fn row(&self, table: &str, key: &str) -> Option<Value> {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let state = self.shared.lock();
        let (value, _) = state.rows.get(&name)?;
        serde_json::from_slice(&BASE64.decode(value).ok()?).ok()
    }

    /// Calls so far, refused ones too.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Ends the store.
    pub fn close(self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, name: Name, value: Option<String>) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.set(name, value, version);
        drop(state);
        self.changed.notify_waiters();
    }
}

impl State {
    fn set(&mut self, name: Name, value: Option<String>, version: u64) {
        match &value {
            Some(value) => self.rows.insert(name.clone(), (value.clone(), version)),
            None => self.rows.remove(&name),
        };
        self.history.push((version, name, value));
    }

    fn version_of(&self, name: &Name) -> u64 {
        self.rows.get(name).map_or(0, |(_, version)| *version)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, shared.clone()));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let mut connection = Connection::new(stream);
    while let Some(request) = connection.request().await {
        let outage = {
            let mut state = shared.lock();
            state.calls += 1;
            state.outage
        };
        let reply = match outage {
            Outage::Reset => return,
            Outage::Silent => return connection.closed().await,
            Outage::Busy => answer(503, &json!({})),
            Outage::None | Outage::LosesAnswers => reply(&shared, &request).await,
        };
        if outage == Outage::LosesAnswers && request.method == "POST" {
            return connection.closed().await;
        }
        let reply = with_era(&reply, shared.lock().restored + 1);
        if connection.send(&reply).await.is_none() {
            return;
        }
    }
}

/// Adds the header field with the era.
fn with_era(reply: &[u8], era: u64) -> Vec<u8> {
    let line_end = reply.iter().position(|byte| *byte == b'\n');
    let (line, rest) = reply.split_at(line_end.map_or(0, |at| at + 1));
    [line, format!("Store-Era: {era}\r\n").as_bytes(), rest].concat()
}

async fn reply(shared: &Shared, request: &Request) -> Vec<u8> {
    match request.path() {
        "/rows-tx" => transact(shared, &request.body),
        "/rows-get" => rows(&shared.lock(), request),
        "/rows-feed" => feed(shared, request).await,
        _ => answer(404, &json!({})),
    }
}

fn transact(shared: &Shared, body: &[u8]) -> Vec<u8> {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return answer(400, &json!({}));
    };
    let list = |key: &str| body[key].as_array().cloned().unwrap_or_default();
    let mut state = shared.lock();
    for expected in list("expectedRevision") {
        let wanted = expected["ver"].as_u64().unwrap_or(0);
        if state.version_of(&name(&expected)) != wanted {
            return answer(412, &json!({ "ver": state.version }));
        }
    }
    state.version += 1;
    let version = state.version;
    for write in list("writes") {
        let value = write["value"].as_str().unwrap_or_default().to_owned();
        state.set(name(&write), Some(value), version);
    }
    for delete in list("deletes") {
        state.set(name(&delete), None, version);
    }
    drop(state);
    shared.changed.notify_waiters();
    answer(200, &json!({ "ver": version }))
}

fn name(row: &Value) -> Name {
    let text = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn rows(state: &State, request: &Request) -> Vec<u8> {
    let (table, part) = (request.parameter("table"), request.parameter("part"));
    let (from, to) = (request.parameter("from"), request.parameter("to"));
    let listed = state.rows.iter().filter(|((t, p, key), _)| {
        *t == table && *p == part && *key >= from && (to.is_empty() || *key < to)
    });
    let rows: Vec<Value> = listed
        .map(|((table, part, key), (value, version))| {
            json!({ "table": table, "part": part, "key": key, "value": value, "ver": version })
        })
        .collect();
    answer(
        200,
        &json!({ "rows": rows, "hasMore": false, "ver": state.version }),
    )
}

async fn feed(shared: &Shared, request: &Request) -> Vec<u8> {
    let table = request.parameter("table");
    let since: u64 = request.parameter("sinceRevision").parse().unwrap_or(0);
    let wait_ms: u64 = request.parameter("waitMs").parse().unwrap_or(0);
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.lock();
            if since < state.forgotten || since > state.version {
                return answer(410, &json!({}));
            }
            let changes = changes(&state, &table, since);
            if !changes.is_empty() {
                return answer(200, &json!({ "rows": changes, "ver": state.version }));
            }
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            let version = shared.lock().version;
            return answer(200, &json!({ "rows": [], "ver": version }));
        }
    }
}

fn changes(state: &State, table: &str, since: u64) -> Vec<Value> {
    let mut changes = Vec::new();
    for (version, (of, part, key), value) in &state.history {
        if *version <= since || of != table {
            continue;
        }
        changes.push(match value {
            Some(value) => json!({ "part": part, "key": key, "value": value, "ver": version }),
            None => json!({ "part": part, "key": key, "ver": version, "removed": true }),
        });
    }
    changes
}
