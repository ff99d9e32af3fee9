//! Orders of backend servers: how many, where, and reclaimable or on demand.

use base::units::Millisecond;
use base::{Map, Name};
use gateway::belief::directory::Scaling;
use gateway::decide::scale::{Exposure, Need, Order, PresentServers, Registrations, ScalePlanner};
use outside::Purchase;

const DOMAINS: [(&str, f64); 3] = [("a", 0.85), ("b", 1.2), ("c", 1.0)];

/// Time between two rounds of decisions.
const DECISION_PERIOD_MS: Millisecond = 500;

fn scaling(reclaimable_price: Option<f64>) -> Scaling {
    let prices = DOMAINS.iter();
    Scaling {
        min: 1,
        max: 12,
        boot_ms: 4_000,
        reclaimable_price,
        domain_prices: prices
            .map(|(name, price)| (Name::from(*name), *price))
            .collect(),
    }
}

fn in_each_domain(reclaimable: u32, on_demand: u32) -> Map<Name, PresentServers> {
    let here = PresentServers {
        reclaimable,
        on_demand,
    };
    let domains = DOMAINS.iter();
    domains
        .map(|(name, _)| (Name::from(*name), here.clone()))
        .collect()
}

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

/// Servers that are still registering must not be mistaken for missing ones that were released.
#[test]
fn while_servers_register_only_additional_ones_are_ordered() {
    let mut scale = ScalePlanner::default();
    let mut ordered: Map<Name, u32> = Map::default();
    for (round, on_demand) in [0, 1, 3, 6].into_iter().enumerate() {
        let now_ms = 1_000 + DECISION_PERIOD_MS * round as Millisecond;
        let mut present = in_each_domain(0, on_demand);
        present.get_mut("a").unwrap().on_demand = 6;
        let orders = scale.plan(
            &scaling(Some(0.22)),
            &present,
            Registrations::Partial,
            now_ms,
        );
        assert!(orders.iter().all(|o| o.purchase == Purchase::Reclaimable));
        for order in orders {
            ordered.insert(order.failure_domain, order.wanted);
        }
    }
    assert_eq!(ordered.values().sum::<u32>(), 18);
}

/// The platform may carry out an order whose answer is lost, so that other domains must not be
/// asked for the same servers.
#[test]
fn orders_without_an_answer_are_repeated_for_the_same_domain() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.5), &present, 10_000);
    let scaling = scaling(Some(0.22));
    let on_demand = |orders: Vec<Order>| -> Vec<Order> {
        let only = orders.into_iter();
        only.filter(|o| o.purchase == Purchase::OnDemand).collect()
    };
    let first = on_demand(scale.plan(&scaling, &present, Registrations::Complete, 10_000));
    assert!(!first.is_empty());
    for order in &first {
        scale.record_unanswered(order);
    }
    let second = on_demand(scale.plan(&scaling, &present, Registrations::Complete, 12_000));
    let numbers = |orders: &[Order]| -> Vec<(Name, u32)> {
        let numbers = orders.iter().map(|o| (o.failure_domain.clone(), o.wanted));
        numbers.collect()
    };
    assert_eq!(numbers(&second), numbers(&first));
}

/// Two orders on their way may arrive in reverse, and the servers that the newer one keeps would
/// be released by the older one.
#[test]
fn no_release_is_ordered_before_the_last_order_is_answered() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 4);
    let scaling = scaling(None);
    let registrations = Registrations::Complete;
    for at_ms in [10_000, 20_000] {
        scale.observe(Need::Busy(6.0), &present, at_ms);
    }
    scale.set_lost_servers(6.0);
    let first = scale.plan(&scaling, &present, registrations, 20_000);
    assert!(first.iter().all(|o| o.wanted == 6) && first.len() == 3);
    scale.set_lost_servers(0.0);
    let before = scale.plan(&scaling, &present, registrations, 21_000);
    assert_eq!(before, Vec::new());
    for order in &first {
        scale.record_acceptance(order);
    }
    let after = scale.plan(&scaling, &present, registrations, 21_000);
    assert!(after.iter().all(|o| o.wanted == 4) && after.len() == 3);
}

/// A call ends within seconds, so an answer that is still missing later will not come any more.
#[test]
fn an_answer_that_never_comes_does_not_block_releases_for_good() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 4);
    let scaling = scaling(None);
    let registrations = Registrations::Complete;
    for at_ms in [10_000, 20_000] {
        scale.observe(Need::Busy(6.0), &present, at_ms);
    }
    scale.set_lost_servers(6.0);
    assert!(
        !scale
            .plan(&scaling, &present, registrations, 20_000)
            .is_empty()
    );
    scale.set_lost_servers(0.0);
    scale.observe(Need::Busy(6.0), &in_each_domain(0, 6), 27_000);
    let later = scale.plan(&scaling, &in_each_domain(0, 6), registrations, 27_000);
    assert!(later.iter().all(|o| o.wanted == 4) && later.len() == 3);
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

/// The platform may carry out an order whose answer was lost after newer ones, unless its fencing
/// number is lower.
#[test]
fn a_lost_release_carried_out_late_does_not_undo_a_newer_order() {
    let mut scale = ScalePlanner::default();
    let scaling = scaling(None);
    let registrations = Registrations::Complete;
    let present = in_each_domain(0, 4);
    for at_ms in [3_000, 10_000] {
        scale.observe(Need::Busy(3.0), &present, at_ms);
    }
    let releases = scale.plan(&scaling, &present, registrations, 10_000);
    assert!(releases.iter().all(|o| o.wanted < 4) && !releases.is_empty());
    for release in &releases {
        scale.record_unanswered(release);
    }
    scale.observe(Need::Busy(9.0), &present, 11_000);
    let newer = scale.plan(&scaling, &present, registrations, 11_000);
    assert!(!newer.is_empty());
    for order in &newer {
        assert!(order.wanted > 4, "{order:?}");
        let of_same = |o: &&Order| o.failure_domain == order.failure_domain;
        let late = releases.iter().find(of_same).unwrap();
        assert!(order.lost_before > late.lost_before, "{order:?}");
    }
}

/// The number that is there already is ordered, so that the platform refuses the lost release.
#[test]
fn a_lost_release_is_countermanded_though_the_servers_are_still_there() {
    let mut scale = ScalePlanner::default();
    let scaling = scaling(None);
    let registrations = Registrations::Complete;
    let present = in_each_domain(0, 4);
    for at_ms in [3_000, 10_000] {
        scale.observe(Need::Busy(3.0), &present, at_ms);
    }
    for release in scale.plan(&scaling, &present, registrations, 10_000) {
        scale.record_unanswered(&release);
    }
    scale.observe(Need::Busy(6.0), &present, 11_000);
    let orders = scale.plan(&scaling, &present, registrations, 11_000);
    assert_eq!(orders.len(), 3);
    assert!(orders.iter().all(|o| o.wanted == 4 && o.lost_before == 1));
}

/// A platform that is down may reject calls at once, and each call has its price.
#[test]
fn a_platform_that_is_down_is_not_asked_in_every_round() {
    let mut scale = ScalePlanner::default();
    let scaling = scaling(None);
    let present = in_each_domain(0, 2);
    let (mut orders, round_ms, rounds) = (0, 250, 40);
    for round in 0..rounds {
        let now_ms = 10_000 + round * round_ms;
        scale.observe(Need::Busy(6.0), &present, now_ms);
        for order in scale.plan(&scaling, &present, Registrations::Complete, now_ms) {
            scale.record_unanswered(&order);
            orders += 1;
        }
    }
    assert!(
        orders <= 3 * rounds / 2,
        "{orders} orders in {rounds} rounds"
    );
}

/// An order that is overtaken by one with a higher fencing number is refused, though servers can be
/// bought.
#[test]
fn an_overtaken_order_is_placed_again_at_once() {
    let mut scale = ScalePlanner::default();
    let scaling = scaling(Some(0.22));
    let registrations = Registrations::Complete;
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.5), &present, 10_000);
    let orders = scale.plan(&scaling, &present, registrations, 10_000);
    let of = |purchase| orders.iter().find(|o| o.purchase == purchase).unwrap();
    let (on_demand, reclaimable) = (of(Purchase::OnDemand), of(Purchase::Reclaimable));
    assert_eq!(on_demand.failure_domain, reclaimable.failure_domain);
    scale.record_unanswered(reclaimable);
    scale.record_refusal(on_demand, 10_100);
    let again = scale.plan(&scaling, &present, registrations, 10_500);
    let repeated = again
        .iter()
        .find(|o| o.purchase == Purchase::OnDemand && o.failure_domain == on_demand.failure_domain);
    let repeated = repeated.unwrap();
    assert_eq!(repeated.wanted, on_demand.wanted);
    assert!(repeated.lost_before > on_demand.lost_before);
}

#[test]
fn additional_servers_on_demand_are_ordered_before_all_others() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.5), &present, 10_000);
    let orders = scale.plan(
        &scaling(Some(0.22)),
        &present,
        Registrations::Complete,
        10_000,
    );
    let kinds: Vec<Purchase> = orders.iter().map(|o| o.purchase).collect();
    let (on_demand, reclaimable) = kinds.split_at(3);
    assert!(on_demand.iter().all(|p| *p == Purchase::OnDemand));
    assert!(reclaimable.iter().all(|p| *p == Purchase::Reclaimable));
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
fn an_order_is_not_repeated_while_it_is_carried_out() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.0), &present, 10_000);
    let registrations = Registrations::Complete;
    let first = scale.plan(&scaling(Some(0.22)), &present, registrations, 10_000);
    assert!(!first.is_empty());
    scale.observe(Need::Busy(4.0), &present, 10_500);
    let second = scale.plan(&scaling(Some(0.22)), &present, registrations, 10_500);
    assert_eq!(second, Vec::new());
}

#[test]
fn a_refused_kind_is_left_alone_for_a_while() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.0), &present, 10_000);
    let registrations = Registrations::Complete;
    for order in scale.plan(&scaling(Some(0.22)), &present, registrations, 10_000) {
        if order.purchase == Purchase::Reclaimable {
            scale.record_refusal(&order, 10_000);
        }
    }
    let again = scale.plan(&scaling(Some(0.22)), &present, registrations, 10_500);
    assert!(again.iter().all(|o| o.purchase == Purchase::OnDemand));
    let later = scale.plan(&scaling(Some(0.22)), &present, registrations, 13_000);
    assert!(later.iter().any(|o| o.purchase == Purchase::Reclaimable));
}

#[test]
fn room_lost_to_limits_is_made_up_for_only_where_work_is_tight() {
    let mut sim = Simulation::new(in_each_domain(0, 6));
    sim.advance(30_000, Need::Busy(3.0));
    let before = sim.all();
    sim.scale.set_lost_servers(4.0);
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
