//! Division of a capacity among claims.

use base::units::Millisecond;

/// Time after which the remainder of an uneven division moves on to another entry VM.
const ROTATION_MS: Millisecond = 1_000;

/// Step of the rotation: the fractional part of the golden ratio, which visits evenly.
const ROTATION_STEP: f64 = 0.618_033_988_749_894_9;

/// Slack that keeps rounding errors from costing a slot.
const EPSILON: f64 = 1e-6;

/// A weighted claim on the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight; shares are proportional to it.
    pub weight: f64,
    /// Slots wanted.
    pub demand: f64,
}

/// Weighted max-min division: nobody gets more than its demand, and what one leaves unused goes to
/// the others by weight. Answers one amount for each claim, in order.
pub fn allot(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len())
        .filter(|i| claims[*i].demand > 0.0 && claims[*i].weight > 0.0)
        .collect();
    let per_weight = |i: usize| claims[i].demand / claims[i].weight;
    order.sort_by(|a, b| per_weight(*a).total_cmp(&per_weight(*b)));
    let mut weight_left: f64 = order.iter().map(|i| claims[*i].weight).sum();
    let mut left = capacity.max(0.0);
    let mut amounts = vec![0.0; claims.len()];
    for i in order {
        let fair = left * claims[i].weight / weight_left;
        amounts[i] = claims[i].demand.min(fair);
        left -= amounts[i];
        weight_left -= claims[i].weight;
    }
    amounts
}

/// Whole slots of `allotted` for the entry VM whose demand is `own`, when the entry VMs before it
/// in order of name want `before` and all together want `total`.
///
/// Entry VMs with the same figures get parts that add up to `allotted`; the remainder rotates.
pub fn local_share(allotted: f64, before: f64, own: f64, total: f64, now_ms: Millisecond) -> u32 {
    if total <= 0.0 || own <= 0.0 {
        return 0;
    }
    let turn = (now_ms / ROTATION_MS) as f64 * ROTATION_STEP;
    let offset = turn.fract();
    let from = allotted * before / total + offset;
    let to = allotted * (before + own) / total + offset;
    ((to + EPSILON).floor() - (from + EPSILON).floor()) as u32
}
