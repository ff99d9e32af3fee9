//! Orders of backend servers: how many, where, and reclaimable or on demand.

#[path = "support/scaling.rs"]
mod support;

use base::units::Millisecond;
use base::{Map, Name};
use gateway::belief::directory::Scaling;
use gateway::decide::scale::{
    Exposure, Need, Order, PresentServers, Registrations, ScalePlanner, UtilizationShares,
};
use outside::Purchase;
use support::{DECISION_PERIOD_MS, DOMAINS, in_each_domain, scaling};

fn total(present: &Map<Name, PresentServers>, purchase: Purchase) -> u32 {
    let of = |p: &PresentServers| match purchase {
        Purchase::Reclaimable => p.reclaimable,
        Purchase::OnDemand => p.on_demand,
    };
    present.values().map(of).sum()
}

/// A platform that carries out orders after the boot time of a server.
struct Simulation {
    scale: ScalePlanner,
    scaling: Scaling,
    present: Map<Name, PresentServers>,
    /// Servers that are starting: when they are ready, where, and how they are paid for.
    starting: Vec<(Millisecond, Name, Purchase)>,
    now_ms: Millisecond,
    /// Whether reclaimable servers can be bought.
    reclaimable: Supply,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Supply {
    Ample,
    Exhausted,
}

impl Simulation {
    fn new(present: Map<Name, PresentServers>) -> Self {
        Self {
            scale: ScalePlanner::default(),
            scaling: scaling(Some(0.22)),
            present,
            starting: Vec::new(),
            now_ms: 10_000,
            reclaimable: Supply::Ample,
        }
    }

    /// Advances the time under a constant need.
    fn advance(&mut self, for_ms: Millisecond, need: Need) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += DECISION_PERIOD_MS;
            self.scale.observe(need, &self.present, self.now_ms);
            let orders = self.scale.plan(
                &self.scaling,
                &self.present,
                Registrations::Complete,
                self.now_ms,
            );
            for order in orders {
                self.execute(order);
            }
            self.start_due();
        }
    }

    /// Starts the servers that are missing from the ordered number, and ends those beyond it.
    /// Servers that are still starting end first.
    fn execute(&mut self, order: Order) {
        let (domain, purchase) = (order.failure_domain.clone(), order.purchase);
        let has = self.has(&domain, purchase);
        let starting = self.starting_at(&domain, purchase);
        let unavailable =
            self.reclaimable == Supply::Exhausted && purchase == Purchase::Reclaimable;
        if unavailable && order.wanted > has {
            return self.scale.record_refusal(&order, self.now_ms);
        }
        self.scale.record_acceptance(&order);
        for _ in has + starting..order.wanted {
            let at_ms = self.now_ms + self.scaling.boot_ms;
            self.starting.push((at_ms, domain.clone(), purchase));
        }
        for _ in order.wanted.max(has)..has + starting {
            let newest = |(_, d, p): &(Millisecond, Name, Purchase)| *d == domain && *p == purchase;
            let place = self.starting.iter().rposition(newest).unwrap();
            self.starting.remove(place);
        }
        if order.wanted < has {
            *self.count(&domain, purchase) = order.wanted;
        }
    }

    fn start_due(&mut self) {
        for (at_ms, domain, purchase) in std::mem::take(&mut self.starting) {
            match at_ms > self.now_ms {
                true => self.starting.push((at_ms, domain, purchase)),
                false => *self.count(&domain, purchase) += 1,
            }
        }
    }

    fn starting_at(&self, domain: &Name, purchase: Purchase) -> u32 {
        let here = self.starting.iter();
        here.filter(|(_, d, p)| d == domain && *p == purchase)
            .count() as u32
    }

    fn has(&self, domain: &Name, purchase: Purchase) -> u32 {
        match purchase {
            Purchase::Reclaimable => self.present[domain].reclaimable,
            Purchase::OnDemand => self.present[domain].on_demand,
        }
    }

    fn count(&mut self, domain: &Name, purchase: Purchase) -> &mut u32 {
        let here = self.present.get_mut(domain).unwrap();
        match purchase {
            Purchase::Reclaimable => &mut here.reclaimable,
            Purchase::OnDemand => &mut here.on_demand,
        }
    }

    /// Takes all reclaimable servers of a domain away.
    fn reclaim(&mut self, domain: &str) {
        self.starting
            .retain(|(_, d, p)| &**d != domain || *p != Purchase::Reclaimable);
        self.present.get_mut(domain).unwrap().reclaimable = 0;
    }

    /// Servers that are left if the domain with the most reclaimable ones loses them.
    fn left_after_loss_of_any_domain(&self) -> u32 {
        let lost = self.present.values().map(|p| p.reclaimable).max();
        self.all() - lost.unwrap_or(0)
    }

    fn on_demand(&self) -> u32 {
        total(&self.present, Purchase::OnDemand)
    }

    fn all(&self) -> u32 {
        self.on_demand() + total(&self.present, Purchase::Reclaimable)
    }
}

#[test]
fn before_any_need_is_known_nothing_is_given_back_before_its_replacement_is_there() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    for _ in 0..40 {
        sim.advance(DECISION_PERIOD_MS, Need::Unknown);
        assert!(sim.all() >= 18, "{} servers are left", sim.all());
    }
    assert!(
        sim.left_after_loss_of_any_domain() >= 6,
        "{:?}",
        sim.present
    );
}

#[test]
fn what_is_left_after_the_loss_of_any_domain_carries_the_need() {
    for busy in [0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 12.0] {
        let mut sim = Simulation::new(in_each_domain(0, 6));
        sim.advance(30_000, Need::Busy(busy));
        let left = f64::from(sim.left_after_loss_of_any_domain());
        assert!(busy <= 0.5 * left, "{busy} busy, {left} left");
    }
}

/// While reclaimable servers are there in every domain, on-demand servers would only raise the
/// price.
#[test]
fn reclaimable_servers_in_all_domains_replace_those_on_demand() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(3.0));
    assert_eq!(sim.on_demand(), 0, "{:?}", sim.present);
}

/// Domains are reclaimed one after the other. The replacement of the last one is ordered before it
/// is reclaimed, since a server takes longer to start than a notice lasts.
#[test]
fn a_series_of_reclaims_never_leaves_too_few_servers() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(3.0));
    sim.reclaimable = Supply::Exhausted;
    for (domain, _) in DOMAINS {
        sim.reclaim(domain);
        let left = f64::from(sim.all());
        assert!(3.0 <= 0.7 * left, "{left} left after {domain}");
        sim.advance(sim.scaling.boot_ms + 1_000, Need::Busy(3.0));
    }
}

/// Several domains may be reclaimed before a server that was ordered at the first notice starts.
#[test]
fn after_a_reclaim_the_need_is_borne_without_any_reclaimable_server() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(3.0));
    sim.reclaimable = Supply::Exhausted;
    sim.reclaim("a");
    sim.advance(DECISION_PERIOD_MS, Need::Busy(3.0));
    assert_eq!(sim.scale.exposure(sim.now_ms), Exposure::AllDomains);
    sim.advance(sim.scaling.boot_ms, Need::Busy(3.0));
    assert!(sim.on_demand() >= 4, "{} on demand", sim.on_demand());
    sim.reclaim("b");
    sim.reclaim("c");
    sim.advance(sim.scaling.boot_ms + 1_000, Need::Busy(3.0));
    assert!(sim.on_demand() >= 6, "{} on demand", sim.on_demand());
}

/// With no server left, the growth of one decision is bounded by the servers that were there.
#[test]
fn the_loss_of_every_server_at_once_is_made_up_for() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(4.0));
    assert_eq!(sim.on_demand(), 0);
    sim.reclaimable = Supply::Exhausted;
    for (domain, _) in DOMAINS {
        sim.reclaim(domain);
    }
    sim.advance(sim.scaling.boot_ms + 1_000, Need::Busy(4.0));
    assert!(sim.on_demand() >= 8, "{} on demand", sim.on_demand());
}

/// Reclaimable servers that are wanted but cannot be bought must not take the place of others.
#[test]
fn wanted_reclaimable_servers_take_no_room_from_those_on_demand() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(6.0));
    sim.reclaimable = Supply::Exhausted;
    sim.reclaim("a");
    sim.advance(DECISION_PERIOD_MS, Need::Busy(6.0));
    let starting: u32 = DOMAINS
        .iter()
        .map(|(d, _)| sim.starting_at(&Name::from(*d), Purchase::OnDemand))
        .sum();
    assert!(starting + sim.on_demand() >= 9, "{starting} ordered");
}

#[test]
fn the_loss_of_all_reclaimable_servers_does_not_starve_a_service() {
    // The few on-demand servers cannot carry the load, and none can be bought at a reclaimable
    // price.
    let mut sim = Simulation::new(in_each_domain(2, 1));
    sim.advance(10_000, Need::Busy(1.0));
    sim.reclaimable = Supply::Exhausted;
    for (domain, _) in DOMAINS {
        sim.reclaim(domain);
    }
    sim.advance(15_000, Need::Busy(6.0));
    assert!(sim.on_demand() >= 9, "{} on demand", sim.on_demand());
}

/// Guards against the release of on-demand servers that are still starting. The domains lose their
/// reclaimable servers one after the other, and each is retried at its own time.
#[test]
fn reclaims_one_after_the_other_are_made_up_for_in_the_time_to_start() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(3.0));
    sim.reclaimable = Supply::Exhausted;
    for (domain, _) in DOMAINS {
        sim.reclaim(domain);
        sim.advance(1_000, Need::Busy(4.0));
    }
    sim.advance(sim.scaling.boot_ms + 1_000, Need::Busy(5.0));
    assert!(sim.on_demand() >= 8, "{} on demand", sim.on_demand());
    for _ in 0..20 {
        let before = sim.on_demand();
        sim.advance(DECISION_PERIOD_MS, Need::Busy(6.0));
        assert!(sim.on_demand() >= before, "servers were released");
    }
    assert!(sim.on_demand() >= 12, "{} on demand", sim.on_demand());
}

#[test]
fn servers_on_demand_that_made_up_for_others_are_given_back() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(3.0));
    let before = sim.on_demand();
    sim.reclaimable = Supply::Exhausted;
    for (domain, _) in DOMAINS {
        sim.reclaim(domain);
    }
    sim.advance(13_000, Need::Busy(3.0));
    assert!(sim.on_demand() > before);
    sim.reclaimable = Supply::Ample;
    sim.advance(30_000, Need::Busy(3.0));
    assert_eq!(sim.on_demand(), before);
}

#[test]
fn a_new_holder_gives_nothing_back_before_it_knows_the_need() {
    let mut sim = Simulation::new(in_each_domain(3, 3));
    sim.advance(3_000, Need::Busy(0.2));
    assert_eq!(sim.all(), 18);
}

#[test]
fn a_wave_that_has_passed_is_remembered_for_a_while() {
    let mut sim = Simulation::new(in_each_domain(2, 2));
    sim.advance(12_000, Need::Busy(4.0));
    let before = sim.all();
    sim.advance(10_000, Need::Busy(1.0));
    assert_eq!(sim.all(), before);
    sim.advance(40_000, Need::Busy(1.0));
    assert!(sim.all() < before);
}

#[test]
fn each_domain_keeps_the_least_and_none_exceeds_the_most() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(60_000, Need::Busy(0.1));
    assert!(
        sim.present
            .values()
            .all(|p| p.reclaimable + p.on_demand >= 1)
    );
    sim.advance(60_000, Need::Busy(40.0));
    assert!(
        sim.present
            .values()
            .all(|p| p.reclaimable + p.on_demand <= 12)
    );
}

#[test]
fn without_reclaimable_servers_all_are_on_demand() {
    let mut sim = Simulation::new(in_each_domain(0, 2));
    sim.scaling = scaling(None);
    sim.advance(30_000, Need::Busy(4.0));
    assert_eq!(total(&sim.present, Purchase::Reclaimable), 0);
    assert!(sim.on_demand() >= 8, "{}", sim.on_demand());
}

#[test]
fn room_lost_to_limits_is_made_up_for_only_where_work_is_tight() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(3.0));
    let before = sim.all();
    // What is left after the loss of one of three domains, beyond the servers that the load needs then.
    let spare = (before * 2 / 3) as f64 - 3.0 / UtilizationShares::default().tight_share;
    assert!(spare >= 2.0, "{spare}");
    sim.scale.set_lost_servers(spare);
    sim.advance(10_000, Need::Busy(3.0));
    assert_eq!(
        sim.all(),
        before,
        "the comfortable number has spare capacity"
    );
    sim.scale.set_lost_servers(f64::from(before));
    sim.advance(10_000, Need::Busy(3.0));
    let tight = before + 6;
    assert!(sim.all() >= tight, "{} of {tight}", sim.all());
}
