//! Allowances of workspaces, enforced by all nodes together without a call to the store.
//!
//! Each node keeps a token bucket of the whole allowance. It charges its own requests at once, and
//! those of other nodes when their next report arrives. Between two reports a node is assumed to
//! use as much as this one, because requests are spread over all nodes. A node that has fallen
//! silent is charged an even share of the remaining units and of the rate, so that nodes that are
//! cut off from each other stay within the allowance together.

use base::units::Millisecond;
use base::{Map, Name};

use super::returns::{Capacity, Return, Returns};
use crate::belief::directory::Allowance;

/// If use before a bucket began is unknown, nodes first heard of within this time are taken to have
/// used their reported units before it, and later ones to have used them since.
const FIRST_CONTACT_MS: Millisecond = 1_000;

/// Initial level of the bucket, in seconds of the rate, if use before it began is unknown.
const RESTART_LEVEL_S: f64 = 0.5;

/// Time constant of the average of this node's rate of use: two gossip periods of a small fleet.
const RATE_AVERAGE_MS: f64 = 250.0;

/// Limit on the presumed use of another node, as a multiple of its even share or of its use by its
/// last two reports. Without it, one large request at a node of a large fleet made it presume that
/// all other nodes had used as much at the same time.
const PRESUMED_SURGE: f64 = 2.0;

/// A level that falls short of a cost by less than this is enough: costs are whole units, and the
/// level is subject to rounding.
const LEVEL_TOLERANCE_UNITS: f64 = 0.01;

/// Units that another node has used, by its own count.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Its count in its latest report.
    used: f64,
    /// Units of that count that were used before this bucket began.
    used_at_first: f64,
    /// Units charged for it since its latest report.
    presumed: f64,
    /// Its use between its last two reports, in units per millisecond.
    reported_per_ms: f64,
    /// How its use since that report is estimated.
    estimate: UsageEstimate,
    heard_ms: Millisecond,
    /// Silence after which it is charged its share.
    silence_ms: Millisecond,
}

/// How the use of a node is estimated between its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UsageEstimate {
    /// It uses at most as much as this node.
    OwnRate,
    /// It uses its even share of the allowance, as it may be cut off.
    EvenShare,
}

/// The nodes that share an allowance, as this node knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Nodes that have been heard of, this one included.
    pub heard: usize,
    /// Nodes that are listed in the store, this one included.
    pub listed: usize,
    /// Time within which each node reports to each other one.
    pub period_ms: Millisecond,
}

impl Fleet {
    /// Listed nodes that have not been heard of.
    fn unheard(&self) -> usize {
        self.listed.saturating_sub(self.heard)
    }
}

/// Use of a workspace's allowance as reported by one process of another node.
#[derive(Clone, Copy, Debug)]
pub struct PeerUsage {
    /// Units that the process has used since it started.
    pub used: f64,
    /// Time since the process started.
    pub age_ms: Millisecond,
    /// Silence after which the node may be cut off.
    pub silence_ms: Millisecond,
}

/// Token bucket of one workspace as one node sees it.
#[derive(Clone, Debug)]
pub struct Bucket {
    allowance: Allowance,
    prior_use: PriorUse,
    created_ms: Millisecond,
    level: f64,
    filled_ms: Millisecond,
    /// Units that this node has used since it started.
    used: f64,
    peers: Map<Name, Peer>,
    unheard: UnheardNodes,
    /// Average use by this node, in units per millisecond.
    recent_per_ms: f64,
    returns: Returns,
}

/// Listed nodes that a restarted process has not heard of yet.
#[derive(Clone, Copy, Debug, Default)]
struct UnheardNodes {
    count: usize,
    /// Units charged for the use that they are assumed to have made.
    presumed: f64,
}

/// Whether the allowance has room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The allowance has room, and the request is charged.
    Charged,
    /// The allowance has no room yet.
    Refused {
        /// Time until the allowance has room.
        wait_ms: Millisecond,
    },
}

/// Units of an allowance that were used before a bucket began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorUse {
    Unused,
    Unknown,
}

/// The circumstances in which a process begins to enforce an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceStart {
    /// The process knew a directory before, so the allowance is new to all nodes.
    WhileRunning,
    /// The whole system starts for the first time.
    FirstStart { age_ms: Millisecond },
    /// The process has restarted, or starts beside running nodes.
    Restart,
}

/// If the first directory takes longer than this to arrive, other nodes may have used the allowance
/// meanwhile, even on a first start.
const FIRST_START_LIMIT_MS: Millisecond = 3_000;

impl PriorUse {
    /// What is known of the units used before an allowance began.
    pub fn at(beginning: AllowanceStart) -> Self {
        match beginning {
            AllowanceStart::WhileRunning => Self::Unused,
            AllowanceStart::FirstStart { age_ms } if age_ms < FIRST_START_LIMIT_MS => Self::Unused,
            AllowanceStart::FirstStart { .. } | AllowanceStart::Restart => Self::Unknown,
        }
    }
}

impl Bucket {
    pub fn new(allowance: Allowance, prior_use: PriorUse, now_ms: Millisecond) -> Self {
        let level = match prior_use {
            PriorUse::Unused => allowance.burst,
            PriorUse::Unknown => allowance.burst.min(allowance.rate_per_s * RESTART_LEVEL_S),
        };
        Self {
            allowance,
            prior_use,
            created_ms: now_ms,
            level,
            filled_ms: now_ms,
            used: 0.0,
            peers: Map::default(),
            unheard: UnheardNodes::default(),
            recent_per_ms: 0.0,
            returns: Returns::default(),
        }
    }

    /// Replaces the allowance. The units that are left stay, up to the new burst.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        let grown = (allowance.burst - self.allowance.burst).max(0.0);
        self.allowance = allowance;
        self.level = (self.level + grown).min(allowance.burst);
    }

    /// Units that this node has used since it started.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Units that are left; negative after late reports of other nodes.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Charges a request if the allowance has room for it.
    pub fn charge(&mut self, cost: f64, fleet: Fleet, now_ms: Millisecond) -> Admission {
        self.update_unheard(fleet, now_ms);
        self.refill(fleet.heard, now_ms);
        let needed = cost.min(self.allowance.burst);
        if self.level + LEVEL_TOLERANCE_UNITS >= needed {
            self.level -= cost;
            self.recent_per_ms += cost / RATE_AVERAGE_MS;
            self.used += cost;
            return Admission::Charged;
        }
        let missing = needed - self.level;
        let wait_ms = 1_000.0 * missing / self.allowance.rate_per_s.max(0.001);
        Admission::Refused {
            wait_ms: wait_ms.min(60_000.0) as Millisecond,
        }
    }

    /// Time after which a refused caller should return: the level has then refilled to its cost
    /// after the costs of the callers that were told to return before. `None` if that is after the
    /// caller's deadline.
    pub fn tell_return(
        &mut self,
        cost: f64,
        left_ms: Millisecond,
        now_ms: Millisecond,
    ) -> Option<Millisecond> {
        let caller = Return {
            needed: cost.min(self.allowance.burst),
            left_ms,
        };
        let capacity = Capacity {
            before: -self.level,
            per_s: self.allowance.rate_per_s,
            own_share: self.own_share(),
        };
        self.returns.tell(caller, capacity, now_ms)
    }

    /// Share of the use of all nodes that is this node's. One second's rate counts as used evenly.
    fn own_share(&self) -> f64 {
        let nodes = self.peers.len() as f64 + 1.0;
        let rate = self.allowance.rate_per_s.max(f64::MIN_POSITIVE);
        let used: f64 = self.peers.values().map(|p| p.used - p.used_at_first).sum();
        let own = self.used.max(0.0) + rate / nodes;
        own / (self.used.max(0.0) + used.max(0.0) + rate)
    }

    /// Returns the units charged for a request that did not run.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.allowance.burst);
        self.used -= cost;
    }

    /// Records the units that a process of another node has used since it started, and charges what
    /// had not been charged for it yet.
    pub fn record_peer_usage(&mut self, peer: &Name, usage: PeerUsage, now_ms: Millisecond) {
        let used_before = self.used_before(&usage, now_ms);
        if !self.peers.contains_key(peer) {
            self.release_one_unheard();
        }
        let known = self.peers.entry(peer.clone()).or_insert(Peer {
            used: used_before,
            used_at_first: used_before,
            presumed: 0.0,
            reported_per_ms: 0.0,
            estimate: UsageEstimate::OwnRate,
            heard_ms: now_ms,
            silence_ms: usage.silence_ms,
        });
        let since_ms = now_ms.saturating_sub(known.heard_ms).max(1) as f64;
        let used = usage.used - known.used;
        let uncharged = used - known.presumed;
        self.level = (self.level - uncharged).min(self.allowance.burst);
        // Limits the debt, so that the late report of a burst does not block the workspace for
        // long.
        self.level = self
            .level
            .max(-self.allowance.burst - self.allowance.rate_per_s);
        *known = Peer {
            used: usage.used,
            used_at_first: known.used_at_first,
            presumed: 0.0,
            reported_per_ms: (used / since_ms).max(0.0),
            estimate: UsageEstimate::OwnRate,
            heard_ms: now_ms,
            silence_ms: usage.silence_ms,
        };
    }

    /// The units in a node's first report that were used before this bucket began.
    fn used_before(&self, usage: &PeerUsage, now_ms: Millisecond) -> f64 {
        let in_first_contacts = now_ms < self.created_ms + FIRST_CONTACT_MS;
        let own_age_ms = now_ms.saturating_sub(self.created_ms);
        let began_together = usage.age_ms <= own_age_ms + FIRST_CONTACT_MS;
        match self.prior_use {
            PriorUse::Unknown if in_first_contacts && !began_together => usage.used,
            PriorUse::Unknown | PriorUse::Unused => 0.0,
        }
    }

    /// Forgets a process of another node that has ended.
    pub fn remove_peer(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    /// Updates what is charged for listed nodes that have not been heard of. After two periods such
    /// a node counts as down, and its charge is returned.
    fn update_unheard(&mut self, fleet: Fleet, now_ms: Millisecond) {
        let until_ms = self.created_ms + 2 * fleet.period_ms;
        if self.prior_use == PriorUse::Unknown && now_ms < until_ms {
            self.unheard.count = fleet.unheard();
            return;
        }
        let ended = std::mem::take(&mut self.unheard);
        self.level = (self.level + ended.presumed).min(self.allowance.burst);
    }

    /// Returns the share of the estimated use that belongs to a node whose own report has arrived.
    fn release_one_unheard(&mut self) {
        let UnheardNodes { count, presumed } = self.unheard;
        if count == 0 {
            return;
        }
        let released = presumed / count as f64;
        self.unheard = UnheardNodes {
            count: count - 1,
            presumed: presumed - released,
        };
        self.level = (self.level + released).min(self.allowance.burst);
    }

    fn refill(&mut self, nodes: usize, now_ms: Millisecond) {
        let filled_before_ms = std::mem::replace(&mut self.filled_ms, now_ms);
        let span_s = now_ms.saturating_sub(filled_before_ms) as f64 / 1_000.0;
        let rate = self.allowance.rate_per_s;
        self.recent_per_ms *= (-span_s * 1_000.0 / RATE_AVERAGE_MS).exp();
        self.level += rate * span_s;
        self.level = self.level.min(self.allowance.burst);
        let nodes = nodes.max(self.peers.len() + 1) as f64;
        let share_of_rate = rate * span_s / nodes;
        let share_of_level = self.level.max(0.0) / nodes;
        let presumed = self.recent_per_ms * span_s * 1_000.0 * self.unheard.count as f64;
        self.unheard.presumed += presumed;
        self.level -= presumed;
        let own = OwnUse {
            recent_per_ms: self.recent_per_ms,
            used: self.used,
            prior_units: rate / nodes,
        };
        for peer in self.peers.values_mut() {
            let silent = now_ms.saturating_sub(peer.heard_ms) > peer.silence_ms;
            let charge = match (silent, peer.estimate) {
                (false, _) => {
                    let from_ms = filled_before_ms.max(peer.heard_ms);
                    let presumed =
                        peer.presumed_per_ms(&own) * now_ms.saturating_sub(from_ms) as f64;
                    // Other nodes stop at an empty bucket, too.
                    presumed.min(self.level.max(0.0))
                }
                // A node that is cut off may also take its share of what is left.
                (true, UsageEstimate::OwnRate) => share_of_rate + share_of_level,
                (true, UsageEstimate::EvenShare) => share_of_rate,
            };
            if silent {
                peer.estimate = UsageEstimate::EvenShare;
            }
            peer.presumed += charge;
            self.level -= charge;
        }
    }
}

/// This node's use, from which that of other nodes is estimated.
struct OwnUse {
    /// Average use, in units per millisecond.
    recent_per_ms: f64,
    used: f64,
    /// Units assumed for each node before it has used any: its even share of one second's rate.
    prior_units: f64,
}

impl Peer {
    /// Estimated use of the peer in units per millisecond: this node's rate, reduced in proportion
    /// if the peer has used less so far, as callers stay with one node.
    fn presumed_per_ms(&self, own: &OwnUse) -> f64 {
        let used = self.used - self.used_at_first;
        let ratio =
            (used + own.prior_units) / (own.used.max(0.0) + own.prior_units).max(f64::MIN_POSITIVE);
        let share_per_ms = own.prior_units / 1_000.0;
        let limit_per_ms = PRESUMED_SURGE * share_per_ms.max(self.reported_per_ms);
        (own.recent_per_ms * ratio.clamp(0.0, 1.0)).min(limit_per_ms)
    }
}
