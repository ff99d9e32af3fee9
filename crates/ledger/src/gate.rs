//! Decides how many calls may be at the store at once, so that a slow store costs refusals and not
//! all of its capacity: a claim given up on half-way has cost its write and needs another to undo.

use base::units::Millisecond;

/// Time within which a claim should be written; slower ones lower the limit.
pub const TARGET_MS: Millisecond = 400;

/// Calls at the store at first.
const START: u64 = 32;

/// Most calls at the store.
const MOST: u64 = 512;

const MILLI: u64 = 1_000;

/// Limit and count of the calls that are being opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gate {
    limit_milli: u64,
    inside: u64,
    cut_ms: Millisecond,
}

/// Whether a call may go to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It may, and must leave.
    Open,
    /// It is refused at once.
    Full,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            limit_milli: START * MILLI,
            inside: 0,
            cut_ms: 0,
        }
    }
}

impl Gate {
    /// Counts a call in, if there is room.
    pub fn enter(&mut self) -> Entry {
        if self.inside * MILLI >= self.limit_milli {
            return Entry::Full;
        }
        self.inside += 1;
        Entry::Open
    }

    /// Counts a call out that was opened within `took_ms`. The limit grows by one for each round of
    /// answers in time, and is halved at most once for each round of slow ones.
    pub fn leave(&mut self, took_ms: Millisecond, now_ms: Millisecond) {
        self.inside = self.inside.saturating_sub(1);
        if took_ms <= TARGET_MS {
            let step_milli = MILLI * MILLI / self.limit_milli;
            self.limit_milli = (MOST * MILLI).min(self.limit_milli + step_milli);
            return;
        }
        if now_ms >= self.cut_ms + took_ms {
            self.limit_milli = MILLI.max(self.limit_milli / 2);
            self.cut_ms = now_ms;
        }
    }
}
