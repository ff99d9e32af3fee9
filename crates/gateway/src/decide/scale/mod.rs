//! Decides how many backend servers of each kind to run in each failure domain.
//!
//! Reclaimable servers cost a fraction of the price, and the platform may take those of a failure
//! domain away at once, with a notice shorter than the time that a new server takes to start. So
//! the servers that would be left after the loss of any one failure domain must serve the load
//! well. After a reclaim further ones are to be expected, and the servers that would be left after
//! the loss of all reclaimable ones must carry the load, if barely, until others have started.
//! On-demand servers make up what is missing: none while the reclaimable servers of the other
//! failure domains suffice.

mod goal;
mod orders;
mod reclaims;

use base::units::Millisecond;
use base::{Map, Name};
use outside::Purchase;
use policy::place::{Offer, Purchase as OfferPurchase, VmKind, cheapest_additions};

use crate::belief::directory::Scaling;

use goal::{Certainty, Goal, NeedHistory};
pub use goal::{Need, UtilizationShares};
pub use orders::Order;
use orders::{OrderBook, Pool, Urgency};
pub use reclaims::Exposure;
use reclaims::{Loss, ReclaimHistory};

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

/// Whether all running servers are in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registrations {
    Complete,
    /// Some on-demand servers may not have registered yet, and there are no reclaimable ones. Only
    /// reclaimable servers are ordered.
    Partial,
}

/// Decides the orders for one service and remembers the ones it has placed.
#[derive(Clone, Debug, Default)]
pub struct ScalePlanner {
    shares: UtilizationShares,
    orders: OrderBook,
    needs: NeedHistory,
    reclaims: ReclaimHistory,
    /// Number of servers whose capacity is lost to limits for now.
    lost_servers: f64,
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

    /// Records the need and the servers of a service. Each node does so, so that a node that takes
    /// over the decisions knows the recent past.
    pub fn observe(
        &mut self,
        need: Need,
        present: &Map<Name, PresentServers>,
        now_ms: Millisecond,
    ) {
        self.reclaims.observe(present, now_ms);
        self.needs.observe(need, present, now_ms);
    }

    /// How many failure domains may be reclaimed before a replacement has started.
    pub fn exposure(&self, now_ms: Millisecond) -> Exposure {
        self.reclaims.exposure(now_ms)
    }

    /// Sets the number of servers whose capacity is lost to limits that they announced.
    pub fn set_lost_servers(&mut self, lost_servers: f64) {
        self.lost_servers = lost_servers;
    }

    /// Records that the platform carries out an order.
    pub fn record_acceptance(&mut self, order: &Order) {
        self.orders.record_acceptance(order);
    }

    /// Records that the answer to an order was lost. The order is placed again soon.
    pub fn record_unanswered(&mut self, order: &Order) {
        self.orders.record_unanswered(order);
    }

    /// Records that the platform refused an order.
    pub fn record_refusal(&mut self, order: &Order, now_ms: Millisecond) {
        self.orders.record_refusal(order, now_ms);
    }

    /// Forgets the placed orders, since another node may have placed some meanwhile.
    pub fn forget_orders(&mut self) {
        self.orders = OrderBook::default();
    }

    /// Decides which orders to place now, the most urgent first: additional on-demand servers,
    /// additional reclaimable ones, and releases.
    pub fn plan(
        &mut self,
        scaling: &Scaling,
        present: &Map<Name, PresentServers>,
        registrations: Registrations,
        now_ms: Millisecond,
    ) -> Vec<Order> {
        let (shares, lost_servers) = (&self.shares, self.lost_servers);
        let Some(goal) = self.needs.goal(shares, lost_servers, present, now_ms) else {
            return Vec::new();
        };
        let wanted = self.wanted(scaling, present, &goal, now_ms);
        let mut orders = Vec::new();
        for (pool, wanted) in wanted {
            let here = present.get(&pool.0).map_or(0, |p| p.of(pool.1));
            if wanted < here && goal.certainty == Certainty::Recent {
                continue;
            }
            // An order for fewer servers than are registering would release some of them.
            if registrations == Registrations::Partial && pool.1 == Purchase::OnDemand {
                continue;
            }
            if !self
                .orders
                .is_due(&pool, wanted, here, scaling.boot_ms, now_ms)
            {
                continue;
            }
            let order = self.orders.place(pool, wanted, now_ms);
            orders.push((Urgency::of(&order, here), order));
        }
        orders.sort_by(|(a_urgency, a), (b_urgency, b)| {
            let by_domain = || a.failure_domain.cmp(&b.failure_domain);
            a_urgency.cmp(b_urgency).then_with(by_domain)
        });
        orders.into_iter().map(|(_, order)| order).collect()
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
        let reclaimable = self.reclaimable(scaling, present, &domains, goal, now_ms);
        let ready = |domain: &Name| {
            let here = present.get(domain).map_or(0, |p| p.reclaimable);
            here.min(reclaimable[domain])
        };
        let ready: Map<Name, u32> = domains.iter().map(|d| (d.clone(), ready(d))).collect();
        let needed = self.needed_on_demand(goal, &ready, now_ms);
        let on_demand = self.on_demand(scaling, &expected, needed, &ready, now_ms);
        let mut wanted = Wanted::default();
        for (domain, coming) in &expected {
            let on_demand = on_demand.get(domain).copied().unwrap_or(0);
            let room = scaling.max.saturating_sub(on_demand.max(*coming));
            let reclaimable = reclaimable[domain].min(room);
            let on_demand = on_demand.max(scaling.min.saturating_sub(reclaimable));
            if scaling.reclaimable_price.is_some() {
                wanted.insert((domain.clone(), Purchase::Reclaimable), reclaimable);
            }
            wanted.insert((domain.clone(), Purchase::OnDemand), on_demand);
        }
        wanted
    }

    /// Number of on-demand servers that the load needs beside the running reclaimable ones. On-demand
    /// servers leave only once the reclaimable servers that replace them are running.
    fn needed_on_demand(&self, goal: &Goal, ready: &Map<Name, u32>, now_ms: Millisecond) -> f64 {
        let by_domain: Vec<u32> = ready.values().copied().collect();
        let missing = |wanted: f64, loss| wanted - f64::from(reclaims::left(&by_domain, loss));
        let after_loss = match self.exposure(now_ms) {
            Exposure::OneDomain => missing(goal.tight, Loss::OneDomain),
            Exposure::AllDomains => missing(goal.alone, Loss::AllDomains),
        };
        missing(goal.tight, Loss::None).max(after_loss)
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
            let pool = (domain.clone(), Purchase::OnDemand);
            let coming = self.orders.starting(&pool, scaling.boot_ms, now_ms);
            expected.push((domain.clone(), coming.unwrap_or(0).max(here)));
        }
        expected
    }

    /// Reclaimable servers by failure domain, so that enough are left after the loss of one domain.
    /// A domain in which none can be bought now keeps its present ones.
    fn reclaimable(
        &self,
        scaling: &Scaling,
        present: &Map<Name, PresentServers>,
        domains: &[Name],
        goal: &Goal,
        now_ms: Millisecond,
    ) -> Map<Name, u32> {
        let mut wanted: Map<Name, u32> = domains.iter().map(|d| (d.clone(), 0)).collect();
        let Some(part) = scaling.reclaimable_price else {
            return wanted;
        };
        let offers: Vec<Offer> = domains
            .iter()
            .map(|domain| offer(scaling, domain, OfferPurchase::Reclaimable, part))
            .collect();
        let listed: Vec<&Offer> = offers.iter().collect();
        let left_share = 1.0 - 1.0 / domains.len().max(1) as f64;
        let left = goal.tight.max(goal.comfortable * left_share);
        for offer_index in cheapest_additions(left, &Map::default(), &listed) {
            let domain = &offers[offer_index].kind.failure_domain;
            *wanted.entry(domain.clone()).or_default() += 1;
        }
        for (domain, count) in &mut wanted {
            let here = present.get(domain).map_or(0, |p| p.reclaimable);
            *count = (*count).min(scaling.max);
            if self
                .orders
                .is_refused(domain, Purchase::Reclaimable, now_ms)
            {
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
        let room = |domain: &Name| match self.orders.is_refused(domain, Purchase::OnDemand, now_ms)
        {
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
}

fn total(present: &Map<Name, PresentServers>) -> u32 {
    present.values().map(|p| p.reclaimable + p.on_demand).sum()
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
