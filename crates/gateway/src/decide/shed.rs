//! Load shedding: which new requests are refused while servers have more prompt tokens to read than
//! the target time allows.
//!
//! A request accepted beyond that is late and delays those after it. Only the work of earlier
//! requests counts, so that long prompts are refused no more often than short ones.

use base::units::Millisecond;

/// Default share of the shortest target time of a service's routes that the work of earlier
/// requests may take before a new request starts.
pub const WAIT_SHARE: f64 = 1.0;

/// Reduction of that time per rank: it is divided by 1 plus this value times the rank, so that less
/// urgent requests are refused first.
const RANK_REDUCTION_SHARE: f64 = 0.25;

/// Longest time that the work of earlier requests may take before a new request starts. Rank 0 is
/// the most urgent.
pub fn wait_limit_ms(shortest_target_ms: Millisecond, wait_share: f64, rank: u8) -> Millisecond {
    let ranked = 1.0 + RANK_REDUCTION_SHARE * f64::from(rank);
    (shortest_target_ms as f64 * wait_share / ranked) as Millisecond
}
