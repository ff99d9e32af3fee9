//! Adaptive limit (AIMD) on the number of calls that write their claims at the same time.
//!
//! Without a limit, a slow store would spend its capacity on claims that time out: each of them
//! costs its own write and a second one that releases the key. With the limit, the excess calls are
//! refused before they use the store.

use base::units::Millisecond;

/// Time within which a claim should be written; slower claims lower the limit.
pub const TARGET_LATENCY_MS: Millisecond = 400;

const INITIAL_LIMIT: u64 = 32;

const MAX_LIMIT: u64 = 512;

const MILLI: u64 = 1_000;

/// Concurrency limit and number of calls in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    limit_milli: u64,
    in_flight: u64,
    last_cut_ms: Millisecond,
}

/// Result of [`ConcurrencyLimit::try_acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may use the store, and must call [`ConcurrencyLimit::release`] afterwards.
    Granted,
    /// The limit is reached; the call is refused immediately.
    Full,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit_milli: INITIAL_LIMIT * MILLI,
            in_flight: 0,
            last_cut_ms: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Counts the call as in flight if the limit allows it.
    pub fn try_acquire(&mut self) -> Admission {
        if self.in_flight * MILLI >= self.limit_milli {
            return Admission::Full;
        }
        self.in_flight += 1;
        Admission::Granted
    }

    /// Ends a call that used the store for `took_ms`.
    ///
    /// The limit grows by about one per full window of calls within [`TARGET_LATENCY_MS`]. A slower
    /// call halves it, unless the limit was already halved while that call was in flight.
    pub fn release(&mut self, took_ms: Millisecond, now_ms: Millisecond) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if took_ms <= TARGET_LATENCY_MS {
            let step_milli = MILLI * MILLI / self.limit_milli;
            self.limit_milli = (MAX_LIMIT * MILLI).min(self.limit_milli + step_milli);
            return;
        }
        if now_ms >= self.last_cut_ms + took_ms {
            self.limit_milli = MILLI.max(self.limit_milli / 2);
            self.last_cut_ms = now_ms;
        }
    }
}
