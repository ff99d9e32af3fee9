//! Kinds of requests that compete for a workspace's allowance, as one node has received them: which
//! kinds are cheap, and which leave units for others that are served less.

use base::Name;
use base::units::Millisecond;

use super::reserve::{Claim, RESERVE_SHARE};
use crate::belief::directory::Allowance;

/// A kind leaves units for more urgent ones of its service until these are served more by this
/// factor. At 1.0, rank 2 was served 7 in 100 more than rank 0 at 67 nodes with twice the usual
/// demand, at 1.1 it was 2 in 100: small requests fit at levels at which large ones don't.
const MORE_URGENT_LEAD: f64 = 1.1;

/// Less urgent kinds are served at least this part of the share of more urgent ones.
const LESS_URGENT_PART: f64 = 0.5;

/// Time constant of the recent requests by which kinds are compared. It covers some ten requests of
/// a kind at a node of a large fleet.
const MEMORY_MS: f64 = 6_000.0;

/// Units are left for a kind for this time after its last request. At a node of a large fleet a kind
/// has a few requests a second.
const HELD_MS: Millisecond = 1_000;

/// Requests of another kind for which units are left, as other nodes use the same level before this
/// one hears of it. At 4, a less urgent kind was served up to 10 in 100 more in the first four
/// seconds at 67 nodes, at 16 up to 5 in 100.
const HELD_REQUESTS: f64 = 16.0;

/// Most units that are left for others, in seconds of the refill: after this time without requests
/// that claim them, they go to any. One request's units are left in any case, as small allowances
/// take longer to refill to the cost of a large request.
const HELD_LIMIT_S: f64 = 0.2;

/// A cost is below the mean if it is by more than the rounding of the mean.
const ROUNDING: f64 = 1e-6;

/// Kinds whose served share is at least this count as served.
const SERVED_SHARE: f64 = 0.9;

/// Kinds with fewer recent requests are forgotten.
const LEAST_OFFERED: f64 = 0.01;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Size {
    /// Costs less than the mean.
    Small,
    Large,
}

/// Recent requests of one service, rank and size. Their weights fall with their age.
#[derive(Clone, Debug)]
struct Kind {
    service: Name,
    rank: u8,
    size: Size,
    offered: f64,
    offered_units: f64,
    served: f64,
    served_units: f64,
    asked_ms: Millisecond,
}

impl Kind {
    /// Share of the recent requests that were served; 1 if there were none.
    fn served_share(&self) -> f64 {
        match self.offered > LEAST_OFFERED {
            true => self.served / self.offered,
            false => 1.0,
        }
    }

    fn mean_cost(&self) -> f64 {
        self.offered_units / self.offered.max(LEAST_OFFERED)
    }

    /// The served share that `other` is to have while this kind has `share`.
    fn owed_share(&self, other: &Self, share: f64, is_cheap: bool) -> f64 {
        if self.service == other.service && other.rank < self.rank {
            return (share * MORE_URGENT_LEAD).min(1.0);
        }
        if is_cheap {
            return 0.0;
        }
        match self.rank < other.rank {
            true => share * LESS_URGENT_PART,
            false => share,
        }
    }
}

/// Place of a kind in [`CompetingKinds`], until the next update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindIndex(usize);

/// The recent requests of a workspace by kind.
#[derive(Clone, Debug, Default)]
pub struct CompetingKinds {
    kinds: Vec<Kind>,
    updated_ms: Millisecond,
}

impl CompetingKinds {
    /// Lowers the weight of the recent requests, and forgets kinds without any.
    pub fn update(&mut self, now_ms: Millisecond) {
        let span_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now_ms.max(self.updated_ms);
        if span_ms == 0.0 {
            return;
        }
        let factor = (-span_ms / MEMORY_MS).exp();
        for kind in &mut self.kinds {
            kind.offered *= factor;
            kind.offered_units *= factor;
            kind.served *= factor;
            kind.served_units *= factor;
        }
        self.kinds.retain(|kind| kind.offered > LEAST_OFFERED);
    }

    /// The kind of a request.
    pub fn find_or_add(&mut self, claim: &Claim, now_ms: Millisecond) -> KindIndex {
        let offered: f64 = self.kinds.iter().map(|k| k.offered).sum();
        let units: f64 = self.kinds.iter().map(|k| k.offered_units).sum();
        let mean = units / offered.max(LEAST_OFFERED);
        let size = match claim.cost < mean * (1.0 - ROUNDING) {
            true => Size::Small,
            false => Size::Large,
        };
        let is_same =
            |k: &Kind| k.rank == claim.rank && k.size == size && k.service == claim.service;
        if let Some(index) = self.kinds.iter().position(is_same) {
            return KindIndex(index);
        }
        self.kinds.push(Kind {
            service: claim.service.clone(),
            rank: claim.rank,
            size,
            offered: 0.0,
            offered_units: 0.0,
            served: 0.0,
            served_units: 0.0,
            asked_ms: now_ms,
        });
        KindIndex(self.kinds.len() - 1)
    }

    pub fn count_offered(&mut self, index: KindIndex, cost: f64, now_ms: Millisecond) {
        let kind = &mut self.kinds[index.0];
        kind.offered += 1.0;
        kind.offered_units += cost;
        kind.asked_ms = now_ms;
    }

    pub fn count_served(&mut self, index: KindIndex, cost: f64) {
        let kind = &mut self.kinds[index.0];
        kind.served += 1.0;
        kind.served_units += cost;
    }

    /// Units that a request of a kind must leave for kinds that are served less than they should
    /// be, compared to it. A request that costs no more than the burst fits into a full bucket.
    pub fn units_held_from(
        &self,
        index: KindIndex,
        cost: f64,
        allowance: Allowance,
        now_ms: Millisecond,
    ) -> f64 {
        let kind = &self.kinds[index.0];
        let share = kind.served_share();
        let is_cheap = self.is_cheap(index);
        let limit = allowance.rate_per_s * HELD_LIMIT_S;
        let mut held = 0.0_f64;
        for (at, other) in self.kinds.iter().enumerate() {
            if at == index.0 || now_ms > other.asked_ms + HELD_MS {
                continue;
            }
            if other.served_share() < kind.owed_share(other, share, is_cheap) {
                let cost = other.mean_cost();
                held = held.max((cost * HELD_REQUESTS).min(limit.max(cost)));
            }
        }
        let limit = allowance.rate_per_s * HELD_LIMIT_S;
        held.min(limit).min((allowance.burst - cost).max(0.0) / 2.0)
    }

    /// Whether a kind costs less than the mean, and has got with those that cost no more than it at
    /// most the reserved share of the served units.
    pub fn is_cheap(&self, index: KindIndex) -> bool {
        let kind = &self.kinds[index.0];
        if kind.size == Size::Large {
            return false;
        }
        let cost = kind.mean_cost();
        let (mut cheaper, mut all) = (0.0, 0.0);
        for other in &self.kinds {
            all += other.served_units;
            if other.mean_cost() <= cost {
                cheaper += other.served_units;
            }
        }
        cheaper <= all * RESERVE_SHARE
    }

    /// Whether a kind leaves the reserve to more urgent ones of its service, which are refused. At
    /// nodes that receive few requests, the reserve would otherwise serve small requests of lower
    /// ranks more than large urgent ones.
    pub fn yields_reserve(&self, index: KindIndex) -> bool {
        let kind = &self.kinds[index.0];
        self.kinds.iter().any(|other| {
            let is_more_urgent = other.service == kind.service && other.rank < kind.rank;
            is_more_urgent && other.served_share() < SERVED_SHARE
        })
    }

    /// Whether a kind is more urgent than another one that has been received.
    pub fn is_more_urgent(&self, index: KindIndex) -> bool {
        let rank = self.kinds[index.0].rank;
        self.kinds.iter().any(|other| other.rank > rank)
    }
}
