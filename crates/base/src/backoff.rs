//! Exponential backoff with full jitter.

use rand::Rng;

use crate::units::Millisecond;

/// Bounds of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay; it doubles with each further attempt.
    pub base_ms: Millisecond,
    /// Upper bound of every delay.
    pub cap_ms: Millisecond,
}

impl Backoff {
    /// Draws a delay uniformly between zero and the bound of this retry. The first retry has
    /// `attempt` 0.
    pub fn delay_ms(&self, attempt: u32, rng: &mut impl Rng) -> Millisecond {
        let doubled = self.base_ms.saturating_mul(1 << attempt.min(20));
        rng.random_range(0..=doubled.min(self.cap_ms))
    }
}
