//! Spreading of moved streams over the servers that stay.

use base::units::TokenCount;
use base::{Map, Name, Set};

use super::{AffectedStream, LeavingServer, Survivor};

/// Time added to a survivor in a failure domain that is being reclaimed, since it may be next.
const WAVE_RISK_MS: f64 = 2_000.0;

/// Work given to a survivor by the plan in the making.
#[derive(Clone, Copy, Debug, Default)]
struct Given {
    streams: u32,
    prefill_ms: f64,
    kv_tokens: TokenCount,
}

/// A survivor picked for a stream.
pub(super) struct Target {
    pub server: Name,
    /// Time until the context is computed there, what was given before included.
    pub recompute_ms: f64,
    pub recompute_tokens: TokenCount,
    /// Whether its KV cache has room for the stream's.
    pub takes_kv: bool,
    prefill_ms: f64,
}

/// Survivors with the work given to them.
pub(super) struct Spread<'a> {
    survivors: Vec<&'a Survivor>,
    at_risk: Set<Name>,
    given: Map<Name, Given>,
}

impl<'a> Spread<'a> {
    pub fn new(leaving: &[LeavingServer], survivors: &'a [Survivor]) -> Self {
        let gone: Set<&Name> = leaving.iter().map(|l| &l.server).collect();
        let staying = survivors.iter().filter(|s| !gone.contains(&s.server));
        Self {
            survivors: staying.collect(),
            at_risk: leaving.iter().map(|l| l.failure_domain.clone()).collect(),
            given: Map::default(),
        }
    }

    /// The survivor at which the stream goes on soonest.
    pub fn pick(&self, stream: &AffectedStream) -> Option<Target> {
        let mut best: Option<(f64, Target)> = None;
        for survivor in &self.survivors {
            let target = self.weigh(survivor, stream);
            let mut score = target.recompute_ms;
            if self.at_risk.contains(&survivor.failure_domain) {
                score += WAVE_RISK_MS;
            }
            if best.as_ref().is_some_and(|(lowest, _)| *lowest <= score) {
                continue;
            }
            best = Some((score, target));
        }
        best.map(|(_, target)| target)
    }

    /// Notes that the target computes the stream's context again.
    pub fn assign_recomputed(&mut self, target: &Target) {
        let given = self.given.entry(target.server.clone()).or_default();
        given.streams += 1;
        given.prefill_ms += target.prefill_ms;
    }

    /// Notes that the target receives the stream's KV cache.
    pub fn assign_moved(&mut self, target: &Target, stream: &AffectedStream) {
        let given = self.given.entry(target.server.clone()).or_default();
        given.streams += 1;
        given.kv_tokens += stream.context_tokens();
    }

    fn weigh(&self, survivor: &Survivor, stream: &AffectedStream) -> Target {
        let given = self.given.get(&survivor.server).copied();
        let given = given.unwrap_or_default();
        let recompute_tokens = stream.recompute_tokens(&survivor.server);
        let prefill_ms = recompute_tokens as f64 / survivor.prefill_tokens_per_ms.max(0.01);
        let over = (given.streams + 1).saturating_sub(survivor.free_slots);
        let wait_ms = f64::from(over) * survivor.slot_wait_ms;
        let kv_tokens = given.kv_tokens + stream.context_tokens();
        Target {
            server: survivor.server.clone(),
            recompute_ms: given.prefill_ms + wait_ms + prefill_ms,
            recompute_tokens,
            takes_kv: kv_tokens <= survivor.free_kv_tokens,
            prefill_ms,
        }
    }
}
