//! One daemon on one thread before one engine without limits: added latency, throughput, and
//! resident memory of an open stream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpStream;

use crate::load::deploy::{Deployment, Plan, User, key_of};

const PAIRS: usize = 300;
const PAUSE: Duration = Duration::from_millis(1);
const CONNECTIONS: usize = 32;
const SPAN: Duration = Duration::from_secs(4);
const SHORT_TOKENS: u64 = 8;
const LONG_TOKENS: u64 = 2_000;
const OPEN_STREAMS: usize = 500;
const OPENED_AT_ONCE: usize = 100;
const SLOW_TOKENS_PER_S: f64 = 10.0;
const PAGE_BYTES: u64 = 4_096;

/// Figures of one daemon.
#[derive(Debug, Default, Serialize)]
struct Figures {
    whole_added_us: Added,
    first_token_added_us: Added,
    requests_per_s: f64,
    tokens_per_s: f64,
    open_streams: usize,
    resident_bytes_per_stream: f64,
}

/// Time through the daemon less the time directly, of pairs taken in turn.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Added {
    direct_p50: u64,
    p50: u64,
    p99: u64,
}

/// Measures and prints one JSON object.
pub fn run() {
    let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
    let figures = runtime.block_on(measure());
    println!("{}", serde_json::to_string(&figures).expect("plain data"));
}

async fn measure() -> Figures {
    let plan = Plan {
        runners: 1,
        entries: 1,
        prefill_tokens_per_s: 0.0,
        decode_tokens_per_s: 0.0,
        slots: 1_000.0,
    };
    let deployment = Deployment::open(User::Cooperative, "cost", plan).await;
    let (through, direct) = (deployment.entries[0], deployment.runners[0].address);
    let mut figures = Figures {
        whole_added_us: added(through, direct, Form::Whole).await,
        first_token_added_us: added(through, direct, Form::Streamed).await,
        ..Figures::default()
    };
    let span_s = SPAN.as_secs_f64();
    let requests = flood(through, Form::Whole, SHORT_TOKENS).await;
    figures.requests_per_s = requests as f64 / span_s;
    let streams = flood(through, Form::Streamed, LONG_TOKENS).await;
    figures.tokens_per_s = (streams * LONG_TOKENS) as f64 / span_s;
    deployment.close();
    (figures.open_streams, figures.resident_bytes_per_stream) = memory(plan).await;
    figures
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Whole,
    Streamed,
}

fn request(form: Form, tokens: u64) -> Request<Full<Bytes>> {
    let body = json!({
        "model": User::Cooperative.service(),
        "stream": form == Form::Streamed,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "How many desks did the school buy?"}],
    });
    Request::post("/v1/chat/completions")
        .header("host", "entry")
        .header(
            "authorization",
            format!("Bearer {}", key_of("village-schools")),
        )
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("the request is well-formed")
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("it speaks HTTP");
    tokio::spawn(connection);
    sender
}

/// Sends one request; answers the time to the first part of the body, or nothing if it was refused.
async fn once(sender: &mut SendRequest<Full<Bytes>>, form: Form, tokens: u64) -> Option<Duration> {
    let started = Instant::now();
    sender.ready().await.ok()?;
    let response = sender.send_request(request(form, tokens)).await.ok()?;
    let ok = response.status() == 200;
    let mut body = response.into_body();
    body.frame().await;
    let first = started.elapsed();
    body.collect().await.ok()?;
    ok.then_some(first)
}

async fn added(through: SocketAddr, direct: SocketAddr, form: Form) -> Added {
    let mut through = connect(through).await;
    let mut direct = connect(direct).await;
    let mut extra = Histogram::<u64>::new(3).expect("three digits are supported");
    let mut base = Histogram::<u64>::new(3).expect("three digits are supported");
    for _ in 0..PAIRS {
        let direct_time = once(&mut direct, form, SHORT_TOKENS).await;
        let through_time = once(&mut through, form, SHORT_TOKENS).await;
        tokio::time::sleep(PAUSE).await;
        let (Some(direct_time), Some(through_time)) = (direct_time, through_time) else {
            continue;
        };
        let added = through_time.saturating_sub(direct_time);
        let _ = extra.record(added.as_micros() as u64);
        let _ = base.record(direct_time.as_micros() as u64);
    }
    Added {
        direct_p50: base.value_at_quantile(0.5),
        p50: extra.value_at_quantile(0.5),
        p99: extra.value_at_quantile(0.99),
    }
}

/// Answers completed over the span by connections that send one request after the other.
async fn flood(address: SocketAddr, form: Form, tokens: u64) -> u64 {
    let end = Instant::now() + SPAN;
    let mut tasks = Vec::with_capacity(CONNECTIONS);
    for _ in 0..CONNECTIONS {
        let mut sender = connect(address).await;
        tasks.push(tokio::spawn(async move {
            let mut finished = 0;
            while Instant::now() < end {
                finished += u64::from(once(&mut sender, form, tokens).await.is_some());
            }
            finished
        }));
    }
    let mut finished = 0;
    for task in tasks {
        finished += task.await.unwrap_or(0);
    }
    finished
}

/// Streams opened, and the growth of the daemon's resident memory for each.
async fn memory(plan: Plan) -> (usize, f64) {
    let slow = Plan {
        decode_tokens_per_s: SLOW_TOKENS_PER_S,
        ..plan
    };
    let deployment = Deployment::open(User::Cooperative, "cost", slow).await;
    let pid = deployment.entry_pid(0);
    let before_bytes = resident_bytes(pid);
    let mut open = Vec::with_capacity(OPEN_STREAMS);
    for _ in 0..OPEN_STREAMS / OPENED_AT_ONCE {
        open.extend(open_streams(deployment.entries[0]).await);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let grown_bytes = resident_bytes(pid).saturating_sub(before_bytes);
    let per_stream = grown_bytes as f64 / open.len().max(1) as f64;
    deployment.close();
    (open.len(), per_stream)
}

/// Opens streams together, and keeps those that were accepted.
async fn open_streams(address: SocketAddr) -> Vec<(SendRequest<Full<Bytes>>, Response<Incoming>)> {
    let mut tasks = Vec::with_capacity(OPENED_AT_ONCE);
    for _ in 0..OPENED_AT_ONCE {
        tasks.push(tokio::spawn(async move {
            let mut sender = connect(address).await;
            let long = request(Form::Streamed, LONG_TOKENS);
            let answer = sender.send_request(long).await.ok()?;
            (answer.status() == 200).then_some((sender, answer))
        }));
    }
    let mut open = Vec::with_capacity(OPENED_AT_ONCE);
    for task in tasks {
        open.extend(task.await.ok().flatten());
    }
    open
}

fn resident_bytes(pid: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
