//! Which node may send the next request to a backend server that takes so many a second from all
//! nodes together.
//!
//! Time is divided into slots of a few requests, and each slot belongs to the node that draws the
//! highest number for it. All nodes draw for all, so that nothing is agreed on; nodes that know more
//! of the others than some do only lose slots by it. What is not used in time is lost.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use base::units::Millisecond;

/// A slot holds the requests of so long, one at least.
const SLOT_LENGTH_S: f64 = 0.05;

/// A turn may be used for so long, or until the next one opens: with the turns of so long before,
/// a window of 4 s still holds no more than 1.5 times its requests and five.
const TURN_VALID_MS: f64 = 1_000.0;

/// Turns are looked for so far ahead.
const LOOKAHEAD_MS: f64 = 10_000.0;

/// A plan is kept while the limit is at most so many times what it was made for: each new one may
/// bring a request beside those of the one before.
const MAX_LIMIT_RATIO: f64 = 1.25;

/// A plan for a higher limit waits until the one before has lasted for a window of the users' rule.
const RAISE_DELAY_MS: Millisecond = 4_000;

/// The nodes that draw for slots.
#[derive(Clone, Debug)]
pub struct Rendezvous {
    own: u64,
    others: Vec<u64>,
    /// Tells rendezvous apart.
    fingerprint: u64,
}

impl Rendezvous {
    /// A rendezvous of the node at `own` and others, by their addresses.
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

    /// Whether the node itself wins a slot.
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

/// A well-mixed number for each number (the finalizer of `splitmix64`).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

/// The right to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Fleet time from which it may be used.
    pub opens_ms: Millisecond,
    /// Fleet time until which it may be used.
    pub closes_ms: Millisecond,
    slot: u64,
    plan: u64,
}

/// Slots of one limit.
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

/// A slot of this node.
#[derive(Clone, Copy, Debug)]
struct WonSlot {
    slot: u64,
    used: u32,
}

/// This node's turns at one server.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    grid: Option<Grid>,
    fingerprint: u64,
    /// Number of the plan, so that turns of an earlier one are not given back to it.
    plan: u64,
    won: VecDeque<WonSlot>,
    /// First slot that has not been looked at.
    next_slot: u64,
    /// Fleet time at which the plan was made for its limit.
    planned_ms: Millisecond,
}

impl Turns {
    /// The next turn that is free, taken by nobody yet.
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

    /// Takes a turn that was given as the next one.
    pub fn take(&mut self, turn: &Turn) {
        if let Some(won) = self.won_slot_mut(turn) {
            won.used += 1;
        }
    }

    /// Gives back a turn that was not used.
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

    /// The grid in use; another limit or another rendezvous begins a new plan, with slots to come.
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
            // Only the rendezvous has changed: what was taken ahead stays taken.
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

    /// Draws for the slots that have come into sight, and drops those that are over.
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
