//! The platform's metadata store: rows, transactions under conditions, and the feed. It is sound
//! and linearizable, and answers each call after 4 ms.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, json_answer};
use crate::json::{Json, base64, quote};

/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

type Name = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Name, (String, u64)>,
    history: Vec<(u64, Name, Option<String>)>,
    version: u64,
    /// Newest version in an answer to a query of the table `servers`.
    listed: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::new(Shared {
                state: Mutex::default(),
                changed: Condvar::new(),
                started: Instant::now(),
            }),
        };
        store.listen(listener, Arc::default());
        store
    }

    /// Listens on an address of its own for one machine, which it turns away with 429 while
    /// `is_turned_away` is set.
    pub fn front(&self, ip: Ipv4Addr, is_turned_away: Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("an address");
        self.listen(listener, is_turned_away);
        address
    }

    fn listen(&self, listener: TcpListener, is_turned_away: Arc<AtomicBool>) {
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, is_turned_away) = (serving.clone(), is_turned_away.clone());
                std::thread::spawn(move || serving.serve(stream, &is_turned_away));
            }
        });
    }

    /// Writes a row as the operator or a runner does. Returns its version.
    pub fn put(&self, table: &str, key: &str, body: &str) -> u64 {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.change(name, Some(base64(body.as_bytes())))
    }

    /// Removes a row. The change is accepted when this returns.
    pub fn remove(&self, table: &str, key: &str) {
        self.change((table.to_owned(), String::new(), key.to_owned()), None);
    }

    /// Newest version in an answer to a query of the table `servers`.
    pub fn listed(&self) -> u64 {
        self.shared.state.lock().expect("the state").listed
    }

    fn change(&self, name: Name, value: Option<String>) -> u64 {
        let mut state = self.shared.state.lock().expect("the state");
        state.version += 1;
        let version = state.version;
        state.set(name, value, version);
        drop(state);
        self.shared.changed.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream, is_turned_away: &AtomicBool) {
        let mut conn = Conn::new(stream);
        while let Ok(request) = conn.request() {
            std::thread::sleep(ANSWER);
            let is_away = || is_turned_away.load(Ordering::SeqCst);
            let answer = match request.path() {
                _ if is_away() => json_answer(429, "{}"),
                "/rows-tx" => self.transact(&request),
                "/rows-get" => self.rows(&request),
                "/rows-feed" => self.feed(&request),
                _ => json_answer(404, "{}"),
            };
            // A query that waited for changes is turned away, too; what a write did stays done.
            let answer = match is_away() && request.method() == "GET" {
                true => json_answer(429, "{}"),
                false => answer,
            };
            if conn.send(&answer).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.shared.started.elapsed().as_millis()
    }

    fn transact(&self, request: &Message) -> Vec<u8> {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return json_answer(400, "{}");
        };
        let mut state = self.shared.state.lock().expect("the state");
        let expected = body.get("expectedRevision").list();
        let is_met = expected.iter().all(|row| {
            let version = state
                .rows
                .get(&name(row))
                .map_or(0, |(_, version)| *version);
            version == row.get("ver").integer()
        });
        if !is_met {
            let known = expected.iter().filter_map(|row| {
                let key = name(row);
                let found = state.rows.get(&key)?;
                Some(row_text(&key, &found.0, found.1))
            });
            let known: Vec<String> = known.collect();
            let (version, now_ms) = (state.version, self.now_ms());
            return json_answer(
                412,
                &format!(
                    "{{\"rows\":[{}],\"ver\":{version},\"nowMs\":{now_ms}}}",
                    known.join(",")
                ),
            );
        }
        let touched = body
            .get("writes")
            .list()
            .iter()
            .chain(body.get("deletes").list());
        if touched
            .clone()
            .any(|row| matches!(row.get("table").text(), "op" | "servers"))
        {
            return json_answer(403, "{}");
        }
        state.version += 1;
        let version = state.version;
        for write in body.get("writes").list() {
            state.set(
                name(write),
                Some(write.get("value").text().to_owned()),
                version,
            );
        }
        for delete in body.get("deletes").list() {
            state.set(name(delete), None, version);
        }
        drop(state);
        self.shared.changed.notify_all();
        json_answer(
            200,
            &format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()),
        )
    }

    fn rows(&self, request: &Message) -> Vec<u8> {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let mut state = self.shared.state.lock().expect("the state");
        let found = state.rows.iter().filter(|((t, p, key), _)| {
            *t == table && *p == part && *key >= from && (to.is_empty() || *key < to)
        });
        let rows: Vec<String> = found
            .map(|(key, (value, ver))| row_text(key, value, *ver))
            .collect();
        let has_more = rows.len() > limit;
        let shown = &rows[..rows.len().min(limit)];
        let text = format!(
            "{{\"rows\":[{}],\"hasMore\":{has_more},\"ver\":{},\"nowMs\":{}}}",
            shown.join(","),
            state.version,
            self.now_ms()
        );
        if table == "servers" {
            state.listed = state.version;
        }
        json_answer(200, &text)
    }

    fn feed(&self, request: &Message) -> Vec<u8> {
        let table = request.parameter("table");
        let since: u64 = request.parameter("sinceRevision").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.state.lock().expect("the state");
        loop {
            let rows = state.changes(&table, since);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                if table == "servers" {
                    state.listed = state.version;
                }
                let text = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                    rows.join(","),
                    state.version,
                    self.now_ms()
                );
                return json_answer(200, &text);
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.expect("the state").0;
        }
    }
}

impl State {
    fn set(&mut self, name: Name, value: Option<String>, version: u64) {
        match &value {
            Some(value) => {
                self.rows.insert(name.clone(), (value.clone(), version));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.history.push((version, name, value));
    }

    /// The changes of a table since a version, in order.
    fn changes(&self, table: &str, since: u64) -> Vec<String> {
        let start = self
            .history
            .partition_point(|(version, _, _)| *version <= since);
        let newer = self.history[start..]
            .iter()
            .filter(|(_, name, _)| name.0 == table);
        let shown = newer.map(|(version, name, value)| match value {
            Some(value) => row_text(name, value, *version),
            None => format!(
                "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},\"removed\":true}}",
                quote(&name.0),
                quote(&name.1),
                quote(&name.2)
            ),
        });
        shown.collect()
    }
}

fn name(row: &Json) -> Name {
    let text = |key: &str| row.get(key).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_text(name: &Name, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"ver\":{version}}}",
        quote(&name.0),
        quote(&name.1),
        quote(&name.2),
        quote(value)
    )
}
