//! The platform: its metadata store with `servers`, `op` and the system's tables, and the API for duties.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Channel, Message, answer, serve};
use crate::json::{Json, base64, from_base64};
use crate::record;

type Name = (String, String, String);

/// How the store treats the calls of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    Served,
    /// Writes beyond the rate get 429, and nothing is done.
    WritesRefused,
}

struct State {
    rows: BTreeMap<Name, (String, u64)>,
    history: Vec<(u64, Name, Option<String>)>,
    version: u64,
    treatments: Vec<Treatment>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let state = State {
            rows: BTreeMap::new(),
            history: Vec::new(),
            version: 1,
            treatments: Vec::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    /// Opens an address for one machine, by which its calls are told from those of the others.
    pub fn open(self: &Arc<Self>) -> (usize, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let machine = {
            let mut state = self.state.lock().unwrap();
            state.treatments.push(Treatment::Served);
            state.treatments.len() - 1
        };
        let store = self.clone();
        serve(listener, move |channel, message| {
            store.handle(machine, channel, &message)
        });
        (machine, address)
    }

    pub fn treat(&self, machine: usize, treatment: Treatment) {
        self.state.lock().unwrap().treatments[machine] = treatment;
    }

    pub fn put(&self, table: &str, key: &str, body: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.set(name, Some(base64(body.as_bytes())), version);
        self.changed.notify_all();
    }

    /// Value of a row of the system.
    pub fn own_row(&self, part: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let name = ("apricotledge".to_owned(), part.to_owned(), key.to_owned());
        let (value, _) = state.rows.get(&name)?;
        String::from_utf8(from_base64(value)).ok()
    }

    fn handle(&self, machine: usize, channel: &mut Channel, message: &Message) -> bool {
        let is_write = message.path() == "/rows-tx";
        let treatment = self.state.lock().unwrap().treatments[machine];
        match treatment {
            Treatment::WritesRefused if is_write => {
                record(&format!(
                    "store: a write of machine {machine} gets 429: {}",
                    describe(message)
                ));
                return channel.send(&answer(429, "", "{}")).is_ok();
            }
            Treatment::Served | Treatment::WritesRefused => {}
        }
        let (status, body) = match message.path() {
            "/rows-tx" => self.transact(machine, message),
            "/rows-get" => self.rows(message),
            "/rows-feed" => self.feed(message),
            _ => (404, "{}".to_owned()),
        };
        channel
            .send(&answer(status, "Content-Type: application/json\r\n", &body))
            .is_ok()
    }

    fn ends(&self, version: u64) -> String {
        format!(
            "\"ver\":{version},\"nowMs\":{}",
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, machine: usize, message: &Message) -> (u16, String) {
        let Some(body) = Json::read(&String::from_utf8_lossy(&message.body)) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        for row in body.get("expectedRevision").list() {
            let have = state
                .rows
                .get(&name(row))
                .map_or(0, |(_, version)| *version);
            if have != row.get("ver").number() {
                let ends = self.ends(state.version);
                return (412, format!("{{\"rows\":[],{ends}}}"));
            }
        }
        state.version += 1;
        let version = state.version;
        for row in body.get("writes").list() {
            if name(row).1 == "lease" {
                let value =
                    String::from_utf8_lossy(&from_base64(row.get("value").text())).into_owned();
                record(&format!(
                    "store: machine {machine} writes the row of the lease, version {version}: {value}"
                ));
            }
            state.set(name(row), Some(row.get("value").text().to_owned()), version);
        }
        for row in body.get("deletes").list() {
            state.set(name(row), None, version);
        }
        self.changed.notify_all();
        (200, format!("{{{}}}", self.ends(version)))
    }

    fn rows(&self, message: &Message) -> (u16, String) {
        let (table, part) = (message.parameter("table"), message.parameter("part"));
        let (from, to) = (message.parameter("from"), message.parameter("to"));
        let limit = message
            .parameter("limit")
            .parse()
            .unwrap_or(500usize)
            .min(500);
        let state = self.state.lock().unwrap();
        let found = state.rows.iter().filter(|((t, p, key), _)| {
            *t == table && *p == part && *key >= from && (to.is_empty() || *key < to)
        });
        let all: Vec<String> = found.map(|((_, _, key), (value, version))| {
            let key = key.replace('\\', "").replace('"', "");
            format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}")
        }).collect();
        let has_more = all.len() > limit;
        let rows = all[..all.len().min(limit)].join(",");
        let ends = self.ends(state.version);
        (
            200,
            format!("{{\"rows\":[{rows}],\"hasMore\":{has_more},{ends}}}"),
        )
    }

    fn feed(&self, message: &Message) -> (u16, String) {
        let table = message.parameter("table");
        let since: u64 = message.parameter("sinceRevision").parse().unwrap_or(0);
        let wait_ms: u64 = message.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .rev()
                .take_while(|(version, _, _)| *version > since);
            let mut changes: Vec<String> = changes.filter(|(_, (t, _, _), _)| *t == table).map(|(version, (_, part, key), value)| {
                match value {
                    Some(value) => format!("{{\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"),
                    None => format!("{{\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},\"removed\":true}}"),
                }
            }).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                changes.reverse();
                let ends = self.ends(state.version);
                return (200, format!("{{\"rows\":[{}],{ends}}}", changes.join(",")));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
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
}

fn name(row: &Json) -> Name {
    let text = |key: &str| row.get(key).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn describe(message: &Message) -> String {
    let body = Json::read(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
    let rows = body
        .get("writes")
        .list()
        .iter()
        .map(name)
        .map(|(table, part, key)| format!("{table}/{part}/{key}"));
    rows.collect::<Vec<_>>().join(", ")
}

/// A call for a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// The machine that called, by the address at which it calls.
    pub machine: usize,
    pub fence: u64,
    /// The duty, with its subject.
    pub subject: String,
    pub body: String,
    pub status: u16,
}

/// The API for duties. It refuses calls whose fence is lower than one that it has seen for the same
/// duty and subject.
#[derive(Default)]
pub struct Cloud {
    state: Mutex<(BTreeMap<String, u64>, Vec<DutyCall>)>,
}

impl Cloud {
    /// Opens an address for one machine.
    pub fn open(self: &Arc<Self>, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let cloud = self.clone();
        serve(listener, move |channel, message| {
            let status = cloud.call(machine, &message);
            channel.send(&answer(status, "", "{}")).is_ok()
        });
        address
    }

    pub fn calls(&self) -> Vec<DutyCall> {
        self.state.lock().unwrap().1.clone()
    }

    fn call(&self, machine: usize, message: &Message) -> u16 {
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let read = Json::read(&body).unwrap_or(Json::Null);
        let subject = match message.path() {
            "/usage" => "usage".to_owned(),
            _ => format!(
                "scaling {} {}",
                read.get("service").text(),
                read.get("zone").text()
            ),
        };
        let holder = message
            .field("apricotledge-duty-holder")
            .unwrap_or_default()
            .to_owned();
        let fence = message
            .field("apricotledge-fencing-token")
            .and_then(|f| f.parse().ok())
            .unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let seen = state.0.entry(subject.clone()).or_default();
        let status = match fence < *seen {
            true => 409,
            false => 200,
        };
        *seen = fence.max(*seen);
        record(&format!(
            "platform: {holder} (machine {machine}) calls {subject} with fence {fence}: {status}; {body}"
        ));
        state.1.push(DutyCall {
            machine,
            fence,
            subject,
            body,
            status,
        });
        status
    }
}
