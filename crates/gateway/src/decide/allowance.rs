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
const UNKNOWN_MS: Millisecond = 1_000;

/// Seconds of the rate that are there when nothing is known of what was used before.
const UNKNOWN_START_S: f64 = 0.5;

/// This node's pace is the mean over about so long: two periods of a small fleet.
const PACE_MS: f64 = 250.0;

/// Costs are whole units (the users' protocol page): so much less than one is still enough for it.
const LEAST_UNITS: f64 = 0.01;

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
    basis: Basis,
    heard_ms: Millisecond,
    /// Silence after which it is charged its share.
    silence_ms: Millisecond,
}

/// What a node is presumed to use while nothing is heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// What this node uses.
    Pace,
    /// Its share: it may be cut off.
    Share,
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
    fn strangers(&self) -> usize {
        self.listed.saturating_sub(self.heard)
    }
}

/// What one life of another node says of a workspace.
#[derive(Clone, Copy, Debug)]
pub struct Word {
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
    past: Past,
    created_ms: Millisecond,
    level: f64,
    filled_ms: Millisecond,
    /// Units that this node has used since it started.
    used: f64,
    peers: Map<Name, Peer>,
    strangers: Strangers,
    /// Units a millisecond that this node used of late.
    pace: f64,
}

/// Listed nodes of which a process that has started again has not heard.
#[derive(Clone, Copy, Debug, Default)]
struct Strangers {
    count: usize,
    /// What they are presumed to have used, and is charged.
    presumed: f64,
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
            strangers: Strangers::default(),
            pace: 0.0,
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
    pub fn charge(&mut self, cost: f64, fleet: Fleet, now_ms: Millisecond) -> Verdict {
        self.count_strangers(fleet, now_ms);
        self.fill(fleet.heard, now_ms);
        let needed = cost.min(self.allowance.burst);
        if self.level + LEAST_UNITS >= needed {
            self.level -= cost;
            self.pace += cost / PACE_MS;
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

    /// Takes in what another life of a node has used since it started; after a silence without
    /// further word it is charged its share.
    pub fn heard(&mut self, peer: &Name, word: Word, now_ms: Millisecond) {
        let used_before = self.used_before(&word, now_ms);
        if !self.peers.contains_key(peer) {
            self.met_one();
        }
        let known = self.peers.entry(peer.clone()).or_insert(Peer {
            used: used_before,
            used_at_first: used_before,
            presumed: 0.0,
            basis: Basis::Pace,
            heard_ms: now_ms,
            silence_ms: word.silence_ms,
        });
        let used = word.used - known.used;
        let since = used - known.presumed;
        self.level = (self.level - since).min(self.allowance.burst);
        // A burst that was heard of late is not to stop the workspace for long.
        self.level = self
            .level
            .max(-self.allowance.burst - self.allowance.rate_per_s);
        *known = Peer {
            used: word.used,
            used_at_first: known.used_at_first,
            presumed: 0.0,
            basis: Basis::Pace,
            heard_ms: now_ms,
            silence_ms: word.silence_ms,
        };
    }

    /// What of a node's use, at its first word, had been used before this bucket began.
    fn used_before(&self, word: &Word, now_ms: Millisecond) -> f64 {
        let first_words = now_ms < self.created_ms + UNKNOWN_MS;
        let own_age_ms = now_ms.saturating_sub(self.created_ms);
        let began_with_us = word.age_ms <= own_age_ms + UNKNOWN_MS;
        match self.past {
            Past::Unknown if first_words && !began_with_us => word.used,
            Past::Unknown | Past::Unused => 0.0,
        }
    }

    /// A life of a node has ended.
    pub fn gone(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    /// Strangers are presumed to use something for two periods; who has not spoken by then is down.
    fn count_strangers(&mut self, fleet: Fleet, now_ms: Millisecond) {
        let until_ms = self.created_ms + 2 * fleet.period_ms;
        if self.past == Past::Unknown && now_ms < until_ms {
            self.strangers.count = fleet.strangers();
            return;
        }
        let ended = std::mem::take(&mut self.strangers);
        self.level = (self.level + ended.presumed).min(self.allowance.burst);
    }

    /// A stranger has spoken: what it used is known now.
    fn met_one(&mut self) {
        let Strangers { count, presumed } = self.strangers;
        if count == 0 {
            return;
        }
        let released = presumed / count as f64;
        self.strangers = Strangers {
            count: count - 1,
            presumed: presumed - released,
        };
        self.level = (self.level + released).min(self.allowance.burst);
    }

    fn fill(&mut self, nodes: usize, now_ms: Millisecond) {
        let filled_before_ms = std::mem::replace(&mut self.filled_ms, now_ms);
        let span_s = now_ms.saturating_sub(filled_before_ms) as f64 / 1_000.0;
        let rate = self.allowance.rate_per_s;
        self.pace *= (-span_s * 1_000.0 / PACE_MS).exp();
        self.level += rate * span_s;
        self.level = self.level.min(self.allowance.burst);
        let nodes = nodes.max(self.peers.len() + 1) as f64;
        let share_of_rate = rate * span_s / nodes;
        let share_of_level = self.level.max(0.0) / nodes;
        let presumed = self.pace * span_s * 1_000.0 * self.strangers.count as f64;
        self.strangers.presumed += presumed;
        self.level -= presumed;
        let own = Own {
            pace: self.pace,
            used: self.used,
            prior: rate / nodes,
        };
        for peer in self.peers.values_mut() {
            let silent = now_ms.saturating_sub(peer.heard_ms) > peer.silence_ms;
            let charge = match (silent, peer.basis) {
                (false, _) => {
                    let from_ms = filled_before_ms.max(peer.heard_ms);
                    peer.presumed_pace(&own) * now_ms.saturating_sub(from_ms) as f64
                }
                // It may take its part of what is left.
                (true, Basis::Pace) => share_of_rate + share_of_level,
                (true, Basis::Share) => share_of_rate,
            };
            if silent {
                peer.basis = Basis::Share;
            }
            peer.presumed += charge;
            self.level -= charge;
        }
    }
}

/// What tells this node how others use an allowance.
struct Own {
    /// Units a millisecond that it used of late.
    pace: f64,
    /// Units that it has used.
    used: f64,
    /// Units that count for each node before it has used any: its even share of a second's rate.
    prior: f64,
}

impl Peer {
    /// Units a millisecond that it is presumed to use: this node's pace, or less if it has used less
    /// than this node, as callers stay with a node.
    fn presumed_pace(&self, own: &Own) -> f64 {
        let used = self.used - self.used_at_first;
        let ratio = (used + own.prior) / (own.used.max(0.0) + own.prior).max(f64::MIN_POSITIVE);
        own.pace * ratio.clamp(0.0, 1.0)
    }
}
