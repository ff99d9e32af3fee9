//! Streams whose events have increasing ids that are not consecutive, around a planned stop.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
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

/// Events of a stream, as `budget-check` of the sheet has, and the tokens that each holds.
const EVENTS: u64 = 8;
const TOKENS: u64 = 3;

const CONSUMERS: usize = 30;

const DEADLINE_MS: u64 = 4_000;

/// When the machine gets SIGTERM, after the start of the traffic.
const TERM_S: f64 = 6.0;

/// `graceS` of the deployments, and one second.
const PLANNED_S: f64 = 9.0;

/// How a runner numbers its events.
#[derive(Clone, Copy)]
enum Numbering {
    /// 1, 2, 3, …
    ByEvent,
    /// By the tokens so far: 3, 6, 9, …
    ByToken,
}

struct Sent {
    id: String,
    route: &'static str,
    entry: usize,
    at: f64,
    ended: f64,
    end: End,
    status: u16,
    events: usize,
}

fn serve(conn: &mut Conn, request: &Message, numbering: Numbering) -> io::Result<()> {
    let id = request
        .field("apricotledge-request-id")
        .unwrap_or("")
        .to_owned();
    let head = format!(
        "HTTP/1.1 200 OK\r\nApricotledge-Request-Id: {id}\r\nApricotledge-Server-Signature: s.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    conn.send(head.as_bytes())?;
    for number in 1..=EVENTS {
        let event_id = match numbering {
            Numbering::ByEvent => number,
            Numbering::ByToken => number * TOKENS,
        };
        let event = format!("id: {event_id}\ndata: {number} of {EVENTS}\n\n");
        conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(20));
    }
    conn.send(b"0\r\n\r\n")
}

pub fn run(record: &Arc<Record>, trouble: Trouble) -> io::Result<Verdict> {
    let (store, store_at) = Store::start();
    let route = |name, service| Route {
        name,
        kind: "streaming",
        service,
        timeout_ms: 4_000,
        target_ms: 300,
        resumable: false,
    };
    let routes = [
        route("by-event", "drafting-1"),
        route("by-token", "drafting-2"),
    ];
    store.put(
        "op",
        "config",
        &config(&routes, &["drafting-1", "drafting-2"]),
    );
    let runs = Arc::new(Runs::default());
    // Requests whose streams a runner has sent to their ends, or whose channels were closed before.
    let broken_off: Arc<Mutex<Vec<String>>> = Arc::default();
    for (service, numbering) in [
        ("drafting-1", Numbering::ByEvent),
        ("drafting-2", Numbering::ByToken),
    ] {
        for (number, zone) in ZONES.iter().enumerate() {
            let name = format!("i-{service}-{number}");
            let (runs, record, own) = (runs.clone(), record.clone(), name.clone());
            let broken_off = broken_off.clone();
            let behaviour = move |conn: &mut Conn, request: &Message| {
                let id = request
                    .field("apricotledge-request-id")
                    .unwrap_or("")
                    .to_owned();
                runs.add(&id, record.now(), &own);
                record.line(&format!("run {id} at {own}"));
                let served = serve(conn, request, numbering);
                if served.is_err() {
                    record.line(&format!("channel of {id} closed by the system"));
                    broken_off.lock().unwrap().push(id);
                }
                served
            };
            start_runner(&store, &name, service, zone, 48, Arc::new(behaviour));
        }
    }
    let entries = start_entries(3, store_at)?;
    let balancer = Balancer::start(&entries.all);
    let ends = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (all, balancer, ends) = (entries.all.clone(), balancer.clone(), ends.clone());
            let (sent, record) = (sent.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random::new(unix_ms() * 31 + number as u64);
                let route = ["by-event", "by-token"][number % 2];
                let mut channel: Option<(Conn, usize)> = None;
                while !ends.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(100 + random.below(200) as u64));
                    if channel.is_none() {
                        let drawn = balancer.draw(&mut random);
                        let patience = Duration::from_millis(DEADLINE_MS + 1_000);
                        channel = drawn.and_then(|n| Some((connect(&all[n], patience).ok()?, n)));
                    }
                    let Some((conn, entry)) = &mut channel else {
                        continue;
                    };
                    let (id, entry) = (format!("{:016x}", random.next()), *entry);
                    let at = record.now();
                    record.line(&format!("sent {id} on {route} to {}", all[entry].name));
                    let written =
                        conn.send(&post(&format!("/{route}/d"), &id, DEADLINE_MS, "check"));
                    let (answer, end) = match written {
                        Ok(()) => conn.answer(),
                        Err(_) => (None, End::Cut),
                    };
                    let status = answer.as_ref().map_or(0, Message::status);
                    let body = answer
                        .as_ref()
                        .map(|m| String::from_utf8_lossy(&m.body).into_owned());
                    let events = body.unwrap_or_default().matches("data: ").count();
                    record.line(&format!("answered {id}: {status} {end:?}, {events} events"));
                    let closes = |m: &Message| m.field("connection") == Some("close");
                    let closed = end != End::Whole || answer.as_ref().is_some_and(closes);
                    let ended = record.now();
                    let request = Sent {
                        id,
                        route,
                        entry,
                        at,
                        ended,
                        end,
                        status,
                        events,
                    };
                    sent.lock().unwrap().push(request);
                    if closed {
                        channel = None;
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64(TERM_S));
    let term_at = record.now();
    if trouble == Trouble::On {
        record.say(&format!("SIGTERM to {}", entries.all[0].name));
        entries.all[0].terminate();
    }
    thread::sleep(Duration::from_secs_f64(PLANNED_S + 1.0));
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    record.line(&format!(
        "{} runs: {}",
        entries.all[0].name,
        entries.all[0].runs()
    ));
    drop(entries);
    let sent = sent.lock().unwrap();
    // Planned work: a SIGTERM of the machine that took the request, until 1 s after graceS.
    let is_planned = |s: &&Sent| {
        trouble == Trouble::On && s.entry == 0 && (term_at..term_at + PLANNED_S).contains(&s.ended)
    };
    let was_cut = |s: &&Sent| {
        s.end == End::Cut
            && !runs.of(&s.id).is_empty()
            && (s.ended - s.at) * 1_000.0 < DEADLINE_MS as f64
    };
    let lost: Vec<&Sent> = sent.iter().filter(is_planned).filter(was_cut).collect();
    for s in &lost {
        record.say(&format!(
            "LOST: {} on {}, sent {:.3} s after the SIGTERM, cut after {:.3} s and {} of {EVENTS} events",
            s.id, s.route, s.at - term_at, s.ended - s.at, s.events
        ));
    }
    for route in ["by-event", "by-token"] {
        let of_route: Vec<&Sent> = sent.iter().filter(|s| s.route == route).collect();
        let whole = of_route
            .iter()
            .filter(|s| s.end == End::Whole && s.status == 200 && s.events as u64 == EVENTS);
        let (whole, cut) = (
            whole.count(),
            of_route.iter().filter(|s| was_cut(s)).count(),
        );
        record.say(&format!(
            "{route}: {} streams, {whole} whole, {cut} cut by the system at any time",
            of_route.len()
        ));
    }
    record.say(&format!(
        "cut around the planned stop: {}; channels that the system closed at runners: {}",
        lost.len(),
        broken_off.lock().unwrap().len()
    ));
    Ok(match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
