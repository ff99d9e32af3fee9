//! When refused callers return: each is told a time at which there is capacity for it after those
//! that were told to return before.

use std::collections::VecDeque;

use base::units::Millisecond;

/// Share of its remaining time for which a caller waits for a retry.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Most callers that are remembered. More return in the time of a caller's deadline only if each of
/// them takes next to nothing.
const MAX_REMEMBERED: usize = 1_024;

/// Capacity that callers return to, in units of their demand.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Units that must become free before those of returning callers; negative if some are free.
    pub before: f64,
    /// Units that become free each second.
    pub per_s: f64,
    /// Share of the returning callers that this node has told, as the others are not known here.
    pub own_share: f64,
}

/// A caller that asks when to return.
#[derive(Clone, Copy, Debug)]
pub struct Return {
    /// Units that it needs.
    pub needed: f64,
    /// Time until its deadline.
    pub left_ms: Millisecond,
}

/// Callers that were told to return.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// When each returns, in order of the telling, and the units it needs.
    told: VecDeque<(Millisecond, f64)>,
}

impl Returns {
    /// Time after which the caller should return; `None` if that is after its deadline.
    pub fn tell(
        &mut self,
        caller: Return,
        capacity: Capacity,
        now_ms: Millisecond,
    ) -> Option<Millisecond> {
        /// Keeps the quotients finite.
        const LEAST: f64 = 0.001;
        self.told.retain(|(at_ms, _)| *at_ms > now_ms);
        let told: f64 = self.told.iter().map(|(_, needed)| needed).sum();
        let told = told / capacity.own_share.clamp(LEAST, 1.0);
        let units = (capacity.before + told + caller.needed).max(0.0);
        let wait_ms = (1_000.0 * units / capacity.per_s.max(LEAST)).ceil();
        if wait_ms >= caller.left_ms as f64 {
            return None;
        }
        // A caller that is told a later time does not return.
        let returns = wait_ms <= caller.left_ms as f64 * HONOURED_SHARE;
        if returns && self.told.len() < MAX_REMEMBERED {
            self.told
                .push_back((now_ms + wait_ms as Millisecond, caller.needed));
        }
        Some(wait_ms as Millisecond)
    }
}
