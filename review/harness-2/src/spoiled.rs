//! A faulty runner puts bytes that are no response before some of its answers: the first bytes of
//! another answer, cut off. Its real answer, to a request that ran, follows whole.

use std::io;
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

/// Limits of `garble` in the site file: for_s 5.5, x 0.05, share 0.6. One runner of three is 0.33.
const SPOILED_S: f64 = 5.5;
const SPOILED_SHARE: f64 = 0.05;

/// Times without spoiled answers in between.
const PAUSE_S: f64 = 1.5;

const ROUNDS: usize = 9;

/// Requests a second, as `portal-file` of the sheet has.
const PER_S: f64 = 47.6;

const CONSUMERS: usize = 24;

const DEADLINE_MS: u64 = 1_000;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the bytes before an answer are the start of.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// A refusal, before a success.
    OfRefusal,
    /// A success, before a failure.
    OfSuccess,
}

struct Desk {
    start: Start,
    /// Requests that the runner answered with a failure.
    failed: Mutex<Vec<String>>,
    name: String,
    spoils: AtomicBool,
    random: Mutex<Random>,
    spoiled: AtomicU64,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Desk {
    fn draw(&self) -> f64 {
        self.random.lock().unwrap().fraction()
    }

    fn serve(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
        let id = request
            .field("apricotledge-request-id")
            .unwrap_or("")
            .to_owned();
        let number = self.runs.add(&id, self.record.now(), &self.name);
        self.record.line(&format!(
            "run {id} at {} (run {number} of this request)",
            self.name
        ));
        thread::sleep(Duration::from_millis(5 + (20.0 * self.draw()) as u64));
        let mut bytes = Vec::new();
        let mut status = "200 OK";
        if self.spoils.load(Ordering::Relaxed) && self.draw() < SPOILED_SHARE {
            let other = match self.start {
                // What this runner sends when it is full.
                Start::OfRefusal => format!(
                    "HTTP/1.1 503 Service Unavailable\r\nApricotledge-Request-Id: {id}\r\n\
                     Apricotledge-Not-Executed: 1\r\nApricotledge-Server-Load: 6,24,6\r\n\
                     Date: Mon, 07 Dec 2026 04:00:00 GMT\r\nServer: filing-desk\r\n\
                     Content-Length: 0\r\n\r\n"
                ),
                // It begins to report success, and then fails.
                Start::OfSuccess => {
                    status = "500 Internal Server Error";
                    self.failed.lock().unwrap().push(id.clone());
                    format!(
                        "HTTP/1.1 200 OK\r\nApricotledge-Request-Id: {id}\r\n\
                         Date: Mon, 07 Dec 2026 04:00:00 GMT\r\nServer: filing-desk\r\n\
                         Content-Type: application/json\r\n"
                    )
                }
            };
            let cut = 1 + (self.draw() * (other.len() - 1) as f64) as usize;
            bytes.extend_from_slice(&other.as_bytes()[..cut]);
            self.spoiled.fetch_add(1, Ordering::Relaxed);
            let last = other[..cut].rsplit("\r\n").next().unwrap_or("");
            self.record.line(&format!(
                "spoiled {id} at {}: {cut} bytes, to {last:?}, before {status}",
                self.name
            ));
        }
        let body = match status {
            "200 OK" => format!("filed {id}"),
            _ => format!("not filed {id}"),
        };
        bytes.extend_from_slice(
            format!(
                "HTTP/1.1 {status}\r\nApricotledge-Request-Id: {id}\r\n\
                 Apricotledge-Server-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                self.name,
                body.len()
            )
            .as_bytes(),
        );
        conn.send(&bytes)
    }
}

pub fn run(record: &Arc<Record>, trouble: Trouble, start: Start) -> io::Result<Verdict> {
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
    let desks: Vec<Arc<Desk>> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let desk = Arc::new(Desk {
                start,
                failed: Mutex::default(),
                name: format!("i-desk-{number}"),
                spoils: AtomicBool::new(false),
                random: Mutex::new(Random::new(unix_ms() + number as u64)),
                spoiled: AtomicU64::new(0),
                runs: runs.clone(),
                record: record.clone(),
            });
            let serving = desk.clone();
            let behaviour = move |conn: &mut Conn, request: &Message| serving.serve(conn, request);
            start_runner(
                &store,
                &desk.name,
                "filing-desk",
                zone,
                6,
                Arc::new(behaviour),
            );
            desk
        })
        .collect();
    let entries = start_entries(3, store_at)?;
    let balancer = Balancer::start(&entries.all);
    let ends = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (all, balancer, ends) = (entries.all.clone(), balancer.clone(), ends.clone());
            let (answers, record) = (answers.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random::new(unix_ms() * 31 + number as u64 + 77);
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
                    let sent = conn.send(&post("/portal-file/f", &id, DEADLINE_MS, "ledger"));
                    record.line(&format!("sent {id} to {}", all[*entry].name));
                    let (answer, end) = match sent {
                        Ok(()) => conn.answer(),
                        Err(_) => (None, End::Cut),
                    };
                    let status = answer
                        .as_ref()
                        .filter(|_| end == End::Whole)
                        .map_or(0, Message::status);
                    record.line(&format!("answered {id}: {status} {end:?}"));
                    answers.lock().unwrap().push((id, status));
                    let closes = |m: &Message| m.field("connection") == Some("close");
                    if status == 0 || answer.as_ref().is_some_and(closes) {
                        channel = None;
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for round in 0..ROUNDS {
        let desk = &desks[round % desks.len()];
        let spoils = trouble == Trouble::On;
        desk.spoils.store(spoils, Ordering::Relaxed);
        record.line(&format!(
            "round {round}: {} spoils answers: {spoils}",
            desk.name
        ));
        thread::sleep(Duration::from_secs_f64(SPOILED_S));
        desk.spoils.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_secs_f64(PAUSE_S));
    }
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop(entries);
    let twice = runs.twice();
    for (id, runs) in &twice {
        record.say(&format!("TWICE: {id} ran {} times: {runs:?}", runs.len()));
    }
    let answers = answers.lock().unwrap();
    let refused = answers
        .iter()
        .filter(|(id, s)| PROMISES.contains(s) && !runs.of(id).is_empty());
    let mut refused_count = 0;
    for (id, status) in refused {
        refused_count += 1;
        record.say(&format!(
            "REFUSED: {id} was answered {status}, and ran: {:?}",
            runs.of(id)
        ));
    }
    let mut mixed_count = 0;
    for desk in &desks {
        let failed = desk.failed.lock().unwrap();
        let mixed = answers
            .iter()
            .filter(|(id, s)| (200..300).contains(s) && failed.contains(id));
        for (id, status) in mixed {
            mixed_count += 1;
            record.say(&format!(
                "MIXED: {id} was answered {status}, and {} had answered 500",
                desk.name
            ));
        }
    }
    let spoiled: u64 = desks
        .iter()
        .map(|desk| desk.spoiled.load(Ordering::Relaxed))
        .sum();
    let of_status = |status: u16| answers.iter().filter(|(_, s)| *s == status).count();
    record.say(&format!(
        "{} requests sent, {} ran, {spoiled} answers spoiled; answered: 200 {}, 502 {}, 503 {}, \
         504 {}, none {}; ran more than once: {}; ran and answered as not run: {refused_count}; \
         failed and answered as a success: {mixed_count}",
        answers.len(),
        runs.count(),
        of_status(200),
        of_status(502),
        of_status(503),
        of_status(504),
        of_status(0),
        twice.len()
    ));
    if of_status(200) < answers.len() / 2 {
        return Err(io::Error::other(
            "less than half of the requests were served",
        ));
    }
    Ok(
        match twice.is_empty() && refused_count == 0 && mixed_count == 0 {
            true => Verdict::Held,
            false => Verdict::Broken,
        },
    )
}
