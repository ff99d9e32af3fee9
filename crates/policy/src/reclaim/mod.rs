//! What becomes of the streams at leaving backend servers.
//!
//! [`plan`] is called again whenever a notice, a stream or a survivor changes, and every second
//! while a server is leaving: a stream that was to finish and falls behind gets another answer as
//! long as there is time for one.

mod backup;
mod spread;
mod transfer;

pub use backup::{BackupDecision, UnreplicatedPrefix, decide_backup};

use base::Name;
use base::ids::RequestId;
use base::units::{Millisecond, TokenCount};

use crate::route::{Priority, Weights};

/// A server under notice.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingServer {
    /// The server.
    pub server: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// Time until it is gone.
    pub remaining_ms: Millisecond,
    /// Whether its engine exports KV cache, and how fast.
    pub export: KvExport,
}

/// Whether an engine can export KV cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KvExport {
    /// It cannot.
    Unsupported,
    /// It can, at this rate for the server as a whole.
    Supported {
        /// Tokens whose cache is sent in a millisecond.
        tokens_per_ms: f64,
    },
}

/// A stream in flight at a leaving server.
#[derive(Clone, Debug, PartialEq)]
pub struct AffectedStream {
    /// The request.
    pub id: RequestId,
    /// Where it runs.
    pub server: Name,
    /// Priority; lower goes first.
    pub priority: Priority,
    /// Prompt tokens.
    pub prompt_tokens: TokenCount,
    /// Tokens generated and relayed so far.
    pub relayed_tokens: TokenCount,
    /// Tokens that are expected to follow.
    pub expected_tokens: TokenCount,
    /// Time that the server takes for one of them.
    pub decode_ms_per_token: f64,
    /// Survivors believed to hold a prefix of the prompt, with the tokens held.
    pub cached_at: Vec<(Name, TokenCount)>,
}

impl AffectedStream {
    /// Tokens whose KV cache would be lost.
    pub fn context_tokens(&self) -> TokenCount {
        self.prompt_tokens + self.relayed_tokens
    }

    /// Tokens that have to be computed again at `server`.
    pub fn recompute_tokens(&self, server: &str) -> TokenCount {
        let cached = self.cached_at.iter().find(|(name, _)| &**name == server);
        let cached_tokens = cached.map_or(0, |(_, tokens)| *tokens);
        self.context_tokens().saturating_sub(cached_tokens)
    }
}

/// A server that stays.
#[derive(Clone, Debug, PartialEq)]
pub struct Survivor {
    /// The server.
    pub server: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// Requests that it can take without making any wait.
    pub free_slots: u32,
    /// Tokens that its KV cache can take in.
    pub free_kv_tokens: TokenCount,
    /// Prompt tokens that it computes in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time a queued request waits for a slot.
    pub slot_wait_ms: f64,
}

/// What becomes of one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamDecision {
    /// It ends where it is before the server goes.
    Finish,
    /// Its KV cache is sent to a survivor and it goes on there.
    MoveKv {
        /// The survivor.
        to: Name,
    },
    /// It goes on at a survivor, which computes its context again.
    Recompute {
        /// The survivor.
        to: Name,
        /// Tokens to be computed again.
        tokens: TokenCount,
    },
    /// Nobody can take it now; it stays and is planned again.
    Stay,
}

/// The answer for one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPlan {
    /// The request.
    pub id: RequestId,
    /// What becomes of it.
    pub decision: StreamDecision,
}

/// Time kept in reserve before a server goes, for what the estimates miss.
const RESERVE_MS: Millisecond = 500;

/// Part of the remaining time that an estimate may fill.
const TIME_USE: f64 = 0.8;

/// Plans all streams at all leaving servers together, so that the moved work is spread over the
/// survivors as a whole. Answers are in the order in which they should be carried out.
pub fn plan(
    leaving: &[LeavingServer],
    streams: &[AffectedStream],
    survivors: &[Survivor],
    weights: &Weights,
) -> Vec<StreamPlan> {
    let mut order: Vec<&AffectedStream> = streams.iter().collect();
    order.sort_by_key(|stream| {
        let at_stake = stream.context_tokens();
        (stream.priority, std::cmp::Reverse(at_stake), stream.id)
    });
    let mut spread = spread::Spread::new(leaving, survivors);
    let mut links = transfer::Links::new(leaving);
    let mut plans = Vec::with_capacity(order.len());
    for stream in order {
        let decision = decide_stream(stream, leaving, &mut spread, &mut links, weights);
        plans.push(StreamPlan {
            id: stream.id,
            decision,
        });
    }
    plans
}

fn decide_stream(
    stream: &AffectedStream,
    leaving: &[LeavingServer],
    spread: &mut spread::Spread,
    links: &mut transfer::Links,
    weights: &Weights,
) -> StreamDecision {
    let Some(server) = leaving.iter().find(|l| l.server == stream.server) else {
        return StreamDecision::Stay;
    };
    let usable_ms = usable_ms(server.remaining_ms);
    let finish_ms = stream.expected_tokens as f64 * stream.decode_ms_per_token;
    if finish_ms <= usable_ms {
        return StreamDecision::Finish;
    }
    let Some(target) = spread.pick(stream) else {
        return StreamDecision::Stay;
    };
    let recompute_worth_ms = target.recompute_tokens as f64 * weights.recompute_ms_per_token;
    let recompute_cost_ms = target.recompute_ms + recompute_worth_ms;
    let move_ms = links.move_ms(server, stream);
    let moves = move_ms.is_some_and(|move_ms| {
        move_ms <= usable_ms && move_ms < recompute_cost_ms && target.takes_kv
    });
    if moves {
        links.reserve(server, stream);
        spread.assign_moved(&target, stream);
        return StreamDecision::MoveKv { to: target.server };
    }
    spread.assign_recomputed(&target);
    StreamDecision::Recompute {
        to: target.server,
        tokens: target.recompute_tokens,
    }
}

fn usable_ms(remaining_ms: Millisecond) -> f64 {
    remaining_ms.saturating_sub(RESERVE_MS) as f64 * TIME_USE
}
