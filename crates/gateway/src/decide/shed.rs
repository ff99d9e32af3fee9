//! Which new requests are refused when servers have more to read than they can in the time owed.
//!
//! A request taken beyond that is late itself and makes those after it late. What counts is the work
//! of others before it, so that long prompts are refused no more often than short ones.

use base::units::Millisecond;

/// Part of the shortest time owed by a service's routes that the work of others may take before a
/// new request; a setting.
pub const WAIT_SHARE: f64 = 1.0;

/// Taken off that for each rank, as a part of it: the less urgent are refused first.
const RANK_REDUCTION_SHARE: f64 = 0.25;

/// Longest time that the work of others may take before a new request; rank 0 is the most urgent.
pub fn wait_limit_ms(shortest_target_ms: Millisecond, wait_share: f64, rank: u8) -> Millisecond {
    let ranked = 1.0 + RANK_REDUCTION_SHARE * f64::from(rank);
    (shortest_target_ms as f64 * wait_share / ranked) as Millisecond
}
