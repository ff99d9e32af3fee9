//! Decides how many backend servers of each kind to run in each failure domain.
//!
//! Reclaimable servers cost a fraction of the price, and the platform may take those of a failure
//! domain away at once, with a notice shorter than the time that a new server takes to start. So
//! the servers that would be left after the loss of any one failure domain must serve the load
//! well. After a reclaim further ones are to be expected, and the servers that would be left after
//! the loss of all reclaimable ones must carry the load, if barely, until others have started.
//! On-demand servers make up what is missing: none while the reclaimable servers of the other
//! failure domains suffice.

use base::units::Millisecond;
use base::{Map, Name};
use outside::Purchase;
use policy::place::{Offer, Purchase as OfferPurchase, VmKind, cheapest_additions};
use serde::Deserialize;

use crate::belief::directory::Scaling;

mod reclaims;

pub use reclaims::Exposure;
use reclaims::{Loss, ReclaimHistory};

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
    /// Utilization after the loss of the reclaimable servers of one failure domain, and while none
    /// can be bought.
    pub tight_share: f64,
    /// Utilization of the on-demand servers if all reclaimable ones are lost, until others have
    /// started.
    pub alone_share: f64,
}

impl Default for UtilizationShares {
    fn default() -> Self {
        Self {
            comfort_share: 0.22,
            tight_share: 0.5,
            alone_share: 0.7,
        }
    }
}

/// Share of the initial servers that must be left after a loss before any need is known.
const INITIAL_ALONE_SHARE: f64 = 1.0 / 3.0;

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
    /// Earlier orders for this failure domain whose answers were lost. The platform may still carry
    /// those out, so this order needs a higher fencing number than they had.
    pub lost_before: u64,
}

/// Servers of one failure domain that are paid for in one way.
type Pool = (Name, Purchase);

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    wanted: u32,
    at_ms: Millisecond,
    answer: OrderAnswer,
}

/// Whether the platform has answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderAnswer {
    Pending,
    Accepted,
    /// The answer was lost. The platform may carry out the order, also later.
    Lost,
}

/// The need and the number of servers at one time.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at_ms: Millisecond,
    busy: f64,
    servers: u32,
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
    ordered: Map<Pool, PlacedOrder>,
    refused_until_ms: Map<Pool, Millisecond>,
    /// Orders whose answers were lost, by failure domain.
    lost: Map<Name, u64>,
    needs: Vec<Observation>,
    reclaims: ReclaimHistory,
    /// Highest number of servers before any need was known.
    first_total: Option<f64>,
    /// Number of servers whose capacity is lost to limits for now.
    lost_servers: f64,
}

/// Numbers of servers to hold.
#[derive(Clone, Copy, Debug)]
struct Goal {
    /// Servers that must be left after a loss of reclaimable ones.
    alone: f64,
    /// Servers of both kinds while reclaimable ones cannot be bought.
    tight: f64,
    /// Servers of both kinds with which requests hardly wait for each other.
    comfortable: f64,
    certainty: Certainty,
}

/// The highest recent need.
#[derive(Clone, Copy, Debug)]
struct Peak {
    /// Servers that the load keeps busy.
    busy: f64,
    /// Servers that were present.
    servers: u32,
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

    /// Records that the platform carries out an order.
    pub fn record_acceptance(&mut self, order: &Order) {
        self.set_answer(order, OrderAnswer::Accepted);
    }

    /// Records that the answer to an order was lost. The order is placed again in the next round.
    pub fn record_unanswered(&mut self, order: &Order) {
        let lost = self.lost.entry(order.failure_domain.clone()).or_default();
        *lost = (*lost).max(order.lost_before + 1);
        self.set_answer(order, OrderAnswer::Lost);
    }

    /// Records that the platform refused an order: none can be bought now, or the order was
    /// overtaken by one with a higher fencing number and is placed again.
    pub fn record_refusal(&mut self, order: &Order, now_ms: Millisecond) {
        if order.lost_before < self.lost_before(&order.failure_domain) {
            self.set_answer(order, OrderAnswer::Lost);
            return;
        }
        let pool = (order.failure_domain.clone(), order.purchase);
        self.ordered.remove(&pool);
        self.refused_until_ms
            .insert(pool, now_ms + REFUSAL_BACKOFF_MS);
    }

    fn lost_before(&self, failure_domain: &Name) -> u64 {
        self.lost.get(failure_domain).copied().unwrap_or(0)
    }

    /// Ignores the answer if another number has been ordered since.
    fn set_answer(&mut self, order: &Order, answer: OrderAnswer) {
        let pool = (order.failure_domain.clone(), order.purchase);
        let placed = self.ordered.get_mut(&pool);
        if let Some(placed) = placed.filter(|placed| placed.wanted == order.wanted) {
            placed.answer = answer;
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
        let Need::Busy(busy) = need else {
            return;
        };
        self.needs
            .retain(|seen| seen.at_ms + PEAK_WINDOW_MS > now_ms);
        self.needs.push(Observation {
            at_ms: now_ms,
            busy,
            servers: total(present),
        });
    }

    /// How many failure domains may be reclaimed before a replacement has started.
    pub fn exposure(&self, now_ms: Millisecond) -> Exposure {
        self.reclaims.exposure(now_ms)
    }

    /// Sets the number of servers whose capacity is lost to limits that they announced.
    pub fn set_lost_servers(&mut self, lost_servers: f64) {
        self.lost_servers = lost_servers;
    }

    /// Forgets the placed orders, since another node may have placed some meanwhile.
    pub fn forget_orders(&mut self) {
        self.ordered.clear();
        self.refused_until_ms.clear();
        self.lost.clear();
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
            // An order for fewer servers than are registering would release some of them.
            if registrations == Registrations::Partial && pool.1 == Purchase::OnDemand {
                continue;
            }
            if !self.is_due(&pool, wanted, here, scaling.boot_ms, now_ms) {
                continue;
            }
            let placed = PlacedOrder {
                wanted,
                at_ms: now_ms,
                answer: OrderAnswer::Pending,
            };
            self.ordered.insert(pool.clone(), placed);
            let order = Order {
                lost_before: self.lost_before(&pool.0),
                failure_domain: pool.0,
                purchase: pool.1,
                wanted,
            };
            orders.push((Urgency::of(&order, here), order));
        }
        orders.sort_by(|(a_urgency, a), (b_urgency, b)| {
            let by_domain = || a.failure_domain.cmp(&b.failure_domain);
            a_urgency.cmp(b_urgency).then_with(by_domain)
        });
        orders.into_iter().map(|(_, order)| order).collect()
    }

    /// Numbers of servers to hold; `None` if the present servers are to stay as they are.
    fn goal(&mut self, present: &Map<Name, PresentServers>, now_ms: Millisecond) -> Option<Goal> {
        let Some(peak) = self.peak(now_ms) else {
            return self.goal_before_need(present);
        };
        let shares = self.shares;
        let servers = f64::from(peak.servers.max(total(present)));
        let busy = peak.busy.min(servers * MAX_GROWTH * shares.alone_share);
        let tight = busy / shares.tight_share + self.lost_servers;
        Some(Goal {
            alone: busy / shares.alone_share,
            tight,
            // The comfortable number has spare capacity, so part of the lost servers needs no
            // replacement.
            comfortable: tight.max(busy / shares.comfort_share),
            certainty: peak.certainty,
        })
    }

    /// Numbers of servers to hold before any need is known: as many as there were at first.
    fn goal_before_need(&mut self, present: &Map<Name, PresentServers>) -> Option<Goal> {
        // Servers of both kinds were ordered for a need that was known then.
        let has_reclaimable = present.values().any(|p| p.reclaimable > 0);
        if self.first_total.is_none() && has_reclaimable {
            return None;
        }
        let on_demand: u32 = present.values().map(|p| p.on_demand).sum();
        let first = self.first_total.unwrap_or(0.0).max(f64::from(on_demand));
        self.first_total = Some(first);
        Some(Goal {
            alone: first * INITIAL_ALONE_SHARE,
            tight: first,
            comfortable: first,
            certainty: Certainty::Settled,
        })
    }

    /// The highest recent need; `None` if none is known.
    fn peak(&self, now_ms: Millisecond) -> Option<Peak> {
        let recent = self.needs.iter();
        let recent = recent.filter(|seen| seen.at_ms + PEAK_WINDOW_MS > now_ms);
        let first_ms = recent.clone().next()?.at_ms;
        let certainty = match now_ms - first_ms >= SETTLED_MS {
            true => Certainty::Settled,
            false => Certainty::Recent,
        };
        Some(Peak {
            busy: recent.clone().map(|seen| seen.busy).fold(0.0, f64::max),
            servers: recent.map(|seen| seen.servers).max().unwrap_or(0),
            certainty,
        })
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
            // Two orders on their way may arrive in reverse. A late release would undo the other.
            Some(ordered) if ordered.answer == OrderAnswer::Pending => wanted > ordered.wanted,
            Some(ordered) if ordered.wanted != wanted => true,
            // The lost order may still be carried out, so the right number is confirmed.
            Some(ordered) if ordered.answer == OrderAnswer::Lost => true,
            Some(ordered) => wanted != here && now_ms > ordered.at_ms + boot_ms + ORDER_GRACE_MS,
        }
    }
}

/// Order in which orders are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    MoreOnDemand,
    MoreReclaimable,
    Release,
}

impl Urgency {
    fn of(order: &Order, here: u32) -> Self {
        match order.purchase {
            _ if order.wanted <= here => Self::Release,
            Purchase::OnDemand => Self::MoreOnDemand,
            Purchase::Reclaimable => Self::MoreReclaimable,
        }
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
