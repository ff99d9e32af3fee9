//! Decides how many calls may be at the store at once, so that a slow store costs refusals and not
//! all of its capacity: a claim given up on half-way has cost its write and needs another to undo.

use base::units::Millisecond;

/// Time within which a claim should be written; slower ones lower the limit.
pub const TARGET_LATENCY_MS: Millisecond = 400;

/// Calls at the store at first.
const INITIAL_LIMIT: u64 = 32;

/// Most calls at the store.
const MAX_LIMIT: u64 = 512;

const MILLI: u64 = 1_000;

/// Limit and count of the calls that are being opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    limit_milli: u64,
    in_flight: u64,
    last_cut_ms: Millisecond,
}

/// Whether a call may go to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may, and must leave.
    Granted,
    /// It is refused at once.
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
    /// Counts a call in, if there is room.
    pub fn try_acquire(&mut self) -> Admission {
        if self.in_flight * MILLI >= self.limit_milli {
            return Admission::Full;
        }
        self.in_flight += 1;
        Admission::Granted
    }

    /// Counts a call out that was opened within `took_ms`. The limit grows by one for each round of
    /// answers in time, and is halved at most once for each round of slow ones.
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
