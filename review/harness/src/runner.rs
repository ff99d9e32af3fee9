//! A runner of a plain service: sound, with slots, heartbeats in the store, and its identity.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;
use crate::{sleep_ms, unix_ms};

/// Time between two writes of a runner's entry.
pub const HEARTBEAT_MS: u64 = 1_200;

pub const SLOTS: u32 = 6;

/// A request that a runner has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at_ms: u64,
    pub finished: bool,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    /// Version of the row of its first entry.
    version: AtomicU64,
    work_ms: AtomicU64,
    sequence: AtomicU64,
    active: AtomicU32,
    registered: AtomicBool,
    draining: AtomicBool,
    ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    conns: Mutex<Vec<TcpStream>>,
    store: Store,
    record: Record,
}

#[derive(Clone)]
pub struct Runner {
    shared: Arc<Shared>,
}

impl Runner {
    /// Starts a runner, and writes its entry.
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a runner");
        let runner = Self {
            shared: Arc::new(Shared {
                id: id.to_owned(),
                service: service.to_owned(),
                zone: zone.to_owned(),
                address: listener.local_addr().expect("an address"),
                born: unix_ms(),
                version: AtomicU64::new(0),
                work_ms: AtomicU64::new(work_ms),
                sequence: AtomicU64::new(0),
                active: AtomicU32::new(0),
                registered: AtomicBool::new(true),
                draining: AtomicBool::new(false),
                ended: AtomicBool::new(false),
                runs: Mutex::default(),
                conns: Mutex::default(),
                store: store.clone(),
                record: record.clone(),
            }),
        };
        let version = runner.write_entry();
        runner.shared.version.store(version, Ordering::SeqCst);
        let beating = runner.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(HEARTBEAT_MS);
                if !beating.shared.registered.load(Ordering::SeqCst) {
                    return;
                }
                beating.write_entry();
            }
        });
        let serving = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving
                        .shared
                        .conns
                        .lock()
                        .expect("the connections")
                        .push(copy);
                }
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        runner
    }

    /// Writes its entry. Returns the version of the row.
    pub fn write_entry(&self) -> u64 {
        let shared = &self.shared;
        let state = match shared.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = self.entry(state, sequence);
        shared.store.put("servers", &shared.id, &body)
    }

    fn entry(&self, state: &str, sequence: u64) -> String {
        let shared = &self.shared;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            shared.service, shared.address, shared.zone, shared.born
        )
    }

    /// Whether it is registered as ready.
    pub fn is_ready(&self) -> bool {
        let shared = &self.shared;
        shared.registered.load(Ordering::SeqCst) && !shared.draining.load(Ordering::SeqCst)
    }

    pub fn zone(&self) -> &str {
        &self.shared.zone
    }

    /// Reports that it drains.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.write_entry();
    }

    /// Its entry as it was in an earlier heartbeat. A store may perform a call that got no answer
    /// seconds later.
    pub fn repeat_entry(&self, earlier: u64) {
        let shared = &self.shared;
        let sequence = shared.sequence.load(Ordering::SeqCst) - earlier;
        let body = self.entry("ready", sequence);
        shared.store.put("servers", &shared.id, &body);
    }

    /// Removes its entry without a report that it drains. It goes on serving.
    pub fn leave_unannounced(&self) {
        if !self.shared.registered.swap(false, Ordering::SeqCst) {
            return;
        }
        self.shared.store.remove("servers", &self.shared.id);
    }

    /// Ends it: connections are closed, and its port is closed.
    pub fn exit(&self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        for conn in self.shared.conns.lock().expect("the connections").drain(..) {
            let _ = conn.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.shared.address);
    }

    pub fn is_busy(&self) -> bool {
        self.shared.active.load(Ordering::SeqCst) > 0
    }

    /// Version of the row of its first entry.
    pub fn version(&self) -> u64 {
        self.shared.version.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("the runs").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let shared = &self.shared;
        let mut conn = Conn::new(stream);
        while let Ok(request) = conn.request() {
            let load = |active: u32| format!("{},0,{SLOTS}", active.min(SLOTS));
            if request.path() == "/healthz" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nApricotledge-Instance-Id: {}\r\n\
                     Apricotledge-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                    shared.id,
                    load(shared.active.load(Ordering::SeqCst))
                );
                if conn.send(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request
                .field("apricotledge-request-id")
                .unwrap_or("")
                .to_owned();
            let expected = request.field("apricotledge-expect-instance");
            if expected.is_some_and(|expected| expected != shared.id) {
                let head = format!(
                    "HTTP/1.1 421 X\r\nApricotledge-Request-Id: {id}\r\n\
                     Apricotledge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    shared.id
                );
                if conn.send(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if shared.active.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                shared.active.fetch_sub(1, Ordering::SeqCst);
                let head = format!(
                    "HTTP/1.1 503 X\r\nApricotledge-Request-Id: {id}\r\n\
                     Apricotledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if conn.send(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let at_ms = shared.record.now_ms();
            let number = {
                let mut runs = shared.runs.lock().expect("the runs");
                runs.push(Run {
                    id: id.clone(),
                    at_ms,
                    finished: false,
                });
                runs.len() - 1
            };
            shared
                .record
                .line(&format!("runner {} runs {id}", shared.id));
            sleep_ms(shared.work_ms.load(Ordering::SeqCst));
            let active = shared.active.fetch_sub(1, Ordering::SeqCst) - 1;
            if shared.ended.load(Ordering::SeqCst) {
                shared
                    .record
                    .line(&format!("runner {} ended while it ran {id}", shared.id));
                return;
            }
            let body = format!("done by {} for {id}", shared.id);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nApricotledge-Request-Id: {id}\r\n\
                 Apricotledge-Server-Signature: {}.{number}\r\n\
                 Apricotledge-Server-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
                shared.id,
                load(active),
                body.len()
            );
            shared.runs.lock().expect("the runs")[number].finished = true;
            if conn.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
