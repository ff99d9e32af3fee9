//! Exponential backoff with full jitter.

use rand::Rng;

use crate::units::Millisecond;

/// Bounds of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base_ms: Millisecond,
    /// Upper bound of every delay.
    pub cap_ms: Millisecond,
}

impl Backoff {
    /// Delay before attempt `attempt` (0 is the first retry), drawn evenly from zero to the bound.
    pub fn delay_ms(&self, attempt: u32, rng: &mut impl Rng) -> Millisecond {
        let doubled = self.base_ms.saturating_mul(1 << attempt.min(20));
        rng.random_range(0..=doubled.min(self.cap_ms))
    }
}
