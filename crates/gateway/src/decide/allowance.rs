//! Allowances of workspaces over all nodes, without a call to the store.
//!
//! Each node keeps the whole bucket, charges its own requests at once and those of the others as
//! it hears of them. Between two words of a node it is presumed to use what this node does, as requests
//! are spread over all. A node that is not heard of is charged an even share of what is left and of
//! the rate, so that nodes which are cut off from each other together stay within the allowance.

use base::units::Millisecond;
use base::{Map, Name};

use crate::belief::directory::Allowance;

/// Nodes that are first heard of within so long of an unknown past had used what they name before
/// it; later ones have used it since.
const FIRST_CONTACT_MS: Millisecond = 1_000;

/// Seconds of the rate that are there when nothing is known of what was used before.
const RESTART_LEVEL_S: f64 = 0.5;

/// This node's pace is the mean over about so long: two periods of a small fleet.
const RATE_AVERAGE_MS: f64 = 250.0;

/// Costs are whole units (the users' protocol page): so much less than one is still enough for it.
const LEVEL_TOLERANCE_UNITS: f64 = 0.01;

/// What a node has used, by its own count.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Its count when last heard.
    used: f64,
    /// What it had used when it was first heard.
    used_at_first: f64,
    /// Charged since it was last heard, for want of word.
    presumed: f64,
    /// How it is charged for want of word.
    estimate: UsageEstimate,
    heard_ms: Millisecond,
    /// Silence after which it is charged its share.
    silence_ms: Millisecond,
}

/// What a node is presumed to use while nothing is heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UsageEstimate {
    /// What this node uses.
    OwnRate,
    /// Its share: it may be cut off.
    EvenShare,
}

/// The nodes that share an allowance, as one of them knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Nodes that have been heard, this one included.
    pub heard: usize,
    /// Nodes that are listed, this one included.
    pub listed: usize,
    /// Time within which each node speaks to each other one.
    pub period_ms: Millisecond,
}

impl Fleet {
    /// Listed nodes that have not been heard.
    fn unheard(&self) -> usize {
        self.listed.saturating_sub(self.heard)
    }
}

/// What one life of another node says of a workspace.
#[derive(Clone, Copy, Debug)]
pub struct PeerUsage {
    /// Units that it has used since it started.
    pub used: f64,
    /// Time since it started.
    pub age_ms: Millisecond,
    /// Silence after which it may be cut off.
    pub silence_ms: Millisecond,
}

/// One workspace's bucket as one node sees it.
#[derive(Clone, Debug)]
pub struct Bucket {
    allowance: Allowance,
    past: PriorUse,
    created_ms: Millisecond,
    level: f64,
    filled_ms: Millisecond,
    /// Units that this node has used since it started.
    used: f64,
    peers: Map<Name, Peer>,
    unheard: UnheardNodes,
    /// Units a millisecond that this node used of late.
    recent_per_ms: f64,
}

/// Listed nodes of which a process that has started again has not heard.
#[derive(Clone, Copy, Debug, Default)]
struct UnheardNodes {
    count: usize,
    /// What they are presumed to have used, and is charged.
    presumed: f64,
}

/// Whether there is room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// There is, and it is charged.
    Charged,
    /// There will be, after so long.
    Refused {
        /// Time until there is room.
        wait_ms: Millisecond,
    },
}

/// What was used before a bucket began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorUse {
    /// Nothing.
    Unused,
    /// Not known.
    Unknown,
}

/// What a process knows when an allowance begins for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceStart {
    /// It knew a directory before: the allowance begins now, at all nodes.
    WhileRunning,
    /// The whole system starts, so long ago.
    FirstStart {
        /// Age of the process.
        age_ms: Millisecond,
    },
    /// It has started again, or starts beside nodes that run.
    Restart,
}

/// A first start that takes longer to know a directory has nodes that knew one before.
const FIRST_START_LIMIT_MS: Millisecond = 3_000;

impl PriorUse {
    /// What was used before an allowance began.
    pub fn at(beginning: AllowanceStart) -> Self {
        match beginning {
            AllowanceStart::WhileRunning => Self::Unused,
            AllowanceStart::FirstStart { age_ms } if age_ms < FIRST_START_LIMIT_MS => Self::Unused,
            AllowanceStart::FirstStart { .. } | AllowanceStart::Restart => Self::Unknown,
        }
    }
}

impl Bucket {
    /// A bucket that starts now.
    pub fn new(allowance: Allowance, past: PriorUse, now_ms: Millisecond) -> Self {
        let level = match past {
            PriorUse::Unused => allowance.burst,
            PriorUse::Unknown => allowance.burst.min(allowance.rate_per_s * RESTART_LEVEL_S),
        };
        Self {
            allowance,
            past,
            created_ms: now_ms,
            level,
            filled_ms: now_ms,
            used: 0.0,
            peers: Map::default(),
            unheard: UnheardNodes::default(),
            recent_per_ms: 0.0,
        }
    }

    /// Takes in another allowance; what is left stays, up to the new burst.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        let grown = (allowance.burst - self.allowance.burst).max(0.0);
        self.allowance = allowance;
        self.level = (self.level + grown).min(allowance.burst);
    }

    /// Units that this node has used since it started.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// What is left.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Charges a request if there is room for it.
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

    /// Gives back what a request was charged that did not run.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.allowance.burst);
        self.used -= cost;
    }

    /// Takes in what another life of a node has used since it started; after a silence without
    /// further word it is charged its share.
    pub fn record_peer_usage(&mut self, peer: &Name, usage: PeerUsage, now_ms: Millisecond) {
        let used_before = self.used_before(&usage, now_ms);
        if !self.peers.contains_key(peer) {
            self.release_one_unheard();
        }
        let known = self.peers.entry(peer.clone()).or_insert(Peer {
            used: used_before,
            used_at_first: used_before,
            presumed: 0.0,
            estimate: UsageEstimate::OwnRate,
            heard_ms: now_ms,
            silence_ms: usage.silence_ms,
        });
        let used = usage.used - known.used;
        let uncharged = used - known.presumed;
        self.level = (self.level - uncharged).min(self.allowance.burst);
        // A burst that was heard of late is not to stop the workspace for long.
        self.level = self
            .level
            .max(-self.allowance.burst - self.allowance.rate_per_s);
        *known = Peer {
            used: usage.used,
            used_at_first: known.used_at_first,
            presumed: 0.0,
            estimate: UsageEstimate::OwnRate,
            heard_ms: now_ms,
            silence_ms: usage.silence_ms,
        };
    }

    /// What of a node's use, at its first word, had been used before this bucket began.
    fn used_before(&self, usage: &PeerUsage, now_ms: Millisecond) -> f64 {
        let in_first_contacts = now_ms < self.created_ms + FIRST_CONTACT_MS;
        let own_age_ms = now_ms.saturating_sub(self.created_ms);
        let began_with_us = usage.age_ms <= own_age_ms + FIRST_CONTACT_MS;
        match self.past {
            PriorUse::Unknown if in_first_contacts && !began_with_us => usage.used,
            PriorUse::Unknown | PriorUse::Unused => 0.0,
        }
    }

    /// A life of a node has ended.
    pub fn remove_peer(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    /// Strangers are presumed to use something for two periods; who has not spoken by then is down.
    fn update_unheard(&mut self, fleet: Fleet, now_ms: Millisecond) {
        let until_ms = self.created_ms + 2 * fleet.period_ms;
        if self.past == PriorUse::Unknown && now_ms < until_ms {
            self.unheard.count = fleet.unheard();
            return;
        }
        let ended = std::mem::take(&mut self.unheard);
        self.level = (self.level + ended.presumed).min(self.allowance.burst);
    }

    /// A stranger has spoken: what it used is known now.
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
            prior: rate / nodes,
        };
        for peer in self.peers.values_mut() {
            let silent = now_ms.saturating_sub(peer.heard_ms) > peer.silence_ms;
            let charge = match (silent, peer.estimate) {
                (false, _) => {
                    let from_ms = filled_before_ms.max(peer.heard_ms);
                    peer.presumed_per_ms(&own) * now_ms.saturating_sub(from_ms) as f64
                }
                // It may take its part of what is left.
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

/// What tells this node how others use an allowance.
struct OwnUse {
    /// Units a millisecond that it used of late.
    recent_per_ms: f64,
    /// Units that it has used.
    used: f64,
    /// Units that count for each node before it has used any: its even share of a second's rate.
    prior: f64,
}

impl Peer {
    /// Units a millisecond that it is presumed to use: this node's pace, or less if it has used less
    /// than this node, as callers stay with a node.
    fn presumed_per_ms(&self, own: &OwnUse) -> f64 {
        let used = self.used - self.used_at_first;
        let ratio = (used + own.prior) / (own.used.max(0.0) + own.prior).max(f64::MIN_POSITIVE);
        own.recent_per_ms * ratio.clamp(0.0, 1.0)
    }
}
