//! Decisions about the streams on backend servers that are being reclaimed.
//!
//! [`plan`] is called again whenever a notice, a stream or a surviving server changes, and every
//! second while a server is leaving. A stream that was expected to finish but falls behind thus
//! gets a new decision while there is time.

mod backup;
mod spread;
mod transfer;

pub use backup::{BackupDecision, UnreplicatedPrefix, decide_backup};

use base::Name;
use base::ids::RequestId;
use base::units::{Millisecond, TokenCount};

use crate::route::{CostWeights, Priority};

/// A server with a reclaim notice.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingServer {
    pub server: Name,
    pub failure_domain: Name,
    /// Time until the server is gone.
    pub remaining_ms: Millisecond,
    /// Whether the server's engine can export KV cache, and at which rate.
    pub export: KvExport,
}

/// Ability of an engine to export KV cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KvExport {
    Unsupported,
    /// Export works, at a rate that all transfers of the server share.
    Supported {
        /// Tokens whose KV cache is sent per millisecond.
        tokens_per_ms: f64,
    },
}

/// A stream in flight on a leaving server.
#[derive(Clone, Debug, PartialEq)]
pub struct AffectedStream {
    pub id: RequestId,
    pub server: Name,
    pub priority: Priority,
    pub prompt_tokens: TokenCount,
    /// Tokens generated and relayed so far.
    pub relayed_tokens: TokenCount,
    /// Tokens that are still expected.
    pub expected_tokens: TokenCount,
    /// Time in which the server generates one token.
    pub decode_ms_per_token: f64,
    /// Survivors that probably hold a prefix of the prompt, with the length of the prefix.
    pub cached_at: Vec<(Name, TokenCount)>,
}

impl AffectedStream {
    /// Tokens whose KV cache is lost with the server.
    pub fn context_tokens(&self) -> TokenCount {
        self.prompt_tokens + self.relayed_tokens
    }

    /// Tokens that `server` would have to recompute.
    pub fn recompute_tokens(&self, server: &str) -> TokenCount {
        let cached = self.cached_at.iter().find(|(name, _)| &**name == server);
        let cached_tokens = cached.map_or(0, |(_, tokens)| *tokens);
        self.context_tokens().saturating_sub(cached_tokens)
    }
}

/// A server that stays and can take over streams.
#[derive(Clone, Debug, PartialEq)]
pub struct Survivor {
    pub server: Name,
    pub failure_domain: Name,
    /// Requests that the server can take without queueing.
    pub free_slots: u32,
    /// Free capacity of the server's KV cache.
    pub free_kv_tokens: TokenCount,
    /// Prompt tokens that the server computes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time that a queued request waits for a slot.
    pub slot_wait_ms: f64,
}

/// Decision about one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamDecision {
    /// Let the stream end on its server, which it is expected to do in time.
    Finish,
    /// Send the stream's KV cache to a survivor and continue there.
    MoveKv { to: Name },
    /// Continue on a survivor that recomputes the stream's context.
    Recompute {
        to: Name,
        /// Tokens to recompute.
        tokens: TokenCount,
    },
    /// Leave the stream on its server and plan it again, because no survivor is available.
    Stay,
}

/// A stream with its decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPlan {
    pub id: RequestId,
    pub decision: StreamDecision,
}

/// Part of the remaining time that is kept in reserve for errors of the estimates.
const NOTICE_RESERVE_MS: Millisecond = 500;

/// Fraction of the remaining time, less the reserve, that a plan may use.
const USABLE_TIME_FRACTION: f64 = 0.8;

/// Plans all streams on all leaving servers together, so that the moved work is balanced over the
/// survivors. The plans are in the order in which they should be carried out: by priority, then
/// longest context first.
pub fn plan(
    leaving: &[LeavingServer],
    streams: &[AffectedStream],
    survivors: &[Survivor],
    weights: &CostWeights,
) -> Vec<StreamPlan> {
    let mut order: Vec<&AffectedStream> = streams.iter().collect();
    order.sort_by_key(|stream| {
        let at_stake = stream.context_tokens();
        (stream.priority, std::cmp::Reverse(at_stake), stream.id)
    });
    let mut loads = spread::SurvivorLoads::new(leaving, survivors);
    let mut transfers = transfer::TransferQueues::new(leaving);
    let mut plans = Vec::with_capacity(order.len());
    for stream in order {
        let decision = decide_stream(stream, leaving, &mut loads, &mut transfers, weights);
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
    loads: &mut spread::SurvivorLoads,
    transfers: &mut transfer::TransferQueues,
    weights: &CostWeights,
) -> StreamDecision {
    let Some(server) = leaving.iter().find(|l| l.server == stream.server) else {
        return StreamDecision::Stay;
    };
    let usable_ms = usable_ms(server.remaining_ms);
    let finish_ms = stream.expected_tokens as f64 * stream.decode_ms_per_token;
    if finish_ms <= usable_ms {
        return StreamDecision::Finish;
    }
    let Some(target) = loads.best_target(stream) else {
        return StreamDecision::Stay;
    };
    let recompute_worth_ms = target.recompute_tokens as f64 * weights.recompute_ms_per_token;
    let recompute_cost_ms = target.recompute_ms + recompute_worth_ms;
    let move_ms = transfers.move_ms(server, stream);
    let moves = move_ms.is_some_and(|move_ms| {
        move_ms <= usable_ms && move_ms < recompute_cost_ms && target.kv_fits
    });
    if moves {
        transfers.reserve(server, stream);
        loads.assign_moved(&target, stream);
        return StreamDecision::MoveKv { to: target.server };
    }
    loads.assign_recomputed(&target);
    StreamDecision::Recompute {
        to: target.server,
        tokens: target.recompute_tokens,
    }
}

fn usable_ms(remaining_ms: Millisecond) -> f64 {
    remaining_ms.saturating_sub(NOTICE_RESERVE_MS) as f64 * USABLE_TIME_FRACTION
}
