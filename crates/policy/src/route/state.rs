//! Routing state that an entry VM learns from its own requests.

use std::collections::VecDeque;

use base::ids::RequestId;
use base::units::{Millisecond, TokenCount};
use base::{Map, Name};

use super::blocks::{BLOCK_TOKENS, BlockHash};
use super::index::{CacheEvent, PrefixIndex};
use super::view::{CostWeights, LoadReport, RouteDecision, RouteRequest};

/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// Prefill speed assumed for an unused server.
const PRIOR_PREFILL_TOKENS_PER_MS: f64 = 4.0;

/// Decode time assumed for an unused server.
const PRIOR_DECODE_MS_PER_TOKEN: f64 = 20.0;

/// Request duration assumed for an unused server of a plain service.
const PRIOR_SERVICE_MS: f64 = 20.0;

/// Most sent requests kept for each server, to compare with the age of its load reports.
const MAX_UNREPORTED: usize = 1_024;

/// Configuration of a [`RouteState`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteStateConfig {
    /// Entry VMs that send to the same servers, this one included.
    pub entries: u32,
    /// Capacity of the prefix index, in pairs of block and server.
    pub max_index_blocks: usize,
    pub weights: CostWeights,
}

impl Default for RouteStateConfig {
    fn default() -> Self {
        Self {
            entries: 6,
            max_index_blocks: 500_000,
            weights: CostWeights::default(),
        }
    }
}

/// Token counts of an attempt that succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptUsage {
    pub output_tokens: TokenCount,
    /// Prompt tokens found in the server's cache, if the server reported them.
    pub cached_tokens: Option<TokenCount>,
}

#[derive(Clone, Debug)]
struct Attempt {
    server: Name,
    sent_ms: Millisecond,
    first_token_ms: Option<Millisecond>,
    new_tokens: TokenCount,
    expected_tokens: TokenCount,
    blocks: Vec<BlockHash>,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at_ms: Millisecond,
    tokens: TokenCount,
}

/// Learned speed of one server, and the requests that this entry VM has in flight there.
#[derive(Clone, Debug)]
pub(super) struct ServerStats {
    pub prefill_tokens_per_ms: f64,
    pub decode_ms_per_token: f64,
    pub service_ms: f64,
    pub in_flight: u32,
    pub outstanding_tokens: TokenCount,
    sent: VecDeque<SentRequest>,
}

impl Default for ServerStats {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: PRIOR_PREFILL_TOKENS_PER_MS,
            decode_ms_per_token: PRIOR_DECODE_MS_PER_TOKEN,
            service_ms: PRIOR_SERVICE_MS,
            in_flight: 0,
            outstanding_tokens: 0,
            sent: VecDeque::new(),
        }
    }
}

impl ServerStats {
    /// Requests and tokens that this entry VM sent after a load report of age `age_ms` was made.
    pub fn unreported(&self, now_ms: Millisecond, age_ms: Millisecond) -> (u32, TokenCount) {
        let reported_ms = now_ms.saturating_sub(age_ms);
        let mut requests = 0;
        let mut tokens = 0;
        for sent in self.sent.iter().rev() {
            if sent.at_ms < reported_ms {
                break;
            }
            requests += 1;
            tokens += sent.tokens;
        }
        (requests, tokens)
    }
}

/// Routing state of one entry VM.
#[derive(Debug)]
pub struct RouteState {
    config: RouteStateConfig,
    index: PrefixIndex,
    servers: Map<Name, ServerStats>,
    attempts: Map<RequestId, Attempt>,
    turns: Map<Name, u64>,
}

impl RouteState {
    /// Creates a state without learned values.
    pub fn new(config: RouteStateConfig) -> Self {
        Self {
            config,
            index: PrefixIndex::new(config.max_index_blocks),
            servers: Map::default(),
            attempts: Map::default(),
            turns: Map::default(),
        }
    }

    /// Sets the number of entry VMs that send to the same servers.
    pub fn set_entries(&mut self, entries: u32) {
        self.config.entries = entries.max(1);
    }

    pub fn index(&self) -> &PrefixIndex {
        &self.index
    }

    /// Requests that this entry VM has in flight at a server.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |stats| stats.in_flight)
    }

    /// Applies a server's load report.
    pub fn on_load(&mut self, server: &Name, load: &LoadReport) {
        self.index.set_capacity(server, load.kv_total_tokens);
    }

    pub fn on_cache_event(&mut self, server: &Name, event: &CacheEvent) {
        self.index.on_event(server, event);
    }

    /// Records that an attempt was sent to the server of `decision`.
    pub fn on_sent(
        &mut self,
        id: RequestId,
        request: &RouteRequest,
        decision: &RouteDecision,
        now_ms: Millisecond,
    ) {
        self.on_ended(id, None, now_ms);
        *self.turns.entry(request.service.clone()).or_default() += 1;
        let new_tokens = request.prompt_tokens.saturating_sub(decision.cached_tokens);
        let expected_tokens = new_tokens + request.output_tokens;
        let stats = self.servers.entry(decision.server.clone()).or_default();
        stats.in_flight += 1;
        stats.outstanding_tokens += expected_tokens;
        if stats.sent.len() == MAX_UNREPORTED {
            stats.sent.pop_front();
        }
        stats.sent.push_back(SentRequest {
            at_ms: now_ms,
            tokens: expected_tokens,
        });
        self.index.on_used(&decision.server, &request.blocks);
        let attempt = Attempt {
            server: decision.server.clone(),
            sent_ms: now_ms,
            first_token_ms: None,
            new_tokens,
            expected_tokens,
            blocks: request.blocks.clone(),
        };
        self.attempts.insert(id, attempt);
    }

    /// Records the first token, or for a plain service the first byte, of an answer.
    pub fn on_first_token(&mut self, id: RequestId, now_ms: Millisecond) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.first_token_ms.get_or_insert(now_ms);
    }

    /// Records the end of an attempt; `usage` is `None` if it failed.
    pub fn on_ended(&mut self, id: RequestId, usage: Option<AttemptUsage>, now_ms: Millisecond) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let Some(stats) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.outstanding_tokens = stats
            .outstanding_tokens
            .saturating_sub(attempt.expected_tokens);
        let Some(usage) = usage else {
            return;
        };
        learn(stats, &attempt, &usage, now_ms);
        self.mark_prompt_cached(&attempt, &usage);
    }

    /// Removes the servers for which `keep` returns false, such as those no longer in the view.
    pub fn retain_servers(&mut self, keep: impl Fn(&Name) -> bool) {
        let gone: Vec<Name> = self.servers.keys().filter(|s| !keep(s)).cloned().collect();
        for server in gone {
            self.index.forget(&server);
            self.servers.remove(&server);
        }
    }

    pub(super) fn stats(&self, server: &str) -> Option<&ServerStats> {
        self.servers.get(server)
    }

    pub(super) fn entries(&self) -> u32 {
        self.config.entries
    }

    pub(super) fn weights(&self) -> &CostWeights {
        &self.config.weights
    }

    pub(super) fn turn(&self, service: &str) -> u64 {
        self.turns.get(service).copied().unwrap_or(0)
    }

    /// Records the whole prompt as cached at the server that computed it, if the server reports
    /// cache usage.
    fn mark_prompt_cached(&mut self, attempt: &Attempt, usage: &AttemptUsage) {
        if usage.cached_tokens.is_none() {
            return;
        }
        self.index.on_used(&attempt.server, &attempt.blocks);
    }
}

fn learn(stats: &mut ServerStats, attempt: &Attempt, usage: &AttemptUsage, now_ms: Millisecond) {
    let total_ms = now_ms.saturating_sub(attempt.sent_ms) as f64;
    update_average(&mut stats.service_ms, total_ms);
    let Some(first_ms) = attempt.first_token_ms else {
        return;
    };
    let prefill_ms = first_ms.saturating_sub(attempt.sent_ms).max(1) as f64;
    if attempt.new_tokens > BLOCK_TOKENS {
        let sample = attempt.new_tokens as f64 / prefill_ms;
        update_average(&mut stats.prefill_tokens_per_ms, sample);
    }
    if usage.output_tokens > 1 {
        let decode_ms = now_ms.saturating_sub(first_ms) as f64;
        let sample = decode_ms / (usage.output_tokens - 1) as f64;
        update_average(&mut stats.decode_ms_per_token, sample);
    }
}

fn update_average(average: &mut f64, sample: f64) {
    *average += EWMA_WEIGHT * (sample - *average);
}
