//! Division of slots among workspaces and among entry VMs.

use base::units::Millisecond;

/// Period after which the slots left over by rounding move to another entry VM.
const ROTATION_MS: Millisecond = 1_000;

/// Offset of each rotation period: the fractional part of the golden ratio, whose multiples are
/// spread evenly.
const ROTATION_STEP: f64 = 0.618_033_988_749_894_9;

/// Tolerance that keeps a floating-point error from rounding a slot away.
const EPSILON: f64 = 1e-6;

/// Claim of a workspace on the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    pub weight: f64,
    /// Slots that the workspace can use.
    pub demand: f64,
}

/// Divides the capacity by weighted max-min fairness: no claim gets more than its demand, and
/// unused capacity goes to the others by weight. Returns one amount for each claim, in order.
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

/// Whole slots of `allotted` for an entry VM with the demand `own`. `before` is the demand of the
/// entry VMs before it in order of name, and `total` that of all.
///
/// The shares of entry VMs that use the same figures add up to `allotted`. The slots left over by
/// rounding rotate among them.
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
