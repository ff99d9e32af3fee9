//! Which node may send the next request to a backend server that limits the requests per second of
//! all nodes together.
//!
//! Time is divided into slots of a few requests, and each slot belongs to one node by rendezvous
//! hashing. Each node computes the winners for all nodes, so that no agreement is needed. A node
//! that knows of more nodes than others do only loses slots by it. Turns that are not used in time
//! are lost.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use base::units::Millisecond;

/// Length of a slot in seconds. A slot holds at least one request, so that it is longer under low
/// limits.
const SLOT_LENGTH_S: f64 = 0.05;

/// Time for which a turn may be used. Under a limit below one request per second, a turn is valid
/// until the next one opens. A window of 4 s can also contain turns of the second before it, and
/// still has at most 1.5 times the limit plus five requests.
const TURN_VALID_MS: f64 = 1_000.0;

/// Time for which turns are planned in advance.
const LOOKAHEAD_MS: f64 = 10_000.0;

/// A plan is kept until the limit exceeds that of the plan by this factor. Each change of plan may
/// allow one request in addition to those of the old plan.
const MAX_LIMIT_RATIO: f64 = 1.25;

/// A plan lasts at least this long before one for a higher limit replaces it: the window over which
/// requests under a limit are counted.
const RAISE_DELAY_MS: Millisecond = 4_000;

/// The nodes that share the slots of limited servers.
#[derive(Clone, Debug)]
pub struct Rendezvous {
    own: u64,
    others: Vec<u64>,
    /// Differs between sets of nodes.
    fingerprint: u64,
}

impl Rendezvous {
    /// The node at `own` and the others, by their addresses.
    pub fn new(own: SocketAddr, others: impl IntoIterator<Item = SocketAddr>) -> Self {
        let own = hash(&own);
        let others = others.into_iter().map(|other| hash(&other));
        let others: Vec<u64> = others.filter(|other| *other != own).collect();
        let fingerprint = others
            .iter()
            .fold(own, |fingerprint, o| fingerprint.wrapping_add(mix(*o)));
        Self {
            own,
            others,
            fingerprint,
        }
    }

    /// True if this node's hash for the slot is greater than that of every other node.
    fn wins(&self, server: u64, slot: u64) -> bool {
        let seed = mix(server ^ mix(slot));
        let own = mix(seed ^ self.own);
        self.others.iter().all(|other| mix(seed ^ other) < own)
    }
}

fn hash(of: &impl Hash) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    of.hash(&mut hasher);
    mix(hasher.finish())
}

/// Mixes the bits of a number (the finalizer of `splitmix64`).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

/// The right to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Fleet time from which the turn may be used.
    pub opens_ms: Millisecond,
    /// Fleet time until which the turn may be used.
    pub closes_ms: Millisecond,
    slot: u64,
    plan: u64,
}

/// Division of time into the slots of one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Grid {
    per_s: f64,
    turns: u32,
    slot_ms: f64,
}

impl Grid {
    fn new(per_s: f64) -> Self {
        let turns = (per_s * SLOT_LENGTH_S).ceil().max(1.0);
        Self {
            per_s,
            turns: turns as u32,
            slot_ms: turns * 1_000.0 / per_s,
        }
    }

    fn slot(&self, at_ms: f64) -> u64 {
        (at_ms / self.slot_ms) as u64
    }

    fn opens_ms(&self, slot: u64, turn: u32) -> f64 {
        slot as f64 * self.slot_ms + f64::from(turn) * 1_000.0 / self.per_s
    }

    fn valid_ms(&self) -> f64 {
        TURN_VALID_MS.max(1_000.0 / self.per_s)
    }
}

/// A slot that this node has won.
#[derive(Clone, Copy, Debug)]
struct WonSlot {
    slot: u64,
    /// Turns of the slot that have been taken.
    used: u32,
}

/// This node's turns at one server.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    grid: Option<Grid>,
    fingerprint: u64,
    /// Number of the plan. Turns of an earlier plan cannot be returned to this one.
    plan: u64,
    won: VecDeque<WonSlot>,
    /// First slot for which no winner has been computed.
    next_slot: u64,
    /// Fleet time at which the plan was made for its limit.
    planned_ms: Millisecond,
}

impl Turns {
    /// The next free turn, which is not taken yet.
    pub fn next(
        &mut self,
        per_s: f64,
        rendezvous: &Rendezvous,
        server: &str,
        fleet_ms: Millisecond,
    ) -> Option<Turn> {
        let grid = self.plan(per_s, rendezvous, fleet_ms);
        self.draw_slots(&grid, rendezvous, hash(&server), fleet_ms);
        let free = self.won.iter().filter(|won| won.used < grid.turns);
        let turn = |won: &WonSlot| {
            let opens_ms = grid.opens_ms(won.slot, won.used);
            Turn {
                opens_ms: opens_ms as Millisecond,
                closes_ms: (opens_ms + grid.valid_ms()) as Millisecond,
                slot: won.slot,
                plan: self.plan,
            }
        };
        free.map(turn).find(|turn| turn.closes_ms > fleet_ms)
    }

    /// Takes a turn that `next` returned.
    pub fn take(&mut self, turn: &Turn) {
        if let Some(won) = self.won_slot_mut(turn) {
            won.used += 1;
        }
    }

    /// Returns a turn that was not used.
    pub fn give_back(&mut self, turn: &Turn) {
        if let Some(won) = self.won_slot_mut(turn) {
            won.used = won.used.saturating_sub(1);
        }
    }

    fn won_slot_mut(&mut self, turn: &Turn) -> Option<&mut WonSlot> {
        if turn.plan != self.plan {
            return None;
        }
        self.won.iter_mut().find(|won| won.slot == turn.slot)
    }

    /// The grid in use. A new limit or set of nodes starts a new plan that begins with the next
    /// slot.
    fn plan(&mut self, per_s: f64, rendezvous: &Rendezvous, fleet_ms: Millisecond) -> Grid {
        let raised = fleet_ms >= self.planned_ms + RAISE_DELAY_MS;
        let kept = |grid: &Grid| {
            let fits = per_s <= grid.per_s * MAX_LIMIT_RATIO || !raised;
            grid.per_s <= per_s && fits
        };
        let known = self.grid.filter(kept);
        if let Some(grid) = known
            && self.fingerprint == rendezvous.fingerprint
        {
            return grid;
        }
        let grid = known.unwrap_or_else(|| Grid::new(per_s));
        let now = grid.slot(fleet_ms as f64);
        self.next_slot = match self.grid {
            None => now,
            Some(_) => now + 1,
        };
        match known {
            // Only the set of nodes has changed, so slots with turns taken in advance are kept.
            Some(_) => self.won.retain(|won| won.used > 0),
            None => {
                self.won.clear();
                self.plan += 1;
                self.planned_ms = fleet_ms;
            }
        }
        if let Some(last) = self.won.back() {
            self.next_slot = self.next_slot.max(last.slot + 1);
        }
        self.grid = Some(grid);
        self.fingerprint = rendezvous.fingerprint;
        grid
    }

    /// Computes the winners of slots that have come into the planned time, and drops slots that are
    /// over.
    fn draw_slots(
        &mut self,
        grid: &Grid,
        rendezvous: &Rendezvous,
        server: u64,
        fleet_ms: Millisecond,
    ) {
        let now_ms = fleet_ms as f64;
        let is_over =
            |won: &WonSlot| grid.opens_ms(won.slot, grid.turns - 1) + grid.valid_ms() <= now_ms;
        while self.won.front().is_some_and(is_over) {
            self.won.pop_front();
        }
        let first = grid.slot(now_ms - grid.valid_ms());
        let end = grid.slot(now_ms + LOOKAHEAD_MS) + 1;
        self.next_slot = self.next_slot.max(first);
        while self.next_slot < end {
            if rendezvous.wins(server, self.next_slot) {
                let slot = self.next_slot;
                self.won.push_back(WonSlot { slot, used: 0 });
            }
            self.next_slot += 1;
        }
    }
}
