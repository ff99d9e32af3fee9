//! A faulty runner loses one byte of some of its streams, which may be resumed at another runner.

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

/// Times without spoiled streams in between.
const PAUSE_S: f64 = 1.5;

const ROUNDS: usize = 12;

/// Streams a second, as `donor-answer` of the sheet has, and the events of each.
const PER_S: f64 = 27.2;
const EVENTS: usize = 20;

const CONSUMERS: usize = 24;

const DEADLINE_MS: u64 = 15_000;

struct Engine {
    name: String,
    spoils: AtomicBool,
    random: Mutex<Random>,
    spoiled: AtomicU64,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Engine {
    fn draw(&self) -> f64 {
        self.random.lock().unwrap().fraction()
    }

    fn serve(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
        let id = request
            .field("apricotledge-request-id")
            .unwrap_or("")
            .to_owned();
        let after = request
            .field("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        self.runs.add(&id, self.record.now(), &self.name);
        self.record
            .line(&format!("run {id} at {} after event {after}", self.name));
        let spoils = self.spoils.load(Ordering::Relaxed) && self.draw() < SPOILED_SHARE;
        let spoiled_event = (self.draw() * EVENTS as f64) as usize + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nApricotledge-Request-Id: {id}\r\n\
             Apricotledge-Server-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        conn.send(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            let mut event = format!("id: {number}\ndata: <{}>\n\n", piece(number)).into_bytes();
            if spoils && number == spoiled_event {
                let lost = (self.draw() * event.len() as f64) as usize;
                event.remove(lost);
                self.spoiled.fetch_add(1, Ordering::Relaxed);
                let text = String::from_utf8_lossy(&event).into_owned();
                self.record.line(&format!(
                    "spoiled {id} at {}: byte {lost}: {text:?}",
                    self.name
                ));
            }
            conn.send(format!("{:x}\r\n", event.len()).as_bytes())?;
            conn.send(&event)?;
            conn.send(b"\r\n")?;
            thread::sleep(Duration::from_millis(12));
        }
        conn.send(b"0\r\n\r\n")
    }
}

/// Data of a piece. No lost byte makes that of another piece of it.
fn piece(number: usize) -> String {
    format!("{:08x}", (number as u32).wrapping_mul(0x9E37_79B1))
}

/// The pieces of a stream that came more than once, by their data.
fn repeated(body: &str) -> Vec<usize> {
    let times = |number: &usize| body.matches(&format!("<{}>", piece(*number))).count();
    (1..=EVENTS).filter(|number| times(number) > 1).collect()
}

pub fn run(record: &Arc<Record>, trouble: Trouble) -> io::Result<Verdict> {
    let (store, store_at) = Store::start();
    let route = Route {
        name: "donor-answer",
        kind: "streaming",
        service: "drafting",
        timeout_ms: 15_000,
        target_ms: 250,
        resumable: true,
    };
    store.put("op", "config", &config(&[route], &["drafting"]));
    let runs = Arc::new(Runs::default());
    let engines: Vec<Arc<Engine>> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let engine = Arc::new(Engine {
                name: format!("i-draft-{number}"),
                spoils: AtomicBool::new(false),
                random: Mutex::new(Random::new(unix_ms() + number as u64)),
                spoiled: AtomicU64::new(0),
                runs: runs.clone(),
                record: record.clone(),
            });
            let serving = engine.clone();
            let behaviour = move |conn: &mut Conn, request: &Message| serving.serve(conn, request);
            start_runner(
                &store,
                &engine.name,
                "drafting",
                zone,
                48,
                Arc::new(behaviour),
            );
            engine
        })
        .collect();
    let entries = start_entries(3, store_at)?;
    let balancer = Balancer::start(&entries.all);
    let ends = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<(u64, u64, Vec<String>)>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (all, balancer, ends) = (entries.all.clone(), balancer.clone(), ends.clone());
            let (counts, runs, record) = (counts.clone(), runs.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random::new(unix_ms() * 31 + number as u64 + 55);
                let mut channel: Option<(Conn, usize)> = None;
                while !ends.load(Ordering::Relaxed) {
                    let mean_s = CONSUMERS as f64 / PER_S - 0.27;
                    let pause_s = -mean_s * (1.0 - random.fraction()).ln();
                    thread::sleep(Duration::from_secs_f64(pause_s.min(3.0)));
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
                    let (answer, end) = match conn.send(&post("/donor-answer/q", &id, DEADLINE_MS, "why")) {
                        Ok(()) => conn.answer(),
                        Err(_) => (None, End::Cut),
                    };
                    let status = answer.as_ref().map_or(0, Message::status);
                    let body = answer.as_ref().map(|m| String::from_utf8_lossy(&m.body).into_owned());
                    let body = body.unwrap_or_default();
                    record.line(&format!("answered {id}: {status} {end:?}, {} bytes", body.len()));
                    let mut counts = counts.lock().unwrap();
                    counts.0 += 1;
                    counts.1 += u64::from(end == End::Whole && status == 200);
                    let repeated = repeated(&body);
                    if end == End::Whole && !repeated.is_empty() {
                        let finding = format!(
                            "ORDER: {id} ended as complete with pieces {repeated:?} twice; runs: {:?}",
                            runs.of(&id)
                        );
                        record.line(&format!("{finding}: {body:?}"));
                        counts.2.push(finding);
                    }
                    let closes = |m: &Message| m.field("connection") == Some("close");
                    if end != End::Whole || answer.as_ref().is_some_and(closes) {
                        channel = None;
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for round in 0..ROUNDS {
        let engine = &engines[round % engines.len()];
        let spoils = trouble == Trouble::On;
        engine.spoils.store(spoils, Ordering::Relaxed);
        record.line(&format!(
            "round {round}: {} spoils streams: {spoils}",
            engine.name
        ));
        thread::sleep(Duration::from_secs_f64(SPOILED_S));
        engine.spoils.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_secs_f64(PAUSE_S));
    }
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop(entries);
    let (sent, whole, findings) = &*counts.lock().unwrap();
    findings.iter().for_each(|finding| println!("{finding}"));
    let spoiled: u64 = engines
        .iter()
        .map(|e| e.spoiled.load(Ordering::Relaxed))
        .sum();
    record.say(&format!(
        "{sent} streams, {whole} ended as complete, {spoiled} spoiled by a runner; complete with a \
         piece twice: {}",
        findings.len()
    ));
    if *whole < sent / 2 {
        return Err(io::Error::other(
            "less than half of the streams were served",
        ));
    }
    Ok(match findings.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
