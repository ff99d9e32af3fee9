//! Allowances of workspaces over all nodes, without a call to the store.
//!
//! Each node keeps the whole bucket, charges its own requests at once and those of the others as
//! it hears of them. A node that is not heard of is charged an even share of what is left and of
//! the rate, so that nodes which are cut off from each other together stay within the allowance.

use base::units::Millisecond;
use base::{Map, Name};

use crate::belief::directory::Allowance;

/// Nodes that are first heard of within so long of an unknown past had used what they name before
/// it; later ones have used it since.
const UNKNOWN_MS: Millisecond = 1_000;

/// Seconds of the rate that are there when nothing is known of what was used before.
const UNKNOWN_START_S: f64 = 0.5;

/// What a node has used, by its own count.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Its count when last heard.
    used: f64,
    /// Charged since it was last heard, for want of word.
    presumed: f64,
    heard_ms: Millisecond,
    /// Silence after which it is charged its share.
    silence_ms: Millisecond,
}

/// One workspace's bucket as one node sees it.
#[derive(Clone, Debug)]
pub struct Bucket {
    allowance: Allowance,
    past: Past,
    created_ms: Millisecond,
    level: f64,
    filled_ms: Millisecond,
    /// Units that this node has used since it started.
    used: f64,
    peers: Map<Name, Peer>,
}

/// Whether there is room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// There is, and it is charged.
    Within,
    /// There will be, after so long.
    Beyond {
        /// Time until there is room.
        wait_ms: Millisecond,
    },
}

/// What was used before a bucket began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Past {
    /// Nothing.
    Unused,
    /// Not known.
    Unknown,
}

/// What a process knows when an allowance begins for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// It knew a directory before: the allowance begins now, at all nodes.
    Midway,
    /// The whole system starts, so long ago.
    FirstStart {
        /// Age of the process.
        age_ms: Millisecond,
    },
    /// It has started again, or starts beside nodes that run.
    Restart,
}

/// A first start that takes longer to know a directory has nodes that knew one before.
const FIRST_START_MS: Millisecond = 3_000;

impl Past {
    /// What was used before an allowance began.
    pub fn at(beginning: Beginning) -> Self {
        match beginning {
            Beginning::Midway => Self::Unused,
            Beginning::FirstStart { age_ms } if age_ms < FIRST_START_MS => Self::Unused,
            Beginning::FirstStart { .. } | Beginning::Restart => Self::Unknown,
        }
    }
}

impl Bucket {
    /// A bucket that starts now.
    pub fn new(allowance: Allowance, past: Past, now_ms: Millisecond) -> Self {
        let level = match past {
            Past::Unused => allowance.burst,
            Past::Unknown => allowance.burst.min(allowance.rate_per_s * UNKNOWN_START_S),
        };
        Self {
            allowance,
            past,
            created_ms: now_ms,
            level,
            filled_ms: now_ms,
            used: 0.0,
            peers: Map::default(),
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
    pub fn charge(&mut self, cost: f64, nodes: usize, now_ms: Millisecond) -> Verdict {
        self.fill(nodes, now_ms);
        let needed = cost.min(self.allowance.burst);
        if self.level >= needed {
            self.level -= cost;
            self.used += cost;
            return Verdict::Within;
        }
        let missing = needed - self.level;
        let wait_ms = 1_000.0 * missing / self.allowance.rate_per_s.max(0.001);
        Verdict::Beyond {
            wait_ms: wait_ms.min(60_000.0) as Millisecond,
        }
    }

    /// Gives back what a request was charged that did not run.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.allowance.burst);
        self.used -= cost;
    }

    /// Takes in what another life of a node has used since it started; after `silence_ms` without
    /// further word it is charged its share.
    pub fn heard(&mut self, peer: &Name, used: f64, silence_ms: Millisecond, now_ms: Millisecond) {
        let used_before = match self.past {
            Past::Unknown if now_ms < self.created_ms + UNKNOWN_MS => used,
            Past::Unknown | Past::Unused => 0.0,
        };
        let known = self.peers.entry(peer.clone()).or_insert(Peer {
            used: used_before,
            presumed: 0.0,
            heard_ms: now_ms,
            silence_ms,
        });
        let since = (used - known.used) - known.presumed;
        self.level = (self.level - since).min(self.allowance.burst);
        // A burst that was heard of late is not to stop the workspace for long.
        self.level = self
            .level
            .max(-self.allowance.burst - self.allowance.rate_per_s);
        *known = Peer {
            used,
            presumed: 0.0,
            heard_ms: now_ms,
            silence_ms,
        };
    }

    /// A life of a node has ended.
    pub fn gone(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    fn fill(&mut self, nodes: usize, now_ms: Millisecond) {
        let span_s = now_ms.saturating_sub(self.filled_ms) as f64 / 1_000.0;
        self.filled_ms = now_ms;
        let rate = self.allowance.rate_per_s;
        self.level += rate * span_s;
        self.level = self.level.min(self.allowance.burst);
        let nodes = nodes.max(self.peers.len() + 1) as f64;
        let share_of_rate = rate * span_s / nodes;
        let share_of_level = self.level.max(0.0) / nodes;
        for peer in self.peers.values_mut() {
            if now_ms.saturating_sub(peer.heard_ms) <= peer.silence_ms {
                continue;
            }
            // The first time, the peer may take its part of what is left.
            let share = match peer.presumed > 0.0 {
                true => share_of_rate,
                false => share_of_rate + share_of_level,
            };
            peer.presumed += share;
            self.level -= share;
        }
    }
}
