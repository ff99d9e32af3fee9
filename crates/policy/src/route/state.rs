//! What one entry VM has learned from its own requests.

use std::collections::VecDeque;

use base::ids::RequestId;
use base::units::{Millisecond, TokenCount};
use base::{Map, Name};

use super::blocks::{BLOCK_TOKENS, BlockHash};
use super::index::{CacheEvent, PrefixIndex};
use super::view::{LoadReport, RouteDecision, RouteRequest, Weights};

/// Weight of the newest sample in a moving average.
const EWMA_WEIGHT: f64 = 0.2;

/// Prefill speed assumed of a server never used, in tokens a millisecond.
const PRIOR_PREFILL_TOKENS_PER_MS: f64 = 4.0;

/// Decode time assumed of a server never used.
const PRIOR_DECODE_MS_PER_TOKEN: f64 = 20.0;

/// Request duration assumed of a plain service never used.
const PRIOR_SERVICE_MS: f64 = 20.0;

/// Sends remembered per server until a load report covers them.
const MAX_UNREPORTED: usize = 1_024;

/// Fixed properties of a [`RouteState`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteStateConfig {
    /// Entry VMs that send to the same servers, this one included.
    pub entries: u32,
    /// Bound of the prefix index, in pairs of block and server.
    pub max_index_blocks: usize,
    /// Relative worth of time, recomputation and money.
    pub weights: Weights,
}

impl Default for RouteStateConfig {
    fn default() -> Self {
        Self {
            entries: 6,
            max_index_blocks: 500_000,
            weights: Weights::default(),
        }
    }
}

/// Token counts at the end of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens generated.
    pub output_tokens: TokenCount,
    /// Prompt tokens that were found in the server's cache, if it said so.
    pub cached_tokens: Option<TokenCount>,
}

#[derive(Clone, Debug)]
struct Flight {
    server: Name,
    sent_ms: Millisecond,
    first_token_ms: Option<Millisecond>,
    new_tokens: TokenCount,
    expected_tokens: TokenCount,
    blocks: Vec<BlockHash>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at_ms: Millisecond,
    tokens: TokenCount,
}

/// Learned behaviour of one server and what this entry VM has in flight there.
#[derive(Clone, Debug)]
pub(super) struct ServerStats {
    pub prefill_tokens_per_ms: f64,
    pub decode_ms_per_token: f64,
    pub service_ms: f64,
    pub in_flight: u32,
    pub outstanding_tokens: TokenCount,
    sent: VecDeque<Sent>,
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
    /// Requests and tokens sent by this entry VM that a report of that age cannot include.
    pub fn unreported(&self, now_ms: Millisecond, age_ms: Millisecond) -> (u32, TokenCount) {
        let made_ms = now_ms.saturating_sub(age_ms);
        let mut requests = 0;
        let mut tokens = 0;
        for sent in self.sent.iter().rev() {
            if sent.at_ms < made_ms {
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
    flights: Map<RequestId, Flight>,
    turns: Map<Name, u64>,
}

impl RouteState {
    /// State that has learned nothing yet.
    pub fn new(config: RouteStateConfig) -> Self {
        Self {
            config,
            index: PrefixIndex::new(config.max_index_blocks),
            servers: Map::default(),
            flights: Map::default(),
            turns: Map::default(),
        }
    }

    /// Sets how many entry VMs send to the same servers.
    pub fn set_entries(&mut self, entries: u32) {
        self.config.entries = entries.max(1);
    }

    /// The prefix index.
    pub fn index(&self) -> &PrefixIndex {
        &self.index
    }

    /// Requests that this entry VM has in flight at a server.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |stats| stats.in_flight)
    }

    /// Takes in a server's load report.
    pub fn on_load(&mut self, server: &Name, load: &LoadReport) {
        self.index.set_capacity(server, load.kv_total_tokens);
    }

    /// Takes in a cache event of a server.
    pub fn on_cache_event(&mut self, server: &Name, event: &CacheEvent) {
        self.index.on_event(server, event);
    }

    /// Notes that an attempt was sent where `decision` says.
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
        stats.sent.push_back(Sent {
            at_ms: now_ms,
            tokens: expected_tokens,
        });
        self.index.on_used(&decision.server, &request.blocks);
        let flight = Flight {
            server: decision.server.clone(),
            sent_ms: now_ms,
            first_token_ms: None,
            new_tokens,
            expected_tokens,
            blocks: request.blocks.clone(),
        };
        self.flights.insert(id, flight);
    }

    /// Notes the first token (or byte) of an answer.
    pub fn on_first_token(&mut self, id: RequestId, now_ms: Millisecond) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.first_token_ms.get_or_insert(now_ms);
    }

    /// Notes the end of an attempt; `usage` is absent when it failed.
    pub fn on_ended(&mut self, id: RequestId, usage: Option<Usage>, now_ms: Millisecond) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let Some(stats) = self.servers.get_mut(&flight.server) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.outstanding_tokens = stats
            .outstanding_tokens
            .saturating_sub(flight.expected_tokens);
        let Some(usage) = usage else {
            return;
        };
        learn(stats, &flight, &usage, now_ms);
        self.correct_index(&flight, &usage);
    }

    /// Forgets servers that `keep` turns away, such as those no longer in the view.
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

    pub(super) fn weights(&self) -> &Weights {
        &self.config.weights
    }

    pub(super) fn turn(&self, service: &str) -> u64 {
        self.turns.get(service).copied().unwrap_or(0)
    }

    /// The server has computed the whole prompt, so all of it is cached again.
    fn correct_index(&mut self, flight: &Flight, usage: &Usage) {
        if usage.cached_tokens.is_none() {
            return;
        }
        self.index.on_used(&flight.server, &flight.blocks);
    }
}

fn learn(stats: &mut ServerStats, flight: &Flight, usage: &Usage, now_ms: Millisecond) {
    let total_ms = now_ms.saturating_sub(flight.sent_ms) as f64;
    blend(&mut stats.service_ms, total_ms);
    let Some(first_ms) = flight.first_token_ms else {
        return;
    };
    let prefill_ms = first_ms.saturating_sub(flight.sent_ms).max(1) as f64;
    if flight.new_tokens > BLOCK_TOKENS {
        let sample = flight.new_tokens as f64 / prefill_ms;
        blend(&mut stats.prefill_tokens_per_ms, sample);
    }
    if usage.output_tokens > 1 {
        let decode_ms = now_ms.saturating_sub(first_ms) as f64;
        let sample = decode_ms / (usage.output_tokens - 1) as f64;
        blend(&mut stats.decode_ms_per_token, sample);
    }
}

fn blend(average: &mut f64, sample: f64) {
    *average += EWMA_WEIGHT * (sample - *average);
}
