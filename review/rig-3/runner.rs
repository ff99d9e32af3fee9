//! A model runner: it streams its tokens as events, whose ids count the tokens so far.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Channel, Message, answer, serve};
use crate::platform::Store;
use crate::record;

pub struct Runner {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    running: AtomicUsize,
    pub most_running: AtomicUsize,
    beats: AtomicU64,
    engine: Engine,
    /// Tokens of an answer, and the time of a step.
    tokens: u64,
    step: Duration,
    memory: Mutex<Memory>,
}

/// What a runner does when many requests run.
#[derive(Clone, Copy, Debug)]
pub enum Engine {
    /// Beyond so many requests, an event holds two tokens.
    Batches(usize),
    /// Memory for so many requests that have grown. A newer one is preempted in the middle of its stream
    /// until one of them has ended, and read in again; until then other requests are rejected as if the
    /// runner were full.
    Memory(usize),
}

/// Requests that need their full memory.
#[derive(Default)]
struct Memory {
    grown: usize,
    waiting: usize,
}

/// Time in which a preempted request is read in again.
const READING: Duration = Duration::from_millis(100);

/// Tokens after which a request's memory may no longer fit.
const GROWN: u64 = 8;

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        engine: Engine,
        (tokens, step_ms): (u64, u64),
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            running: AtomicUsize::new(0),
            most_running: AtomicUsize::new(0),
            beats: AtomicU64::new(0),
            engine,
            tokens,
            step: Duration::from_millis(step_ms),
            memory: Mutex::default(),
        });
        let (handling, beating, store) = (runner.clone(), runner.clone(), store.clone());
        serve(listener, move |channel, message| {
            handling.handle(channel, &message)
        });
        beating.beat(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1_200));
                beating.beat(&store);
            }
        });
        runner
    }

    fn beat(&self, store: &Store) {
        let sequence = self.beats.fetch_add(1, Ordering::Relaxed) + 1;
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":1700000000000}}",
            self.service, self.address, self.zone,
        );
        store.put("servers", &self.id, &row);
    }

    fn handle(&self, channel: &mut Channel, message: &Message) -> bool {
        let id = message
            .field("apricotledge-request-id")
            .unwrap_or_default()
            .to_owned();
        if message
            .field("apricotledge-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let fields = format!("Apricotledge-Instance-Id: {}\r\n", self.id);
            return channel.send(&answer(421, &fields, "")).is_ok();
        }
        if self.is_full() {
            record(&format!(
                "{}: {id} is rejected with 503 and Apricotledge-Not-Executed",
                self.id
            ));
            let fields =
                format!("Apricotledge-Request-Id: {id}\r\nApricotledge-Not-Executed: 1\r\n");
            return channel.send(&answer(503, &fields, "")).is_ok();
        }
        let after = message.field("last-event-id").unwrap_or("none");
        record(&format!("{}: runs {id}, Last-Event-Id {after}", self.id));
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_running.fetch_max(running, Ordering::SeqCst);
        let mut is_grown = false;
        let is_whole = self.run(channel, message, &id, &mut is_grown);
        if is_grown {
            self.memory.lock().unwrap().grown -= 1;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        if is_whole {
            record(&format!("{}: wrote the answer to {id} to its end", self.id));
        } else {
            record(&format!(
                "{}: the channel of {id} was closed before the runner had written its answer",
                self.id
            ));
        }
        is_whole
    }

    fn is_full(&self) -> bool {
        let memory = self.memory.lock().unwrap();
        matches!(self.engine, Engine::Memory(limit) if memory.grown >= limit || memory.waiting > 0)
    }

    fn run(&self, channel: &mut Channel, message: &Message, id: &str, is_grown: &mut bool) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nApricotledge-Request-Id: {id}\r\nApricotledge-Server-Signature: s.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if channel.send(head.as_bytes()).is_err() {
            return false;
        }
        let mut done: u64 = message
            .field("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        while done < self.tokens {
            std::thread::sleep(self.step);
            let running = self.running.load(Ordering::SeqCst);
            let tokens = match self.engine {
                Engine::Batches(limit) if running > limit && done > 2 => 2.min(self.tokens - done),
                Engine::Batches(_) | Engine::Memory(_) => 1,
            };
            if let Engine::Memory(limit) = self.engine
                && done >= GROWN
                && !*is_grown
            {
                *is_grown = self.grow(channel, id, limit);
                if !*is_grown {
                    return false;
                }
            }
            let words: Vec<String> = (done + 1..=done + tokens)
                .map(|n| format!("t{n}"))
                .collect();
            done += tokens;
            let words = [
                words,
                if done == self.tokens {
                    vec!["end".to_owned()]
                } else {
                    Vec::new()
                },
            ]
            .concat();
            let event = format!("id: {done}\ndata: {}\n\n", words.join(" "));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if channel.is_closed() || channel.send(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        channel.send(b"0\r\n\r\n").is_ok()
    }

    /// Takes memory for the rest of a request, and waits for it if there is none. Returns false if its
    /// channel is closed before.
    fn grow(&self, channel: &mut Channel, id: &str, limit: usize) -> bool {
        if self.take_memory(limit) {
            return true;
        }
        record(&format!(
            "{}: {id} is preempted after event {GROWN}",
            self.id
        ));
        self.memory.lock().unwrap().waiting += 1;
        let started = Instant::now();
        let mut taken = false;
        while !taken && !channel.is_closed() {
            std::thread::sleep(Duration::from_millis(10));
            taken = self.take_memory(limit);
        }
        self.memory.lock().unwrap().waiting -= 1;
        if taken {
            std::thread::sleep(READING);
            record(&format!(
                "{}: {id} goes on after {} ms",
                self.id,
                started.elapsed().as_millis()
            ));
        }
        taken
    }

    fn take_memory(&self, limit: usize) -> bool {
        let mut memory = self.memory.lock().unwrap();
        let is_free = memory.grown < limit;
        memory.grown += usize::from(is_free);
        is_free
    }
}
