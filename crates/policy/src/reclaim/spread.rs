//! Balancing of moved streams over the survivors.

use base::units::TokenCount;
use base::{Map, Name, Set};

use super::{AffectedStream, LeavingServer, Survivor};

/// Penalty for a survivor in a failure domain with a leaving server: it may be reclaimed next.
const DOMAIN_RISK_PENALTY_MS: f64 = 2_000.0;

/// Work that the current plan has assigned to a survivor so far.
#[derive(Clone, Copy, Debug, Default)]
struct AssignedWork {
    streams: u32,
    prefill_ms: f64,
    kv_tokens: TokenCount,
}

/// A survivor that a stream may continue on.
pub(super) struct Target {
    pub server: Name,
    /// Time until the survivor has recomputed the context, after the work assigned before.
    pub recompute_ms: f64,
    pub recompute_tokens: TokenCount,
    /// Whether the survivor's KV cache has room for the stream's context.
    pub kv_fits: bool,
    prefill_ms: f64,
}

/// Survivors with the work assigned to them.
pub(super) struct SurvivorLoads<'a> {
    survivors: Vec<&'a Survivor>,
    at_risk: Set<Name>,
    assigned: Map<Name, AssignedWork>,
}

impl<'a> SurvivorLoads<'a> {
    pub fn new(leaving: &[LeavingServer], survivors: &'a [Survivor]) -> Self {
        let gone: Set<&Name> = leaving.iter().map(|l| &l.server).collect();
        let staying = survivors.iter().filter(|s| !gone.contains(&s.server));
        Self {
            survivors: staying.collect(),
            at_risk: leaving.iter().map(|l| l.failure_domain.clone()).collect(),
            assigned: Map::default(),
        }
    }

    /// Returns the survivor on which the stream can continue soonest by recomputation.
    pub fn best_target(&self, stream: &AffectedStream) -> Option<Target> {
        let mut best: Option<(f64, Target)> = None;
        for survivor in &self.survivors {
            let target = self.target_at(survivor, stream);
            let mut score = target.recompute_ms;
            if self.at_risk.contains(&survivor.failure_domain) {
                score += DOMAIN_RISK_PENALTY_MS;
            }
            if best.as_ref().is_some_and(|(lowest, _)| *lowest <= score) {
                continue;
            }
            best = Some((score, target));
        }
        best.map(|(_, target)| target)
    }

    /// Assigns a stream whose context the target recomputes.
    pub fn assign_recomputed(&mut self, target: &Target) {
        let assigned = self.assigned.entry(target.server.clone()).or_default();
        assigned.streams += 1;
        assigned.prefill_ms += target.prefill_ms;
    }

    /// Assigns a stream whose KV cache is sent to the target.
    pub fn assign_moved(&mut self, target: &Target, stream: &AffectedStream) {
        let assigned = self.assigned.entry(target.server.clone()).or_default();
        assigned.streams += 1;
        assigned.kv_tokens += stream.context_tokens();
    }

    fn target_at(&self, survivor: &Survivor, stream: &AffectedStream) -> Target {
        let assigned = self.assigned.get(&survivor.server).copied();
        let assigned = assigned.unwrap_or_default();
        let recompute_tokens = stream.recompute_tokens(&survivor.server);
        let prefill_ms = recompute_tokens as f64 / survivor.prefill_tokens_per_ms.max(0.01);
        let over = (assigned.streams + 1).saturating_sub(survivor.free_slots);
        let wait_ms = f64::from(over) * survivor.slot_wait_ms;
        let kv_tokens = assigned.kv_tokens + stream.context_tokens();
        Target {
            server: survivor.server.clone(),
            recompute_ms: assigned.prefill_ms + wait_ms + prefill_ms,
            recompute_tokens,
            kv_fits: kv_tokens <= survivor.free_kv_tokens,
            prefill_ms,
        }
    }
}
