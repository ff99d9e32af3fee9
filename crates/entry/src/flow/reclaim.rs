//! Applies `policy::reclaim` to the streams of this entry VM.
//!
//! The first stream that learns that its server is leaving plans for all streams of that server, so
//! that the plan can queue their transfers one after another and spread them over the survivors.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::ids::RequestId;
use base::units::{Millisecond, TokenCount};
use base::{Map, Name};
use policy::reclaim::{self, AffectedStream, KvExport, LeavingServer, StreamDecision, Survivor};
use policy::route::{BLOCK_TOKENS, CostWeights, RouteRequest, ServerState, ServerView};

use super::record::SharedRecord;
use crate::backends::Backends;

/// Assumed rate at which an engine exports KV cache.
const EXPORT_TOKENS_PER_MS: f64 = 50.0;

/// Answer length assumed when the caller sets no `max_tokens`.
const OUTPUT_TOKENS_ASSUMED: TokenCount = 512;

/// Assumed rate at which an engine computes prompt tokens.
const PREFILL_TOKENS_PER_MS: f64 = 4.0;

/// Assumed wait of a request at an engine without a free slot.
const SLOT_WAIT_MS: f64 = 500.0;

struct ListedStream {
    server: Name,
    record: SharedRecord,
    route_request: RouteRequest,
}

#[derive(Default)]
struct Inner {
    streams: Map<RequestId, ListedStream>,
    decisions: Map<RequestId, StreamDecision>,
}

/// The running streams of this entry VM and the decisions about them; clones share the same data.
#[derive(Clone, Default)]
pub struct Reclaims {
    inner: Arc<Mutex<Inner>>,
}

/// Removes a stream and its decision from [`Reclaims`] when dropped.
pub(super) struct ListGuard {
    reclaims: Reclaims,
    id: RequestId,
}

impl Drop for ListGuard {
    fn drop(&mut self) {
        let mut inner = self.reclaims.lock();
        inner.streams.remove(&self.id);
        inner.decisions.remove(&self.id);
    }
}

/// What a stream knows about its leaving server.
pub(super) struct LeavingNotice<'a> {
    /// The stream's request.
    pub id: RequestId,
    /// The leaving server.
    pub server: &'a Name,
    /// Time until the server stops.
    pub remaining_ms: Millisecond,
    /// Decode time per token, as measured by this stream.
    pub token_ms: f64,
}

impl Reclaims {
    /// Adds a stream whose answer has begun.
    pub(super) fn add(&self, server: Name, record: SharedRecord, route: RouteRequest) -> ListGuard {
        let id = record.lock().id;
        let listed = ListedStream {
            server,
            record,
            route_request: route,
        };
        self.lock().streams.insert(id, listed);
        ListGuard {
            reclaims: self.clone(),
            id,
        }
    }

    /// Returns the decision for a stream; plans for all streams of its server if there is no plan
    /// yet.
    pub(super) fn decide(&self, notice: &LeavingNotice<'_>, backends: &Backends) -> StreamDecision {
        let view = backends.view();
        let entries = backends.entries();
        let mut inner = self.lock();
        if let Some(decision) = inner.decisions.remove(&notice.id) {
            return decision;
        }
        let leaving = [leaving_server(notice, &view)];
        let mut streams = Vec::new();
        for (id, listed) in &inner.streams {
            if listed.server == *notice.server {
                streams.push(affected_stream(*id, listed, notice.token_ms, backends));
            }
        }
        let survivors = survivors(&view, notice.server, entries);
        let plans = reclaim::plan(&leaving, &streams, &survivors, &CostWeights::default());
        for plan in plans {
            inner.decisions.insert(plan.id, plan.decision);
        }
        inner
            .decisions
            .remove(&notice.id)
            .unwrap_or(StreamDecision::Stay)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn leaving_server(notice: &LeavingNotice<'_>, view: &[ServerView]) -> LeavingServer {
    let known = view.iter().find(|v| v.server == *notice.server);
    LeavingServer {
        server: notice.server.clone(),
        failure_domain: known.map_or_else(|| "".into(), |v| v.failure_domain.clone()),
        remaining_ms: notice.remaining_ms,
        export: KvExport::Supported {
            tokens_per_ms: EXPORT_TOKENS_PER_MS,
        },
    }
}

fn affected_stream(
    id: RequestId,
    listed: &ListedStream,
    token_ms: f64,
    backends: &Backends,
) -> AffectedStream {
    let record = listed.record.lock();
    let bound = record.request.max_tokens.unwrap_or(OUTPUT_TOKENS_ASSUMED);
    let mut cached_at = Vec::new();
    for (server, blocks) in backends.holders(&listed.route_request.blocks) {
        cached_at.push((server, blocks as u64 * BLOCK_TOKENS));
    }
    AffectedStream {
        id,
        server: listed.server.clone(),
        priority: listed.route_request.priority,
        prompt_tokens: listed.route_request.prompt_tokens,
        relayed_tokens: record.tokens,
        expected_tokens: bound.saturating_sub(record.tokens),
        decode_ms_per_token: token_ms,
        cached_at,
    }
}

/// Live servers of the leaving server's service. Each entry VM counts only its share of their free
/// slots, as all of them move streams at the same time.
fn survivors(view: &[ServerView], leaving: &Name, entries: u32) -> Vec<Survivor> {
    let service = view
        .iter()
        .find(|v| v.server == *leaving)
        .map(|v| v.service.clone());
    let mut survivors = Vec::new();
    for one in view {
        if Some(&one.service) != service.as_ref() || one.state != ServerState::Live {
            continue;
        }
        let load = one.load;
        let free_slots = load.map_or(0, |l| l.slots.saturating_sub(l.running + l.waiting));
        let free_kv = load.map_or(0, |l| l.kv_total_tokens.saturating_sub(l.kv_used_tokens));
        survivors.push(Survivor {
            server: one.server.clone(),
            failure_domain: one.failure_domain.clone(),
            free_slots: free_slots.div_ceil(entries),
            free_kv_tokens: free_kv,
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            slot_wait_ms: SLOT_WAIT_MS,
        });
    }
    survivors
}
