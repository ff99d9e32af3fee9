//! A scripted backend and the flow around it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use base::Name;
use base::ids::RequestId;
use bytes::Bytes;
use chart::Chart;
use engine::chat::{Call, CompletionRequest};
use engine::{Answer, Attempt, Backend, BodyError, SendError, Target};
use entry::backends::{Backends, Known, Leaving, Reporting};
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

/// How the backend treats one attempt.
#[derive(Clone, Debug)]
pub enum Script {
    /// No connection.
    NotSent,
    /// The request is taken and no head comes.
    Unanswered,
    /// A whole answer with that status.
    Status(u16),
    /// The request is taken and the server is gone with it.
    Crash,
    /// Words, then an end.
    Words(&'static [&'static str], End),
}

/// How a streamed answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Finish reason and end marker.
    Whole,
    /// Finish reason, and the connection ends without the marker.
    NoMarker,
    /// The end marker without a finish reason.
    NoReason,
    /// The connection ends in an orderly way after the last word.
    Truncated,
    /// The connection breaks.
    Broken,
    /// Nothing more ever comes.
    Silent,
}

/// Plays scripts in order and records the attempts.
#[derive(Default)]
pub struct FakeBackend {
    scripts: Mutex<VecDeque<Script>>,
    attempts: Mutex<Vec<(Target, serde_json::Value)>>,
    gone: Mutex<Vec<Target>>,
    transfers: Mutex<Vec<(Name, String)>>,
    kv: Mutex<Kv>,
}

/// Whether the engines export and import KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kv {
    /// They do.
    #[default]
    Moves,
    /// They answer 404.
    Unsupported,
}

impl FakeBackend {
    /// Exports and imports: the server and the path, in order.
    pub fn transfers(&self) -> Vec<(Name, String)> {
        self.transfers.lock().expect("not poisoned").clone()
    }

    /// Sets what engines do when asked for a KV cache.
    pub fn set_kv(&self, kv: Kv) {
        *self.kv.lock().expect("not poisoned") = kv;
    }

    fn transfer(&self, target: &Target, path: &str) -> Answer {
        let mut transfers = self.transfers.lock().expect("not poisoned");
        transfers.push((target.id.clone(), path.to_owned()));
        let status = match *self.kv.lock().expect("not poisoned") {
            Kv::Moves => 200,
            Kv::Unsupported => 404,
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

    /// The bodies sent, with where each went.
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

fn words_answer(words: &[&str], end: End) -> Answer {
    let mut pieces = Vec::new();
    for word in words {
        let chunk = serde_json::json!({"choices": [{"delta": {"content": word}}]});
        pieces.push(Ok(Bytes::from(format!("data: {chunk}\n\n"))));
    }
    let finish = serde_json::json!({"choices": [{"delta": {}, "finish_reason": "stop"}]});
    if matches!(end, End::Whole | End::NoMarker) {
        pieces.push(Ok(Bytes::from(format!("data: {finish}\n\n"))));
    }
    if matches!(end, End::Whole | End::NoReason) {
        pieces.push(Ok(Bytes::from("data: [DONE]\n\n")));
    }
    if end == End::Broken {
        pieces.push(Err(BodyError {
            reason: "scripted break".to_owned(),
        }));
    }
    answer(200, pieces, end == End::Silent)
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

/// A flow over the fake backend.
pub struct Bench {
    /// The backend.
    pub backend: Arc<FakeBackend>,
    /// The flow.
    pub flow: Arc<Flow>,
    /// Stops streams.
    pub drain: watch::Sender<Drain>,
}

impl Bench {
    /// A flow with `servers` backend servers that play `scripts`.
    pub fn open(servers: usize, scripts: &[Script]) -> Self {
        let backend = Arc::new(FakeBackend::default());
        *backend.scripts.lock().expect("not poisoned") = scripts.iter().cloned().collect();
        let clock = Clock::open();
        let config = RouteStateConfig::default();
        let backends = Backends::open(Routing::Cost, config, clock, 1);
        backends.set_known((0..servers).map(known).collect());
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

    /// Accepts a request with another number and prompt.
    pub fn relay_of(&self, number: u128, prompt: &str) -> Relay {
        let mut record = record("a ledger", Some(16));
        record.id = RequestId::from(number);
        record.request.messages =
            Some(vec![serde_json::json!({"role": "user", "content": prompt})]);
        let record = self.flow.store.insert(record).expect("a new number");
        Relay::open(self.flow.clone(), record, 0)
    }

    /// Accepts a request for at most `max_tokens`.
    pub fn relay(&self, max_tokens: Option<u64>) -> Relay {
        self.relay_for("a ledger", max_tokens)
    }

    /// Accepts a request with that prompt.
    pub fn relay_for(&self, prompt: &str, max_tokens: Option<u64>) -> Relay {
        let record = self
            .flow
            .store
            .insert(record(prompt, max_tokens))
            .expect("a new number");
        Relay::open(self.flow.clone(), record, 0)
    }
}

fn known(number: usize) -> Known {
    Known {
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

/// Reads a relay to its end: the text and the last piece.
pub async fn read_all(relay: &mut Relay) -> (String, AnswerEvent) {
    let mut all = String::new();
    loop {
        match relay.next().await {
            AnswerEvent::Text { text, .. } => all.push_str(&text),
            last => return (all, last),
        }
    }
}
