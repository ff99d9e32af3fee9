//! How many backend servers to have, where, and how they are paid for.
//!
//! Servers on demand bear the work alone, if barely: reclaimable ones may all be lost within
//! seconds. Reclaimable ones cost a part of the price and give the room in which requests do not
//! wait for each other, also after the loss of any one failure domain. While none can be had, more
//! servers on demand make up for them.

use base::units::Millisecond;
use base::{Map, Name};
use outside::Purchase;
use policy::place::{Offer, Purchase as OfferPurchase, VmKind, cheapest_additions};
use serde::Deserialize;

use crate::belief::directory::Scaling;

/// A refused kind is not asked for again for so long.
const REFUSED_MS: Millisecond = 2_500;

/// Time beyond a server's start after which an order counts as not carried out.
const OVERDUE_MS: Millisecond = 2_500;

/// The highest need of so long is held: traffic comes in waves.
const PEAK_MS: Millisecond = 20_000;

/// A need is known well enough to give servers back once it was seen for so long.
const KNOWN_MS: Millisecond = 6_000;

/// Parts of a server that work may keep busy: what is held against what. Settings.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Shares {
    /// When nothing is lost and nothing is missing.
    pub comfort_share: f64,
    /// While reclaimable servers cannot be had.
    pub tight_share: f64,
    /// When all reclaimable servers are lost.
    pub alone_share: f64,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            comfort_share: 0.22,
            tight_share: 0.5,
            alone_share: 0.9,
        }
    }
}

/// Part of the servers that is kept on demand before any work is known.
const UNKNOWN_SHARE: f64 = 1.0 / 3.0;

/// Most by which the servers may grow at once: a need is overrated while servers are overloaded.
const GROWTH: f64 = 2.0;

/// Prices are compared in millionths.
const MICROS: f64 = 1_000_000.0;

/// Servers of one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Present {
    /// Reclaimable ones that stay.
    pub reclaimable: u32,
    /// On-demand ones that stay.
    pub on_demand: u32,
}

impl Present {
    fn of(&self, purchase: Purchase) -> u32 {
        match purchase {
            Purchase::Reclaimable => self.reclaimable,
            Purchase::OnDemand => self.on_demand,
        }
    }
}

/// What a service needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// Nothing has been asked of it yet.
    Unknown,
    /// Its work would keep so many servers busy all the time.
    Busy(f64),
}

/// A number of servers of one kind in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Where.
    pub failure_domain: Name,
    /// How they are paid for.
    pub purchase: Purchase,
    /// How many.
    pub wanted: u32,
}

type Place = (Name, Purchase);

#[derive(Clone, Copy, Debug)]
struct Ordered {
    wanted: u32,
    at_ms: Millisecond,
}

/// What the holder of the duty remembers of one service.
#[derive(Clone, Debug, Default)]
pub struct Scale {
    shares: Shares,
    ordered: Map<Place, Ordered>,
    refused_until_ms: Map<Place, Millisecond>,
    needs: Vec<(Millisecond, f64)>,
    /// Servers that were there before any need was known.
    first_total: Option<f64>,
    /// Servers whose room is lost for now.
    lost: f64,
}

/// What is to be held, in servers.
#[derive(Clone, Copy, Debug)]
struct Goal {
    /// On demand, come what may.
    alone: f64,
    /// Of both kinds, while reclaimable ones cannot be had.
    tight: f64,
    /// Of both kinds, after the loss of one failure domain.
    comfortable: f64,
    certainty: Certainty,
}

/// The highest need of late, in servers kept busy.
#[derive(Clone, Copy, Debug)]
struct Peak {
    busy: f64,
    certainty: Certainty,
}

/// Whether a need has been seen for long enough to give servers back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    Settled,
    Recent,
}

/// Servers wanted by failure domain and kind.
type Wanted = Map<Place, u32>;

impl Scale {
    /// Nothing has been ordered yet.
    pub fn new(shares: Shares) -> Self {
        Self {
            shares,
            ..Self::default()
        }
    }

    /// Takes in that a kind is not to be had.
    pub fn refused(&mut self, order: &Order, now_ms: Millisecond) {
        let place = (order.failure_domain.clone(), order.purchase);
        self.ordered.remove(&place);
        self.refused_until_ms.insert(place, now_ms + REFUSED_MS);
    }

    /// Takes in that an order may not have arrived.
    pub fn unanswered(&mut self, order: &Order) {
        let place = (order.failure_domain.clone(), order.purchase);
        self.ordered.remove(&place);
    }

    /// Takes in what a service needs; each node does, so that a new holder knows the need of late.
    pub fn observe(&mut self, need: Need, now_ms: Millisecond) {
        let Need::Busy(busy) = need else {
            return;
        };
        self.needs.retain(|(at_ms, _)| at_ms + PEAK_MS > now_ms);
        self.needs.push((now_ms, busy));
    }

    /// Takes in how many servers' room is lost to what they say of themselves.
    pub fn set_lost_servers(&mut self, lost: f64) {
        self.lost = lost;
    }

    /// Forgets what was ordered: another node may have ordered since.
    pub fn forget_orders(&mut self) {
        self.ordered.clear();
        self.refused_until_ms.clear();
    }

    /// Decides what to order now.
    pub fn plan(
        &mut self,
        scaling: &Scaling,
        present: &Map<Name, Present>,
        now_ms: Millisecond,
    ) -> Vec<Order> {
        let Some(goal) = self.goal(present, now_ms) else {
            return Vec::new();
        };
        let wanted = self.wanted(scaling, present, &goal, now_ms);
        let mut orders = Vec::new();
        for (place, wanted) in wanted {
            let here = present.get(&place.0).map_or(0, |p| p.of(place.1));
            if wanted < here && goal.certainty == Certainty::Recent {
                continue;
            }
            if !self.is_due(&place, wanted, here, scaling.boot_ms, now_ms) {
                continue;
            }
            let at_ms = now_ms;
            self.ordered
                .insert(place.clone(), Ordered { wanted, at_ms });
            orders.push(Order {
                failure_domain: place.0,
                purchase: place.1,
                wanted,
            });
        }
        orders.sort_by(|a, b| {
            let key = |o: &Order| (o.purchase == Purchase::OnDemand, o.failure_domain.clone());
            key(a).cmp(&key(b))
        });
        orders
    }

    /// What is to be held; `None` if what is there is to stay as it is.
    fn goal(&mut self, present: &Map<Name, Present>, now_ms: Millisecond) -> Option<Goal> {
        let reclaimable: u32 = present.values().map(|p| p.reclaimable).sum();
        let on_demand: u32 = present.values().map(|p| p.on_demand).sum();
        let total = f64::from(reclaimable + on_demand);
        let Some(peak) = self.peak(now_ms) else {
            // Servers that are mixed already were ordered for a need that was known.
            if self.first_total.is_none() && reclaimable > 0 {
                return None;
            }
            let total = *self.first_total.get_or_insert(total);
            return Some(Goal {
                alone: total * UNKNOWN_SHARE,
                tight: total,
                comfortable: total,
                certainty: Certainty::Settled,
            });
        };
        let shares = self.shares;
        let busy = peak.busy.min(total * GROWTH * shares.alone_share);
        let tight = busy / shares.tight_share + self.lost;
        Some(Goal {
            alone: busy / shares.alone_share,
            tight,
            // The comfortable number leaves room for some loss.
            comfortable: tight.max(busy / shares.comfort_share),
            certainty: peak.certainty,
        })
    }

    /// The highest need of late; `None` if none is known.
    fn peak(&self, now_ms: Millisecond) -> Option<Peak> {
        let known = self
            .needs
            .iter()
            .filter(|(at_ms, _)| at_ms + PEAK_MS > now_ms);
        let (first_ms, _) = known.clone().next()?;
        let certainty = match now_ms - first_ms >= KNOWN_MS {
            true => Certainty::Settled,
            false => Certainty::Recent,
        };
        let busy = known.map(|(_, busy)| *busy).fold(0.0, f64::max);
        Some(Peak { busy, certainty })
    }

    fn wanted(
        &self,
        scaling: &Scaling,
        present: &Map<Name, Present>,
        goal: &Goal,
        now_ms: Millisecond,
    ) -> Wanted {
        let domains = domains(scaling, present);
        let held = self.held(scaling, present, &domains, now_ms);
        let reclaimable = self.reclaimable(scaling, present, &held, goal, now_ms);
        let ready = |domain: &Name| {
            let here = present.get(domain).map_or(0, |p| p.reclaimable);
            let wanted = reclaimable.get(domain).copied().unwrap_or(0);
            here.min(wanted)
        };
        let ready: u32 = domains.iter().map(ready).sum();
        // Those on demand leave only when the reclaimable ones that replace them are there.
        let needed = goal.alone.max(goal.tight - f64::from(ready));
        let on_demand = self.on_demand(scaling, &held, needed, &reclaimable, now_ms);
        let mut wanted = Wanted::default();
        for domain in &domains {
            let reclaimable = reclaimable.get(domain).copied().unwrap_or(0);
            let on_demand = on_demand.get(domain).copied().unwrap_or(0);
            let on_demand = on_demand.max(scaling.min.saturating_sub(reclaimable));
            if scaling.reclaimable_price.is_some() {
                wanted.insert((domain.clone(), Purchase::Reclaimable), reclaimable);
            }
            wanted.insert((domain.clone(), Purchase::OnDemand), on_demand);
        }
        wanted
    }

    /// Servers on demand by domain, those that start by our order included.
    fn held(
        &self,
        scaling: &Scaling,
        present: &Map<Name, Present>,
        domains: &[Name],
        now_ms: Millisecond,
    ) -> Vec<(Name, u32)> {
        let mut held = Vec::new();
        for domain in domains {
            let here = present.get(domain).map_or(0, |p| p.on_demand);
            let ordered = self.ordered.get(&(domain.clone(), Purchase::OnDemand));
            let coming = ordered.filter(|o| now_ms <= o.at_ms + scaling.boot_ms + OVERDUE_MS);
            let count = coming.map_or(here, |o| o.wanted.max(here));
            held.push((domain.clone(), count));
        }
        held
    }

    /// Reclaimable servers by domain, so that enough is left after the loss of one domain; what is
    /// there stays where none can be had now.
    fn reclaimable(
        &self,
        scaling: &Scaling,
        present: &Map<Name, Present>,
        held: &[(Name, u32)],
        goal: &Goal,
        now_ms: Millisecond,
    ) -> Map<Name, u32> {
        let mut wanted: Map<Name, u32> = Map::default();
        let Some(part) = scaling.reclaimable_price else {
            return wanted;
        };
        let offers: Vec<Offer> = held
            .iter()
            .map(|(domain, _)| offer(scaling, domain, OfferPurchase::Reclaimable, part))
            .collect();
        let listed: Vec<&Offer> = offers.iter().collect();
        let beside = goal.comfortable - goal.alone.ceil();
        for place in cheapest_additions(beside, &Map::default(), &listed) {
            let domain = &offers[place].kind.failure_domain;
            *wanted.entry(domain.clone()).or_default() += 1;
        }
        for (domain, on_demand) in held {
            let here = present.get(domain).map_or(0, |p| p.reclaimable);
            let count = wanted.entry(domain.clone()).or_default();
            let room = scaling.max.saturating_sub(*on_demand);
            *count = (*count).min(room);
            if self.is_refused(domain, Purchase::Reclaimable, now_ms) {
                *count = (*count).min(here);
            }
        }
        wanted
    }

    /// `needed` servers on demand by domain: those that are there or start before new ones, spread
    /// evenly, and the cheaper domain first.
    fn on_demand(
        &self,
        scaling: &Scaling,
        held: &[(Name, u32)],
        needed: f64,
        reclaimable: &Map<Name, u32>,
        now_ms: Millisecond,
    ) -> Map<Name, u32> {
        let room = |domain: &Name| match self.is_refused(domain, Purchase::OnDemand, now_ms) {
            true => 0,
            false => scaling
                .max
                .saturating_sub(reclaimable.get(domain).copied().unwrap_or(0)),
        };
        let rooms: Vec<(Name, u32)> = held.iter().map(|(d, _)| (d.clone(), room(d))).collect();
        let mut wanted: Map<Name, u32> = Map::default();
        let mut missing = needed.max(0.0).ceil() as u32;
        for limits in [held, &rooms] {
            while missing > 0 {
                let taken = |domain: &Name| wanted.get(domain).copied().unwrap_or(0);
                let open = limits.iter().filter(|(d, limit)| taken(d) < *limit);
                let next = open.min_by(|(a, _), (b, _)| {
                    let by_price = price(scaling, a).total_cmp(&price(scaling, b));
                    taken(a).cmp(&taken(b)).then(by_price)
                });
                let Some((domain, _)) = next else {
                    break;
                };
                *wanted.entry(domain.clone()).or_default() += 1;
                missing -= 1;
            }
        }
        wanted
    }

    fn is_refused(&self, domain: &Name, purchase: Purchase, now_ms: Millisecond) -> bool {
        let place = (domain.clone(), purchase);
        let until_ms = self.refused_until_ms.get(&place);
        until_ms.is_some_and(|until_ms| *until_ms > now_ms)
    }

    fn is_due(
        &self,
        place: &Place,
        wanted: u32,
        here: u32,
        boot_ms: Millisecond,
        now_ms: Millisecond,
    ) -> bool {
        match self.ordered.get(place) {
            None => wanted != here,
            Some(ordered) if ordered.wanted != wanted => true,
            Some(ordered) => wanted != here && now_ms > ordered.at_ms + boot_ms + OVERDUE_MS,
        }
    }
}

/// Failure domains in which servers may stand, by name.
fn domains(scaling: &Scaling, present: &Map<Name, Present>) -> Vec<Name> {
    let mut domains: Vec<Name> = scaling.domain_prices.keys().cloned().collect();
    for domain in present.keys() {
        if !domains.contains(domain) {
            domains.push(domain.clone());
        }
    }
    domains.sort();
    domains
}

fn price(scaling: &Scaling, domain: &Name) -> f64 {
    scaling.domain_prices.get(domain).copied().unwrap_or(1.0)
}

fn offer(scaling: &Scaling, domain: &Name, purchase: OfferPurchase, part: f64) -> Offer {
    Offer {
        service: Name::from(""),
        kind: VmKind {
            class: Name::from(""),
            failure_domain: domain.clone(),
            purchase,
        },
        price_micros_per_h: (price(scaling, domain) * part * MICROS) as u64,
        capacity_per_s: 1.0,
    }
}
