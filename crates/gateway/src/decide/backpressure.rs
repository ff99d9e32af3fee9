//! What a node believes a backend server accepts: that it leaves, how many requests a second it takes
//! from all nodes together, and until when it takes none from this node.
//!
//! Instants called fleet time are Unix time by the median of all nodes' clocks, so that nodes can
//! tell each other how old their knowledge is.

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::signal::{MAX_LIMIT_PER_S, Reading, Signals};
use super::turns::Turn;

/// Answers without a limit that change nothing yet: a server may name it in some answers only.
const UNNAMED_GRACE_ANSWERS: u8 = 2;

/// Answers without a limit after which it has ended. Each one after those that are spared doubles it.
const UNNAMED_RELEASE_ANSWERS: u8 = 5;

/// Answers without a limit count when it was not named for so long: the window of the users' rule.
const RELEASE_DELAY_MS: Millisecond = 4_000;

/// A limit of which no answer tells for so long has ended.
const LIMIT_EXPIRY_MS: Millisecond = 30_000;

/// Least limit that is kept, in requests a second: one that takes none is asked now and then
/// whether it still does not.
const MIN_LIMIT_PER_S: f64 = 0.1;

/// A limit, as the latest answer left it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests a second, as the server named it last.
    pub named_per_s: f64,
    /// Fleet time of the answer that named it last.
    pub named_ms: Millisecond,
    /// Answers that named none and count.
    pub released: u8,
    /// Fleet time of the latest answer that bears on it.
    pub at_ms: Millisecond,
}

impl Limit {
    /// Requests a second that the server takes from all nodes together; `None` if it has ended.
    pub fn in_force(&self, fleet_ms: Millisecond) -> Option<f64> {
        let expired = fleet_ms.saturating_sub(self.at_ms) > LIMIT_EXPIRY_MS;
        if expired || self.released >= UNNAMED_RELEASE_ANSWERS {
            return None;
        }
        let doublings = self.released.saturating_sub(UNNAMED_GRACE_ANSWERS);
        let released = self.named_per_s * f64::from(1_u32 << doublings);
        Some(released.max(MIN_LIMIT_PER_S))
    }

    fn is_plausible(&self) -> bool {
        (0.0..=MAX_LIMIT_PER_S).contains(&self.named_per_s)
    }
}

/// Room lost to a limit is made up for during so long; what lasts longer is the server's pace.
const LOST_CAPACITY_MS: Millisecond = 20_000;

/// Where knowledge comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOrigin {
    /// An answer to this node.
    OwnAnswer,
    /// Another node.
    Peer,
}

/// What one node tells others of one life of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The server.
    pub server: Name,
    /// Unix time of its start.
    pub born_unix_ms: u64,
    /// Fleet time of an answer in which it says that it leaves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<Millisecond>,
    /// Its limit, or that it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
}

impl Notice {
    /// Whether its figures can be a server's.
    pub fn is_plausible(&self) -> bool {
        self.limit.is_none_or(|limit| limit.is_plausible())
    }

    /// Fleet time of its latest part.
    pub fn latest_ms(&self) -> Millisecond {
        let limit_ms = self.limit.map_or(0, |limit| limit.at_ms);
        self.leaving_ms.unwrap_or(0).max(limit_ms)
    }
}

/// What has changed in a belief.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackpressureChange {
    /// The server leaves.
    Leaves,
    /// A limit is new, or another one.
    Limited {
        /// Requests a second.
        per_s: f64,
    },
    /// An answer named no limit: it is loosened.
    Loosened {
        /// Requests a second from now on.
        per_s: f64,
    },
    /// The limit has ended.
    Unlimited,
    /// The server wants nothing from this node.
    HoldsOff {
        /// For so long.
        for_ms: Millisecond,
    },
}

/// When an answer was asked for and when it came.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Fleet time before the request was sent.
    pub sent_ms: Millisecond,
    /// Fleet time of the answer's head.
    pub answered_ms: Millisecond,
    /// The same on the node's clock.
    pub now_ms: Millisecond,
}

/// Why a server may not get a request at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WithholdReason {
    /// It leaves.
    Leaving,
    /// It asked to hold off.
    HeldOff,
    /// It has a limit, and it is another node's turn.
    Limited,
}

impl WithholdReason {
    /// Name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::HeldOff => "held_off",
            Self::Limited => "limited",
        }
    }
}

/// When a server may get a request of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// At once.
    Now,
    /// After so long.
    In {
        /// Time until then.
        wait_ms: Millisecond,
        /// Why not before.
        reason: WithholdReason,
    },
    /// Not any more, or not within the time that is looked ahead.
    Never(WithholdReason),
}

impl Availability {
    fn after(wait_ms: Millisecond, reason: WithholdReason) -> Self {
        match wait_ms {
            0 => Self::Now,
            _ => Self::In { wait_ms, reason },
        }
    }

    /// Time until then; `None` for never.
    pub fn wait_ms(self) -> Option<Millisecond> {
        match self {
            Self::Now => Some(0),
            Self::In { wait_ms, .. } => Some(wait_ms),
            Self::Never(_) => None,
        }
    }
}

/// Now, on the node's clock and as fleet time.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// On the node's clock.
    pub node_ms: Millisecond,
    /// As fleet time.
    pub fleet_ms: Millisecond,
}

/// A node's belief of one life of a server.
#[derive(Clone, Debug, Default)]
pub struct Backpressure {
    leaving_ms: Option<Millisecond>,
    hold_off_until_ms: Millisecond,
    limit: Option<Limit>,
    /// Fleet time since which a limit has been in force.
    limited_since_ms: Option<Millisecond>,
}

impl Backpressure {
    /// Takes in what an answer to this node says.
    pub fn record_answer(&mut self, signals: &Signals, timing: Timing) -> Vec<BackpressureChange> {
        let mut changes = Vec::new();
        if signals.leaving.value().is_some() && self.leaving_ms.is_none() {
            self.leaving_ms = Some(timing.answered_ms);
            changes.push(BackpressureChange::Leaves);
        }
        if let Some(for_ms) = signals.hold_off_ms.value() {
            let until_ms = timing.now_ms + for_ms;
            if until_ms > self.hold_off_until_ms {
                self.hold_off_until_ms = until_ms;
                changes.push(BackpressureChange::HoldsOff { for_ms });
            }
        }
        changes.extend(self.update_limit(signals.limit_per_s, timing));
        changes
    }

    fn update_limit(
        &mut self,
        reading: Reading<f64>,
        timing: Timing,
    ) -> Option<BackpressureChange> {
        let at_ms = timing.answered_ms;
        let next = match (reading, self.limit) {
            (Reading::Given(named_per_s), _) => Limit {
                named_per_s,
                named_ms: at_ms,
                released: 0,
                at_ms,
            },
            // An answer to a request sent before the limit was named tells nothing of it.
            (Reading::Absent, Some(limit)) if timing.sent_ms > limit.at_ms => {
                let counts = at_ms.saturating_sub(limit.named_ms) >= RELEASE_DELAY_MS;
                Limit {
                    released: (limit.released + u8::from(counts)).min(UNNAMED_RELEASE_ANSWERS),
                    at_ms,
                    ..limit
                }
            }
            (Reading::Absent | Reading::Unreadable, _) => return None,
        };
        self.set_limit(next, at_ms)
    }

    /// Takes in what another node tells, if it is newer than what is known.
    pub fn merge_notice(
        &mut self,
        notice: &Notice,
        fleet_ms: Millisecond,
    ) -> Vec<BackpressureChange> {
        let mut changes = Vec::new();
        if let (Some(leaving_ms), None) = (notice.leaving_ms, self.leaving_ms) {
            self.leaving_ms = Some(leaving_ms);
            changes.push(BackpressureChange::Leaves);
        }
        let Some(mut limit) = notice.limit else {
            return changes;
        };
        limit.at_ms = limit.at_ms.min(fleet_ms);
        if self.limit.is_none_or(|known| limit.at_ms > known.at_ms) {
            changes.extend(self.set_limit(limit, fleet_ms));
        }
        changes
    }

    fn set_limit(&mut self, next: Limit, fleet_ms: Millisecond) -> Option<BackpressureChange> {
        let before = self.limit_per_s(fleet_ms);
        self.limit = Some(next);
        let after = self.limit_per_s(fleet_ms);
        self.limited_since_ms = match (before, after) {
            (_, None) => None,
            (None, Some(_)) => Some(fleet_ms),
            (Some(_), Some(_)) => self.limited_since_ms,
        };
        if before == after {
            return None;
        }
        match after {
            None => Some(BackpressureChange::Unlimited),
            Some(per_s) if next.released == 0 => Some(BackpressureChange::Limited { per_s }),
            Some(per_s) => Some(BackpressureChange::Loosened { per_s }),
        }
    }

    /// Whether the server has ever said something.
    pub fn has_signals(&self) -> bool {
        self.is_leaving() || self.hold_off_until_ms > 0 || self.limit.is_some()
    }

    /// When the server may get a request, and the turn that it then uses under a limit; `next_turn`
    /// gives the next free one at a limit a second, from a fleet time on.
    pub fn availability(
        &self,
        now: Now,
        next_turn: impl FnOnce(f64, Millisecond) -> Option<Turn>,
    ) -> (Availability, Option<Turn>) {
        if self.is_leaving() {
            return (Availability::Never(WithholdReason::Leaving), None);
        }
        let hold_off_left_ms = self.hold_off_until_ms.saturating_sub(now.node_ms);
        let Some(per_s) = self.limit_per_s(now.fleet_ms) else {
            return (
                Availability::after(hold_off_left_ms, WithholdReason::HeldOff),
                None,
            );
        };
        let Some(turn) = next_turn(per_s, now.fleet_ms + hold_off_left_ms) else {
            return (Availability::Never(WithholdReason::Limited), None);
        };
        let turn_ms = turn.opens_ms.saturating_sub(now.fleet_ms);
        let availability = match turn_ms > hold_off_left_ms {
            true => Availability::after(turn_ms, WithholdReason::Limited),
            false => Availability::after(hold_off_left_ms, WithholdReason::HeldOff),
        };
        (availability, Some(turn))
    }

    /// Whether the server has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving_ms.is_some()
    }

    /// Until when it wants nothing from this node, on the node's clock.
    pub fn hold_off_until_ms(&self) -> Millisecond {
        self.hold_off_until_ms
    }

    /// Requests a second that it takes from all nodes together.
    pub fn limit_per_s(&self, fleet_ms: Millisecond) -> Option<f64> {
        self.limit?.in_force(fleet_ms)
    }

    /// Part of a server of so many slots that a limit has taken away of late: nothing if it still
    /// takes one request a second for each slot.
    pub fn lost_share(&self, slots: u32, fleet_ms: Millisecond) -> f64 {
        let limit = self.limit_per_s(fleet_ms).zip(self.limited_since_ms);
        let Some((per_s, since_ms)) = limit else {
            return 0.0;
        };
        match fleet_ms.saturating_sub(since_ms) <= LOST_CAPACITY_MS {
            true => 1.0 - (per_s / f64::from(slots)).min(1.0),
            false => 0.0,
        }
    }

    /// What other nodes should know; `None` if there is nothing.
    pub fn notice(
        &self,
        server: &Name,
        born_unix_ms: u64,
        fleet_ms: Millisecond,
    ) -> Option<Notice> {
        let current = |limit: &Limit| fleet_ms.saturating_sub(limit.at_ms) <= LIMIT_EXPIRY_MS;
        let limit = self.limit.filter(current);
        if limit.is_none() && self.leaving_ms.is_none() {
            return None;
        }
        Some(Notice {
            server: server.clone(),
            born_unix_ms,
            leaving_ms: self.leaving_ms,
            limit,
        })
    }
}
