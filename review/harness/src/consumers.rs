//! Consumers that send reservations one after the other over kept channels.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::daemon::Daemon;
use crate::http::{Conn, End};
use crate::json::quote;
use crate::record::Record;
use crate::sleep_ms;

pub const SERVICE: &str = "ledger-app";
pub const ZONES: [&str; 3] = ["agadir-port", "ait-melloul", "inezgane"];

/// Time between two requests of one consumer.
const PACE_MS: u64 = 60;

const CONSUMERS_PER_NODE: usize = 5;

/// A request of a consumer.
pub struct Sent {
    pub node: usize,
    pub at_ms: u64,
    pub status: u16,
}

pub type Requests = Arc<Mutex<BTreeMap<String, Sent>>>;

/// A configuration with one route, whose requests may run once at most. `scaling` is added to its
/// service.
pub fn config(scaling: &str) -> String {
    config_of(1, scaling, &["key-1"])
}

/// A version of it with these keys.
pub fn config_of(version: u64, scaling: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| quote(key)).collect();
    let keys = keys.join(",");
    let service = quote(SERVICE);
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"reserve\",\"host\":\"souss.example\",\
         \"prefix\":\"/reserve/\",\"routeType\":\"non_idempotent\",\"timeoutMs\":800,\
         \"targetLatencyMs\":150,\"priority\":2,\"service\":{service},\"maxAttempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":{service},\"healthPath\":\"/healthz\",\
         \"maxConnections\":96{scaling}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"house\",\"apiKeys\":[{keys}],\"priority\":2}}]}}"
    )
}

/// Starts the consumers of all nodes.
pub fn start_consumers(
    daemons: &[Daemon],
    requests: &Requests,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> Vec<std::thread::JoinHandle<()>> {
    let number = Arc::new(AtomicU64::new(0));
    let mut consumers = Vec::new();
    for (node, daemon) in daemons.iter().enumerate() {
        for consumer in 0..CONSUMERS_PER_NODE {
            let address = daemon.callers;
            let (stop, number) = (stop.clone(), number.clone());
            let (requests, record) = (requests.clone(), record.clone());
            consumers.push(std::thread::spawn(move || {
                sleep_ms(27 * consumer as u64 + 9 * node as u64);
                let mut kept: Option<Conn> = None;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("r{:08x}", number.fetch_add(1, Ordering::SeqCst));
                    let at_ms = record.now_ms();
                    let status = send(&mut kept, address, &id, "key-1");
                    record.line(&format!(
                        "edge-{}-1: {id} sent at {at_ms}: {status}",
                        ZONES[node]
                    ));
                    let request = Sent {
                        node,
                        at_ms,
                        status,
                    };
                    requests.lock().expect("the requests").insert(id, request);
                    sleep_ms(PACE_MS);
                }
            }));
        }
    }
    consumers
}

/// Sends a reservation; the status of its answer, or 0 without a whole one.
pub fn send(kept: &mut Option<Conn>, address: std::net::SocketAddr, id: &str, key: &str) -> u16 {
    let mut conn = match kept.take() {
        Some(conn) if !conn.is_closed() => conn,
        _ => match Conn::open(address, Duration::from_secs(1)) {
            Ok(conn) => conn,
            Err(_) => return 0,
        },
    };
    let body = "{\"hide\":7}";
    let request = format!(
        "POST /reserve/{id} HTTP/1.1\r\nHost: souss.example\r\nApricotledge-Request-Id: {id}\r\n\
         Apricotledge-Deadline-Ms: 1500\r\nAuthorization: Token {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if conn.send(request.as_bytes()).is_err() {
        return 0;
    }
    match conn.answer(Instant::now() + Duration::from_millis(1_500)) {
        Ok((answer, End::Whole)) => {
            let status = answer.status();
            if answer.field("connection") != Some("close") {
                *kept = Some(conn);
            }
            status
        }
        Ok(_) | Err(_) => 0,
    }
}
