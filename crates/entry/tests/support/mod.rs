//! A fake backend that plays scripted answers, and a flow that uses it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use base::Name;
use base::ids::RequestId;
use bytes::Bytes;
use chart::Chart;
use engine::chat::{Call, CompletionRequest};
use engine::{Answer, Attempt, Backend, BodyError, SendError, Target};
use entry::backends::{BackendInfo, Backends, Leaving, Reporting};
use entry::clock::Clock;
use entry::flow::{
    AnswerEvent, Drain, Flow, FlowOptions, Progress, Reclaims, Record, Relay, Retries, Store,
    StoreOptions, Suspicion,
};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use policy::route::{RouteStateConfig, Routing};
use tokio::sync::watch;

/// The fake backend's reaction to one attempt.
#[derive(Clone, Debug)]
pub enum Script {
    /// The connection fails.
    NotSent,
    /// The request is accepted and no response head arrives.
    Unanswered,
    /// A complete answer with this status.
    Status(u16),
    /// The request is accepted, and the server crashes and stays down.
    Crash,
    /// A stream of words that ends as given.
    Words(&'static [&'static str], StreamEnd),
}

/// The ending of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// A finish reason and the end marker.
    Whole,
    /// A finish reason, then a closed connection without the end marker.
    NoMarker,
    /// The end marker without a finish reason.
    NoReason,
    /// A cleanly closed connection after the last word.
    Truncated,
    /// A connection error after the last word.
    Broken,
    /// An open connection on which nothing more arrives.
    Silent,
}

/// Plays scripts in order, one per attempt, and records the attempts.
#[derive(Default)]
pub struct FakeBackend {
    scripts: Mutex<VecDeque<Script>>,
    attempts: Mutex<Vec<(Target, serde_json::Value)>>,
    gone: Mutex<Vec<Target>>,
    transfers: Mutex<Vec<(Name, String)>>,
    kv: Mutex<KvTransfer>,
}

/// Whether the engines can export and import their KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KvTransfer {
    /// Exports and imports succeed.
    #[default]
    Moves,
    /// Exports and imports get status 404.
    Unsupported,
}

impl FakeBackend {
    /// The KV cache exports and imports in order, with server and path.
    pub fn transfers(&self) -> Vec<(Name, String)> {
        self.transfers.lock().expect("not poisoned").clone()
    }

    /// Sets whether engines can export and import their KV cache.
    pub fn set_kv(&self, kv: KvTransfer) {
        *self.kv.lock().expect("not poisoned") = kv;
    }

    fn transfer(&self, target: &Target, path: &str) -> Answer {
        let mut transfers = self.transfers.lock().expect("not poisoned");
        transfers.push((target.id.clone(), path.to_owned()));
        let status = match *self.kv.lock().expect("not poisoned") {
            KvTransfer::Moves => 200,
            KvTransfer::Unsupported => 404,
        };
        answer(status, vec![Ok(Bytes::from("cache"))], false)
    }

    fn health(&self, target: &Target) -> Result<Answer, SendError> {
        if self.gone.lock().expect("not poisoned").contains(target) {
            let reason = "gone".to_owned();
            return Err(SendError::NotSent { reason });
        }
        Ok(answer(200, Vec::new(), false))
    }

    /// The request bodies that were sent, with the target of each.
    pub fn attempts(&self) -> Vec<(Target, serde_json::Value)> {
        self.attempts.lock().expect("not poisoned").clone()
    }
}

#[async_trait]
impl Backend for FakeBackend {
    async fn send(&self, target: &Target, attempt: Attempt) -> Result<Answer, SendError> {
        if attempt.path == "/healthz" {
            return self.health(target);
        }
        if attempt.path.starts_with("/kv/") {
            return Ok(self.transfer(target, &attempt.path));
        }
        let body = serde_json::from_slice(&attempt.body).unwrap_or_default();
        self.attempts
            .lock()
            .expect("not poisoned")
            .push((target.clone(), body));
        let script = self.scripts.lock().expect("not poisoned").pop_front();
        let reason = "scripted".to_owned();
        match script.unwrap_or(Script::NotSent) {
            Script::NotSent => Err(SendError::NotSent { reason }),
            Script::Unanswered => Err(SendError::Unanswered { reason }),
            Script::Status(status) => Ok(answer(status, vec![Ok(Bytes::from("{}"))], false)),
            Script::Words(words, end) => Ok(words_answer(words, end)),
            Script::Crash => {
                let mut gone = self.gone.lock().expect("not poisoned");
                gone.push(target.clone());
                Err(SendError::Unanswered { reason })
            }
        }
    }
}

fn words_answer(words: &[&str], end: StreamEnd) -> Answer {
    let mut pieces = Vec::new();
    for word in words {
        let chunk = serde_json::json!({"choices": [{"delta": {"content": word}}]});
        pieces.push(Ok(Bytes::from(format!("data: {chunk}\n\n"))));
    }
    let finish = serde_json::json!({"choices": [{"delta": {}, "finish_reason": "stop"}]});
    if matches!(end, StreamEnd::Whole | StreamEnd::NoMarker) {
        pieces.push(Ok(Bytes::from(format!("data: {finish}\n\n"))));
    }
    if matches!(end, StreamEnd::Whole | StreamEnd::NoReason) {
        pieces.push(Ok(Bytes::from("data: [DONE]\n\n")));
    }
    if end == StreamEnd::Broken {
        pieces.push(Err(BodyError {
            reason: "scripted break".to_owned(),
        }));
    }
    answer(200, pieces, end == StreamEnd::Silent)
}

fn answer(status: u16, pieces: Vec<Result<Bytes, BodyError>>, silent: bool) -> Answer {
    let frames = stream::iter(pieces).map(|piece| piece.map(Frame::data));
    let tail = match silent {
        true => stream::pending().left_stream(),
        false => stream::empty().right_stream(),
    };
    Answer {
        status: StatusCode::from_u16(status).expect("a valid status"),
        headers: HeaderMap::new(),
        body: StreamBody::new(frames.chain(tail)).boxed_unsync(),
    }
}

/// A flow that sends its attempts to a fake backend.
pub struct Bench {
    pub backend: Arc<FakeBackend>,
    pub flow: Arc<Flow>,
    /// Tells open streams to stop.
    pub drain: watch::Sender<Drain>,
}

impl Bench {
    /// Creates a flow with `servers` backend servers that play `scripts`.
    pub fn open(servers: usize, scripts: &[Script]) -> Self {
        let backend = Arc::new(FakeBackend::default());
        *backend.scripts.lock().expect("not poisoned") = scripts.iter().cloned().collect();
        let clock = Clock::open();
        let config = RouteStateConfig::default();
        let backends = Backends::open(Routing::Cost, config, clock, 1);
        backends.set_servers((0..servers).map(known).collect());
        let (drain, drain_seen) = watch::channel(Drain::Open);
        let chart = Chart::parse(include_str!("../../charts/request.toml"));
        let flow = Arc::new(Flow {
            backend: backend.clone(),
            backends,
            retries: Retries::default(),
            suspicion: Suspicion::default(),
            reclaims: Reclaims::default(),
            store: Store::open(StoreOptions::default()),
            chart: chart.expect("valid chart"),
            clock,
            drain: drain_seen,
            options: FlowOptions::default(),
        });
        Self {
            backend,
            flow,
            drain,
        }
    }

    /// Accepts a request with this id and prompt.
    pub fn relay_of(&self, number: u128, prompt: &str) -> Relay {
        let mut record = record("a ledger", Some(16));
        record.id = RequestId::from(number);
        record.request.messages =
            Some(vec![serde_json::json!({"role": "user", "content": prompt})]);
        let record = self.flow.store.insert(record).expect("a new number");
        Relay::open(self.flow.clone(), record, 0)
    }

    /// Accepts a request for at most `max_tokens` tokens.
    pub fn relay(&self, max_tokens: Option<u64>) -> Relay {
        self.relay_for("a ledger", max_tokens)
    }

    /// Accepts a request with this prompt for at most `max_tokens` tokens.
    pub fn relay_for(&self, prompt: &str, max_tokens: Option<u64>) -> Relay {
        let record = self
            .flow
            .store
            .insert(record(prompt, max_tokens))
            .expect("a new number");
        Relay::open(self.flow.clone(), record, 0)
    }
}

fn known(number: usize) -> BackendInfo {
    BackendInfo {
        target: Target {
            id: format!("runner-{number}").into(),
            address: ([127, 0, 0, 1], 1).into(),
        },
        service: "drafting".into(),
        failure_domain: "vake".into(),
        price_micros_per_h: 0,
        latency_us: 0,
        reporting: Reporting::Silent,
        leaving: Leaving::No,
    }
}

fn record(prompt: &str, max_tokens: Option<u64>) -> Record {
    let body = serde_json::json!({
        "model": "drafting", "max_tokens": max_tokens, "stream": true,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request: CompletionRequest = serde_json::from_value(body).expect("valid request");
    Record {
        id: RequestId::from(7),
        workspace: "village-schools".into(),
        service: "drafting".into(),
        call: Call::Chat,
        request,
        text: String::new(),
        tokens: 0,
        created_s: 0,
        remaining_ms: 60_000,
        usage: Default::default(),
        progress: Progress::Open,
        attempts: Vec::new(),
        failed: 0,
        epoch: 0,
    }
}

/// Reads a relay to its end and returns the text and the final event.
pub async fn read_all(relay: &mut Relay) -> (String, AnswerEvent) {
    let mut all = String::new();
    loop {
        match relay.next().await {
            AnswerEvent::Text { text, .. } => all.push_str(&text),
            last => return (all, last),
        }
    }
}
