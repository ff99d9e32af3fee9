//! An entry of another writer in the list of runners: some fields are missing, and the address is that
//! of a server that is no runner.

use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{
    config, connect, post, start_entries, start_runner, unix_ms, Balancer, Random, Record, Route,
    Runs, ZONES,
};
use crate::http::{Conn, End, Message};
use crate::store::Store;
use crate::{Trouble, Verdict};

/// Requests a second, as `portal-file` of the sheet has.
const PER_S: f64 = 47.6;

const CONSUMERS: usize = 24;

const DEADLINE_MS: u64 = 1_000;

/// Time before the entry is written, and after it.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(15);

/// An HTTP server of somebody else, which knows none of the paths that it is asked for.
fn start_other_server(record: &Arc<Record>, asked: &Arc<AtomicU64>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
    let address = listener
        .local_addr()
        .expect("the address of a bound listener");
    let (record, asked) = (record.clone(), asked.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, asked) = (record.clone(), asked.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.request() {
                    asked.fetch_add(1, Ordering::Relaxed);
                    let id = request
                        .field("apricotledge-request-id")
                        .unwrap_or("")
                        .to_owned();
                    record.line(&format!("{id} reaches the server that is no runner"));
                    let body = "no such page\n";
                    let answer = format!(
                        "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\n\
                         Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if conn.send(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address.to_string()
}

/// Statuses that the rule DENIED counts if they are the system's own.
fn is_denial(status: u16) -> bool {
    (300..500).contains(&status) && ![408, 421, 429].contains(&status)
}

pub fn run(record: &Arc<Record>, trouble: Trouble) -> io::Result<Verdict> {
    let (store, store_at) = Store::start();
    let route = Route {
        name: "portal-file",
        kind: "non_idempotent",
        service: "filing-desk",
        timeout_ms: 1_000,
        target_ms: 100,
        resumable: false,
    };
    store.put("op", "config", &config(&[route], &["filing-desk"]));
    let runs = Arc::new(Runs::default());
    for (number, zone) in ZONES.iter().enumerate() {
        let name = format!("i-desk-{number}");
        let (runs, record, own) = (runs.clone(), record.clone(), name.clone());
        let behaviour = move |conn: &mut Conn, request: &Message| {
            let id = request
                .field("apricotledge-request-id")
                .unwrap_or("")
                .to_owned();
            runs.add(&id, record.now(), &own);
            record.line(&format!("run {id} at {own}"));
            thread::sleep(Duration::from_millis(15));
            let body = format!("filed {id}");
            conn.send(
                format!(
                    "HTTP/1.1 200 OK\r\nApricotledge-Request-Id: {id}\r\n\
                     Apricotledge-Server-Signature: {own}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .as_bytes(),
            )
        };
        start_runner(&store, &name, "filing-desk", zone, 6, Arc::new(behaviour));
    }
    let asked = Arc::new(AtomicU64::new(0));
    let other_at = start_other_server(record, &asked);
    let entries = start_entries(3, store_at)?;
    let balancer = Balancer::start(&entries.all);
    let ends = Arc::new(AtomicBool::new(false));
    // Number, status, and whether a runner has signed the answer.
    let answers: Arc<Mutex<Vec<(String, u16, bool)>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (all, balancer, ends) = (entries.all.clone(), balancer.clone(), ends.clone());
            let (answers, record) = (answers.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random::new(unix_ms() * 31 + number as u64 + 9);
                let mut channel: Option<(Conn, usize)> = None;
                while !ends.load(Ordering::Relaxed) {
                    let mean_s = CONSUMERS as f64 / PER_S;
                    let pause_s = -mean_s * (1.0 - random.fraction()).ln();
                    thread::sleep(Duration::from_secs_f64(pause_s.min(2.0)));
                    if channel.is_none() {
                        let drawn = balancer.draw(&mut random);
                        let patience = Duration::from_millis(DEADLINE_MS + 1_000);
                        channel = drawn.and_then(|n| Some((connect(&all[n], patience).ok()?, n)));
                    }
                    let Some((conn, entry)) = &mut channel else {
                        continue;
                    };
                    let id = format!("{:016x}", random.next());
                    record.line(&format!("sent {id} to {}", all[*entry].name));
                    let sent = conn.send(&post("/portal-file/f", &id, DEADLINE_MS, "ledger"));
                    let (answer, end) = match sent {
                        Ok(()) => conn.answer(),
                        Err(_) => (None, End::Cut),
                    };
                    let status = answer
                        .as_ref()
                        .filter(|_| end == End::Whole)
                        .map_or(0, Message::status);
                    let signature = answer
                        .as_ref()
                        .and_then(|m| m.field("apricotledge-server-signature"));
                    record.line(&format!(
                        "answered {id}: {status} {end:?}, signed by {signature:?}"
                    ));
                    answers
                        .lock()
                        .unwrap()
                        .push((id, status, signature.is_some()));
                    let closes = |m: &Message| m.field("connection") == Some("close");
                    if status == 0 || answer.as_ref().is_some_and(closes) {
                        channel = None;
                    }
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    if trouble == Trouble::On {
        // `version`, `coldRemainingMs` and `sequence` are missing.
        let entry = format!(
            "{{\"service\":\"filing-desk\",\"address\":\"{other_at}\",\"zone\":\"vake\",\
             \"slots\":6,\"state\":\"ready\"}}"
        );
        record.say(&format!("another writer puts servers/agent-7: {entry}"));
        store.put("servers", "agent-7", &entry);
    }
    thread::sleep(AFTER);
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop(entries);
    let answers = answers.lock().unwrap();
    let denied = answers
        .iter()
        .filter(|(_, status, signed)| is_denial(*status) && !signed);
    let (denied, of_all) = (denied.count(), answers.len());
    let limit = 5 + of_all / 500;
    let of_status = |status: u16| answers.iter().filter(|(_, s, _)| *s == status).count();
    record.say(&format!(
        "{of_all} requests, {} ran at runners, {} reached the server that is no runner; answered: \
         200 {}, 404 {}, 502 {}, 503 {}, none {}; ended with a 3xx or 4xx that no runner has signed: \
         {denied}, at most {limit} may",
        runs.count(), asked.load(Ordering::Relaxed), of_status(200), of_status(404),
        of_status(502), of_status(503), of_status(0)
    ));
    Ok(match denied <= limit {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
