//! Decides how many backend servers of each kind to run in each failure domain.
//!
//! On-demand servers alone carry the load, if barely, because all reclaimable servers may be lost
//! within seconds. Reclaimable servers cost a fraction of the price. They provide the room in which
//! requests do not wait for each other, even after the loss of a failure domain. While none can be
//! bought, additional on-demand servers replace them.

use base::units::Millisecond;
use base::{Map, Name};
use outside::Purchase;
use policy::place::{Offer, Purchase as OfferPurchase, VmKind, cheapest_additions};
use serde::Deserialize;

use crate::belief::directory::Scaling;

/// Delay before a kind of server that was refused is ordered again.
const REFUSAL_BACKOFF_MS: Millisecond = 2_500;

/// Time beyond the boot time of a server after which an order counts as not carried out.
const ORDER_GRACE_MS: Millisecond = 2_500;

/// Time for which the highest need is kept, because traffic comes in waves.
const PEAK_WINDOW_MS: Millisecond = 20_000;

/// Time over which a need must have been observed before servers are released.
const SETTLED_MS: Millisecond = 6_000;

/// Target utilization of the servers, as settings.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct UtilizationShares {
    /// Utilization while all servers of both kinds are there.
    pub comfort_share: f64,
    /// Utilization while no reclaimable servers can be bought.
    pub tight_share: f64,
    /// Utilization of the on-demand servers if all reclaimable ones are lost.
    pub alone_share: f64,
}

impl Default for UtilizationShares {
    fn default() -> Self {
        Self {
            comfort_share: 0.22,
            tight_share: 0.5,
            alone_share: 0.9,
        }
    }
}

/// Share of the initial servers that is kept on demand before any need is known.
const INITIAL_ON_DEMAND_SHARE: f64 = 1.0 / 3.0;

/// Largest factor by which one decision may grow the servers. The need is overestimated while
/// servers are overloaded.
const MAX_GROWTH: f64 = 2.0;

/// Factor from prices to the integer unit in which they are compared.
const MICROS: f64 = 1_000_000.0;

/// Running servers of one failure domain, without those that are leaving.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PresentServers {
    pub reclaimable: u32,
    pub on_demand: u32,
}

impl PresentServers {
    fn of(&self, purchase: Purchase) -> u32 {
        match purchase {
            Purchase::Reclaimable => self.reclaimable,
            Purchase::OnDemand => self.on_demand,
        }
    }
}

/// Load of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// The service has not received a request yet.
    Unknown,
    /// The load would keep this many servers busy all the time.
    Busy(f64),
}

/// The wanted number of servers of one kind in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub failure_domain: Name,
    /// Whether the servers are reclaimable or on demand.
    pub purchase: Purchase,
    /// Wanted number, including the servers that are there.
    pub wanted: u32,
}

/// Servers of one failure domain that are paid for in one way.
type Pool = (Name, Purchase);

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    wanted: u32,
    at_ms: Millisecond,
}

/// Decides the orders for one service and remembers the ones it has placed.
#[derive(Clone, Debug, Default)]
pub struct ScalePlanner {
    shares: UtilizationShares,
    ordered: Map<Pool, PlacedOrder>,
    refused_until_ms: Map<Pool, Millisecond>,
    needs: Vec<(Millisecond, f64)>,
    /// Number of servers before any need was known.
    first_total: Option<f64>,
    /// Number of servers whose capacity is lost to limits for now.
    lost_servers: f64,
}

/// Numbers of servers to hold.
#[derive(Clone, Copy, Debug)]
struct Goal {
    /// On-demand servers, whatever else is there.
    on_demand_alone: f64,
    /// Servers of both kinds while reclaimable ones cannot be bought.
    tight: f64,
    /// Servers of both kinds that are enough even after the loss of one failure domain.
    comfortable: f64,
    certainty: Certainty,
}

/// The highest recent need, in busy servers.
#[derive(Clone, Copy, Debug)]
struct Peak {
    busy: f64,
    certainty: Certainty,
}

/// Whether a need has been observed for long enough to release servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    Settled,
    Recent,
}

/// Wanted numbers of servers by failure domain and kind.
type Wanted = Map<Pool, u32>;

impl ScalePlanner {
    pub fn new(shares: UtilizationShares) -> Self {
        Self {
            shares,
            ..Self::default()
        }
    }

    /// Records that a kind of server cannot be bought now.
    pub fn record_refusal(&mut self, order: &Order, now_ms: Millisecond) {
        let pool = (order.failure_domain.clone(), order.purchase);
        self.ordered.remove(&pool);
        self.refused_until_ms
            .insert(pool, now_ms + REFUSAL_BACKOFF_MS);
    }

    /// Records that an order may not have arrived.
    pub fn record_unanswered(&mut self, order: &Order) {
        let pool = (order.failure_domain.clone(), order.purchase);
        self.ordered.remove(&pool);
    }

    /// Records the need of a service. Each node does so, so that a node that takes over the
    /// decisions knows the recent need.
    pub fn observe(&mut self, need: Need, now_ms: Millisecond) {
        let Need::Busy(busy) = need else {
            return;
        };
        self.needs
            .retain(|(at_ms, _)| at_ms + PEAK_WINDOW_MS > now_ms);
        self.needs.push((now_ms, busy));
    }

    /// Sets the number of servers whose capacity is lost to limits that they announced.
    pub fn set_lost_servers(&mut self, lost_servers: f64) {
        self.lost_servers = lost_servers;
    }

    /// Forgets the placed orders, since another node may have placed some meanwhile.
    pub fn forget_orders(&mut self) {
        self.ordered.clear();
        self.refused_until_ms.clear();
    }

    /// Decides which orders to place now.
    pub fn plan(
        &mut self,
        scaling: &Scaling,
        present: &Map<Name, PresentServers>,
        now_ms: Millisecond,
    ) -> Vec<Order> {
        let Some(goal) = self.goal(present, now_ms) else {
            return Vec::new();
        };
        let wanted = self.wanted(scaling, present, &goal, now_ms);
        let mut orders = Vec::new();
        for (pool, wanted) in wanted {
            let here = present.get(&pool.0).map_or(0, |p| p.of(pool.1));
            if wanted < here && goal.certainty == Certainty::Recent {
                continue;
            }
            if !self.is_due(&pool, wanted, here, scaling.boot_ms, now_ms) {
                continue;
            }
            let at_ms = now_ms;
            self.ordered
                .insert(pool.clone(), PlacedOrder { wanted, at_ms });
            orders.push(Order {
                failure_domain: pool.0,
                purchase: pool.1,
                wanted,
            });
        }
        orders.sort_by(|a, b| {
            let key = |o: &Order| (o.purchase == Purchase::OnDemand, o.failure_domain.clone());
            key(a).cmp(&key(b))
        });
        orders
    }

    /// Numbers of servers to hold; `None` if the present servers are to stay as they are.
    fn goal(&mut self, present: &Map<Name, PresentServers>, now_ms: Millisecond) -> Option<Goal> {
        let reclaimable: u32 = present.values().map(|p| p.reclaimable).sum();
        let on_demand: u32 = present.values().map(|p| p.on_demand).sum();
        let total = f64::from(reclaimable + on_demand);
        let Some(peak) = self.peak(now_ms) else {
            // Servers of both kinds were ordered for a need that was known then.
            if self.first_total.is_none() && reclaimable > 0 {
                return None;
            }
            let total = *self.first_total.get_or_insert(total);
            return Some(Goal {
                on_demand_alone: total * INITIAL_ON_DEMAND_SHARE,
                tight: total,
                comfortable: total,
                certainty: Certainty::Settled,
            });
        };
        let shares = self.shares;
        let busy = peak.busy.min(total * MAX_GROWTH * shares.alone_share);
        let tight = busy / shares.tight_share + self.lost_servers;
        Some(Goal {
            on_demand_alone: busy / shares.alone_share,
            tight,
            // The comfortable number has spare capacity, so part of the lost servers needs no
            // replacement.
            comfortable: tight.max(busy / shares.comfort_share),
            certainty: peak.certainty,
        })
    }

    /// The highest recent need; `None` if none is known.
    fn peak(&self, now_ms: Millisecond) -> Option<Peak> {
        let known = self
            .needs
            .iter()
            .filter(|(at_ms, _)| at_ms + PEAK_WINDOW_MS > now_ms);
        let (first_ms, _) = known.clone().next()?;
        let certainty = match now_ms - first_ms >= SETTLED_MS {
            true => Certainty::Settled,
            false => Certainty::Recent,
        };
        let busy = known.map(|(_, busy)| *busy).fold(0.0, f64::max);
        Some(Peak { busy, certainty })
    }

    fn wanted(
        &self,
        scaling: &Scaling,
        present: &Map<Name, PresentServers>,
        goal: &Goal,
        now_ms: Millisecond,
    ) -> Wanted {
        let domains = domains(scaling, present);
        let expected = self.expected_on_demand(scaling, present, &domains, now_ms);
        let reclaimable = self.reclaimable(scaling, present, &expected, goal, now_ms);
        let ready = |domain: &Name| {
            let here = present.get(domain).map_or(0, |p| p.reclaimable);
            let wanted = reclaimable.get(domain).copied().unwrap_or(0);
            here.min(wanted)
        };
        let ready: u32 = domains.iter().map(ready).sum();
        // On-demand servers leave only once the reclaimable servers that replace them are running.
        let needed = goal.on_demand_alone.max(goal.tight - f64::from(ready));
        let on_demand = self.on_demand(scaling, &expected, needed, &reclaimable, now_ms);
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

    /// On-demand servers by failure domain, including ordered ones that are still starting.
    fn expected_on_demand(
        &self,
        scaling: &Scaling,
        present: &Map<Name, PresentServers>,
        domains: &[Name],
        now_ms: Millisecond,
    ) -> Vec<(Name, u32)> {
        let mut expected = Vec::new();
        for domain in domains {
            let here = present.get(domain).map_or(0, |p| p.on_demand);
            let ordered = self.ordered.get(&(domain.clone(), Purchase::OnDemand));
            let coming = ordered.filter(|o| now_ms <= o.at_ms + scaling.boot_ms + ORDER_GRACE_MS);
            let count = coming.map_or(here, |o| o.wanted.max(here));
            expected.push((domain.clone(), count));
        }
        expected
    }

    /// Reclaimable servers by failure domain, so that enough are left after the loss of one domain.
    /// A domain in which none can be bought now keeps its present ones.
    fn reclaimable(
        &self,
        scaling: &Scaling,
        present: &Map<Name, PresentServers>,
        expected: &[(Name, u32)],
        goal: &Goal,
        now_ms: Millisecond,
    ) -> Map<Name, u32> {
        let mut wanted: Map<Name, u32> = Map::default();
        let Some(part) = scaling.reclaimable_price else {
            return wanted;
        };
        let offers: Vec<Offer> = expected
            .iter()
            .map(|(domain, _)| offer(scaling, domain, OfferPurchase::Reclaimable, part))
            .collect();
        let listed: Vec<&Offer> = offers.iter().collect();
        let additional = goal.comfortable - goal.on_demand_alone.ceil();
        for offer_index in cheapest_additions(additional, &Map::default(), &listed) {
            let domain = &offers[offer_index].kind.failure_domain;
            *wanted.entry(domain.clone()).or_default() += 1;
        }
        for (domain, on_demand) in expected {
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

    /// Spreads `needed` on-demand servers evenly over the failure domains, the cheaper domain
    /// first. Running and starting servers are used before new ones.
    fn on_demand(
        &self,
        scaling: &Scaling,
        expected: &[(Name, u32)],
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
        let rooms: Vec<(Name, u32)> = expected.iter().map(|(d, _)| (d.clone(), room(d))).collect();
        let mut wanted: Map<Name, u32> = Map::default();
        let mut missing = needed.max(0.0).ceil() as u32;
        for limits in [expected, &rooms] {
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
        let pool = (domain.clone(), purchase);
        let until_ms = self.refused_until_ms.get(&pool);
        until_ms.is_some_and(|until_ms| *until_ms > now_ms)
    }

    fn is_due(
        &self,
        pool: &Pool,
        wanted: u32,
        here: u32,
        boot_ms: Millisecond,
        now_ms: Millisecond,
    ) -> bool {
        match self.ordered.get(pool) {
            None => wanted != here,
            Some(ordered) if ordered.wanted != wanted => true,
            Some(ordered) => wanted != here && now_ms > ordered.at_ms + boot_ms + ORDER_GRACE_MS,
        }
    }
}

/// Failure domains that may have servers, sorted by name.
fn domains(scaling: &Scaling, present: &Map<Name, PresentServers>) -> Vec<Name> {
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
