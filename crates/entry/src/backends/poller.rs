//! Polls the load reports and prefix cache events of model engines.

use std::time::Duration;

use base::units::Millisecond;
use base::{Map, Name};
use bytes::Bytes;
use engine::report::{CacheEvents, LoadReport};
use engine::{Attempt, Backend, Target};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use policy::route;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tokio::task::{JoinHandle, JoinSet};

use super::view::Backends;

/// Largest body of a report; a poll that gets a larger one counts as failed.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// Timing of the poller.
#[derive(Clone, Copy, Debug)]
pub struct PollerOptions {
    /// Time between polls of one server.
    pub interval_ms: Millisecond,
    /// Timeout for the head of a report, and again for its body.
    pub timeout_ms: Millisecond,
}

impl Default for PollerOptions {
    fn default() -> Self {
        Self {
            interval_ms: 250,
            timeout_ms: 1_000,
        }
    }
}

/// The handle of the polling task.
pub struct Poller {
    task: JoinHandle<()>,
}

impl Poller {
    /// Starts polling all servers of `backends`.
    pub fn spawn(backend: Arc<dyn Backend>, backends: Backends, options: PollerOptions) -> Self {
        let task = tokio::spawn(async move {
            let mut last_seqs: Map<Name, u64> = Map::default();
            let mut tick = tokio::time::interval(Duration::from_millis(options.interval_ms));
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                poll_all(&backend, &backends, options, &mut last_seqs).await;
            }
        });
        Self { task }
    }

    /// Stops polling.
    pub fn close(self) {
        self.task.abort();
    }
}

struct PollResult {
    target: Target,
    load: Option<LoadReport>,
    cache: Option<CacheEvents>,
}

async fn poll_all(
    backend: &Arc<dyn Backend>,
    backends: &Backends,
    options: PollerOptions,
    last_seqs: &mut Map<Name, u64>,
) {
    let mut polls = JoinSet::new();
    for target in backends.polled() {
        let after = last_seqs.get(&target.id).copied().unwrap_or(0);
        polls.spawn(poll_one(backend.clone(), target, after, options.timeout_ms));
    }
    while let Some(result) = polls.join_next().await {
        let Ok(polled) = result else {
            continue;
        };
        record(backends, polled, options.interval_ms, last_seqs);
    }
}

async fn poll_one(
    backend: Arc<dyn Backend>,
    target: Target,
    after: u64,
    timeout_ms: Millisecond,
) -> PollResult {
    let load = get(&*backend, &target, "/load".into(), timeout_ms).await;
    let path = format!("/cache/events?after={after}");
    let cache = get(&*backend, &target, path, timeout_ms).await;
    PollResult {
        target,
        load,
        cache,
    }
}

fn record(
    backends: &Backends,
    polled: PollResult,
    interval_ms: Millisecond,
    last_seqs: &mut Map<Name, u64>,
) {
    let load = polled.load.map(|report| route::LoadReport {
        running: report.running,
        waiting: report.waiting,
        kv_used_tokens: report.kv_used_tokens,
        kv_total_tokens: report.kv_total_tokens,
        tokens_per_s: report.tokens_per_s,
        slots: report.slots,
        age_ms: 0,
    });
    backends.set_load(&polled.target.id, load, interval_ms);
    for event in polled.cache.map(|c| c.events).unwrap_or_default() {
        last_seqs.insert(polled.target.id.clone(), event.seq);
        let event = route::CacheEvent {
            seq: event.seq,
            stored: hashes(&event.stored),
            removed: hashes(&event.removed),
        };
        backends.on_cache_event(&polled.target.id, &event);
    }
}

fn hashes(texts: &[String]) -> Vec<route::BlockHash> {
    let mut hashes = Vec::with_capacity(texts.len());
    for text in texts {
        let Ok(hash) = u64::from_str_radix(text, 16) else {
            continue;
        };
        hashes.push(hash);
    }
    hashes
}

async fn get<T: DeserializeOwned>(
    backend: &dyn Backend,
    target: &Target,
    path: String,
    timeout_ms: Millisecond,
) -> Option<T> {
    let attempt = Attempt {
        method: Method::GET,
        path,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        head_timeout_ms: timeout_ms,
    };
    let answer = backend.send(target, attempt).await.ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    let body = Limited::new(answer.body, REPORT_MAX_BYTES).collect();
    let limit = Duration::from_millis(timeout_ms);
    let body = tokio::time::timeout(limit, body).await.ok()?.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
