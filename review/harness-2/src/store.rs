//! The platform's store and its API for duties, as PROTOCOL.md describes them, without faults.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::json::{self, Json};

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn set(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.history.push((self.version, key, value));
    }
}

impl Store {
    /// Starts the store on a free port of loopback.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let serving = store.clone();
        let address = serve(move |request| serving.answer(request));
        (store, address)
    }

    /// Writes a row without a part, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.set(key, Some(base64(text.as_bytes())));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        thread::sleep(Duration::from_millis(3));
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let found = query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name);
            found.map(|(_, value)| decode(value))
        };
        match path {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.rows(&parameter),
            "/rows-feed" => self.feed(&parameter),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        for expected in body.get("expectedRevision").list() {
            let known = state
                .rows
                .get(&key(expected))
                .map_or(0, |(_, version)| *version);
            if known != expected.get("ver").number() {
                return (412, format!("{{\"rows\":[],\"ver\":{}}}", state.version));
            }
        }
        state.version += 1;
        for write in body.get("writes").list() {
            state.set(key(write), Some(write.get("value").text().to_owned()));
        }
        for delete in body.get("deletes").list() {
            state.set(key(delete), None);
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{},\"nowMs\":1}}", state.version))
    }

    fn rows(&self, parameter: &dyn Fn(&str) -> Option<String>) -> (u16, String) {
        let text = |name: &str| parameter(name).unwrap_or_default();
        let (table, part, from, to) = (text("table"), text("part"), text("from"), parameter("to"));
        let limit: usize = text("limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let within = |k: &Key| {
            k.0 == table && k.1 == part && k.2 >= from && to.as_ref().is_none_or(|to| k.2 < *to)
        };
        let found: Vec<_> = state.rows.iter().filter(|(k, _)| within(k)).collect();
        let rows = found
            .iter()
            .take(limit)
            .map(|(k, (value, ver))| row(k, Some(value), *ver));
        let rows: Vec<String> = rows.collect();
        let more = found.len() > limit;
        let (rows, ver) = (rows.join(","), state.version);
        (
            200,
            format!("{{\"rows\":[{rows}],\"hasMore\":{more},\"ver\":{ver},\"nowMs\":1}}"),
        )
    }

    fn feed(&self, parameter: &dyn Fn(&str) -> Option<String>) -> (u16, String) {
        let text = |name: &str| parameter(name).unwrap_or_default();
        let table = text("table");
        let since: u64 = text("sinceRevision").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(v, k, _)| *v > since && k.0 == table);
            let rows: Vec<String> = changes
                .map(|(v, k, value)| row(k, value.as_ref(), *v))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, ver) = (rows.join(","), state.version);
                return (
                    200,
                    format!("{{\"rows\":[{rows}],\"ver\":{ver},\"nowMs\":1}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Starts the API for duties, which accepts every call.
pub fn start_duties() -> SocketAddr {
    serve(|_| (200, "{}".to_owned()))
}

fn serve(answer: impl Fn(&Message) -> (u16, String) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
    let address = listener
        .local_addr()
        .expect("the address of a bound listener");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.request() {
                    let (status, body) = answer(&request);
                    let length = body.len();
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                         Content-Length: {length}\r\n\r\n"
                    );
                    if conn
                        .send(&[head.as_bytes(), body.as_bytes()].concat())
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn key(row: &Json) -> Key {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row(key: &Key, value: Option<&String>, version: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    let (table, part, key) = key;
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},{rest}}}"
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| tail.get(..2)).flatten();
        let code = escaped.and_then(|d| std::str::from_utf8(d).ok());
        match code.and_then(|d| u8::from_str_radix(d, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let at = |i: usize| u32::from(piece.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= piece.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    text
}
