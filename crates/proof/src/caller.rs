//! Callers that do as the interface asks of them: they reconnect through any entry VM.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::units::Millisecond;
use serde_json::{Value, json};
use standin::engine::message::{ChatMessage, render};
use standin::engine::words;
use standin::hash::fnv_hex;
use tokio::time::Instant;

use crate::history::{Acceptance, Ask, Outcome, Recorder, RunStateSaid};
use crate::wire::{Call, Opened, Reply, SseEvent};

/// How long a caller asks for the rest of an accepted answer.
const RECONNECT_MS: Millisecond = 20_000;

/// Pause between two attempts to reconnect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Addresses that the platform's balancer knows; all holders see changes.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<Mutex<Vec<SocketAddr>>>);

impl Balancer {
    /// Adds an address.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn add(&self, address: SocketAddr) {
        self.0.lock().expect("no holder panics").push(address);
    }

    /// Takes an address out.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn remove(&self, address: SocketAddr) {
        let mut addresses = self.0.lock().expect("no holder panics");
        addresses.retain(|known| *known != address);
    }

    /// All addresses.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.0.lock().expect("no holder panics").clone()
    }

    /// One address; numbers beyond the last begin again.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub fn pick(&self, number: usize) -> SocketAddr {
        let addresses = self.0.lock().expect("no holder panics");
        addresses[number % addresses.len()]
    }
}

/// A caller of one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The workspace.
    pub workspace: String,
    /// Its bearer key.
    pub key: String,
    /// Addresses of the entry VMs.
    pub entries: Balancer,
    /// Where the caller records what it does.
    pub recorder: Recorder,
}

/// A streamed draft.
#[derive(Clone, Debug)]
pub struct Draft {
    /// The request's number, 32 hexadecimal digits.
    pub request_id: String,
    /// The user's message.
    pub prompt: String,
    /// Tokens wanted.
    pub tokens: u64,
}

impl Draft {
    fn body(&self) -> Value {
        json!({
            "model": "drafting",
            "stream": true,
            "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": self.prompt}],
        })
    }

    /// The answer that the engines' stand-ins give.
    pub fn expected(&self) -> String {
        let message = ChatMessage {
            role: "user".into(),
            content: self.prompt.clone(),
        };
        words::answer(&render(&[message]), self.tokens)
    }
}

/// A filing, which may not be repeated.
#[derive(Clone, Debug)]
pub struct Filing {
    /// The request's number, 32 hexadecimal digits.
    pub request_id: String,
    /// The idempotency key.
    pub key: String,
    /// The body.
    pub body: Value,
}

/// How one reading of a stream ended.
enum Reading {
    Done,
    Failed(String),
    Broken(String),
}

impl Caller {
    /// Sends a draft to an entry VM, and goes on at others until its answer is whole.
    pub async fn draft(&self, entry: usize, draft: &Draft) -> Outcome {
        let expected = draft.expected();
        let ask = Ask::Draft { expected };
        let operation = self
            .recorder
            .called(&self.workspace, &draft.request_id, ask);
        let outcome = self.follow(entry, draft).await;
        self.recorder.record(crate::history::Event::Returned {
            operation,
            outcome: outcome.clone(),
        });
        outcome
    }

    /// The call that asks for a draft.
    pub fn call(&self, draft: &Draft) -> Call {
        Call::post("/v1/chat/completions", &draft.body())
            .bearer(&self.key)
            .header("x-request-id", &draft.request_id)
    }

    /// Reads a stream to its end without reconnecting: its text, or why it did not end.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream breaks off or an event carries an error.
    pub async fn rest(self, opened: Opened) -> Result<String, String> {
        let mut text = String::new();
        match read(opened, &mut text).await {
            Reading::Done => Ok(text),
            Reading::Failed(reason) | Reading::Broken(reason) => Err(reason),
        }
    }

    async fn follow(&self, entry: usize, draft: &Draft) -> Outcome {
        let call = self.call(draft);
        let opened = match call.open(self.entry(entry)).await {
            Ok(opened) => opened,
            Err(e) => return broken(Acceptance::NotAccepted, String::new(), e.reason),
        };
        if opened.status != 200 {
            return refused(opened).await;
        }
        let mut text = String::new();
        let mut at = entry;
        let mut reading = read(opened, &mut text).await;
        let deadline = Instant::now() + Duration::from_millis(RECONNECT_MS);
        loop {
            match reading {
                Reading::Done => return Outcome::Draft { text },
                Reading::Failed(reason) => return broken(Acceptance::Accepted, text, reason),
                Reading::Broken(reason) if Instant::now() > deadline => {
                    return broken(Acceptance::Accepted, text, reason);
                }
                Reading::Broken(_) => {}
            }
            at += 1;
            tokio::time::sleep(RECONNECT_PAUSE).await;
            reading = self.reconnect(at, draft, &mut text).await;
        }
    }

    async fn reconnect(&self, entry: usize, draft: &Draft, text: &mut String) -> Reading {
        let path = format!("/v1/requests/{}?offset={}", draft.request_id, text.len());
        let call = Call::get(path).bearer(&self.key);
        let opened = match call.open(self.entry(entry)).await {
            Ok(opened) => opened,
            Err(e) => return Reading::Broken(e.reason),
        };
        if opened.status == 200 {
            return read(opened, text).await;
        }
        let status = opened.status;
        let reply = opened.whole().await;
        let body = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        Reading::Broken(format!("{status} {}", body.unwrap_or_default()))
    }

    /// Sends a filing to one entry VM, once.
    pub async fn file(&self, entry: usize, filing: &Filing) -> Outcome {
        let ask = Ask::Filing {
            key: filing.key.clone(),
            body_hash: fnv_hex(filing.body.to_string().as_bytes()),
        };
        let operation = self
            .recorder
            .called(&self.workspace, &filing.request_id, ask);
        let call = Call::post("/services/filing-desk/filings", &filing.body)
            .bearer(&self.key)
            .header("x-request-id", &filing.request_id)
            .header("idempotency-key", &filing.key);
        let outcome = match call.send(self.entry(entry)).await {
            Ok(reply) if reply.status == 200 => filed(&reply),
            Ok(reply) => refusal(&reply),
            Err(e) => broken(Acceptance::NotAccepted, String::new(), e.reason),
        };
        self.recorder.record(crate::history::Event::Returned {
            operation,
            outcome: outcome.clone(),
        });
        outcome
    }

    fn entry(&self, entry: usize) -> SocketAddr {
        self.entries.pick(entry)
    }
}

async fn read(opened: Opened, text: &mut String) -> Reading {
    let mut events = opened.events();
    loop {
        let chunk = match events.next().await {
            SseEvent::Done => return Reading::Done,
            SseEvent::Broken { reason } => return Reading::Broken(reason),
            SseEvent::Chunk(chunk) => chunk,
        };
        if chunk.get("error").is_some() {
            return Reading::Failed(chunk.to_string());
        }
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        text.push_str(content.unwrap_or_default());
    }
}

fn filed(reply: &Reply) -> Outcome {
    let effect = &reply.json()["effect"];
    let text = |name: &str| effect[name].as_str().unwrap_or_default().to_owned();
    Outcome::Filing {
        seq: effect["seq"].as_u64().unwrap_or_default(),
        request_id: text("request_id"),
        body_hash: text("body_hash"),
    }
}

async fn refused(opened: Opened) -> Outcome {
    match opened.whole().await {
        Ok(reply) => refusal(&reply),
        Err(e) => broken(Acceptance::NotAccepted, String::new(), e.reason),
    }
}

fn refusal(reply: &Reply) -> Outcome {
    let error = &reply.json()["error"];
    let code = error["code"].as_str();
    Outcome::Refused {
        code: code.unwrap_or(reply.status.as_str()).to_owned(),
        run_state: RunStateSaid::parse(error["run_state"].as_str()),
    }
}

fn broken(acceptance: Acceptance, text: String, reason: String) -> Outcome {
    Outcome::Broken {
        acceptance,
        text,
        reason,
    }
}
