//! What a backend server accepts, as one node knows it: whether the server is leaving, how many
//! requests per second it takes from all nodes together, and until when it takes none from this
//! node.
//!
//! Fleet time is Unix time by the median of all nodes' clocks. Nodes exchange instants in it, so
//! that they can compare the age of what they know.

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::signal::{MAX_LIMIT_PER_S, Reading, Signals};
use super::turns::Turn;

/// Number of answers without a limit that leave it unchanged, as a server may name its limit in
/// some answers only.
const UNNAMED_GRACE_ANSWERS: u8 = 2;

/// Number of answers without a limit after which it is dropped. Each one beyond the grace answers
/// doubles the limit.
const UNNAMED_RELEASE_ANSWERS: u8 = 5;

/// Answers without a limit count only if none has named it for this long. It is the window over which
/// requests under a limit are counted: at most 1.5 times the limit plus five.
const RELEASE_DELAY_MS: Millisecond = 4_000;

/// A limit expires if no answer has confirmed or loosened it for this long.
const LIMIT_EXPIRY_MS: Millisecond = 30_000;

/// Lowest number of refusals per second that is taken for a brittle server's.
const MIN_REFUSALS_PER_S: f64 = 0.5;

/// Longest time without requests after a refusal by a brittle server.
const MAX_REFUSAL_PAUSE_MS: Millisecond = 120_000;

/// Lowest limit that is applied, in requests per second. A server with a limit of zero still gets a
/// request now and then, so that the end of the limit is noticed.
const MIN_LIMIT_PER_S: f64 = 0.1;

/// A server's limit after the latest answer that concerns it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per second, as last named by the server.
    pub named_per_s: f64,
    /// Fleet time of the latest answer that named the limit.
    pub named_ms: Millisecond,
    /// Number of answers without the limit that count towards its release.
    pub released: u8,
    /// Fleet time of the latest answer that confirmed or loosened the limit.
    pub at_ms: Millisecond,
}

impl Limit {
    /// Requests per second that the server takes from all nodes together; `None` if the limit has
    /// ended.
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

/// Capacity lost to a limit is replaced by other servers for this long. A limit that lasts longer
/// is taken for the server's normal rate.
const LOST_CAPACITY_MS: Millisecond = 20_000;

/// Source of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOrigin {
    /// An answer to this node.
    OwnAnswer,
    /// A notice of another node.
    Peer,
}

/// What one node tells others about one life of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    pub server: Name,
    /// Unix time at which the server started.
    pub born_unix_ms: u64,
    /// Fleet time of an answer in which the server said that it is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<Millisecond>,
    /// The server's limit, or the fact that it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
}

impl Notice {
    /// Whether the limit is in the range that a server may name.
    pub fn is_plausible(&self) -> bool {
        self.limit.is_none_or(|limit| limit.is_plausible())
    }

    /// Fleet time of the latest fact in the notice.
    pub fn latest_ms(&self) -> Millisecond {
        let limit_ms = self.limit.map_or(0, |limit| limit.at_ms);
        self.leaving_ms.unwrap_or(0).max(limit_ms)
    }
}

/// A change in what is known about a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackpressureChange {
    /// The server is leaving.
    Leaves,
    /// The server has named a new limit.
    Limited {
        /// Requests per second.
        per_s: f64,
    },
    /// An answer without a limit has raised it.
    Loosened {
        /// New limit in requests per second.
        per_s: f64,
    },
    /// The limit has ended.
    Unlimited,
    /// The server asked this node to hold off.
    HoldsOff {
        /// Duration of the pause.
        for_ms: Millisecond,
    },
}

/// Instants of a request and its answer.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Fleet time just before the request was sent.
    pub sent_ms: Millisecond,
    /// Fleet time at which the head of the answer arrived.
    pub answered_ms: Millisecond,
    /// Instant of the answer on the node's clock.
    pub now_ms: Millisecond,
}

/// Why a server is not sent a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WithholdReason {
    /// The server is leaving.
    Leaving,
    /// The server asked this node to hold off.
    HeldOff,
    /// The server has a limit, and this node has no turn now.
    Limited,
}

impl WithholdReason {
    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::HeldOff => "held_off",
            Self::Limited => "limited",
        }
    }
}

/// When a server may be sent a request by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Now,
    /// After a delay.
    In {
        /// Length of the delay.
        wait_ms: Millisecond,
        /// Cause of the delay.
        reason: WithholdReason,
    },
    /// Not any more, or not within the time for which turns are planned.
    Never(WithholdReason),
}

impl Availability {
    fn after(wait_ms: Millisecond, reason: WithholdReason) -> Self {
        match wait_ms {
            0 => Self::Now,
            _ => Self::In { wait_ms, reason },
        }
    }

    /// Time until a request may be sent; `None` for never.
    pub fn wait_ms(self) -> Option<Millisecond> {
        match self {
            Self::Now => Some(0),
            Self::In { wait_ms, .. } => Some(wait_ms),
            Self::Never(_) => None,
        }
    }
}

/// The current instant on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub node_ms: Millisecond,
    pub fleet_ms: Millisecond,
}

/// What one node knows about one life of a server.
#[derive(Clone, Debug, Default)]
pub struct Backpressure {
    leaving_ms: Option<Millisecond>,
    hold_off_until_ms: Millisecond,
    limit: Option<Limit>,
    /// Fleet time since which a limit has been in force.
    limited_since_ms: Option<Millisecond>,
    /// Refusals per second that a brittle server bears from all nodes together.
    refusals_per_s: Option<f64>,
}

impl Backpressure {
    /// Records the signals in an answer to this node.
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
        match signals.refusals_per_s {
            Reading::Given(per_s) => self.refusals_per_s = Some(per_s),
            Reading::Absent => self.refusals_per_s = None,
            Reading::Unreadable => {}
        }
        changes
    }

    /// Whether the server has said in its last answer that it is brittle.
    pub fn is_brittle(&self) -> bool {
        self.refusals_per_s.is_some()
    }

    /// Records that the server refused a request of this node, one of `nodes`, for want of room. A
    /// brittle one gets no request until all nodes could have caused their share of its refusals.
    pub fn record_refusal(
        &mut self,
        nodes: usize,
        now_ms: Millisecond,
    ) -> Option<BackpressureChange> {
        let per_s = self.refusals_per_s?.max(MIN_REFUSALS_PER_S);
        let for_ms = (nodes as f64 * 1_000.0 / per_s).ceil() as Millisecond;
        let for_ms = for_ms.min(MAX_REFUSAL_PAUSE_MS);
        let until_ms = now_ms + for_ms;
        if until_ms <= self.hold_off_until_ms {
            return None;
        }
        self.hold_off_until_ms = until_ms;
        Some(BackpressureChange::HoldsOff { for_ms })
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
            // An answer to a request sent before the limit was named says nothing about it.
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

    /// Merges the notice of another node, as far as it is newer than what is known.
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

    /// Whether the server has sent any signal so far.
    pub fn has_signals(&self) -> bool {
        self.is_leaving() || self.hold_off_until_ms > 0 || self.limit.is_some() || self.is_brittle()
    }

    /// When the server may be sent a request, and the turn that the request uses under a limit.
    /// `next_turn` returns the next free turn for a limit in requests per second, from an instant
    /// in fleet time on.
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

    /// Whether the server has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_ms.is_some()
    }

    /// Instant until which the server wants no request from this node, on the node's clock.
    pub fn hold_off_until_ms(&self) -> Millisecond {
        self.hold_off_until_ms
    }

    /// Requests per second that the server takes from all nodes together.
    pub fn limit_per_s(&self, fleet_ms: Millisecond) -> Option<f64> {
        self.limit?.in_force(fleet_ms)
    }

    /// Share of the capacity of a server with `slots` slots that a recent limit takes away. It is 0
    /// if the limit allows at least one request per second and slot.
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

    /// The notice for other nodes; `None` if there is nothing to tell.
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
